//! One log line and the metrics of each request, written when it is over.

use std::sync::Arc;
use std::time::Instant;

use log::info;

use crate::spans::Spans;

/// Log prefix of this part.
const PART: &str = "request";

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The caller left before it had its answer.
    CallerLeft,
    /// An upstream's answer was passed on whole.
    Answered(u16),
    /// The gateway answered itself.
    Refused(u16, &'static str),
    /// A stream was cut off after it had begun.
    Cut(&'static str),
}

/// What is known of a request.
#[derive(Debug)]
pub struct Record {
    arrived: Instant,
    /// Attempt.
    pub id: String,
    /// Route.
    pub route: String,
    /// Service.
    pub service: String,
    /// Workspace.
    pub workspace: String,
    /// Revision of the configuration that decided.
    pub revision: u64,
    /// Milliseconds since the store had confirmed it.
    pub confirmed_ms: u64,
    /// Milliseconds the caller waits.
    pub patience_ms: u64,
    /// Milliseconds since the caller first asked, as far as that can be told.
    pub waited_ms: u64,
    /// Upstreams it was sent to, and what came of each.
    pub tries: String,
    /// Milliseconds until the first event.
    pub first_event_ms: Option<u64>,
    /// Milliseconds of the longest pause between events.
    pub longest_gap_ms: u64,
    /// Where its time went.
    pub spans: Arc<Spans>,
    /// How it ended.
    pub ending: Ending,
}

impl Record {
    /// A record of a request that just arrived.
    pub fn new(arrived: Instant) -> Record {
        Record {
            arrived,
            id: String::new(),
            route: String::new(),
            service: String::new(),
            workspace: String::new(),
            revision: 0,
            confirmed_ms: 0,
            patience_ms: 0,
            waited_ms: 0,
            tries: String::new(),
            first_event_ms: None,
            longest_gap_ms: 0,
            spans: Arc::default(),
            ending: Ending::CallerLeft,
        }
    }

    /// Notes what came of one upstream.
    pub fn tried(&mut self, upstream: &str, what: &str) {
        if !self.tries.is_empty() {
            self.tries.push(',');
        }
        self.tries.push_str(upstream);
        self.tries.push('=');
        self.tries.push_str(what);
    }

    /// Milliseconds since the request arrived.
    pub fn elapsed_ms(&self) -> u64 {
        clock::since(self.arrived).as_millis() as u64
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let took_ms = self.elapsed_ms();
        let (ending, status, why) = match self.ending {
            Ending::CallerLeft => ("caller_left", 0, "-"),
            Ending::Answered(status) => ("answered", status, "-"),
            Ending::Refused(status, why) => ("refused", status, why),
            Ending::Cut(why) => ("cut", 0, why),
        };
        let first = self.first_event_ms.map_or(-1, |ms| ms as i64);
        let route = self.route.clone();
        metrics::counter!("driftnotch_requests_total", "route" => route.clone(), "ending" => ending)
            .increment(1);
        if let Ending::Refused(_, why) = self.ending {
            metrics::counter!("driftnotch_refusals_total", "why" => why).increment(1);
        }
        if let Some(ms) = self.first_event_ms {
            metrics::histogram!("driftnotch_first_event_seconds", "route" => route)
                .record(ms as f64 / 1000.0);
        }
        self.spans.record(&self.route);
        info!(
            target: PART,
            "{PART}: id={} route={} service={} workspace={} revision={} confirmed_ms={} patience_ms={} waited_ms={} tries={} ending={ending} status={status} why=\"{why}\" first_event_ms={first} longest_gap_ms={} took_ms={took_ms} spans_ms={}",
            self.id, self.route, self.service, self.workspace, self.revision, self.confirmed_ms, self.patience_ms, self.waited_ms, self.tries, self.longest_gap_ms, self.spans,
        );
    }
}

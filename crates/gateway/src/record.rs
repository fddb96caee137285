//! Log line and metrics of each request, written when the request ends.

use std::sync::Arc;
use std::time::Instant;

use log::info;

use crate::spans::Spans;

/// Log prefix of this part.
const PART: &str = "request";

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller disconnected before it had its response.
    CallerLeft,
    /// The complete response of an upstream was relayed; its status.
    Answered(u16),
    /// The gateway refused the request or gave it up; status and reason.
    Refused(u16, &'static str),
    /// A stream was cut off after its first event; the reason.
    Cut(&'static str),
}

/// Record of a request, logged when it is dropped.
#[derive(Debug)]
pub struct RequestRecord {
    arrived: Instant,
    /// Id of the attempt.
    pub attempt_id: String,
    /// Name of the route.
    pub route: String,
    /// Name of the service.
    pub service: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Priority, 0 being the most urgent; `None` if the request was refused before it was known.
    pub priority: Option<u8>,
    /// Revision of the configuration that was applied.
    pub config_revision: u64,
    /// Milliseconds since the store last confirmed that revision.
    pub config_age_ms: u64,
    /// Timeout in milliseconds.
    pub timeout_ms: u64,
    /// Milliseconds since the caller's first attempt, if known.
    pub attempt_age_ms: u64,
    /// Upstreams that were tried, each with its result.
    pub attempts: String,
    /// Milliseconds until the first event.
    pub first_event_ms: Option<u64>,
    /// Longest time between two events, in milliseconds.
    pub max_gap_ms: u64,
    /// When the last event was relayed.
    pub last_event: Option<Instant>,
    /// Time spent in each span.
    pub spans: Arc<Spans>,
    /// Outcome.
    pub outcome: RequestOutcome,
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
    pub fn new(arrived: Instant) -> RequestRecord {
        RequestRecord {
            arrived,
            attempt_id: String::new(),
            route: String::new(),
            service: String::new(),
            workspace: String::new(),
            priority: None,
            config_revision: 0,
            config_age_ms: 0,
            timeout_ms: 0,
            attempt_age_ms: 0,
            attempts: String::new(),
            first_event_ms: None,
            max_gap_ms: 0,
            last_event: None,
            spans: Arc::default(),
            outcome: RequestOutcome::CallerLeft,
        }
    }

    /// Records the result of one upstream.
    pub fn record_attempt(&mut self, upstream: &str, result: &str) {
        if !self.attempts.is_empty() {
            self.attempts.push(',');
        }
        self.attempts.push_str(upstream);
        self.attempts.push('=');
        self.attempts.push_str(result);
    }

    /// Records that events were relayed.
    pub fn record_event(&mut self) {
        let now = clock::now();
        if let Some(last) = self.last_event.replace(now) {
            let gap = now.saturating_duration_since(last).as_millis() as u64;
            self.max_gap_ms = self.max_gap_ms.max(gap);
        }
    }

    /// Returns the milliseconds since the request arrived.
    pub fn elapsed_ms(&self) -> u64 {
        clock::since(self.arrived).as_millis() as u64
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let elapsed_ms = self.elapsed_ms();
        let (ending, status, why) = match self.outcome {
            RequestOutcome::CallerLeft if std::thread::panicking() => ("panicked", 0, "-"),
            RequestOutcome::CallerLeft => ("caller_left", 0, "-"),
            RequestOutcome::Answered(status) => ("answered", status, "-"),
            RequestOutcome::Refused(status, why) => ("refused", status, why),
            RequestOutcome::Cut(why) => ("cut", 0, why),
        };
        if let RequestOutcome::Cut(why) = self.outcome {
            metrics::counter!("driftnotch_cut_responses_total", "why" => why).increment(1);
        }
        let silent_ms = self
            .last_event
            .map_or(-1, |at| clock::since(at).as_millis() as i64);
        let first = self.first_event_ms.map_or(-1, |ms| ms as i64);
        let route = self.route.clone();
        metrics::counter!("driftnotch_requests_total", "route" => route.clone(), "ending" => ending)
            .increment(1);
        if let RequestOutcome::Refused(_, why) = self.outcome {
            metrics::counter!("driftnotch_refusals_total", "why" => why).increment(1);
            if let Some(priority) = self.priority {
                metrics::counter!(
                    "driftnotch_route_refusals_total",
                    "route" => route.clone(), "priority" => priority.to_string(), "why" => why,
                )
                .increment(1);
            }
        }
        if let Some(ms) = self.first_event_ms {
            metrics::histogram!("driftnotch_first_event_seconds", "route" => route)
                .record(ms as f64 / 1000.0);
        }
        self.spans.record(&self.route);
        info!(
            target: PART,
            "{PART}: id={} route={} service={} workspace={} revision={} confirmed_ms={} patience_ms={} waited_ms={} tries={} ending={ending} status={status} why=\"{why}\" first_event_ms={first} longest_gap_ms={} silent_ms={silent_ms} took_ms={elapsed_ms} spans_ms={}",
            self.attempt_id, self.route, self.service, self.workspace, self.config_revision, self.config_age_ms, self.timeout_ms, self.attempt_age_ms, self.attempts, self.max_gap_ms, self.spans,
        );
    }
}

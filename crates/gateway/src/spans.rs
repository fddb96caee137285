//! Time that a request spends in each phase, from its head to its end.
//!
//! Each span is summed over all attempts. The remaining time, in which events are relayed, follows from the total.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// Lookup of configuration, route and workspace, and reading of the body.
    Admit,
    /// Wait in the queue for a slot at an upstream.
    Queue,
    /// Connection to the upstream.
    Connect,
    /// Sending of the request, and wait for the response head.
    Head,
    /// Wait for the first event of a stream, after the head.
    FirstEvent,
}

impl Span {
    /// All spans, in order of the request path.
    pub const ALL: [Span; 5] = [
        Span::Admit,
        Span::Queue,
        Span::Connect,
        Span::Head,
        Span::FirstEvent,
    ];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Span::Admit => "admit",
            Span::Queue => "line",
            Span::Connect => "connect",
            Span::Head => "head",
            Span::FirstEvent => "first_event",
        }
    }
}

/// Time spent in each span, in microseconds.
#[derive(Debug, Default)]
pub struct Spans([AtomicU64; Span::ALL.len()]);

impl Spans {
    /// Adds the time since `started` to a span.
    pub fn add(&self, span: Span, started: Instant) {
        let micros = clock::since(started).as_micros();
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        self.0[span as usize].fetch_add(micros, Relaxed);
    }

    /// Returns the time spent in a span.
    pub fn time(&self, span: Span) -> Duration {
        Duration::from_micros(self.0[span as usize].load(Relaxed))
    }

    /// Records the duration of each span that isn't zero, by route.
    pub fn record(&self, route: &str) {
        for span in Span::ALL {
            let time = self.time(span);
            if !time.is_zero() {
                metrics::histogram!("driftnotch_span_seconds", "route" => route.to_owned(), "span" => span.name())
                    .record(time.as_secs_f64());
            }
        }
    }
}

impl fmt::Display for Spans {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, span) in Span::ALL.into_iter().enumerate() {
            let comma = if i == 0 { "" } else { "," };
            let ms = self.time(span).as_secs_f64() * 1000.0;
            write!(f, "{comma}{}:{ms:.1}", span.name())?;
        }
        Ok(())
    }
}

//! Where the time of a request goes, from its head to its end.
//!
//! Each stretch of its path is summed over all of its tries. What is left over, in which events are passed on,
//! follows from the whole time.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// A stretch of a request's path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// Route, workspace and configuration are found, and the body is read.
    Admit,
    /// It waits for a slot at an upstream.
    Line,
    /// A connection to the upstream is made.
    Connect,
    /// It is sent, and the upstream's head waited for.
    Head,
    /// The first event of a stream is waited for, once its head is here.
    FirstEvent,
}

impl Span {
    /// All spans, in the order of the path.
    pub const ALL: [Span; 5] = [
        Span::Admit,
        Span::Line,
        Span::Connect,
        Span::Head,
        Span::FirstEvent,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Span::Admit => "admit",
            Span::Line => "line",
            Span::Connect => "connect",
            Span::Head => "head",
            Span::FirstEvent => "first_event",
        }
    }
}

/// Times that a request spent in each span, in microseconds.
#[derive(Debug, Default)]
pub struct Spans([AtomicU64; Span::ALL.len()]);

impl Spans {
    /// Adds the time since `begun`.
    pub fn add(&self, span: Span, begun: Instant) {
        let micros = clock::since(begun).as_micros();
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        self.0[span as usize].fetch_add(micros, Relaxed);
    }

    /// Time spent in a span.
    pub fn time(&self, span: Span) -> Duration {
        Duration::from_micros(self.0[span as usize].load(Relaxed))
    }

    /// Records each span that took any time, by route.
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

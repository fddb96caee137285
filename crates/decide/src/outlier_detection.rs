//! How requests lately ended at an upstream.
//!
//! An upstream that fails or rejects requests at once has little in flight, so by load alone it would draw all requests.
//! One gateway sees few of them; counts of all gateways show it after a handful of failures.

use std::time::{Duration, Instant};

/// Time in which what happened counts for a third of what it did at first.
const FADE: Duration = Duration::from_secs(2);

/// Failures, faded, below which nothing is concluded.
const MIN_FAILED: f64 = 3.0;

/// Part of the requests that fail from which on an upstream is left alone. One that fails fewer is
/// worth trying, since a request may be sent again.
const FAILING_PART: f64 = 0.6;

/// Counts of requests that ended, older ones counting less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Failed or rejected.
    pub failed: f64,
    /// Answered.
    pub answered: f64,
}

impl OutcomeCounts {
    /// Whether so many failures are enough to conclude anything from.
    pub fn may_be_failing(failed: f64) -> bool {
        failed >= MIN_FAILED
    }

    /// Whether an upstream fails most of what it gets.
    pub fn is_failing(self) -> bool {
        let all = self.failed + self.answered;
        self.failed >= MIN_FAILED && self.failed > FAILING_PART * all
    }
}

/// How requests of this gateway ended at one upstream.
#[derive(Debug)]
pub struct OutcomeTracker {
    counts: OutcomeCounts,
    at: Instant,
}

impl OutcomeTracker {
    /// Nothing has ended yet.
    pub fn new(now: Instant) -> OutcomeTracker {
        OutcomeTracker {
            counts: OutcomeCounts::default(),
            at: now,
        }
    }

    /// Counts as they are now.
    pub fn counts(&self, now: Instant) -> OutcomeCounts {
        let age = now.saturating_duration_since(self.at);
        let left = (-age.as_secs_f64() / FADE.as_secs_f64()).exp();
        OutcomeCounts {
            failed: self.counts.failed * left,
            answered: self.counts.answered * left,
        }
    }

    /// Failures as they were counted last, which have faded since.
    pub fn max_failed(&self) -> f64 {
        self.counts.failed
    }

    /// Notes a request that failed or was rejected.
    pub fn record_failure(&mut self, now: Instant) {
        self.counts = self.counts(now);
        self.counts.failed += 1.0;
        self.at = now;
    }

    /// Notes a request that was answered.
    pub fn record_answer(&mut self, now: Instant) {
        self.counts = self.counts(now);
        self.counts.answered += 1.0;
        self.at = now;
    }
}

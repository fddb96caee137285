//! How requests lately ended at an upstream.
//!
//! An upstream that fails or rejects requests at once has little in flight, so by load alone it would draw all requests.
//! One gateway sees few of them; counts of all gateways show it after a handful of failures.

use std::time::{Duration, Instant};

/// Time in which what happened counts for a third of what it did at first.
const FADE: Duration = Duration::from_secs(2);

/// Failures, faded, below which nothing is concluded.
const LEAST_FAILED: f64 = 3.0;

/// Part of the requests that fail from which on an upstream is left alone. One that fails fewer is
/// worth trying, since a request may be sent again.
const FAILING_PART: f64 = 0.6;

/// Counts of requests that ended, older ones counting less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// Failed or rejected.
    pub failed: f64,
    /// Answered.
    pub answered: f64,
}

impl Counts {
    /// Whether so many failures are enough to conclude anything from.
    pub fn may_be_failing(failed: f64) -> bool {
        failed >= LEAST_FAILED
    }

    /// Whether an upstream fails most of what it gets.
    pub fn is_failing(self) -> bool {
        let all = self.failed + self.answered;
        self.failed >= LEAST_FAILED && self.failed > FAILING_PART * all
    }
}

/// How requests of this gateway ended at one upstream.
#[derive(Debug)]
pub struct Outcomes {
    counts: Counts,
    at: Instant,
}

impl Outcomes {
    /// Nothing has ended yet.
    pub fn new(now: Instant) -> Outcomes {
        Outcomes {
            counts: Counts::default(),
            at: now,
        }
    }

    /// Counts as they are now.
    pub fn counts(&self, now: Instant) -> Counts {
        let age = now.saturating_duration_since(self.at);
        let left = (-age.as_secs_f64() / FADE.as_secs_f64()).exp();
        Counts {
            failed: self.counts.failed * left,
            answered: self.counts.answered * left,
        }
    }

    /// Failures as they were counted last, which have faded since.
    pub fn failed_at_most(&self) -> f64 {
        self.counts.failed
    }

    /// Notes a request that failed or was rejected.
    pub fn failed(&mut self, now: Instant) {
        self.counts = self.counts(now);
        self.counts.failed += 1.0;
        self.at = now;
    }

    /// Notes a request that was answered.
    pub fn answered(&mut self, now: Instant) {
        self.counts = self.counts(now);
        self.counts.answered += 1.0;
        self.at = now;
    }
}

//! Outlier detection by the recent outcomes of requests at an upstream.
//!
//! An upstream that fails or rejects requests at once has little in flight, so it would attract all
//! requests by load alone. One gateway sees few of them; the counts of all gateways reveal it after a
//! handful of failures.

use std::time::{Duration, Instant};

/// Time constant of the decay: an outcome of this age counts for about a third of its initial weight.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Minimum decayed failures for an upstream to be an outlier.
const MIN_FAILED: f64 = 3.0;

/// Failure ratio above which an upstream is avoided. One with a lower ratio is worth trying, since a
/// request may be retried.
const FAILING_RATIO: f64 = 0.6;

/// Decayed counts of completed requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that failed or were rejected.
    pub failed: f64,
    /// Requests that were answered.
    pub answered: f64,
}

impl OutcomeCounts {
    /// Returns whether this many failures may make an upstream an outlier.
    pub fn may_be_failing(failed: f64) -> bool {
        failed >= MIN_FAILED
    }

    /// Returns whether an upstream fails most of its requests.
    pub fn is_failing(self) -> bool {
        let all = self.failed + self.answered;
        self.failed >= MIN_FAILED && self.failed > FAILING_RATIO * all
    }
}

/// Outcomes of this gateway's requests at one upstream.
#[derive(Debug)]
pub struct OutcomeTracker {
    counts: OutcomeCounts,
    updated: Instant,
}

impl OutcomeTracker {
    /// Creates a tracker without outcomes.
    pub fn new(now: Instant) -> OutcomeTracker {
        OutcomeTracker {
            counts: OutcomeCounts::default(),
            updated: now,
        }
    }

    /// Returns the counts, decayed until now.
    pub fn counts(&self, now: Instant) -> OutcomeCounts {
        let age = now.saturating_duration_since(self.updated);
        let remaining = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        OutcomeCounts {
            failed: self.counts.failed * remaining,
            answered: self.counts.answered * remaining,
        }
    }

    /// Returns the failures as of the last update, an upper bound on the decayed count.
    pub fn max_failed(&self) -> f64 {
        self.counts.failed
    }

    /// Records a request that failed or was rejected.
    pub fn record_failure(&mut self, now: Instant) {
        self.counts = self.counts(now);
        self.counts.failed += 1.0;
        self.updated = now;
    }

    /// Withdraws recorded failures: the upstream was only paused.
    pub fn withdraw_failures(&mut self, n: u32, now: Instant) {
        self.counts = self.counts(now);
        self.counts.failed = (self.counts.failed - f64::from(n)).max(0.0);
        self.updated = now;
    }

    /// Records a request that was answered.
    pub fn record_answer(&mut self, now: Instant) {
        self.counts = self.counts(now);
        self.counts.answered += 1.0;
        self.updated = now;
    }
}

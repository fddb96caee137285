//! Estimates the age of a caller's first attempt.
//!
//! A request doesn't indicate whether it is a first attempt. It does state its caller's timeout, the time
//! for which the caller still waits, and callers of a route usually start with the same timeout: a
//! caller that has 4.4 s left where others have 6 s was refused or not answered 1.6 s ago. Where
//! first timeouts differ between callers, only a timeout that is shorter by at least the minimum
//! retry delay indicates a retry. Where callers of a route state arbitrary timeouts, nothing can be
//! inferred, and each request counts as a first attempt.

use std::time::{Duration, Instant};

use crate::retry_after;

/// Time after which the longest timeout is forgotten if no caller states it any more.
const LONGEST_TTL: Duration = Duration::from_secs(10);

/// Fraction of the longest timeout from which on a timeout counts as equal to it: the head of a first
/// attempt travels for up to 8 ms of 6 s, and several times that on a narrow link.
const SAME_FRACTION: f64 = 0.97;

/// Weight of one request in a moving average.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Minimum share of first attempts among requests for the others to count as retries. When every
/// request was refused once, half of them are first attempts.
const MIN_FIRST_SHARE: f64 = 0.25;

/// Share of first attempts with less than the longest timeout above which timeouts are taken to
/// differ between callers. A few come from callers whose connection broke off and that retry at
/// once.
const MAX_SHORTER_SHARE: f64 = 0.1;

/// Estimator over the timeouts that callers of one route state.
#[derive(Debug, Clone)]
pub struct AttemptAgeEstimator {
    longest: Duration,
    longest_seen: Instant,
    /// Share of requests that are first attempts.
    first_share: f64,
    /// Share of shorter timeouts among requests that weren't refused before.
    shorter_share: f64,
}

impl AttemptAgeEstimator {
    /// Creates an estimator that has seen no request.
    pub fn new(now: Instant) -> AttemptAgeEstimator {
        AttemptAgeEstimator {
            longest: Duration::ZERO,
            longest_seen: now,
            first_share: 1.0,
            shorter_share: 0.0,
        }
    }

    /// Records a caller's timeout and returns the time since its first attempt, or zero if that can't
    /// be inferred.
    pub fn observe(&mut self, timeout: Duration, now: Instant) -> Duration {
        let is_expired = now.saturating_duration_since(self.longest_seen) > LONGEST_TTL;
        if timeout > self.longest || is_expired {
            self.longest = timeout;
        }
        let is_longest = timeout >= self.longest.mul_f64(SAME_FRACTION);
        if is_longest {
            self.longest_seen = now;
        }
        let was_refused = timeout + retry_after::min_busy_delay() < self.longest;
        if !was_refused {
            update_share(&mut self.shorter_share, !is_longest);
        }
        let is_first = match self.shorter_share > MAX_SHORTER_SHARE {
            true => !was_refused,
            false => is_longest,
        };
        update_share(&mut self.first_share, is_first);
        match is_first || self.first_share < MIN_FIRST_SHARE {
            true => Duration::ZERO,
            false => self.longest - timeout,
        }
    }
}

/// Adds one request to the moving average of a share.
fn update_share(share: &mut f64, is_member: bool) {
    let sample = match is_member {
        true => 1.0,
        false => 0.0,
    };
    *share += SAMPLE_WEIGHT * (sample - *share);
}

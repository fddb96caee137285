//! How long ago a caller first asked.
//!
//! A request doesn't say whether it is a first try. It does say how long its caller still waits, and
//! callers of a route usually begin with the same time: one that has 4.4 s left where others have 6 s was
//! refused or not answered 1.6 s ago. Where their times differ by themselves, only one that is shorter by
//! the time that a refused caller stays away at least says so. Where callers of a route state all kinds of
//! times, nothing follows from them, and each request counts as a first try.

use std::time::{Duration, Instant};

use crate::retry_after;

/// Time after which the longest time stated is forgotten, should no caller state it any more.
const FORGET: Duration = Duration::from_secs(10);

/// Part of the longest time stated that still counts as the same: the head of a first try has travelled
/// for up to 8 ms of 6 s, and on a narrow link some times that.
const SAME_PART: f64 = 0.97;

/// Weight of one request in a share of all.
const NEWEST: f64 = 0.02;

/// Share of requests that must be first tries for the others to count as tries again. When all were
/// refused once, half of them are first tries.
const LEAST_SHARE: f64 = 0.25;

/// Share of first tries that state less than the longest time from which on times differ by themselves:
/// a few come from callers whose connection broke off, and who ask again at once.
const LEAST_DIFFERENT: f64 = 0.1;

/// What callers of one route state.
#[derive(Debug, Clone)]
pub struct AttemptAgeEstimator {
    longest: Duration,
    seen: Instant,
    /// Share of requests that are first tries.
    first: f64,
    /// Share that state less than the longest time, of those that weren't refused before.
    different: f64,
}

impl AttemptAgeEstimator {
    /// Nothing is known before the first request.
    pub fn new(now: Instant) -> AttemptAgeEstimator {
        AttemptAgeEstimator {
            longest: Duration::ZERO,
            seen: now,
            first: 1.0,
            different: 0.0,
        }
    }

    /// Takes the time that a caller waits, and tells how long ago it first asked; zero where that can't
    /// be told.
    pub fn observe(&mut self, timeout: Duration, now: Instant) -> Duration {
        let forgotten = now.saturating_duration_since(self.seen) > FORGET;
        if timeout > self.longest || forgotten {
            self.longest = timeout;
        }
        let states_longest = timeout >= self.longest.mul_f64(SAME_PART);
        if states_longest {
            self.seen = now;
        }
        let was_refused = timeout + retry_after::min_busy_delay() < self.longest;
        if !was_refused {
            count(&mut self.different, !states_longest);
        }
        let is_first = match self.different > LEAST_DIFFERENT {
            true => !was_refused,
            false => states_longest,
        };
        count(&mut self.first, is_first);
        match is_first || self.first < LEAST_SHARE {
            true => Duration::ZERO,
            false => self.longest - timeout,
        }
    }
}

/// Counts one request in a share.
fn count(share: &mut f64, counts: bool) {
    let newest = match counts {
        true => 1.0,
        false => 0.0,
    };
    *share += NEWEST * (newest - *share);
}

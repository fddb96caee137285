//! Retry budget over all gateways.
//!
//! All gateways together may retry `ratio` of the requests of a window, and `slack` more. Each of them has a token
//! bucket that starts empty, gains tokens with its own requests and its share of the slack with time, and holds no
//! more than a fifth of what a window allows. So the retries of a window are at most the tokens gained in it, four
//! fifths of the budget, and those held before: however often gateways restart, the sum keeps within the budget
//! without coordination. A gateway that doesn't know how many share the slack, or that the others don't know, uses
//! none of it.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use catalog::ServiceName;

/// Fraction of the budget of a window that may be held as tokens. The rest is gained during the window.
const HELD_FRACTION: f64 = 0.2;

/// Fraction of the held tokens that is reserved for requests whose only attempt has failed.
const RESERVED_FRACTION: f64 = 0.5;

/// Token bucket of a service.
#[derive(Debug)]
struct Bucket {
    /// Retries that are available.
    tokens: f64,
    refilled: Instant,
    /// Requests of the last window.
    requests: VecDeque<Instant>,
}

/// Retry budget of each service.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    started: Instant,
    services: Mutex<Map<ServiceName, Bucket>>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests in a window, plus `slack` for all gateways
    /// together. Nothing is available at the start, since an earlier incarnation may have used it.
    pub fn new(window: Duration, ratio: f64, slack: f64, now: Instant) -> RetryBudget {
        RetryBudget {
            window,
            ratio,
            slack,
            started: now,
            services: Mutex::default(),
        }
    }

    /// Records a request that arrived.
    pub fn deposit(&self, service: &ServiceName, now: Instant) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = self.bucket(&mut services, service);
        bucket.requests.push_back(now);
        bucket.tokens += self.ratio * (1.0 - HELD_FRACTION);
        bucket.expire(now, self.window);
    }

    /// Withdraws one retry; returns `false` if the budget is used up. `gateways` is the number of
    /// those that share the slack, or `None` if this one has no share.
    pub fn withdraw(&self, service: &ServiceName, gateways: Option<usize>, now: Instant) -> bool {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = self.bucket(&mut services, service);
        self.refill(bucket, gateways, now);
        let is_available = bucket.tokens >= 1.0;
        if is_available {
            bucket.tokens -= 1.0;
        }
        is_available
    }

    /// Returns whether a retry is available beside those reserved for requests whose only attempt has failed.
    pub fn has_spare(&self, service: &ServiceName, gateways: Option<usize>, now: Instant) -> bool {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = self.bucket(&mut services, service);
        let max = self.refill(bucket, gateways, now);
        bucket.tokens >= 1.0 + (max * RESERVED_FRACTION).floor()
    }

    fn bucket<'a>(
        &self,
        services: &'a mut Map<ServiceName, Bucket>,
        service: &ServiceName,
    ) -> &'a mut Bucket {
        services.entry(service.clone()).or_insert_with(|| Bucket {
            tokens: 0.0,
            refilled: self.started,
            requests: VecDeque::new(),
        })
    }

    /// Adds the share of the slack since the last time, and returns the maximum number of tokens.
    fn refill(&self, bucket: &mut Bucket, gateways: Option<usize>, now: Instant) -> f64 {
        bucket.expire(now, self.window);
        let share = gateways.map_or(0.0, |n| self.slack / n.max(1) as f64);
        // A small share is held as a whole retry where it allows one.
        let held_share = (share * HELD_FRACTION).max(share.min(1.0));
        let elapsed = now.saturating_duration_since(bucket.refilled);
        let gained = (share - held_share) * elapsed.div_duration_f64(self.window);
        let max = self.ratio * bucket.requests.len() as f64 * HELD_FRACTION + held_share;
        bucket.tokens = (bucket.tokens + gained).min(max);
        bucket.refilled = now;
        max
    }
}

impl Bucket {
    fn expire(&mut self, now: Instant, window: Duration) {
        while self.requests.front().is_some_and(|at| now - *at > window) {
            self.requests.pop_front();
        }
    }
}

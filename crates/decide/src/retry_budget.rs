//! Retry budget over all gateways.
//!
//! All gateways together may retry `ratio` of the requests of a window, and `slack` more. A gateway
//! that limits itself to `ratio` of its own requests and its share of the slack keeps the sum within
//! the budget without coordination. A gateway that doesn't know how many share the slack, or that the
//! others don't know, uses none of it.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use catalog::ServiceName;

/// Fraction of the budget that is used. The rest allows for the windows of the other gateways and of
/// the bound, which differ.
const USED_FRACTION: f64 = 0.8;

/// Fraction of the retries that is reserved for requests whose only attempt has failed.
const RESERVED_FRACTION: f64 = 0.5;

/// Times of requests and retries.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Retry budget of each service.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    services: Mutex<Map<ServiceName, Window>>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests in a window, plus `slack` for all gateways
    /// together.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> RetryBudget {
        RetryBudget {
            window,
            ratio,
            slack,
            services: Mutex::default(),
        }
    }

    /// Records a request that arrived.
    pub fn deposit(&self, service: &ServiceName, now: Instant) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let window = services.entry(service.clone()).or_default();
        window.expire(now, self.window);
        window.requests.push_back(now);
    }

    /// Withdraws one retry; returns `false` if the budget is used up. `gateways` is the number of
    /// those that share the slack, or `None` if this one has no share.
    pub fn withdraw(&self, service: &ServiceName, gateways: Option<usize>, now: Instant) -> bool {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let window = services.entry(service.clone()).or_default();
        let is_available = self.available(window, gateways, now) >= 1.0;
        if is_available {
            window.retries.push_back(now);
        }
        is_available
    }

    /// Returns whether a retry is available beside those reserved for requests whose only attempt has failed.
    pub fn has_spare(&self, service: &ServiceName, gateways: Option<usize>, now: Instant) -> bool {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let window = services.entry(service.clone()).or_default();
        let reserved = (self.max(window, gateways) * RESERVED_FRACTION).floor();
        self.available(window, gateways, now) >= 1.0 + reserved
    }

    /// Returns the number of retries that are left.
    fn available(&self, window: &mut Window, gateways: Option<usize>, now: Instant) -> f64 {
        window.expire(now, self.window);
        self.max(window, gateways) - window.retries.len() as f64
    }

    fn max(&self, window: &Window, gateways: Option<usize>) -> f64 {
        let slack = gateways.map_or(0.0, |n| self.slack / n.max(1) as f64);
        (self.ratio * window.requests.len() as f64 + slack) * USED_FRACTION
    }
}

impl Window {
    fn expire(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
    }
}

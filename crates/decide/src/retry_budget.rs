//! Budget of requests sent again, over all gateways.
//!
//! All gateways together may send `ratio` of the requests of a window again, and `slack` more. A
//! gateway that keeps to `ratio` of its own requests and to its part of the slack holds the sum
//! without asking anyone.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use catalog::ServiceName;

/// Part of the budget that is used, for what the windows of others and of the bound differ by.
const USED: f64 = 0.8;

/// Times of requests and of those sent again.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Instant>,
    again: VecDeque<Instant>,
}

/// The budget.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    services: Mutex<Map<ServiceName, Window>>,
}

impl RetryBudget {
    /// A budget of `ratio` of the requests in a window, and `slack` for all gateways together.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> RetryBudget {
        RetryBudget {
            window,
            ratio,
            slack,
            services: Mutex::default(),
        }
    }

    /// Notes a request that came.
    pub fn deposit(&self, service: &ServiceName, now: Instant) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let window = services.entry(service.clone()).or_default();
        window.forget(now, self.window);
        window.requests.push_back(now);
    }

    /// Pays for sending a request again; `false` where the budget is used up.
    pub fn withdraw(&self, service: &ServiceName, gateways: usize, now: Instant) -> bool {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let window = services.entry(service.clone()).or_default();
        window.forget(now, self.window);
        let most = self.ratio * window.requests.len() as f64 + self.slack / gateways.max(1) as f64;
        if window.again.len() as f64 + 1.0 > most * USED {
            return false;
        }
        window.again.push_back(now);
        true
    }
}

impl Window {
    fn forget(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.again] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
    }
}

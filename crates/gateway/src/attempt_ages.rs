//! Attempt ages: the time since the first attempt of a request, estimated per route from callers' timeouts.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use decide::attempt_age::AttemptAgeEstimator;

/// Estimators of the attempt age, by route.
#[derive(Debug, Default)]
pub struct AttemptAges {
    routes: Mutex<Map<String, AttemptAgeEstimator>>,
}

impl AttemptAges {
    /// Returns the time since the first attempt of a request whose caller waits for `timeout`; zero where it can't be
    /// estimated.
    pub fn attempt_age(&self, route: &str, timeout: Option<Duration>, now: Instant) -> Duration {
        let Some(timeout) = timeout else {
            return Duration::ZERO;
        };
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        match routes.get_mut(route) {
            Some(estimator) => estimator.observe(timeout, now),
            None => {
                // Only the first request of a route copies its name.
                let mut estimator = AttemptAgeEstimator::new(now);
                let attempt_age = estimator.observe(timeout, now);
                routes.insert(route.to_owned(), estimator);
                attempt_age
            }
        }
    }
}

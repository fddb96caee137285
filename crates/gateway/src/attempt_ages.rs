//! How long ago callers first asked, by route.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use decide::attempt_age::AttemptAgeEstimator;

/// What callers of each route state.
#[derive(Debug, Default)]
pub struct AttemptAges {
    routes: Mutex<Map<String, AttemptAgeEstimator>>,
}

impl AttemptAges {
    /// Time since the caller of a request first asked; zero where that can't be told.
    pub fn attempt_age(&self, route: &str, patience: Option<Duration>, now: Instant) -> Duration {
        let Some(patience) = patience else {
            return Duration::ZERO;
        };
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        match routes.get_mut(route) {
            Some(stated) => stated.observe(patience, now),
            None => {
                // The first request of a route, so that no name is copied for the others.
                let mut stated = AttemptAgeEstimator::new(now);
                let waited = stated.observe(patience, now);
                routes.insert(route.to_owned(), stated);
                waited
            }
        }
    }
}

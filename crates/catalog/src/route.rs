//! Routes: the services of a request and the rules for handling it.

use std::time::Duration;

use base::Place;

use crate::ServiceName;

/// Kind of a route, by how often its requests may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent requests, which may run more than once.
    Idempotent,
    /// Requests that run at most once per attempt of the caller.
    AtMostOnce,
    /// A stream of events.
    Stream {
        /// Whether another upstream may resume it after the last event received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Weighted share of a route's traffic that goes to one service.
#[derive(Debug, Clone)]
pub struct Share {
    /// Service.
    pub service: ServiceName,
    /// Weight relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host to match.
    pub host: String,
    /// Path prefix to match; starts and ends with a slash.
    pub prefix: String,
    /// Kind, which decides on retries.
    pub kind: RouteKind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency objective of a response, or of the first event of a stream.
    pub objective: Duration,
    /// Objective for the pause between two events of a stream, if there is one.
    pub gap_objective: Option<Duration>,
    /// Maximum number of upstreams that one attempt of the caller is sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no API key.
    pub public: bool,
    /// Places where requests may run; empty for anywhere.
    pub allowed_places: Vec<Place>,
    /// Traffic split between services; never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// Returns the service for a random number in 0..1.
    pub fn service(&self, draw: f64) -> &ServiceName {
        let sum: f64 = self.shares.iter().map(|s| f64::from(s.weight)).sum();
        let mut left = draw * sum;
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return &share.service;
            }
        }
        &self.shares[self.shares.len() - 1].service
    }
}

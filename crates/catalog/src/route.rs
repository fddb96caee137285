//! Routes: which service a request goes to, and what may be done with it.

use std::time::Duration;

use base::Place;

use crate::ServiceName;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent; may run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    AtMostOnce,
    /// A stream of events.
    Stream {
        /// Whether it may go on at another upstream after the last event seen.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service's part of a route's traffic.
#[derive(Debug, Clone)]
pub struct Share {
    /// Service.
    pub service: ServiceName,
    /// Weight, against the sum of all.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host it is chosen by.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is of full use.
    pub objective: Duration,
    /// Most upstreams that one attempt of the caller may be sent to.
    pub max_attempts: u32,
    /// Rank, 0 being the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// Places where its requests may run; empty for anywhere.
    pub allowed_places: Vec<Place>,
    /// Services; never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// The service for a draw in 0..1.
    pub fn service(&self, draw: f64) -> &ServiceName {
        let sum: u32 = self.shares.iter().map(|s| s.weight).sum();
        let mut left = draw * f64::from(sum);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return &share.service;
            }
        }
        &self.shares[self.shares.len() - 1].service
    }
}

//! Slow start: request rate to a cold upstream over all gateways.
//!
//! An upstream is cold after a start or a drain, and may turn cold at any time. It then handles a few
//! requests a second, and fails far above that rate. Only the first [`SENDERS`] gateways of its
//! failure domain send to it ([`crate::senders`]).
//!
//! Gateways may differ in which others they know of, since some have just been added or removed, and
//! some were cut off. The rate is such that the bound holds while two disjoint lists are in use, or
//! while each sender has just restarted and doesn't know what it sent before. A gateway that isn't
//! listed sends nothing.
//!
//! Expected load: a whole failure domain that recovers at once, or a power loss of all of them, after
//! which all upstreams are cold, with the requests of the domain's own gateways.

use std::time::{Duration, Instant};

/// Number of gateways that send to one cold upstream.
pub const SENDERS: usize = 2;

/// Maximum number of different lists of gateways in use at once.
const LISTS: f64 = 2.0;

/// Maximum requests to a cold upstream in any second, from all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests a second that the upstream handles.
    pub rate: f64,
    /// Factor by which the rate may be exceeded.
    pub overage: f64,
    /// Requests a second allowed in addition.
    pub slack: f64,
}

impl Limit {
    /// Returns the number of requests that may arrive in a second.
    pub fn per_second(&self) -> f64 {
        self.rate * self.overage + self.slack
    }

    /// Returns the interval between two requests of one sender, or `None` if the limit is too low for
    /// any.
    pub fn interval(&self) -> Option<Duration> {
        let senders = SENDERS as f64;
        // A second may hold one request more of each sender than its rate implies.
        let of_list = self.per_second() / LISTS - senders;
        let rate = of_list.min(self.rate) / senders;
        let interval = Duration::try_from_secs_f64(1.0 / rate).ok();
        interval.filter(|_| rate > 0.0)
    }
}

/// Returns whether the gateway of a rank ([`crate::senders::rank`]) is a sender of a cold upstream.
pub fn is_sender(rank: usize) -> bool {
    rank < SENDERS
}

/// Returns whether a sender may send now, given when it last did.
pub fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}

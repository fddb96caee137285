//! Slow start: how fast a cold upstream gets requests, over all gateways.
//!
//! An upstream is cold after its start, after a drain, or at any moment. It then bears a few requests a second, and
//! falls over far above that. So only the first [`SENDERS`] gateways of its failure domain send there
//! ([`crate::senders`]).
//!
//! Gateways may differ in which others they know of, since some have just been added or removed, and some were cut
//! off. The rate is such that the bound holds while two lists without a common gateway are in use, or while each
//! sender has just started again and doesn't know what it sent before. A gateway that isn't listed sends nothing.
//!
//! The load it is for: a failure domain that returns at once, or a loss of power of all, after which all upstreams
//! are cold, with the requests of the domain's own gateways.

use std::time::{Duration, Instant};

/// Gateways that send to one cold upstream.
pub const SENDERS: usize = 2;

/// Lists of gateways that may be in use at once.
const LISTS: f64 = 2.0;

/// Requests that a cold upstream may get in any second, of all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests a second that it bears.
    pub rate: f64,
    /// Factor by which that may be exceeded.
    pub overage: f64,
    /// Requests beside those.
    pub slack: f64,
}

impl Limit {
    /// Requests that may come in a second.
    pub fn per_second(&self) -> f64 {
        self.rate * self.overage + self.slack
    }

    /// Time between two requests of one sender; `None` where the limit leaves none for it.
    pub fn interval(&self) -> Option<Duration> {
        let senders = SENDERS as f64;
        // A second may hold one request of a sender more than its rate says.
        let of_list = self.per_second() / LISTS - senders;
        let rate = of_list.min(self.rate) / senders;
        (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate))
    }
}

/// Returns whether the gateway of a rank ([`crate::senders::rank`]) is a sender of a cold upstream.
pub fn is_sender(rank: usize) -> bool {
    rank < SENDERS
}

/// Returns whether a sender may send now, by when it last did.
pub fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}

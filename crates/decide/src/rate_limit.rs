//! Rate limits that upstreams advertise, enforced over all gateways.
//!
//! An overloaded upstream advertises in its responses how many requests a second it accepts from all
//! gateways together. The first gateways of its failure domain by rank ([`crate::senders`]) divide the
//! rate, so that the limit holds without an exchange for each request. The others send nothing there,
//! and learn from the senders' updates whether the limit still holds. A gateway that receives no
//! update for long sends a request itself, the later the higher its rank: the senders may be down, and
//! no other gateway would notice that the limit was lifted.
//!
//! Gateways may differ in which others they know of. The pace is such that the limit holds while two
//! disjoint lists of gateways are in use.
//!
//! Expected load: an upstream that accepts a fifth of its previous request rate, or less, while each
//! of hundreds of gateways has requests for it.

use std::time::{Duration, Instant};

/// Time over which requests are counted: the users count over 4 s, and requests that are sent half a
/// second apart may arrive together.
const WINDOW: Duration = Duration::from_millis(4500);

/// Factor by which a window may exceed the limit.
const OVERAGE: f64 = 1.5;

/// Requests that a window may hold in addition.
const SLACK: f64 = 5.0;

/// Maximum number of different lists of gateways in use at once.
const LISTS: f64 = 2.0;

/// Minimum number of senders, so that the upstream still gets requests when one is lost.
const MIN_SENDERS: usize = 2;

/// Requests a second for which there is one more sender, since most requests arrive at gateways that
/// aren't senders.
const RATE_PER_SENDER: f64 = 4.0;

/// Maximum interval between two requests of a sender by the pace of a limit, for limits of almost 0.
const MAX_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum time between two requests of a sender at any limit: only a response shows that a limit was
/// lifted. It is longer than [`WINDOW`], so that a window holds one such request of each sender.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum time without an update after which a gateway that isn't a sender sends a request.
const MIN_SILENCE: Duration = Duration::from_secs(10);

/// Last known rate limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second from all gateways together.
    pub rate: f64,
    /// When the upstream last advertised the limit to any gateway.
    pub advertised: Instant,
}

impl RateLimit {
    /// Returns the number of gateways that divide the rate, of `gateways` in the upstream's failure
    /// domain.
    pub fn senders(&self, gateways: usize) -> usize {
        // Casts of floats saturate.
        let wanted = MIN_SENDERS.saturating_add((self.rate / RATE_PER_SENDER) as usize);
        wanted.min(gateways.max(1))
    }

    /// Returns the interval between two requests of one of `senders` gateways by the pace of the limit.
    pub fn interval(&self, senders: usize) -> Duration {
        let senders = senders as f64;
        let window = WINDOW.as_secs_f64();
        let allowed = (OVERAGE * self.rate * window + SLACK) / LISTS;
        // A window may hold one request more of each sender than its pace implies.
        let of_window = (allowed - senders) / (senders * window);
        let pace = of_window.min(self.rate / senders);
        Duration::try_from_secs_f64(1.0 / pace)
            .unwrap_or(MAX_INTERVAL)
            .min(MAX_INTERVAL)
    }

    /// Returns when the gateway of a rank among `gateways` may send next, given when it last did, or
    /// `None` if it may send now.
    pub fn next(&self, rank: usize, gateways: usize, last: Option<Instant>) -> Option<Instant> {
        let senders = self.senders(gateways);
        let interval = self.interval(senders);
        let band = u32::try_from(rank / senders).unwrap_or(u32::MAX);
        if band == 0 {
            return last.map(|last| last + interval.min(PROBE_INTERVAL));
        }
        let silence = MIN_SILENCE.max(2 * interval);
        let since = last.map_or(self.advertised, |last| last.max(self.advertised));
        Some(since + silence.saturating_mul(band))
    }
}

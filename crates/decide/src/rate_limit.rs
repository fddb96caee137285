//! Rate limits that upstreams name, over all gateways.
//!
//! An upstream in need names the requests a second that it takes of all gateways together, for as long as it says
//! so in its answers. The first gateways of its failure domain by rank ([`crate::senders`]) divide the rate, so
//! that the limit holds without an exchange for each request. The others send nothing there; they hear from the
//! senders that the limit still holds or was lifted. One that hears nothing for long takes a turn, the later the
//! higher its rank: the senders may be gone, and then nobody would find out that the limit was lifted.
//!
//! Gateways may differ in which others they know of. The pace is such that the limit holds while two lists of
//! gateways without a common one are in use.
//!
//! The load it is for: an upstream that takes a fifth of what it got, or less, while each of hundreds of gateways
//! has requests that it could run.

use std::time::{Duration, Instant};

/// Time over which requests are counted: the users count over 4 s, and requests that are sent half a second apart
/// may arrive together.
const WINDOW: Duration = Duration::from_millis(4500);

/// Factor by which a window may exceed the limit.
const OVERAGE: f64 = 1.5;

/// Requests that a window may hold beside those.
const SLACK: f64 = 5.0;

/// Lists of gateways that may be in use at once.
const LISTS: f64 = 2.0;

/// Fewest senders, so that one that is lost doesn't leave the upstream without requests.
const LEAST_SENDERS: usize = 2;

/// Limit for which there is one sender more: where few gateways send, most requests arrive at another one.
const RATE_PER_SENDER: f64 = 4.0;

/// Longest time between two requests of a sender, to find out that a limit of next to nothing was lifted.
const LONGEST_INTERVAL: Duration = Duration::from_secs(30);

/// Shortest time without news after which a gateway that isn't a sender takes a turn.
const LEAST_SILENCE: Duration = Duration::from_secs(10);

/// A rate limit, as it was last heard of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second of all gateways together.
    pub rate: f64,
    /// When the upstream last named it to any gateway, as far as is known.
    pub named: Instant,
}

impl RateLimit {
    /// Gateways that divide the rate, of so many in the upstream's failure domain.
    pub fn senders(&self, gateways: usize) -> usize {
        // Casts of floats saturate.
        let wanted = LEAST_SENDERS.saturating_add((self.rate / RATE_PER_SENDER) as usize);
        wanted.min(gateways.max(1))
    }

    /// Time between two requests of one of so many senders.
    pub fn interval(&self, senders: usize) -> Duration {
        let senders = senders as f64;
        let window = WINDOW.as_secs_f64();
        let allowed = (OVERAGE * self.rate * window + SLACK) / LISTS;
        // A window may hold one request of a sender more than its pace says.
        let of_window = (allowed - senders) / (senders * window);
        let pace = of_window.min(self.rate / senders);
        Duration::try_from_secs_f64(1.0 / pace)
            .unwrap_or(LONGEST_INTERVAL)
            .min(LONGEST_INTERVAL)
    }

    /// When a gateway of a rank among so many may send next, by when it last did.
    pub fn next(&self, rank: usize, gateways: usize, last: Option<Instant>) -> Option<Instant> {
        let senders = self.senders(gateways);
        let interval = self.interval(senders);
        let turn = u32::try_from(rank / senders).unwrap_or(u32::MAX);
        if turn == 0 {
            return last.map(|last| last + interval);
        }
        let silence = LEAST_SILENCE.max(2 * interval);
        let since = last.map_or(self.named, |last| last.max(self.named));
        Some(since + silence.saturating_mul(turn))
    }
}

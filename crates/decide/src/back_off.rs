//! Back-off that an upstream asks of one gateway.
//!
//! An upstream that rejects a request may state a time for which it wants no others from this gateway. Having nothing
//! in flight, it would be the first choice by load. Each gateway keeps to its own back-off only; the upstream may
//! accept requests of others.
//!
//! The load it is for: some upstreams of a service reject everything for seconds, while the others have room.

use std::time::{Duration, Instant};

/// Returns the end of the back-off after another answer asked for one. Answers overtake each other, so it is never
/// shortened.
pub fn until(known: Option<Instant>, asked: Duration, now: Instant) -> Instant {
    let until = now + asked;
    known.map_or(until, |known| known.max(until))
}

/// Returns when an upstream may be sent a request next, by its back-off and its rate limit. `None` and times in the
/// past stand for at once.
pub fn next_send(back_off: Option<Instant>, rate_limit: Option<Instant>) -> Option<Instant> {
    back_off.into_iter().chain(rate_limit).max()
}

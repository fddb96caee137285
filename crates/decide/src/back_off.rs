//! How long an upstream that turned a request away is left alone, as it asks.
//!
//! An upstream that refuses a request may name a time for which it wants no others of this gateway. It has nothing in
//! flight then, so a choice by load would prefer it to all that work. Each gateway keeps to what it was told itself;
//! others may be welcome.
//!
//! The load it is for: some upstreams of a service turn everything away for seconds, while the others have room.

use std::time::{Duration, Instant};

/// Returns until when an upstream is left alone that asks for a back-off now: of two that overlap the later end
/// holds, since answers overtake each other.
pub fn until(known: Option<Instant>, asked: Duration, now: Instant) -> Instant {
    let until = now + asked;
    known.map_or(until, |known| known.max(until))
}

/// Returns when an upstream may be sent a request next, by its back-off and by its rate limit; a moment that is past
/// and `None` stand for at once.
pub fn next_send(back_off: Option<Instant>, rate_limit: Option<Instant>) -> Option<Instant> {
    back_off.into_iter().chain(rate_limit).max()
}

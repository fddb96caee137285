//! Back-off that an upstream requests from one gateway.
//!
//! An upstream that rejects a request may state a time for which it accepts no others from this
//! gateway. With nothing in flight, it would otherwise be the first choice by load. Each gateway
//! applies only its own back-off, as the upstream may accept requests of others.
//!
//! Expected load: some upstreams of a service reject everything for seconds while the others have
//! free capacity.

use std::time::{Duration, Instant};

/// Returns the end of the back-off after another response requested one. Responses may arrive out of
/// order, so a back-off is never shortened.
pub fn until(known: Option<Instant>, requested: Duration, now: Instant) -> Instant {
    let until = now + requested;
    known.map_or(until, |known| known.max(until))
}

/// Returns the earliest time of the next request to an upstream, given its back-off and its rate
/// limit. `None` and past times mean that it may be sent now.
pub fn next_send(back_off: Option<Instant>, rate_limit: Option<Instant>) -> Option<Instant> {
    back_off.into_iter().chain(rate_limit).max()
}

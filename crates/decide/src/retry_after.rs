//! When a caller that is refused is told to come back.

use std::time::Duration;

/// Mean time to come back where all upstreams are busy: the time in which an engine ends about a third of
/// its batch. Twice as long serves no more (0.5 s and 1.5 s differ by less than two trials of the same).
const BUSY: Duration = Duration::from_millis(1500);

/// Mean time to come back where there is no upstream at all, which lasts until one has its weights.
const NOBODY: Duration = Duration::from_millis(2500);

/// Longest time to come back where all upstreams are limited or in a back-off: others may have room sooner.
const LONGEST: Duration = Duration::from_secs(10);

/// Part of the mean by which single times differ from it, so that those refused in one moment don't come
/// back in one moment.
const SPREAD: f64 = 0.3;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// All upstreams are full.
    Busy,
    /// No upstream may run it.
    NoUpstream,
}

/// Time to come back after, for a draw in 0..1.
pub fn jittered_delay(reason: Reason, draw: f64) -> Duration {
    let mean = match reason {
        Reason::Busy => BUSY,
        Reason::NoUpstream => NOBODY,
    };
    mean.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * draw)
}

/// Time to come back after where no upstream may be sent a request for `left`, for a draw in 0..1. It is spread, so
/// that callers rejected at once don't come back at once.
pub fn delay_until_available(left: Duration, draw: f64) -> Duration {
    left.mul_f64(1.0 + 2.0 * SPREAD * draw).min(LONGEST)
}

/// Time for which a caller that found all upstreams busy stays away at least.
pub fn min_busy_delay() -> Duration {
    jittered_delay(Reason::Busy, 0.0)
}

//! Delays after which refused callers should retry.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Mean delay while all upstreams are busy: the time in which an engine completes about a third of
/// its batch. A delay twice as long serves no more requests: 0.5 s and 1.5 s differ by less than two
/// runs with the same delay.
const BUSY_DELAY: Duration = Duration::from_millis(1500);

/// Mean delay while there is no upstream at all, which lasts until one has its weights.
const NO_UPSTREAM_DELAY: Duration = Duration::from_millis(2500);

/// Maximum delay while all upstreams are rate-limited or in a back-off, since other upstreams may
/// have free capacity sooner.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Jitter as a fraction of the mean, so that callers refused at the same time don't retry at the same
/// time.
const JITTER: f64 = 0.3;

/// Reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// All upstreams are full.
    Busy,
    /// No upstream may run the request.
    NoUpstream,
}

/// Returns the jittered delay for a refusal, for a random `draw` in 0..1.
pub fn jittered_delay(reason: Reason, draw: f64) -> Duration {
    let mean = match reason {
        Reason::Busy => BUSY_DELAY,
        Reason::NoUpstream => NO_UPSTREAM_DELAY,
    };
    mean.mul_f64(1.0 - JITTER + 2.0 * JITTER * draw)
}

/// Returns the shortest and the longest jittered delay for a refusal.
pub fn delay_range(reason: Reason) -> RangeInclusive<Duration> {
    jittered_delay(reason, 0.0)..=jittered_delay(reason, 1.0)
}

/// Returns the delay where no upstream may be sent a request for `remaining`, for a random `draw` in
/// 0..1. It is never shorter than `remaining`, up to the maximum, and jittered so that callers
/// refused at the same time don't retry at the same time.
pub fn delay_until_available(remaining: Duration, draw: f64) -> Duration {
    remaining.mul_f64(1.0 + 2.0 * JITTER * draw).min(MAX_DELAY)
}

/// Returns the minimum delay of a caller that was refused because all upstreams were busy.
pub fn min_busy_delay() -> Duration {
    jittered_delay(Reason::Busy, 0.0)
}

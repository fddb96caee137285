//! Gateways of a failure domain that read the store, and their retries.
//!
//! Few gateways read the store; the others replicate from them. If no replica arrives in time, the
//! next gateway by rank reads, and then the one after it. Further readers start at a fixed pace: if
//! all gateways of a large failure domain read whole tables at the same time, the responses would
//! fill their shared link, each read would time out, and all would read again.
//!
//! Expected load: a failure domain of any size whose first readers are down, cut off, or behind a
//! full link.

use std::time::Duration;

/// Age of the list of upstreams at which the second gateway reads it, as a multiple of the interval:
/// later than a replica from the first gateway arrives.
const SECOND_AGE: f64 = 1.3;

/// Age at which the third gateway reads the list, as a multiple of the interval.
const THIRD_AGE: f64 = 1.5;

/// Increase of that multiple for each further gateway.
const AGE_STEP: f64 = 0.3;

/// Maximum rank of a gateway that last failed to replicate the list. The gateways before it don't
/// serve it, and it would keep using an outdated list.
const FALLBACK_RANK: usize = 2;

/// Additional wait for an initial replica for each of the first [`LONG_WAIT_STEPS`] ranks: a
/// configuration of 0.7 MB takes 0.2 s on a link of 27 Mbit/s.
const LONG_WAIT_STEP: Duration = Duration::from_millis(250);

/// Number of ranks that wait longer by [`LONG_WAIT_STEP`].
const LONG_WAIT_STEPS: u32 = 4;

/// Additional wait for an initial replica for each later rank.
const WAIT_STEP: Duration = Duration::from_millis(100);

/// Delay after the first failed read, before jitter.
const BASE_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay, before jitter, of the first two gateways by rank, whose reads inform the others of
/// changes.
const MAX_READER_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay of the other gateways, before jitter.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Returns the rank by which a gateway reads, given whether it failed to replicate from the gateways
/// before it.
pub fn effective_rank(rank: usize, replication_failed: bool) -> usize {
    match replication_failed {
        true => rank.min(FALLBACK_RANK),
        false => rank,
    }
}

/// Returns the age of the list at which the gateway of a rank reads it, where the first reads it at
/// the interval.
pub fn list_read_age(interval: Duration, rank: usize) -> Duration {
    let multiple = match rank {
        0 => 1.0,
        1 => SECOND_AGE,
        _ => THIRD_AGE + AGE_STEP * (rank - 2) as f64,
    };
    interval.mul_f64(multiple)
}

/// Returns how long a starting gateway waits for a replica from a gateway before it in rank.
pub fn initial_replica_wait(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let later = WAIT_STEP.saturating_mul(rank.saturating_sub(LONG_WAIT_STEPS));
    LONG_WAIT_STEP.saturating_mul(rank.min(LONG_WAIT_STEPS)) + later
}

/// Returns the delay after this many failed reads in a row, for a random `draw` in 0..1.
pub fn retry_delay(rank: usize, failures: u32, draw: f64) -> Duration {
    match rank {
        0 | 1 => exponential_delay(MAX_READER_DELAY, failures, draw),
        _ => background_retry_delay(failures, draw),
    }
}

/// Returns the delay after failures of a call that isn't urgent.
pub fn background_retry_delay(failures: u32, draw: f64) -> Duration {
    exponential_delay(MAX_DELAY, failures, draw)
}

fn exponential_delay(max: Duration, failures: u32, draw: f64) -> Duration {
    let delay = BASE_DELAY.saturating_mul(2_u32.saturating_pow(failures.saturating_sub(1)));
    delay.min(max).mul_f64(1.0 + draw)
}

//! Which gateways of a failure domain read the store, and when they try again.
//!
//! Few gateways read; the others copy from them. Where no copy comes in time, the next in rank reads, and then the
//! one after it. The pace at which further ones begin is fixed: if all of a large failure domain read whole tables
//! at one moment, their answers would fill the link that they share, each read would fail for its time, and all
//! would read again. The load it answers: a failure domain of any size whose first readers are gone, cut off, or
//! behind a link that is full.

use std::time::Duration;

/// Age of the list of upstreams at which the second gateway reads it, as a part of the interval: later than a copy
/// from the first takes.
const SECOND_PART: f64 = 1.3;

/// The same for the third.
const THIRD_PART: f64 = 1.5;

/// The same for each one after it, more than the one before.
const EACH_PART: f64 = 0.3;

/// Largest rank of a gateway whose last try to copy the list failed: it isn't served by those before it, and would
/// go on by an old list.
const FALLBACK_RANK: usize = 2;

/// What a gateway that starts waits longer for a copy than the one before it, among the first [`PATIENT`]: a
/// configuration of 0.7 MB takes 0.2 s on a link of 27 Mbit/s.
const PATIENCE: Duration = Duration::from_millis(250);

/// Gateways that wait by [`PATIENCE`].
const PATIENT: u32 = 4;

/// What each one after those waits longer.
const PATIENCE_LATER: Duration = Duration::from_millis(100);

/// First pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause of the first two in rank, by whose reads the others learn of changes.
const FIRST_LONGEST: Duration = Duration::from_secs(1);

/// Longest pause of the others.
const LONGEST: Duration = Duration::from_secs(4);

/// Rank by which a gateway reads, where it may not get the copies of those before it.
pub fn effective_rank(rank: usize, replication_failed: bool) -> usize {
    match replication_failed {
        true => rank.min(FALLBACK_RANK),
        false => rank,
    }
}

/// Age of the list at which the gateway of a rank reads it, where the first reads it at the interval.
pub fn list_read_age(interval: Duration, rank: usize) -> Duration {
    let part = match rank {
        0 => 1.0,
        1 => SECOND_PART,
        _ => THIRD_PART + EACH_PART * (rank - 2) as f64,
    };
    interval.mul_f64(part)
}

/// Wait of a gateway that starts for a copy from one before it in rank.
pub fn initial_replica_wait(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let later = PATIENCE_LATER.saturating_mul(rank.saturating_sub(PATIENT));
    PATIENCE.saturating_mul(rank.min(PATIENT)) + later
}

/// Pause after so many failed reads in a row, for a draw in 0..1.
pub fn retry_delay(rank: usize, failures: u32, draw: f64) -> Duration {
    match rank {
        0 | 1 => doubled(FIRST_LONGEST, failures, draw),
        _ => background_retry_delay(failures, draw),
    }
}

/// The same for a call that is in no hurry.
pub fn background_retry_delay(failures: u32, draw: f64) -> Duration {
    doubled(LONGEST, failures, draw)
}

fn doubled(longest: Duration, failures: u32, draw: f64) -> Duration {
    let doubled = FIRST_PAUSE.saturating_mul(2_u32.saturating_pow(failures.saturating_sub(1)));
    doubled.min(longest).mul_f64(1.0 + draw)
}

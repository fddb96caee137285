//! When an engine may leave service to take new weights.
//!
//! An engine takes nothing new from the order until it holds the new version, so if all went at
//! once nobody would be served. Loaders rank themselves alike by rendezvous hash, without asking
//! each other: the first part goes as soon as it has the weights, the others when the first should
//! be back, early enough that all are done within the bound.

use std::time::{Duration, Instant};

use base::VmId;
use base::rendezvous::rank;
use catalog::WeightsVersion;

/// Part of the bound after which the second half begins.
const SECOND_PART: f64 = 0.62;

/// Whether a VM is among the first half of those that take a version.
pub fn is_first(own: &VmId, others: &[VmId], version: WeightsVersion) -> bool {
    let key = version.to_le_bytes();
    let own_rank = rank(&key, own);
    let before = others.iter().filter(|vm| rank(&key, vm) < own_rank).count();
    before < (others.len() + 1).div_ceil(2)
}

/// When a VM may begin; `since` is when the release became known, `bound` the time in which all
/// engines are to hold it.
pub fn begins(
    own: &VmId,
    others: &[VmId],
    version: WeightsVersion,
    since: Instant,
    bound: Duration,
) -> Instant {
    match is_first(own, others, version) {
        true => since,
        false => since + bound.mul_f64(SECOND_PART),
    }
}

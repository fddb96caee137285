//! When an engine may leave service to take new weights.
//!
//! An engine takes nothing new from the order until it holds the new version, so if all went at
//! once nobody would be served. Loaders rank themselves alike by rendezvous hash, without asking
//! each other, and go one after the other over the part of the bound in which the weights should
//! be everywhere, so that as few as possible are out of service at any moment.

use std::time::{Duration, Instant};

use base::VmId;
use base::rendezvous::rank;
use catalog::WeightsVersion;

/// Part of the bound after which the first engine begins, if it has the weights by then.
const FIRST_PART: f64 = 0.38;

/// Part of the bound after which the last engine begins: it must end what runs, and take the
/// weights, before the bound.
const LAST_PART: f64 = 0.78;

/// Part of the bound that a whole rollout takes: bringing the chunks, and the turns. All loaders must
/// decide alike on it, so it doesn't end at two seconds before the bound, by which releases often follow
/// each other.
const ROLLOUT_PART: f64 = 0.68;

/// Place of a VM among all that take a version, from 0 for the first to 1 for the last.
pub fn place(own: &VmId, others: &[VmId], version: WeightsVersion) -> f64 {
    let key = version.to_le_bytes();
    let own_rank = rank(&key, own);
    let before = others.iter().filter(|vm| rank(&key, vm) < own_rank).count();
    before as f64 / others.len().max(1) as f64
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
    let place = place(own, others, version);
    since + bound.mul_f64(FIRST_PART + (LAST_PART - FIRST_PART) * place)
}

/// Whether a version released so long ago may be left out for one that was released just now: whether
/// the newer one can be everywhere before the bound of the older one.
pub fn can_skip(elapsed: Duration, bound: Duration) -> bool {
    elapsed + bound.mul_f64(ROLLOUT_PART) <= bound
}

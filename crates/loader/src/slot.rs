//! Rollout slots: when an engine may leave service to switch weights.
//!
//! From a switch order until it holds the new version, an engine accepts no requests, so no requests could be
//! served if all engines switched at once. Loaders compute the same ranking of each other by rendezvous hash,
//! without coordination. Their slots follow each other over a part of the bound by which all engines have to hold
//! the version, so that as few engines as possible are out of service at any time.
//!
//! [`should_complete`] and [`can_skip`] apply if `predict_rollout` is off; otherwise [`decide::rollout`] decides.

use std::time::{Duration, Instant};

use base::VmId;
use base::rendezvous::rank;
use catalog::WeightsVersion;

/// Fraction of the bound after which the first slot starts, if the loader has the weights by then.
const FIRST_SLOT: f64 = 0.38;

/// Fraction of the bound after which the last slot starts: its engine must complete running requests and load the
/// weights before the bound.
const LAST_SLOT: f64 = 0.78;

/// Fraction of the bound that a complete rollout takes, from fetching chunks to the last slot. All loaders must
/// come to the same decision although they learn of a release at slightly different times. Releases often follow
/// each other by two seconds, so the rest of the bound must not be two seconds.
const ROLLOUT_TIME: f64 = 0.68;

/// Fraction of an older version's chunks that loaders must hold together for its fetch to be completed beside a
/// newer version: little of it is left to fetch, and if the origin becomes unreachable no other version can be
/// fetched. Two releases 2 s apart with an origin failure between them left 12 engines for 5 s without a version that
/// may run.
const MIN_AVAILABLE: f64 = 0.75;

/// Time without a chunk after which a fetch counts as stalled; chunks arrive every 30 to 150 ms.
const STALLED: Duration = Duration::from_millis(300);

/// Fraction of the bound within which an engine serves again after a switch order: 2 s of 8 s. It completes running
/// requests in 1.0 to 1.7 s and loads the weights in 0.3 s.
const SWITCH_TIME: f64 = 0.25;

/// Returns the position of a VM among all that switch to a version, from 0 for the first to 1 for the last.
pub fn position(own: &VmId, others: &[VmId], version: WeightsVersion) -> f64 {
    let key = version.to_le_bytes();
    let own_rank = rank(&key, own);
    let before = others.iter().filter(|vm| rank(&key, vm) < own_rank).count();
    before as f64 / others.len().max(1) as f64
}

/// Returns the start of a VM's slot; `since` is when the release became known, `bound` the time within which all
/// engines have to hold it.
pub fn slot_start(
    own: &VmId,
    others: &[VmId],
    version: WeightsVersion,
    since: Instant,
    bound: Duration,
) -> Instant {
    let position = position(own, others, version);
    since + bound.mul_f64(FIRST_SLOT + (LAST_SLOT - FIRST_SLOT) * position)
}

/// Returns whether the fetch of an older version is completed beside that of a newer one, by the fraction of its
/// chunks that loaders hold together.
pub fn should_complete(available: f64) -> bool {
    available >= MIN_AVAILABLE
}

/// Returns the start of the last slot: the latest time for an engine to start switching to a version and serve it
/// before the bound.
pub fn last_slot_start(since: Instant, bound: Duration) -> Instant {
    since + bound.mul_f64(LAST_SLOT)
}

/// A newer version that is still being fetched.
#[derive(Debug, Clone, Copy)]
pub struct PendingVersion {
    /// Missing chunks.
    pub missing: usize,
    /// Time in which the VM's link carries a chunk.
    pub chunk_time: Duration,
    /// Time since the last chunk arrived.
    pub stalled_for: Duration,
    /// When the version became known.
    pub since: Instant,
}

impl PendingVersion {
    /// Returns whether an engine should switch to a complete older version instead of waiting for this one. That is
    /// so if this version is stalled, or arrives neither by `needed` nor within the time of a switch, and the older
    /// one can serve for long enough before the bound of this one. From `expired` on, the engine has no version
    /// that it may serve, and loses nothing by switching.
    pub fn is_too_late(
        &self,
        needed: Instant,
        expired: Instant,
        bound: Duration,
        now: Instant,
    ) -> bool {
        let switch = bound.mul_f64(SWITCH_TIME);
        let stalled = self.missing > 0 && self.stalled_for > STALLED;
        let complete_at = now + self.chunk_time * u32::try_from(self.missing).unwrap_or(u32::MAX);
        let is_late = stalled || complete_at > needed.max(now + switch);
        let serves_until = self.since + bound;
        is_late && (now >= expired || serves_until > now + 2 * switch)
    }
}

/// Returns whether a version released `elapsed` ago may be skipped for one released just now: whether the newer one
/// can be on all engines before the bound of the older one.
pub fn can_skip(elapsed: Duration, bound: Duration) -> bool {
    elapsed + bound.mul_f64(ROLLOUT_TIME) <= bound
}

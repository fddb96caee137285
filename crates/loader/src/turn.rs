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

/// Part of an older version's chunks that loaders hold together from which on it is brought to its end
/// beside a newer one: little of it has still to be drawn, and should the origin go away it is all there
/// is. Two releases 2 s apart with an origin that fails between them left 12 engines without a version
/// that may run for 5 s.
const KEPT_PART: f64 = 0.75;

/// Time without a chunk after which a version doesn't come on: chunks come each 30 to 150 ms.
const STALLED: Duration = Duration::from_millis(300);

/// Part of the bound in which an engine that is given an order serves again. Of 8 s it is 2 s: it ends what
/// runs in 1.0 to 1.7 s and takes the weights in 0.3 s.
const SWITCH_PART: f64 = 0.25;

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

/// Whether an older version, of which loaders hold a part together, is brought to its end beside a newer.
pub fn is_kept(obtainable: f64) -> bool {
    obtainable >= KEPT_PART
}

/// When an engine may begin on an older version at the latest to serve by it before the bound.
pub fn last_turn(since: Instant, bound: Duration) -> Instant {
    since + bound.mul_f64(LAST_PART)
}

/// A newer version that is on its way.
#[derive(Debug, Clone, Copy)]
pub struct Coming {
    /// Chunks that are missing here.
    pub missing: usize,
    /// Time in which the VM's link carries a chunk.
    pub chunk_time: Duration,
    /// Time since the last chunk came.
    pub stood_still: Duration,
    /// When the version became known.
    pub since: Instant,
}

impl Coming {
    /// Whether an engine takes an older version that is here whole, instead of waiting for this one: this
    /// one won't be here by `needed`, or by now, and the older one serves for long enough until its own
    /// bound. An engine that serves nothing since `over` loses nothing by taking it.
    pub fn is_too_late(
        &self,
        needed: Instant,
        over: Instant,
        bound: Duration,
        now: Instant,
    ) -> bool {
        let switch = bound.mul_f64(SWITCH_PART);
        let stalled = self.missing > 0 && self.stood_still > STALLED;
        let here_at = now + self.chunk_time * u32::try_from(self.missing).unwrap_or(u32::MAX);
        let is_late = stalled || here_at > needed.max(now + switch);
        let serves_until = self.since + bound;
        is_late && (now >= over || serves_until > now + 2 * switch)
    }
}

/// Whether a version released so long ago may be left out for one that was released just now: whether
/// the newer one can be everywhere before the bound of the older one.
pub fn can_skip(elapsed: Duration, bound: Duration) -> bool {
    elapsed + bound.mul_f64(ROLLOUT_PART) <= bound
}

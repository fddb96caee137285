//! Admission by priority: a pooled reserve (trunk reservation).
//!
//! A request's rank is derived from its deadline class and its priority. It may take a slot only while the free
//! capacity of all upstreams that may run it exceeds a reserve that grows with the rank. The most urgent rank has no
//! reserve. The threshold depends on the current load sums alone, so it follows the load as fast as these do.
//!
//! Handles pools of any size in sustained overload: at 1.3 to 1.7 times the capacity the least urgent ranks are refused,
//! except for a share of each, so that no route is starved.

use std::time::{Duration, Instant};

use crate::DeadlineClass;

/// Rank of a request; 0 is the most urgent. Late ranks follow all on-time ranks.
pub type Rank = u32;

/// Reserve of each rank above that of the previous one, as a fraction of the slots of the pool. More urgent requests
/// that arrive in the 25 ms until gateways of the failure domain know of a taken slot, and the 130 ms until the others
/// do, take 3% to 4% of 700 slots at 250 to 300 a second. In `tests/priority.rs` with 58 engines and 38 gateways, 1%
/// leaves the most urgent route fewer on time than the least urgent at 1.3 times the capacity; 4% with 24 engines
/// refuses a tenth of the least urgent at 0.8 of it.
pub const STEP_FRACTION: f64 = 0.025;

/// Minimum reserve of each rank above that of the previous one, in requests: with less than one, the next free slot goes
/// to any rank.
const MIN_STEP: f64 = 1.0;

/// Maximum reserve as a fraction of the capacity of an idle pool, so that an idle pool admits every rank. Only in pools
/// of a few slots are the reserves of late ranks limited by it.
const MAX_RESERVE_FRACTION: f64 = 0.75;

/// Time without an observation after which a shortage counts as ended. Gateways with few callers observe the pool some
/// 20 times a second.
const MAX_OBSERVATION_GAP: Duration = Duration::from_millis(250);

/// Maximum number of priorities that are told apart, so that reserves stay small where workspaces have many
/// priorities. Neighbouring ones share a rank beyond that.
const MAX_LEVELS: usize = 4;

/// Returns the rank of a request, given the distinct priorities of its service in ascending order. A priority that isn't
/// among them counts as the next more urgent one, or else as the most urgent one.
pub fn rank<P: Ord>(class: DeadlineClass, priority: P, priorities: &[P]) -> Rank {
    let at_most = priorities.iter().filter(|p| **p <= priority).count();
    let levels = levels(priorities);
    let index = at_most.saturating_sub(1) * levels / priorities.len().max(1);
    match class {
        DeadlineClass::OnTime => index as Rank,
        DeadlineClass::Late => (index + levels) as Rank,
    }
}

/// Returns the number of ranks of a service whose requests have some distinct priorities.
pub fn ranks<P>(priorities: &[P]) -> Rank {
    2 * levels(priorities) as Rank
}

fn levels<P>(priorities: &[P]) -> usize {
    priorities.len().min(MAX_LEVELS)
}

/// Returns whether a request counts as being of the most urgent priority so that no route is starved, for a `draw` in
/// 0..1 that is fixed for the request.
pub fn is_promoted(draw: f64, min_share: f64) -> bool {
    draw < min_share
}

/// What a request is admitted by. Requests of one rank whose workspace is over its share come after the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Standing {
    /// Rank.
    pub rank: Rank,
    /// Whether its workspace is over its share, by [`crate::fairness`].
    pub is_over_share: bool,
}

impl Standing {
    /// Standing of a request that has been admitted before.
    pub const ADMITTED: Standing = Standing {
        rank: 0,
        is_over_share: false,
    };

    /// Returns the priority in a queue, 0 being the most urgent.
    pub fn queue_priority(&self) -> u8 {
        u8::try_from(2 * self.rank + Rank::from(self.is_over_share)).unwrap_or(u8::MAX)
    }
}

/// Capacity of all upstreams that may run a request, in requests like it.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Pool {
    /// Slots.
    pub slots: f64,
    /// Capacity without any load.
    pub idle: f64,
    /// Free capacity.
    pub free: f64,
}

impl Pool {
    /// Adds an upstream.
    pub fn add(&mut self, slots: u32, idle: f64, free: f64) {
        self.slots += f64::from(slots);
        self.idle += idle;
        self.free += free;
    }

    /// Returns whether a request may take a slot. A pool without upstreams has no reserve.
    pub fn admits(&self, rank: Rank) -> bool {
        rank == 0 || self.slots == 0.0 || self.free > self.reserve(rank)
    }

    /// Returns whether a request with this standing may take a slot. One whose workspace is over its share leaves half a
    /// step more than others of its rank, at least one request, and never more than the next rank.
    pub fn admits_standing(&self, standing: Standing) -> bool {
        if !standing.is_over_share {
            return self.admits(standing.rank);
        }
        let (reserve, next) = (self.reserve(standing.rank), self.reserve(standing.rank + 1));
        let extra = (self.step() / 2.0).max(MIN_STEP);
        self.slots == 0.0 || self.free > (reserve + extra).min(next)
    }

    /// Returns the free capacity that requests of a rank leave to more urgent ones.
    pub fn reserve(&self, rank: Rank) -> f64 {
        (f64::from(rank) * self.step()).min(self.idle * MAX_RESERVE_FRACTION)
    }

    fn step(&self) -> f64 {
        (self.slots * STEP_FRACTION).max(MIN_STEP)
    }

    /// Returns the most urgent of `ranks` ranks that isn't admitted.
    pub fn first_refused(&self, ranks: Rank) -> Option<Rank> {
        (0..ranks).find(|rank| !self.admits(*rank))
    }

    /// Returns the free fraction of the capacity.
    pub fn free_fraction(&self) -> f64 {
        match self.idle > 0.0 {
            true => self.free / self.idle,
            false => 0.0,
        }
    }
}

/// Since when a pool has been below the reserve of each rank. Holds 24 bytes for each rank.
#[derive(Debug, Default, Clone)]
pub struct Shortage {
    /// Start of the shortage, by rank.
    since: Vec<Option<Instant>>,
    observed: Option<Instant>,
}

impl Shortage {
    /// Records the state of the pool.
    pub fn observe(&mut self, pool: &Pool, ranks: Rank, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= MAX_OBSERVATION_GAP;
        if !self.observed.is_some_and(is_recent) {
            self.since.clear();
        }
        self.observed = Some(now);
        self.since.resize(ranks as usize, None);
        for (rank, since) in (0..).zip(&mut self.since) {
            *since = match pool.admits(rank) {
                true => None,
                false => Some(since.unwrap_or(now)),
            };
        }
    }

    /// Returns whether the pool has been below the reserve of a rank for at least `time`.
    pub fn lasts(&self, rank: Rank, time: Duration, now: Instant) -> bool {
        let since = self.since.get(rank as usize).copied().flatten();
        since.is_some_and(|since| now.saturating_duration_since(since) >= time)
    }
}

//! Requests that other gateways have in flight at each upstream, and their recent outcomes.
//!
//! In a small failure domain the gateways send each other an update after each change. In a large one a leader
//! relays changes (see [`crate::load_updates`]), and all send each other full updates at intervals. Links to
//! other failure domains are narrow and shared with requests and weights, so one gateway sends the sum of its failure
//! domain there at intervals: the first by VM of those that were recently seen. There is no election: two gateways
//! that both consider themselves the first do no harm, since a newer sum replaces an older one. One gateway of the
//! other failure domain receives the sum and relays it there.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Map, StoreRevision, VmId};
use beacon::{Load, LoadChange, LoadUpdate};
use decide::outlier_detection::OutcomeCounts;

use crate::load_sums::LoadSums;

/// Time after which an update expires; updates arrive several times as often.
const UPDATE_TTL: Duration = Duration::from_millis(1500);

/// Time without an update after which a gateway loses its rank; updates arrive at least every 600 ms.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time between two sweeps of expired updates.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time without relayed changes after which the gateway that relays them counts as unreachable: it sends them every
/// [`RELAY_INTERVAL`](decide::fanout::RELAY_INTERVAL) while anything changes.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of upstreams in an update, so that it fits a datagram.
pub const MAX_LOADS: usize = 80;

/// Requests of other gateways at an upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PeerLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens that aren't read yet.
    pub unread: u64,
    /// Recent outcomes of requests.
    pub outcomes: OutcomeCounts,
}

/// An update, and when its sender was last seen.
#[derive(Debug)]
struct Received {
    update: LoadUpdate,
    last_seen: Instant,
}

/// Updates and their sums.
#[derive(Debug, Default)]
struct State {
    /// Updates of gateways of the own failure domain.
    near: Map<VmId, Received>,
    /// Datagram addresses of these gateways.
    addresses: Map<VmId, SocketAddr>,
    near_sums: LoadSums,
    /// Sums of other failure domains.
    far: Map<DomainName, Received>,
    far_sums: LoadSums,
    last_sweep: Option<Instant>,
    /// When another gateway last relayed changes.
    last_relayed: Option<Instant>,
}

/// Loads of all other gateways.
#[derive(Debug, Default)]
pub struct LoadTable {
    state: Mutex<State>,
}

impl LoadTable {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an update of a gateway of the own failure domain, unless a newer one is known. Returns whether that
    /// gateway is new: its last update has expired, or it has restarted.
    pub fn apply_update(&self, update: LoadUpdate, now: Instant) -> bool {
        let mut state = self.state();
        state.sweep(now);
        let known = state.near.get(&update.from);
        let is_same =
            |r: &Received| r.update.incarnation == update.incarnation && !r.is_expired(now);
        let is_new = !known.is_some_and(is_same);
        if known.is_none_or(|known| known.is_superseded_by(&update, now)) {
            state.near_sums.add(&update.loads);
            let received = Received {
                update,
                last_seen: now,
            };
            let previous = state.near.insert(received.update.from.clone(), received);
            if let Some(previous) = previous {
                state.near_sums.remove(&previous.update.loads);
            }
        }
        is_new
    }

    /// Records the datagram address of a gateway of the own failure domain, which may not be listed here yet.
    pub fn record_address(&self, vm: &VmId, address: SocketAddr) {
        let mut state = self.state();
        if state.addresses.get(vm) != Some(&address) {
            state.addresses.insert(vm.clone(), address);
        }
    }

    /// Returns the recently seen gateways of the own failure domain, and their datagram addresses.
    pub fn addresses(&self, now: Instant) -> Vec<(VmId, SocketAddr)> {
        let state = self.state();
        let address =
            |update: &LoadUpdate| Some((update.from.clone(), *state.addresses.get(&update.from)?));
        state.recent(now).filter_map(address).collect()
    }

    /// Applies changes that a gateway relays for the whole own failure domain. A change of a gateway without a full
    /// update is skipped: that update arrives soon.
    pub fn apply_changes(&self, own: &VmId, changes: Vec<LoadChange>, now: Instant) {
        let mut state = self.state();
        state.sweep(now);
        state.last_relayed = Some(now);
        for change in changes.into_iter().filter(|c| c.from != *own) {
            state.apply_change(change, now);
        }
    }

    /// Applies changes of the sum of another failure domain, unless newer changes of the same gateway are known. An
    /// update of another gateway, or of a restarted one, replaces the sum.
    pub fn apply_domain_update(&self, update: LoadUpdate, now: Instant) {
        let mut state = self.state();
        state.sweep(now);
        let known = state.far.get(&update.domain);
        if known.is_none_or(|known| known.is_superseded_by(&update, now)) {
            state.apply_far_change(update, now);
        }
    }

    /// Returns the load of other gateways at an upstream.
    pub fn peer_load(&self, upstream: &SocketAddr) -> PeerLoad {
        self.peer_loads().get(upstream)
    }

    /// Locks the loads of other gateways, for a choice among many upstreams.
    pub fn peer_loads(&self) -> PeerLoads<'_> {
        PeerLoads(self.state())
    }

    /// Returns the rank by VM of a gateway among the recently seen ones of its failure domain. The first, of rank 0,
    /// does the work that one gateway can do for all.
    pub fn rank(&self, own: &VmId, now: Instant) -> usize {
        self.state().preceding(own, now).count()
    }

    /// Returns the first `n` recently seen gateways of the failure domain by VM. The own one counts, but is left out.
    pub fn leaders(&self, own: &VmId, n: usize, now: Instant) -> Vec<VmId> {
        let state = self.state();
        let mut vms: Vec<&VmId> = state.recent(now).map(|update| &update.from).collect();
        vms.push(own);
        vms.sort();
        let leaders = vms.into_iter().take(n).filter(|vm| *vm != own);
        leaders.cloned().collect()
    }

    /// Returns whether another gateway has recently relayed changes.
    pub fn is_relayed(&self, now: Instant) -> bool {
        let last_relayed = self.state().last_relayed;
        last_relayed.is_some_and(|at| now.saturating_duration_since(at) < RELAY_TIMEOUT)
    }

    /// Returns the loads of each recently seen gateway of the failure domain.
    pub fn near_loads(&self, now: Instant) -> Vec<LoadChange> {
        let state = self.state();
        let near = state.recent(now).map(|update| LoadChange {
            from: update.from.clone(),
            incarnation: update.incarnation,
            sequence: update.sequence,
            loads: update.loads.clone(),
        });
        near.collect()
    }

    /// Returns the rank of a gateway among those that reach the store. While none does, this gateway included, it is
    /// the rank among all: otherwise each would be the first, and all would read the complete configuration at once
    /// when the store recovers.
    pub fn store_rank(&self, own: &VmId, reaches_store: bool, now: Instant) -> usize {
        let state = self.state();
        let is_any_connected =
            reaches_store || state.recent(now).any(|update| update.reaches_store);
        let preceding = state.preceding(own, now);
        preceding
            .filter(|update| !is_any_connected || update.reaches_store)
            .count()
    }

    /// Returns the newest revision of the configuration that another gateway has, near or far.
    pub fn newest_configuration(&self, now: Instant) -> StoreRevision {
        let state = self.state();
        let all = state.near.values().chain(state.far.values());
        let recent = all.filter(|r| !r.is_expired(now));
        recent
            .map(|r| r.update.configuration)
            .max()
            .unwrap_or_default()
    }

    /// Returns the replica address of the gateway to query for the state of the store: the first gateway of the
    /// failure domain that reaches the store, or one of another failure domain. `None` where that is this gateway
    /// itself, or no gateway reaches the store.
    pub fn store_reader(
        &self,
        own: &VmId,
        reaches_store: bool,
        now: Instant,
    ) -> Option<SocketAddr> {
        let state = self.state();
        let near = state.recent(now).filter(|update| update.reaches_store);
        let first = near.min_by(|a, b| a.from.cmp(&b.from));
        match first {
            Some(update) if !reaches_store || update.from < *own => Some(update.replica_addr),
            None if !reaches_store => state.far_reader(now),
            _ => None,
        }
    }

    /// Returns the sum of the own failure domain, including the `own` loads of this gateway, in the order of the
    /// upstreams' addresses.
    pub fn domain_loads(&self, own: &[Load]) -> Vec<Load> {
        let own_sums = {
            let mut sums = LoadSums::default();
            sums.add(own);
            sums
        };
        let state = self.state();
        let all = state.near_sums.upstreams().chain(own_sums.upstreams());
        let mut upstreams: Vec<SocketAddr> = all.copied().collect();
        upstreams.sort();
        upstreams.dedup();
        let load = |upstream: SocketAddr| {
            let sum = state.near_sums.get(&upstream) + own_sums.get(&upstream);
            Load {
                upstream,
                requests: u16::try_from(sum.requests).unwrap_or(u16::MAX),
                unread: u32::try_from(sum.unread).unwrap_or(u32::MAX),
                // Casts of floats saturate.
                failed: sum.outcomes.failed as u16,
                answered: sum.outcomes.answered as u16,
            }
        };
        upstreams.into_iter().map(load).collect()
    }
}

/// Locked loads of all other gateways.
#[derive(Debug)]
pub struct PeerLoads<'a>(MutexGuard<'a, State>);

impl PeerLoads<'_> {
    /// Returns the load of other gateways at an upstream.
    pub fn get(&self, upstream: &SocketAddr) -> PeerLoad {
        self.0.near_sums.get(upstream) + self.0.far_sums.get(upstream)
    }
}

impl std::ops::Add for PeerLoad {
    type Output = PeerLoad;

    fn add(self, other: PeerLoad) -> PeerLoad {
        PeerLoad {
            requests: self.requests + other.requests,
            unread: self.unread + other.unread,
            outcomes: OutcomeCounts {
                failed: self.outcomes.failed + other.outcomes.failed,
                answered: self.outcomes.answered + other.outcomes.answered,
            },
        }
    }
}

/// Returns a gateway of each other failure domain, chosen round-robin by `sequence`, so that an unreachable or frozen
/// one only costs an update now and then.
pub fn receiver_per_domain(far: &[Vec<SocketAddr>], sequence: u64) -> Vec<SocketAddr> {
    let receiver = |domain: &Vec<SocketAddr>| {
        let n = u64::try_from(domain.len()).ok().filter(|n| *n > 0)?;
        let i = usize::try_from(sequence % n).ok()?;
        domain.get(i).copied()
    };
    far.iter().filter_map(receiver).collect()
}

/// Returns the largest loads, as many as fit an update. A metric counts those that are left out.
pub fn largest_loads(mut loads: Vec<Load>) -> Vec<Load> {
    if loads.len() > MAX_LOADS {
        let left_out = loads.len() - MAX_LOADS;
        metrics::counter!("driftnotch_loads_left_out_total").increment(left_out as u64);
        loads.sort_by_key(|l| std::cmp::Reverse((l.requests, l.unread)));
        loads.truncate(MAX_LOADS);
    }
    loads
}

impl Received {
    /// Returns whether an update replaces this one: it is a later one of the same sender, or of another sender, or
    /// this one has expired. The wall clock, from which incarnations are derived, may have been set back.
    fn is_superseded_by(&self, update: &LoadUpdate, now: Instant) -> bool {
        let is_later =
            (update.incarnation, update.sequence) > (self.update.incarnation, self.update.sequence);
        is_later || update.from != self.update.from || self.is_expired(now)
    }

    /// Returns whether the sender was recently seen.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_seen) < PEER_TIMEOUT
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_seen) >= UPDATE_TTL
    }
}

impl State {
    /// Iterates over the updates of the recently seen gateways of the failure domain.
    fn recent(&self, now: Instant) -> impl Iterator<Item = &LoadUpdate> {
        let is_recent = move |r: &&Received| r.is_recent(now);
        self.near.values().filter(is_recent).map(|r| &r.update)
    }

    /// Iterates over the updates of those that precede a gateway by VM.
    fn preceding(&self, own: &VmId, now: Instant) -> impl Iterator<Item = &LoadUpdate> {
        self.recent(now).filter(move |update| update.from < *own)
    }

    /// Returns the replica address of a gateway of another failure domain that reaches the store.
    fn far_reader(&self, now: Instant) -> Option<SocketAddr> {
        let mut far = self.far.values().filter(|r| r.is_recent(now));
        far.find(|r| r.update.reaches_store)
            .map(|r| r.update.replica_addr)
    }

    /// Replaces changed loads in a gateway's update.
    fn apply_change(&mut self, change: LoadChange, now: Instant) {
        let Some(received) = self.near.get_mut(&change.from) else {
            return;
        };
        let update = &mut received.update;
        if update.incarnation != change.incarnation || update.sequence >= change.sequence {
            return;
        }
        received.last_seen = now;
        update.sequence = change.sequence;
        replace_loads(&mut update.loads, change.loads, &mut self.near_sums);
    }

    /// Replaces changed loads in the sum of another failure domain, or the whole sum.
    fn apply_far_change(&mut self, update: LoadUpdate, now: Instant) {
        let sender = |update: &LoadUpdate| (update.from.clone(), update.incarnation);
        let known = self.far.remove(&update.domain);
        let is_continued =
            |r: &Received| sender(&r.update) == sender(&update) && !r.is_expired(now);
        let mut loads = match known {
            Some(known) if is_continued(&known) => known.update.loads,
            Some(previous) => {
                self.far_sums.remove(&previous.update.loads);
                Vec::new()
            }
            None => Vec::new(),
        };
        let mut update = update;
        replace_loads(
            &mut loads,
            std::mem::take(&mut update.loads),
            &mut self.far_sums,
        );
        update.loads = loads;
        self.far.insert(
            update.domain.clone(),
            Received {
                update,
                last_seen: now,
            },
        );
    }

    /// Drops expired updates.
    fn sweep(&mut self, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < SWEEP_INTERVAL;
        if self.last_sweep.is_some_and(is_recent) {
            return;
        }
        self.last_sweep = Some(now);
        let sums = &mut self.near_sums;
        self.near.retain(|_, received| retain(received, sums, now));
        let near = &self.near;
        self.addresses.retain(|vm, _| near.contains_key(vm));
        let sums = &mut self.far_sums;
        self.far.retain(|_, received| retain(received, sums, now));
    }
}

/// Replaces changed loads in `known` and in the sums.
fn replace_loads(known: &mut Vec<Load>, changed: Vec<Load>, sums: &mut LoadSums) {
    for load in changed {
        sums.add(&[load]);
        match known.iter_mut().find(|l| l.upstream == load.upstream) {
            Some(known) => sums.remove(&[std::mem::replace(known, load)]),
            None => known.push(load),
        }
    }
}

/// Returns whether an update is still valid; subtracts the loads of an expired one from the sums.
fn retain(received: &Received, sums: &mut LoadSums, now: Instant) -> bool {
    let is_valid = !received.is_expired(now);
    if !is_valid {
        sums.remove(&received.update.loads);
    }
    is_valid
}

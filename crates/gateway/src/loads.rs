//! What other gateways have in flight at each upstream, and how they lately fared there.
//!
//! Few gateways of a failure domain tell each other after each change; where there are many, the first of
//! them passes changes on (see [`crate::load_updates`]), and all tell each other at intervals. To other domains, whose
//! links are narrow and shared with requests and weights, one gateway tells the sum of its domain at
//! intervals: the first by VM of those that were heard lately. No one is chosen for it; two that both take
//! themselves for the first do no harm, since a newer sum replaces an older one. One gateway of the other
//! domain takes it and passes it on there.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Map, Revision, VmId};
use beacon::{Load, LoadChange, LoadUpdate};
use decide::outlier_detection::OutcomeCounts;

use crate::load_sums::LoadSums;

/// A note older than this says nothing any more; notes come several times as often.
const NOTE_TIME: Duration = Duration::from_millis(1500);

/// A gateway that was not heard for this long has no rank any more; notes come at least each 600 ms.
const HEARD_TIME: Duration = Duration::from_millis(1000);

/// Time between two looks for notes that are out of date.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time without changes passed on after which the gateway that does so counts as lost: it does so each
/// 40 ms while anything changes.
const RELAY_SILENT: Duration = Duration::from_millis(300);

/// Most upstreams in one note, so that it fits a datagram.
pub const MAX_LOADS: usize = 80;

/// Requests of others at an upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PeerLoad {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens not yet read.
    pub unread: u64,
    /// How requests lately ended.
    pub outcomes: OutcomeCounts,
}

/// A note, and when its sender was last heard.
#[derive(Debug)]
struct Heard {
    note: LoadUpdate,
    at: Instant,
}

/// Notes and their sums.
#[derive(Debug, Default)]
struct State {
    /// Notes of gateways of the own failure domain.
    near: Map<VmId, Heard>,
    /// Where these take datagrams.
    beacons: Map<VmId, SocketAddr>,
    near_sums: LoadSums,
    /// Sums of other failure domains.
    far: Map<DomainName, Heard>,
    far_sums: LoadSums,
    swept: Option<Instant>,
    /// When changes were last passed on by another gateway.
    relayed: Option<Instant>,
}

/// Notes of all other gateways.
#[derive(Debug, Default)]
pub struct LoadTable {
    state: Mutex<State>,
}

impl LoadTable {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a note of a gateway of the own failure domain, unless a newer one is known; `true` where
    /// that gateway wasn't heard lately, or has started anew.
    pub fn apply_update(&self, note: LoadUpdate, now: Instant) -> bool {
        let mut state = self.state();
        state.sweep(now);
        let known = state.near.get(&note.from);
        let same = |h: &Heard| h.note.incarnation == note.incarnation && !h.is_old(now);
        let appeared = !known.is_some_and(same);
        if known.is_none_or(|known| known.is_before(&note, now)) {
            state.near_sums.add(&note.loads);
            let heard = Heard { note, at: now };
            let before = state.near.insert(heard.note.from.clone(), heard);
            if let Some(before) = before {
                state.near_sums.remove(&before.note.loads);
            }
        }
        appeared
    }

    /// Notes where a gateway of the own failure domain takes datagrams: it may not be listed here yet.
    pub fn record_address(&self, vm: &VmId, beacon: SocketAddr) {
        let mut state = self.state();
        if state.beacons.get(vm) != Some(&beacon) {
            state.beacons.insert(vm.clone(), beacon);
        }
    }

    /// Gateways of the own failure domain that were heard lately, and where they take datagrams.
    pub fn addresses(&self, now: Instant) -> Vec<(VmId, SocketAddr)> {
        let state = self.state();
        let beacon = |note: &LoadUpdate| Some((note.from.clone(), *state.beacons.get(&note.from)?));
        state.heard(now).filter_map(beacon).collect()
    }

    /// Takes changes that a gateway of the own failure domain passes on of all of it. One of a gateway whose
    /// whole note never came is passed over: that note comes soon.
    pub fn apply_changes(&self, own: &VmId, changes: Vec<LoadChange>, now: Instant) {
        let mut state = self.state();
        state.sweep(now);
        state.relayed = Some(now);
        for change in changes.into_iter().filter(|c| c.from != *own) {
            state.change(change, now);
        }
    }

    /// Takes what has changed of the sum of another failure domain, unless newer changes of the same gateway are
    /// known; of another gateway, or one that has started anew, it is the sum from now on.
    pub fn apply_domain_update(&self, note: LoadUpdate, now: Instant) {
        let mut state = self.state();
        state.sweep(now);
        let known = state.far.get(&note.domain);
        if known.is_none_or(|known| known.is_before(&note, now)) {
            state.change_far(note, now);
        }
    }

    /// What others have in flight at an upstream.
    pub fn peer_load(&self, upstream: &SocketAddr) -> PeerLoad {
        self.peer_loads().get(upstream)
    }

    /// What others have in flight at one upstream after the other, for a choice among many.
    pub fn peer_loads(&self) -> PeerLoads<'_> {
        PeerLoads(self.state())
    }

    /// Rank of a gateway among those of its failure domain that were heard lately, by VM. The first,
    /// 0, does for the others what one can do for all.
    pub fn rank(&self, own: &VmId, now: Instant) -> usize {
        self.state().before(own, now).count()
    }

    /// The first `n` gateways of the failure domain that were heard lately, by VM; the own one is left out,
    /// but counts.
    pub fn leaders(&self, own: &VmId, n: usize, now: Instant) -> Vec<VmId> {
        let state = self.state();
        let mut vms: Vec<&VmId> = state.heard(now).map(|note| &note.from).collect();
        vms.push(own);
        vms.sort();
        let first = vms.into_iter().take(n).filter(|vm| *vm != own);
        first.cloned().collect()
    }

    /// Whether another gateway has passed changes on just now.
    pub fn is_relayed(&self, now: Instant) -> bool {
        let relayed = self.state().relayed;
        relayed.is_some_and(|at| now.saturating_duration_since(at) < RELAY_SILENT)
    }

    /// What each gateway of the failure domain that was heard lately has in flight.
    pub fn near_loads(&self, now: Instant) -> Vec<LoadChange> {
        let state = self.state();
        let near = state.heard(now).map(|note| LoadChange {
            from: note.from.clone(),
            incarnation: note.incarnation,
            sequence: note.sequence,
            loads: note.loads.clone(),
        });
        near.collect()
    }

    /// Rank of a gateway among those that reach the store. While none does, this gateway included, among all: each
    /// would be the first, and all would read the whole configuration at once when the store is back.
    pub fn store_rank(&self, own: &VmId, reaches_store: bool, now: Instant) -> usize {
        let state = self.state();
        let any = reaches_store || state.heard(now).any(|note| note.reaches_store);
        let before = state.before(own, now);
        before.filter(|note| !any || note.reaches_store).count()
    }

    /// Newest revision of the configuration that a gateway tells, near or far.
    pub fn newest_configuration(&self, now: Instant) -> Revision {
        let state = self.state();
        let all = state.near.values().chain(state.far.values());
        let recent = all.filter(|h| !h.is_old(now));
        recent.map(|h| h.note.configuration).max().unwrap_or(0)
    }

    /// Where to ask for what the store has now: the first gateway of the failure domain that reaches the
    /// store, or one of another domain. `None` where that is this gateway itself, or nobody.
    pub fn store_reader(
        &self,
        own: &VmId,
        reaches_store: bool,
        now: Instant,
    ) -> Option<SocketAddr> {
        let state = self.state();
        let near = state.heard(now).filter(|note| note.reaches_store);
        let first = near.min_by(|a, b| a.from.cmp(&b.from));
        match first {
            Some(note) if !reaches_store || note.from < *own => Some(note.replica_addr),
            None if !reaches_store => state.far_reader(now),
            _ => None,
        }
    }

    /// The sum of the own failure domain, with what this gateway has in flight itself, in the order of the
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

/// Sums of all notes, which stay as they are while this is held.
#[derive(Debug)]
pub struct PeerLoads<'a>(MutexGuard<'a, State>);

impl PeerLoads<'_> {
    /// What others have in flight at an upstream.
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

/// A gateway of each other failure domain, another one with each note, so that one which is lost or frozen
/// costs a note now and then.
pub fn receiver_per_domain(far: &[Vec<SocketAddr>], note: u64) -> Vec<SocketAddr> {
    let relay = |domain: &Vec<SocketAddr>| {
        let n = u64::try_from(domain.len()).ok().filter(|n| *n > 0)?;
        let i = usize::try_from(note % n).ok()?;
        domain.get(i).copied()
    };
    far.iter().filter_map(relay).collect()
}

/// As many loads as fit a note, the largest. What is left out is counted.
pub fn largest_loads(mut loads: Vec<Load>) -> Vec<Load> {
    if loads.len() > MAX_LOADS {
        let left_out = loads.len() - MAX_LOADS;
        metrics::counter!("driftnotch_loads_left_out_total").increment(left_out as u64);
        loads.sort_by_key(|l| std::cmp::Reverse((l.requests, l.unread)));
        loads.truncate(MAX_LOADS);
    }
    loads
}

impl Heard {
    /// Whether a note goes in place of this one: it is a later one of the same sender, or this one
    /// is out of date. The time of day, from which incarnations come, may have been set back.
    fn is_before(&self, note: &LoadUpdate, now: Instant) -> bool {
        let later = (note.incarnation, note.sequence) > (self.note.incarnation, self.note.sequence);
        later || note.from != self.note.from || self.is_old(now)
    }

    /// Whether it was heard lately.
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < HEARD_TIME
    }

    fn is_old(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= NOTE_TIME
    }
}

impl State {
    /// Notes of the gateways of the failure domain that were heard lately.
    fn heard(&self, now: Instant) -> impl Iterator<Item = &LoadUpdate> {
        let heard = move |h: &&Heard| h.is_recent(now);
        self.near.values().filter(heard).map(|h| &h.note)
    }

    /// Those that come before one by VM.
    fn before(&self, own: &VmId, now: Instant) -> impl Iterator<Item = &LoadUpdate> {
        self.heard(now).filter(move |note| note.from < *own)
    }

    /// Where a gateway of another failure domain that reaches the store passes copies on.
    fn far_reader(&self, now: Instant) -> Option<SocketAddr> {
        let mut far = self.far.values().filter(|h| h.is_recent(now));
        far.find(|h| h.note.reaches_store)
            .map(|h| h.note.replica_addr)
    }

    /// Puts changed loads in place of those of the gateway's note.
    fn change(&mut self, change: LoadChange, now: Instant) {
        let Some(heard) = self.near.get_mut(&change.from) else {
            return;
        };
        let note = &mut heard.note;
        if note.incarnation != change.incarnation || note.sequence >= change.sequence {
            return;
        }
        heard.at = now;
        note.sequence = change.sequence;
        replace(&mut note.loads, change.loads, &mut self.near_sums);
    }

    /// The same with the sum of another failure domain.
    fn change_far(&mut self, note: LoadUpdate, now: Instant) {
        let sender = |note: &LoadUpdate| (note.from.clone(), note.incarnation);
        let known = self.far.remove(&note.domain);
        let goes_on = |h: &Heard| sender(&h.note) == sender(&note) && !h.is_old(now);
        let mut loads = match known {
            Some(known) if goes_on(&known) => known.note.loads,
            Some(former) => {
                self.far_sums.remove(&former.note.loads);
                Vec::new()
            }
            None => Vec::new(),
        };
        let mut note = note;
        replace(
            &mut loads,
            std::mem::take(&mut note.loads),
            &mut self.far_sums,
        );
        note.loads = loads;
        self.far
            .insert(note.domain.clone(), Heard { note, at: now });
    }

    /// Forgets notes that are out of date.
    fn sweep(&mut self, now: Instant) {
        let swept = |at| now.saturating_duration_since(at) < SWEEP_INTERVAL;
        if self.swept.is_some_and(swept) {
            return;
        }
        self.swept = Some(now);
        let sums = &mut self.near_sums;
        self.near.retain(|_, heard| keep(heard, sums, now));
        let near = &self.near;
        self.beacons.retain(|vm, _| near.contains_key(vm));
        let sums = &mut self.far_sums;
        self.far.retain(|_, heard| keep(heard, sums, now));
    }
}

/// Puts changed loads in place of those known, here and in the sums.
fn replace(known: &mut Vec<Load>, changed: Vec<Load>, sums: &mut LoadSums) {
    for load in changed {
        sums.add(&[load]);
        match known.iter_mut().find(|l| l.upstream == load.upstream) {
            Some(known) => sums.remove(&[std::mem::replace(known, load)]),
            None => known.push(load),
        }
    }
}

/// Whether a note isn't out of date; takes the loads of one that is off the sums.
fn keep(heard: &Heard, sums: &mut LoadSums, now: Instant) -> bool {
    let kept = !heard.is_old(now);
    if !kept {
        sums.remove(&heard.note.loads);
    }
    kept
}

//! What other gateways have in flight at each upstream, and how they lately fared there.
//!
//! Gateways of a failure domain tell each other after each change. To other domains, whose links are
//! narrow and shared with requests and weights, one gateway tells the sum of its domain at intervals:
//! the first by VM of those that were heard lately. No one is chosen for it; two that both take
//! themselves for the first do no harm, since a newer sum replaces an older one. One gateway of the other
//! domain takes it and passes it on there.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Map, Revision, VmId};
use beacon::{Load, LoadNote};

use decide::outcomes::Counts;

/// A note older than this says nothing any more; notes come several times as often.
const NOTE_TIME: Duration = Duration::from_millis(1500);

/// A gateway that was not heard for this long has no rank any more; notes come at least each 400 ms.
const HEARD_TIME: Duration = Duration::from_millis(1000);

/// Most upstreams in one note, so that it fits a datagram; those with the least in flight are left
/// out.
const MOST_LOADS: usize = 80;

/// Requests of others at an upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Others {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens not yet read.
    pub unread: u64,
    /// How requests lately ended.
    pub ended: Counts,
}

impl Others {
    fn add(&mut self, load: &Load) {
        self.requests += u32::from(load.requests);
        self.unread += u64::from(load.unread);
        self.ended.failed += f64::from(load.failed);
        self.ended.answered += f64::from(load.answered);
    }
}

/// A note, and when it came.
#[derive(Debug)]
struct Heard {
    note: LoadNote,
    at: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Notes of gateways of the own failure domain.
    near: Map<VmId, Heard>,
    /// Sums of other failure domains.
    far: Map<DomainName, Heard>,
    sums: Map<SocketAddr, Others>,
}

/// Notes of all other gateways.
#[derive(Debug, Default)]
pub struct LoadBook {
    state: Mutex<State>,
}

impl LoadBook {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a note of a gateway of the own failure domain, unless a newer one is known; `true` where
    /// that gateway wasn't heard lately, or has started anew.
    pub fn take(&self, note: LoadNote, now: Instant) -> bool {
        let mut state = self.state();
        let known = state.near.get(&note.from);
        let same = |h: &Heard| h.note.incarnation == note.incarnation && !h.is_old(now);
        let appeared = !known.is_some_and(same);
        if known.is_none_or(|known| known.is_before(&note, now)) {
            state
                .near
                .insert(note.from.clone(), Heard { note, at: now });
            state.sum(now);
        }
        appeared
    }

    /// Takes the sum of another failure domain, unless a newer one of the same gateway is known.
    pub fn take_domain(&self, note: LoadNote, now: Instant) {
        let mut state = self.state();
        let known = state.far.get(&note.domain);
        if known.is_none_or(|known| known.is_before(&note, now)) {
            state
                .far
                .insert(note.domain.clone(), Heard { note, at: now });
            state.sum(now);
        }
    }

    /// What others have in flight at an upstream.
    pub fn others(&self, upstream: &SocketAddr) -> Others {
        self.state().sums.get(upstream).copied().unwrap_or_default()
    }

    /// Rank of a gateway among those of its failure domain that were heard lately, by VM. The first,
    /// 0, does for the others what one can do for all.
    pub fn rank(&self, own: &VmId, now: Instant) -> usize {
        self.state().before(own, now).count()
    }

    /// The same among those that reach the store. While none does, this gateway included, among all: each
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
    pub fn reader(&self, own: &VmId, reaches_store: bool, now: Instant) -> Option<SocketAddr> {
        let state = self.state();
        let near = state.heard(now).filter(|note| note.reaches_store);
        let first = near.min_by(|a, b| a.from.cmp(&b.from));
        match first {
            Some(note) if !reaches_store || note.from < *own => Some(note.copies_at),
            None if !reaches_store => state.far_reader(now),
            _ => None,
        }
    }

    /// The sum of the own failure domain, with what this gateway has in flight itself.
    pub fn domain(&self, own: &[Load]) -> Vec<Load> {
        let state = self.state();
        let near = state.near.values().flat_map(|h| &h.note.loads);
        let mut sums: Map<SocketAddr, Others> = Map::default();
        for load in near.chain(own) {
            sums.entry(load.upstream).or_default().add(load);
        }
        let loads = sums.into_iter().map(|(upstream, sum)| Load {
            upstream,
            requests: u16::try_from(sum.requests).unwrap_or(u16::MAX),
            unread: u32::try_from(sum.unread).unwrap_or(u32::MAX),
            // Casts of floats saturate.
            failed: sum.ended.failed as u16,
            answered: sum.ended.answered as u16,
        });
        largest(loads.collect())
    }
}

/// A gateway of each other failure domain, another one with each note, so that one which is lost or frozen
/// costs a note now and then.
pub fn relays(far: &[Vec<SocketAddr>], note: u64) -> Vec<SocketAddr> {
    let relay = |domain: &Vec<SocketAddr>| {
        let n = u64::try_from(domain.len()).ok().filter(|n| *n > 0)?;
        let i = usize::try_from(note % n).ok()?;
        domain.get(i).copied()
    };
    far.iter().filter_map(relay).collect()
}

/// As many loads as fit a note, the largest.
pub fn largest(mut loads: Vec<Load>) -> Vec<Load> {
    if loads.len() > MOST_LOADS {
        loads.sort_by_key(|l| std::cmp::Reverse((l.requests, l.unread)));
        loads.truncate(MOST_LOADS);
    }
    loads
}

impl Heard {
    /// Whether a note goes in place of this one: it is a later one of the same sender, or this one
    /// is out of date. The time of day, from which incarnations come, may have been set back.
    fn is_before(&self, note: &LoadNote, now: Instant) -> bool {
        let later = (note.incarnation, note.number) > (self.note.incarnation, self.note.number);
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
    fn heard(&self, now: Instant) -> impl Iterator<Item = &LoadNote> {
        let heard = move |h: &&Heard| h.is_recent(now);
        self.near.values().filter(heard).map(|h| &h.note)
    }

    /// Those that come before one by VM.
    fn before(&self, own: &VmId, now: Instant) -> impl Iterator<Item = &LoadNote> {
        self.heard(now).filter(move |note| note.from < *own)
    }

    /// Where a gateway of another failure domain that reaches the store passes copies on.
    fn far_reader(&self, now: Instant) -> Option<SocketAddr> {
        let mut far = self.far.values().filter(|h| h.is_recent(now));
        far.find(|h| h.note.reaches_store).map(|h| h.note.copies_at)
    }

    /// Forgets old notes and adds the others up.
    fn sum(&mut self, now: Instant) {
        self.near.retain(|_, heard| !heard.is_old(now));
        self.far.retain(|_, heard| !heard.is_old(now));
        self.sums.clear();
        let notes = self.near.values().chain(self.far.values());
        for load in notes.flat_map(|heard| &heard.note.loads) {
            self.sums.entry(load.upstream).or_default().add(load);
        }
    }
}

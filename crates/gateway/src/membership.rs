//! Upstreams that are known, kept in step with the platform's list.
//!
//! An upstream that is missing from a list is gone, with one exception: after the store was away,
//! entries that lapsed meanwhile come back within `return_time` of its return, so until then those
//! that are missing are kept as they were. A process that was merely cut off from a store that
//! others could reach gets no such time, since nothing lapsed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Map, Revision, Set, UpstreamIncarnation};
use beacon::EngineStatus;
use catalog::ServiceName;
use log::info;

use crate::upstream::{InstanceId, ListedUpstream, Upstream, is_stale};

/// Log prefix of this part.
const PART: &str = "membership";

/// Time between two lists from which on the store was away for all: entries lapse after three
/// heartbeats without a write, and lists come every second, from the store or another gateway.
const STORE_AWAY: Duration = Duration::from_millis(2500);

/// Upstreams of one list that are logged each by itself.
const MOST_LOGGED: usize = 20;

/// An upstream, and until when it is kept although it is missing from the list.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    kept_until: Option<Instant>,
}

impl Entry {
    /// Whether it is listed, or kept for now.
    pub fn is_current(&self, now: Instant) -> bool {
        self.kept_until.is_none_or(|until| now < until)
    }
}

#[derive(Debug, Default)]
struct State {
    known: bool,
    entries: Map<InstanceId, Entry>,
    /// The same by service, and the upstreams by address; made anew with each list, so that a choice
    /// walks over those of its service without copying them.
    by_service: Map<ServiceName, Arc<Vec<Entry>>>,
    by_addr: Map<SocketAddr, Arc<Upstream>>,
    /// Until when missing entries are kept.
    keep_missing: Option<Instant>,
}

/// Upstreams.
#[derive(Debug)]
pub struct UpstreamTable {
    /// The own failure domain.
    pub domain: DomainName,
    return_time: Duration,
    state: Mutex<State>,
}

impl UpstreamTable {
    /// An empty roster.
    pub fn new(domain: DomainName, return_time: Duration) -> UpstreamTable {
        UpstreamTable {
            domain,
            return_time,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a list has ever come.
    pub fn is_loaded(&self) -> bool {
        self.state().known
    }

    /// Takes a whole list; `gap` is how long the store had not confirmed the one before when it
    /// confirmed this one. `true` where anything changed.
    pub fn apply_list(&self, all: Vec<ListedUpstream>, gap: Duration, now: Instant) -> bool {
        let all = newest_at_each_address(all);
        let mut state = self.state();
        state.known = true;
        if gap > STORE_AWAY {
            state.keep_missing = Some(now + self.return_time);
        }
        let mut before = std::mem::take(&mut state.entries);
        let mut changed = false;
        let mut added = 0;
        for listed in all {
            let id = listed.instance.clone();
            let upstream = match before.remove(&id) {
                // Its life is known, so an entry that doesn't tell it is another writer's.
                Some(Entry { upstream, .. })
                    if upstream.start_time.is_some() && listed.start_time.is_none() =>
                {
                    upstream
                }
                Some(Entry { upstream, .. }) if has_started_again(&upstream, &listed) => {
                    info!(target: PART, "{PART}: event=started_again upstream={id} addr={} born={:?}", listed.addr, listed.start_time);
                    changed = true;
                    Arc::new(upstream.next_incarnation(listed))
                }
                Some(Entry { upstream, .. }) => {
                    changed |= relist(&upstream, listed);
                    upstream
                }
                None => {
                    added += 1;
                    if added <= MOST_LOGGED {
                        info!(target: PART, "{PART}: event=listed upstream={id} service={} addr={} domain={}", listed.service, listed.addr, listed.domain);
                    }
                    changed = true;
                    Arc::new(Upstream::new(listed))
                }
            };
            let entry = Entry {
                upstream,
                kept_until: None,
            };
            state.entries.insert(id, entry);
        }
        if added > MOST_LOGGED {
            info!(target: PART, "{PART}: event=listed_more upstreams={}", added - MOST_LOGGED);
        }
        let keep = state.keep_missing.filter(|until| now < *until);
        for (id, mut missing) in before {
            missing.kept_until = missing.kept_until.or(keep);
            let kept = missing.kept_until.is_some_and(|until| now < until);
            info!(target: PART, "{PART}: event=missing upstream={id} addr={} kept={kept}", missing.upstream.addr);
            changed = true;
            if kept {
                state.entries.insert(id, missing);
            }
        }
        state.index();
        changed
    }

    /// Takes a loader's note; `true` where it changes what an upstream can serve.
    pub fn apply_status(&self, note: EngineStatus, now: Instant) -> bool {
        let upstream = self.state().by_addr.get(&note.upstream).cloned();
        upstream.is_some_and(|u| u.update_status(note, now))
    }

    /// Upstreams of a service, with those that are kept or leave.
    pub fn entries(&self, service: &str) -> Arc<Vec<Entry>> {
        let state = self.state();
        state.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Upstreams of a service that take new work.
    pub fn available(&self, service: &str, now: Instant) -> Vec<Arc<Upstream>> {
        let usable = |e: &&Entry| e.is_current(now) && !e.upstream.is_draining();
        let entries = self.entries(service);
        let usable = entries.iter().filter(usable);
        usable.map(|e| e.upstream.clone()).collect()
    }

    /// Notes that the upstreams of a failure domain may have turned cold, by what was known at a revision.
    pub fn mark_possibly_cold(&self, domain: &str, revision: Revision) {
        let state = self.state();
        let of_domain = state
            .entries
            .values()
            .filter(|e| e.upstream.domain == domain);
        of_domain.for_each(|e| e.upstream.mark_possibly_cold(revision));
    }

    /// Lives of all upstreams.
    pub fn incarnations(&self) -> Set<UpstreamIncarnation> {
        let state = self.state();
        state
            .entries
            .values()
            .map(|e| e.upstream.incarnation)
            .collect()
    }

    /// All upstreams.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        let state = self.state();
        state.entries.values().map(|e| e.upstream.clone()).collect()
    }
}

impl State {
    fn index(&mut self) {
        let mut by_service: Map<ServiceName, Vec<Entry>> = Map::default();
        self.by_addr.clear();
        for entry in self.entries.values() {
            let upstream = &entry.upstream;
            let of_service = by_service.entry(upstream.service.clone()).or_default();
            of_service.push(entry.clone());
            self.by_addr.insert(upstream.addr, upstream.clone());
        }
        let shared = by_service.into_iter().map(|(s, all)| (s, Arc::new(all)));
        self.by_service = shared.collect();
    }
}

/// Leaves out entries whose address a newer one has: an upstream that started again, or another that
/// was given the address, is listed beside the former one until that one's entry lapses.
fn newest_at_each_address(all: Vec<ListedUpstream>) -> Vec<ListedUpstream> {
    let mut newest: Map<SocketAddr, Revision> = Map::default();
    for listed in &all {
        let revision = newest.entry(listed.addr).or_default();
        *revision = listed.revision.max(*revision);
    }
    let is_newest = |l: &ListedUpstream| newest.get(&l.addr) == Some(&l.revision);
    all.into_iter().filter(is_newest).collect()
}

/// Whether an entry is of another life than the one known under its id: it was born later, or stands at
/// another address or for another service, of which none changes within a life.
fn has_started_again(known: &Upstream, listed: &ListedUpstream) -> bool {
    let elsewhere = known.addr != listed.addr || known.service != listed.service;
    elsewhere || is_stale(known.start_time, listed.start_time)
}

fn relist(known: &Upstream, listed: ListedUpstream) -> bool {
    let leaving = listed.draining;
    let differs = known.update_listing(listed);
    if differs {
        info!(target: PART, "{PART}: event=changed upstream={} addr={} leaving={leaving}", known.instance, known.addr);
    }
    differs
}

//! Known upstreams, synchronized with the platform's list.
//!
//! An upstream that is missing from a list is removed, with one exception: after an outage of the store, entries that
//! expired meanwhile reappear within `return_time` of its recovery, so until then missing upstreams are retained
//! unchanged. A gateway that was merely partitioned from a store that others could reach gets no such period, since
//! no entry expired.
//!
//! After a restore of the store from a backup, upstreams that registered since the backup are missing likewise. Entries
//! that were written before those known here are ignored until the upstream writes them again, see
//! [`decide::restore`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Map, Set, StoreRevision, UpstreamIncarnation};
use beacon::EngineStatus;
use catalog::ServiceName;
use log::{debug, info};

use crate::upstream::{InstanceId, ListedUpstream, Upstream, is_stale};

/// Log prefix of this part.
const PART: &str = "membership";

/// Time between two lists above which the store counts as unreachable for all processes: entries expire after three
/// heartbeats without a write, and lists arrive every second, from the store or another gateway.
const STORE_OUTAGE: Duration = Duration::from_millis(2500);

/// Time for which a removed entry is remembered, in case the store is restored from a backup that has it. Backups are
/// some seconds old.
const REMOVED_TIME: Duration = Duration::from_secs(60);

/// Maximum number of added upstreams in one list that are logged individually.
const MAX_LOGGED: usize = 20;

/// An upstream, and until when it is retained although it is missing from the list.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    retained_until: Option<Instant>,
}

impl Entry {
    /// Returns whether it is listed, or still retained.
    pub fn is_current(&self, now: Instant) -> bool {
        self.retained_until.is_none_or(|until| now < until)
    }
}

#[derive(Debug, Default)]
struct State {
    is_loaded: bool,
    entries: Map<InstanceId, Entry>,
    /// The entries by service; rebuilt with each list, so that a choice iterates over those of its service without
    /// copying them.
    by_service: Map<ServiceName, Arc<Vec<Entry>>>,
    /// Upstreams by address; rebuilt with each list.
    by_addr: Map<SocketAddr, Arc<Upstream>>,
    /// Until when missing entries are retained.
    retain_missing_until: Option<Instant>,
    /// Removed entries, and when they were removed.
    removed: Map<InstanceId, (ListedUpstream, Instant)>,
}

/// Table of known upstreams.
#[derive(Debug)]
pub struct UpstreamTable {
    /// The own failure domain.
    pub domain: DomainName,
    return_time: Duration,
    state: Mutex<State>,
}

impl UpstreamTable {
    /// Creates an empty table.
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

    /// Returns whether a list was ever received.
    pub fn is_loaded(&self) -> bool {
        self.state().is_loaded
    }

    /// Applies a complete list. `gap` is the time for which the store hadn't confirmed the previous list when it
    /// confirmed this one. Returns whether anything changed.
    pub fn apply_list(&self, all: Vec<ListedUpstream>, gap: Duration, now: Instant) -> bool {
        let mut state = self.state();
        state
            .removed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REMOVED_TIME);
        let all = newest_by_address(state.without_removed(all));
        state.is_loaded = true;
        if gap > STORE_OUTAGE {
            state.retain_missing_until = Some(now + self.return_time);
        }
        let mut previous = std::mem::take(&mut state.entries);
        let mut changed = false;
        let mut added = 0;
        for listed in all {
            let id = listed.instance.clone();
            let upstream = match previous.remove(&id) {
                Some(Entry { upstream, .. }) if upstream.has_newer_entry_than(&listed) => {
                    debug!(target: PART, "{PART}: event=outdated upstream={id} revision={}", listed.revision);
                    upstream
                }
                // The start time is known, so an entry without one is of another writer.
                Some(Entry { upstream, .. })
                    if upstream.start_time.is_some() && listed.start_time.is_none() =>
                {
                    upstream
                }
                Some(Entry { upstream, .. }) if has_restarted(&upstream, &listed) => {
                    info!(target: PART, "{PART}: event=restarted upstream={id} addr={} start_time={:?}", listed.addr, listed.start_time);
                    changed = true;
                    Arc::new(upstream.next_incarnation(listed))
                }
                Some(Entry { upstream, .. }) => {
                    changed |= update_listing(&upstream, listed);
                    upstream
                }
                None => {
                    added += 1;
                    if added <= MAX_LOGGED {
                        info!(target: PART, "{PART}: event=listed upstream={id} service={} addr={} domain={}", listed.service, listed.addr, listed.domain);
                    }
                    changed = true;
                    Arc::new(Upstream::new(listed))
                }
            };
            let entry = Entry {
                upstream,
                retained_until: None,
            };
            state.entries.insert(id, entry);
        }
        if added > MAX_LOGGED {
            info!(target: PART, "{PART}: event=more_listed upstreams={}", added - MAX_LOGGED);
        }
        let retain_until = state.retain_missing_until.filter(|until| now < *until);
        for (id, mut missing) in previous {
            missing.retained_until = missing.retained_until.or(retain_until);
            let is_retained = missing.retained_until.is_some_and(|until| now < until);
            info!(target: PART, "{PART}: event=missing upstream={id} addr={} kept={is_retained}", missing.upstream.addr);
            changed = true;
            match is_retained {
                true => drop(state.entries.insert(id, missing)),
                false => drop(state.removed.insert(id, (missing.upstream.listed(), now))),
            }
        }
        state.index();
        changed
    }

    /// Records that the store was restored from a backup: entries that are missing are retained for some time.
    pub fn record_restore(&self, now: Instant) {
        self.state().retain_missing_until = Some(now + self.return_time);
    }

    /// Applies a loader's status. Returns whether it changes what an upstream can serve.
    pub fn apply_status(&self, status: EngineStatus, now: Instant) -> bool {
        let upstream = self.state().by_addr.get(&status.upstream).cloned();
        upstream.is_some_and(|u| u.update_status(status, now))
    }

    /// Returns the upstream at an address.
    pub fn at(&self, addr: &SocketAddr) -> Option<Arc<Upstream>> {
        self.state().by_addr.get(addr).cloned()
    }

    /// Returns the upstreams of a service, including retained and draining ones.
    pub fn entries(&self, service: &str) -> Arc<Vec<Entry>> {
        let state = self.state();
        state.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Returns the upstreams of a service that accept new requests.
    pub fn available(&self, service: &str, now: Instant) -> Vec<Arc<Upstream>> {
        let is_usable = |e: &&Entry| e.is_current(now) && !e.upstream.is_draining();
        let entries = self.entries(service);
        let usable = entries.iter().filter(is_usable);
        usable.map(|e| e.upstream.clone()).collect()
    }

    /// Records that the upstreams of a failure domain may have become cold, as of a revision.
    pub fn mark_possibly_cold(&self, domain: &str, revision: StoreRevision) {
        let state = self.state();
        let of_domain = state
            .entries
            .values()
            .filter(|e| e.upstream.domain == domain);
        of_domain.for_each(|e| e.upstream.mark_possibly_cold(revision));
    }

    /// Returns the incarnations of all upstreams.
    pub fn incarnations(&self) -> Set<UpstreamIncarnation> {
        let state = self.state();
        state
            .entries
            .values()
            .map(|e| e.upstream.incarnation)
            .collect()
    }

    /// Returns all upstreams.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        let state = self.state();
        state.entries.values().map(|e| e.upstream.clone()).collect()
    }
}

impl State {
    /// Returns a list without the restored entries of upstreams that were removed.
    fn without_removed(&mut self, mut all: Vec<ListedUpstream>) -> Vec<ListedUpstream> {
        all.retain(|listed| match self.removed.get(&listed.instance) {
            Some((removed, _)) if listed.is_removed_by(removed) => false,
            Some(_) => {
                self.removed.remove(&listed.instance);
                true
            }
            None => true,
        });
        all
    }

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

/// Drops entries whose address has a newer one: an upstream that restarted, or another one that was assigned the
/// address, is listed beside the stale entry until that one expires.
fn newest_by_address(all: Vec<ListedUpstream>) -> Vec<ListedUpstream> {
    let mut newest: Map<SocketAddr, StoreRevision> = Map::default();
    for listed in &all {
        let revision = newest.entry(listed.addr).or_default();
        *revision = listed.revision.max(*revision);
    }
    let is_newest = |l: &ListedUpstream| newest.get(&l.addr) == Some(&l.revision);
    all.into_iter().filter(is_newest).collect()
}

/// Returns whether an entry is of another incarnation than the known one of the same id: it has a later start time,
/// or another address or service, neither of which changes within an incarnation.
fn has_restarted(known: &Upstream, listed: &ListedUpstream) -> bool {
    let has_moved = known.addr != listed.addr || known.service != listed.service;
    has_moved || is_stale(known.start_time, listed.start_time)
}

fn update_listing(known: &Upstream, listed: ListedUpstream) -> bool {
    let draining = listed.draining;
    let differs = known.update_listing(listed);
    if differs {
        info!(target: PART, "{PART}: event=changed upstream={} addr={} leaving={draining}", known.instance, known.addr);
    }
    differs
}

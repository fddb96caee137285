//! An upstream VM as an entry sees it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Incarnation, Map, Model, Revision, VmId};
use table::Version;
use wire::{AgentInfo, Heartbeat, Holding};

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Who its agent is.
    pub info: AgentInfo,
    running: AtomicU32,
    state: Mutex<State>,
}

/// What changes of it.
#[derive(Debug)]
struct State {
    holdings: Vec<Holding>,
    live_since: Map<(Model, Version), Instant>,
    draining: bool,
    lease_until: Instant,
    reported_load: u32,
    revision: Revision,
    failures: u64,
    ejected_until: Option<Instant>,
}

impl Upstream {
    /// An upstream whose agent joined just now.
    pub fn new(info: AgentInfo, lease: Duration) -> Upstream {
        Upstream {
            info,
            running: AtomicU32::new(0),
            state: Mutex::new(State {
                holdings: Vec::new(),
                live_since: Map::default(),
                draining: false,
                lease_until: clock::now() + lease,
                reported_load: 0,
                revision: 0,
                failures: 0,
                ejected_until: None,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a heartbeat; says whether versions, or whether it is leaving, changed.
    pub fn apply_heartbeat(&self, heartbeat: Heartbeat, lease: Duration) -> bool {
        let mut c = self.state();
        let now = clock::now();
        c.lease_until = now + lease;
        c.reported_load = heartbeat.running;
        c.revision = heartbeat.revision;
        let was_draining = c.draining;
        c.draining |= heartbeat.leaving;
        let drain_changed = c.draining != was_draining;
        if heartbeat.same_holdings {
            return drain_changed;
        }
        let versions = |holdings: &[Holding]| -> Vec<(Model, Version, bool)> {
            let holdings = holdings.iter();
            holdings
                .map(|h| (h.model.clone(), h.version.clone(), h.live))
                .collect()
        };
        let changed = versions(&c.holdings) != versions(&heartbeat.holdings);
        c.holdings = heartbeat.holdings;
        let live: Vec<(Model, Version)> = c
            .holdings
            .iter()
            .filter(|h| h.live)
            .map(|h| (h.model.clone(), h.version.clone()))
            .collect();
        c.live_since.retain(|key, _| live.contains(key));
        for key in live {
            c.live_since.entry(key).or_insert(now);
        }
        changed || drain_changed
    }

    /// The last heartbeat, as a sibling is told of it.
    pub fn last_heartbeat(&self) -> Heartbeat {
        let c = self.state();
        Heartbeat {
            revision: c.revision,
            running: c.reported_load,
            leaving: c.draining,
            holdings: c.holdings.clone(),
            entries_seen: 0,
            same_holdings: false,
        }
    }

    /// Notes that others still hear of it.
    pub fn renew_lease(&self, lease: Duration) {
        let mut c = self.state();
        c.lease_until = c.lease_until.max(clock::now() + lease);
    }

    /// Notes that another domain's entries tell of a version live there.
    pub fn mark_live(&self, model: &str, version: &Version, lease: Duration) {
        let mut c = self.state();
        let now = clock::now();
        c.lease_until = now + lease;
        let key = (model.to_owned(), version.clone());
        c.live_since.entry(key).or_insert(now);
    }

    /// Whether its lease has not run out.
    pub fn has_lease(&self) -> bool {
        self.state().lease_until >= clock::now()
    }

    /// Notes that it takes no new work.
    pub fn mark_draining(&self) {
        self.state().draining = true;
    }

    /// Notes that a version is not live there after all.
    pub fn mark_not_live(&self, model: &str, version: &Version) {
        let key = (model.to_owned(), version.clone());
        self.state().live_since.remove(&key);
    }

    /// Whether it is about to go.
    pub fn is_draining(&self) -> bool {
        self.state().draining
    }

    /// Since when a version has been live there, where requests may be sent for it now.
    pub fn live_since(&self, model: &str, version: &Version) -> Option<Instant> {
        let c = self.state();
        if c.draining || c.lease_until < clock::now() {
            return None;
        }
        let key = (model.to_owned(), version.clone());
        c.live_since.get(&key).copied()
    }

    /// Whether it is left alone after failures.
    pub fn is_ejected(&self) -> bool {
        self.state()
            .ejected_until
            .is_some_and(|until| until > clock::now())
    }

    /// Notes a failure; leaves it alone for a while after several in a row.
    pub fn record_failure(&self, max_failures: u64, eject_time: Duration) {
        let mut c = self.state();
        c.failures += 1;
        if c.failures >= max_failures {
            c.ejected_until = Some(clock::now() + eject_time);
        }
    }

    /// Notes an answer, and the load the agent carried back on it.
    pub fn record_response(&self, load: Option<u32>) {
        let mut c = self.state();
        c.failures = 0;
        c.ejected_until = None;
        if let Some(load) = load {
            c.reported_load = load;
        }
    }

    /// Requests of this entry running there.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Load to compare upstreams by: the larger of our own count and the last report.
    pub fn load(&self) -> u32 {
        self.running().max(self.state().reported_load)
    }

    /// Load as it was last reported.
    pub fn reported_load(&self) -> u32 {
        self.state().reported_load
    }

    /// Versions it fetches, holds or has live.
    pub fn holdings(&self) -> Vec<Holding> {
        self.state().holdings.clone()
    }

    /// Revision of the table its agent serves by, as of its last heartbeat.
    pub fn revision(&self) -> Revision {
        self.state().revision
    }

    /// Its id.
    pub fn vm(&self) -> &VmId {
        &self.info.vm
    }

    /// Its failure domain.
    pub fn domain(&self) -> &DomainName {
        &self.info.domain
    }

    /// Where its agent takes requests.
    pub fn listen(&self) -> SocketAddr {
        self.info.listen
    }

    /// Its agent's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.info.incarnation
    }
}

/// A place among the requests running at an upstream, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    /// Upstream.
    pub upstream: Arc<Upstream>,
}

impl Slot {
    /// Takes a slot if fewer than `limit` are taken.
    pub fn acquire(upstream: &Arc<Upstream>, limit: u32) -> Option<Slot> {
        upstream
            .running
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                (n < limit).then_some(n + 1)
            })
            .ok()
            .map(|_| Slot {
                upstream: upstream.clone(),
            })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.upstream.running.fetch_sub(1, Ordering::Relaxed);
    }
}

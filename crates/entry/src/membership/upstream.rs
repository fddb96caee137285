//! State of an upstream VM as seen by an entry.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Incarnation, Map, Model, Revision, Set, VmId};
use table::Version;
use wire::{AgentInfo, Heartbeat, Holding};

/// Upstream VM.
#[derive(Debug)]
pub struct Upstream {
    /// Identity and addresses of its agent.
    pub info: AgentInfo,
    running: AtomicU32,
    state: Mutex<State>,
}

/// Mutable state of an upstream.
#[derive(Debug)]
struct State {
    holdings: Vec<Holding>,
    live_since: Map<(Model, Version), Instant>,
    /// Versions that it has refused since the last report on it.
    refused: Set<(Model, Version)>,
    draining: bool,
    lease_until: Instant,
    reported_load: u32,
    revision: Revision,
    failures: u64,
    ejected_until: Option<Instant>,
}

impl Upstream {
    /// Creates an upstream whose lease starts now.
    pub fn new(info: AgentInfo, lease: Duration) -> Upstream {
        Upstream {
            info,
            running: AtomicU32::new(0),
            state: Mutex::new(State {
                holdings: Vec::new(),
                live_since: Map::default(),
                refused: Set::default(),
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

    /// Applies a heartbeat; returns whether its versions or its draining state changed.
    pub fn apply_heartbeat(&self, heartbeat: Heartbeat, lease: Duration) -> bool {
        let mut state = self.state();
        let now = clock::now();
        state.refused.clear();
        state.lease_until = now + lease;
        state.reported_load = heartbeat.running;
        state.revision = heartbeat.revision;
        let was_draining = state.draining;
        state.draining |= heartbeat.leaving;
        let drain_changed = state.draining != was_draining;
        if heartbeat.same_holdings {
            return drain_changed;
        }
        let versions = |holdings: &[Holding]| -> Vec<(Model, Version, bool)> {
            let holdings = holdings.iter();
            holdings
                .map(|h| (h.model.clone(), h.version.clone(), h.live))
                .collect()
        };
        let changed = versions(&state.holdings) != versions(&heartbeat.holdings);
        state.holdings = heartbeat.holdings;
        let live: Vec<(Model, Version)> = state
            .holdings
            .iter()
            .filter(|h| h.live)
            .map(|h| (h.model.clone(), h.version.clone()))
            .collect();
        state.live_since.retain(|key, _| live.contains(key));
        for key in live {
            state.live_since.entry(key).or_insert(now);
        }
        changed || drain_changed
    }

    /// Returns the state of the last heartbeat, for updates to siblings.
    pub fn last_heartbeat(&self) -> Heartbeat {
        let state = self.state();
        Heartbeat {
            revision: state.revision,
            running: state.reported_load,
            leaving: state.draining,
            holdings: state.holdings.clone(),
            entries_seen: 0,
            same_holdings: false,
        }
    }

    /// Extends the lease, since other entries still report the upstream, with the same versions. Those of upstreams of
    /// other domains aren't known, since their reports are samples.
    pub fn renew_lease(&self, lease: Duration) {
        let mut state = self.state();
        if !state.holdings.is_empty() {
            state.refused.clear();
        }
        state.lease_until = state.lease_until.max(clock::now() + lease);
    }

    /// Records that entries of another domain report a version as live.
    pub fn mark_live(&self, model: &str, version: &Version, lease: Duration) {
        let mut state = self.state();
        let now = clock::now();
        state.lease_until = now + lease;
        let key = (model.to_owned(), version.clone());
        state.refused.remove(&key);
        state.live_since.entry(key).or_insert(now);
    }

    /// Returns whether its lease is still valid.
    pub fn has_lease(&self) -> bool {
        self.state().lease_until >= clock::now()
    }

    /// Records that it accepts no new requests.
    pub fn mark_draining(&self) {
        self.state().draining = true;
    }

    /// Records that it refused a version, which isn't live until the next report on it. Reports don't repeat versions that
    /// haven't changed, so one that was only missing for a moment would otherwise stay unused.
    pub fn mark_not_live(&self, model: &str, version: &Version) {
        let key = (model.to_owned(), version.clone());
        self.state().refused.insert(key);
    }

    /// Returns whether it is draining.
    pub fn is_draining(&self) -> bool {
        self.state().draining
    }

    /// Returns since when a version has been live; `None` if requests may not be sent for it.
    pub fn live_since(&self, model: &str, version: &Version) -> Option<Instant> {
        let state = self.state();
        if state.draining || state.lease_until < clock::now() {
            return None;
        }
        let key = (model.to_owned(), version.clone());
        let live_since = state.live_since.get(&key).copied();
        live_since.filter(|_| !state.refused.contains(&key))
    }

    /// Returns whether it is ejected after failures.
    pub fn is_ejected(&self) -> bool {
        self.state()
            .ejected_until
            .is_some_and(|until| until > clock::now())
    }

    /// Records a failure; ejects the upstream for `eject_time` after several consecutive ones.
    pub fn record_failure(&self, max_failures: u64, eject_time: Duration) {
        let mut state = self.state();
        state.failures += 1;
        if state.failures >= max_failures {
            state.ejected_until = Some(clock::now() + eject_time);
        }
    }

    /// Records a response and the load that it reports; ends an ejection.
    pub fn record_response(&self, load: Option<u32>) {
        let mut state = self.state();
        state.failures = 0;
        state.ejected_until = None;
        if let Some(load) = load {
            state.reported_load = load;
        }
    }

    /// Returns the number of requests of this entry that it is running.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the load for comparison: the larger of this entry's count and the last report.
    pub fn load(&self) -> u32 {
        self.running().max(self.state().reported_load)
    }

    /// Returns the last reported load.
    pub fn reported_load(&self) -> u32 {
        self.state().reported_load
    }

    /// Returns the versions it fetches, holds or has live.
    pub fn holdings(&self) -> Vec<Holding> {
        self.state().holdings.clone()
    }

    /// Returns the table revision in force at its agent, as of the last heartbeat.
    pub fn revision(&self) -> Revision {
        self.state().revision
    }

    /// Returns the VM id.
    pub fn vm(&self) -> &VmId {
        &self.info.vm
    }

    /// Returns the failure domain.
    pub fn domain(&self) -> &DomainName {
        &self.info.domain
    }

    /// Returns the address at which its agent accepts requests.
    pub fn listen(&self) -> SocketAddr {
        self.info.listen
    }

    /// Returns the incarnation of its agent.
    pub fn incarnation(&self) -> Incarnation {
        self.info.incarnation
    }
}

/// Slot for a running request at an upstream; freed when dropped.
#[derive(Debug)]
pub struct Slot {
    /// Upstream.
    pub upstream: Arc<Upstream>,
}

impl Slot {
    /// Acquires a slot if fewer than `limit` are in use.
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

//! Table of known upstreams and entries.
//!
//! An agent joins only two entries of its failure domain; these report it to their siblings in
//! updates. Every entry of the domain can route to every upstream of it, while the heartbeats of an
//! agent use two links regardless of the number of entries. Entries of other domains receive a
//! bounded sample of live replicas. Lists that the receiver of an update already has are omitted:
//! each list has a state number that grows with every change. The platform's list of VMs lags; it
//! is used only to find entries and as one of three ways to learn that a VM is draining.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use base::{DomainName, Map, Set, VmId, unix_ms};
use table::Version;
use tokio::sync::watch;
use wire::{AgentInfo, AgentStatus, EntryUpdate, Heartbeat, Peer, Replica, Rollout};

use crate::membership::upstream::Upstream;

/// Maximum number of live replicas of a version in an update to another domain.
const MAX_REPLICAS: usize = 8;

/// Maximum number of agents of a rollout in an update to another domain.
const MAX_ROLLOUT_PEERS: usize = 512;

/// Minimum lease of an entry: the time for which it counts as up without an update.
const MIN_ENTRY_LEASE: Duration = Duration::from_secs(10);

/// Lease of an entry in exchange intervals, where that exceeds the minimum lease.
const LEASE_EXCHANGES: u32 = 3;

/// Another entry, by its updates.
#[derive(Debug, Clone)]
pub struct PeerEntry {
    /// Last update, without its lists.
    pub update: EntryUpdate,
    /// Last received rollouts of its domain.
    pub rollouts: Vec<Rollout>,
    /// State number of the last applied lists.
    pub applied_state: u64,
    /// Time of the last update.
    last_seen: Instant,
    lease: Duration,
}

impl PeerEntry {
    fn is_alive(&self) -> bool {
        !self.update.leaving && clock::since(self.last_seen) < self.lease
    }
}

/// Upstream of the own domain, with the number of links of its agent to this entry and the entries
/// that report it.
#[derive(Debug)]
struct LocalUpstream {
    upstream: Arc<Upstream>,
    links: u32,
    reported_by: Set<SocketAddr>,
}

/// Known upstreams and entries.
#[derive(Debug)]
pub struct Fleet {
    domain: DomainName,
    local: RwLock<Map<VmId, LocalUpstream>>,
    remote: RwLock<Map<VmId, Arc<Upstream>>>,
    entries: RwLock<Map<SocketAddr, PeerEntry>>,
    listed_draining: RwLock<Set<VmId>>,
    entries_seen: AtomicU64,
    joined_state: watch::Sender<u64>,
    domain_state: watch::Sender<u64>,
}

impl Fleet {
    /// Creates an empty fleet, as seen from a failure domain.
    pub fn new(domain: DomainName) -> Fleet {
        // A later process on the same address starts with larger state numbers.
        let first_state = unix_ms() * 1000;
        Fleet {
            domain,
            local: RwLock::default(),
            remote: RwLock::default(),
            entries: RwLock::default(),
            listed_draining: RwLock::default(),
            entries_seen: AtomicU64::new(1),
            joined_state: watch::Sender::new(first_state),
            domain_state: watch::Sender::new(first_state),
        }
    }

    /// Adds an agent of the own domain; replaces a stale incarnation of it.
    pub fn join(&self, info: AgentInfo, lease: Duration) -> Arc<Upstream> {
        let mut all = write(&self.local);
        let known = all
            .entry(info.vm.clone())
            .and_modify(|known| known.replace_if_newer(&info, lease))
            .or_insert_with(|| LocalUpstream::new(info, lease));
        known.links += 1;
        let upstream = known.upstream.clone();
        drop(all);
        self.joined_changed();
        upstream
    }

    /// Records that a link of an agent closed; removes the agent if no other entry reports it.
    pub fn link_closed(&self, upstream: &Arc<Upstream>) {
        let mut all = write(&self.local);
        let mut reporters = Set::default();
        if let Some(known) = all.get_mut(upstream.vm())
            && Arc::ptr_eq(&known.upstream, upstream)
        {
            known.links = known.links.saturating_sub(1);
            reporters.clone_from(&known.reported_by);
        }
        all.retain(|_, known| known.has_source());
        drop(all);
        // Their reports were ignored while the agent was linked here: request them again.
        let mut entries = write(&self.entries);
        let to_resend = entries
            .iter_mut()
            .filter(|(addr, _)| reporters.contains(*addr));
        to_resend.for_each(|(_, entry)| entry.applied_state = 0);
        drop(entries);
        self.joined_changed();
    }

    /// Applies a heartbeat of an agent that joined this entry.
    pub fn apply_heartbeat(&self, upstream: &Upstream, heartbeat: Heartbeat, lease: Duration) {
        if upstream.apply_heartbeat(heartbeat, lease) {
            self.joined_changed();
        }
    }

    fn joined_changed(&self) {
        self.joined_state.send_modify(|n| *n += 1);
        self.domain_changed();
    }

    fn domain_changed(&self) {
        self.domain_state.send_modify(|n| *n += 1);
    }

    /// Subscribes to changes of the lists for entries of the own domain.
    pub fn watch_joined(&self) -> watch::Receiver<u64> {
        self.joined_state.subscribe()
    }

    /// Subscribes to changes of the lists for entries of other domains.
    pub fn watch_domain(&self) -> watch::Receiver<u64> {
        self.domain_state.subscribe()
    }

    /// Returns the state number of the lists for entries of a domain.
    pub fn state(&self, to: &str) -> u64 {
        match to == self.domain {
            true => *self.joined_state.borrow(),
            false => *self.domain_state.borrow(),
        }
    }

    /// Returns the upstreams of the own domain.
    pub fn local(&self) -> Vec<Arc<Upstream>> {
        read(&self.local)
            .values()
            .map(|known| known.upstream.clone())
            .collect()
    }

    /// Returns the number of agents that have joined this entry.
    pub fn joined(&self) -> usize {
        read(&self.local).values().filter(|k| k.links > 0).count()
    }

    /// Returns the known upstreams of other domains.
    pub fn remote(&self) -> Vec<Arc<Upstream>> {
        read(&self.remote).values().cloned().collect()
    }

    /// Sets the VMs that the platform lists as draining.
    pub fn set_listed_draining(&self, vms: Set<VmId>) {
        *write(&self.listed_draining) = vms;
    }

    /// Returns whether the platform lists a VM as draining.
    pub fn is_listed_draining(&self, vm: &str) -> bool {
        read(&self.listed_draining).contains(vm)
    }

    /// Applies an update of another entry; `interval` is the time between two updates.
    pub fn apply_update(&self, mut update: EntryUpdate, lease: Duration, interval: Duration) {
        let from = update.control;
        let has_lists = update.has_lists;
        let agents = std::mem::take(&mut update.agents);
        let replicas = std::mem::take(&mut update.replicas);
        let rollouts = std::mem::take(&mut update.rollouts);
        let entry_lease = MIN_ENTRY_LEASE.max(interval * LEASE_EXCHANGES);
        match update.domain == self.domain {
            true if has_lists => self.apply_agents(from, agents, lease.max(entry_lease)),
            true => self.renew_agents(from, lease.max(entry_lease)),
            false if has_lists => {
                self.apply_replicas(&update.domain, replicas, lease.max(entry_lease))
            }
            false => self.renew_replicas(&update.domain, lease.max(entry_lease)),
        }
        let state = update.state;
        let mut entries = write(&self.entries);
        let previous = entries.remove(&from);
        let known = previous.as_ref().is_some_and(PeerEntry::is_alive);
        let retained = previous.map_or((Vec::new(), 0), |e| (e.rollouts, e.applied_state));
        let (rollouts, applied_state) = if has_lists {
            (rollouts, state)
        } else {
            retained
        };
        let entry = PeerEntry {
            update,
            rollouts,
            applied_state,
            last_seen: clock::now(),
            lease: entry_lease,
        };
        entries.insert(from, entry);
        drop(entries);
        if !known {
            self.entries_seen.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Applies a sibling's list of the agents that have joined it.
    fn apply_agents(&self, from: SocketAddr, agents: Vec<AgentStatus>, lease: Duration) {
        let mut all = write(&self.local);
        for known in all.values_mut() {
            known.reported_by.remove(&from);
        }
        for agent in agents {
            let known = all
                .entry(agent.info.vm.clone())
                .and_modify(|known| known.replace_if_newer(&agent.info, lease))
                .or_insert_with(|| LocalUpstream::new(agent.info.clone(), lease));
            if known.upstream.incarnation() == agent.info.incarnation {
                known.reported_by.insert(from);
                known.apply_report(agent.beat, lease);
            }
        }
        all.retain(|_, known| known.has_source());
        drop(all);
        self.domain_changed();
    }

    fn renew_agents(&self, from: SocketAddr, lease: Duration) {
        let all = read(&self.local);
        let reported = all.values().filter(|k| k.reported_by.contains(&from));
        reported.for_each(|known| known.upstream.renew_lease(lease));
    }

    /// Removes entries that are no longer up, and the agents that only they reported.
    pub fn expire(&self) {
        let mut entries = write(&self.entries);
        let expired: Vec<SocketAddr> = entries
            .iter()
            .filter(|(_, e)| !e.is_alive())
            .map(|(addr, _)| *addr)
            .collect();
        entries.retain(|_, e| e.is_alive());
        drop(entries);
        if expired.is_empty() {
            return;
        }
        let mut all = write(&self.local);
        for known in all.values_mut() {
            known.reported_by.retain(|addr| !expired.contains(addr));
        }
        all.retain(|_, known| known.has_source());
    }

    fn apply_replicas(&self, domain: &str, replicas: Vec<Replica>, lease: Duration) {
        let mut remote = write(&self.remote);
        for replica in replicas {
            let known = remote
                .get(&replica.vm)
                .filter(|u| u.incarnation() == replica.incarnation)
                .cloned();
            let upstream = known.unwrap_or_else(|| {
                let new = Arc::new(Upstream::new(remote_info(domain, &replica), lease));
                remote.insert(replica.vm.clone(), new.clone());
                new
            });
            upstream.mark_live(&replica.model, &replica.version, lease);
        }
        remote.retain(|_, u| u.has_lease());
    }

    fn renew_replicas(&self, domain: &str, lease: Duration) {
        let remote = read(&self.remote);
        let in_domain = remote.values().filter(|u| u.domain() == domain);
        in_domain.for_each(|u| u.renew_lease(lease));
    }

    /// Returns the other entries that are up.
    pub fn entries(&self) -> Vec<PeerEntry> {
        let entries = read(&self.entries);
        entries.values().filter(|e| e.is_alive()).cloned().collect()
    }

    /// Returns the state number of another entry's lists that were last applied; 0 if none were.
    pub fn applied_state(&self, from: SocketAddr) -> u64 {
        read(&self.entries)
            .get(&from)
            .map_or(0, |e| e.applied_state)
    }

    /// Returns the state number of the own lists that another entry last applied; 0 if none.
    pub fn acknowledged_state(&self, addr: SocketAddr) -> u64 {
        read(&self.entries)
            .get(&addr)
            .map_or(0, |e| e.update.applied_state)
    }

    /// Returns the other entries of the own domain that are up.
    pub fn siblings(&self) -> Vec<PeerEntry> {
        let mut entries = self.entries();
        entries.retain(|e| e.update.domain == self.domain);
        entries
    }

    /// Returns a number that grows whenever an entry is discovered.
    pub fn entries_seen(&self) -> u64 {
        self.entries_seen.load(Ordering::Relaxed)
    }

    /// Returns the agents that have joined this entry.
    pub fn joined_agents(&self) -> Vec<AgentStatus> {
        let all = read(&self.local);
        let joined = all.values().filter(|known| known.links > 0);
        joined
            .map(|known| AgentStatus {
                info: known.upstream.info.clone(),
                beat: known.upstream.last_heartbeat(),
            })
            .collect()
    }

    /// Returns a bounded sample of the domain's live replicas.
    pub fn live_replicas(&self) -> Vec<Replica> {
        let mut counts: Map<(String, Version), usize> = Map::default();
        let mut replicas = Vec::new();
        for upstream in self.local() {
            let holdings = upstream.holdings();
            for h in holdings
                .into_iter()
                .filter(|h| h.live && !upstream.is_draining())
            {
                let n = counts
                    .entry((h.model.clone(), h.version.clone()))
                    .or_default();
                if *n == MAX_REPLICAS {
                    continue;
                }
                *n += 1;
                replicas.push(Replica {
                    model: h.model,
                    version: h.version,
                    vm: upstream.vm().clone(),
                    listen: upstream.listen(),
                    incarnation: upstream.incarnation(),
                });
            }
        }
        replicas
    }

    /// Returns the domain's rollouts: the agents that fetch or hold each version.
    pub fn rollouts(&self) -> Vec<Rollout> {
        let mut rollouts: Map<Version, Vec<Peer>> = Map::default();
        for upstream in self.local() {
            let holdings = upstream.holdings();
            let weights = holdings.iter().filter(|h| h.version != Version::Service);
            for holding in weights {
                let peers = rollouts.entry(holding.version.clone()).or_default();
                if peers.len() < MAX_ROLLOUT_PEERS {
                    peers.push(peer(&upstream));
                }
            }
        }
        rollouts
            .into_iter()
            .map(|(version, peers)| Rollout { version, peers })
            .collect()
    }

    /// Returns the agents of all domains that fetch or hold a version.
    pub fn peers(&self, version: &Version) -> Vec<Peer> {
        let local = self.local();
        let has_version = |u: &&Arc<Upstream>| u.holdings().iter().any(|h| h.version == *version);
        let mut peers: Vec<Peer> = local.iter().filter(has_version).map(peer).collect();
        for entry in self.entries() {
            let rollouts = entry.rollouts.into_iter();
            peers.extend(
                rollouts
                    .filter(|r| r.version == *version)
                    .flat_map(|r| r.peers),
            );
        }
        peers.sort();
        peers.dedup();
        peers
    }
}

impl LocalUpstream {
    fn new(info: AgentInfo, lease: Duration) -> LocalUpstream {
        LocalUpstream {
            upstream: Arc::new(Upstream::new(info, lease)),
            links: 0,
            reported_by: Set::default(),
        }
    }

    /// Replaces the upstream if the agent has a newer incarnation.
    fn replace_if_newer(&mut self, info: &AgentInfo, lease: Duration) {
        if info.incarnation > self.upstream.incarnation() {
            *self = LocalUpstream::new(info.clone(), lease);
        }
    }

    /// Applies a sibling's report. An agent that joined this entry sends more recent heartbeats
    /// itself: only a drain is applied to it.
    fn apply_report(&self, heartbeat: Heartbeat, lease: Duration) {
        match self.links {
            0 => drop(self.upstream.apply_heartbeat(heartbeat, lease)),
            _ if heartbeat.leaving => self.upstream.mark_draining(),
            _ => {}
        }
    }

    fn has_source(&self) -> bool {
        self.links > 0 || !self.reported_by.is_empty()
    }
}

fn peer(upstream: &Arc<Upstream>) -> Peer {
    Peer {
        vm: upstream.vm().clone(),
        domain: upstream.domain().clone(),
        addr: upstream.info.peer,
        leaving: upstream.is_draining(),
    }
}

fn remote_info(domain: &str, replica: &Replica) -> AgentInfo {
    AgentInfo {
        vm: replica.vm.clone(),
        domain: domain.to_owned(),
        incarnation: replica.incarnation,
        listen: replica.listen,
        peer: replica.listen,
        service: replica.version == Version::Service,
        repeatable: false,
    }
}

fn read<T>(lock: &RwLock<T>) -> std::sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(lock: &RwLock<T>) -> std::sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

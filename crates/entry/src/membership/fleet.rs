//! Upstreams and entries this entry knows.
//!
//! An agent joins two entries of its failure domain, not all; those tell their siblings of it in
//! notes, so that every entry of the domain can route to every upstream of it while an agent's
//! heartbeats cost two links whatever the number of entries. Other domains are told a bounded
//! sample of live replicas. What the receiver of a note has already is left out: every list has a
//! state that grows when it changes. The platform's list lags and is used only to find entries and
//! as one of three ways to learn that a VM is leaving.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use base::{DomainName, Map, Set, VmId, unix_ms};
use table::Version;
use tokio::sync::watch;
use wire::{AgentInfo, AgentStatus, EntryUpdate, Heartbeat, Peer, Replica, Rollout};

use crate::membership::upstream::Upstream;

/// Live replicas of one version a domain tells others of.
const REPLICA_SAMPLE: usize = 8;

/// Agents of one rollout a domain tells others of.
const ROLLOUT_SAMPLE: usize = 512;

/// How long an entry that says nothing is still counted, at least.
const ENTRY_LEASE: Duration = Duration::from_secs(10);

/// Exchanges of notes that an entry may miss.
const ENTRY_BEATS: u32 = 3;

/// Another entry, as its notes told.
#[derive(Debug, Clone)]
pub struct OtherEntry {
    /// Last note, without its lists.
    pub note: EntryUpdate,
    /// Rollouts of its domain, as last told.
    pub rollouts: Vec<Rollout>,
    /// State of its lists that was last taken.
    pub applied: u64,
    /// When it was last heard.
    heard: Instant,
    lease: Duration,
}

impl OtherEntry {
    fn alive(&self) -> bool {
        !self.note.leaving && clock::since(self.heard) < self.lease
    }
}

/// An upstream of the own domain: how many links its agent keeps here, and which entries tell of it.
#[derive(Debug)]
struct Local {
    upstream: Arc<Upstream>,
    seats: u32,
    told_by: Set<SocketAddr>,
}

/// Upstreams and entries.
#[derive(Debug)]
pub struct Fleet {
    domain: DomainName,
    local: RwLock<Map<VmId, Local>>,
    remote: RwLock<Map<VmId, Arc<Upstream>>>,
    entries: RwLock<Map<SocketAddr, OtherEntry>>,
    listed_leaving: RwLock<Set<VmId>>,
    entries_seen: AtomicU64,
    joined_state: watch::Sender<u64>,
    domain_state: watch::Sender<u64>,
}

impl Fleet {
    /// A fleet of nobody, seen from a failure domain.
    pub fn new(domain: DomainName) -> Fleet {
        // States of a later process on the same address are larger.
        let first_state = unix_ms() * 1000;
        Fleet {
            domain,
            local: RwLock::default(),
            remote: RwLock::default(),
            entries: RwLock::default(),
            listed_leaving: RwLock::default(),
            entries_seen: AtomicU64::new(1),
            joined_state: watch::Sender::new(first_state),
            domain_state: watch::Sender::new(first_state),
        }
    }

    /// Takes in an agent of the own domain; an older incarnation of it is forgotten.
    pub fn join(&self, info: AgentInfo, lease: Duration) -> Arc<Upstream> {
        let mut all = write(&self.local);
        let known = all
            .entry(info.vm.clone())
            .and_modify(|known| known.renew(&info, lease))
            .or_insert_with(|| Local::new(info, lease));
        known.seats += 1;
        let upstream = known.upstream.clone();
        drop(all);
        self.joined_changed();
        upstream
    }

    /// Notes that a link of an agent ended; forgets the agent if nobody else tells of it.
    pub fn part(&self, upstream: &Arc<Upstream>) {
        let mut all = write(&self.local);
        let mut tellers = Set::default();
        if let Some(known) = all.get_mut(upstream.vm())
            && Arc::ptr_eq(&known.upstream, upstream)
        {
            known.seats = known.seats.saturating_sub(1);
            tellers.clone_from(&known.told_by);
        }
        all.retain(|_, known| known.wanted());
        drop(all);
        // What they told while the agent itself was heard was not taken: have it told again.
        let mut entries = write(&self.entries);
        let again = entries
            .iter_mut()
            .filter(|(addr, _)| tellers.contains(*addr));
        again.for_each(|(_, entry)| entry.applied = 0);
        drop(entries);
        self.joined_changed();
    }

    /// Takes a heartbeat of an agent that joined here.
    pub fn beat(&self, upstream: &Upstream, beat: Heartbeat, lease: Duration) {
        if upstream.beat(beat, lease) {
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

    /// Follows changes of what is told to entries of the own domain.
    pub fn watch_joined(&self) -> watch::Receiver<u64> {
        self.joined_state.subscribe()
    }

    /// Follows changes of what is told to entries of other domains.
    pub fn watch_domain(&self) -> watch::Receiver<u64> {
        self.domain_state.subscribe()
    }

    /// State of what an entry of a domain is told.
    pub fn state(&self, to: &str) -> u64 {
        match to == self.domain {
            true => *self.joined_state.borrow(),
            false => *self.domain_state.borrow(),
        }
    }

    /// Upstreams of the own domain.
    pub fn local(&self) -> Vec<Arc<Upstream>> {
        read(&self.local)
            .values()
            .map(|known| known.upstream.clone())
            .collect()
    }

    /// Number of agents that have joined here.
    pub fn joined(&self) -> usize {
        read(&self.local).values().filter(|k| k.seats > 0).count()
    }

    /// Upstreams known from other domains.
    pub fn remote(&self) -> Vec<Arc<Upstream>> {
        read(&self.remote).values().cloned().collect()
    }

    /// Takes the platform's list of leaving VMs.
    pub fn set_listed_leaving(&self, vms: Set<VmId>) {
        *write(&self.listed_leaving) = vms;
    }

    /// Whether the platform lists a VM as leaving.
    pub fn listed_leaving(&self, vm: &str) -> bool {
        read(&self.listed_leaving).contains(vm)
    }

    /// Takes a note of another entry; `interval` is the time between two of them.
    pub fn heard(&self, mut note: EntryUpdate, lease: Duration, interval: Duration) {
        let from = note.control;
        let told = note.has_lists;
        let agents = std::mem::take(&mut note.agents);
        let replicas = std::mem::take(&mut note.replicas);
        let rollouts = std::mem::take(&mut note.rollouts);
        let entry_lease = ENTRY_LEASE.max(interval * ENTRY_BEATS);
        match note.domain == self.domain {
            true if told => self.take_agents(from, agents, lease.max(entry_lease)),
            true => self.renew_agents(from, lease.max(entry_lease)),
            false if told => self.take_replicas(&note.domain, replicas, lease.max(entry_lease)),
            false => self.renew_replicas(&note.domain, lease.max(entry_lease)),
        }
        let state = note.state;
        let mut entries = write(&self.entries);
        let before = entries.remove(&from);
        let known = before.as_ref().is_some_and(OtherEntry::alive);
        let kept = before.map_or((Vec::new(), 0), |e| (e.rollouts, e.applied));
        let (rollouts, applied) = if told { (rollouts, state) } else { kept };
        let entry = OtherEntry {
            note,
            rollouts,
            applied,
            heard: clock::now(),
            lease: entry_lease,
        };
        entries.insert(from, entry);
        drop(entries);
        if !known {
            self.entries_seen.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes the agents that have joined a sibling.
    fn take_agents(&self, from: SocketAddr, agents: Vec<AgentStatus>, lease: Duration) {
        let mut all = write(&self.local);
        for known in all.values_mut() {
            known.told_by.remove(&from);
        }
        for digest in agents {
            let known = all
                .entry(digest.info.vm.clone())
                .and_modify(|known| known.renew(&digest.info, lease))
                .or_insert_with(|| Local::new(digest.info.clone(), lease));
            if known.upstream.incarnation() == digest.info.incarnation {
                known.told_by.insert(from);
                known.told(digest.beat, lease);
            }
        }
        all.retain(|_, known| known.wanted());
        drop(all);
        self.domain_changed();
    }

    fn renew_agents(&self, from: SocketAddr, lease: Duration) {
        let all = read(&self.local);
        let told = all.values().filter(|k| k.told_by.contains(&from));
        told.for_each(|known| known.upstream.renew(lease));
    }

    /// Forgets what entries that are no longer heard have told.
    pub fn expire(&self) {
        let mut entries = write(&self.entries);
        let gone: Vec<SocketAddr> = entries
            .iter()
            .filter(|(_, e)| !e.alive())
            .map(|(addr, _)| *addr)
            .collect();
        entries.retain(|_, e| e.alive());
        drop(entries);
        if gone.is_empty() {
            return;
        }
        let mut all = write(&self.local);
        for known in all.values_mut() {
            known.told_by.retain(|addr| !gone.contains(addr));
        }
        all.retain(|_, known| known.wanted());
    }

    fn take_replicas(&self, domain: &str, replicas: Vec<Replica>, lease: Duration) {
        let mut remote = write(&self.remote);
        for replica in replicas {
            let known = remote
                .get(&replica.vm)
                .filter(|u| u.incarnation() == replica.incarnation)
                .cloned();
            let upstream = known.unwrap_or_else(|| {
                let fresh = Arc::new(Upstream::new(remote_info(domain, &replica), lease));
                remote.insert(replica.vm.clone(), fresh.clone());
                fresh
            });
            upstream.seen_live(&replica.model, &replica.version, lease);
        }
        remote.retain(|_, u| u.leased());
    }

    fn renew_replicas(&self, domain: &str, lease: Duration) {
        let remote = read(&self.remote);
        let there = remote.values().filter(|u| u.domain() == domain);
        there.for_each(|u| u.renew(lease));
    }

    /// Other entries that are up.
    pub fn entries(&self) -> Vec<OtherEntry> {
        let entries = read(&self.entries);
        entries.values().filter(|e| e.alive()).cloned().collect()
    }

    /// State of another entry's lists that was last taken; 0 where none was.
    pub fn applied(&self, from: SocketAddr) -> u64 {
        read(&self.entries).get(&from).map_or(0, |e| e.applied)
    }

    /// State of the own lists that another entry last took; 0 where it took none.
    pub fn taken_by(&self, addr: SocketAddr) -> u64 {
        read(&self.entries)
            .get(&addr)
            .map_or(0, |e| e.note.applied_state)
    }

    /// Other entries of the own domain that are up.
    pub fn siblings(&self) -> Vec<OtherEntry> {
        let mut entries = self.entries();
        entries.retain(|e| e.note.domain == self.domain);
        entries
    }

    /// Number that changes whenever an entry is learnt of.
    pub fn entries_seen(&self) -> u64 {
        self.entries_seen.load(Ordering::Relaxed)
    }

    /// Agents that have joined here.
    pub fn digests(&self) -> Vec<AgentStatus> {
        let all = read(&self.local);
        let joined = all.values().filter(|known| known.seats > 0);
        joined
            .map(|known| AgentStatus {
                info: known.upstream.info.clone(),
                beat: known.upstream.last_beat(),
            })
            .collect()
    }

    /// A bounded sample of the domain's live replicas.
    pub fn replicas(&self) -> Vec<Replica> {
        let mut told: Map<(String, Version), usize> = Map::default();
        let mut replicas = Vec::new();
        for upstream in self.local() {
            let holdings = upstream.holdings();
            for h in holdings
                .into_iter()
                .filter(|h| h.live && !upstream.leaving())
            {
                let n = told
                    .entry((h.model.clone(), h.version.clone()))
                    .or_default();
                if *n == REPLICA_SAMPLE {
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

    /// The domain's rollouts: who fetches or holds which version.
    pub fn rollouts(&self) -> Vec<Rollout> {
        let mut rollouts: Map<Version, Vec<Peer>> = Map::default();
        for upstream in self.local() {
            let holdings = upstream.holdings();
            let weights = holdings.iter().filter(|h| h.version != Version::Service);
            for holding in weights {
                let peers = rollouts.entry(holding.version.clone()).or_default();
                if peers.len() < ROLLOUT_SAMPLE {
                    peers.push(peer(&upstream));
                }
            }
        }
        rollouts
            .into_iter()
            .map(|(version, peers)| Rollout { version, peers })
            .collect()
    }

    /// Agents anywhere that fetch or hold a version.
    pub fn peers(&self, version: &Version) -> Vec<Peer> {
        let local = self.local();
        let holds = |u: &&Arc<Upstream>| u.holdings().iter().any(|h| h.version == *version);
        let mut peers: Vec<Peer> = local.iter().filter(holds).map(peer).collect();
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

impl Local {
    fn new(info: AgentInfo, lease: Duration) -> Local {
        Local {
            upstream: Arc::new(Upstream::new(info, lease)),
            seats: 0,
            told_by: Set::default(),
        }
    }

    /// Starts over with a later incarnation of the agent.
    fn renew(&mut self, info: &AgentInfo, lease: Duration) {
        if info.incarnation > self.upstream.incarnation() {
            *self = Local::new(info.clone(), lease);
        }
    }

    /// Takes what a sibling tells of an agent; one that joined here is known better.
    fn told(&self, beat: Heartbeat, lease: Duration) {
        match self.seats {
            0 => drop(self.upstream.beat(beat, lease)),
            _ if beat.leaving => self.upstream.mark_leaving(),
            _ => {}
        }
    }

    fn wanted(&self) -> bool {
        self.seats > 0 || !self.told_by.is_empty()
    }
}

fn peer(upstream: &Arc<Upstream>) -> Peer {
    Peer {
        vm: upstream.vm().clone(),
        domain: upstream.domain().clone(),
        addr: upstream.info.peer,
        leaving: upstream.leaving(),
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

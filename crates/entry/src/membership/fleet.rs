//! Upstreams and entries this entry knows.
//!
//! An upstream of the own failure domain is known by the link its agent keeps; one of another
//! domain by a sample that domain's entries pass on. The platform's list lags and is used only to
//! find entries and as one of three ways to learn that a VM is leaving.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use base::{DomainName, Map, Set, VmId};
use table::Version;
use wire::{AgentInfo, Note, Peer, Replica, Rollout};

use crate::membership::upstream::Upstream;

/// Live replicas of one version a domain tells others of.
const REPLICA_SAMPLE: usize = 8;

/// Agents of one rollout a domain tells others of.
const ROLLOUT_SAMPLE: usize = 512;

/// How long an entry that says nothing is still counted.
const ENTRY_LEASE: Duration = Duration::from_secs(10);

/// Another entry, as its last note told.
#[derive(Debug, Clone)]
pub struct OtherEntry {
    /// Last note.
    pub note: Note,
    /// When it came.
    pub heard: Instant,
}

impl OtherEntry {
    fn alive(&self) -> bool {
        !self.note.leaving && self.heard.elapsed() < ENTRY_LEASE
    }
}

/// Upstreams and entries.
#[derive(Debug)]
pub struct Fleet {
    domain: DomainName,
    local: RwLock<Map<VmId, Arc<Upstream>>>,
    remote: RwLock<Map<VmId, Arc<Upstream>>>,
    entries: RwLock<Map<SocketAddr, OtherEntry>>,
    listed_leaving: RwLock<Set<VmId>>,
    entries_seen: AtomicU64,
}

impl Fleet {
    /// A fleet of nobody, seen from a failure domain.
    pub fn new(domain: DomainName) -> Fleet {
        Fleet {
            domain,
            local: RwLock::default(),
            remote: RwLock::default(),
            entries: RwLock::default(),
            listed_leaving: RwLock::default(),
            entries_seen: AtomicU64::new(1),
        }
    }

    /// Takes in an agent of the own domain; an older incarnation of it is forgotten.
    pub fn join(&self, info: AgentInfo, lease: Duration) -> Arc<Upstream> {
        let vm = info.vm.clone();
        let upstream = Arc::new(Upstream::new(info, lease));
        let mut local = write(&self.local);
        local.insert(vm, upstream.clone());
        upstream
    }

    /// Forgets an agent whose link broke, unless it has joined anew.
    pub fn part(&self, upstream: &Arc<Upstream>) {
        let mut local = write(&self.local);
        let same = local
            .get(upstream.vm())
            .is_some_and(|known| Arc::ptr_eq(known, upstream));
        if same {
            local.remove(upstream.vm());
        }
    }

    /// Upstreams of the own domain.
    pub fn local(&self) -> Vec<Arc<Upstream>> {
        read(&self.local).values().cloned().collect()
    }

    /// Upstreams known from other domains.
    pub fn remote(&self) -> Vec<Arc<Upstream>> {
        read(&self.remote).values().cloned().collect()
    }

    /// An upstream by its VM.
    pub fn find(&self, vm: &str) -> Option<Arc<Upstream>> {
        let local = read(&self.local).get(vm).cloned();
        local.or_else(|| read(&self.remote).get(vm).cloned())
    }

    /// Takes the platform's list of leaving VMs.
    pub fn set_listed_leaving(&self, vms: Set<VmId>) {
        *write(&self.listed_leaving) = vms;
    }

    /// Whether the platform lists a VM as leaving.
    pub fn listed_leaving(&self, vm: &str) -> bool {
        read(&self.listed_leaving).contains(vm)
    }

    /// Takes a note of another entry.
    pub fn heard(&self, note: Note, lease: Duration) {
        if note.domain != self.domain {
            self.take_replicas(&note, lease);
        }
        let addr = note.control;
        let heard = Instant::now();
        let mut entries = write(&self.entries);
        let before = entries.insert(addr, OtherEntry { note, heard });
        if before.is_none_or(|e| !e.alive()) {
            self.entries_seen.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn take_replicas(&self, note: &Note, lease: Duration) {
        let mut remote = write(&self.remote);
        for replica in &note.replicas {
            let known = remote
                .get(&replica.vm)
                .filter(|u| u.incarnation() == replica.incarnation)
                .cloned();
            let upstream = known.unwrap_or_else(|| {
                let fresh = Arc::new(Upstream::new(remote_info(note, replica), lease));
                remote.insert(replica.vm.clone(), fresh.clone());
                fresh
            });
            upstream.seen_live(&replica.model, &replica.version, lease);
        }
        remote.retain(|_, u| u.leased());
    }

    /// Other entries that are up.
    pub fn entries(&self) -> Vec<OtherEntry> {
        let entries = read(&self.entries);
        entries.values().filter(|e| e.alive()).cloned().collect()
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
            let rollouts = entry.note.rollouts.into_iter();
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

fn peer(upstream: &Arc<Upstream>) -> Peer {
    Peer {
        vm: upstream.vm().clone(),
        domain: upstream.domain().clone(),
        addr: upstream.info.peer,
        leaving: upstream.leaving(),
    }
}

fn remote_info(note: &Note, replica: &Replica) -> AgentInfo {
    AgentInfo {
        vm: replica.vm.clone(),
        domain: note.domain.clone(),
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

//! Selection of the sources of chunks.
//!
//! There is no coordinator. All agents assign each chunk to the same agent, by the same rule: that agent fetches it
//! from the origin, and the others fetch it from each other. If the origin serves one copy to the whole fleet, chunks
//! are assigned to the failure domains round-robin too, and one agent of each other domain fetches the chunk from
//! another domain. If the assigned agent is leaving or excluded, a rendezvous hash selects another. An agent that
//! finds a chunk at no peer fetches it from the origin after a bounded wait.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::rendezvous::rank;
use base::{Digest, DomainName, Map, Set, VmId};
use rand::seq::IndexedRandom;
use wire::Peer;

/// Source of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Source {
    /// The origin.
    Origin,
    /// Another agent.
    Peer(SocketAddr),
}

/// Identity of this agent, and the policy by which it selects sources.
#[derive(Debug, Clone)]
pub struct SourcePolicy {
    /// VM of this agent.
    pub vm: VmId,
    /// Failure domain of this agent.
    pub domain: DomainName,
    /// Failure domains in which the version is permitted.
    pub permitted: Vec<DomainName>,
    /// Time after the start of a fetch in which no agent fetches from the origin, while agents discover each other.
    pub settle_time: Duration,
    /// Whether the origin serves one copy to each failure domain, instead of one to the whole fleet.
    pub copy_per_domain: bool,
    /// Whether chunks of the own failure domain are fetched only from the agents in [`sources`], one at a time from
    /// each.
    pub limit_sources: bool,
    /// Wait before an agent fetches a chunk that no peer holds, and that isn't assigned to it, from the origin.
    pub origin_wait: Duration,
    /// Number of bad chunks after which a source is banned.
    pub max_bad_chunks: u64,
    /// Duration of a ban.
    pub ban_time: Duration,
}

/// Source of a chunk that can be fetched now, and its urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Source.
    pub source: Source,
    /// Sort key: chunks that this agent fetches from the origin are first, then those from other failure domains, then
    /// those of the own domain; within each, those that the fewest agents hold.
    pub urgency: (u8, usize),
}

/// State of the other agents that fetch or hold a version.
#[derive(Debug, Default)]
pub struct Swarm {
    roles: Mutex<Map<Digest, ChunkRole>>,
    /// Sources in the own failure domain if they are limited; computed once for a list of agents.
    near_sources: Mutex<Option<Set<SocketAddr>>>,
    active: Map<SocketAddr, u32>,
    peers: Vec<Peer>,
    have: Map<SocketAddr, Vec<bool>>,
    bad_chunks: Map<SocketAddr, (u64, Instant)>,
    failures: Map<SocketAddr, u64>,
    /// Agents that no chunks are assigned to.
    excluded: Set<SocketAddr>,
    back_off_until: Map<SocketAddr, Instant>,
}

/// Role of this agent for a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ChunkRole {
    /// Whether it fetches the chunk from the origin.
    fetches_from_origin: bool,
    /// Whether it is assigned to fetch the chunk into its failure domain.
    fetches_into_domain: bool,
}

/// Number of failed requests after which chunks assigned to an agent are assigned to others.
const MAX_FAILURES: u64 = 2;

/// Back-off from an agent after a failed request.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(2);

/// Back-off from an agent that was busy.
const BUSY_BACK_OFF: Duration = Duration::from_millis(20);

/// Time without a chunk from peers after which all holders become sources, even if [`SourcePolicy::limit_sources`] is
/// set.
const MAX_LIMITED_STALL: Duration = Duration::from_millis(250);

/// Returns the agents that an agent fetches chunks from: of a ring of all agents sorted by VM, those at distances 1, 2,
/// 4, 8 ... before it.
///
/// Each agent has as many receivers as sources. Uplinks and downlinks are therefore loaded equally, and no agent has to
/// reject requests as busy. A chunk reaches all agents after as many steps as their number has binary digits.
pub fn sources<'a>(own: &VmId, others: &[&'a Peer]) -> Vec<&'a Peer> {
    at_ring_offsets(own, others, |n, step| n - step)
}

/// Returns the agents that fetch chunks from an agent, see [`sources`].
pub fn receivers<'a>(own: &VmId, others: &[&'a Peer]) -> Vec<&'a Peer> {
    at_ring_offsets(own, others, |_, step| step)
}

/// Returns the agents that follow an agent in the ring at the distances that `offset` maps the powers of two to. Its
/// arguments are the size of the ring and a power of two.
fn at_ring_offsets<'a>(
    own: &VmId,
    others: &[&'a Peer],
    offset: impl Fn(usize, usize) -> usize,
) -> Vec<&'a Peer> {
    let mut sorted = others.to_vec();
    sorted.sort_by(|a, b| a.vm.cmp(&b.vm));
    let index = sorted.partition_point(|p| p.vm < *own);
    let n = sorted.len() + 1;
    let steps = (0..usize::BITS).map(|bit| 1_usize << bit);
    let steps = steps.take_while(|step| *step < n);
    // The list doesn't contain the agent itself: indices after it are lower by one.
    let at = |step| (index + offset(n, step)) % n;
    steps
        .map(|step| sorted[at(step) - usize::from(at(step) > index)])
        .collect()
}

impl Swarm {
    /// Sets the list of agents that fetch or hold the version; the own VM is filtered out.
    pub fn set_peers(&mut self, own: &str, peers: Vec<Peer>) {
        let mut peers = peers;
        peers.retain(|p| p.vm != own);
        if peers == self.peers {
            return;
        }
        self.peers = peers;
        self.roles = Mutex::default();
        self.near_sources = Mutex::default();
        let known: Set<SocketAddr> = self.peers.iter().map(|p| p.addr).collect();
        self.have.retain(|addr, _| known.contains(addr));
    }

    /// Returns the other agents that fetch or hold the version.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Sets the chunks that an agent has reported to hold.
    pub fn set_have(&mut self, addr: SocketAddr, have: Vec<bool>) {
        self.have.insert(addr, have);
    }

    /// Returns whether any agent is known to hold a chunk.
    pub fn is_held(&self, i: usize) -> bool {
        self.have.values().any(|have| have.get(i) == Some(&true))
    }

    /// Records that an agent doesn't hold a chunk that it reported, and discards its chunk map.
    pub fn record_absent(&mut self, addr: SocketAddr) {
        self.have.remove(&addr);
    }

    /// Records that an agent failed to respond: discards its chunk map and backs off from it for
    /// `UNRESPONSIVE_TIME`.
    pub fn record_unresponsive(&mut self, addr: SocketAddr) {
        self.have.remove(&addr);
        self.back_off_until
            .insert(addr, clock::now() + UNRESPONSIVE_TIME);
        let failures = self.failures.entry(addr).or_default();
        *failures += 1;
        if *failures >= MAX_FAILURES {
            self.exclude(addr);
        }
    }

    /// Returns whether requests may be sent to an agent now.
    pub fn can_request(&self, addr: SocketAddr, policy: &SourcePolicy) -> bool {
        let now = clock::now();
        let backing_off = self
            .back_off_until
            .get(&addr)
            .is_some_and(|until| *until > now);
        !backing_off && !self.is_banned(addr, policy)
    }

    /// Records that an agent rejected a request because it serves its maximum number of chunks.
    pub fn record_busy(&mut self, addr: SocketAddr) {
        self.back_off_until
            .insert(addr, clock::now() + BUSY_BACK_OFF);
    }

    /// Records a bad chunk from an agent.
    pub fn record_bad_chunk(&mut self, addr: SocketAddr, policy: &SourcePolicy) {
        let entry = self.bad_chunks.entry(addr).or_insert((0, clock::now()));
        *entry = (entry.0 + 1, clock::now());
        if entry.0 >= policy.max_bad_chunks {
            self.exclude(addr);
        }
    }

    /// Assigns the chunks of an agent to others.
    fn exclude(&mut self, addr: SocketAddr) {
        if self.excluded.insert(addr) {
            self.roles = Mutex::default();
            self.near_sources = Mutex::default();
        }
    }

    /// Returns whether an agent is banned for bad chunks.
    pub fn is_banned(&self, addr: SocketAddr, policy: &SourcePolicy) -> bool {
        self.bad_chunks.get(&addr).is_some_and(|(n, at)| {
            *n >= policy.max_bad_chunks && clock::since(*at) < policy.ban_time
        })
    }

    /// Records the start of a chunk fetch from an agent.
    pub fn record_started(&mut self, addr: SocketAddr) {
        *self.active.entry(addr).or_default() += 1;
    }

    /// Records the end of a chunk fetch from an agent, successful or not.
    pub fn record_completed(&mut self, addr: SocketAddr) {
        if let Some(n) = self.active.get_mut(&addr) {
            *n = n.saturating_sub(1);
        }
    }

    /// Returns the source to fetch a chunk from now; `None` if it is better to wait. `waited` is the time since the
    /// start of the fetch, `stalled` the time since the last chunk from a peer.
    pub fn choose(
        &self,
        i: usize,
        chunk: &Digest,
        policy: &SourcePolicy,
        waited: Duration,
        stalled: Duration,
    ) -> Option<Choice> {
        self.selector(policy, waited, stalled).choose(i, chunk)
    }

    /// Returns a selector for many chunks at one time; it determines once which agents requests may be sent to.
    pub fn selector<'a>(
        &'a self,
        policy: &'a SourcePolicy,
        waited: Duration,
        stalled: Duration,
    ) -> SourceSelector<'a> {
        let is_limited = policy.limit_sources && stalled < MAX_LIMITED_STALL;
        let sources = is_limited.then(|| self.near_sources(policy));
        let holder = |peer: &'a Peer| {
            let have = self.have.get(&peer.addr)?;
            let can_request = self.can_request(peer.addr, policy);
            can_request.then(|| Holder {
                addr: peer.addr,
                have,
                is_source: sources
                    .as_ref()
                    .is_none_or(|sources| sources.contains(&peer.addr) && self.is_idle(peer.addr)),
            })
        };
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            self.peers.iter().partition(|p| p.domain == policy.domain);
        SourceSelector {
            swarm: self,
            policy,
            waited,
            stalled,
            near: near.into_iter().filter_map(holder).collect(),
            far: far.into_iter().filter_map(holder).collect(),
        }
    }

    /// Returns the role of this agent for a chunk; computed once for a list of agents.
    fn role(&self, i: usize, chunk: &Digest, policy: &SourcePolicy) -> ChunkRole {
        let mut roles = self.roles.lock().unwrap_or_else(PoisonError::into_inner);
        *roles
            .entry(*chunk)
            .or_insert_with(|| self.compute_role(i, chunk, policy))
    }

    fn compute_role(&self, i: usize, chunk: &Digest, policy: &SourcePolicy) -> ChunkRole {
        let domains = self.eligible_domains(policy);
        let fetches_into_domain = self.is_assigned(i / domains.len().max(1), chunk, policy);
        let assigned_domain = domains.get(i % domains.len().max(1));
        let is_origin_domain = policy.copy_per_domain || assigned_domain == Some(&&policy.domain);
        ChunkRole {
            fetches_from_origin: fetches_into_domain && is_origin_domain,
            fetches_into_domain,
        }
    }

    /// Returns the sources in the own failure domain; computed once for a list of agents.
    fn near_sources(&self, policy: &SourcePolicy) -> Set<SocketAddr> {
        let mut near_sources = self
            .near_sources
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        near_sources
            .get_or_insert_with(|| self.compute_sources(policy))
            .clone()
    }

    fn is_idle(&self, addr: SocketAddr) -> bool {
        self.active.get(&addr).is_none_or(|n| *n == 0)
    }

    /// Returns whether a chunk may be requested from the selected agent. Under limited sources it may not if a fetch of
    /// another chunk from that agent has started since the selection.
    pub fn can_start(&self, addr: SocketAddr, policy: &SourcePolicy, stalled: Duration) -> bool {
        !policy.limit_sources || stalled >= MAX_LIMITED_STALL || self.is_idle(addr)
    }

    fn compute_sources(&self, policy: &SourcePolicy) -> Set<SocketAddr> {
        let sources = sources(&policy.vm, &self.near(policy));
        sources.into_iter().map(|p| p.addr).collect()
    }

    /// Returns the agents that fetch chunks from this agent.
    pub fn receivers(&self, policy: &SourcePolicy) -> Vec<&Peer> {
        receivers(&policy.vm, &self.near(policy))
    }

    fn near(&self, policy: &SourcePolicy) -> Vec<&Peer> {
        let near = self.eligible().filter(|p| p.domain == policy.domain);
        near.collect()
    }

    /// Returns the permitted failure domains that have an eligible agent, sorted, and therefore in the same order at
    /// all agents.
    fn eligible_domains<'a>(&self, policy: &'a SourcePolicy) -> Vec<&'a DomainName> {
        let has_eligible_agent = |domain: &&DomainName| {
            **domain == policy.domain || self.eligible().any(|p| p.domain == **domain)
        };
        let mut domains: Vec<_> = policy.permitted.iter().filter(has_eligible_agent).collect();
        domains.sort();
        domains
    }

    /// Returns whether a slot is assigned to this agent within its failure domain. Slots are assigned round-robin in
    /// the order of VMs, which gives each agent the same number of chunks. If the assigned agent is not eligible, a
    /// rendezvous hash selects one that is.
    fn is_assigned(&self, slot: usize, chunk: &Digest, policy: &SourcePolicy) -> bool {
        let mut vms: Vec<&VmId> = self
            .peers
            .iter()
            .filter(|p| p.domain == policy.domain)
            .map(|p| &p.vm)
            .collect();
        vms.push(&policy.vm);
        vms.sort();
        let assigned = vms[slot % vms.len()];
        if *assigned == policy.vm {
            return true;
        }
        let mut near = self.eligible().filter(|p| p.domain == policy.domain);
        if near.any(|p| p.vm == *assigned) {
            return false;
        }
        let own = rank(chunk.as_bytes(), &policy.vm);
        let mut near = self.eligible().filter(|p| p.domain == policy.domain);
        near.all(|p| rank(chunk.as_bytes(), &p.vm) < own)
    }

    /// Returns the agents that chunks may be assigned to.
    fn eligible(&self) -> impl Iterator<Item = &Peer> {
        let is_eligible = |p: &&Peer| !p.leaving && !self.excluded.contains(&p.addr);
        self.peers.iter().filter(is_eligible)
    }

    /// Returns a random one of the agents with the fewest active fetches.
    fn pick_least_active(&self, addrs: &[SocketAddr]) -> Option<SocketAddr> {
        let active = |addr: &&SocketAddr| self.active.get(*addr).copied().unwrap_or(0);
        let min = addrs.iter().map(|addr| active(&addr)).min()?;
        let least_active: Vec<&SocketAddr> = addrs.iter().filter(|a| active(a) == min).collect();
        least_active.choose(&mut rand::rng()).map(|addr| **addr)
    }
}

/// Another agent that requests may be sent to now.
#[derive(Debug)]
struct Holder<'a> {
    addr: SocketAddr,
    have: &'a [bool],
    /// Whether chunks may be fetched from it. Under limited sources it must be one of them and idle.
    is_source: bool,
}

/// Selects sources for many chunks at one time.
#[derive(Debug)]
pub struct SourceSelector<'a> {
    swarm: &'a Swarm,
    policy: &'a SourcePolicy,
    waited: Duration,
    stalled: Duration,
    near: Vec<Holder<'a>>,
    far: Vec<Holder<'a>>,
}

impl SourceSelector<'_> {
    /// Returns the source to fetch a chunk from now; `None` if it is better to wait.
    pub fn choose(&self, i: usize, chunk: &Digest) -> Option<Choice> {
        let (swarm, policy, stalled) = (self.swarm, self.policy, self.stalled);
        let near: Vec<&Holder> = holders(&self.near, i).collect();
        if !near.is_empty() {
            let sources = near.iter().filter(|h| h.is_source).map(|h| h.addr);
            let sources: Vec<SocketAddr> = sources.collect();
            return swarm.pick_least_active(&sources).map(|addr| Choice {
                source: Source::Peer(addr),
                urgency: (2, near.len()),
            });
        }
        if self.waited < policy.settle_time {
            return None;
        }
        let ChunkRole {
            fetches_from_origin,
            fetches_into_domain,
        } = swarm.role(i, chunk, policy);
        let from_origin = |source| Choice {
            source,
            urgency: (0, 0),
        };
        if fetches_from_origin {
            return Some(from_origin(Source::Origin));
        }
        // If the agent that fetches the chunk from the origin is gone, those assigned in their domains replace it
        // before others.
        let origin_wait = match fetches_into_domain {
            true => policy.origin_wait,
            false => policy.origin_wait * 2,
        };
        let can_fetch_far = fetches_into_domain || stalled > policy.origin_wait / 2;
        let far = match can_fetch_far {
            true => self.far_holders(i),
            false => Vec::new(),
        };
        match swarm.pick_least_active(&far) {
            Some(addr) => Some(Choice {
                source: Source::Peer(addr),
                urgency: (1, far.len()),
            }),
            None => (stalled > origin_wait).then_some(from_origin(Source::Origin)),
        }
    }

    fn far_holders(&self, i: usize) -> Vec<SocketAddr> {
        holders(&self.far, i).map(|h| h.addr).collect()
    }
}

fn holders<'a, 'b>(all: &'b [Holder<'a>], i: usize) -> impl Iterator<Item = &'b Holder<'a>> {
    all.iter().filter(move |h| h.have.get(i) == Some(&true))
}

//! Ranks where a chunk is to come from.
//!
//! There is no coordinator. For each chunk every agent finds alike whose turn it is: that one draws
//! it from the origin, the others take it from each other. With one copy for the whole fleet the
//! failure domains take turns too, and one agent of each other domain brings the chunk over. Where
//! the one whose turn it is can't be counted on, a rendezvous hash chooses another. An agent that
//! sees a chunk nowhere goes to the origin after a bounded wait.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::rendezvous::rank;
use base::{Digest, DomainName, Map, Set, VmId};
use rand::seq::IndexedRandom;
use wire::Peer;

/// Where a chunk is taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Source {
    /// The origin.
    Origin,
    /// Another agent.
    Peer(SocketAddr),
}

/// Who this agent is and by which rule the origin is drawn from.
#[derive(Debug, Clone)]
pub struct SourcePolicy {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Failure domains in which the version is permitted.
    pub permitted: Vec<DomainName>,
    /// Time after the version was first wanted in which nobody draws, so that all know all.
    pub settle_time: Duration,
    /// One copy for each failure domain, not for the whole fleet.
    pub copy_per_domain: bool,
    /// Whether chunks of the own failure domain are taken from a few agents only, one at a time from
    /// each, see [`sources`].
    pub limit_sources: bool,
    /// Wait before a chunk that is nowhere is drawn by one that wasn't chosen.
    pub origin_wait: Duration,
    /// Bad chunks after which a source is left alone.
    pub max_bad_chunks: u64,
    /// How long it is left alone.
    pub ban_time: Duration,
}

/// A chunk to take now: where from, and how urgent it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Source.
    pub source: Source,
    /// Order: chunks that only this agent brings in go first, then those that fewest hold.
    pub urgency: (u8, usize),
}

/// What is known of other agents with a version.
#[derive(Debug, Default)]
pub struct Swarm {
    duties: Mutex<Map<Digest, ChunkRole>>,
    /// Whom chunks are taken from, where these are a few; worked out once for a list of agents.
    few: Mutex<Option<Set<SocketAddr>>>,
    active: Map<SocketAddr, u32>,
    peers: Vec<Peer>,
    have: Map<SocketAddr, Vec<bool>>,
    bad: Map<SocketAddr, (u64, Instant)>,
    silences: Map<SocketAddr, u64>,
    /// Agents that are no longer counted on to draw or carry.
    shunned: Set<SocketAddr>,
    busy: Map<SocketAddr, Instant>,
}

/// What falls to this agent for a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ChunkRole {
    /// It draws the chunk from the origin.
    draws: bool,
    /// It carries the chunk into its failure domain.
    carries: bool,
}

/// Times an agent may give no answer before others take over what falls to it.
const SILENCES: u64 = 2;

/// How long an agent that gave no answer is not asked.
const SILENT_TIME: Duration = Duration::from_secs(2);

/// How long an agent that was busy is not asked.
const BUSY_TIME: Duration = Duration::from_millis(20);

/// Time without a chunk from others after which all that hold one are asked, not only a few.
const FEW_TIME: Duration = Duration::from_millis(250);

/// The few that an agent takes chunks from: of all in the order of their VMs, those 1, 2, 4, 8 ... places
/// before it. Every agent is asked by as many others as it asks itself, so links up and down are filled
/// alike and nobody has to be told to ask again; and a chunk is everywhere after as many steps as the
/// number of agents has binary digits.
pub fn sources<'a>(own: &VmId, others: &[&'a Peer]) -> Vec<&'a Peer> {
    at_steps(own, others, |n, step| n - step)
}

/// The few that take chunks from an agent, see [`sources`].
pub fn receivers<'a>(own: &VmId, others: &[&'a Peer]) -> Vec<&'a Peer> {
    at_steps(own, others, |_, step| step)
}

/// Those of a ring of `n` that stand so many places after an agent as `ahead` makes of each power of two.
fn at_steps<'a>(
    own: &VmId,
    others: &[&'a Peer],
    ahead: impl Fn(usize, usize) -> usize,
) -> Vec<&'a Peer> {
    let mut sorted = others.to_vec();
    sorted.sort_by(|a, b| a.vm.cmp(&b.vm));
    let place = sorted.partition_point(|p| p.vm < *own);
    let n = sorted.len() + 1;
    let steps = (0..usize::BITS).map(|bit| 1_usize << bit);
    let steps = steps.take_while(|step| *step < n);
    // The agent itself is left out of the list, so those after it stand one place lower there.
    let at = |step| (place + ahead(n, step)) % n;
    steps
        .map(|step| sorted[at(step) - usize::from(at(step) > place)])
        .collect()
}

impl Swarm {
    /// Takes the list of agents that fetch or hold the version; the own VM is left out.
    pub fn set_peers(&mut self, own: &str, peers: Vec<Peer>) {
        let mut peers = peers;
        peers.retain(|p| p.vm != own);
        if peers == self.peers {
            return;
        }
        self.peers = peers;
        self.duties = Mutex::default();
        self.few = Mutex::default();
        let known: Set<SocketAddr> = self.peers.iter().map(|p| p.addr).collect();
        self.have.retain(|addr, _| known.contains(addr));
    }

    /// Agents known.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Takes what an agent says it has.
    pub fn set_have(&mut self, addr: SocketAddr, have: Vec<bool>) {
        self.have.insert(addr, have);
    }

    /// Whether any agent is known to hold a chunk.
    pub fn is_held(&self, i: usize) -> bool {
        self.have.values().any(|have| have.get(i) == Some(&true))
    }

    /// Notes that an agent has not what it was asked for.
    pub fn record_absent(&mut self, addr: SocketAddr) {
        self.have.remove(&addr);
    }

    /// Notes that an agent gave no answer: what it has is forgotten, and it is left alone for a
    /// while.
    pub fn record_unresponsive(&mut self, addr: SocketAddr) {
        self.have.remove(&addr);
        self.busy.insert(addr, clock::now() + SILENT_TIME);
        let silences = self.silences.entry(addr).or_default();
        *silences += 1;
        if *silences >= SILENCES {
            self.shun(addr);
        }
    }

    /// Whether an agent may be asked now.
    pub fn can_request(&self, addr: SocketAddr, policy: &SourcePolicy) -> bool {
        let now = clock::now();
        let busy = self.busy.get(&addr).is_some_and(|until| *until > now);
        !busy && !self.is_banned(addr, policy)
    }

    /// Notes that an agent has too many to serve just now.
    pub fn record_busy(&mut self, addr: SocketAddr) {
        self.busy.insert(addr, clock::now() + BUSY_TIME);
    }

    /// Notes a bad chunk from an agent.
    pub fn record_bad_chunk(&mut self, addr: SocketAddr, policy: &SourcePolicy) {
        let bad = self.bad.entry(addr).or_insert((0, clock::now()));
        *bad = (bad.0 + 1, clock::now());
        if bad.0 >= policy.max_bad_chunks {
            self.shun(addr);
        }
    }

    /// Has others draw and carry what would have fallen to an agent.
    fn shun(&mut self, addr: SocketAddr) {
        if self.shunned.insert(addr) {
            self.duties = Mutex::default();
            self.few = Mutex::default();
        }
    }

    /// Whether an agent is left alone for bad chunks.
    pub fn is_banned(&self, addr: SocketAddr, policy: &SourcePolicy) -> bool {
        self.bad.get(&addr).is_some_and(|(n, at)| {
            *n >= policy.max_bad_chunks && clock::since(*at) < policy.ban_time
        })
    }

    /// Notes that a chunk is being taken from an agent.
    pub fn record_started(&mut self, addr: SocketAddr) {
        *self.active.entry(addr).or_default() += 1;
    }

    /// Notes that it came, or did not.
    pub fn record_completed(&mut self, addr: SocketAddr) {
        if let Some(n) = self.active.get_mut(&addr) {
            *n = n.saturating_sub(1);
        }
    }

    /// Where to take a chunk from now; `None` where it is better to wait. `waited` is how long
    /// the chunk has been wanted, `stalled` how long none has come from a peer.
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

    /// The same for many chunks at one moment: who may be asked is looked up once for all of them.
    pub fn selector<'a>(
        &'a self,
        policy: &'a SourcePolicy,
        waited: Duration,
        stalled: Duration,
    ) -> SourceSelector<'a> {
        let few = policy.limit_sources && stalled < FEW_TIME;
        let sources = few.then(|| self.few(policy));
        let holder = |peer: &'a Peer| {
            let have = self.have.get(&peer.addr)?;
            let can_request = self.can_request(peer.addr, policy);
            can_request.then(|| Holder {
                addr: peer.addr,
                have,
                is_source: sources
                    .as_ref()
                    .is_none_or(|few| few.contains(&peer.addr) && self.is_idle(peer.addr)),
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

    /// What falls to this agent for a chunk; worked out once for a list of agents.
    fn duty(&self, i: usize, chunk: &Digest, policy: &SourcePolicy) -> ChunkRole {
        let mut duties = self.duties.lock().unwrap_or_else(PoisonError::into_inner);
        *duties
            .entry(*chunk)
            .or_insert_with(|| self.find_duty(i, chunk, policy))
    }

    fn find_duty(&self, i: usize, chunk: &Digest, policy: &SourcePolicy) -> ChunkRole {
        let domains = self.domains(policy);
        let carries = self.is_turn(i / domains.len().max(1), chunk, policy);
        let home = domains.get(i % domains.len().max(1));
        let draws = policy.copy_per_domain || home == Some(&&policy.domain);
        ChunkRole {
            draws: carries && draws,
            carries,
        }
    }

    /// The few that chunks are taken from.
    fn few(&self, policy: &SourcePolicy) -> Set<SocketAddr> {
        let mut few = self.few.lock().unwrap_or_else(PoisonError::into_inner);
        few.get_or_insert_with(|| self.find_sources(policy)).clone()
    }

    fn is_idle(&self, addr: SocketAddr) -> bool {
        self.active.get(&addr).is_none_or(|n| *n == 0)
    }

    /// Whether a chunk that was chosen to come from an agent may still be asked for: another may have
    /// been since.
    pub fn can_start(&self, addr: SocketAddr, policy: &SourcePolicy, stalled: Duration) -> bool {
        !policy.limit_sources || stalled >= FEW_TIME || self.is_idle(addr)
    }

    fn find_sources(&self, policy: &SourcePolicy) -> Set<SocketAddr> {
        let sources = sources(&policy.vm, &self.near(policy));
        sources.into_iter().map(|p| p.addr).collect()
    }

    /// The few that take chunks from this agent.
    pub fn receivers(&self, policy: &SourcePolicy) -> Vec<&Peer> {
        receivers(&policy.vm, &self.near(policy))
    }

    fn near(&self, policy: &SourcePolicy) -> Vec<&Peer> {
        let near = self.counted_on().filter(|p| p.domain == policy.domain);
        near.collect()
    }

    /// Permitted failure domains in which an agent can be counted on, in an order that all know.
    fn domains<'a>(&self, policy: &'a SourcePolicy) -> Vec<&'a DomainName> {
        let counts = |domain: &&DomainName| {
            **domain == policy.domain || self.counted_on().any(|p| p.domain == **domain)
        };
        let mut domains: Vec<_> = policy.permitted.iter().filter(counts).collect();
        domains.sort();
        domains
    }

    /// Whether it is this agent's turn in its failure domain. Agents take turns in the order of
    /// their VMs, so that each brings in as much as the others; where the one whose turn it is can't
    /// be counted on, a rendezvous hash chooses among those that can.
    fn is_turn(&self, turn: usize, chunk: &Digest, policy: &SourcePolicy) -> bool {
        let mut vms: Vec<&VmId> = self
            .peers
            .iter()
            .filter(|p| p.domain == policy.domain)
            .map(|p| &p.vm)
            .collect();
        vms.push(&policy.vm);
        vms.sort();
        let first = vms[turn % vms.len()];
        if *first == policy.vm {
            return true;
        }
        let mut near = self.counted_on().filter(|p| p.domain == policy.domain);
        if near.any(|p| p.vm == *first) {
            return false;
        }
        let own = rank(chunk.as_bytes(), &policy.vm);
        let mut near = self.counted_on().filter(|p| p.domain == policy.domain);
        near.all(|p| rank(chunk.as_bytes(), &p.vm) < own)
    }

    /// Agents that may draw and carry.
    fn counted_on(&self) -> impl Iterator<Item = &Peer> {
        let counts = |p: &&Peer| !p.leaving && !self.shunned.contains(&p.addr);
        self.peers.iter().filter(counts)
    }

    /// One of those that fewest chunks are being taken from.
    fn pick(&self, addrs: &[SocketAddr]) -> Option<SocketAddr> {
        let active = |addr: &&SocketAddr| self.active.get(*addr).copied().unwrap_or(0);
        let least = addrs.iter().map(|addr| active(&addr)).min()?;
        let idle: Vec<&SocketAddr> = addrs.iter().filter(|a| active(a) == least).collect();
        idle.choose(&mut rand::rng()).map(|addr| **addr)
    }
}

/// Another agent that may be asked now.
#[derive(Debug)]
struct Holder<'a> {
    addr: SocketAddr,
    have: &'a [bool],
    /// Whether chunks are taken from it: one of the few, where these are few, and idle.
    is_source: bool,
}

/// A choice for many chunks at one moment.
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
    /// Where to take a chunk from now; `None` where it is better to wait.
    pub fn choose(&self, i: usize, chunk: &Digest) -> Option<Choice> {
        let (swarm, policy, stalled) = (self.swarm, self.policy, self.stalled);
        let near: Vec<&Holder> = holders(&self.near, i).collect();
        if !near.is_empty() {
            let sources = near.iter().filter(|h| h.is_source).map(|h| h.addr);
            let sources: Vec<SocketAddr> = sources.collect();
            return swarm.pick(&sources).map(|addr| Choice {
                source: Source::Peer(addr),
                urgency: (2, near.len()),
            });
        }
        if self.waited < policy.settle_time {
            return None;
        }
        let ChunkRole { draws, carries } = swarm.duty(i, chunk, policy);
        let first = |source| Choice {
            source,
            urgency: (0, 0),
        };
        if draws {
            return Some(first(Source::Origin));
        }
        // Where the chosen one is gone, the one that carries into a domain draws before others.
        let patience = match carries {
            true => policy.origin_wait,
            false => policy.origin_wait * 2,
        };
        let crosses = carries || stalled > policy.origin_wait / 2;
        let far = match crosses {
            true => self.far_holders(i),
            false => Vec::new(),
        };
        match swarm.pick(&far) {
            Some(addr) => Some(Choice {
                source: Source::Peer(addr),
                urgency: (1, far.len()),
            }),
            None => (stalled > patience).then_some(first(Source::Origin)),
        }
    }

    fn far_holders(&self, i: usize) -> Vec<SocketAddr> {
        holders(&self.far, i).map(|h| h.addr).collect()
    }
}

fn holders<'a, 'b>(all: &'b [Holder<'a>], i: usize) -> impl Iterator<Item = &'b Holder<'a>> {
    all.iter().filter(move |h| h.have.get(i) == Some(&true))
}

//! Ranks where a chunk is to come from.
//!
//! There is no coordinator. For each chunk every agent ranks the agents that want it by rendezvous
//! hash: the first of them draws it from the origin, the others take it from each other. With one
//! copy for the whole fleet the chunk's failure domain is ranked first, and one agent of each other
//! domain, ranked the same way, brings it over. An agent that sees a chunk nowhere goes to the
//! origin after a bounded wait.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{Digest, DomainName, Map, Set, VmId};
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
pub struct Rule {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Failure domains in which the version is permitted.
    pub permitted: Vec<DomainName>,
    /// Time after the version was first wanted in which nobody draws, so that all know all.
    pub settle: Duration,
    /// One copy for each failure domain, not for the whole fleet.
    pub per_domain: bool,
    /// Wait before a chunk that is nowhere is drawn by one that wasn't chosen.
    pub patience: Duration,
    /// Bad chunks after which a source is left alone.
    pub bad_chunks: u64,
    /// How long it is left alone.
    pub bad_time: Duration,
}

/// What is known of other agents with a version.
#[derive(Debug, Default)]
pub struct Swarm {
    peers: Vec<Peer>,
    have: Map<SocketAddr, Vec<bool>>,
    bad: Map<SocketAddr, (u64, Instant)>,
    busy: Map<SocketAddr, Instant>,
}

/// How long an agent that was busy is not asked.
const BUSY_TIME: Duration = Duration::from_millis(20);

impl Swarm {
    /// Takes the list of agents that fetch or hold the version; the own VM is left out.
    pub fn set_peers(&mut self, own: &str, peers: Vec<Peer>) {
        self.peers = peers;
        self.peers.retain(|p| p.vm != own);
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

    /// Forgets what an agent said it has.
    pub fn lost(&mut self, addr: SocketAddr) {
        self.have.remove(&addr);
    }

    /// Notes that an agent has too many to serve just now.
    pub fn busy(&mut self, addr: SocketAddr) {
        self.busy.insert(addr, Instant::now() + BUSY_TIME);
    }

    /// Notes a bad chunk from an agent.
    pub fn bad(&mut self, addr: SocketAddr) {
        let bad = self.bad.entry(addr).or_insert((0, Instant::now()));
        *bad = (bad.0 + 1, Instant::now());
    }

    /// Whether an agent is left alone for bad chunks.
    pub fn banned(&self, addr: SocketAddr, rule: &Rule) -> bool {
        self.bad
            .get(&addr)
            .is_some_and(|(n, at)| *n >= rule.bad_chunks && at.elapsed() < rule.bad_time)
    }

    /// Where to take a chunk from now; `None` where it is better to wait. `waited` is how long
    /// the chunk has been wanted.
    pub fn choose(
        &self,
        i: usize,
        chunk: &Digest,
        rule: &Rule,
        waited: Duration,
    ) -> Option<Source> {
        let near = self.holders(i, rule, |p| p.domain == rule.domain);
        if let Some(addr) = pick(&near) {
            return Some(Source::Peer(addr));
        }
        if waited < rule.settle {
            return None;
        }
        let (draws, carries) = self.duty(chunk, rule);
        if draws {
            return Some(Source::Origin);
        }
        let far = self.holders(i, rule, |p| p.domain != rule.domain);
        // Where the chosen one is gone, the one that carries into a domain draws before others.
        let patience = if carries {
            rule.patience
        } else {
            rule.patience * 2
        };
        match pick(&far) {
            Some(addr) if carries || waited > rule.patience / 2 => Some(Source::Peer(addr)),
            _ => (waited > patience).then_some(Source::Origin),
        }
    }

    /// Whether this agent draws the chunk from the origin, and whether it carries it into its
    /// failure domain.
    fn duty(&self, chunk: &Digest, rule: &Rule) -> (bool, bool) {
        let first_here = self
            .peers
            .iter()
            .filter(|p| p.domain == rule.domain && !p.leaving)
            .all(|p| rank(chunk, &p.vm) < rank(chunk, &rule.vm));
        let own_domain_first = rule.per_domain
            || rule
                .permitted
                .iter()
                .all(|domain| rank(chunk, domain) <= rank(chunk, &rule.domain));
        (first_here && own_domain_first, first_here)
    }

    fn holders(&self, i: usize, rule: &Rule, of: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let now = Instant::now();
        self.peers
            .iter()
            .filter(|p| of(p) && !self.banned(p.addr, rule))
            .map(|p| p.addr)
            .filter(|addr| self.busy.get(addr).is_none_or(|until| *until <= now))
            .filter(|addr| {
                self.have
                    .get(addr)
                    .is_some_and(|have| have.get(i) == Some(&true))
            })
            .collect()
    }
}

fn pick(addrs: &[SocketAddr]) -> Option<SocketAddr> {
    use rand::seq::IndexedRandom;
    addrs.choose(&mut rand::rng()).copied()
}

fn rank(chunk: &Digest, name: &str) -> Digest {
    let mut buf = chunk.as_bytes().to_vec();
    buf.extend_from_slice(name.as_bytes());
    Digest::of(&buf)
}

//! Fetches one version, chunk by chunk, and hands it to the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use base::{Digest, Set};
use bytes::Bytes;
use log::{debug, info, warn};
use rand::seq::{IndexedRandom, SliceRandom};
use table::Version;
use tokio::task::JoinSet;
use weights::Manifest;
use wire::Peer;

use crate::Agent;
use crate::chunk::{ChunkError, fetch_chunk, fetch_chunk_map, find_manifest, request_peers};
use crate::swarm::{Source, SourcePolicy, Swarm};

/// Log prefix of this part.
const PART: &str = "fetch";

/// Time between two looks at who has what.
const LOOK: Duration = Duration::from_millis(40);

/// Chunks drawn from the origin at once; more would wait in its queue and hold up fetches from
/// peers.
const ORIGIN_FETCHES: usize = 1;

/// Time between two questions to the entries.
const ASK: Duration = Duration::from_millis(500);

/// Time in which all agents learn who else wants a version, before any draws from the origin.
const SETTLE: Duration = Duration::from_millis(80);

/// Agents of the own failure domain, and of others, looked at at once.
const LOOK_AT: [usize; 2] = [6, 3];

/// A version on its way in.
struct Fetch {
    agent: Arc<Agent>,
    version: Digest,
    manifest: Arc<Manifest>,
    policy: SourcePolicy,
    swarm: Swarm,
    wanted: Set<usize>,
    begun: Instant,
    in_flight: Set<usize>,
    from_origin: usize,
    /// When a chunk last came from a peer.
    progress: Instant,
    permille: Arc<AtomicU64>,
}

/// A chunk that came, or did not.
struct Fetched {
    i: usize,
    source: Source,
    from_origin: bool,
    result: Result<Option<Vec<bool>>, ChunkError>,
}

/// Brings all chunks of a version to the engine. `permille` follows the progress.
///
/// Chunks that the engine has staged for an earlier process are brought again: peers may wait for
/// this VM to draw them, and what the engine has can't be read back.
pub async fn fetch(agent: Arc<Agent>, version: Digest, permille: Arc<AtomicU64>) -> Arc<Manifest> {
    let manifest = find_manifest(&agent, version).await;
    agent.manifests().insert(version, manifest.clone());
    let now = clock::now();
    let mut fetch = Fetch {
        policy: rule(&agent, version),
        swarm: Swarm::default(),
        wanted: (0..manifest.chunks.len()).collect(),
        begun: now,
        in_flight: Set::default(),
        from_origin: 0,
        progress: now,
        permille,
        agent,
        version,
        manifest,
    };
    fetch.run().await;
    let took = clock::since(now);
    info!(target: PART, "{PART}: {} is staged whole after {took:?}", version.short());
    fetch.manifest
}

fn rule(agent: &Agent, version: Digest) -> SourcePolicy {
    let (view, domains) = (agent.active_table.current(), agent.active_table.domains());
    let version = Version::Weights(version);
    let permits = |domain: &&String| view.table.permits_weights(&version, domain, domains);
    let permitted = domains.names().filter(permits).cloned().collect();
    SourcePolicy {
        vm: agent.cfg.upkeep.vm.clone(),
        domain: agent.cfg.upkeep.domain.clone(),
        permitted,
        settle_time: SETTLE,
        copy_per_domain: agent.cfg.origin_copies == "domain",
        limit_sources: false,
        origin_wait: agent.cfg.origin_patience,
        max_bad_chunks: agent.cfg.bad_chunks,
        ban_time: agent.cfg.bad_time,
    }
}

impl Fetch {
    async fn run(&mut self) {
        let mut fetching: JoinSet<Fetched> = JoinSet::new();
        let mut asked: Option<Instant> = None;
        let mut look = tokio::time::interval(LOOK);
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.wanted.is_empty() {
            tokio::select! {
                _ = look.tick() => {
                    if asked.is_none_or(|at| clock::since(at) > ASK) {
                        self.ask_entries().await;
                        asked = Some(clock::now());
                    }
                    self.look_at_peers().await;
                }
                Some(done) = fetching.join_next() => match done {
                    Ok(fetched) => self.took(fetched),
                    Err(e) => warn!(target: PART, "{PART}: a fetch failed: {e}"),
                },
            }
            self.start(&mut fetching);
        }
    }

    async fn ask_entries(&mut self) {
        let version = Version::Weights(self.version);
        if let Some(peers) = request_peers(&self.agent, version).await {
            self.swarm.set_peers(&self.policy.vm, peers);
        }
    }

    async fn look_at_peers(&mut self) {
        let near = self.sample(|p| p.domain == self.policy.domain, LOOK_AT[0]);
        let far = self.sample(|p| p.domain != self.policy.domain, LOOK_AT[1]);
        let mut looks = JoinSet::new();
        for addr in near.into_iter().chain(far) {
            let (agent, version) = (self.agent.clone(), self.version);
            looks.spawn(async move { (addr, fetch_chunk_map(&agent, addr, version).await) });
        }
        while let Some(looked) = looks.join_next().await {
            match looked {
                Ok((addr, Some(have))) => self.swarm.set_have(addr, have),
                Ok((addr, None)) => self.swarm.record_unresponsive(addr),
                Err(_) => {}
            }
        }
    }

    fn sample(&self, of: impl Fn(&Peer) -> bool, n: usize) -> Vec<SocketAddr> {
        let addrs: Vec<SocketAddr> = self
            .swarm
            .peers()
            .iter()
            .filter(|p| of(p) && self.swarm.can_request(p.addr, &self.policy))
            .map(|p| p.addr)
            .collect();
        addrs.sample(&mut rand::rng(), n).copied().collect()
    }

    /// Starts as many fetches as the settings allow, the most urgent chunks first.
    fn start(&mut self, fetching: &mut JoinSet<Fetched>) {
        if self.in_flight.len() >= self.agent.cfg.fetches as usize {
            return;
        }
        for (i, source, held) in self.most_urgent() {
            let from_origin = source == Source::Origin && held.is_none();
            if self.in_flight.len() >= self.agent.cfg.fetches as usize {
                return;
            }
            if from_origin && self.from_origin >= ORIGIN_FETCHES {
                continue;
            }
            self.from_origin += usize::from(from_origin);
            if let Source::Peer(addr) = source {
                self.swarm.record_started(addr);
            }
            self.in_flight.insert(i);
            let (agent, version, manifest) =
                (self.agent.clone(), self.version, self.manifest.clone());
            fetching.spawn(async move {
                let result = fetch_chunk(&agent, version, &manifest, i, held, source).await;
                Fetched {
                    i,
                    source,
                    from_origin,
                    result,
                }
            });
        }
    }

    /// Chunks that can be taken now, each with its source, or its bytes where they are held from
    /// another version.
    fn most_urgent(&self) -> Vec<(usize, Source, Option<Bytes>)> {
        let (waited, stalled) = (clock::since(self.begun), clock::since(self.progress));
        let selector = self.swarm.selector(&self.policy, waited, stalled);
        let mut ready: Vec<_> = self
            .wanted
            .difference(&self.in_flight)
            .filter_map(|i| {
                let chunk = &self.manifest.chunks[*i];
                if let Some(buf) = self.agent.chunks().get(chunk) {
                    return Some(((0, 0), *i, Source::Origin, Some(buf)));
                }
                let choice = selector.choose(*i, chunk)?;
                Some((choice.urgency, *i, choice.source, None))
            })
            .collect();
        ready.shuffle(&mut rand::rng());
        ready.sort_by_key(|(urgency, ..)| *urgency);
        ready
            .into_iter()
            .map(|(_, i, source, held)| (i, source, held))
            .collect()
    }

    fn took(&mut self, fetched: Fetched) {
        let Fetched { i, source, .. } = fetched;
        self.in_flight.remove(&i);
        self.from_origin -= usize::from(fetched.from_origin);
        if let Source::Peer(addr) = source {
            self.swarm.record_completed(addr);
        }
        match (fetched.result, source) {
            (Ok(have), _) => {
                if let (Some(have), Source::Peer(addr)) = (have, source) {
                    self.swarm.set_have(addr, have);
                }
                self.wanted.remove(&i);
                if !fetched.from_origin {
                    // What this agent draws is no sign that others bring chunks.
                    self.progress = clock::now();
                }
                let all = self.manifest.chunks.len();
                let permille = (all - self.wanted.len()) * 1000 / all;
                self.permille.store(permille as u64, Ordering::Relaxed);
            }
            (Err(ChunkError::Busy), Source::Peer(addr)) => self.swarm.record_busy(addr),
            (Err(ChunkError::Absent), Source::Peer(addr)) => self.swarm.record_absent(addr),
            (Err(ChunkError::Bad(e)), source) => {
                warn!(target: PART, "{PART}: a bad chunk came from {source:?}: {e}");
                self.agent.chunk_counts.bad.fetch_add(1, Ordering::Relaxed);
                metrics::counter!("driftnotch_bad_chunks_total").increment(1);
                if let Source::Peer(addr) = source {
                    self.swarm.record_bad_chunk(addr, &self.policy);
                }
            }
            (Err(ChunkError::Source(why)), Source::Peer(addr)) => {
                debug!(target: PART, "{PART}: {addr} gave no chunk {i}: {why}");
                self.swarm.record_unresponsive(addr);
            }
            (Err(e), source) => debug!(target: PART, "{PART}: no chunk {i} from {source:?}: {e}"),
        }
    }
}

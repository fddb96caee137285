//! Fetches the chunks of one version and stages them at the engine.

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

/// Interval between polls of the chunks that peers hold.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum number of concurrent chunk fetches from the origin; more would be queued there and take the place of fetches
/// from peers.
const MAX_ORIGIN_FETCHES: usize = 1;

/// Interval between queries of an entry for the list of peers.
const PEERS_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Time in which all agents discover the others that want a version, before any fetches from the origin.
const SETTLE_TIME: Duration = Duration::from_millis(80);

/// Maximum number of agents of the own failure domain, and of others, that are polled at once.
const MAX_POLLED: [usize; 2] = [6, 3];

/// A fetch of one version.
struct Fetch {
    agent: Arc<Agent>,
    version: Digest,
    manifest: Arc<Manifest>,
    policy: SourcePolicy,
    swarm: Swarm,
    wanted: Set<usize>,
    started: Instant,
    in_flight: Set<usize>,
    from_origin: usize,
    /// Last time that a chunk arrived from a peer.
    last_progress: Instant,
    permille: Arc<AtomicU64>,
}

/// Outcome of a chunk fetch.
struct Fetched {
    i: usize,
    source: Source,
    from_origin: bool,
    result: Result<Option<Vec<bool>>, ChunkError>,
}

/// Fetches all chunks of a version and stages them at the engine. `permille` is updated with the progress.
///
/// Chunks that the engine has staged for an earlier agent process are fetched again: peers may wait for this VM to
/// fetch them from the origin, and staged chunks can't be read back from the engine.
pub async fn fetch(agent: Arc<Agent>, version: Digest, permille: Arc<AtomicU64>) -> Arc<Manifest> {
    let manifest = find_manifest(&agent, version).await;
    agent.manifests().insert(version, manifest.clone());
    let now = clock::now();
    let mut fetch = Fetch {
        policy: policy(&agent, version),
        swarm: Swarm::default(),
        wanted: (0..manifest.chunks.len()).collect(),
        started: now,
        in_flight: Set::default(),
        from_origin: 0,
        last_progress: now,
        permille,
        agent,
        version,
        manifest,
    };
    fetch.run().await;
    let elapsed = clock::since(now);
    info!(target: PART, "{PART}: {} is fully staged after {elapsed:?}", version.short());
    fetch.manifest
}

fn policy(agent: &Agent, version: Digest) -> SourcePolicy {
    let (view, domains) = (agent.active_table.current(), agent.active_table.domains());
    let version = Version::Weights(version);
    let permits = |domain: &&String| view.table.permits_weights(&version, domain, domains);
    let permitted = domains.names().filter(permits).cloned().collect();
    SourcePolicy {
        vm: agent.cfg.process.vm.clone(),
        domain: agent.cfg.process.domain.clone(),
        permitted,
        settle_time: SETTLE_TIME,
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
        let mut last_refresh: Option<Instant> = None;
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.wanted.is_empty() {
            tokio::select! {
                _ = ticks.tick() => {
                    if last_refresh.is_none_or(|at| clock::since(at) > PEERS_QUERY_INTERVAL) {
                        self.refresh_peers().await;
                        last_refresh = Some(clock::now());
                    }
                    self.poll_peers().await;
                }
                Some(done) = fetching.join_next() => match done {
                    Ok(fetched) => self.handle(fetched),
                    Err(e) => warn!(target: PART, "{PART}: a fetch failed: {e}"),
                },
            }
            self.start(&mut fetching);
        }
    }

    async fn refresh_peers(&mut self) {
        let version = Version::Weights(self.version);
        if let Some(peers) = request_peers(&self.agent, version).await {
            self.swarm.set_peers(&self.policy.vm, peers);
        }
    }

    async fn poll_peers(&mut self) {
        let near = self.sample(|p| p.domain == self.policy.domain, MAX_POLLED[0]);
        let far = self.sample(|p| p.domain != self.policy.domain, MAX_POLLED[1]);
        let mut polls = JoinSet::new();
        for addr in near.into_iter().chain(far) {
            let (agent, version) = (self.agent.clone(), self.version);
            polls.spawn(async move { (addr, fetch_chunk_map(&agent, addr, version).await) });
        }
        while let Some(polled) = polls.join_next().await {
            match polled {
                Ok((addr, Some(have))) => self.swarm.set_have(addr, have),
                Ok((addr, None)) => self.swarm.record_unresponsive(addr),
                Err(_) => {}
            }
        }
    }

    fn sample(&self, matches: impl Fn(&Peer) -> bool, n: usize) -> Vec<SocketAddr> {
        let addrs: Vec<SocketAddr> = self
            .swarm
            .peers()
            .iter()
            .filter(|p| matches(p) && self.swarm.can_request(p.addr, &self.policy))
            .map(|p| p.addr)
            .collect();
        addrs.sample(&mut rand::rng(), n).copied().collect()
    }

    /// Starts as many fetches as the settings allow, the most urgent chunks first.
    fn start(&mut self, fetching: &mut JoinSet<Fetched>) {
        if self.in_flight.len() >= self.agent.cfg.fetches as usize {
            return;
        }
        for (i, source, stored) in self.ready_chunks() {
            let from_origin = source == Source::Origin && stored.is_none();
            if self.in_flight.len() >= self.agent.cfg.fetches as usize {
                return;
            }
            if from_origin && self.from_origin >= MAX_ORIGIN_FETCHES {
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
                let result = fetch_chunk(&agent, version, &manifest, i, stored, source).await;
                Fetched {
                    i,
                    source,
                    from_origin,
                    result,
                }
            });
        }
    }

    /// Returns the chunks that can be fetched now, most urgent first, each with its source. A chunk that is already
    /// stored for another version has its bytes instead.
    fn ready_chunks(&self) -> Vec<(usize, Source, Option<Bytes>)> {
        let (waited, stalled) = (clock::since(self.started), clock::since(self.last_progress));
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
            .map(|(_, i, source, stored)| (i, source, stored))
            .collect()
    }

    fn handle(&mut self, fetched: Fetched) {
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
                    // A chunk from the origin doesn't show that peers make progress.
                    self.last_progress = clock::now();
                }
                let all = self.manifest.chunks.len();
                let permille = (all - self.wanted.len()) * 1000 / all;
                self.permille.store(permille as u64, Ordering::Relaxed);
            }
            (Err(ChunkError::Busy), Source::Peer(addr)) => self.swarm.record_busy(addr),
            (Err(ChunkError::Absent), Source::Peer(addr)) => self.swarm.record_absent(addr),
            (Err(ChunkError::Bad(e)), source) => {
                warn!(target: PART, "{PART}: bad chunk from {source:?}: {e}");
                self.agent.chunk_counts.bad.fetch_add(1, Ordering::Relaxed);
                metrics::counter!("driftnotch_bad_chunks_total").increment(1);
                if let Source::Peer(addr) = source {
                    self.swarm.record_bad_chunk(addr, &self.policy);
                }
            }
            (Err(ChunkError::Source(why)), Source::Peer(addr)) => {
                debug!(target: PART, "{PART}: no chunk {i} from {addr}: {why}");
                self.swarm.record_unresponsive(addr);
            }
            (Err(e), source) => debug!(target: PART, "{PART}: no chunk {i} from {source:?}: {e}"),
        }
    }
}

//! Exchange of chunks and manifests with other loaders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agent::pace::{Pacer, paced_body};
use base::{DomainName, Map, Model};
use beacon::{ChunkMap, Member, Msg, Role};
use catalog::WeightsVersion;
use rand::seq::SliceRandom;
use settings::LoaderCfg;
use tokio::sync::Semaphore;
use web::{Client, Request, Response, empty, full, read_body, text};

use crate::Cx;
use crate::api::{ApiError, ChunkDigest, Manifest, OriginVersion};
use crate::chunk_set::ChunkSet;

/// Path prefix of chunks; `MODEL/VERSION/INDEX` follows.
pub(crate) const CHUNKS: &str = "/chunks/";

/// Path prefix of manifests; `MODEL/VERSION` follows.
pub(crate) const MANIFESTS: &str = "/manifests/";

/// Status of a loader that is serving its maximum number of chunks.
pub(crate) const BUSY: u16 = 429;

/// Bytes per second in one Mbit/s.
pub(crate) const BYTES_PER_MBIT: f64 = 125_000.0;

/// Timeout for a manifest from another loader: a few kilobytes, which may queue behind chunks on its link.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest manifest accepted, in bytes.
const MAX_MANIFEST_BYTES: usize = 4 << 20;

/// Last announcement of a loader for a version.
#[derive(Debug, Clone)]
pub(crate) struct PeerChunks {
    /// Chunks that it holds.
    pub(crate) have: Vec<bool>,
    /// When the announcement was received.
    pub(crate) at: Instant,
}

impl PeerChunks {
    /// Returns whether the loader holds all chunks.
    pub(crate) fn is_complete(&self) -> bool {
        self.have.iter().all(|has| *has)
    }
}

/// Chunk maps of other loaders, by model and version, then by the address that serves the chunks.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    maps: Map<(Model, WeightsVersion), Map<SocketAddr, (ChunkMap, Instant)>>,
}

impl Peers {
    /// Records the chunk map of a loader.
    pub(crate) fn record(&mut self, map: ChunkMap) {
        let key = (map.model.clone(), map.version);
        let of_version = self.maps.entry(key).or_default();
        of_version.insert(map.from, (map, clock::now()));
    }

    /// Returns the last announcements for a version of `n` chunks; only those received at or after `since`, if given.
    pub(crate) fn announced(
        &self,
        model: &Model,
        version: WeightsVersion,
        n: usize,
        since: Option<Instant>,
    ) -> Map<SocketAddr, PeerChunks> {
        let maps = self.maps.get(&(model.clone(), version));
        let is_new = |(_, (_, at)): &(&SocketAddr, &(ChunkMap, Instant))| {
            since.is_none_or(|since| *at >= since)
        };
        let peer_chunks = |(addr, (map, at)): (&SocketAddr, &(ChunkMap, Instant))| {
            let (have, at) = (map.unpack(n), *at);
            (*addr, PeerChunks { have, at })
        };
        maps.into_iter()
            .flatten()
            .filter(is_new)
            .map(peer_chunks)
            .collect()
    }
}

/// Returns the other loaders.
pub(crate) fn loaders(cx: &Cx) -> Vec<Member> {
    let members = cx.members.borrow();
    let other = |m: &&Member| m.role == Role::Loader && m.vm != cx.cfg.node.vm;
    members.iter().filter(other).cloned().collect()
}

/// Loaders that receive an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// All loaders of the own failure domain.
    Near,
    /// All loaders of other failure domains.
    Far,
    /// All loaders of the own failure domain and a few of each other one, so that announcements from each failure
    /// domain reach every other without all-to-all traffic.
    NearAndSample,
    /// A few loaders of each other failure domain.
    Sample,
}

/// Number of loaders of each other failure domain in [`Scope::Sample`].
const SAMPLE_SIZE: usize = 2;

/// Announces the held chunks of a version to other loaders.
pub(crate) fn announce(cx: &Cx, set: &ChunkSet, wants_reply: bool, scope: Scope) {
    let msg = chunk_map(cx, set, wants_reply);
    let own = &cx.cfg.node.domain;
    let (near, far): (Vec<Member>, Vec<Member>) =
        loaders(cx).into_iter().partition(|m| m.domain == *own);
    let receivers = match scope {
        Scope::Near => near,
        Scope::Far => far,
        Scope::NearAndSample => near.into_iter().chain(sample_each_domain(far)).collect(),
        Scope::Sample => sample_each_domain(far),
    };
    cx.beacon.send(&msg, receivers.iter().map(|m| m.beacon));
}

/// Returns a random sample of the loaders of each failure domain.
fn sample_each_domain(loaders: Vec<Member>) -> Vec<Member> {
    let mut by_domain: Map<DomainName, Vec<Member>> = Map::default();
    for loader in loaders {
        let of_domain = by_domain.entry(loader.domain.clone()).or_default();
        of_domain.push(loader);
    }
    let mut rng = rand::rng();
    let sample = by_domain.into_values().flat_map(|mut of_domain| {
        of_domain.shuffle(&mut rng);
        of_domain.truncate(SAMPLE_SIZE);
        of_domain
    });
    sample.collect()
}

/// Announces the held chunks of a version to the loaders with the given peer addresses.
pub(crate) fn announce_to(cx: &Cx, set: &ChunkSet, peer_addrs: &[SocketAddr]) {
    let members = loaders(cx);
    let receivers = members.iter().filter(|m| peer_addrs.contains(&m.peer_addr));
    cx.beacon
        .send(&chunk_map(cx, set, false), receivers.map(|m| m.beacon));
}

/// Replies to a loader with the held chunks of a version, if there are any.
pub(crate) fn reply(cx: &Cx, map: &ChunkMap, to: SocketAddr) {
    if let Some(set) = cx.sets.get(&map.model, map.version) {
        cx.beacon.send(&chunk_map(cx, &set, false), [to]);
    }
}

fn chunk_map(cx: &Cx, set: &ChunkSet, wants_reply: bool) -> Msg {
    Msg::Chunks(ChunkMap {
        from: cx.cfg.chunks,
        model: set.model.clone(),
        version: set.version,
        bits: ChunkMap::pack(&set.have()),
        wants_reply,
    })
}

/// Maximum number of chunks sent concurrently: one ends while the next starts. Others are queued, since a chunk that
/// arrives sooner is relayed sooner.
const MAX_CONCURRENT: usize = 2;

/// Limits on chunks sent to other loaders.
#[derive(Debug)]
pub(crate) struct UploadLimits {
    pacer: Arc<Pacer>,
    /// Permits for chunks that are being sent or queued.
    accepted: Arc<Semaphore>,
    /// Permits for chunks that are being sent, granted in order of request.
    sending: Arc<Semaphore>,
}

impl UploadLimits {
    /// Creates limits by the settings.
    pub(crate) fn new(cfg: &LoaderCfg) -> UploadLimits {
        let link = (cfg.link_mbps * BYTES_PER_MBIT) as u64;
        UploadLimits {
            pacer: Arc::new(Pacer::new(link, cfg.weight_share)),
            accepted: Arc::new(Semaphore::new(cfg.serves as usize)),
            sending: Arc::new(Semaphore::new(MAX_CONCURRENT)),
        }
    }
}

/// Answers requests of other loaders.
pub(crate) async fn serve(cx: Arc<Cx>, limits: Arc<UploadLimits>, req: Request) -> Response {
    let path = req.uri().path();
    match (path.strip_prefix(CHUNKS), path.strip_prefix(MANIFESTS)) {
        (Some(rest), _) => chunk(&cx, &limits, rest).await,
        (_, Some(rest)) => manifest(&cx, rest),
        (None, None) => text(404, "use /chunks or /manifests\n"),
    }
}

async fn chunk(cx: &Cx, limits: &UploadLimits, rest: &str) -> Response {
    let found = rest.rsplit_once('/').and_then(|(set, i)| {
        let i = i.parse().ok()?;
        find(cx, set)?.get(i)
    });
    let Some(buf) = found else {
        return text(404, "no such chunk here\n");
    };
    let Ok(accepted) = limits.accepted.clone().try_acquire_owned() else {
        return text(BUSY, "too many chunks are asked for; ask again\n");
    };
    match limits.sending.clone().acquire_owned().await {
        Ok(sending) => Response::new(paced_body(buf, (accepted, sending), limits.pacer.clone())),
        Err(_) => text(BUSY, "the process is ending; ask another\n"),
    }
}

fn manifest(cx: &Cx, rest: &str) -> Response {
    match find(cx, rest) {
        Some(set) => Response::new(full(set.manifest().digests.concat())),
        None => text(404, "no such manifest here\n"),
    }
}

fn find(cx: &Cx, set: &str) -> Option<Arc<ChunkSet>> {
    let (model, version) = set.split_once('/')?;
    cx.sets.get(model, version.parse().ok()?)
}

/// Fetches a manifest from another loader.
pub(crate) async fn fetch_manifest(
    client: &Client,
    from: SocketAddr,
    version: &OriginVersion,
) -> Result<Manifest, ApiError> {
    let failed = |e: &dyn std::fmt::Display| ApiError::Failed(e.to_string());
    let path = format!("{MANIFESTS}{}/{}", version.model, version.version);
    let req = hyper::Request::get(path).body(empty());
    let req = req.map_err(|e| failed(&e))?;
    let sent = client.send(from, req, MANIFEST_TIMEOUT).await;
    let res = sent.map_err(|e| failed(&e))?;
    if !res.status().is_success() {
        return Err(ApiError::Failed(format!("status {}", res.status())));
    }
    let body = read_body(res.into_body(), MAX_MANIFEST_BYTES, MANIFEST_TIMEOUT).await;
    let buf = body.map_err(|e| failed(&e))?;
    let digests = buf
        .chunks(std::mem::size_of::<ChunkDigest>())
        .map(ChunkDigest::try_from)
        .collect::<Result<_, _>>();
    let digests: Vec<ChunkDigest> = digests.map_err(|e| failed(&e))?;
    Ok(Manifest { digests })
}

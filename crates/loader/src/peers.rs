//! What other loaders have, and where chunks are passed on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agent::pace::{Pacer, paced};
use base::{DomainName, Map, Model};
use beacon::{ChunkMap, Member, Msg, Role};
use catalog::WeightsVersion;
use rand::seq::SliceRandom;
use settings::LoaderCfg;
use tokio::sync::Semaphore;
use web::{Client, Request, Response, empty, full, read_body, text};

use crate::Cx;
use crate::api::{ApiError, ChunkDigest, Manifest, OriginVersion};
use crate::sets::Set;

/// Path of a chunk is this and `MODEL/VERSION/INDEX`.
pub(crate) const CHUNKS: &str = "/chunks/";

/// Path of a manifest is this and `MODEL/VERSION`.
pub(crate) const MANIFESTS: &str = "/manifests/";

/// Status of a loader that passes on as many chunks as it may.
pub(crate) const BUSY: u16 = 429;

/// Bytes a second of one Mbit/s.
pub(crate) const BYTES_PER_MBIT: f64 = 125_000.0;

/// Longest wait for a manifest from another loader: a few kilobytes, which may have to wait for chunks
/// on its link.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest manifest taken, in bytes.
const MAX_MANIFEST: usize = 4 << 20;

/// What a loader last said of a version, and when.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    /// Which chunks it has.
    pub(crate) have: Vec<bool>,
    /// When it said so.
    pub(crate) at: Instant,
}

impl Heard {
    /// Whether it has all chunks.
    pub(crate) fn is_whole(&self) -> bool {
        self.have.iter().all(|has| *has)
    }
}

/// Chunk maps of other loaders, by model and version, and where they serve.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    maps: Map<(Model, WeightsVersion), Map<SocketAddr, (ChunkMap, Instant)>>,
}

impl Peers {
    /// Takes what a loader says it has.
    pub(crate) fn take(&mut self, map: ChunkMap) {
        let key = (map.model.clone(), map.version);
        let of_version = self.maps.entry(key).or_default();
        of_version.insert(map.from, (map, clock::now()));
    }

    /// What loaders last said of a version of `n` chunks; only what they said `since` a moment, where given.
    pub(crate) fn heard(
        &self,
        model: &Model,
        version: WeightsVersion,
        n: usize,
        since: Option<Instant>,
    ) -> Map<SocketAddr, Heard> {
        let maps = self.maps.get(&(model.clone(), version));
        let is_new = |(_, (_, at)): &(&SocketAddr, &(ChunkMap, Instant))| {
            since.is_none_or(|since| *at >= since)
        };
        let heard = |(addr, (map, at)): (&SocketAddr, &(ChunkMap, Instant))| {
            let (have, at) = (map.unpack(n), *at);
            (*addr, Heard { have, at })
        };
        maps.into_iter()
            .flatten()
            .filter(is_new)
            .map(heard)
            .collect()
    }
}

/// Other loaders.
pub(crate) fn loaders(cx: &Cx) -> Vec<Member> {
    let members = cx.members.borrow();
    let other = |m: &&Member| m.role == Role::Loader && m.vm != cx.cfg.node.vm;
    members.iter().filter(other).cloned().collect()
}

/// Which other loaders are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Those of the own failure domain.
    Near,
    /// Those of other failure domains.
    Far,
    /// All of the own failure domain, and a few of each other one: so that each loader hears of each other
    /// failure domain without all telling all.
    NearAndSome,
    /// A few of each other failure domain.
    Some,
}

/// Loaders of each other failure domain that [`Reach::Some`] tells.
const SOME: usize = 2;

/// Tells other loaders which chunks of a version are held here.
pub(crate) fn announce(cx: &Cx, set: &Set, wants_reply: bool, reach: Reach) {
    let msg = chunk_map(cx, set, wants_reply);
    let own = &cx.cfg.node.domain;
    let (near, far): (Vec<Member>, Vec<Member>) =
        loaders(cx).into_iter().partition(|m| m.domain == *own);
    let told = match reach {
        Reach::Near => near,
        Reach::Far => far,
        Reach::NearAndSome => near.into_iter().chain(some_of_each_domain(far)).collect(),
        Reach::Some => some_of_each_domain(far),
    };
    cx.beacon.send(&msg, told.iter().map(|m| m.beacon));
}

/// A few loaders of each failure domain, others each time.
fn some_of_each_domain(loaders: Vec<Member>) -> Vec<Member> {
    let mut by_domain: Map<DomainName, Vec<Member>> = Map::default();
    for loader in loaders {
        let of_domain = by_domain.entry(loader.domain.clone()).or_default();
        of_domain.push(loader);
    }
    let mut rng = rand::rng();
    let some = by_domain.into_values().flat_map(|mut of_domain| {
        of_domain.shuffle(&mut rng);
        of_domain.truncate(SOME);
        of_domain
    });
    some.collect()
}

/// Tells some loaders, by where they serve, which chunks of a version are held here.
pub(crate) fn announce_to(cx: &Cx, set: &Set, serving: &[SocketAddr]) {
    let members = loaders(cx);
    let told = members.iter().filter(|m| serving.contains(&m.peer_addr));
    cx.beacon
        .send(&chunk_map(cx, set, false), told.map(|m| m.beacon));
}

/// Tells one loader which chunks of a version are held here, if any are.
pub(crate) fn answer(cx: &Cx, map: &ChunkMap, to: SocketAddr) {
    if let Some(set) = cx.sets.get(&map.model, map.version) {
        cx.beacon.send(&chunk_map(cx, &set, false), [to]);
    }
}

fn chunk_map(cx: &Cx, set: &Set, wants_reply: bool) -> Msg {
    Msg::Chunks(ChunkMap {
        from: cx.cfg.chunks,
        model: set.model.clone(),
        version: set.version,
        bits: ChunkMap::pack(&set.have()),
        wants_reply,
    })
}

/// Chunks sent at once: one ends while the next begins. The others wait, since a chunk that comes
/// sooner is passed on sooner.
const AT_ONCE: usize = 2;

/// What chunks are passed on with.
#[derive(Debug)]
pub(crate) struct Passing {
    pacer: Arc<Pacer>,
    /// Chunks that are sent or wait for it.
    asked: Arc<Semaphore>,
    /// Chunks that are sent; given in the order of asking.
    sent: Arc<Semaphore>,
}

impl Passing {
    /// Paced by the settings.
    pub(crate) fn new(cfg: &LoaderCfg) -> Passing {
        let link = (cfg.link_mbps * BYTES_PER_MBIT) as u64;
        Passing {
            pacer: Arc::new(Pacer::new(link, cfg.weight_share)),
            asked: Arc::new(Semaphore::new(cfg.serves as usize)),
            sent: Arc::new(Semaphore::new(AT_ONCE)),
        }
    }
}

/// Answers other loaders.
pub(crate) async fn serve(cx: Arc<Cx>, passing: Arc<Passing>, req: Request) -> Response {
    let path = req.uri().path();
    match (path.strip_prefix(CHUNKS), path.strip_prefix(MANIFESTS)) {
        (Some(rest), _) => chunk(&cx, &passing, rest).await,
        (_, Some(rest)) => manifest(&cx, rest),
        (None, None) => text(404, "use /chunks or /manifests\n"),
    }
}

async fn chunk(cx: &Cx, passing: &Passing, rest: &str) -> Response {
    let found = rest.rsplit_once('/').and_then(|(set, i)| {
        let i = i.parse().ok()?;
        find(cx, set)?.get(i)
    });
    let Some(buf) = found else {
        return text(404, "no such chunk here\n");
    };
    let Ok(asked) = passing.asked.clone().try_acquire_owned() else {
        return text(BUSY, "too many chunks are asked for; ask again\n");
    };
    match passing.sent.clone().acquire_owned().await {
        Ok(sent) => Response::new(paced(buf, (asked, sent), passing.pacer.clone())),
        Err(_) => text(BUSY, "the process is ending; ask another\n"),
    }
}

fn manifest(cx: &Cx, rest: &str) -> Response {
    match find(cx, rest) {
        Some(set) => Response::new(full(set.manifest.digests.concat())),
        None => text(404, "no such manifest here\n"),
    }
}

fn find(cx: &Cx, set: &str) -> Option<Arc<Set>> {
    let (model, version) = set.split_once('/')?;
    cx.sets.get(model, version.parse().ok()?)
}

/// Asks another loader for a manifest.
pub(crate) async fn ask_manifest(
    client: &Client,
    from: SocketAddr,
    version: &OriginVersion,
) -> Result<Manifest, ApiError> {
    let failed = |e: &dyn std::fmt::Display| ApiError(e.to_string());
    let path = format!("{MANIFESTS}{}/{}", version.model, version.version);
    let req = hyper::Request::get(path).body(empty());
    let req = req.map_err(|e| failed(&e))?;
    let sent = client.send(from, req, MANIFEST_TIMEOUT).await;
    let res = sent.map_err(|e| failed(&e))?;
    if !res.status().is_success() {
        return Err(ApiError(format!("status {}", res.status())));
    }
    let body = read_body(res.into_body(), MAX_MANIFEST, MANIFEST_TIMEOUT).await;
    let buf = body.map_err(|e| failed(&e))?;
    let digests: Vec<ChunkDigest> = buf
        .chunks_exact(std::mem::size_of::<ChunkDigest>())
        .filter_map(|d| d.try_into().ok())
        .collect();
    match digests.is_empty() {
        true => Err(ApiError("the manifest is empty".to_owned())),
        false => Ok(Manifest { digests }),
    }
}

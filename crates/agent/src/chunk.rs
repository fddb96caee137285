//! Brings one chunk, a map of what a peer has, or a manifest, from where it is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base::{Digest, header};
use bytes::Bytes;
use displaydoc::Display;
use hyper::HeaderMap;
use log::warn;
use rand::seq::IndexedRandom;
use store::PlatformError;
use table::Version;
use tokio::sync::oneshot;
use web::read_body;
use weights::{Manifest, StoreError};
use wire::Peer;

use crate::peer::decode_chunk_map;
use crate::swarm::Source;
use crate::{Agent, PeersRequest};

/// Log prefix of this part.
const PART: &str = "bring";

/// Longest wait for what a peer has; one that is silent must not hold up the others.
const LOOK_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause before a manifest that nobody has is looked for again.
const MANIFEST_PAUSE: Duration = Duration::from_millis(500);

/// Largest manifest, in bytes.
const MAX_MANIFEST: usize = 80 << 20;

/// Why a chunk did not come.
#[derive(Debug, Display)]
pub enum ChunkError {
    /// the source was not reached or broke off ({0})
    Source(String),
    /// the source is busy
    Busy,
    /// the source has it not
    Absent,
    /// {0}
    Bad(StoreError),
    /// the engine did not take the chunk ({0})
    Engine(crate::engine::EngineError),
}

/// Takes one chunk from its source, checks and keeps it, and stages it at the engine. Gives back
/// what the source says it has, where it says so.
pub async fn fetch_chunk(
    agent: &Agent,
    version: Digest,
    manifest: &Manifest,
    i: usize,
    held: Option<Bytes>,
    source: Source,
) -> Result<Option<Vec<bool>>, ChunkError> {
    let (buf, have) = match held {
        Some(buf) => (buf, None),
        None => {
            let (buf, have) = take(agent, version, manifest, i, source).await?;
            let kept = agent.chunks().put(manifest.chunks[i], buf.clone());
            kept.map_err(ChunkError::Bad)?;
            (buf, have)
        }
    };
    let staged = agent.engine.stage(version, i, buf, agent.fence()).await;
    staged.map(|()| have).map_err(ChunkError::Engine)
}

async fn take(
    agent: &Agent,
    version: Digest,
    manifest: &Manifest,
    i: usize,
    source: Source,
) -> Result<(Bytes, Option<Vec<bool>>), ChunkError> {
    let (first, end) = manifest.range(i);
    agent
        .download_pacer
        .wait_for_weights((end - first) as usize)
        .await;
    match source {
        Source::Origin => {
            let buf = agent
                .origin
                .range(version, first, end)
                .await
                .map_err(|e| ChunkError::Source(e.to_string()))?;
            count(&agent.chunk_counts.origin, "origin", buf.len());
            Ok((buf, None))
        }
        Source::Peer(addr) => {
            let path = format!("/chunk/{version}/{i}");
            let (buf, headers) = get(
                agent,
                addr,
                &path,
                (end - first) as usize,
                agent.cfg.chunk_timeout,
            )
            .await?;
            count(&agent.chunk_counts.peers, "peer", buf.len());
            let have = web::header(&headers, header::HAVE).map(decode_chunk_map);
            Ok((buf, have))
        }
    }
}

fn count(chunk_counts: &AtomicU64, from: &'static str, n: usize) {
    chunk_counts.fetch_add(n as u64, Ordering::Relaxed);
    metrics::counter!("driftnotch_chunk_bytes_total", "direction" => from).increment(n as u64);
}

async fn get(
    agent: &Agent,
    addr: SocketAddr,
    path: &str,
    limit: usize,
    within: Duration,
) -> Result<(Bytes, HeaderMap), ChunkError> {
    let req = hyper::Request::builder()
        .uri(path)
        .header(header::DOMAIN, &agent.cfg.upkeep.domain)
        .body(web::empty())
        .map_err(|e| ChunkError::Source(e.to_string()))?;
    let res = agent
        .client
        .send(addr, req, within)
        .await
        .map_err(|e| ChunkError::Source(e.to_string()))?;
    let (head, body) = res.into_parts();
    match head.status.as_u16() {
        200 => read_body(body, limit, within)
            .await
            .map(|buf| (buf, head.headers))
            .map_err(|e| ChunkError::Source(e.to_string())),
        404 => Err(ChunkError::Absent),
        429 => Err(ChunkError::Busy),
        status => Err(ChunkError::Source(format!("it answered {status}"))),
    }
}

/// Which chunks a peer says it has; none of a version it doesn't know. `None` where it doesn't
/// answer soon.
pub async fn fetch_chunk_map(
    agent: &Agent,
    addr: SocketAddr,
    version: Digest,
) -> Option<Vec<bool>> {
    let path = format!("/have/{version}");
    let limit = weights::manifest::MAX_CHUNKS;
    match get(agent, addr, &path, limit, LOOK_TIMEOUT).await {
        Ok((buf, _)) => Some(buf.iter().map(|b| *b == crate::peer::HELD).collect()),
        Err(ChunkError::Absent) => Some(Vec::new()),
        Err(_) => None,
    }
}

/// Agents that fetch or hold a version, by an entry; `None` where none can be asked.
pub async fn request_peers(agent: &Agent, version: Version) -> Option<Vec<Peer>> {
    let (tx, rx) = oneshot::channel();
    agent
        .peers_requests
        .send(PeersRequest { version, tx })
        .await
        .ok()?;
    rx.await.ok()
}

/// The manifest of a version, from a peer or the object store, for as long as it takes.
pub async fn find_manifest(agent: &Agent, version: Digest) -> Arc<Manifest> {
    let mut warned = false;
    loop {
        if let Some(manifest) = agent.manifests().get(&version) {
            return manifest.clone();
        }
        if let Some(manifest) = manifest_of_peers(agent, version).await {
            return Arc::new(manifest);
        }
        match agent.objects.manifest(version).await {
            Ok(Some(manifest)) => return Arc::new(manifest),
            Ok(None) if !warned => {
                let name = version.short();
                warn!(target: PART, "{PART}: no manifest of {name} is published; run `driftnotch publish`");
                warned = true;
            }
            Err(e @ PlatformError::InvalidResponse(_)) => warn!(target: PART, "{PART}: {e}"),
            Ok(None) | Err(_) => {}
        }
        tokio::time::sleep(MANIFEST_PAUSE).await;
    }
}

async fn manifest_of_peers(agent: &Agent, version: Digest) -> Option<Manifest> {
    let peers = request_peers(agent, Version::Weights(version)).await?;
    let own = &agent.cfg.upkeep.vm;
    let others: Vec<Peer> = peers.into_iter().filter(|p| p.vm != *own).collect();
    let peer = others.choose(&mut rand::rng())?;
    let path = format!("/manifest/{version}");
    let (buf, _) = get(
        agent,
        peer.addr,
        &path,
        MAX_MANIFEST,
        agent.cfg.chunk_timeout,
    )
    .await
    .ok()?;
    Manifest::decode(&buf, version).ok()
}

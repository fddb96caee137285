//! Fetches single chunks, chunk maps and manifests from peers, the origin and the object store.

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

/// Timeout for a chunk map of a peer. It is short, since an unresponsive peer must not delay the polling of others.
const CHUNK_MAP_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between attempts to find a manifest.
const MANIFEST_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of a manifest, in bytes.
const MAX_MANIFEST_BYTES: usize = 80 << 20;

/// Why a chunk could not be fetched or staged.
#[derive(Debug, Display)]
pub enum ChunkError {
    /// the source is unreachable or the transfer was interrupted ({0})
    Source(String),
    /// the source is busy
    Busy,
    /// the source doesn't hold the chunk
    Absent,
    /// {0}
    Bad(StoreError),
    /// the engine did not accept the chunk ({0})
    Engine(crate::engine::EngineError),
}

/// Fetches one chunk from its source, verifies and stores it, and stages it at the engine. A chunk that is already
/// stored is only staged. Returns the chunk map of the source if the response has one.
pub async fn fetch_chunk(
    agent: &Agent,
    version: Digest,
    manifest: &Manifest,
    i: usize,
    stored: Option<Bytes>,
    source: Source,
) -> Result<Option<Vec<bool>>, ChunkError> {
    let (buf, have) = match stored {
        Some(buf) => (buf, None),
        None => {
            let (buf, have) = download(agent, version, manifest, i, source).await?;
            let stored = agent.chunks().put(manifest.chunks[i], buf.clone());
            stored.map_err(ChunkError::Bad)?;
            (buf, have)
        }
    };
    let staged = agent.engine.stage(version, i, buf, agent.fence()).await;
    staged.map(|()| have).map_err(ChunkError::Engine)
}

async fn download(
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
            record_bytes(&agent.chunk_counts.origin, "origin", buf.len());
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
            record_bytes(&agent.chunk_counts.peers, "peer", buf.len());
            let have = web::header(&headers, header::HAVE).map(decode_chunk_map);
            Ok((buf, have))
        }
    }
}

fn record_bytes(counter: &AtomicU64, direction: &'static str, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
    metrics::counter!("driftnotch_chunk_bytes_total", "direction" => direction).increment(n as u64);
}

async fn get(
    agent: &Agent,
    addr: SocketAddr,
    path: &str,
    limit: usize,
    timeout: Duration,
) -> Result<(Bytes, HeaderMap), ChunkError> {
    let req = hyper::Request::builder()
        .uri(path)
        .header(header::DOMAIN, &agent.cfg.process.domain)
        .body(web::empty())
        .map_err(|e| ChunkError::Source(e.to_string()))?;
    let res = agent
        .client
        .send(addr, req, timeout)
        .await
        .map_err(|e| ChunkError::Source(e.to_string()))?;
    let (head, body) = res.into_parts();
    match head.status.as_u16() {
        200 => read_body(body, limit, timeout)
            .await
            .map(|buf| (buf, head.headers))
            .map_err(|e| ChunkError::Source(e.to_string())),
        404 => Err(ChunkError::Absent),
        429 => Err(ChunkError::Busy),
        status => Err(ChunkError::Source(format!("status {status}"))),
    }
}

/// Returns the chunk map of a peer; an empty one if it doesn't know the version, `None` if it fails to respond within
/// `CHUNK_MAP_TIMEOUT`.
pub async fn fetch_chunk_map(
    agent: &Agent,
    addr: SocketAddr,
    version: Digest,
) -> Option<Vec<bool>> {
    let path = format!("/have/{version}");
    let limit = weights::manifest::MAX_CHUNKS;
    match get(agent, addr, &path, limit, CHUNK_MAP_TIMEOUT).await {
        Ok((buf, _)) => Some(buf.iter().map(|b| *b == crate::peer::HELD).collect()),
        Err(ChunkError::Absent) => Some(Vec::new()),
        Err(_) => None,
    }
}

/// Returns the agents that fetch or hold a version, as listed by an entry; `None` if no entry is reachable.
pub async fn request_peers(agent: &Agent, version: Version) -> Option<Vec<Peer>> {
    let (tx, rx) = oneshot::channel();
    agent
        .peers_requests
        .send(PeersRequest { version, tx })
        .await
        .ok()?;
    rx.await.ok()
}

/// Returns the manifest of a version, from a peer or the object store. Retries until it is found.
pub async fn find_manifest(agent: &Agent, version: Digest) -> Arc<Manifest> {
    let mut warned = false;
    loop {
        if let Some(manifest) = agent.manifests().get(&version) {
            return manifest.clone();
        }
        if let Some(manifest) = fetch_manifest_from_peer(agent, version).await {
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
        tokio::time::sleep(MANIFEST_RETRY_INTERVAL).await;
    }
}

async fn fetch_manifest_from_peer(agent: &Agent, version: Digest) -> Option<Manifest> {
    let peers = request_peers(agent, Version::Weights(version)).await?;
    let own = &agent.cfg.process.vm;
    let others: Vec<Peer> = peers.into_iter().filter(|p| p.vm != *own).collect();
    let peer = others.choose(&mut rand::rng())?;
    let path = format!("/manifest/{version}");
    let (buf, _) = get(
        agent,
        peer.addr,
        &path,
        MAX_MANIFEST_BYTES,
        agent.cfg.chunk_timeout,
    )
    .await
    .ok()?;
    Manifest::decode(&buf, version).ok()
}

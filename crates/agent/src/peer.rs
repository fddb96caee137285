//! Serves chunks and manifests to other agents, over HTTP.
//!
//! `GET /have/VERSION` returns the chunk map, one character for each chunk; `GET /chunk/VERSION/I` one chunk, with the
//! current chunk map in a header; `GET /manifest/VERSION` the manifest. Weights are served only to agents of failure
//! domains that a row permits. Requests for chunks beyond the concurrency limit are rejected at once, for a later
//! retry.

use std::sync::Arc;

use base::{Digest, header};
use bytes::Bytes;
use table::Version;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use web::{Request, Response};

use crate::Agent;
use crate::pace::paced_body;

/// A held chunk in the response to `/have`.
pub const HELD: u8 = b'1';

/// A chunk that is not held.
pub const NOT_HELD: u8 = b'0';

/// Maximum number of chunks whose map is sent in a header.
const MAX_HEADER_MAP_CHUNKS: usize = 16 << 10;

/// Handles a request of another agent.
pub async fn handle(agent: Arc<Agent>, upload_slots: Arc<Semaphore>, req: Request) -> Response {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let (resource, version, chunk) = match parts.as_slice() {
        [resource, version] => (*resource, *version, None),
        [resource, version, chunk] => (*resource, *version, chunk.parse::<usize>().ok()),
        _ => return web::text(404, "use /manifest, /have or /chunk\n"),
    };
    let Ok(version) = version.parse::<Digest>() else {
        return web::text(400, "the version is no digest; give 64 hex digits\n");
    };
    let requester_domain = web::header(req.headers(), header::DOMAIN).unwrap_or_default();
    if !is_permitted(&agent, version, requester_domain) {
        return web::text(403, "no row permits these weights in your failure domain\n");
    }
    match (resource, chunk) {
        ("manifest", None) => manifest(&agent, version),
        ("have", None) => have(&agent, version),
        ("chunk", Some(i)) => match upload_slots.try_acquire_owned() {
            Ok(slot) => chunk_response(&agent, version, i, slot),
            Err(_) => web::text(429, "too many chunks are being sent; ask again\n"),
        },
        _ => web::text(404, "use /manifest, /have or /chunk\n"),
    }
}

fn is_permitted(agent: &Agent, version: Digest, domain: &str) -> bool {
    let view = agent.active_table.current();
    let domains = agent.active_table.domains();
    view.table
        .permits_weights(&Version::Weights(version), domain, domains)
}

fn manifest(agent: &Agent, version: Digest) -> Response {
    match agent.manifests().get(&version) {
        Some(manifest) => {
            let mut res = web::json(200, "");
            *res.body_mut() = web::full(manifest.encode());
            res
        }
        None => web::text(404, "the manifest is not held here\n"),
    }
}

fn have(agent: &Agent, version: Digest) -> Response {
    match chunk_map(agent, version) {
        Some(map) => {
            let mut res = web::text(200, "");
            *res.body_mut() = web::full(map);
            res
        }
        None => web::text(404, "nothing of the version is held here\n"),
    }
}

/// Returns the map of the held chunks, one character for each chunk.
fn chunk_map(agent: &Agent, version: Digest) -> Option<Vec<u8>> {
    let manifest = agent.manifests().get(&version).cloned()?;
    let chunks = agent.chunks();
    let flag = |c| if chunks.contains(c) { HELD } else { NOT_HELD };
    Some(manifest.chunks.iter().map(flag).collect())
}

/// Encodes a chunk map for a header, four chunks to a hex digit.
fn encode_chunk_map(map: &[u8]) -> String {
    map.chunks(4)
        .map(|four| {
            let bits = four
                .iter()
                .enumerate()
                .map(|(i, c)| u32::from(*c == HELD) << i);
            char::from_digit(bits.sum(), 16).unwrap_or('0')
        })
        .collect()
}

/// Decodes a chunk map that `encode_chunk_map` has encoded.
pub fn decode_chunk_map(text: &str) -> Vec<bool> {
    text.chars()
        .filter_map(|c| c.to_digit(16))
        .flat_map(|digit| (0..4).map(move |i| digit >> i & 1 == 1))
        .collect()
}

/// Returns a paced response with a chunk; it occupies its slot until its last byte is sent.
fn chunk_response(
    agent: &Arc<Agent>,
    version: Digest,
    i: usize,
    slot: OwnedSemaphorePermit,
) -> Response {
    match stored_chunk(agent, version, i) {
        Some(buf) => {
            metrics::counter!("driftnotch_chunk_bytes_total", "direction" => "sent")
                .increment(buf.len() as u64);
            let mut res = web::text(200, "");
            web::set_header(res.headers_mut(), "content-length", &buf.len().to_string());
            let map = chunk_map(agent, version).filter(|map| map.len() <= MAX_HEADER_MAP_CHUNKS);
            if let Some(map) = map {
                web::set_header(res.headers_mut(), header::HAVE, &encode_chunk_map(&map));
            }
            *res.body_mut() = paced_body(buf, slot, agent.upload_pacer.clone());
            res
        }
        None => web::text(404, "the chunk is not held here\n"),
    }
}

fn stored_chunk(agent: &Agent, version: Digest, i: usize) -> Option<Bytes> {
    let manifest = agent.manifests().get(&version).cloned()?;
    let chunk = manifest.chunks.get(i)?;
    agent.chunks().get(chunk)
}

//! Passes chunks on to other agents, over HTTP.
//!
//! `GET /have/VERSION` tells which chunks are held, one character each; `GET /chunk/VERSION/I`
//! gives one, and in a header says which are held by now; `GET /manifest/VERSION` the manifest.
//! Weights go only to agents of places that a row permits. Asked beyond its bound, an agent says so
//! at once and is asked again later.

use std::sync::Arc;

use base::{Digest, header};
use bytes::Bytes;
use table::Version;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use web::{Request, Response};

use crate::Agent;
use crate::pace::paced_body;

/// A held chunk in the answer to `/have`.
pub const HELD: u8 = b'1';

/// A chunk that is not held.
pub const NOT_HELD: u8 = b'0';

/// Most chunks whose map goes into a header.
const SHORT_MAP: usize = 16 << 10;

/// Answers another agent.
pub async fn handle(agent: Arc<Agent>, serves: Arc<Semaphore>, req: Request) -> Response {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let (what, version, chunk) = match parts.as_slice() {
        [what, version] => (*what, *version, None),
        [what, version, chunk] => (*what, *version, chunk.parse::<usize>().ok()),
        _ => return web::text(404, "use /manifest, /have or /chunk\n"),
    };
    let Ok(version) = version.parse::<Digest>() else {
        return web::text(400, "the version is no digest; give 64 hex digits\n");
    };
    let asker = web::header(req.headers(), header::DOMAIN).unwrap_or_default();
    if !may_have(&agent, version, asker) {
        return web::text(403, "no row permits these weights in your failure domain\n");
    }
    match (what, chunk) {
        ("manifest", None) => manifest(&agent, version),
        ("have", None) => have(&agent, version),
        ("chunk", Some(i)) => match serves.try_acquire_owned() {
            Ok(slot) => chunk_of(&agent, version, i, slot),
            Err(_) => web::text(429, "too many chunks are being sent; ask again\n"),
        },
        _ => web::text(404, "use /manifest, /have or /chunk\n"),
    }
}

fn may_have(agent: &Agent, version: Digest, domain: &str) -> bool {
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
    match held_map(agent, version) {
        Some(map) => {
            let mut res = web::text(200, "");
            *res.body_mut() = web::full(map);
            res
        }
        None => web::text(404, "nothing of the version is held here\n"),
    }
}

/// Which chunks are held, one character each.
fn held_map(agent: &Agent, version: Digest) -> Option<Vec<u8>> {
    let manifest = agent.manifests().get(&version).cloned()?;
    let chunks = agent.chunks();
    let held = |c| if chunks.contains(c) { HELD } else { NOT_HELD };
    Some(manifest.chunks.iter().map(held).collect())
}

/// Which chunks are held, four to a hex digit, for a header.
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

/// Reads what [`encode_chunk_map`] wrote.
pub fn decode_chunk_map(text: &str) -> Vec<bool> {
    text.chars()
        .filter_map(|c| c.to_digit(16))
        .flat_map(|digit| (0..4).map(move |i| digit >> i & 1 == 1))
        .collect()
}

/// Sends a chunk at the pace of the link; its slot is taken until its last byte.
fn chunk_of(agent: &Arc<Agent>, version: Digest, i: usize, slot: OwnedSemaphorePermit) -> Response {
    match held(agent, version, i) {
        Some(buf) => {
            metrics::counter!("driftnotch_chunk_bytes_total", "direction" => "sent")
                .increment(buf.len() as u64);
            let mut res = web::text(200, "");
            web::set_header(res.headers_mut(), "content-length", &buf.len().to_string());
            let map = held_map(agent, version).filter(|map| map.len() <= SHORT_MAP);
            if let Some(map) = map {
                web::set_header(res.headers_mut(), header::HAVE, &encode_chunk_map(&map));
            }
            *res.body_mut() = paced_body(buf, slot, agent.upload_pacer.clone());
            res
        }
        None => web::text(404, "the chunk is not held here\n"),
    }
}

fn held(agent: &Agent, version: Digest, i: usize) -> Option<Bytes> {
    let manifest = agent.manifests().get(&version).cloned()?;
    let chunk = manifest.chunks.get(i)?;
    agent.chunks().get(chunk)
}

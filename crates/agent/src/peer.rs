//! Passes chunks on to other agents, over HTTP.
//!
//! `GET /have/VERSION` tells which chunks are held, one character each; `GET /chunk/VERSION/I`
//! gives one; `GET /manifest/VERSION` the manifest. Weights go only to agents of places that a row
//! permits. Asked beyond its bound, an agent says so at once and is asked again later.

use std::sync::Arc;

use base::{Digest, header};
use bytes::Bytes;
use table::Version;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use web::{Request, Response};

use crate::Agent;
use crate::pace::paced;

/// A held chunk in the answer to `/have`.
pub const HELD: u8 = b'1';

/// A chunk that is not held.
pub const NOT_HELD: u8 = b'0';

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
    let view = agent.force.view();
    let domains = agent.force.domains();
    view.table
        .may_hold(&Version::Weights(version), domain, domains)
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
    let Some(manifest) = agent.manifests().get(&version).cloned() else {
        return web::text(404, "nothing of the version is held here\n");
    };
    let chunks = agent.chunks();
    let map: Vec<u8> = manifest
        .chunks
        .iter()
        .map(|c| if chunks.has(c) { HELD } else { NOT_HELD })
        .collect();
    drop(chunks);
    let mut res = web::text(200, "");
    *res.body_mut() = web::full(map);
    res
}

/// Sends a chunk at the pace of the link; its slot is taken until its last byte.
fn chunk_of(agent: &Arc<Agent>, version: Digest, i: usize, slot: OwnedSemaphorePermit) -> Response {
    match held(agent, version, i) {
        Some(buf) => {
            metrics::counter!("driftnotch_chunk_bytes_total", "direction" => "sent")
                .increment(buf.len() as u64);
            let mut res = web::text(200, "");
            web::set_header(res.headers_mut(), "content-length", &buf.len().to_string());
            *res.body_mut() = paced(buf, slot, agent.up.clone());
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

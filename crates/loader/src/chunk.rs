//! Fetches one chunk from another loader or from the origin.

use std::time::Duration;

use agent::swarm::Source;
use bytes::Bytes;
use web::{Client, empty, read_body};

use crate::Cx;
use crate::api::{ApiError, OriginVersion};
use crate::chunk_set::ChunkSet;
use crate::peers::{BUSY, CHUNKS};

/// Outcome of a chunk fetch.
pub(crate) struct Fetched {
    /// Index of the chunk.
    pub(crate) i: usize,
    /// Source that it was requested from.
    pub(crate) source: Source,
    /// Time that the fetch took.
    pub(crate) elapsed: Duration,
    /// The chunk, or why the fetch failed.
    pub(crate) result: Result<Bytes, ChunkError>,
}

/// Why a chunk fetch failed.
pub(crate) enum ChunkError {
    /// The loader is serving its maximum number of chunks.
    Busy,
    /// The loader doesn't hold the chunk.
    Absent,
    /// There was no complete response.
    Failed(ApiError),
}

/// Fetches one chunk.
pub(crate) async fn fetch_chunk(
    cx: &Cx,
    set: &ChunkSet,
    origin: OriginVersion,
    client: &Client,
    i: usize,
    source: Source,
) -> Result<Bytes, ChunkError> {
    let failed = |e: &dyn std::fmt::Display| ChunkError::Failed(ApiError::Failed(e.to_string()));
    let timeout = cx.cfg.chunk_timeout;
    let addr = match source {
        Source::Origin => {
            let chunk = (cx.api.chunk)((origin, i));
            return match tokio::time::timeout(timeout, chunk).await {
                Ok(chunk) => chunk.map_err(ChunkError::Failed),
                Err(_) => Err(failed(&"the origin timed out")),
            };
        }
        Source::Peer(addr) => addr,
    };
    let path = format!("{CHUNKS}{}/{}/{i}", set.model, set.version);
    let req = hyper::Request::get(path).body(empty());
    let req = req.map_err(|e| failed(&e))?;
    let sent = client.send(addr, req, timeout).await;
    let res = sent.map_err(|e| failed(&e))?;
    match res.status().as_u16() {
        200 => {}
        BUSY => return Err(ChunkError::Busy),
        404 => return Err(ChunkError::Absent),
        other => return Err(failed(&format!("status {other}"))),
    }
    let body = read_body(res.into_body(), cx.cfg.chunk_bytes as usize, timeout).await;
    body.map_err(|e| failed(&e))
}

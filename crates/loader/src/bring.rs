//! Brings one chunk, from another loader or from the origin.

use std::time::Duration;

use agent::swarm::Source;
use bytes::Bytes;
use web::{Client, empty, read_body};

use crate::Cx;
use crate::api::{ApiError, OriginVersion};
use crate::peers::{BUSY, CHUNKS};
use crate::sets::Set;

/// What bringing one chunk came to.
pub(crate) struct Fetched {
    /// Chunk.
    pub(crate) i: usize,
    /// Where it was asked for.
    pub(crate) source: Source,
    /// How long that took.
    pub(crate) took: Duration,
    /// The chunk, or why it did not come.
    pub(crate) result: Result<Bytes, NoChunk>,
}

/// Why a chunk did not come.
pub(crate) enum NoChunk {
    /// The loader passes on as many as it may.
    Busy,
    /// The loader doesn't hold it.
    Absent,
    /// No whole answer came.
    Failed(ApiError),
}

/// Brings one chunk.
pub(crate) async fn bring(
    cx: &Cx,
    set: &Set,
    origin: OriginVersion,
    client: &Client,
    i: usize,
    source: Source,
) -> Result<Bytes, NoChunk> {
    let failed = |e: &dyn std::fmt::Display| NoChunk::Failed(ApiError(e.to_string()));
    let within = cx.cfg.chunk_timeout;
    let addr = match source {
        Source::Origin => {
            let drawn = (cx.api.chunk)((origin, i));
            return match tokio::time::timeout(within, drawn).await {
                Ok(drawn) => drawn.map_err(NoChunk::Failed),
                Err(_) => Err(failed(&"the origin gave no chunk in time")),
            };
        }
        Source::Peer(addr) => addr,
    };
    let path = format!("{CHUNKS}{}/{}/{i}", set.model, set.version);
    let req = hyper::Request::get(path).body(empty());
    let req = req.map_err(|e| failed(&e))?;
    let sent = client.send(addr, req, within).await;
    let res = sent.map_err(|e| failed(&e))?;
    match res.status().as_u16() {
        200 => {}
        BUSY => return Err(NoChunk::Busy),
        404 => return Err(NoChunk::Absent),
        other => return Err(failed(&format!("status {other}"))),
    }
    let body = read_body(res.into_body(), cx.cfg.chunk_bytes as usize, within).await;
    body.map_err(|e| failed(&e))
}

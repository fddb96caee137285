//! Serves replicas to other processes.

use std::time::Duration;

use base::Revision;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use web::{Request, Response, full, text};

use crate::delta::DeltaError;
use crate::{DocName, Mirror, Replica};

/// Path prefix of documents; the name of a document follows.
pub const PATH: &str = "/mirror/";

/// A replica as sent to another process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ReplicaResponse {
    pub(crate) revision: Revision,
    pub(crate) age: Duration,
    /// Compressed body; `None` if the requester holds the revision already.
    pub(crate) body: Option<CompressedBody>,
}

/// A compressed body.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CompressedBody {
    /// Revision held by the requester that the body is compressed against; 0 for none.
    pub(crate) reference: Revision,
    /// Length of the body, in bytes.
    pub(crate) length: usize,
    pub(crate) bytes: Vec<u8>,
}

/// Returns the maximum age that `GET /mirror/NAME?REVISION&MILLISECONDS` asks for; `None` if any age will do.
pub fn requested_max_age(req: &Request) -> Option<Duration> {
    let (_, max_age) = req.uri().query()?.split_once('&')?;
    max_age.parse().ok().map(Duration::from_millis)
}

/// Answers `GET /mirror/NAME?REVISION`; omits the body if the requester holds the current revision.
pub async fn serve(mirror: &Mirror, names: &[DocName], req: &Request) -> Response {
    let name = req.uri().path().strip_prefix(PATH);
    let Some(name) = names.iter().find(|n| Some(**n) == name) else {
        return text(404, "no such document\n");
    };
    let query = req.uri().query().unwrap_or_default();
    let revision = query.split('&').next().and_then(|q| q.parse().ok());
    let known = revision.unwrap_or(0);
    let replica = match replica(mirror, name, known).await {
        Ok(Some(replica)) => replica,
        Ok(None) => return text(503, "no copy yet; ask again\n"),
        Err(e) => return text(500, format!("{e}\n")),
    };
    match postcard::to_stdvec(&replica) {
        Ok(buf) => Response::new(full(Bytes::from(buf))),
        Err(e) => text(500, format!("the copy can't be encoded: {e}\n")),
    }
}

async fn replica(
    mirror: &Mirror,
    name: DocName,
    known: Revision,
) -> Result<Option<ReplicaResponse>, DeltaError> {
    let compressed = match mirror.get(name) {
        Some(replica) if replica.revision > known => mirror.compressed(name, known).await?,
        Some(replica) => return Ok(Some(response(&replica, None))),
        None => return Ok(None),
    };
    Ok(compressed.map(|compressed| {
        let body = CompressedBody {
            reference: compressed.reference,
            length: compressed.replica.body.len(),
            bytes: compressed.body.to_vec(),
        };
        response(&compressed.replica, Some(body))
    }))
}

fn response(replica: &Replica, body: Option<CompressedBody>) -> ReplicaResponse {
    ReplicaResponse {
        revision: replica.revision,
        age: clock::since(replica.confirmed),
        body,
    }
}

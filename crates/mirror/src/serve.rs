//! Serves replicas to other processes.

use std::time::Duration;

use base::{Era, Revision, StoreRevision};
use bytes::Bytes;
use hyper::HeaderMap;
use serde::{Deserialize, Serialize};
use web::{Request, Response, full, header, set_header, text};

use crate::delta::DeltaError;
use crate::{DocName, Mirror, Replica};

/// Path prefix of documents; the name of a document follows.
pub const PATH: &str = "/mirror/";

/// Header with the era of a revision: of the requester's replica in a request, of the returned one in a response.
/// Processes of earlier releases neither send nor read it.
const ERA: &str = "driftnotch-store-era";

/// A replica as sent to another process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ReplicaResponse {
    /// Number of the revision; a header has its era.
    pub(crate) revision: Revision,
    pub(crate) age: Duration,
    /// Compressed body; `None` if the requester holds the revision already.
    pub(crate) body: Option<CompressedBody>,
}

/// A compressed body.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CompressedBody {
    /// Number of the revision held by the requester that the body is compressed against; 0 for none.
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
    let number = query.split('&').next().and_then(|q| q.parse().ok());
    let known = mirror.resolve(stated_era(req.headers()), number.unwrap_or(0));
    let (era, replica) = match replica(mirror, name, known.unwrap_or_default()).await {
        Ok(Some(replica)) => replica,
        Ok(None) => return text(503, "no copy yet; ask again\n"),
        Err(e) => return text(500, format!("{e}\n")),
    };
    match postcard::to_stdvec(&replica) {
        Ok(buf) => {
            let mut res = Response::new(full(Bytes::from(buf)));
            state_era(res.headers_mut(), era);
            res
        }
        Err(e) => text(500, format!("the copy can't be encoded: {e}\n")),
    }
}

/// Returns the era in the headers of a request or response.
pub(crate) fn stated_era(headers: &HeaderMap) -> Option<Era> {
    header(headers, ERA)?.parse().ok()
}

/// Adds an era to the headers of a request or response.
pub(crate) fn state_era(headers: &mut HeaderMap, era: Option<Era>) {
    if let Some(era) = era {
        set_header(headers, ERA, &era.to_string());
    }
}

/// Returns the replica for a process that holds a revision, and its era.
async fn replica(
    mirror: &Mirror,
    name: DocName,
    known: StoreRevision,
) -> Result<Option<(Option<Era>, ReplicaResponse)>, DeltaError> {
    let compressed = match mirror.get(name) {
        Some(replica) if replica.revision > known => mirror.compressed(name, known).await?,
        Some(replica) => return Ok(Some(response(&replica, None))),
        None => return Ok(None),
    };
    Ok(compressed.map(|compressed| {
        let body = CompressedBody {
            reference: compressed.reference.map_or(0, |r| r.number),
            length: compressed.replica.body.len(),
            bytes: compressed.body.to_vec(),
        };
        response(&compressed.replica, Some(body))
    }))
}

fn response(replica: &Replica, body: Option<CompressedBody>) -> (Option<Era>, ReplicaResponse) {
    let StoreRevision { era, number } = replica.revision;
    let response = ReplicaResponse {
        revision: number,
        age: clock::since(replica.confirmed),
        body,
    };
    (era, response)
}

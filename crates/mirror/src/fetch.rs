//! Fetches replicas from other processes.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{Era, StoreRevision};
use bytes::Bytes;
use log::warn;
use web::{Client, empty, read_with_idle_timeout};

use crate::delta::decompress;
use crate::serve::{CompressedBody, ReplicaResponse, state_era, stated_era};
use crate::{DocName, Mirror, PART, PATH};

/// Largest replica accepted, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Why no replica was fetched.
#[derive(Debug)]
pub struct FetchError(String);

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "no replica fetched: {}; another process is tried next",
            self.0
        )
    }
}

impl std::error::Error for FetchError {}

/// Fetches a process's replica and stores it; returns whether it is newer than the one held. A response may take
/// any time as long as it makes progress; one that pauses for `timeout` is abandoned.
pub async fn fetch(
    mirror: &Mirror,
    name: DocName,
    client: &Client,
    from: SocketAddr,
    timeout: Duration,
) -> Result<bool, FetchError> {
    fetch_replica(mirror, name, client, from, timeout, String::new()).await
}

/// Fetches a replica that the store confirmed at most `max_age` ago. A process whose replica is older has it
/// confirmed first; if that fails, it responds with the replica it has.
pub async fn fetch_confirmed(
    mirror: &Mirror,
    name: DocName,
    client: &Client,
    from: SocketAddr,
    timeout: Duration,
    max_age: Duration,
) -> Result<bool, FetchError> {
    let bound = format!("&{}", max_age.as_millis());
    fetch_replica(mirror, name, client, from, timeout, bound).await
}

/// Fetches the changes since the held revision, and the full body if they don't apply to the held one.
async fn fetch_replica(
    mirror: &Mirror,
    name: DocName,
    client: &Client,
    from: SocketAddr,
    timeout: Duration,
    bound: String,
) -> Result<bool, FetchError> {
    let held = mirror.revision(name);
    let changes = request(name, client, from, timeout, held, &bound).await?;
    match apply(mirror, name, held, changes) {
        Err(e) if held != StoreRevision::default() => {
            warn!(target: PART, "{PART}: event=asked_whole document={name} from={from} held={held} why=\"{e}\"");
            let none = StoreRevision::default();
            let full = request(name, client, from, timeout, none, &bound).await?;
            apply(mirror, name, none, full)
        }
        applied => applied,
    }
}

/// A response to a request for a replica.
struct Fetched {
    replica: ReplicaResponse,
    /// Era of the replica, if the other process states it.
    era: Option<Era>,
    /// Lower bound of the time of its confirmation by the store: its age is counted back from when the request was
    /// sent, since the response may have been in transit ever since.
    confirmed: Instant,
}

/// Requests a replica, or the changes since the one held.
async fn request(
    name: DocName,
    client: &Client,
    from: SocketAddr,
    timeout: Duration,
    held: StoreRevision,
    bound: &str,
) -> Result<Fetched, FetchError> {
    let sent = clock::now();
    let mut req = hyper::Request::get(format!("{PATH}{name}?{}{bound}", held.number))
        .body(empty())
        .map_err(|e| FetchError(e.to_string()))?;
    state_era(req.headers_mut(), held.era);
    let res = client
        .send(from, req, timeout)
        .await
        .map_err(|e| FetchError(e.to_string()))?;
    if !res.status().is_success() {
        return Err(FetchError(format!("{from} answered {}", res.status())));
    }
    let era = stated_era(res.headers());
    let buf = read_with_idle_timeout(res.into_body(), MAX_BODY_BYTES, timeout)
        .await
        .map_err(|e| FetchError(e.to_string()))?;
    let replica: ReplicaResponse =
        postcard::from_bytes(&buf).map_err(|e| FetchError(e.to_string()))?;
    let confirmed = sent
        .checked_sub(replica.age)
        .ok_or_else(|| FetchError(format!("impossible age of a replica: {:?}", replica.age)))?;
    Ok(Fetched {
        replica,
        era,
        confirmed,
    })
}

/// Applies a replica that was fetched by a process that held a revision; returns whether it is newer.
fn apply(
    mirror: &Mirror,
    name: DocName,
    held: StoreRevision,
    fetched: Fetched,
) -> Result<bool, FetchError> {
    let Fetched {
        replica,
        era,
        confirmed,
    } = fetched;
    let revision = mirror.resolve(era, replica.revision).ok_or_else(|| {
        FetchError(format!(
            "the era of revision {} is unknown since the store was restored; upgrade the other process",
            replica.revision
        ))
    })?;
    match replica.body {
        Some(body) => {
            let body = decompressed(mirror, name, held.era, &body)?;
            Ok(mirror.update(name, revision, body, confirmed))
        }
        // The same revision: only its age may be newer, or its era known.
        None => match mirror.get(name).filter(|r| r.revision == held) {
            Some(replica) if held.era.is_none() && held.number == revision.number => {
                Ok(mirror.update(name, revision, replica.body, confirmed))
            }
            _ => {
                mirror.confirm(name, revision, confirmed);
                Ok(false)
            }
        },
    }
}

fn decompressed(
    mirror: &Mirror,
    name: DocName,
    era: Option<Era>,
    body: &CompressedBody,
) -> Result<Bytes, FetchError> {
    let reference = match body.reference {
        0 => Bytes::new(),
        number => mirror
            .body_of(name, StoreRevision::new(era, number))
            .map_err(|e| FetchError(e.to_string()))?
            .ok_or_else(|| FetchError(format!("reference revision {number} is not held")))?,
    };
    decompress(&body.bytes, &reference, body.length.min(MAX_BODY_BYTES))
        .map_err(|e| FetchError(e.to_string()))
}

//! Asks another process for its copy of a document.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use log::warn;
use web::{Client, empty, read_steadily};

use crate::pack::unpack;
use crate::serve::{Passed, PassedBody};
use crate::{DocName, Mirror, PART, PATH};

/// Largest copy taken, in bytes.
const MAX_COPY: usize = 8 << 20;

/// Why no copy came.
#[derive(Debug)]
pub struct FetchError(String);

impl fmt::Display for FetchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no copy came: {}; another process is asked next", self.0)
    }
}

impl std::error::Error for FetchError {}

/// Asks a process for its copy and takes it; `true` where it was newer than the one held. An answer that
/// keeps coming is read on, however long it is; one that pauses for `within` is given up.
pub async fn fetch(
    mirror: &Mirror,
    name: DocName,
    client: &Client,
    from: SocketAddr,
    within: Duration,
) -> Result<bool, FetchError> {
    take(mirror, name, client, from, within, String::new()).await
}

/// The same for a copy that the store confirmed at most `oldest` ago: the process asked has it confirmed
/// where its own is older, and answers with what it has where that fails.
pub async fn fetch_confirmed(
    mirror: &Mirror,
    name: DocName,
    client: &Client,
    from: SocketAddr,
    within: Duration,
    oldest: Duration,
) -> Result<bool, FetchError> {
    let bound = format!("&{}", oldest.as_millis());
    take(mirror, name, client, from, within, bound).await
}

/// Asks for what changed since the revision held, and for the whole where that doesn't fit the body held.
async fn take(
    mirror: &Mirror,
    name: DocName,
    client: &Client,
    from: SocketAddr,
    within: Duration,
    bound: String,
) -> Result<bool, FetchError> {
    let held = mirror.revision(name);
    let changed = passed(name, client, from, within, format!("{held}{bound}")).await?;
    match taken(mirror, name, changed) {
        Err(e) if held != 0 => {
            warn!(target: PART, "{PART}: event=asked_whole document={name} from={from} held={held} why=\"{e}\"");
            let whole = passed(name, client, from, within, format!("0{bound}")).await?;
            taken(mirror, name, whole)
        }
        taken => taken,
    }
}

/// What a process passes on, and when the store had confirmed it at the latest: as long before the question
/// left as the answer says, since the answer may have been on its way all the while.
async fn passed(
    name: DocName,
    client: &Client,
    from: SocketAddr,
    within: Duration,
    query: String,
) -> Result<(Passed, Instant), FetchError> {
    let sent = clock::now();
    let req = hyper::Request::get(format!("{PATH}{name}?{query}"))
        .body(empty())
        .map_err(|e| FetchError(e.to_string()))?;
    let res = client
        .send(from, req, within)
        .await
        .map_err(|e| FetchError(e.to_string()))?;
    if !res.status().is_success() {
        return Err(FetchError(format!("{from} answered {}", res.status())));
    }
    let buf = read_steadily(res.into_body(), MAX_COPY, within)
        .await
        .map_err(|e| FetchError(e.to_string()))?;
    let passed: Passed = postcard::from_bytes(&buf).map_err(|e| FetchError(e.to_string()))?;
    let confirmed = sent
        .checked_sub(passed.age)
        .ok_or_else(|| FetchError(format!("its age can't be: {:?}", passed.age)))?;
    Ok((passed, confirmed))
}

/// Takes what was passed on; `true` where it is newer than the copy held.
fn taken(
    mirror: &Mirror,
    name: DocName,
    (passed, confirmed): (Passed, Instant),
) -> Result<bool, FetchError> {
    match passed.body {
        Some(body) => {
            let body = unpacked(mirror, name, &body)?;
            Ok(mirror.update(name, passed.revision, body, confirmed))
        }
        // The same revision: its age is news.
        None => {
            mirror.confirm(name, passed.revision, confirmed);
            Ok(false)
        }
    }
}

fn unpacked(mirror: &Mirror, name: DocName, body: &PassedBody) -> Result<Bytes, FetchError> {
    let against = match body.against {
        0 => Bytes::new(),
        revision => mirror
            .body_of(name, revision)
            .map_err(|e| FetchError(e.to_string()))?
            .ok_or_else(|| FetchError(format!("it was packed against revision {revision}")))?,
    };
    unpack(&body.bytes, &against, body.length.min(MAX_COPY)).map_err(|e| FetchError(e.to_string()))
}

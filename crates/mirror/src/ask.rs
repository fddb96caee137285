//! Asks another process for its copy of a document.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use web::{Client, empty, read_body};

use crate::serve::Passed;
use crate::{DocName, Mirror, PATH};

/// Largest copy taken, in bytes.
const MAX_COPY: usize = 8 << 20;

/// Why no copy came.
#[derive(Debug)]
pub struct AskError(String);

impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no copy came: {}; another process is asked next", self.0)
    }
}

impl std::error::Error for AskError {}

/// Asks a process for its copy and takes it; `true` where it was newer than the one held.
pub async fn ask(
    mirror: &Mirror,
    name: DocName,
    client: &Client,
    from: SocketAddr,
    within: Duration,
) -> Result<bool, AskError> {
    let held = mirror.revision(name);
    let req = hyper::Request::get(format!("{PATH}{name}?{held}"))
        .body(empty())
        .map_err(|e| AskError(e.to_string()))?;
    let res = client
        .send(from, req, within)
        .await
        .map_err(|e| AskError(e.to_string()))?;
    if !res.status().is_success() {
        return Err(AskError(format!("{from} answered {}", res.status())));
    }
    let buf = read_body(res.into_body(), MAX_COPY, within)
        .await
        .map_err(|e| AskError(e.to_string()))?;
    let passed: Passed = postcard::from_bytes(&buf).map_err(|e| AskError(e.to_string()))?;
    Ok(match passed.body.is_empty() {
        // The same revision: take it again for its age.
        true => match mirror.get(name).filter(|c| c.revision == passed.revision) {
            Some(copy) => mirror.take(name, copy.revision, copy.body, passed.age),
            None => false,
        },
        false => mirror.take(name, passed.revision, passed.body.into(), passed.age),
    })
}

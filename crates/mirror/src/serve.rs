//! Passes copies on to processes that ask.

use std::time::Duration;

use base::Revision;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use web::{Request, Response, full, text};

use crate::pack::PackError;
use crate::{DocName, Mirror, Replica};

/// Path of a document is this and its name.
pub const PATH: &str = "/mirror/";

/// A copy as it travels.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Passed {
    pub(crate) revision: Revision,
    pub(crate) age: Duration,
    /// Packed; `None` where the asker holds the revision already.
    pub(crate) body: Option<PassedBody>,
}

/// A packed body.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PassedBody {
    /// Revision of the asker's that it is packed against; 0 for none.
    pub(crate) against: Revision,
    /// Length of the body, in bytes.
    pub(crate) length: usize,
    pub(crate) bytes: Vec<u8>,
}

/// Largest age that an asker wants the store to have confirmed a copy at, in `GET
/// /mirror/NAME?REVISION&MILLISECONDS`; `None` where it takes any.
pub fn requested_max_age(req: &Request) -> Option<Duration> {
    let (_, oldest) = req.uri().query()?.split_once('&')?;
    oldest.parse().ok().map(Duration::from_millis)
}

/// Answers `GET /mirror/NAME?REVISION`; leaves the body out where the asker has that revision.
pub async fn serve(mirror: &Mirror, names: &[DocName], req: &Request) -> Response {
    let name = req.uri().path().strip_prefix(PATH);
    let Some(name) = names.iter().find(|n| Some(**n) == name) else {
        return text(404, "no such document\n");
    };
    let query = req.uri().query().unwrap_or_default();
    let revision = query.split('&').next().and_then(|q| q.parse().ok());
    let held = revision.unwrap_or(0);
    let passed = match pass(mirror, name, held).await {
        Ok(Some(passed)) => passed,
        Ok(None) => return text(503, "no copy yet; ask again\n"),
        Err(e) => return text(500, format!("{e}\n")),
    };
    match postcard::to_stdvec(&passed) {
        Ok(buf) => Response::new(full(Bytes::from(buf))),
        Err(e) => text(500, format!("the copy can't be encoded: {e}\n")),
    }
}

async fn pass(
    mirror: &Mirror,
    name: DocName,
    known: Revision,
) -> Result<Option<Passed>, PackError> {
    let copy = match mirror.get(name) {
        Some(copy) if copy.revision > known => mirror.packed(name, known).await?,
        Some(copy) => return Ok(Some(passed(&copy, None))),
        None => return Ok(None),
    };
    Ok(copy.map(|packed| {
        let body = PassedBody {
            against: packed.against,
            length: packed.copy.body.len(),
            bytes: packed.body.to_vec(),
        };
        passed(&packed.copy, Some(body))
    }))
}

fn passed(copy: &Replica, body: Option<PassedBody>) -> Passed {
    Passed {
        revision: copy.revision,
        age: clock::since(copy.confirmed),
        body,
    }
}

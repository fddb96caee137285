//! Passes copies on to processes that ask.

use std::time::Duration;

use base::Revision;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use web::{Request, Response, full, text};

use crate::{Copy, DocName, Mirror};

/// Path of a document is this and its name.
pub const PATH: &str = "/mirror/";

/// A copy as it travels.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Passed {
    pub(crate) revision: Revision,
    pub(crate) age: Duration,
    /// Empty where the asker holds the revision already.
    pub(crate) body: Vec<u8>,
}

/// Answers `GET /mirror/NAME?REVISION`; leaves the body out where the asker has that revision.
pub fn serve(mirror: &Mirror, names: &[DocName], req: &Request) -> Response {
    let name = req.uri().path().strip_prefix(PATH);
    let Some(name) = names.iter().find(|n| Some(**n) == name) else {
        return text(404, "no such document\n");
    };
    let Some(copy) = mirror.get(name) else {
        return text(503, "no copy yet; ask again\n");
    };
    let held = req.uri().query().and_then(|q| q.parse().ok()).unwrap_or(0);
    match postcard::to_stdvec(&pass(copy, held)) {
        Ok(buf) => Response::new(full(Bytes::from(buf))),
        Err(e) => text(500, format!("the copy can't be encoded: {e}\n")),
    }
}

fn pass(copy: Copy, held: Revision) -> Passed {
    let body = match copy.revision > held {
        true => copy.body.to_vec(),
        false => Vec::new(),
    };
    Passed {
        revision: copy.revision,
        age: copy.confirmed.elapsed(),
        body,
    }
}

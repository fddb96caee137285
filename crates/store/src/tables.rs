//! Editions of the table in the platform's table service.
//!
//! `table/current` holds the current edition and `table/revision/N` each accepted one. Both are written in
//! one transaction: an edit is either current and in the history, or in neither.

use base::{Revision, new_request_id, unix_ms};
use table::Edition;

use crate::{Kv, Op, PlatformError, ReadResult, Tag, Unless};

const CURRENT_KEY: &str = "table/current";

/// Reads after a lost response before the outcome of the write is reported as unknown.
const MAX_READ_BACKS: u32 = 5;

/// Interval between these reads.
const READ_BACK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(200);

/// The current edition, and the tag that the write of its successor has to match.
#[derive(Debug, Clone)]
pub struct Current {
    /// Edition.
    pub edition: Edition,
    /// Tag; `None` before the first edit.
    pub tag: Option<Tag>,
}

/// Client of the editions.
#[derive(Debug, Clone)]
pub struct Tables {
    kv: Kv,
}

impl Tables {
    /// Creates a client of the editions in a table service.
    pub fn new(kv: Kv) -> Tables {
        Tables { kv }
    }

    /// Reads the current edition; `None` if its tag is still `known`.
    pub async fn current(&self, known: Option<&Tag>) -> Result<Option<Current>, PlatformError> {
        match self.kv.get(&format!("/kv/{CURRENT_KEY}"), known).await? {
            ReadResult::Unchanged => Ok(None),
            ReadResult::Absent => Ok(Some(Current {
                edition: Edition::initial(),
                tag: None,
            })),
            ReadResult::Value(buf, tag) => Ok(Some(Current {
                edition: parse(&buf)?,
                tag: Some(tag),
            })),
        }
    }

    /// Reads the accepted edition of a revision, if there is one.
    pub async fn revision(&self, revision: Revision) -> Result<Option<Edition>, PlatformError> {
        match self
            .kv
            .get(&format!("/kv/{}", revision_key(revision)), None)
            .await?
        {
            ReadResult::Value(buf, _) => parse(&buf).map(Some),
            ReadResult::Absent | ReadResult::Unchanged => Ok(None),
        }
    }

    /// Writes the successor of `base`, and returns it once its write is known to have taken effect.
    ///
    /// If the response is lost, the revision is read back and compared with the id of the edit.
    ///
    /// # Errors
    /// `Conflict` if another edit came first, `Unavailable` if nothing was written, and `ResponseLost` if the
    /// outcome is still unknown after the last read.
    pub async fn apply(
        &self,
        base: &Current,
        csv: String,
        author: &str,
    ) -> Result<Edition, PlatformError> {
        let edition = Edition {
            revision: base.edition.revision + 1,
            edit: new_request_id(),
            author: author.to_owned(),
            at_ms: unix_ms(),
            csv,
        };
        let value = serde_json::to_string(&edition).expect("an edition serializes");
        let unless = base.tag.clone().map_or(Unless::Present, Unless::Changed);
        let ops = vec![
            op(CURRENT_KEY.to_owned(), unless, value.clone()),
            op(revision_key(edition.revision), Unless::Present, value),
        ];
        match self.kv.commit(ops).await {
            Ok(Ok(_)) => Ok(edition),
            // A lower layer may have resent the request, and the second copy is then rejected because the
            // first took effect. A read therefore verifies the conflict.
            Ok(Err(_)) => self.verify_write(edition, PlatformError::Conflict).await,
            Err(e) if e.may_have_written() => self.verify_write(edition, e).await,
            Err(e) => Err(e),
        }
    }

    /// Determines by reads whether a write with a lost response or a reported conflict took effect.
    ///
    /// An absent revision proves nothing, since the write may still be in transit.
    async fn verify_write(
        &self,
        edition: Edition,
        cause: PlatformError,
    ) -> Result<Edition, PlatformError> {
        let mut last_error = cause;
        for _ in 0..MAX_READ_BACKS {
            match self.revision(edition.revision).await {
                Ok(Some(found)) if found.edit == edition.edit => return Ok(edition),
                Ok(Some(_)) => return Err(PlatformError::Conflict),
                Ok(None) => {}
                Err(e) => last_error = PlatformError::ResponseLost(e.to_string()),
            }
            tokio::time::sleep(READ_BACK_INTERVAL).await;
        }
        Err(last_error)
    }
}

fn op(key: String, unless: Unless, value: String) -> Op {
    Op {
        key,
        unless,
        value,
        ttl_s: None,
    }
}

fn revision_key(revision: Revision) -> String {
    format!("table/revision/{revision}")
}

fn parse(buf: &[u8]) -> Result<Edition, PlatformError> {
    serde_json::from_slice(buf).map_err(|e| PlatformError::InvalidResponse(e.to_string()))
}

//! The table's editions in the platform's table service.
//!
//! `table/current` holds the edition in force and `table/revision/N` each accepted one. Both are
//! written in one transaction, so an edit either is in force and in the history or is neither.

use base::{Revision, new_request_id, unix_ms};
use table::Edition;

use crate::{Kv, Op, PlatformError, ReadResult, Tag, Unless};

const CURRENT: &str = "table/current";

/// Times a lost write is looked up before its fate is called unknown.
const READ_BACKS: u32 = 5;

/// Pause between two look-ups of a lost write.
const READ_BACK_PAUSE: std::time::Duration = std::time::Duration::from_millis(200);

/// The edition in force as it was read, with the tag its successor must match.
#[derive(Debug, Clone)]
pub struct Current {
    /// Edition.
    pub edition: Edition,
    /// Tag; `None` before the first edit.
    pub tag: Option<Tag>,
}

/// Access to the editions.
#[derive(Debug, Clone)]
pub struct Tables {
    kv: Kv,
}

impl Tables {
    /// Editions in a table service.
    pub fn new(kv: Kv) -> Tables {
        Tables { kv }
    }

    /// The edition in force; `None` where it still has the tag given.
    pub async fn current(&self, known: Option<&Tag>) -> Result<Option<Current>, PlatformError> {
        match self.kv.get(&format!("/kv/{CURRENT}"), known).await? {
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

    /// An accepted edition, or `None` where there is none of that revision.
    pub async fn revision(&self, revision: Revision) -> Result<Option<Edition>, PlatformError> {
        match self
            .kv
            .get(&format!("/kv/{}", key_of(revision)), None)
            .await?
        {
            ReadResult::Value(buf, _) => parse(&buf).map(Some),
            ReadResult::Absent | ReadResult::Unchanged => Ok(None),
        }
    }

    /// Writes the successor of `base`. Returns it once its write is known to have taken effect.
    ///
    /// A lost answer is settled by reading the revision back and looking for the edit's own id.
    ///
    /// # Errors
    /// `Conflict` where another edit won; `Down` where nothing was written; `Lost` where the
    /// platform could not say within the read-backs.
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
        let value = serde_json::to_string(&edition).expect("plain data");
        let unless = base.tag.clone().map_or(Unless::Present, Unless::Changed);
        let ops = vec![
            op(CURRENT.to_owned(), unless, value.clone()),
            op(key_of(edition.revision), Unless::Present, value),
        ];
        match self.kv.commit(ops).await {
            Ok(Ok(_)) => Ok(edition),
            // A resend below us may have been refused by its own first try: look before believing.
            Ok(Err(_)) => self.settle(edition, PlatformError::Conflict).await,
            Err(e) if e.may_have_written() => self.settle(edition, e).await,
            Err(e) => Err(e),
        }
    }

    /// Finds out what became of a write whose answer was lost or contradicted.
    ///
    /// An absent revision proves nothing after a lost answer: the write may still be on its way.
    async fn settle(
        &self,
        edition: Edition,
        cause: PlatformError,
    ) -> Result<Edition, PlatformError> {
        let mut last = cause;
        for _ in 0..READ_BACKS {
            match self.revision(edition.revision).await {
                Ok(Some(found)) if found.edit == edition.edit => return Ok(edition),
                Ok(Some(_)) => return Err(PlatformError::Conflict),
                Ok(None) => {}
                Err(e) => last = PlatformError::ResponseLost(e.to_string()),
            }
            tokio::time::sleep(READ_BACK_PAUSE).await;
        }
        Err(last)
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

fn key_of(revision: Revision) -> String {
    format!("table/revision/{revision}")
}

fn parse(buf: &[u8]) -> Result<Edition, PlatformError> {
    serde_json::from_slice(buf).map_err(|e| PlatformError::InvalidResponse(e.to_string()))
}

//! Lays chunks out at the engine and reads them back.

use log::info;

use crate::Cx;
use crate::api::{ApiError, StagedChunk};
use crate::sets::Set;

/// Log prefix of this part.
const PART: &str = "stage";

/// Times that chunks are read back before it is given up for now.
const READS: usize = 4;

/// Reads what lies at the engine and keeps what belongs to the set; returns how many chunks did.
pub(crate) async fn read_back(cx: &Cx, set: &Set) -> Result<usize, ApiError> {
    let mut found = 0;
    for i in (0..set.len()).filter(|i| set.get(*i).is_none()) {
        if let Some(buf) = (cx.api.get)((set.model.clone(), i)).await? {
            found += usize::from(set.put(i, buf));
        }
    }
    Ok(found)
}

/// Lays a whole set out.
pub(crate) async fn lay_out(cx: &Cx, set: &Set) -> Result<(), ApiError> {
    for i in 0..set.len() {
        put(cx, set, i).await?;
    }
    Ok(())
}

/// Reads a set back until all of it lies at the engine as it should: what lies there may turn bad, and
/// the engine doesn't check it.
pub(crate) async fn read_again(cx: &Cx, set: &Set) -> Result<(), ApiError> {
    for _ in 0..READS {
        let bad = replace_bad(cx, set).await?;
        info!(target: PART, "{PART}: event=read_again model={} version={} replaced={bad}", set.model, set.version);
        if bad == 0 {
            return Ok(());
        }
    }
    Err(ApiError(format!(
        "chunks turned bad {READS} times in a row"
    )))
}

/// Reads all chunks back and lays out anew those that are bad; returns how many were.
async fn replace_bad(cx: &Cx, set: &Set) -> Result<usize, ApiError> {
    let mut bad = 0;
    for i in 0..set.len() {
        let lies = (cx.api.get)((set.model.clone(), i)).await?;
        if !lies.is_some_and(|buf| set.is_chunk(i, &buf)) {
            put(cx, set, i).await?;
            bad += 1;
        }
    }
    Ok(bad)
}

async fn put(cx: &Cx, set: &Set, i: usize) -> Result<(), ApiError> {
    let missing = || ApiError(format!("chunk {i} is missing"));
    let staged = StagedChunk {
        model: set.model.clone(),
        chunk: i,
        buf: set.get(i).ok_or_else(missing)?,
    };
    (cx.api.put)(staged).await
}

//! Stages chunks at the engine and reads them back.

use log::info;

use crate::Cx;
use crate::api::{ApiError, StagedChunk};
use crate::chunk_set::ChunkSet;

/// Log prefix of this part.
const PART: &str = "stage";

/// Maximum number of verification passes over the staged chunks.
const MAX_PASSES: usize = 4;

/// Reads back staged chunks and keeps those that belong to the set; returns how many did.
pub(crate) async fn read_back(cx: &Cx, set: &ChunkSet) -> Result<usize, ApiError> {
    let mut found = 0;
    for i in (0..set.len()).filter(|i| set.get(*i).is_none()) {
        if let Some(buf) = (cx.api.get)((set.model.clone(), i)).await? {
            found += usize::from(set.put(i, buf));
        }
    }
    Ok(found)
}

/// Stages all chunks of a set.
pub(crate) async fn stage(cx: &Cx, set: &ChunkSet) -> Result<(), ApiError> {
    for i in 0..set.len() {
        put(cx, set, i).await?;
    }
    Ok(())
}

/// Reads a staged set back until all its chunks are intact: staged chunks may become corrupt, and the engine
/// doesn't check them.
pub(crate) async fn verify(cx: &Cx, set: &ChunkSet) -> Result<(), ApiError> {
    for _ in 0..MAX_PASSES {
        let corrupt = replace_corrupt(cx, set).await?;
        info!(target: PART, "{PART}: event=read_again model={} version={} replaced={corrupt}", set.model, set.version);
        if corrupt == 0 {
            return Ok(());
        }
    }
    Err(ApiError(format!(
        "staged chunks were corrupt {MAX_PASSES} times in a row"
    )))
}

/// Reads back all chunks and stages corrupt or missing ones again; returns how many there were.
async fn replace_corrupt(cx: &Cx, set: &ChunkSet) -> Result<usize, ApiError> {
    let mut corrupt = 0;
    for i in 0..set.len() {
        let staged = (cx.api.get)((set.model.clone(), i)).await?;
        if !staged.is_some_and(|buf| set.is_chunk(i, &buf)) {
            put(cx, set, i).await?;
            corrupt += 1;
        }
    }
    Ok(corrupt)
}

async fn put(cx: &Cx, set: &ChunkSet, i: usize) -> Result<(), ApiError> {
    let missing = || ApiError(format!("chunk {i} is not held"));
    let staged = StagedChunk {
        model: set.model.clone(),
        chunk: i,
        buf: set.get(i).ok_or_else(missing)?,
    };
    (cx.api.put)(staged).await
}

//! Stages chunks at the engine and reads them back.
//!
//! An engine may pause for some seconds and go on. Whatever was staged before is still there then, so an unanswered call
//! is repeated on its own.

use std::future::Future;
use std::time::Duration;

use log::{debug, info};
use tokio::sync::watch;

use crate::Cx;
use crate::api::{ApiError, EngineState, StagedChunk};
use crate::chunk_set::ChunkSet;

/// Log prefix of this part.
const PART: &str = "stage";

/// Maximum number of verification passes over the staged chunks.
const MAX_PASSES: usize = 4;

/// Maximum number of unanswered calls in a row while the engine answers queries of its state. While it answers nothing at
/// all, calls are repeated without a limit.
const MAX_UNANSWERED: u32 = 3;

/// Pause before an unanswered call is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Last state that the engine reported; `None` while it doesn't answer.
pub(crate) type EngineWatch = watch::Receiver<Option<EngineState>>;

/// Makes a call that may be carried out more than once, and repeats it until the engine has answered it.
pub(crate) async fn until_answered<F, R>(
    engine: &EngineWatch,
    call: impl Fn() -> F,
) -> Result<R, ApiError>
where
    F: Future<Output = Result<R, ApiError>>,
{
    let mut unanswered = 0;
    loop {
        let why = match call().await {
            Err(ApiError::Unanswered(why)) => why,
            answered => return answered,
        };
        unanswered = match engine.borrow().is_some() {
            true => unanswered + 1,
            false => 0,
        };
        if unanswered >= MAX_UNANSWERED {
            return Err(ApiError::Unanswered(why));
        }
        debug!(target: PART, "{PART}: event=unanswered why=\"{why}\"");
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}

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
pub(crate) async fn stage(cx: &Cx, set: &ChunkSet, engine: &EngineWatch) -> Result<(), ApiError> {
    for i in 0..set.len() {
        put(cx, set, i, engine).await?;
    }
    Ok(())
}

/// Reads a staged set back until all its chunks are intact: staged chunks may become corrupt, and the engine
/// doesn't check them.
pub(crate) async fn verify(cx: &Cx, set: &ChunkSet, engine: &EngineWatch) -> Result<(), ApiError> {
    for _ in 0..MAX_PASSES {
        let corrupt = replace_corrupt(cx, set, engine).await?;
        info!(target: PART, "{PART}: event=read_again model={} version={} replaced={corrupt}", set.model, set.version);
        if corrupt == 0 {
            return Ok(());
        }
    }
    Err(ApiError::Failed(format!(
        "staged chunks were corrupt {MAX_PASSES} times in a row"
    )))
}

/// Reads back all chunks and stages corrupt or missing ones again; returns how many there were.
async fn replace_corrupt(cx: &Cx, set: &ChunkSet, engine: &EngineWatch) -> Result<usize, ApiError> {
    let mut corrupt = 0;
    for i in 0..set.len() {
        let staged = until_answered(engine, || (cx.api.get)((set.model.clone(), i))).await?;
        if !staged.is_some_and(|buf| set.is_chunk(i, &buf)) {
            put(cx, set, i, engine).await?;
            corrupt += 1;
        }
    }
    Ok(corrupt)
}

async fn put(cx: &Cx, set: &ChunkSet, i: usize, engine: &EngineWatch) -> Result<(), ApiError> {
    let missing = || ApiError::Failed(format!("chunk {i} is not held"));
    let staged = StagedChunk {
        model: set.model.clone(),
        chunk: i,
        buf: set.get(i).ok_or_else(missing)?,
    };
    until_answered(engine, || (cx.api.put)(staged.clone())).await
}

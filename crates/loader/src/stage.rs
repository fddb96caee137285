//! Stages chunks at the engine and reads them back.
//!
//! An engine may pause for some seconds and go on. Whatever was staged before is still there then, so an unanswered call
//! is repeated on its own.

use std::future::Future;
use std::time::{Duration, Instant};

use futures_util::stream::{self, StreamExt};
use log::{debug, info};
use tokio::sync::watch;

use crate::Cx;
use crate::api::{ApiError, EngineState, StagedChunk};
use crate::chunk_set::ChunkSet;

/// Log prefix of this part.
const PART: &str = "stage";

/// Maximum number of verification passes over the staged chunks.
const MAX_PASSES: usize = 4;

/// Age of a read from which a chunk is read again before an order.
const REREAD_AGE: Duration = Duration::from_secs(1);

/// Time after which the rest of a pass is read by [`CONCURRENT_READS`] calls at once.
const SEQUENTIAL_TIME: Duration = Duration::from_millis(500);

/// Number of concurrent reads.
const CONCURRENT_READS: usize = 8;

/// Maximum number of unanswered calls in a row while the engine answers queries of its state. While it answers nothing at
/// all, calls are repeated without a limit.
const MAX_UNANSWERED: u32 = 3;

/// Pause before an unanswered call is repeated.
pub(crate) const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Last state that the engine reported; `None` while it doesn't answer.
pub(crate) type EngineWatch = watch::Receiver<Option<EngineState>>;

/// Count of unanswered calls in a row.
#[derive(Debug, Default)]
pub(crate) struct UnansweredCalls(u32);

impl UnansweredCalls {
    /// Records an unanswered call; returns whether the limit has been reached, see [`MAX_UNANSWERED`].
    pub(crate) fn record(&mut self, engine: &EngineWatch) -> bool {
        self.0 = match engine.borrow().is_some() {
            true => self.0 + 1,
            false => 0,
        };
        self.0 >= MAX_UNANSWERED
    }
}

/// Makes a call that may be carried out more than once, and repeats it until the engine has answered it.
pub(crate) async fn until_answered<F, R>(
    engine: &EngineWatch,
    call: impl Fn() -> F,
) -> Result<R, ApiError>
where
    F: Future<Output = Result<R, ApiError>>,
{
    let mut unanswered = UnansweredCalls::default();
    loop {
        let why = match call().await {
            Err(ApiError::Unanswered(why)) => why,
            answered => return answered,
        };
        if unanswered.record(engine) {
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

/// When each staged chunk was last read back intact.
#[derive(Debug)]
pub(crate) struct Verification {
    /// Start of the read, since the engine may have answered it at any time after that.
    read_at: Vec<Option<Instant>>,
    /// Number of chunks that were corrupt and have been replaced.
    replaced: usize,
}

impl Verification {
    /// Creates a verification of a number of chunks, none of which has been read.
    pub(crate) fn new(chunks: usize) -> Verification {
        Verification {
            read_at: vec![None; chunks],
            replaced: 0,
        }
    }

    /// Returns how many chunks were corrupt and have been replaced.
    pub(crate) fn replaced(&self) -> usize {
        self.replaced
    }

    fn record(&mut self, i: usize, read_at: Option<Instant>) {
        self.read_at[i] = read_at;
        self.replaced += usize::from(read_at.is_none());
    }

    /// Returns the time since the first of the reads; `None` if a chunk hasn't been read intact.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let age = |at: &Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let mut ages = self.read_at.iter().map(age);
        ages.try_fold(Duration::ZERO, |oldest, age| Some(oldest.max(age?)))
    }

    /// Returns whether all chunks were read intact within a time.
    pub(crate) fn is_within(&self, max_age: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Returns the chunks to read, as they weren't read intact or the read will soon be too old for an order.
    fn due(&self, now: Instant) -> Vec<usize> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= REREAD_AGE;
        let due = |i: &usize| !self.read_at[*i].as_ref().is_some_and(is_recent);
        (0..self.read_at.len()).filter(due).collect()
    }
}

/// Reads staged chunks back until all are intact: they may become corrupt, and the engine doesn't check them. Chunks that
/// were read recently aren't read again.
pub(crate) async fn verify(
    cx: &Cx,
    set: &ChunkSet,
    engine: &EngineWatch,
    verification: &mut Verification,
) -> Result<(), ApiError> {
    for _ in 0..MAX_PASSES {
        let due = verification.due(clock::now());
        let read = due.len();
        let corrupt = read_again(cx, set, engine, due, verification).await?;
        info!(target: PART, "{PART}: event=read_again model={} version={} read={read} replaced={corrupt}", set.model, set.version);
        if corrupt == 0 {
            return Ok(());
        }
    }
    Err(ApiError::Failed(format!(
        "staged chunks were corrupt {MAX_PASSES} times in a row"
    )))
}

/// Reads all staged chunks back once and stages corrupt or missing ones again; returns how many there were.
pub(crate) async fn read_all(
    cx: &Cx,
    set: &ChunkSet,
    engine: &EngineWatch,
) -> Result<usize, ApiError> {
    let mut verification = Verification::new(set.len());
    let chunks = (0..set.len()).collect();
    read_again(cx, set, engine, chunks, &mut verification).await
}

/// Reads chunks back and stages corrupt or missing ones again; returns how many there were. Reads are sequential
/// unless they take long, which keeps the number of connections low.
async fn read_again(
    cx: &Cx,
    set: &ChunkSet,
    engine: &EngineWatch,
    chunks: Vec<usize>,
    verification: &mut Verification,
) -> Result<usize, ApiError> {
    let (started, replaced_before) = (clock::now(), verification.replaced);
    let mut chunks = chunks.into_iter();
    while clock::since(started) < SEQUENTIAL_TIME
        && let Some(i) = chunks.next()
    {
        verification.record(i, read_or_replace(cx, set, i, engine).await?);
    }
    let mut reads = stream::iter(chunks)
        .map(async |i| (i, read_or_replace(cx, set, i, engine).await))
        .buffer_unordered(CONCURRENT_READS);
    while let Some((i, read_at)) = reads.next().await {
        verification.record(i, read_at?);
    }
    Ok(verification.replaced - replaced_before)
}

/// Reads a staged chunk back and stages it again if it is corrupt or missing; returns the start of the read if it is
/// intact.
async fn read_or_replace(
    cx: &Cx,
    set: &ChunkSet,
    i: usize,
    engine: &EngineWatch,
) -> Result<Option<Instant>, ApiError> {
    let read = || async {
        let started = clock::now();
        let staged = (cx.api.get)((set.model.clone(), i)).await?;
        Ok((started, staged))
    };
    match until_answered(engine, read).await? {
        (started, Some(buf)) if set.is_chunk(i, &buf) => Ok(Some(started)),
        _ => {
            put(cx, set, i, engine).await?;
            Ok(None)
        }
    }
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

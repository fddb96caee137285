//! Calls to the engine on the loader's VM and to the origin of weights.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use base::Model;
use beacon::Holding;
use bytes::Bytes;
use catalog::{StartTime, WeightsVersion};

use crate::pace::Pace;

/// SHA-256 digest of a chunk.
pub type ChunkDigest = [u8; 32];

/// An asynchronous call with an argument and a result.
pub type Call<A, R> =
    Arc<dyn Fn(A) -> Pin<Box<dyn Future<Output = Result<R, ApiError>> + Send>> + Send + Sync>;

/// Why a call failed.
#[derive(Debug, Clone)]
pub enum ApiError {
    /// The call was not carried out, or was answered with a failure.
    Failed(String),
    /// There was no complete answer; the call may have been carried out, or may be later. A process that pauses looks
    /// like this, and so does one that is gone.
    Unanswered(String),
    /// The origin doesn't provide the version any more, since newer ones were released.
    Gone(String),
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApiError::Failed(why) | ApiError::Unanswered(why) | ApiError::Gone(why) => {
                f.write_str(why)
            }
        }
    }
}

impl std::error::Error for ApiError {}

/// State of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Whether a switch is in progress.
    pub switching: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Weights it holds, by model.
    pub holdings: Vec<Holding>,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Start time, if the engine reports it.
    pub start_time: Option<StartTime>,
    /// Factor by which its work takes longer than normal; 1 if it doesn't report a usable one.
    pub pace: Pace,
}

impl EngineState {
    /// Returns whether this state is of another incarnation of the engine than the one `before`: its start time
    /// differs, or it has accepted fewer orders.
    pub fn is_new_incarnation(&self, before: &EngineState) -> bool {
        let restarted =
            matches!((self.start_time, before.start_time), (Some(now), Some(then)) if now != then);
        restarted || self.orders < before.orders
    }
}

/// Chunks that a version consists of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// Digest of each chunk, in order.
    pub digests: Vec<ChunkDigest>,
}

/// A chunk to stage at the engine.
#[derive(Debug, Clone)]
pub struct StagedChunk {
    /// Model.
    pub model: Model,
    /// Index of the chunk.
    pub chunk: usize,
    /// Content.
    pub buf: Bytes,
}

/// An order to switch to the staged chunks.
#[derive(Debug, Clone)]
pub struct SwitchOrder {
    /// Model.
    pub model: Model,
    /// Version of the staged chunks.
    pub version: WeightsVersion,
    /// Number of orders that the engine must have accepted so far; otherwise it refuses.
    pub orders: u64,
}

/// An order to stop requests by the loaded weights of a model, and to drop them once the running requests have completed.
/// Staged chunks are kept.
#[derive(Debug, Clone)]
pub struct UnloadOrder {
    /// Model.
    pub model: Model,
    /// Loaded version.
    pub version: WeightsVersion,
    /// Number of orders that the engine must have accepted so far; otherwise it refuses.
    pub orders: u64,
    /// Whether parts that are kept may be used by a later load of the same version.
    pub may_keep_parts: bool,
}

/// Result of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// The order is being carried out, or has no effect since the engine is in the ordered state already.
    Taken,
    /// The order conflicts with the engine's state, which has to be read again; holds the HTTP status.
    Conflict(u16),
}

/// A version at the origin.
#[derive(Debug, Clone)]
pub struct OriginVersion {
    /// Address of the origin.
    pub origin: SocketAddr,
    /// Model.
    pub model: Model,
    /// Version.
    pub version: WeightsVersion,
}

/// Calls that the platform provides.
#[derive(Clone)]
pub struct Api {
    /// Returns the current state of the engine.
    pub state: Call<(), EngineState>,
    /// Stages a chunk at the engine.
    pub put: Call<StagedChunk, ()>,
    /// Reads a staged chunk back; `None` if it isn't staged.
    pub get: Call<(Model, usize), Option<Bytes>>,
    /// Orders the engine to switch to the staged chunks.
    pub start: Call<SwitchOrder, OrderResult>,
    /// Orders the engine to drop the loaded weights of a model.
    pub unload: Call<UnloadOrder, OrderResult>,
    /// Fetches the manifest of a version from the origin.
    pub manifest: Call<OriginVersion, Manifest>,
    /// Fetches a chunk of a version from the origin.
    pub chunk: Call<(OriginVersion, usize), Bytes>,
}

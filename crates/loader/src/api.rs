//! Calls to the engine beside the loader and to the origin of weights.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use base::Model;
use beacon::Holding;
use bytes::Bytes;
use catalog::{StartTime, WeightsVersion};

/// SHA-256 of a chunk.
pub type ChunkDigest = [u8; 32];

/// A call, and its result when it has ended.
pub type Call<A, R> =
    Arc<dyn Fn(A) -> Pin<Box<dyn Future<Output = Result<R, ApiError>> + Send>> + Send + Sync>;

/// Why a call failed.
#[derive(Debug, Clone)]
pub struct ApiError(pub String);

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ApiError {}

/// State of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Whether an order is under way.
    pub switching: bool,
    /// Orders taken since its start.
    pub orders: u64,
    /// What it holds of each model.
    pub holdings: Vec<Holding>,
    /// Requests it runs.
    pub running: u32,
    /// Requests it has queued.
    pub queued: u32,
    /// Start of its life, where it tells it.
    pub start_time: Option<StartTime>,
}

impl EngineState {
    /// Whether an engine of another life answered than the one `before`: it was born at another time, or has
    /// taken fewer orders.
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

/// A chunk laid out at the engine.
#[derive(Debug, Clone)]
pub struct StagedChunk {
    /// Model.
    pub model: Model,
    /// Index of the chunk.
    pub chunk: usize,
    /// Bytes.
    pub buf: Bytes,
}

/// An order to put what lies staged into use.
#[derive(Debug, Clone)]
pub struct SwitchOrder {
    /// Model.
    pub model: Model,
    /// Version of what lies staged.
    pub version: WeightsVersion,
    /// Orders that the engine must have taken, or it refuses.
    pub orders: u64,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResult {
    /// It has begun, or what was asked for is in use already.
    Taken,
    /// It doesn't fit the engine's state; read the state again.
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

/// Calls.
#[derive(Clone)]
pub struct Api {
    /// State of the engine, as of now.
    pub state: Call<(), EngineState>,
    /// Lays a chunk out at the engine.
    pub put: Call<StagedChunk, ()>,
    /// Reads a chunk back; `None` where none lies there.
    pub get: Call<(Model, usize), Option<Bytes>>,
    /// Orders the engine to take what lies there.
    pub start: Call<SwitchOrder, OrderResult>,
    /// Manifest of a version.
    pub manifest: Call<OriginVersion, Manifest>,
    /// A chunk of a version.
    pub chunk: Call<(OriginVersion, usize), Bytes>,
}

//! The agent: the only process that communicates with its VM's upstream.
//!
//! Requests: [`metadata`] reads the headers that an entry sent, [`gate`] admits or refuses the request, [`handle`]
//! sends it to the upstream, and [`ledger`] records unsafe ones.
//!
//! Weights: [`rollout`] reconciles the engine with the table, [`fetch`] fetches the chunks of a version, each with
//! [`chunk`], from the sources that [`swarm`] selects, [`peer`] serves them to other agents at the rate that [`pace`]
//! permits, and [`engine`] sends orders.
//!
//! [`links`] maintains links to entries of the failure domain.

#![deny(clippy::disallowed_methods)]

pub mod admin;
pub mod chunk;
pub mod engine;
pub mod fetch;
pub mod gate;
pub mod handle;
pub mod ledger;
pub mod links;
pub mod metadata;
pub mod pace;
pub mod peer;
pub mod rollout;
pub mod run;
pub mod swarm;

pub use run::{AgentError, run};

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{Digest, Fence, Incarnation, Map};
use settings::AgentCfg;
use table::{ActiveTable, Version};
use tokio::sync::{mpsc, watch};
use weights::{ChunkStore, Manifest};
use wire::counted::Traffic;
use wire::{Holding, Peer};

/// A query to an entry for the agents that fetch or hold a version.
#[derive(Debug)]
pub struct PeersRequest {
    /// Version.
    pub version: Version,
    /// Receives the response; dropped if no entry is reachable.
    pub tx: tokio::sync::oneshot::Sender<Vec<Peer>>,
}

/// State of an agent process.
#[derive(Debug)]
pub struct Agent {
    /// Settings.
    pub cfg: AgentCfg,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// The table in force.
    pub active_table: Arc<ActiveTable>,
    /// Admission of requests.
    pub gate: gate::Gate,
    /// Record of unsafe requests.
    pub ledger: ledger::Ledger,
    /// Control client of the engine.
    pub engine: engine::Engine,
    /// HTTP client for the upstream and peers.
    pub client: web::Client,
    /// Object store of manifests.
    pub objects: store::Objects,
    /// Origin of weights.
    pub origin: store::Origin,
    /// Queries to the entries.
    pub peers_requests: mpsc::Sender<PeersRequest>,
    /// Traffic of control links.
    pub traffic: Traffic,
    /// Counts of fetched chunks.
    pub chunk_counts: ChunkCounts,
    /// Pacer of weights sent.
    pub upload_pacer: Arc<pace::Pacer>,
    /// Pacer of weights fetched.
    pub download_pacer: Arc<pace::Pacer>,
    /// Versions and their progress, as sent to the entries.
    pub holdings: watch::Sender<Vec<Holding>>,
    chunks: Mutex<ChunkStore>,
    manifests: Mutex<Map<Digest, Arc<Manifest>>>,
    fence: AtomicU64,
    leaving: watch::Sender<bool>,
    superseded: AtomicBool,
}

/// Bytes of fetched chunks by source, and the number of bad chunks.
#[derive(Debug, Default)]
pub struct ChunkCounts {
    /// Bytes from the origin.
    pub origin: AtomicU64,
    /// Bytes from peers.
    pub peers: AtomicU64,
    /// Number of chunks with a wrong digest.
    pub bad: AtomicU64,
}

impl Agent {
    /// Returns the chunks that are stored for peers.
    pub fn chunks(&self) -> MutexGuard<'_, ChunkStore> {
        self.chunks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the manifests of the versions that this agent fetches or holds.
    pub fn manifests(&self) -> MutexGuard<'_, Map<Digest, Arc<Manifest>>> {
        self.manifests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the fencing number for orders.
    pub fn fence(&self) -> Fence {
        self.fence.load(Ordering::Relaxed)
    }

    /// Raises the fencing number above that of earlier agents; to be called before the first order.
    pub fn raise_fence(&self, seen: Fence) {
        self.fence.fetch_max(seen + 1, Ordering::Relaxed);
    }

    /// Returns whether the agent is leaving and refuses new requests.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Refuses new requests from now on, and announces that the agent is leaving.
    pub fn start_leaving(&self) {
        self.gate.close();
        self.leaving.send_replace(true);
    }

    /// Returns a receiver of changes of [`Agent::is_leaving`].
    pub fn watch_leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Returns whether another agent controls this VM now.
    pub fn is_superseded(&self) -> bool {
        self.superseded.load(Ordering::Relaxed)
    }

    /// Records that another agent controls this VM, and refuses new requests.
    pub fn mark_superseded(&self) {
        self.superseded.store(true, Ordering::Relaxed);
        self.start_leaving();
    }
}

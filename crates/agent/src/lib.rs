//! The agent: the only process that talks to its VM's upstream.
//!
//! A request's way: [`metadata`] reads what an entry sent, [`gate`] lets it in or refuses it for
//! certain, [`handle`] runs it at the upstream, and [`ledger`] remembers unsafe ones. Weights:
//! [`rollout`] compares the table with what the engine has, [`fetch`] brings a version's chunks
//! in, one by one ([`chunk`]), from the sources that [`swarm`] ranks, [`peer`] passes them on at
//! the [`pace`] that requests leave, and [`engine`] gives orders.
//! [`links`] keeps links to the entries of the failure domain.

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

/// A question to the entries: who fetches or holds a version.
#[derive(Debug)]
pub struct PeersRequest {
    /// Version.
    pub version: Version,
    /// Takes the answer; dropped where no entry can be asked.
    pub tx: tokio::sync::oneshot::Sender<Vec<Peer>>,
}

/// An agent.
#[derive(Debug)]
pub struct Agent {
    /// Settings.
    pub cfg: AgentCfg,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// The edition it serves by.
    pub active_table: Arc<ActiveTable>,
    /// Lets requests in.
    pub gate: gate::Gate,
    /// Unsafe requests.
    pub ledger: ledger::Ledger,
    /// The upstream's orders.
    pub engine: engine::Engine,
    /// Client towards the upstream and peers.
    pub client: web::Client,
    /// Object store of manifests.
    pub objects: store::Objects,
    /// Origin of weights.
    pub origin: store::Origin,
    /// Questions to the entries.
    pub peers_requests: mpsc::Sender<PeersRequest>,
    /// Bytes of control links.
    pub traffic: Traffic,
    /// Bytes of chunks taken from peers and from the origin.
    pub chunk_counts: ChunkCounts,
    /// Pace of weights sent.
    pub upload_pacer: Arc<pace::Pacer>,
    /// Pace of weights fetched.
    pub download_pacer: Arc<pace::Pacer>,
    /// What the entries are told of versions.
    pub holdings: watch::Sender<Vec<Holding>>,
    chunks: Mutex<ChunkStore>,
    manifests: Mutex<Map<Digest, Arc<Manifest>>>,
    fence: AtomicU64,
    leaving: watch::Sender<bool>,
    superseded: AtomicBool,
}

/// Bytes of chunks, by where they came from.
#[derive(Debug, Default)]
pub struct ChunkCounts {
    /// From the origin.
    pub origin: AtomicU64,
    /// From peers.
    pub peers: AtomicU64,
    /// Chunks whose digest was wrong.
    pub bad: AtomicU64,
}

impl Agent {
    /// Chunks kept to pass on.
    pub fn chunks(&self) -> MutexGuard<'_, ChunkStore> {
        self.chunks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Manifests of the versions it fetches or holds.
    pub fn manifests(&self) -> MutexGuard<'_, Map<Digest, Arc<Manifest>>> {
        self.manifests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Fencing number of its orders.
    pub fn fence(&self) -> Fence {
        self.fence.load(Ordering::Relaxed)
    }

    /// Raises the fencing number above that of earlier holders, before the first order.
    pub fn raise_fence(&self, seen: Fence) {
        self.fence.fetch_max(seen + 1, Ordering::Relaxed);
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Takes no new work from now on.
    pub fn start_leaving(&self) {
        self.gate.close();
        self.leaving.send_replace(true);
    }

    /// Follows whether it is leaving.
    pub fn watch_leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Whether another agent gives this VM's orders now.
    pub fn is_superseded(&self) -> bool {
        self.superseded.load(Ordering::Relaxed)
    }

    /// Gives up the VM to another agent.
    pub fn mark_superseded(&self) {
        self.superseded.store(true, Ordering::Relaxed);
        self.start_leaving();
    }
}

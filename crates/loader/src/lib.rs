//! Fetches released weights for the engine on the same VM and serves their chunks to other loaders.
//!
//! `rollout` decides which version the engine should hold and runs these steps:
//!
//! - `manifest` fetches the list of a version's chunks.
//! - `manifest_check` corrects wrong digests in that list.
//! - `fetch` fetches missing chunks from other loaders and, by [`schedule`], from the origin into [`chunk_set`],
//!   as many concurrently as [`window`] permits. `announcer` announces them to other loaders; `presence` decides
//!   by such announcements which loaders count as present.
//! - `succession` decides whether a version in progress is completed before its successor, and [`precedence`] what the
//!   successor may fetch meanwhile.
//! - `stage` stages the chunks at the engine and verifies them; `order` orders the engine to switch to them.
//! - [`slot`] decides when the engine may leave service to switch.
//!
//! `claims` verifies versions at the origin that an engine holds although no known release names them.
//!
//! `status` publishes the state of the engine to gateways, and [`pace`] decides when to publish its speed. The calls to
//! the engine and the origin depend on the platform, which provides them by [`api`].

#![deny(clippy::disallowed_methods)]

mod announcer;
pub mod api;
mod chunk;
pub mod chunk_set;
mod claims;
mod fetch;
mod manifest;
mod manifest_check;
mod order;
pub mod pace;
mod peers;
pub mod precedence;
mod presence;
mod rollout;
mod run;
pub mod schedule;
pub mod slot;
mod stage;
mod status;
mod succession;
pub mod window;

use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use base::{Incarnation, Map, Model};
use beacon::{Beacon, Member};
use catalog::{Catalog, FIRST_VERSION, ReleaseList, ServiceName, WeightsVersion};
use settings::LoaderCfg;
use tokio::sync::{Notify, watch};

use crate::api::Api;
use crate::chunk_set::ChunkSets;
use crate::peers::Peers;
use crate::window::Window;

pub use run::run;

/// Newest releases, and when they became known to this process.
#[derive(Debug, Clone, Default)]
pub struct KnownReleases {
    /// Releases.
    pub list: ReleaseList,
    /// Releases that operators have named, or that were verified at the origin.
    pub verified: ReleaseList,
    /// Releases that the store lists without stating that they were verified.
    pub claimed: ReleaseList,
    /// Time at which each version became known.
    pub since: Map<(Model, WeightsVersion), Instant>,
}

impl KnownReleases {
    /// Merges a list; returns whether the version of any model increased. Versions never decrease, see
    /// [`ReleaseList::merge`].
    pub fn merge(&mut self, list: &ReleaseList, now: Instant) -> bool {
        let raised = self.list.merge(list);
        for release in &self.list.releases {
            let key = (release.model.clone(), release.version);
            self.since.entry(key).or_insert(now);
        }
        raised
    }

    /// Merges a list of verified releases; returns whether any became known or verified.
    pub fn merge_verified(&mut self, list: &ReleaseList, now: Instant) -> bool {
        let is_verified = self.verified.merge(list);
        self.merge(list, now) || is_verified
    }

    /// Returns the newest version of a model.
    pub fn version(&self, model: &Model) -> WeightsVersion {
        self.list.version(model).unwrap_or(FIRST_VERSION)
    }
}

/// Dependencies of a loader, passed to [`run()`].
pub struct Dependencies {
    /// Settings.
    pub cfg: LoaderCfg,
    /// Service that the engine belongs to.
    pub service: ServiceName,
    /// Calls to the engine and the origin.
    pub api: Api,
    /// Configuration; `None` until it is known.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Known releases, from gateways and the platform's store.
    pub known: Arc<watch::Sender<KnownReleases>>,
    /// Member list.
    pub members: watch::Receiver<Vec<Member>>,
    /// Set to true when a shutdown begins.
    pub stop: watch::Receiver<bool>,
}

/// Shared state of a loader.
pub(crate) struct Cx {
    pub(crate) cfg: LoaderCfg,
    pub(crate) service: ServiceName,
    pub(crate) api: Api,
    pub(crate) catalog: watch::Receiver<Option<Arc<Catalog>>>,
    pub(crate) known: Arc<watch::Sender<KnownReleases>>,
    pub(crate) members: watch::Receiver<Vec<Member>>,
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) incarnation: Incarnation,
    pub(crate) beacon: Beacon,
    pub(crate) sets: ChunkSets,
    /// Limit on concurrent chunk fetches.
    pub(crate) window: Window,
    pub(crate) peers: Mutex<Peers>,
    /// Notified of each announcement of another loader.
    pub(crate) announced: Notify,
    /// Notified when the engine's state should be polled at once.
    pub(crate) poll_engine: Notify,
    /// Number of verified claims; gateways are notified when it changes.
    pub(crate) verified_claims: AtomicU64,
    /// Whether the engine is about to leave service to switch weights.
    pub(crate) leaving: AtomicBool,
    /// Planned time to leave service for new weights; `None` if no switch is planned.
    pub(crate) leaves_at: Mutex<Option<Instant>>,
}

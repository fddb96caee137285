//! Brings released weights to the engine beside it, and passes chunks on to other loaders.
//!
//! [`rollout`] decides what the engine is to hold and runs the steps: [`manifest`] gets the list of a
//! version's chunks, [`fetch`] brings those that are missing from other loaders and the origin into [`sets`],
//! as many at once as [`window`] has room for ([`said`] is what loaders tell each other meanwhile, [`present`]
//! whom they count on by it), [`stage`] lays them out at the engine and reads them back, [`turn`] says when the
//! engine may leave service to take them, and [`tell`] tells gateways what it serves. How to talk to the engine
//! and to the origin belongs to the platform; [`api`] holds the functions for it.

#![deny(clippy::disallowed_methods)]

pub mod api;
mod bring;
mod fetch;
mod manifest;
pub mod order;
mod peers;
mod present;
mod rollout;
mod run;
mod said;
pub mod sets;
mod stage;
mod tell;
pub mod turn;
pub mod window;

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use base::{Incarnation, Map, Model};
use beacon::{Beacon, Member};
use catalog::{Catalog, FIRST_VERSION, ReleaseList, ServiceName, WeightsVersion};
use settings::LoaderCfg;
use tokio::sync::{Notify, watch};

use crate::api::Api;
use crate::peers::Peers;
use crate::sets::Sets;
use crate::window::Window;

pub use run::run;

/// Newest releases, and since when this process knows them.
#[derive(Debug, Clone, Default)]
pub struct KnownReleases {
    /// Releases.
    pub list: ReleaseList,
    /// When each version became known.
    pub since: Map<(Model, WeightsVersion), Instant>,
}

impl KnownReleases {
    /// Takes a list; `true` where it names a higher version of any model. Nothing takes a version back, see
    /// [`ReleaseList::merge`].
    pub fn merge(&mut self, list: &ReleaseList, now: Instant) -> bool {
        let raised = self.list.merge(list);
        for release in &self.list.releases {
            let key = (release.model.clone(), release.version);
            self.since.entry(key).or_insert(now);
        }
        raised
    }

    /// Newest version of a model.
    pub fn version(&self, model: &Model) -> WeightsVersion {
        self.list.version(model).unwrap_or(FIRST_VERSION)
    }
}

/// What a loader is made of.
pub struct Wiring {
    /// Settings.
    pub cfg: LoaderCfg,
    /// Service that the engine belongs to.
    pub service: ServiceName,
    /// Calls to the engine and the origin.
    pub api: Api,
    /// Configuration; `None` until one is known.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Releases, which gateways and the platform's store tell.
    pub known: Arc<watch::Sender<KnownReleases>>,
    /// Other processes.
    pub members: watch::Receiver<Vec<Member>>,
    /// Turns true when a planned stop begins.
    pub stop: watch::Receiver<bool>,
}

/// What everything in a loader shares.
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
    pub(crate) sets: Sets,
    /// Chunks that are brought at once.
    pub(crate) window: Window,
    pub(crate) peers: Mutex<Peers>,
    /// Told when another loader said what it has.
    pub(crate) heard: Notify,
    /// Told when the engine's state should be read at once.
    pub(crate) look: Notify,
    /// Whether the engine is about to leave service for new weights.
    pub(crate) leaving: AtomicBool,
    /// When its turn to do so comes; `None` where it has the newest weights.
    pub(crate) leaves_at: Mutex<Option<Instant>>,
}

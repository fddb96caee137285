//! Brings released weights to the engine beside it, and passes chunks on to other loaders.
//!
//! [`keep`] decides what the engine is to hold and runs the steps: [`fetch`] brings the chunks that
//! are missing from other loaders and the origin into [`sets`], [`stage`] lays them out at the
//! engine and reads them back, [`turn`] says when the engine may leave service to take them, and
//! [`tell`] tells gateways what it serves. How to talk to the engine and to the origin belongs to
//! the platform; [`api`] holds the functions for it.

pub mod api;
mod fetch;
mod keep;
mod peers;
mod run;
pub mod sets;
mod stage;
mod tell;
pub mod turn;

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use base::{Incarnation, Model};
use beacon::{Beacon, Member};
use catalog::{Catalog, ServiceName, WeightsVersion};
use mirror::{DocName, Mirror};
use settings::LoaderCfg;
use tokio::sync::{Notify, watch};

use crate::api::Api;
use crate::peers::Peers;
use crate::sets::Sets;

pub use run::run;

/// A version of a model that was released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Model.
    pub model: Model,
    /// Version.
    pub version: WeightsVersion,
    /// When this process learned of it.
    pub since: Instant,
}

/// What is configured, as far as a loader needs it.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Configuration.
    pub catalog: std::sync::Arc<Catalog>,
    /// Newest release of each model that has one.
    pub releases: Vec<Release>,
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
    pub plan: watch::Receiver<Option<Plan>>,
    /// Other processes.
    pub members: watch::Receiver<Vec<Member>>,
    /// Copies of documents.
    pub mirror: Mirror,
    /// Document with the configuration.
    pub configuration: DocName,
    /// Turns true when a planned stop begins.
    pub stop: watch::Receiver<bool>,
}

/// What everything in a loader shares.
pub(crate) struct Cx {
    pub(crate) cfg: LoaderCfg,
    pub(crate) service: ServiceName,
    pub(crate) api: Api,
    pub(crate) plan: watch::Receiver<Option<Plan>>,
    pub(crate) members: watch::Receiver<Vec<Member>>,
    pub(crate) mirror: Mirror,
    pub(crate) configuration: DocName,
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) incarnation: Incarnation,
    pub(crate) beacon: Beacon,
    pub(crate) sets: Sets,
    pub(crate) peers: Mutex<Peers>,
    /// Told when the engine's state should be read at once.
    pub(crate) look: Notify,
    /// Whether the engine is about to leave service for new weights.
    pub(crate) leaving: AtomicBool,
}

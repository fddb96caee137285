//! Takes callers' requests and sends each to an upstream that may run it.
//!
//! A request is followed through these modules in order: [`serve`] accepts its connection,
//! [`handle`] finds its route and workspace and reads its body, [`admission`] waits for a slot that
//! [`balance`] chooses, [`send`] sends it and sorts what came back, [`relay`] passes a stream on, and
//! [`record`] says in one log line what became of it, with the time that it spent in each of these
//! ([`spans`]). Who is next, where, and who is refused is decided
//! by the crate `decide`.
//!
//! What a request says of itself travels in headers whose names belong to the platform; [`Codec`]
//! holds the functions that read and write them.

#![deny(clippy::disallowed_methods)]

pub mod admission;
pub mod announcements;
mod attempt_ages;
mod balance;
mod confirm;
mod connection;
pub mod drain;
pub mod events;
pub mod feedback;
mod gauges;
mod gossip;
mod handle;
pub mod introduction;
mod load_sums;
pub mod load_updates;
pub mod loads;
mod loss;
pub mod membership;
mod rate_limit_updates;
pub mod rate_limits;
mod record;
pub mod refusal;
mod relay;
pub mod release;
pub mod request;
mod send;
mod serve;
pub mod spans;
mod suspect_updates;
pub mod suspects;
mod unconfirmed;
pub mod upstream;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Instant;

use base::{Incarnation, Map, RandomHasher, Revision, VmId};
use catalog::Catalog;
use decide::retry_budget::RetryBudget;
use mirror::{DocName, Mirror};
use settings::GatewayCfg;
use tokio::sync::{Notify, watch};

use crate::admission::Admission;
use crate::attempt_ages::AttemptAges;
use crate::confirm::Confirmations;
use crate::drain::Drains;
use crate::feedback::Feedback;
use crate::introduction::Introductions;
use crate::loads::LoadTable;
use crate::membership::UpstreamTable;
use crate::release::Releases;
use crate::request::Codec;
use crate::suspects::Suspects;

pub use serve::run;

/// What everything in a gateway shares.
pub struct Cx {
    /// Settings.
    pub cfg: GatewayCfg,
    /// Reads and writes the platform's headers.
    pub codec: Codec,
    /// Configuration in force; `None` until one is known.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Upstreams.
    pub registry: UpstreamTable,
    /// Failure domains that operators have drained.
    pub drains: Drains,
    /// Feedback of upstreams in their answers.
    pub feedback: Feedback,
    /// Versions of weights that were released.
    pub releases: Releases,
    /// Requests waiting for a slot.
    pub admission: Admission,
    /// How long ago callers first asked.
    pub attempt_ages: AttemptAges,
    /// Budget of requests sent again.
    pub retry_budget: RetryBudget,
    /// Requests under which upstreams ended.
    pub suspects: Arc<Suspects>,
    /// What other gateways have in flight.
    pub loads: LoadTable,
    /// Processes that introduced themselves here.
    pub introductions: Introductions,
    /// Copies of documents.
    pub mirror: Mirror,
    /// The configuration.
    pub configuration: ReplicatedDoc,
    /// Confirmations of it.
    pub confirmations: Confirmations,
    /// The list of upstreams.
    pub upstream_list: ReplicatedDoc,
    /// The list of our own processes.
    pub member_list: ReplicatedDoc,
    /// Load notes sent so far.
    pub load_sequence: AtomicU64,
    /// Whether a newer configuration is waited for, or copied from another failure domain.
    pub catching_up: AtomicBool,
    /// Whether the platform's store can be reached.
    pub reaches_store: watch::Receiver<bool>,
    /// Documents passed on to others.
    pub served_documents: Vec<DocName>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// When it started.
    pub started: Instant,
    /// Draws that differ from those of other gateways.
    pub random_state: RandomHasher,
    /// Other processes, as they are known now.
    pub peers: watch::Receiver<Peers>,
    /// Turns true when a planned stop begins.
    pub stop: watch::Receiver<bool>,
}

/// A document that is copied from other gateways of the failure domain.
#[derive(Debug)]
pub struct ReplicatedDoc {
    /// Document.
    pub name: DocName,
    /// Revision that is in force here, or was before one that couldn't be decoded; 0 for none.
    pub in_force: watch::Sender<Revision>,
    /// Whether it is being copied.
    fetching: AtomicBool,
    /// Whether a newer revision is known of, and the last try to copy it failed.
    pub fetch_failed: AtomicBool,
}

impl ReplicatedDoc {
    fn new(name: DocName) -> ReplicatedDoc {
        ReplicatedDoc {
            name,
            in_force: watch::Sender::new(0),
            fetching: AtomicBool::new(false),
            fetch_failed: AtomicBool::new(false),
        }
    }
}

/// Addresses of other processes.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// Whether this gateway is listed itself, so that others know of it.
    pub includes_self: bool,
    /// Where loaders of the own failure domain take datagrams.
    pub near_loaders: Vec<std::net::SocketAddr>,
    /// Where other gateways of the own failure domain take datagrams.
    pub near_gateways: Map<VmId, std::net::SocketAddr>,
    /// Where gateways of other failure domains do, by domain.
    pub far_gateways: Vec<Vec<std::net::SocketAddr>>,
}

impl Cx {
    /// A context that knows no upstreams yet.
    pub fn new(deps: Dependencies) -> Cx {
        let cfg = deps.cfg;
        Cx {
            retry_budget: RetryBudget::new(cfg.retry_window, cfg.retry_ratio, cfg.retry_slack),
            registry: UpstreamTable::new(cfg.node.domain.clone(), cfg.return_time),
            drains: Drains::default(),
            feedback: Feedback::default(),
            releases: Releases::new(cfg.node.version_time, cfg.node.contact_time),
            admission: Admission::default(),
            attempt_ages: AttemptAges::default(),
            suspects: Arc::new(Suspects::new(cfg.hold_time)),
            loads: LoadTable::default(),
            introductions: Introductions::new(deps.registered_members),
            incarnation: base::unix_ms(),
            started: clock::now(),
            random_state: RandomHasher::default(),
            codec: deps.codec,
            catalog: deps.catalog,
            mirror: deps.mirror,
            configuration: ReplicatedDoc::new(deps.configuration),
            confirmations: Confirmations::new(cfg.config_time, deps.read_store),
            upstream_list: ReplicatedDoc::new(deps.upstream_list),
            member_list: ReplicatedDoc::new(deps.member_list),
            load_sequence: AtomicU64::new(1),
            catching_up: AtomicBool::new(false),
            reaches_store: deps.reaches_store,
            served_documents: deps.served_documents,
            peers: deps.peers,
            stop: deps.stop,
            cfg,
        }
    }

    /// Gateways that share the retry budget, this one among them.
    pub fn gateways(&self) -> usize {
        let peers = self.peers.borrow();
        let far: usize = peers.far_gateways.iter().map(Vec::len).sum();
        peers.near_gateways.len() + far + 1
    }

    /// Gateways of the own failure domain, this one among them.
    pub fn near_gateways(&self) -> usize {
        self.peers.borrow().near_gateways.len() + 1
    }

    /// Whether callers' requests can be served.
    pub fn is_ready(&self) -> bool {
        let stopping = *self.stop.borrow();
        !stopping && self.catalog.borrow().is_some() && self.registry.is_loaded()
    }
}

/// What a gateway is made of.
pub struct Dependencies {
    /// Settings.
    pub cfg: GatewayCfg,
    /// Reads and writes the platform's headers.
    pub codec: Codec,
    /// Configuration in force.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Copies of documents.
    pub mirror: Mirror,
    /// Document with the configuration.
    pub configuration: DocName,
    /// Document with the list of upstreams.
    pub upstream_list: DocName,
    /// Document with the list of our own processes.
    pub member_list: DocName,
    /// Documents passed on to others.
    pub served_documents: Vec<DocName>,
    /// Whether the platform's store can be reached.
    pub reaches_store: watch::Receiver<bool>,
    /// Has the configuration read from the store at once.
    pub read_store: Arc<Notify>,
    /// Other processes.
    pub peers: watch::Receiver<Peers>,
    /// Processes that are registered.
    pub registered_members: watch::Receiver<Vec<beacon::Member>>,
    /// Turns true when a planned stop begins.
    pub stop: watch::Receiver<bool>,
}

//! Gateway: accepts callers' requests and forwards each to an upstream that may run it.
//!
//! A request passes through these modules: `serve` accepts its connection, `handle` looks up its route and workspace and
//! reads its body, and `dispatch` makes attempts until one succeeds. In an attempt (`attempt`), [`admission`] queues the
//! request for a slot at an upstream that `balance` chooses, and `send` sends it and classifies the response. `relay`
//! relays a stream, and `record` logs the outcome in one line, with the time spent in each phase ([`spans`]). The crate
//! `decide` makes the decisions: the order of the queue, the choice of the upstream, second attempts, and refusals.
//!
//! Request metadata travels in headers whose names belong to the platform; [`Codec`] holds the functions that parse and
//! build them.

#![deny(clippy::disallowed_methods)]

mod activity;
pub mod admission;
pub mod announcements;
mod attempt;
mod attempt_ages;
mod balance;
mod confirm;
mod connection;
pub mod demand;
mod demand_updates;
mod dispatch;
pub mod domain_plans;
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
pub mod memory;
pub mod paces;
mod part_updates;
pub mod pools;
mod prompt_parts;
mod rank;
mod rate_limit_updates;
pub mod rate_limits;
mod record;
pub mod refusal;
mod relay;
pub mod release;
pub mod request;
pub mod returns;
mod send;
mod serve;
pub mod spans;
mod speed;
mod suspect_updates;
pub mod suspects;
pub mod timeouts;
mod unconfirmed;
pub mod upstream;

use std::hash::{BuildHasher, Hash};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Instant;

use base::{Incarnation, Map, RandomHasher, StoreRevision, VmId};
use catalog::Catalog;
use decide::retry_budget::RetryBudget;
use mirror::{DocName, Mirror};
use settings::GatewayCfg;
use tokio::sync::{Notify, watch};

use crate::admission::Admission;
use crate::attempt_ages::AttemptAges;
use crate::confirm::Confirmations;
use crate::demand::DemandTable;
use crate::domain_plans::DomainPlans;
use crate::drain::Drains;
use crate::feedback::Feedback;
use crate::introduction::Introductions;
use crate::loads::LoadTable;
use crate::membership::UpstreamTable;
use crate::memory::BodyMemory;
use crate::paces::PaceTable;
use crate::pools::Pools;
use crate::release::Releases;
use crate::request::Codec;
use crate::returns::Returns;
use crate::suspects::Suspects;

pub use serve::run;

/// Part of the memory of the process that bodies may take up. Buffers double as they grow, and the rest of the process
/// takes some tens of megabytes.
const BODY_MEMORY_PART: u64 = 3;

/// State shared by all parts of a gateway.
pub struct Cx {
    /// Settings.
    pub cfg: GatewayCfg,
    /// Parser and builder of the platform's headers.
    pub codec: Codec,
    /// Configuration in force; `None` until one is known.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Upstreams.
    pub upstreams: UpstreamTable,
    /// Failure domains that operators have drained.
    pub drains: Drains,
    /// Feedback of upstreams in their responses.
    pub feedback: Feedback,
    /// Released versions of weights.
    pub releases: Releases,
    /// Memory for bodies in flight.
    pub memory: Arc<BodyMemory>,
    /// Queues of requests that wait for a slot.
    pub admission: Admission,
    /// Free capacity of services whose routes differ in priority.
    pub pools: Pools,
    /// Schedules of the retries of refused callers.
    pub returns: Returns,
    /// Attempt ages of callers, by route.
    pub attempt_ages: AttemptAges,
    /// Retry budget.
    pub retry_budget: RetryBudget,
    /// Requests that were running when upstreams exited.
    pub suspects: Arc<Suspects>,
    /// Requests that other gateways have in flight.
    pub loads: LoadTable,
    /// Paces of engines.
    pub paces: PaceTable,
    /// Demand of this gateway, of others, and of failure domains.
    pub demand: DemandTable,
    /// Planned shares of the own failure domain's demand for others.
    pub plans: DomainPlans,
    /// Processes that introduced themselves to this gateway.
    pub introductions: Introductions,
    /// Replicas of documents.
    pub mirror: Mirror,
    /// Document with the configuration.
    pub configuration: ReplicatedDoc,
    /// Confirmations of the configuration.
    pub confirmations: Confirmations,
    /// Document with the list of upstreams.
    pub upstream_list: ReplicatedDoc,
    /// Document with the member list: all registered gateways and loaders.
    pub member_list: ReplicatedDoc,
    /// Number of the next load update.
    pub load_sequence: AtomicU64,
    /// Whether a newer configuration is awaited, or fetched from another failure domain.
    pub catching_up: AtomicBool,
    /// Whether the platform's store can be reached.
    pub reaches_store: watch::Receiver<bool>,
    /// Documents that are served to other processes.
    pub served_documents: Vec<DocName>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Start time of this process.
    pub started: Instant,
    /// Random hash seed, which differs from that of other gateways.
    pub random_state: RandomHasher,
    /// Known addresses of other processes.
    pub peers: watch::Receiver<Peers>,
    /// Turns true when a graceful shutdown begins.
    pub stop: watch::Receiver<bool>,
}

/// State of a document that is replicated from other gateways of the failure domain.
#[derive(Debug)]
pub struct ReplicatedDoc {
    /// Name of the document.
    pub name: DocName,
    /// Latest revision that was put in force, which excludes those that couldn't be decoded; the default for none.
    pub in_force: watch::Sender<StoreRevision>,
    /// Whether a fetch is in progress.
    fetching: AtomicBool,
    /// Whether a newer revision is known and the last attempt to fetch it failed.
    pub fetch_failed: AtomicBool,
}

impl ReplicatedDoc {
    fn new(name: DocName) -> ReplicatedDoc {
        ReplicatedDoc {
            name,
            in_force: watch::Sender::new(StoreRevision::default()),
            fetching: AtomicBool::new(false),
            fetch_failed: AtomicBool::new(false),
        }
    }
}

/// Addresses of other processes.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// Whether this gateway is listed, and thus known to others.
    pub includes_self: bool,
    /// Whether these are all listed processes, not only some of the own failure domain.
    pub is_complete: bool,
    /// Datagram addresses of the loaders in the own failure domain.
    pub near_loaders: Vec<std::net::SocketAddr>,
    /// Datagram addresses of the other gateways in the own failure domain.
    pub near_gateways: Map<VmId, std::net::SocketAddr>,
    /// Datagram addresses of the gateways in other failure domains, by domain.
    pub far_gateways: Vec<Vec<std::net::SocketAddr>>,
}

impl Peers {
    /// Returns the number of gateways, including this one.
    fn gateways(&self) -> usize {
        let far: usize = self.far_gateways.iter().map(Vec::len).sum();
        self.near_gateways.len() + far + 1
    }
}

impl Cx {
    /// Creates a context that knows no upstreams yet.
    pub fn new(deps: Dependencies) -> Cx {
        let cfg = deps.cfg;
        Cx {
            retry_budget: RetryBudget::new(
                cfg.retry_window,
                cfg.retry_ratio,
                cfg.retry_slack,
                clock::now(),
            ),
            upstreams: UpstreamTable::new(cfg.node.domain.clone(), cfg.return_time),
            drains: Drains::default(),
            feedback: Feedback::default(),
            releases: Releases::new(cfg.node.version_time, cfg.node.contact_time),
            memory: BodyMemory::new(cfg.memory / BODY_MEMORY_PART),
            admission: Admission::default(),
            pools: Pools::default(),
            returns: Returns::default(),
            attempt_ages: AttemptAges::default(),
            suspects: Arc::new(Suspects::new(cfg.hold_time)),
            loads: LoadTable::default(),
            paces: PaceTable::default(),
            demand: DemandTable::default(),
            plans: DomainPlans::default(),
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

    /// Returns a draw in 0..=1 that is fixed for a value and differs from that of other gateways.
    pub(crate) fn draw(&self, value: impl Hash) -> f64 {
        // The upper half of the hash converts to a float exactly.
        let hash = self.random_state.hash_one(value) >> 32;
        hash as f64 / f64::from(u32::MAX)
    }

    /// Returns the number of known gateways, including this one.
    pub fn gateways(&self) -> usize {
        self.peers.borrow().gateways()
    }

    /// Returns the number of gateways that share the slack of the retry budget, including this one; `None` while not
    /// all of them are known, or this one isn't known to the others.
    pub fn retry_sharers(&self) -> Option<usize> {
        let peers = self.peers.borrow();
        let is_sharer = peers.is_complete && peers.includes_self;
        is_sharer.then(|| peers.gateways())
    }

    /// Returns the number of gateways in the own failure domain, including this one.
    pub fn near_gateways(&self) -> usize {
        self.peers.borrow().near_gateways.len() + 1
    }

    /// Returns whether callers' requests can be served.
    pub fn is_ready(&self) -> bool {
        let stopping = *self.stop.borrow();
        !stopping && self.catalog.borrow().is_some() && self.upstreams.is_loaded()
    }
}

/// Dependencies of a gateway, passed to [`Cx::new`].
pub struct Dependencies {
    /// Settings.
    pub cfg: GatewayCfg,
    /// Parser and builder of the platform's headers.
    pub codec: Codec,
    /// Configuration in force.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Replicas of documents.
    pub mirror: Mirror,
    /// Document with the configuration.
    pub configuration: DocName,
    /// Document with the list of upstreams.
    pub upstream_list: DocName,
    /// Document with the member list: all registered gateways and loaders.
    pub member_list: DocName,
    /// Documents that are served to other processes.
    pub served_documents: Vec<DocName>,
    /// Whether the platform's store can be reached.
    pub reaches_store: watch::Receiver<bool>,
    /// Notified to have the configuration read from the store at once.
    pub read_store: Arc<Notify>,
    /// Addresses of other processes.
    pub peers: watch::Receiver<Peers>,
    /// Registered processes.
    pub registered_members: watch::Receiver<Vec<beacon::Member>>,
    /// Turns true when a graceful shutdown begins.
    pub stop: watch::Receiver<bool>,
}

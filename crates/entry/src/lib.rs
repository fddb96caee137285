//! Entry: accepts callers' requests and forwards each to an upstream in a permitted place.
//!
//! A request passes through these modules: [`request`] parses it, [`serve`] selects its row of the
//! table, [`limit`] enforces its limits, [`route::dispatch`] drives its attempts at upstreams
//! that [`route::balance`] chooses, [`admission`] queues it while all upstreams are busy,
//! [`route::attempt`] sends it, and [`response`] relays the response. [`refusal`] builds the
//! response to a request that got none from an upstream. [`claim`] prevents unsafe requests from
//! running twice.
//!
//! In the background, [`poll`] reads from the platform, [`membership::control`] serves agents and
//! other entries, and [`membership::links`] maintains links to other entries. All three update
//! [`membership::fleet`], the table of known upstreams and entries.

#![deny(clippy::disallowed_methods)]

pub mod admin;
pub mod admission;
pub mod claim;
pub mod limit;
pub mod membership;
pub mod poll;
pub mod refusal;
pub mod request;
pub mod response;
pub mod retry_budget;
pub mod route;
pub mod run;
pub mod serve;
pub mod telemetry;

pub use run::{EntryError, run};

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use settings::EntryCfg;
use table::ActiveTable;
use wire::counted::Traffic;

/// Bytes of a heartbeat and its reply on the link, including acknowledgements.
///
/// docs/CAPACITY.md lists the figures that `driftnotch-lab control` prints.
const HEARTBEAT_BYTES: u64 = 600;

/// Time within which every agent of the failure domain has tried to join a new entry.
const JOIN_WINDOW: Duration = Duration::from_secs(4);

/// Readiness of an entry to forward requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Requests can be forwarded.
    Ready,
    /// A graceful shutdown is in progress.
    Stopping,
    /// No table has been received.
    NoTable,
    /// No agent has reported a live version.
    NoAgents,
}

/// State shared by all parts of an entry.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub cfg: EntryCfg,
    /// Edition of the table in force.
    pub active_table: Arc<ActiveTable>,
    /// Known upstreams and entries.
    pub fleet: membership::fleet::Fleet,
    /// Rate and concurrency limits of rows and workspaces.
    pub limiter: limit::Limiter,
    /// Requests queued for a free slot.
    pub queue: admission::Queue,
    /// Retry budget.
    pub retry_budget: retry_budget::RetryBudget,
    /// Traffic split between the versions of a model.
    pub traffic_split: route::split::TrafficSplit,
    /// Claims on idempotency keys.
    pub claims: claim::Claims,
    /// HTTP client for requests to agents.
    pub client: web::Client,
    /// Metrics.
    pub telemetry: Arc<telemetry::Telemetry>,
    /// Byte counts of the control links.
    pub control_traffic: Traffic,
    /// Known control addresses of other entries.
    pub address_book: membership::links::AddressBook,
    /// Start time.
    pub started_at: Instant,
    stopping: AtomicBool,
}

impl Entry {
    /// Returns whether a graceful shutdown is in progress.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether requests can be forwarded. A newly started entry isn't ready until an agent
    /// has reported a live version, or every agent has had the time to join.
    pub fn readiness(&self) -> Readiness {
        let any_live = || {
            let local = self.fleet.local();
            local.iter().any(|u| u.holdings().iter().any(|h| h.live))
                || !self.fleet.remote().is_empty()
        };
        match self.active_table.confirmation_age() {
            _ if self.is_stopping() => Readiness::Stopping,
            None => Readiness::NoTable,
            Some(_) if clock::since(self.started_at) < JOIN_WINDOW && !any_live() => {
                Readiness::NoAgents
            }
            Some(_) => Readiness::Ready,
        }
    }

    /// Returns the heartbeat interval of agents. It grows with the number of joined agents, to keep
    /// the heartbeats of all of them within half of the control budget.
    pub fn heartbeat_interval(&self) -> Duration {
        let agents = self.fleet.joined() as u64;
        let cost = Duration::from_millis(agents * HEARTBEAT_BYTES * 2000 / self.cfg.control_budget);
        cost.max(self.cfg.heartbeat)
    }

    /// Returns how long an agent may miss heartbeats before it gets no new requests.
    pub fn lease(&self) -> Duration {
        self.heartbeat_interval() * self.cfg.lease_beats as u32
    }

    /// Returns the number of entries of this failure domain that are up, including this one.
    pub fn entry_count(&self) -> u32 {
        self.fleet.siblings().len() as u32 + 1
    }
}

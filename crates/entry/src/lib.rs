//! The entry: takes callers' requests and sends them to upstreams in permitted places.
//!
//! A request's way, file by file: [`call`] reads it, [`serve`] finds its row, [`limit`] counts it,
//! [`route::dispatch`] takes it to an upstream that [`route::pick`] chooses, waiting for its
//! [`admission`] where all are busy, [`route::attempt`] sends it, [`answer`] brings the answer
//! back, and [`refusal`] says what became of a request without one. [`claim`] keeps unsafe
//! requests from running twice.
//!
//! Beside that, [`poll`] reads the platform, [`membership::control`] answers agents and other
//! entries, and [`membership::links`] keeps links to other entries. [`membership::fleet`] is what
//! they learn.

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

/// Bytes that one heartbeat with its answer costs on the link, acknowledgements included.
///
/// Measured by `driftnotch-lab control`; docs/CAPACITY.md has the figures.
const HEARTBEAT_BYTES: u64 = 600;

/// Time in which all agents of the failure domain have tried to join a new entry.
const JOIN_WINDOW: Duration = Duration::from_secs(4);

/// Whether an entry can send requests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It can.
    Ready,
    /// A planned stop has begun.
    Stopping,
    /// It has no table as yet.
    NoTable,
    /// No agent has told it of a live version as yet.
    NoAgents,
}

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub cfg: EntryCfg,
    /// The edition it serves by.
    pub active_table: Arc<ActiveTable>,
    /// Upstreams and entries it knows.
    pub fleet: membership::fleet::Fleet,
    /// Limits.
    pub limiter: limit::Limiter,
    /// Requests that wait for a slot.
    pub queue: admission::Queue,
    /// Retry budget.
    pub retry_budget: retry_budget::RetryBudget,
    /// Split of traffic over versions.
    pub traffic_split: route::split::TrafficSplit,
    /// Claims on idempotency keys.
    pub claims: claim::Claims,
    /// Client towards agents.
    pub client: web::Client,
    /// Metrics.
    pub telemetry: Arc<telemetry::Telemetry>,
    /// Bytes of control links.
    pub control_traffic: Traffic,
    /// Addresses of entries to link to.
    pub address_book: membership::links::AddressBook,
    /// When it started.
    pub started_at: Instant,
    stopping: AtomicBool,
}

impl Entry {
    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether requests can be sent on. An entry that just started can not, until an agent has
    /// told it of a live version, or all have had the time to.
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

    /// Time between two heartbeats of an agent: longer the more agents have joined here, so that
    /// all of them together stay within half of the control budget.
    pub fn heartbeat_interval(&self) -> Duration {
        let agents = self.fleet.joined() as u64;
        let cost = Duration::from_millis(agents * HEARTBEAT_BYTES * 2000 / self.cfg.control_budget);
        cost.max(self.cfg.heartbeat)
    }

    /// Time an agent may be silent before it gets no new requests.
    pub fn lease(&self) -> Duration {
        self.heartbeat_interval() * self.cfg.lease_beats as u32
    }

    /// Entries of this failure domain that are up, this one included.
    pub fn entry_count(&self) -> u32 {
        self.fleet.siblings().len() as u32 + 1
    }
}

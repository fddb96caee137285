//! The entry: takes callers' requests and sends them to upstreams in permitted places.
//!
//! A request's way, file by file: [`call`] reads it, [`serve`] finds its row, [`limit`] counts it,
//! [`dispatch`] takes it to an upstream that [`route`] chooses, waiting in the [`queue`] where all
//! are busy, [`attempt`] sends it, [`answer`] brings the answer back, and [`refusal`] says what
//! became of a request without one. [`claim`] keeps unsafe requests from running twice.
//!
//! Beside that, [`poll`] reads the platform, [`control`] answers agents and other entries, and
//! [`links`] keeps links to other entries. [`fleet`] is what they learn.

pub mod admin;
pub mod answer;
pub mod attempt;
pub mod call;
pub mod claim;
pub mod control;
pub mod dispatch;
pub mod fleet;
pub mod limit;
pub mod links;
pub mod poll;
pub mod queue;
pub mod refusal;
pub mod retry;
pub mod route;
pub mod run;
pub mod running;
pub mod serve;
pub mod share;
pub mod telemetry;
pub mod upstream;

pub use run::{EntryError, run};

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use settings::EntryCfg;
use table::Force;
use wire::counted::Traffic;

/// Bytes that one heartbeat with its answer costs on the link, acknowledgements included.
///
/// Measured by `driftnotch-lab control`; docs/CAPACITY.md has the figures.
const BEAT_COST: u64 = 900;

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub cfg: EntryCfg,
    /// The edition it serves by.
    pub force: Arc<Force>,
    /// Upstreams and entries it knows.
    pub fleet: fleet::Fleet,
    /// Limits.
    pub limiter: limit::Limiter,
    /// Requests that wait for a slot.
    pub queue: queue::Queue,
    /// Retry budget.
    pub retries: retry::RetryBudget,
    /// Split of traffic over versions.
    pub shares: share::Shares,
    /// Claims on idempotency keys.
    pub claims: claim::Claims,
    /// Client towards agents.
    pub client: web::Client,
    /// Metrics.
    pub telemetry: Arc<telemetry::Telemetry>,
    /// Bytes of control links.
    pub traffic: Traffic,
    /// Addresses of entries to link to.
    pub book: links::AddressBook,
    stopping: AtomicBool,
}

impl Entry {
    /// Whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Time between two heartbeats of an agent: longer the more agents there are, so that all of
    /// them together stay within the control budget.
    pub fn beat_interval(&self) -> Duration {
        let agents = self.fleet.local().len() as u64;
        let cost = Duration::from_millis(agents * BEAT_COST * 1000 / self.cfg.control_budget);
        cost.max(self.cfg.heartbeat)
    }

    /// Time an agent may be silent before it gets no new requests.
    pub fn lease(&self) -> Duration {
        self.beat_interval() * self.cfg.lease_beats as u32
    }

    /// Entries of this failure domain that are up, this one included.
    pub fn siblings(&self) -> u32 {
        self.fleet.siblings().len() as u32 + 1
    }
}

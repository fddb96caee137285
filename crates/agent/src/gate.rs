//! Admission of requests.
//!
//! The gate checks each request independently of the entry: the row must permit the failure domains of this VM and of
//! the entry, the pinned version must be live, the table confirmed within the row's hold time, and the VM not
//! leaving. A refused request has certainly not run. The check and the count are one atomic step: once a version is
//! removed, no further request of it is admitted.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::{Map, Set};
use displaydoc::Display;
use settings::AgentCfg;
use table::{ActiveTable, Version};
use tokio::sync::Notify;

use crate::metadata::RequestMetadata;

/// Why a request was refused before it ran.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum Refusal {
    /// leaving
    Leaving,
    /// place
    Place,
    /// version
    Version,
    /// hold
    Hold,
    /// busy
    Busy,
    /// sealed
    Sealed,
    /// malformed
    Malformed,
    /// upstream
    Upstream,
    /// late
    Late,
}

#[derive(Debug, Default)]
struct State {
    closed: bool,
    live: Set<Version>,
    running: Map<Version, u32>,
}

/// Admits requests and counts those that run.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
    completed: Arc<Notify>,
}

/// Permit of an admitted request, which counts as running until the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    version: Version,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(n) = self.gate.state().running.get_mut(&self.version) {
            *n = n.saturating_sub(1);
        }
        self.gate.completed.notify_waiters();
    }
}

impl Gate {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request.
    ///
    /// # Errors
    /// The reason for which it is refused.
    pub fn admit(
        &self,
        meta: &RequestMetadata,
        cfg: &AgentCfg,
        active_table: &ActiveTable,
    ) -> Result<Permit, Refusal> {
        check_row(meta, cfg, active_table)?;
        let mut state = self.state();
        let running: u32 = state.running.values().sum();
        match () {
            () if state.closed => return Err(Refusal::Leaving),
            () if !state.live.contains(&meta.version) => return Err(Refusal::Version),
            () if u64::from(running) >= cfg.max_running => return Err(Refusal::Busy),
            () => {}
        }
        *state.running.entry(meta.version.clone()).or_default() += 1;
        Ok(Permit {
            gate: self.clone(),
            version: meta.version.clone(),
        })
    }

    /// Refuses all further requests.
    pub fn close(&self) {
        self.state().closed = true;
    }

    /// Sets the live versions.
    pub fn set_live(&self, live: Set<Version>) {
        self.state().live = live;
    }

    /// Refuses further requests of a version; running ones continue.
    pub fn retire(&self, version: &Version) {
        self.state().live.remove(version);
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.state().running.values().sum()
    }

    /// Waits until no request of a version is running, or no request at all if none is given. Returns `false` if
    /// `timeout` has elapsed first.
    pub async fn wait_drained(&self, version: Option<&Version>, timeout: Duration) -> bool {
        let wait = async {
            loop {
                let completed = self.completed.notified();
                let running = match version {
                    Some(v) => self.state().running.get(v).copied().unwrap_or(0),
                    None => self.running(),
                };
                if running == 0 {
                    return;
                }
                completed.await;
            }
        };
        tokio::time::timeout(timeout, wait).await.is_ok()
    }
}

/// Checks a request against the agent's own table.
fn check_row(
    meta: &RequestMetadata,
    cfg: &AgentCfg,
    active_table: &ActiveTable,
) -> Result<(), Refusal> {
    let domains = active_table.domains();
    let view = active_table.current();
    let own = &cfg.process.domain;
    let row = match view.table.find(&meta.model, &meta.version, own, domains) {
        Some(row) if row.permits(&meta.domain, domains) => row,
        _ if !cfg.check_places => return Ok(()),
        _ => return Err(Refusal::Place),
    };
    match active_table.may_serve(row) {
        true => Ok(()),
        false => Err(Refusal::Hold),
    }
}

//! Lets requests in, or refuses them for certain.
//!
//! The gate is the agent's own guard, whatever the entry believes: the row must permit both this
//! VM's place and the entry's, the pinned version must be live, the edition within the row's hold,
//! and the VM not leaving. The check and the count are one step, so a version that is taken out
//! has no request slip in behind it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::{Map, Set};
use displaydoc::Display;
use settings::AgentCfg;
use table::{ActiveTable, Version};
use tokio::sync::Notify;

use crate::metadata::RequestMetadata;

/// Why a request was refused for certain.
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

/// The gate.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
    freed: Arc<Notify>,
}

/// A request that was let in; counted until dropped.
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
        self.gate.freed.notify_waiters();
    }
}

impl Gate {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a request in, or says why not.
    pub fn admit(
        &self,
        ask: &RequestMetadata,
        cfg: &AgentCfg,
        force: &ActiveTable,
    ) -> Result<Permit, Refusal> {
        check_row(ask, cfg, force)?;
        let mut state = self.state();
        let running: u32 = state.running.values().sum();
        match () {
            () if state.closed => return Err(Refusal::Leaving),
            () if !state.live.contains(&ask.version) => return Err(Refusal::Version),
            () if u64::from(running) >= cfg.max_running => return Err(Refusal::Busy),
            () => {}
        }
        *state.running.entry(ask.version.clone()).or_default() += 1;
        Ok(Permit {
            gate: self.clone(),
            version: ask.version.clone(),
        })
    }

    /// Refuses all from now on.
    pub fn close(&self) {
        self.state().closed = true;
    }

    /// Sets which versions are live.
    pub fn set_live(&self, live: Set<Version>) {
        self.state().live = live;
    }

    /// Takes a version out; what runs goes on.
    pub fn retire(&self, version: &Version) {
        self.state().live.remove(version);
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.state().running.values().sum()
    }

    /// Waits until no request of a version runs, or of any where none is given; `false` after
    /// `within`.
    pub async fn wait_drained(&self, version: Option<&Version>, within: Duration) -> bool {
        let wait = async {
            loop {
                let freed = self.freed.notified();
                let running = match version {
                    Some(v) => self.state().running.get(v).copied().unwrap_or(0),
                    None => self.running(),
                };
                if running == 0 {
                    return;
                }
                freed.await;
            }
        };
        tokio::time::timeout(within, wait).await.is_ok()
    }
}

/// Holds a request against the agent's own edition of the table.
fn check_row(ask: &RequestMetadata, cfg: &AgentCfg, force: &ActiveTable) -> Result<(), Refusal> {
    let domains = force.domains();
    let view = force.current();
    let own = &cfg.upkeep.domain;
    let row = match view.table.find(&ask.model, &ask.version, own, domains) {
        Some(row) if row.permits(&ask.domain, domains) => row,
        _ if !cfg.check_places => return Ok(()),
        _ => return Err(Refusal::Place),
    };
    match force.may_serve(row) {
        true => Ok(()),
        false => Err(Refusal::Hold),
    }
}

//! Reconciles the engine with the table.
//!
//! The wanted versions follow from the table in force, the loaded ones from the state that the engine reports. A
//! version is live only while the engine reports its exact digest as loaded. A version that is no longer wanted is
//! removed from the gate, drained and then unloaded; a transfer that is no longer wanted is aborted at once.
//!
//! An agent may resume after a pause and send an order although another agent has taken over the VM. The engine
//! refuses such an order by its fencing number; if the engine ignores fencing numbers, the agent reads its state
//! again before each order.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base::{Digest, Incarnation, Map, Set};
use log::{error, info, warn};
use table::Version;
use tokio::task::JoinHandle;
use weights::Manifest;
use wire::Holding;

use crate::Agent;
use crate::engine::{EngineError, EngineState, LoadOrder};
use crate::fetch::fetch;

/// Log prefix of this part.
const PART: &str = "rollout";

/// Interval between attempts of a failed load order.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A version that is being fetched and loaded.
struct Transfer {
    task: JoinHandle<()>,
    permille: Arc<AtomicU64>,
}

/// State of the rollout on one VM.
struct Rollout {
    agent: Arc<Agent>,
    transfers: Map<Digest, Transfer>,
    retiring: Map<Digest, JoinHandle<()>>,
    /// State of the engine; `None` while it can't be read.
    state: Option<EngineState>,
    /// Incarnation of the engine when its state was last read. Kept while the state can't be read, since that is when an
    /// engine restarts.
    incarnation: Option<Incarnation>,
    fence_raised: bool,
}

/// A version that this VM has to run by a row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
struct WantedVersion {
    model: String,
    version: Version,
    priority: u8,
}

/// Reconciles the engine with the table when the table changes, and at the interval `engine_poll`; never returns.
pub async fn run(agent: Arc<Agent>) {
    let mut tables = agent.active_table.subscribe();
    let mut rollout = Rollout {
        transfers: Map::default(),
        retiring: Map::default(),
        state: None,
        incarnation: None,
        fence_raised: false,
        agent,
    };
    loop {
        rollout.reconcile().await;
        let poll = rollout.agent.cfg.engine_poll;
        let _ = tokio::time::timeout(poll, tables.changed()).await;
    }
}

impl Rollout {
    async fn reconcile(&mut self) {
        let wanted = wanted_versions(&self.agent);
        match self.agent.cfg.is_engine() {
            true => self.reconcile_engine(&wanted).await,
            false => self.reconcile_service(&wanted).await,
        }
    }

    /// A plain service has no weights; its rows are live while the upstream accepts connections.
    async fn reconcile_service(&mut self, wanted: &[WantedVersion]) {
        let connected = tokio::net::TcpStream::connect(self.agent.cfg.upstream);
        let connected = tokio::time::timeout(self.agent.cfg.engine_timeout, connected).await;
        let live = match connected {
            Ok(Ok(_)) => wanted.iter().map(|w| w.version.clone()).collect(),
            _ => Set::default(),
        };
        self.publish(wanted, live);
    }

    async fn reconcile_engine(&mut self, wanted: &[WantedVersion]) {
        match self.agent.engine.state().await {
            Ok(state) => self.apply_state(state),
            Err(e) => {
                if self.state.take().is_some() {
                    warn!(target: PART, "{PART}: {e}");
                }
            }
        }
        let digests: Set<Digest> = wanted.iter().filter_map(|w| w.version.digest()).collect();
        self.discard_unwanted(&digests);
        let loaded: Set<Digest> = match &self.state {
            Some(state) if !self.agent.is_superseded() => state.loaded.iter().copied().collect(),
            _ => Set::default(),
        };
        let live = digests
            .intersection(&loaded)
            .filter(|d| !self.retiring.contains_key(*d))
            .map(|d| Version::Weights(*d))
            .collect();
        self.publish(wanted, live);
        if self.state.is_some() && !self.agent.is_superseded() {
            self.start_missing(wanted, &loaded);
            self.retire(&digests, &loaded);
        }
    }

    fn apply_state(&mut self, state: EngineState) {
        let previous = self.incarnation.replace(state.incarnation);
        if previous.is_some_and(|previous| previous != state.incarnation) {
            warn!(target: PART, "{PART}: the engine restarted");
            self.transfers.drain().for_each(|(_, t)| t.task.abort());
        }
        match std::mem::replace(&mut self.fence_raised, true) {
            false => self.agent.raise_fence(state.fence),
            true if state.fence > self.agent.fence() && !self.agent.is_superseded() => {
                error!(target: PART, "{PART}: {}", EngineError::Fenced(state.fence));
                self.agent.mark_superseded();
            }
            true => {}
        }
        self.state = Some(state);
    }

    /// Aborts transfers, and discards chunks and manifests, of versions that are no longer wanted.
    fn discard_unwanted(&mut self, wanted: &Set<Digest>) {
        self.transfers.retain(|version, transfer| {
            let keep = wanted.contains(version) && !transfer.task.is_finished();
            if !keep {
                transfer.task.abort();
            }
            keep
        });
        self.retiring.retain(|_, task| !task.is_finished());
        let mut manifests = self.agent.manifests();
        let before = manifests.len();
        manifests.retain(|version, _| wanted.contains(version));
        if manifests.len() == before {
            return;
        }
        let retained: Set<Digest> = manifests.values().flat_map(|m| m.chunks.clone()).collect();
        drop(manifests);
        self.agent.chunks().retain(|chunk| retained.contains(chunk));
    }

    fn start_missing(&mut self, wanted: &[WantedVersion], loaded: &Set<Digest>) {
        let slots = self.agent.cfg.engine_slots as usize;
        let mut missing: Vec<&WantedVersion> = wanted
            .iter()
            .filter(|w| w.version.digest().is_some_and(|d| !loaded.contains(&d)))
            .collect();
        missing.sort_by_key(|w| std::cmp::Reverse(w.priority));
        for w in missing {
            let Some(version) = w.version.digest() else {
                continue;
            };
            let has_capacity = loaded.len() + self.transfers.len() < slots;
            if self.transfers.contains_key(&version) || !has_capacity {
                continue;
            }
            let permille = Arc::new(AtomicU64::new(0));
            let task = tokio::spawn(fetch_and_load(
                self.agent.clone(),
                version,
                permille.clone(),
            ));
            info!(target: PART, "{PART}: {} {} is wanted; fetching", w.model, version.short());
            self.transfers.insert(version, Transfer { task, permille });
        }
    }

    fn retire(&mut self, wanted: &Set<Digest>, loaded: &Set<Digest>) {
        for version in loaded.difference(wanted) {
            if !self.retiring.contains_key(version) {
                info!(target: PART, "{PART}: {} is no longer wanted; draining and unloading", version.short());
                let task = tokio::spawn(drain_and_unload(self.agent.clone(), *version));
                self.retiring.insert(*version, task);
            }
        }
    }

    /// Updates the gate and the holdings that are sent to the entries.
    fn publish(&self, wanted: &[WantedVersion], live: Set<Version>) {
        let holdings: Vec<Holding> = wanted
            .iter()
            .map(|w| Holding {
                model: w.model.clone(),
                version: w.version.clone(),
                live: live.contains(&w.version),
                permille: self.permille(&w.version, live.contains(&w.version)),
            })
            .collect();
        self.agent.gate.set_live(live);
        self.agent.holdings.send_if_modified(|before| {
            let modified = *before != holdings;
            *before = holdings;
            modified
        });
    }

    /// Returns the progress of a version, in permille.
    fn permille(&self, version: &Version, live: bool) -> u16 {
        let transfer = version.digest().and_then(|d| self.transfers.get(&d));
        match transfer {
            _ if live => 1000,
            Some(t) => t.permille.load(Ordering::Relaxed) as u16,
            None => 0,
        }
    }
}

/// Returns the versions that this VM has to run by the table in force.
fn wanted_versions(agent: &Agent) -> Vec<WantedVersion> {
    let cfg = &agent.cfg;
    let view = agent.active_table.current();
    view.table
        .rows
        .iter()
        .filter(|row| row.permits(&cfg.process.domain, agent.active_table.domains()))
        .filter(|row| cfg.runs(&row.model))
        .filter(|row| cfg.is_engine() == row.version.digest().is_some())
        .map(|row| WantedVersion {
            model: row.model.clone(),
            version: row.version.clone(),
            priority: row.priority,
        })
        .collect()
}

/// Fetches a version and orders the engine to load it.
async fn fetch_and_load(agent: Arc<Agent>, version: Digest, permille: Arc<AtomicU64>) {
    let manifest = fetch(agent.clone(), version, permille).await;
    loop {
        match load(&agent, version, &manifest).await {
            Ok(()) => {
                info!(target: PART, "{PART}: the engine loaded {}", version.short());
                return;
            }
            Err(EngineError::Fenced(seen)) => {
                error!(target: PART, "{PART}: {}", EngineError::Fenced(seen));
                agent.mark_superseded();
                return;
            }
            Err(e) => warn!(target: PART, "{PART}: {} is not loaded: {e}", version.short()),
        }
        tokio::time::sleep(ORDER_RETRY_INTERVAL).await;
        if matches!(agent.engine.state().await, Ok(state) if state.staged.iter().all(|s| s.version != version))
        {
            // The engine lost the staged chunks; the next reconciliation fetches them again.
            return;
        }
    }
}

async fn load(agent: &Agent, version: Digest, manifest: &Manifest) -> Result<(), EngineError> {
    check_fence(agent).await?;
    let order = LoadOrder {
        version,
        manifest: manifest.clone(),
    };
    agent.engine.load(&order, agent.fence()).await
}

/// Checks that no other agent has taken over the VM, by the state of an engine that ignores fencing numbers: it would
/// accept an order of a superseded agent. An engine that honours them refuses such an order by itself.
async fn check_fence(agent: &Agent) -> Result<(), EngineError> {
    if agent.cfg.fencing {
        return Ok(());
    }
    let state = agent.engine.state().await?;
    match state.fence > agent.fence() {
        true => Err(EngineError::Fenced(state.fence)),
        false => Ok(()),
    }
}

/// Removes a version from the gate, waits for its requests to complete, and orders the engine to unload it.
async fn drain_and_unload(agent: Arc<Agent>, version: Digest) {
    let weights = Version::Weights(version);
    agent.gate.retire(&weights);
    if !agent
        .gate
        .wait_drained(Some(&weights), agent.cfg.process.drain_timeout)
        .await
    {
        warn!(target: PART, "{PART}: the drain of {} timed out with requests running", version.short());
    }
    let ordered = match check_fence(&agent).await {
        Ok(()) => agent.engine.unload(version, agent.fence()).await,
        Err(e) => Err(e),
    };
    match ordered {
        Ok(()) => info!(target: PART, "{PART}: the engine unloaded {}", version.short()),
        Err(EngineError::Fenced(_)) => agent.mark_superseded(),
        Err(e) => warn!(target: PART, "{PART}: {} is not unloaded: {e}", version.short()),
    }
}

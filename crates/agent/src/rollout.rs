//! Brings the engine to what the table says.
//!
//! What is wanted follows from the edition in force; what is there follows from the state the
//! engine reports. A version goes live only while the engine reports exactly its digest loaded. A
//! version no longer wanted is taken out of the gate first, drained, and then dropped; a transfer
//! no longer wanted is dropped at once. An order that outlived a pause is refused by the engine by
//! its fencing number; where the engine ignores those, its state is read again before each order.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base::{Digest, Map, Set};
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

/// Pause before a failed order is given again.
const ORDER_PAUSE: Duration = Duration::from_secs(1);

/// A version on its way in.
struct Transfer {
    task: JoinHandle<()>,
    permille: Arc<AtomicU64>,
}

/// What the rollout of one VM keeps.
struct Rollout {
    agent: Arc<Agent>,
    transfers: Map<Digest, Transfer>,
    retiring: Map<Digest, JoinHandle<()>>,
    state: Option<EngineState>,
    fence_raised: bool,
}

/// A row this VM is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Wanted {
    model: String,
    version: Version,
    priority: u8,
}

/// Follows the table and the engine for as long as the process runs.
pub async fn run(agent: Arc<Agent>) {
    let mut views = agent.active_table.subscribe();
    let mut rollout = Rollout {
        transfers: Map::default(),
        retiring: Map::default(),
        state: None,
        fence_raised: false,
        agent,
    };
    loop {
        rollout.step().await;
        let poll = rollout.agent.cfg.engine_poll;
        let _ = tokio::time::timeout(poll, views.changed()).await;
    }
}

impl Rollout {
    async fn step(&mut self) {
        let wanted = wanted(&self.agent);
        match self.agent.cfg.is_engine() {
            true => self.step_engine(&wanted).await,
            false => self.step_service(&wanted).await,
        }
    }

    /// A plain service has no weights; it is live while its VM can be connected to.
    async fn step_service(&mut self, wanted: &[Wanted]) {
        let up = tokio::net::TcpStream::connect(self.agent.cfg.upstream);
        let up = tokio::time::timeout(self.agent.cfg.engine_timeout, up).await;
        let live = match up {
            Ok(Ok(_)) => wanted.iter().map(|w| w.version.clone()).collect(),
            _ => Set::default(),
        };
        self.publish(wanted, live);
    }

    async fn step_engine(&mut self, wanted: &[Wanted]) {
        match self.agent.engine.state().await {
            Ok(state) => self.take_state(state),
            Err(e) => {
                if self.state.take().is_some() {
                    warn!(target: PART, "{PART}: {e}");
                }
            }
        }
        let digests: Set<Digest> = wanted.iter().filter_map(|w| w.version.digest()).collect();
        self.drop_unwanted(&digests);
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

    fn take_state(&mut self, state: EngineState) {
        let before = self.state.as_ref().map(|s| s.incarnation);
        if before.is_some_and(|before| before != state.incarnation) {
            warn!(target: PART, "{PART}: the engine started anew");
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

    /// Drops transfers, chunks and manifests that nobody wants any more.
    fn drop_unwanted(&mut self, wanted: &Set<Digest>) {
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
        let kept: Set<Digest> = manifests.values().flat_map(|m| m.chunks.clone()).collect();
        drop(manifests);
        self.agent.chunks().retain(|chunk| kept.contains(chunk));
    }

    fn start_missing(&mut self, wanted: &[Wanted], loaded: &Set<Digest>) {
        let slots = self.agent.cfg.engine_slots as usize;
        let mut missing: Vec<&Wanted> = wanted
            .iter()
            .filter(|w| w.version.digest().is_some_and(|d| !loaded.contains(&d)))
            .collect();
        missing.sort_by_key(|w| std::cmp::Reverse(w.priority));
        for w in missing {
            let Some(version) = w.version.digest() else {
                continue;
            };
            let room = loaded.len() + self.transfers.len() < slots;
            if self.transfers.contains_key(&version) || !room {
                continue;
            }
            let permille = Arc::new(AtomicU64::new(0));
            let task = tokio::spawn(bring_in(self.agent.clone(), version, permille.clone()));
            info!(target: PART, "{PART}: {} {} is wanted; fetching it", w.model, version.short());
            self.transfers.insert(version, Transfer { task, permille });
        }
    }

    fn retire(&mut self, wanted: &Set<Digest>, loaded: &Set<Digest>) {
        for version in loaded.difference(wanted) {
            if !self.retiring.contains_key(version) {
                info!(target: PART, "{PART}: {} is no longer wanted; dropping it", version.short());
                let task = tokio::spawn(drop_version(self.agent.clone(), *version));
                self.retiring.insert(*version, task);
            }
        }
    }

    /// Sets the gate, and tells the entries.
    fn publish(&self, wanted: &[Wanted], live: Set<Version>) {
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

    fn permille(&self, version: &Version, live: bool) -> u16 {
        let transfer = version.digest().and_then(|d| self.transfers.get(&d));
        match transfer {
            _ if live => 1000,
            Some(t) => t.permille.load(Ordering::Relaxed) as u16,
            None => 0,
        }
    }
}

/// Rows that this VM is to run by the edition in force.
fn wanted(agent: &Agent) -> Vec<Wanted> {
    let cfg = &agent.cfg;
    let view = agent.active_table.current();
    view.table
        .rows
        .iter()
        .filter(|row| row.permits(&cfg.upkeep.domain, agent.active_table.domains()))
        .filter(|row| cfg.runs(&row.model))
        .filter(|row| cfg.is_engine() == row.version.digest().is_some())
        .map(|row| Wanted {
            model: row.model.clone(),
            version: row.version.clone(),
            priority: row.priority,
        })
        .collect()
}

/// Fetches a version and has the engine load it.
async fn bring_in(agent: Arc<Agent>, version: Digest, permille: Arc<AtomicU64>) {
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
        tokio::time::sleep(ORDER_PAUSE).await;
        if matches!(agent.engine.state().await, Ok(state) if state.staged.iter().all(|s| s.version != version))
        {
            // The engine lost what was staged; the next step fetches it anew.
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

/// Reads the state of an engine that ignores fencing numbers just before an order, since it would
/// take one from an agent that has lost the VM. One that honours them refuses by itself.
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

/// Takes a version out of the gate, lets its requests end, and has the engine drop it.
async fn drop_version(agent: Arc<Agent>, version: Digest) {
    let row = Version::Weights(version);
    agent.gate.retire(&row);
    if !agent
        .gate
        .wait_drained(Some(&row), agent.cfg.upkeep.drain_timeout)
        .await
    {
        warn!(target: PART, "{PART}: requests of {} outlasted the drain", version.short());
    }
    let ordered = match check_fence(&agent).await {
        Ok(()) => agent.engine.unload(version, agent.fence()).await,
        Err(e) => Err(e),
    };
    match ordered {
        Ok(()) => info!(target: PART, "{PART}: the engine dropped {}", version.short()),
        Err(EngineError::Fenced(_)) => agent.mark_superseded(),
        Err(e) => warn!(target: PART, "{PART}: {} is not dropped: {e}", version.short()),
    }
}

//! Keeps the engine on the newest released version.

use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, Model, VmId};
use catalog::{Catalog, FIRST_VERSION, WeightsVersion};
use log::{info, warn};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinError, JoinHandle, JoinSet};
use web::{Client, DialOptions};

use crate::Cx;
use crate::api::{ApiError, EngineState, OrderResult, OriginVersion};
use crate::chunk_set::ChunkSet;
use crate::fetch::fetch;
use crate::manifest::manifest;
use crate::order::{stage_and_order, unload_expired};
use crate::peers::{BYTES_PER_MBIT, Scope, announce, loaders};
use crate::precedence::MAX_STALL;
use crate::slot::{PendingVersion, can_skip, last_slot_start, should_complete, slot_start};
use crate::stage::read_back;
use crate::succession::{OlderFetch, Releases, choose_predecessor, takes_older_version};

/// Log prefix of this part.
const PART: &str = "rollout";

/// Interval of checks for the next step.
const TICK: Duration = Duration::from_millis(100);

/// Interval while the engine holds the newest version; changes wake the loop earlier.
const IDLE_TICK: Duration = Duration::from_millis(1000);

/// Shift of an engine's slot that isn't published to gateways.
const PLAN_SLACK: Duration = Duration::from_millis(100);

/// Pause before reading back from an engine is retried.
const READ_BACK_PAUSE: Duration = Duration::from_millis(100);

/// Time for an answered order to take effect before it is repeated. While the engine reports that it carries an order
/// out, it isn't repeated: the engine would take none.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// Fetch of the newest version.
struct CurrentFetch {
    version: WeightsVersion,
    started: Instant,
    task: JoinHandle<()>,
    /// Fetches of older versions that may still be running; aborted when this version can be fetched.
    older: Vec<OlderFetch>,
}

/// What an order is to achieve.
#[derive(Debug, Clone, Copy)]
enum Goal {
    Switch(WeightsVersion),
    Unload(WeightsVersion),
}

impl Goal {
    /// Returns whether an engine that holds a version has carried the order out.
    fn is_achieved(self, held: Option<WeightsVersion>) -> bool {
        match self {
            Goal::Switch(version) => held >= Some(version),
            Goal::Unload(version) => held != Some(version),
        }
    }
}

/// An order that is being given, or that may not have taken effect yet.
#[derive(Debug, Clone)]
struct PendingOrder {
    model: Model,
    goal: Goal,
    /// When it was known to be taken with intact chunks; `None` while the order is being given.
    answered: Option<Instant>,
}

impl PendingOrder {
    /// Returns whether the order may still take effect, given whether the engine carries out an order. One to unload has
    /// taken effect at once, and must not delay a switch.
    fn is_awaited(&self, switching: bool) -> bool {
        let is_recent = |at| clock::since(at) < ORDER_TIMEOUT;
        match (self.answered, self.goal) {
            (None, _) => true,
            (Some(at), Goal::Switch(_)) => switching || is_recent(at),
            (Some(_), Goal::Unload(_)) => switching,
        }
    }
}

/// Rollouts to one engine.
struct Rollout {
    cx: Arc<Cx>,
    client: Client,
    state: watch::Receiver<Option<EngineState>>,
    fetches: Map<Model, CurrentFetch>,
    /// Newest versions whose fetch waits for that of an older one, for the log.
    deferred: Map<Model, WeightsVersion>,
    pending_order: Option<PendingOrder>,
    /// The task that gives the pending order; dropped with the order.
    ordering: JoinSet<Result<OrderResult, ApiError>>,
    /// Last known state of the engine.
    last_state: Option<EngineState>,
    /// Versions that the engine has unloaded since they expired. What it loads next is decided as if it held them.
    unloaded: Map<Model, WeightsVersion>,
    /// When the engine was last ordered to unload a version.
    last_unload: Option<Instant>,
}

/// Rolls out released versions to the engine, until the process ends.
pub(crate) async fn roll_out(cx: Arc<Cx>, state: watch::Receiver<Option<EngineState>>) {
    let client = Client::new(DialOptions::with_timeout(cx.cfg.chunk_timeout));
    let mut known = cx.known.subscribe();
    let mut configured = cx.catalog.clone();
    let mut rollout = Rollout {
        cx,
        client,
        state,
        fetches: Map::default(),
        deferred: Map::default(),
        pending_order: None,
        ordering: JoinSet::new(),
        last_state: None,
        unloaded: Map::default(),
        last_unload: None,
    };
    loop {
        known.borrow_and_update();
        configured.borrow_and_update();
        let catalog = rollout.cx.catalog.borrow().clone();
        if let Some(catalog) = catalog {
            rollout.step(&catalog);
        }
        tokio::select! {
            _ = tokio::time::sleep(rollout.tick()) => {}
            // Puts an engine that has loaded its weights back into service without delay.
            changed = rollout.state.changed() => if changed.is_err() { return },
            changed = known.changed() => if changed.is_err() { return },
            changed = configured.changed() => if changed.is_err() { return },
            Some(ordered) = rollout.ordering.join_next() => rollout.handle_ordered(ordered),
        }
    }
}

impl Rollout {
    fn step(&mut self, catalog: &Catalog) {
        for model in catalog.models(&self.cx.service) {
            let version = self.cx.known.borrow().version(model);
            self.fetch(catalog, model, version);
            self.switch(model);
        }
    }

    /// Returns the time until the next check.
    fn tick(&self) -> Duration {
        let is_fetched = self.fetches.values().all(|f| f.task.is_finished());
        let holds = |(model, current): (&Model, &CurrentFetch)| {
            let state = self.state.borrow();
            let held = state.iter().flat_map(|s| &s.holdings);
            let mut of_model = held.filter(|h| h.model == *model);
            of_model.any(|h| h.version >= Some(current.version))
        };
        match is_fetched && !self.fetches.is_empty() && self.fetches.iter().all(holds) {
            true => IDLE_TICK,
            false => TICK,
        }
    }

    /// Returns when a version became known.
    fn known_since(&self, model: &Model, version: WeightsVersion) -> Option<Instant> {
        let known = self.cx.known.borrow();
        known.since.get(&(model.clone(), version)).copied()
    }

    /// Starts the fetch of a version, beside that of an older one in progress. Without `predict_rollout`, the latter is
    /// completed first, unless it has stalled or the newer version can replace it in time.
    fn fetch(&mut self, catalog: &Catalog, model: &Model, version: WeightsVersion) {
        let mut older = Vec::new();
        if let Some(current) = self.fetches.get(model) {
            let done = current.task.is_finished();
            if current.version >= version {
                return;
            }
            if !(done || self.can_start(model, current, version)) {
                if self.deferred.insert(model.clone(), version) != Some(version) {
                    info!(target: PART, "{PART}: event=deferred model={model} version={version} for={}", current.version);
                }
                return;
            }
            info!(target: PART, "{PART}: event=left version={} done={done} for={version}", current.version);
            older.extend(current.older.iter().cloned());
            older.push(OlderFetch {
                version: current.version,
                task: current.task.abort_handle(),
            });
        }
        let Some(origin) = catalog.origin() else {
            return;
        };
        let origin = OriginVersion {
            origin: origin.addr,
            model: model.clone(),
            version,
        };
        info!(target: PART, "{PART}: event=wanted model={model} version={version}");
        let client = self.client.clone();
        let task = tokio::spawn(fetch_version(
            self.cx.clone(),
            origin,
            client,
            older.clone(),
            self.state.clone(),
        ));
        let current = CurrentFetch {
            version,
            started: clock::now(),
            task,
            older,
        };
        self.fetches.insert(model.clone(), current);
    }

    /// Returns whether the manifest of a newer version is fetched while an older version is in progress. Once it has
    /// arrived, a prediction decides which of competing versions is fetched first.
    fn can_start(&self, model: &Model, older: &CurrentFetch, newer: WeightsVersion) -> bool {
        let competes = Releases::of(&self.cx, model).compete(older.version, newer);
        (self.cx.cfg.predict_rollout && competes)
            || self.can_skip(model, older.version)
            || self.has_stalled(model, older)
    }

    /// Returns whether a fetch has waited for its manifest or for a chunk for a long time.
    fn has_stalled(&self, model: &Model, fetch: &CurrentFetch) -> bool {
        let set = self.cx.sets.get(model, fetch.version);
        let stalled_for = set.map_or_else(|| clock::since(fetch.started), |set| set.stalled_for());
        stalled_for >= MAX_STALL
    }

    /// Returns whether a newer version can be on all engines before the bound of a version that is skipped. Otherwise
    /// engines would hold no version that may start requests for a while.
    fn can_skip(&self, model: &Model, version: WeightsVersion) -> bool {
        let bound = self.cx.cfg.node.version_time;
        let since = self.known_since(model, version);
        since.is_none_or(|at| can_skip(clock::since(at), bound))
    }

    /// Switches the engine to the newest complete version once its slot has come.
    fn switch(&mut self, model: &Model) {
        let Some(state) = self.state.borrow().clone() else {
            return;
        };
        self.detect_restart(&state);
        let loaded = state.holdings.iter().find(|h| h.model == *model);
        let loaded = loaded.and_then(|h| h.version);
        let held = loaded.or_else(|| self.unloaded.get(model).copied());
        let set = self.cx.sets.newest_complete(model);
        let wanted = set.filter(|set| held < Some(set.version));
        let has_expired = held.is_some_and(|held| self.has_expired(model, held));
        let wanted = wanted.filter(|set| held.is_none_or(|held| !self.should_wait(set, held)));
        // An engine that has just switched and is still idle switches to a newer version at once.
        let is_idle = state.running == 0 && self.cx.leaving.load(Ordering::Relaxed);
        let next = wanted.as_ref().map(|set| set.version);
        self.plan(model, held, next);
        match &self.pending_order {
            // An engine that holds the version by now may have loaded corrupt chunks.
            Some(pending) if pending.answered.is_none() => return,
            Some(pending) if pending.model == *model && pending.goal.is_achieved(loaded) => {
                self.ordering = JoinSet::new();
                self.pending_order = None;
                self.cx
                    .leaving
                    .store(wanted.is_some() && is_idle, Ordering::Relaxed);
                self.cx.poll_engine.notify_one();
            }
            Some(pending) if pending.is_awaited(state.switching) => return,
            // The engine takes no order before it has carried out the last one.
            None if state.switching => return,
            _ => {}
        }
        match (wanted, loaded) {
            (Some(set), _)
                if is_idle
                    || loaded.is_none()
                    || has_expired
                    || clock::now() >= self.slot(&set.model, set.version) =>
            {
                self.order(set, loaded.is_some());
            }
            (_, Some(loaded)) if self.should_unload(model, loaded) => self.unload(model, loaded),
            _ => {}
        }
    }

    /// Returns whether the engine should unload a version although no newer one is complete. Gateways have stopped sending
    /// requests to it, but the last ones may still be queued on a slow link, and the engine would begin them.
    fn should_unload(&self, model: &Model, loaded: WeightsVersion) -> bool {
        let was_ordered = |at| clock::since(at) < ORDER_TIMEOUT;
        let was_ordered = self.last_unload.is_some_and(was_ordered);
        !was_ordered && Releases::of(&self.cx, model).should_unload(loaded, clock::now())
    }

    /// Starts to order the engine to unload an expired version.
    fn unload(&mut self, model: &Model, version: WeightsVersion) {
        self.unloaded.insert(model.clone(), version);
        self.last_unload = Some(clock::now());
        self.pending_order = Some(PendingOrder {
            model: model.clone(),
            goal: Goal::Unload(version),
            answered: None,
        });
        self.cx.leaving.store(true, Ordering::Relaxed);
        let (cx, model, engine) = (self.cx.clone(), model.clone(), self.state.clone());
        self.ordering
            .spawn(async move { unload_expired(&cx, model, version, &engine).await });
    }

    /// Drops a pending order if the engine has restarted: the new incarnation hasn't received it, and waiting for its
    /// effect would leave the engine without weights for [`ORDER_TIMEOUT`]. Nothing but a restart or an answer ends an
    /// order that is being given: an engine that is silent may go on.
    fn detect_restart(&mut self, state: &EngineState) {
        let before = self.last_state.replace(state.clone());
        if before.is_some_and(|before| state.is_new_incarnation(&before)) {
            info!(target: PART, "{PART}: event=restarted start_time={:?} orders={} holdings={:?}", state.start_time, state.orders, state.holdings);
            self.ordering = JoinSet::new();
            self.pending_order = None;
            self.unloaded.clear();
            self.last_unload = None;
            self.cx.leaving.store(false, Ordering::Relaxed);
        }
    }

    /// Returns whether a serving engine should wait for a newer version instead of switching to a complete older one.
    fn should_wait_for_newer(&self, older: &ChunkSet, newer: WeightsVersion) -> bool {
        let bound = self.cx.cfg.node.version_time;
        let (Some(since), Some(older_since)) = (
            self.known_since(&older.model, newer),
            self.known_since(&older.model, older.version),
        ) else {
            return false;
        };
        let set = self.cx.sets.get(&older.model, newer);
        let pending = PendingVersion {
            missing: set.as_ref().map_or(older.len(), |s| s.missing()),
            chunk_time: chunk_time(&self.cx, older),
            stalled_for: set.map_or_else(|| clock::since(since), |s| s.stalled_for()),
            since,
        };
        let (needed, expired) = (last_slot_start(older_since, bound), older_since + bound);
        !pending.is_too_late(needed, expired, bound, clock::now())
    }

    /// Returns whether the engine's version may begin no requests any more while newer ones compete. The engine then
    /// loses nothing by leaving service before its slot.
    fn has_expired(&self, model: &Model, held: WeightsVersion) -> bool {
        let releases = Releases::of(&self.cx, model);
        self.cx.cfg.predict_rollout && releases.has_expired(held, clock::now())
    }

    /// Returns whether an engine that serves `held` should wait for a newer version instead of switching to a complete
    /// older one. Once its version may begin no requests any more, that depends on the prediction alone.
    fn should_wait(&self, older: &ChunkSet, held: WeightsVersion) -> bool {
        let newer = self.fetches.get(&older.model).map(|f| f.version);
        let Some(newer) = newer.filter(|version| *version > older.version) else {
            return false;
        };
        let competes = Releases::of(&self.cx, &older.model).compete(older.version, newer);
        let takes = || takes_older_version(&self.cx, held, older, newer);
        match self.cx.cfg.predict_rollout && competes {
            true if self.has_expired(&older.model, held) => !takes(),
            true => self.should_wait_for_newer(older, newer) && !takes(),
            false => self.should_wait_for_newer(older, newer),
        }
    }

    /// Returns the start of the engine's slot for a version.
    fn slot(&self, model: &Model, version: WeightsVersion) -> Instant {
        let others: Vec<VmId> = loaders(&self.cx).into_iter().map(|m| m.vm).collect();
        let since = self.known_since(model, version);
        slot_start(
            &self.cx.cfg.node.vm,
            &others,
            version,
            since.unwrap_or_else(clock::now),
            self.cx.cfg.node.version_time,
        )
    }

    /// Records when a serving engine will leave service for its next version, complete or still being fetched, so that
    /// gateways are notified beforehand.
    fn plan(&self, model: &Model, held: Option<WeightsVersion>, next: Option<WeightsVersion>) {
        let upcoming = self.fetches.get(model).map(|f| f.version);
        let upcoming = next.or(upcoming);
        let upcoming = upcoming.filter(|version| held.is_some_and(|held| held < *version));
        let slot = upcoming.map(|version| self.slot(model, version));
        let mut leaves_at = self
            .cx
            .leaves_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // Slots shift slightly as loaders join and leave, which isn't published.
        let same =
            |at: Instant, slot: Instant| at.max(slot).duration_since(at.min(slot)) < PLAN_SLACK;
        *leaves_at = match (*leaves_at, slot) {
            (Some(at), Some(slot)) if same(at, slot) => Some(at),
            (_, slot) => slot,
        };
    }

    /// Starts to stage a version and to order the engine to switch to it, with notice to gateways if the engine `serves`.
    fn order(&mut self, set: Arc<ChunkSet>, serves: bool) {
        self.pending_order = Some(PendingOrder {
            model: set.model.clone(),
            goal: Goal::Switch(set.version),
            answered: None,
        });
        self.cx.leaving.store(true, Ordering::Relaxed);
        self.cx.poll_engine.notify_one();
        let (cx, engine) = (self.cx.clone(), self.state.clone());
        self.ordering
            .spawn(async move { stage_and_order(&cx, &set, serves, &engine).await });
    }

    /// Handles the end of the task that gave the pending order.
    fn handle_ordered(&mut self, ordered: Result<Result<OrderResult, ApiError>, JoinError>) {
        let Some(pending) = &mut self.pending_order else {
            return;
        };
        let goal = pending.goal;
        match ordered {
            Ok(Ok(OrderResult::Taken)) => {
                pending.answered = Some(clock::now());
                return;
            }
            Ok(Ok(OrderResult::Conflict(status))) => {
                warn!(target: PART, "{PART}: event=order_conflict goal={goal:?} status={status}");
            }
            Ok(Err(e)) => {
                warn!(target: PART, "{PART}: event=order_failed goal={goal:?} why=\"{e}\"");
            }
            Err(e) => {
                warn!(target: PART, "{PART}: event=order_failed goal={goal:?} why=\"{e}\"");
            }
        }
        self.pending_order = None;
        self.cx.leaving.store(false, Ordering::Relaxed);
        self.cx.poll_engine.notify_one();
    }
}

/// Fetches a version: reads back chunks that are staged at the engine and fetches the others meanwhile. Once the manifest
/// has arrived, it is decided which older versions in progress are completed first; the others are aborted. Fetches of
/// older versions that don't compete are aborted then too or, if they are almost complete, once this version is
/// complete: while the origin is unreachable, other loaders may still provide them, but not this version.
async fn fetch_version(
    cx: Arc<Cx>,
    origin: OriginVersion,
    client: Client,
    older: Vec<OlderFetch>,
    state: watch::Receiver<Option<EngineState>>,
) {
    let manifest = manifest(&cx, &origin, &client).await;
    let releases = Releases::of(&cx, &origin.model);
    let competes = |older: &OlderFetch| {
        cx.cfg.predict_rollout && releases.compete(older.version, origin.version)
    };
    let (competing, others): (Vec<_>, Vec<_>) = older.into_iter().partition(competes);
    let mut remaining = abort_older(&cx, &origin.model, others);
    let set = ChunkSet::new(origin.model.clone(), origin.version, manifest);
    let set = cx.sets.add(set);
    let has_competitors = competing.iter().any(|older| {
        !older.task.is_finished() || releases.follows_within_bound(older.version, origin.version)
    });
    let succession = choose_predecessor(&cx, &set, competing, &state);
    remaining.extend(succession.remaining);
    // Aborts the read-back when this task ends.
    let mut read_back_task = JoinSet::new();
    match origin.version == FIRST_VERSION || cx.sets.newest_complete(&origin.model).is_none() {
        true => {
            read_back_task.spawn(read_back_when_up(cx.clone(), set.clone()));
        }
        false => set.set_read_back(),
    }
    fetch(
        cx,
        set,
        origin,
        client,
        has_competitors,
        succession.predecessor,
    )
    .await;
    remaining.iter().for_each(AbortHandle::abort);
}

/// Reads back the chunks staged at the engine as soon as it can be reached.
async fn read_back_when_up(cx: Arc<Cx>, set: Arc<ChunkSet>) {
    let started = clock::now();
    let mut last_error = None;
    loop {
        match read_back(&cx, &set).await {
            Ok(found) => {
                info!(target: PART, "{PART}: event=read_back version={} chunks={found} took={:?}", set.version, clock::since(started));
                set.set_read_back();
                announce(&cx, &set, false, Scope::NearAndSample);
                return;
            }
            Err(e) => {
                let why = e.to_string();
                if last_error.as_ref() != Some(&why) {
                    warn!(target: PART, "{PART}: event=read_back_failed version={} why=\"{why}\"", set.version);
                    last_error = Some(why);
                }
                tokio::time::sleep(READ_BACK_PAUSE).await;
            }
        }
    }
}

/// Aborts fetches of older versions except those that are almost complete; returns the handles of the latter.
fn abort_older(cx: &Cx, model: &Model, older: Vec<OlderFetch>) -> Vec<AbortHandle> {
    let mut running = Vec::new();
    for OlderFetch { version, task } in older {
        let set = cx.sets.get(model, version);
        let set = set.filter(|set| !set.is_unobtainable());
        let available = set.map_or(0.0, |set| set.available_fraction());
        let should_keep = should_complete(available);
        info!(target: PART, "{PART}: event=older version={version} obtainable={available:.2} kept={should_keep}");
        match should_keep {
            true => running.push(task),
            false => task.abort(),
        }
    }
    running
}

/// Returns the time in which the VM's link carries a chunk of a set.
fn chunk_time(cx: &Cx, set: &ChunkSet) -> Duration {
    let bytes = set.get(0).map_or(0, |chunk| chunk.len());
    let rate = cx.cfg.link_mbps * BYTES_PER_MBIT;
    Duration::from_secs_f64(bytes as f64 / rate.max(1.0))
}

//! Keeps the engine on the newest version that was released.

use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, Model, VmId};
use catalog::{Catalog, FIRST_VERSION, WeightsVersion};
use log::{info, warn};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle, JoinSet};
use web::{Client, Dial};

use crate::Cx;
use crate::api::{ApiError, EngineState, OrderResult, OriginVersion, SwitchOrder};
use crate::fetch::fetch;
use crate::manifest::manifest;
use crate::peers::{BYTES_PER_MBIT, Reach, announce, loaders};
use crate::sets::Set;
use crate::stage::{lay_out, read_again, read_back};
use crate::turn::{Coming, begins, can_skip, is_kept, last_turn};

/// Log prefix of this part.
const PART: &str = "rollout";

/// Time between two looks at what is to be done.
const TICK: Duration = Duration::from_millis(100);

/// The same while nothing is: the engine holds the newest version, and whatever changes that is told of.
const SETTLED_TICK: Duration = Duration::from_millis(1000);

/// Time between telling gateways that the engine leaves service and the order, in which the chunks are
/// laid out too. Requests that have not begun by then wait until the engine has the new weights, or,
/// should it freeze, begin on the old ones when it wakes. It costs nothing: the engine ends what runs
/// all the while, which takes longer.
const LEAVE_NOTICE: Duration = Duration::from_millis(200);

/// Change of an engine's turn that gateways aren't told.
const PLAN_SLACK: Duration = Duration::from_millis(100);

/// Pause before an engine is asked again for what lies there.
const READ_BACK_PAUSE: Duration = Duration::from_millis(100);

/// Time given to an order's effect before it is given again.
const ORDER_TIME: Duration = Duration::from_secs(4);

/// A version that is being brought.
struct Fetching {
    version: WeightsVersion,
    task: JoinHandle<()>,
    /// Older versions that may still be on their way; given up when this one can be brought.
    older: Vec<Older>,
}

/// An older version that may still be on its way.
#[derive(Debug, Clone)]
struct Older {
    version: WeightsVersion,
    task: AbortHandle,
}

/// An order that was given.
#[derive(Debug, Clone, Copy)]
struct Ordered {
    version: WeightsVersion,
    at: Instant,
}

/// What one engine is kept on.
struct Keeper {
    cx: Arc<Cx>,
    client: Client,
    state: watch::Receiver<Option<EngineState>>,
    fetching: Map<Model, Fetching>,
    ordered: Option<Ordered>,
    /// State that the engine was last seen in.
    seen: Option<EngineState>,
}

/// Keeps the engine on what is released, until the process ends.
pub(crate) async fn keep(cx: Arc<Cx>, state: watch::Receiver<Option<EngineState>>) {
    let client = Client::new(Dial::within(cx.cfg.chunk_timeout));
    let mut known = cx.known.subscribe();
    let mut configured = cx.catalog.clone();
    let mut keeper = Keeper {
        cx,
        client,
        state,
        fetching: Map::default(),
        ordered: None,
        seen: None,
    };
    loop {
        known.borrow_and_update();
        configured.borrow_and_update();
        let catalog = keeper.cx.catalog.borrow().clone();
        if let Some(catalog) = catalog {
            keeper.step(&catalog).await;
        }
        tokio::select! {
            _ = tokio::time::sleep(keeper.tick()) => {}
            // An engine that has taken its weights is back in service at once.
            changed = keeper.state.changed() => if changed.is_err() { return },
            changed = known.changed() => if changed.is_err() { return },
            changed = configured.changed() => if changed.is_err() { return },
        }
    }
}

impl Keeper {
    async fn step(&mut self, catalog: &Catalog) {
        for model in catalog.models(&self.cx.service) {
            let version = self.cx.known.borrow().version(model);
            self.fetch(catalog, model, version);
            self.switch(model).await;
        }
    }

    /// Time until the next look.
    fn tick(&self) -> Duration {
        let brought = self.fetching.values().all(|f| f.task.is_finished());
        let holds = |(model, fetching): (&Model, &Fetching)| {
            let state = self.state.borrow();
            let held = state.iter().flat_map(|s| &s.holdings);
            let mut of_model = held.filter(|h| h.model == *model);
            of_model.any(|h| h.version >= Some(fetching.version))
        };
        match brought && !self.fetching.is_empty() && self.fetching.iter().all(holds) {
            true => SETTLED_TICK,
            false => TICK,
        }
    }

    /// When a version became known.
    fn since(&self, model: &Model, version: WeightsVersion) -> Option<Instant> {
        let known = self.cx.known.borrow();
        known.since.get(&(model.clone(), version)).copied()
    }

    /// Begins to bring a version. One that is on its way already is brought to its end first, unless
    /// the newer one can replace it in time.
    fn fetch(&mut self, catalog: &Catalog, model: &Model, version: WeightsVersion) {
        let mut older = Vec::new();
        if let Some(current) = self.fetching.get(model) {
            let done = current.task.is_finished();
            if current.version >= version || !(done || self.can_skip(model, current.version)) {
                return;
            }
            info!(target: PART, "{PART}: event=left version={} done={done} for={version}", current.version);
            older.extend(current.older.iter().cloned());
            older.push(Older {
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
        let task = tokio::spawn(bring(self.cx.clone(), origin, client, older.clone()));
        let fetching = Fetching {
            version,
            task,
            older,
        };
        self.fetching.insert(model.clone(), fetching);
    }

    /// Whether a newer version can be everywhere before the bound of one that is left out. Without
    /// that, engines would hold nothing that may begin requests for a while.
    fn can_skip(&self, model: &Model, version: WeightsVersion) -> bool {
        let bound = self.cx.cfg.node.version_time;
        let since = self.since(model, version);
        since.is_none_or(|at| can_skip(clock::since(at), bound))
    }

    /// Has the engine take the newest version that is here whole, when its turn has come.
    async fn switch(&mut self, model: &Model) {
        let Some(state) = self.state.borrow().clone() else {
            return;
        };
        self.see(&state);
        let held = state.holdings.iter().find(|h| h.model == *model);
        let held = held.and_then(|h| h.version);
        let set = self.cx.sets.newest_whole(model);
        let wanted = set.filter(|set| held < Some(set.version));
        let wanted = wanted.filter(|set| held.is_none() || !self.waits_for_newer(set));
        // An engine that has just taken a version and stands idle takes a newer one at once.
        let idle = state.running == 0 && self.cx.leaving.load(Ordering::Relaxed);
        let next = wanted.as_ref().map(|set| set.version);
        self.plan(model, held, next);
        match self.ordered {
            Some(ordered) if held >= Some(ordered.version) => {
                self.ordered = None;
                self.cx
                    .leaving
                    .store(wanted.is_some() && idle, Ordering::Relaxed);
                self.cx.look.notify_one();
            }
            Some(ordered) if clock::since(ordered.at) < ORDER_TIME => return,
            _ => {}
        }
        match wanted {
            Some(set)
                if idle || held.is_none() || clock::now() >= self.turn(&set.model, set.version) =>
            {
                self.order(&set, held.is_some()).await;
            }
            _ => {}
        }
    }

    /// Forgets the order of an engine's former life: one that started again has not taken it, and waiting for
    /// its effect would leave it without weights for [`ORDER_TIME`].
    fn see(&mut self, state: &EngineState) {
        let before = self.seen.replace(state.clone());
        if before.is_some_and(|before| state.is_new_incarnation(&before)) {
            info!(target: PART, "{PART}: event=started_again born={:?} orders={} holdings={:?}", state.start_time, state.orders, state.holdings);
            self.ordered = None;
            self.cx.leaving.store(false, Ordering::Relaxed);
        }
    }

    /// Whether an engine that serves had better wait for a newer version than one that is here whole.
    fn waits_for_newer(&self, older: &Set) -> bool {
        let newer = self.fetching.get(&older.model).map(|f| f.version);
        let Some(newer) = newer.filter(|version| *version > older.version) else {
            return false;
        };
        let bound = self.cx.cfg.node.version_time;
        let (Some(since), Some(older_since)) = (
            self.since(&older.model, newer),
            self.since(&older.model, older.version),
        ) else {
            return false;
        };
        let set = self.cx.sets.get(&older.model, newer);
        let coming = Coming {
            missing: set.as_ref().map_or(older.len(), |s| s.missing()),
            chunk_time: chunk_time(&self.cx, older),
            stood_still: set.map_or_else(|| clock::since(since), |s| s.stood_still()),
            since,
        };
        let (needed, over) = (last_turn(older_since, bound), older_since + bound);
        !coming.is_too_late(needed, over, bound, clock::now())
    }

    fn turn(&self, model: &Model, version: WeightsVersion) -> Instant {
        let others: Vec<VmId> = loaders(&self.cx).into_iter().map(|m| m.vm).collect();
        let since = self.since(model, version);
        begins(
            &self.cx.cfg.node.vm,
            &others,
            version,
            since.unwrap_or_else(clock::now),
            self.cx.cfg.node.version_time,
        )
    }

    /// Notes when an engine that serves is to leave service for the version that it takes next, or that
    /// is being brought, so that gateways are told before.
    fn plan(&self, model: &Model, held: Option<WeightsVersion>, next: Option<WeightsVersion>) {
        let coming = self.fetching.get(model).map(|f| f.version);
        let coming = next.or(coming);
        let coming = coming.filter(|version| held.is_some_and(|held| held < *version));
        let turn = coming.map(|version| self.turn(model, version));
        let mut leaves_at = self
            .cx
            .leaves_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // Turns move by a little as loaders come and go; that is no news.
        let same =
            |at: Instant, turn: Instant| at.max(turn).duration_since(at.min(turn)) < PLAN_SLACK;
        *leaves_at = match (*leaves_at, turn) {
            (Some(at), Some(turn)) if same(at, turn) => Some(at),
            (_, turn) => turn,
        };
    }

    /// Lays a version out and has the engine take it; one that `serves` gets notice.
    async fn order(&mut self, set: &Set, serves: bool) {
        let version = set.version;
        self.ordered = Some(Ordered {
            version,
            at: clock::now(),
        });
        match self.give(set, serves).await {
            Ok(OrderResult::Taken) => return,
            Ok(OrderResult::Conflict(status)) => {
                warn!(target: PART, "{PART}: event=order_conflict version={version} status={status}");
            }
            Err(e) => {
                warn!(target: PART, "{PART}: event=order_failed version={version} why=\"{e}\"");
            }
        }
        self.ordered = None;
        self.cx.leaving.store(false, Ordering::Relaxed);
        self.cx.look.notify_one();
    }

    async fn give(&self, set: &Set, serves: bool) -> Result<OrderResult, ApiError> {
        self.cx.leaving.store(true, Ordering::Relaxed);
        self.cx.look.notify_one();
        let notice = match serves {
            true => LEAVE_NOTICE,
            false => Duration::ZERO,
        };
        let (_, laid_out) = tokio::join!(tokio::time::sleep(notice), lay_out(&self.cx, set));
        laid_out?;
        read_again(&self.cx, set).await?;
        let state = (self.cx.api.state)(()).await?;
        let start = SwitchOrder {
            model: set.model.clone(),
            version: set.version,
            orders: state.orders,
        };
        let started = (self.cx.api.start)(start).await?;
        info!(target: PART, "{PART}: event=ordered model={} version={} orders={} result={started:?}", set.model, set.version, state.orders);
        self.cx.look.notify_one();
        Ok(started)
    }
}

/// Brings a version: what lies at the engine, and beside it the rest from others. Older versions that are
/// on their way are given up once its manifest is here, or, where they are nearly here, once it is whole:
/// while the origin is away they may still come from other loaders, and this one can't.
async fn bring(cx: Arc<Cx>, origin: OriginVersion, client: Client, older: Vec<Older>) {
    let manifest = manifest(&cx, &origin, &client).await;
    let kept = give_up(&cx, &origin.model, older);
    let set = Set::new(origin.model.clone(), origin.version, manifest);
    let set = cx.sets.add(set);
    // Ends with this task.
    let mut reading = JoinSet::new();
    match origin.version == FIRST_VERSION || cx.sets.newest_whole(&origin.model).is_none() {
        true => {
            reading.spawn(read_back_when_up(cx.clone(), set.clone()));
        }
        false => set.set_read_back(),
    }
    fetch(cx, set, origin, client).await;
    kept.iter().for_each(AbortHandle::abort);
}

/// Reads back what lies at the engine, as soon as it can be reached.
async fn read_back_when_up(cx: Arc<Cx>, set: Arc<Set>) {
    let begun = clock::now();
    let mut failed = None;
    loop {
        match read_back(&cx, &set).await {
            Ok(found) => {
                info!(target: PART, "{PART}: event=read_back version={} chunks={found} took={:?}", set.version, clock::since(begun));
                set.set_read_back();
                announce(&cx, &set, false, Reach::NearAndSome);
                return;
            }
            Err(e) => {
                let why = e.to_string();
                if failed.as_ref() != Some(&why) {
                    warn!(target: PART, "{PART}: event=read_back_failed version={} why=\"{why}\"", set.version);
                    failed = Some(why);
                }
                tokio::time::sleep(READ_BACK_PAUSE).await;
            }
        }
    }
}

/// Stops bringing older versions, but for those that are nearly here; returns what still brings these.
fn give_up(cx: &Cx, model: &Model, older: Vec<Older>) -> Vec<AbortHandle> {
    let mut brings = Vec::new();
    for Older { version, task } in older {
        let set = cx.sets.get(model, version);
        let obtainable = set.map_or(0.0, |set| set.obtainable());
        let kept = is_kept(obtainable);
        info!(target: PART, "{PART}: event=older version={version} obtainable={obtainable:.2} kept={kept}");
        match kept {
            true => brings.push(task),
            false => task.abort(),
        }
    }
    brings
}

/// Time in which the VM's link carries a chunk of a set.
fn chunk_time(cx: &Cx, set: &Set) -> Duration {
    let bytes = set.get(0).map_or(0, |chunk| chunk.len());
    let rate = cx.cfg.link_mbps * BYTES_PER_MBIT;
    Duration::from_secs_f64(bytes as f64 / rate.max(1.0))
}

//! Engine that switches at once and may be interrupted.
//!
//! Time passes by advancing the clock, as if both the loader and the engine had been suspended or one had waited for the
//! other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Map;
use beacon::Holding;
use bytes::Bytes;
use catalog::WeightsVersion;
use loader::api::{
    ApiError, Call, EngineState, OrderResult, StagedChunk, SwitchOrder, UnloadOrder,
};
use loader::pace::Pace;

use super::{CHUNKS, MODEL, Shared, content, lock};

/// Time for which a chunk may have been corrupt when it is loaded.
const TOLERATED_CORRUPTION: Duration = Duration::from_secs(3);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens during a call.
#[derive(Debug, Clone)]
pub enum Interruption {
    /// The loader is suspended.
    SuspendLoader(Duration),
    /// The engine answers nothing; what it receives meanwhile is carried out when it resumes.
    SuspendEngine(Duration),
    /// A staged chunk becomes corrupt.
    Corrupt(usize),
}

/// When an interruption happens: before or after the engine carries out a call, counted from the first chunk that is
/// staged. Queries of the state don't count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Before(usize),
    After(usize),
}

type Deferred = Box<dyn FnOnce(&mut EngineStandIn) + Send>;

/// Engine that switches at once.
#[derive(Default)]
pub struct EngineStandIn {
    pub staged: Map<usize, Bytes>,
    /// Loaded version; 0 if there is none.
    pub version: WeightsVersion,
    /// Versions that it was ordered to switch to.
    pub orders: Vec<WeightsVersion>,
    /// Whether the chunks were intact, for each load.
    pub loads: Vec<bool>,
    /// Time that it takes to read a chunk back.
    pub read_time: Duration,
    pub interruptions: Vec<(Step, Interruption)>,
    /// Whether it refuses to unload a version.
    pub refuses_unload: bool,
    /// Number of refused orders to unload.
    pub refused_unloads: usize,
    orders_accepted: u64,
    calls: usize,
    corrupt_since: Map<usize, Instant>,
    suspended_until: Option<Instant>,
    deferred: Vec<Deferred>,
}

impl EngineStandIn {
    pub fn with_version(version: WeightsVersion) -> EngineStandIn {
        EngineStandIn {
            version,
            ..EngineStandIn::default()
        }
    }

    /// Returns the state, in which the number of queued requests is that of loads.
    pub fn state(&mut self, (): ()) -> Result<EngineState, ApiError> {
        Ok(EngineState {
            switching: false,
            orders: self.orders_accepted,
            holdings: vec![Holding {
                model: MODEL.to_owned(),
                version: Some(self.version).filter(|version| *version > 0),
            }],
            running: 0,
            queued: self.loads.len() as u32,
            start_time: Some(1),
            pace: Pace::NORMAL,
        })
    }

    pub fn put(&mut self, chunk: StagedChunk) -> Result<(), ApiError> {
        self.corrupt_since.remove(&chunk.chunk);
        self.staged.insert(chunk.chunk, chunk.buf);
        Ok(())
    }

    pub fn get(&mut self, (_, i): (String, usize)) -> Result<Option<Bytes>, ApiError> {
        Ok(self.staged.get(&i).cloned())
    }

    pub fn start(&mut self, order: SwitchOrder) -> Result<OrderResult, ApiError> {
        match self.version == order.version {
            true => return Ok(OrderResult::Taken),
            false if order.orders != self.orders_accepted => return Ok(OrderResult::Conflict(409)),
            false => {}
        }
        let is_intact = |i| self.is_intact(order.version, i);
        let is_intact = (0..CHUNKS).all(is_intact);
        self.loads.push(is_intact);
        self.orders.push(order.version);
        self.orders_accepted += 1;
        self.version = order.version;
        Ok(OrderResult::Taken)
    }

    pub fn unload(&mut self, order: UnloadOrder) -> Result<OrderResult, ApiError> {
        if order.orders != self.orders_accepted || self.refuses_unload {
            self.refused_unloads += 1;
            return Ok(OrderResult::Conflict(409));
        }
        self.orders_accepted += 1;
        self.version = 0;
        Ok(OrderResult::Taken)
    }

    /// Returns whether a staged chunk belongs to a version, or did until recently.
    fn is_intact(&self, version: WeightsVersion, i: usize) -> bool {
        let tolerated = |at: &Instant| clock::since(*at) <= TOLERATED_CORRUPTION;
        self.staged.get(&i) == Some(&content(version, i))
            || self.corrupt_since.get(&i).is_some_and(tolerated)
    }

    fn is_suspended(&self) -> bool {
        self.suspended_until.is_some_and(|at| clock::now() < at)
    }

    /// Carries out the calls that were received while the engine was suspended.
    fn catch_up(&mut self) {
        for call in std::mem::take(&mut self.deferred) {
            call(self);
        }
    }

    fn interrupt(&mut self, step: Step) {
        let (due, later) = std::mem::take(&mut self.interruptions)
            .into_iter()
            .partition(|(at, _)| *at == step);
        self.interruptions = later;
        let due: Vec<(Step, Interruption)> = due;
        for (_, interruption) in due {
            match interruption {
                Interruption::SuspendLoader(time) => clock::jump(time),
                Interruption::SuspendEngine(time) => {
                    self.suspended_until = Some(clock::now() + time);
                }
                Interruption::Corrupt(i) => {
                    if let Some(buf) = self.staged.get_mut(&i) {
                        *buf = Bytes::from_static(b"corrupt");
                        self.corrupt_since.entry(i).or_insert_with(clock::now);
                    }
                }
            }
        }
    }

    fn unanswered<R>(&self) -> Result<R, ApiError> {
        clock::jump(CALL_TIMEOUT);
        Err(ApiError::Unanswered("suspended".to_owned()))
    }
}

fn ready<A: Send + 'static, R: Send + 'static>(
    engine: &Shared<EngineStandIn>,
    f: impl Fn(&mut EngineStandIn, A) -> Result<R, ApiError> + Send + Sync + 'static,
) -> Call<A, R> {
    let engine = engine.clone();
    Arc::new(move |arg| {
        let result = f(&mut lock(&engine), arg);
        Box::pin(async move { result })
    })
}

/// Returns a call that isn't counted.
pub fn call<A: Send + 'static, R: Send + 'static>(
    engine: &Shared<EngineStandIn>,
    f: impl Fn(&mut EngineStandIn, A) -> Result<R, ApiError> + Send + Sync + 'static,
) -> Call<A, R> {
    ready(engine, move |engine, arg| match engine.is_suspended() {
        true => engine.unanswered(),
        false => {
            engine.catch_up();
            f(engine, arg)
        }
    })
}

/// Returns a call during which interruptions may happen.
pub fn step<A: Clone + Send + 'static, R: Send + 'static>(
    engine: &Shared<EngineStandIn>,
    f: impl Fn(&mut EngineStandIn, A) -> Result<R, ApiError> + Copy + Send + Sync + 'static,
) -> Call<A, R> {
    ready(engine, move |engine, arg: A| {
        if engine.calls == 0 && engine.staged.is_empty() && !is_put::<A>() {
            return f(engine, arg);
        }
        let n = engine.calls;
        engine.calls += 1;
        engine.interrupt(Step::Before(n));
        if engine.is_suspended() {
            engine.deferred.push(Box::new(move |engine| {
                let _answer = f(engine, arg);
            }));
            return engine.unanswered();
        }
        engine.catch_up();
        let result = f(engine, arg);
        engine.interrupt(Step::After(n));
        match engine.is_suspended() {
            true => engine.unanswered(),
            false => result,
        }
    })
}

/// Returns whether a call stages a chunk.
fn is_put<A: 'static>() -> bool {
    std::any::TypeId::of::<A>() == std::any::TypeId::of::<StagedChunk>()
}

/// Returns a call like [`step`] that takes [`EngineStandIn::read_time`].
pub fn slow_step<A: Clone + Send + 'static, R: Send + 'static>(
    engine: &Shared<EngineStandIn>,
    f: impl Fn(&mut EngineStandIn, A) -> Result<R, ApiError> + Copy + Send + Sync + 'static,
) -> Call<A, R> {
    let (engine, step) = (engine.clone(), step(engine, f));
    Arc::new(move |arg| {
        let time = lock(&engine).read_time;
        let answer = step(arg);
        Box::pin(async move {
            tokio::time::sleep(time).await;
            answer.await
        })
    })
}

//! Orders the engine to switch to staged chunks, or to unload a version.
//!
//! The engine loads whatever is staged when it takes the order, without a check, and serves it until the next version.
//! Chunks may become corrupt at any time, so an order is given only shortly after all of them were read back. Both the
//! loader and the engine may be suspended between any two steps, and an unanswered order may be taken seconds later. Where
//! too long a time has passed until the answer, the chunks are therefore read back again before the engine returns to
//! service. If one of them is corrupt by then, the engine may have loaded it; it takes no second order for a version that
//! it holds, so the version is unloaded first.
//!
//! A version that may begin no requests any more is unloaded too, although no newer one is complete: the engine would
//! begin requests that arrive late.

use std::time::Duration;

use base::Model;
use catalog::WeightsVersion;
use log::{info, warn};

use crate::Cx;
use crate::api::{ApiError, EngineState, OrderResult, SwitchOrder, UnloadOrder};
use crate::chunk_set::ChunkSet;
use crate::stage::{
    EngineWatch, REPEAT_PAUSE, UnansweredCalls, Verification, read_all, stage, until_answered,
    verify,
};

/// Log prefix of this part.
const PART: &str = "order";

/// Time from publishing that the engine leaves service to the switch order; chunks are staged meanwhile. Requests that
/// haven't started by then wait until the engine has the new weights or, if it freezes, start on the old ones when
/// it resumes. The notice doesn't delay the switch, since the engine completes running requests meanwhile, which
/// takes longer.
const LEAVE_NOTICE: Duration = Duration::from_millis(200);

/// Maximum age of the verification when an order is given.
const MAX_ORDER_AGE: Duration = Duration::from_secs(2);

/// Maximum age of the verification when the order is answered. A chunk that has been corrupt for less than this when the
/// engine loads it counts as intact.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(3);

/// Maximum number of verifications before an order is given by an older one and confirmed afterwards. An engine whose
/// chunks can't be read in time would never get the version otherwise.
const MAX_VERIFICATIONS: usize = 3;

/// Interval of checks for whether the engine has carried out an order.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Pause before an order to unload is repeated that the engine has refused.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// An order that the engine has answered.
struct AnsweredOrder {
    result: OrderResult,
    /// Whether a call went unanswered, so that it isn't known when the order was taken.
    in_doubt: bool,
    /// Chunks that were corrupt after the first call, and may have been so when the order was taken.
    replaced: usize,
}

/// Stages a version and orders the engine to switch to it, with notice to gateways if the engine `serves`. Once this has
/// returned [`OrderResult::Taken`], the chunks that the engine has loaded are intact.
pub(crate) async fn stage_and_order(
    cx: &Cx,
    set: &ChunkSet,
    serves: bool,
    engine: &EngineWatch,
) -> Result<OrderResult, ApiError> {
    let notice = match serves {
        true => LEAVE_NOTICE,
        false => Duration::ZERO,
    };
    let (_, staged) = tokio::join!(tokio::time::sleep(notice), stage(cx, set, engine));
    staged?;
    let mut verification = Verification::new(set.len());
    let answered = give(cx, set, engine, &mut verification).await?;
    let AnsweredOrder {
        result,
        in_doubt,
        replaced,
    } = answered;
    let now = clock::now();
    info!(target: PART, "{PART}: event=ordered model={} version={} result={result:?} in_doubt={in_doubt} verified={:?}", set.model, set.version, verification.age(now));
    cx.poll_engine.notify_one();
    let is_recent = !in_doubt && verification.is_within(MAX_ANSWER_AGE, now);
    if result == OrderResult::Taken && !is_recent {
        confirm(cx, set, engine, replaced).await?;
    }
    Ok(result)
}

/// Gives an order by a recent verification. An unanswered one is repeated unchanged unless it turns out to have been
/// taken; if both calls arrive, the engine has accepted more orders than the second one expects and refuses it.
async fn give(
    cx: &Cx,
    set: &ChunkSet,
    engine: &EngineWatch,
    verification: &mut Verification,
) -> Result<AnsweredOrder, ApiError> {
    let mut given: Option<SwitchOrder> = None;
    let mut replaced_before = 0;
    let mut unanswered = UnansweredCalls::default();
    loop {
        let state = verified_state(cx, set, engine, verification).await?;
        let in_doubt = given.is_some();
        if !in_doubt {
            replaced_before = verification.replaced();
        }
        let answered = |result| AnsweredOrder {
            result,
            in_doubt,
            replaced: verification.replaced() - replaced_before,
        };
        let order = match given.take() {
            Some(order) if state.orders > order.orders => return Ok(answered(OrderResult::Taken)),
            Some(order) => order,
            None => SwitchOrder {
                model: set.model.clone(),
                version: set.version,
                orders: state.orders,
            },
        };
        let why = match (cx.api.start)(order.clone()).await {
            Err(ApiError::Unanswered(why)) => why,
            Ok(OrderResult::Conflict(_)) if in_doubt => return Ok(answered(OrderResult::Taken)),
            result => return Ok(answered(result?)),
        };
        info!(target: PART, "{PART}: event=order_unanswered version={} why=\"{why}\"", set.version);
        given = Some(order);
        if unanswered.record(engine) {
            return Err(ApiError::Unanswered(why));
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}

/// Verifies the staged chunks and returns the engine's state, until both took place within [`MAX_ORDER_AGE`].
async fn verified_state(
    cx: &Cx,
    set: &ChunkSet,
    engine: &EngineWatch,
    verification: &mut Verification,
) -> Result<EngineState, ApiError> {
    let mut verifications = 0;
    loop {
        verify(cx, set, engine, verification).await?;
        verifications += 1;
        let state = until_answered(engine, || (cx.api.state)(())).await?;
        let now = clock::now();
        if verification.is_within(MAX_ORDER_AGE, now) || verifications >= MAX_VERIFICATIONS {
            return Ok(state);
        }
        info!(target: PART, "{PART}: event=verification_expired version={} age={:?}", set.version, verification.age(now));
    }
}

/// Reads all staged chunks back after the engine has taken an order. If one of them is corrupt, or some were `replaced`
/// since the order was given, the version is unloaded and an error returned, after which it is staged and ordered again.
async fn confirm(
    cx: &Cx,
    set: &ChunkSet,
    engine: &EngineWatch,
    replaced: usize,
) -> Result<(), ApiError> {
    let corrupt = replaced + read_all(cx, set, engine).await?;
    if corrupt == 0 {
        info!(target: PART, "{PART}: event=confirmed model={} version={}", set.model, set.version);
        return Ok(());
    }
    warn!(target: PART, "{PART}: event=loaded_corrupt model={} version={} chunks={corrupt}", set.model, set.version);
    metrics::counter!("driftnotch_corrupt_loads_total").increment(1);
    unload(cx, set, engine).await?;
    Err(ApiError::Failed(format!(
        "{corrupt} chunks may have been corrupt when they were loaded"
    )))
}

/// Unloads a version that the engine has been ordered to load; returns once `engine` shows that it doesn't hold it, or once
/// a newer one is complete, which replaces it.
async fn unload(cx: &Cx, set: &ChunkSet, engine: &EngineWatch) -> Result<(), ApiError> {
    loop {
        let state = until_answered(engine, || (cx.api.state)(())).await?;
        let newest = cx.sets.newest_complete(&set.model);
        let is_replaced = newest.is_some_and(|newest| newest.version > set.version);
        let mut pause = POLL_INTERVAL;
        match state.switching {
            // The engine takes no order before it has carried out the last one.
            true => {}
            false if is_replaced => return Ok(()),
            false if !holds(&state, &set.model, set.version) => {
                let is_unloaded = |s: &EngineState| !holds(s, &set.model, set.version);
                if engine.borrow().as_ref().is_some_and(is_unloaded) {
                    return Ok(());
                }
                cx.poll_engine.notify_one();
            }
            false => {
                let order = UnloadOrder {
                    model: set.model.clone(),
                    version: set.version,
                    orders: state.orders,
                    may_keep_parts: false,
                };
                if give_unload(cx, &order, engine).await? != OrderResult::Taken {
                    pause = REFUSED_PAUSE;
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Orders the engine to unload a version that may begin no requests any more, unless it carries out an order.
pub(crate) async fn unload_expired(
    cx: &Cx,
    model: Model,
    version: WeightsVersion,
    engine: &EngineWatch,
) -> Result<OrderResult, ApiError> {
    let state = until_answered(engine, || (cx.api.state)(())).await?;
    if state.switching || !holds(&state, &model, version) {
        return Ok(OrderResult::Taken);
    }
    let order = UnloadOrder {
        model,
        version,
        orders: state.orders,
        may_keep_parts: true,
    };
    give_unload(cx, &order, engine).await
}

async fn give_unload(
    cx: &Cx,
    order: &UnloadOrder,
    engine: &EngineWatch,
) -> Result<OrderResult, ApiError> {
    let result = until_answered(engine, || (cx.api.unload)(order.clone())).await?;
    info!(target: PART, "{PART}: event=unloaded model={} version={} may_keep_parts={} result={result:?}", order.model, order.version, order.may_keep_parts);
    cx.poll_engine.notify_one();
    Ok(result)
}

/// Returns whether an engine holds a version.
fn holds(state: &EngineState, model: &Model, version: WeightsVersion) -> bool {
    let mut held = state.holdings.iter().filter(|h| h.model == *model);
    held.any(|h| h.version == Some(version))
}

//! Delays that refused callers are told, by the schedule of [`decide::returns`].
//!
//! Services without engines, those whose routes have the same priority, and all services where `paced_returns` is off
//! keep the constant delays of [`decide::retry_after`].

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Fingerprint, Map};
use bytes::Bytes;
use catalog::{Service, ServiceName, WorkspacePolicy};
use decide::DeadlineClass;
use decide::draining::{DrainState, accepts_requests};
use decide::retry_after::{Reason, jittered_delay, min_busy_delay};
use decide::returns::{
    DelayRange, LateOutcome, Phase, Pool, ReturnSchedule, phase, rank, upstream_rate,
};
use hyper::header::RETRY_AFTER;
use hyper::http::request;
use rand::RngExt;
use web::Response;

use crate::Cx;
use crate::refusal::Refusal;
use crate::request::{RoutedRequest, content};

/// Time after a response with a shorter delay than the schedules tell, such as of a gateway without a
/// configuration, in which no request counts as out of turn: other gateways tell such delays at the same time.
const SHORT_DELAY_TIME: Duration = Duration::from_secs(4);

/// Schedules of retries, by service.
#[derive(Debug, Default)]
pub struct Returns {
    schedules: Mutex<Map<ServiceName, ReturnSchedule>>,
    /// When a response last told a shorter delay than the schedules do.
    short_delay_at: Mutex<Option<Instant>>,
}

impl Returns {
    /// Applies `f` to the schedule of a service; returns `None` for one whose retries aren't paced.
    fn with<T>(
        &self,
        cx: &Cx,
        service: &Service,
        f: impl FnOnce(&mut ReturnSchedule, Instant) -> T,
    ) -> Option<T> {
        if !cx.cfg.paced_returns || service.engine.is_none() || !service.priorities.differ() {
            return None;
        }
        let now = clock::now();
        let mut schedules = self
            .schedules
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(schedule) = schedules.get_mut(&service.name) {
            return Some(f(schedule, now));
        }
        let new = ReturnSchedule::new(now);
        Some(f(schedules.entry(service.name.clone()).or_insert(new), now))
    }

    /// Records the delay that a response tells.
    pub(crate) fn record_response(&self, res: &Response) {
        let told = res.headers().get(RETRY_AFTER);
        let told = told.and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        if told.is_some_and(|seconds| seconds < min_busy_delay().as_secs_f64()) {
            *self.short_delay_at() = Some(clock::now());
        }
    }

    fn has_told_short_delay(&self) -> bool {
        let at = *self.short_delay_at();
        at.is_some_and(|at| clock::since(at) < SHORT_DELAY_TIME)
    }

    fn short_delay_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.short_delay_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the phase of a request's caller. Attempts of a request may be routed to different services, so it doesn't
/// depend on the service.
pub(crate) fn caller_phase(
    workspace: Option<&WorkspacePolicy>,
    head: &request::Parts,
    body: &Bytes,
) -> Phase {
    phase(&Fingerprint::of(&content(workspace, head, body)))
}

/// Returns whether a request retries out of turn, given the time since its first attempt, its remaining time and a
/// function that computes its caller's phase.
pub(crate) fn is_out_of_turn(
    cx: &Cx,
    service: &Service,
    attempt_age: Duration,
    remaining: Duration,
    phase: impl FnOnce() -> Phase,
) -> bool {
    if attempt_age.is_zero() || cx.returns.has_told_short_delay() {
        return false;
    }
    let is_out_of_turn = |schedule: &mut ReturnSchedule, now| {
        schedule.is_out_of_turn(attempt_age, remaining, phase(), now)
    };
    cx.returns.with(cx, service, is_out_of_turn) == Some(true)
}

/// Records that a request arrived.
pub(crate) fn record_arrival(cx: &Cx, service: &Service, class: DeadlineClass) {
    cx.returns.with(cx, service, |schedule, now| {
        schedule.record_arrival(class, now);
    });
}

/// Records whether a late request got a slot, in the schedule and in the metrics of kept and broken promises.
pub(crate) fn record_outcome(
    cx: &Cx,
    req: &RoutedRequest,
    service: &Service,
    outcome: LateOutcome,
) {
    if req.deadline_class == DeadlineClass::OnTime || req.is_out_of_turn {
        return;
    }
    let record = |schedule: &mut ReturnSchedule, now| schedule.record_late(outcome, now);
    if cx.returns.with(cx, service, record) == Some(true) {
        let name = match outcome {
            LateOutcome::Served => "driftnotch_retries_kept_total",
            LateOutcome::Refused | LateOutcome::NoUpstream => "driftnotch_retries_broken_total",
        };
        metrics::counter!(name).increment(1);
    }
}

/// Returns whether a request must wait because it retries out of turn.
pub(crate) fn must_wait(cx: &Cx, req: &RoutedRequest, service: &Service) -> bool {
    let must_wait = |schedule: &mut ReturnSchedule, now| {
        update_pool(cx, req, service, schedule, now);
        !schedule.may_serve_out_of_turn(now)
    };
    req.is_out_of_turn && cx.returns.with(cx, service, must_wait) == Some(true)
}

/// Returns the refusal of a request that was sent to no upstream.
pub(crate) fn refusal(cx: &Cx, req: &RoutedRequest, service: &Service, reason: Reason) -> Refusal {
    let promise = cx.returns.with(cx, service, |schedule, now| {
        update_pool(cx, req, service, schedule, now);
        let phase = caller_phase(req.workspace.as_deref(), &req.head, &req.body);
        let range = DelayRange::new(reason, req.remaining());
        // The schedule's pool may be that of a request that may run elsewhere.
        let has_upstream = reason == Reason::Busy || {
            let own = pool(cx, req, service, now);
            own.slots > 0.0 || own.returning_rate > 0.0
        };
        match req.is_out_of_turn || !has_upstream {
            true => schedule.decline(now, range, phase),
            false => schedule.promise(now, rank(req.priority()), range, phase),
        }
    });
    let Some(promise) = promise else {
        return constant_refusal(reason);
    };
    if promise.is_expected {
        metrics::counter!("driftnotch_retries_promised_total").increment(1);
    }
    match (reason, promise.is_expected) {
        (Reason::Busy, true) => Refusal::BusyPromised(promise.delay),
        (Reason::Busy, false) => Refusal::BusyUnpromised(promise.delay),
        (Reason::NoUpstream, true) => Refusal::NoUpstreamPromised(promise.delay),
        (Reason::NoUpstream, false) => Refusal::NoUpstreamUnpromised(promise.delay),
    }
}

/// Returns the refusal with the constant delay of its reason.
pub(crate) fn constant_refusal(reason: Reason) -> Refusal {
    let delay = jittered_delay(reason, rand::rng().random_range(0.0..1.0));
    match reason {
        Reason::Busy => Refusal::Busy(delay),
        Reason::NoUpstream => Refusal::NoUpstream(delay),
    }
}

/// Updates the schedule's view of the upstreams, at most once in a bucket.
fn update_pool(
    cx: &Cx,
    req: &RoutedRequest,
    service: &Service,
    schedule: &mut ReturnSchedule,
    now: Instant,
) {
    if schedule.is_pool_outdated(now) {
        schedule.observe_pool(pool(cx, req, service, now), now);
    }
}

/// Returns the state of the upstreams that may run a request.
fn pool(cx: &Cx, req: &RoutedRequest, service: &Service, now: Instant) -> Pool {
    let model = req.metadata.model.as_ref();
    let oldest_allowed = model.map_or(0, |model| cx.releases.oldest_allowed(model, now));
    let tokens = req.expected_tokens();
    let entries = cx.upstreams.entries(&req.service);
    let drained = cx.drains.current();
    let peer_loads = cx.loads.peer_loads();
    let feedback = cx.feedback.current();
    let mut pool = Pool {
        gateways: cx.gateways(),
        ..Pool::default()
    };
    for entry in entries.iter().filter(|e| e.is_current(now)) {
        let upstream = &entry.upstream;
        let snapshot = upstream.snapshot(model, now);
        let drain_state = DrainState {
            listed: snapshot.draining,
            advertised: feedback.is_draining(upstream.incarnation),
        };
        if !req.can_run_in(&cx.cfg.domains, &upstream.domain)
            || drained.contains_key(&upstream.domain)
            || !accepts_requests(drain_state)
            || snapshot.is_ejected
        {
            continue;
        }
        let cold_rate = service.cold_rate.filter(|_| snapshot.is_cold);
        let is_serving = model.is_none()
            || snapshot
                .serving_version
                .is_some_and(|version| version >= oldest_allowed);
        match is_serving && cold_rate.is_none() {
            true => {
                let load = snapshot.requests + peer_loads.get(&upstream.addr).requests;
                pool.slots += f64::from(snapshot.slots);
                pool.free += f64::from(snapshot.slots.saturating_sub(load));
            }
            false => pool.returning_rate += upstream_rate(snapshot.slots, tokens, cold_rate),
        }
    }
    pool
}

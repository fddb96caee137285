//! Sends a request to upstreams until one responds or the request is given up.
//!
//! An attempt stays open while its upstream is silent: a second one is made beside it if attempts, the retry budget and
//! free slots allow it, and the first of the two to complete serves the request.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use catalog::Service;
use decide::hedging::{self, AttemptCount};
use futures_util::future::select_all;
use web::Response;

use crate::Cx;
use crate::activity::Activity;
use crate::admission::{SlotWait, acquire_slot, queue_deadline};
use crate::attempt::{Attempt, AttemptKind, AttemptOutcome, is_failure};
use crate::demand::record_arrival;
use crate::loss::{ResponseLoss, record_silence};
use crate::record::{RequestOutcome, RequestRecord};
use crate::refusal::Refusal;
use crate::relay;
use crate::request::RoutedRequest;
use crate::send::begin_by;
use crate::spans::Span;
use crate::suspects::wait_until_permitted;
use crate::upstream::{Slot, Upstream};

/// Retry delay if no upstream accepted the request.
const NOT_ACCEPTED_RETRY: Duration = Duration::from_millis(400);

/// Number of failed connections after which a request is given up. Nothing was sent on them, so they don't count as
/// attempts.
const MAX_UNREACHABLE: u32 = 4;

/// Time between two searches for an upstream that has switched to a newer version.
const SWITCH_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait of a retry for a slot at another upstream.
const RETRY_SLOT_WAIT: Duration = Duration::from_millis(50);

/// Maximum wait of a stream that is to be resumed for a slot at another upstream.
const RESUME_SLOT_WAIT: Duration = Duration::from_millis(250);

/// Request that is being sent to upstreams.
pub(crate) struct Dispatch {
    pub(crate) cx: Arc<Cx>,
    pub(crate) req: Arc<RoutedRequest>,
    pub(crate) service: Arc<Service>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Upstreams that were tried, including those that couldn't be reached.
    tried: Vec<Arc<Upstream>>,
    /// Number of upstreams that the request was sent to, or is being sent to.
    sent: u32,
    /// Number of retries withdrawn from the budget.
    withdrawn: u32,
    unreachable: u32,
}

impl Dispatch {
    /// Creates the dispatch of a request that wasn't sent yet.
    pub(crate) fn new(cx: Arc<Cx>, req: Arc<RoutedRequest>, service: Arc<Service>) -> Dispatch {
        Dispatch {
            cx,
            req,
            service,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a second attempt may begin beside those in progress.
    pub(crate) fn allows_second(&self, in_progress: usize) -> bool {
        let count = AttemptCount {
            sent: self.state().sent,
            max: self.req.route.max_attempts,
            in_progress,
        };
        count.allows_second(self.req.is_retryable())
    }

    /// Returns whether another attempt may begin after one whose response was lost.
    pub(crate) fn allows_another(&self) -> bool {
        self.req.is_retryable() && self.state().sent < self.req.route.max_attempts
    }

    /// Waits until a second attempt is due beside an attempt whose upstream is silent, at `not_before` or later.
    pub(crate) async fn wait_until_second_is_due(&self, first: &Activity, not_before: Instant) {
        let wait = clock::until(not_before);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        first
            .wait_for_silence(self.cx.cfg.stall_time, self.req.deadline)
            .await;
    }

    /// Records the silence of the first attempt, and begins a second one.
    pub(crate) fn begin_second(
        self: &Arc<Self>,
        first: &Activity,
        last_event_id: Option<String>,
        record: &mut RequestRecord,
    ) -> Attempt {
        if let Some(upstream) = record_silence(&self.cx, &self.req, first) {
            record.record_attempt(&upstream.instance, "silent");
        }
        Attempt::begin(self, last_event_id, AttemptKind::Second)
    }

    /// Waits for a slot at an upstream that wasn't tried yet.
    pub(crate) async fn acquire_slot(&self, kind: AttemptKind) -> Result<Slot, Refusal> {
        let (cx, req) = (&self.cx, &self.req);
        let is_second = matches!(kind, AttemptKind::Second);
        if is_second && !self.has_spare_retry() {
            return Err(Refusal::NotTaken(NOT_ACCEPTED_RETRY));
        }
        let isolation = wait_until_permitted(cx, req).await?;
        let now = clock::now();
        let until = match kind {
            AttemptKind::First => queue_deadline(req),
            AttemptKind::Retry(max_wait) => (now + max_wait).min(req.deadline),
            AttemptKind::Switched => (now + cx.cfg.stall_time).min(req.deadline),
            AttemptKind::Second => now,
        };
        let wait = SlotWait {
            until,
            skip_ejected: is_second,
        };
        let tried = self.state().tried.clone();
        let chosen = loop {
            let chosen = acquire_slot(cx, req, &self.service, &tried, isolation, wait).await;
            match chosen {
                Err(_) if matches!(kind, AttemptKind::Switched) && clock::now() < until => {
                    tokio::time::sleep(SWITCH_RECHECK_INTERVAL).await;
                }
                chosen => break chosen,
            }
        };
        req.spans.add(Span::Queue, now);
        let mut slot = chosen?;
        if is_second && self.is_outdated_soon(&slot) {
            return Err(Refusal::NotTaken(NOT_ACCEPTED_RETRY));
        }
        if let Some(refusal) = self.check_limits() {
            return Err(refusal);
        }
        // Whether the request is a suspect, or on trial, may have changed while it was queued.
        slot.trial = cx.suspects.begin_trial(req, slot.upstream().addr).await?;
        Ok(slot)
    }

    /// Returns a refusal if the request may not be sent now because its time, attempts or retry budget are used up.
    fn check_limits(&self) -> Option<Refusal> {
        if self.req.remaining().is_zero() {
            return Some(Refusal::NoTime(NOT_ACCEPTED_RETRY));
        }
        let mut state = self.state();
        let is_exhausted =
            state.sent >= self.req.route.max_attempts || state.unreachable >= MAX_UNREACHABLE;
        // A retry that was withdrawn for an upstream that couldn't be reached is still available.
        let needs_retry = state.sent > state.withdrawn;
        if is_exhausted || (needs_retry && !self.withdraw()) {
            return Some(Refusal::NotTaken(NOT_ACCEPTED_RETRY));
        }
        state.withdrawn += u32::from(needs_retry);
        None
    }

    /// Returns whether the version at a slot becomes too old to begin the request before a further attempt would be due.
    fn is_outdated_soon(&self, slot: &Slot) -> bool {
        let begin_by = begin_by(&self.cx, &self.req, slot);
        begin_by.is_some_and(|at| clock::until(at) < self.cx.cfg.stall_time)
    }

    fn has_spare_retry(&self) -> bool {
        let gateways = self.cx.retry_sharers();
        self.cx
            .retry_budget
            .has_spare(&self.req.service, gateways, clock::now())
    }

    fn withdraw(&self) -> bool {
        let gateways = self.cx.retry_sharers();
        let is_available = self
            .cx
            .retry_budget
            .withdraw(&self.req.service, gateways, clock::now());
        let result = match is_available {
            true => "withdrawn",
            false => "denied",
        };
        metrics::counter!("driftnotch_retries_total", "result" => result).increment(1);
        is_available
    }

    /// Records that the request is being sent to an upstream.
    pub(crate) fn record_sent(&self, upstream: &Arc<Upstream>) {
        let mut state = self.state();
        state.tried.push(upstream.clone());
        state.sent += 1;
    }

    /// Records that the last upstream couldn't be reached.
    pub(crate) fn record_unreachable(&self) {
        let mut state = self.state();
        state.sent -= 1;
        state.unreachable += 1;
    }
}

/// Results of the attempts that failed.
#[derive(Debug, Default)]
struct Failures {
    /// Reason why the request may have run without a response.
    lost: Option<ResponseLoss>,
    /// Server error that an upstream responded with.
    response: Option<Response>,
}

impl Failures {
    fn is_empty(&self) -> bool {
        self.lost.is_none() && self.response.is_none()
    }

    /// Returns the final response if no upstream is left: `refusal` only if no attempt may have run.
    fn give_up(self, refusal: Refusal, record: RequestRecord) -> Response {
        match (self.response, self.lost) {
            (Some(res), _) => respond(res, record),
            (None, Some(loss)) => refuse(&Refusal::Lost(loss.to_string()), record),
            (None, None) => refuse(&refusal, record),
        }
    }
}

/// Sends a request to upstreams and returns the response.
pub(crate) async fn dispatch(
    cx: &Arc<Cx>,
    req: RoutedRequest,
    service: Arc<Service>,
    mut record: RequestRecord,
) -> Response {
    cx.retry_budget.deposit(&req.service, clock::now());
    record_arrival(cx, &req, &service);
    let dispatch = Arc::new(Dispatch::new(cx.clone(), Arc::new(req), service));
    let mut race = Race::new(dispatch.clone());
    let mut failures = Failures::default();
    loop {
        let outcome = tokio::select! {
            biased;
            outcome = race.next(&mut record) => outcome,
            () = wait_for_patience(&dispatch.req) => {
                race.cancel_others(&mut record);
                return failures.give_up(Refusal::TimedOut, record);
            }
        };
        match outcome {
            AttemptOutcome::Started(stream) => {
                race.cancel_others(&mut record);
                return relay::respond(dispatch, *stream, record);
            }
            AttemptOutcome::Response(res) if is_failure(&res) => failures.response = Some(res),
            // A rejection of the second upstream says nothing about the first one.
            AttemptOutcome::Response(res) if is_rejection(&res) && !race.is_over() => {
                let loss = ResponseLoss::AmbiguousStatus(res.status().as_u16());
                failures.lost.get_or_insert(loss);
            }
            AttemptOutcome::Response(res) => {
                race.cancel_others(&mut record);
                return respond(res, record);
            }
            AttemptOutcome::NotSent(refusal) if race.is_over() => {
                return failures.give_up(refusal, record);
            }
            AttemptOutcome::Lost(loss, _) => failures.lost = Some(loss),
            AttemptOutcome::NotSent(_) | AttemptOutcome::Unreached | AttemptOutcome::NotRun => {}
        }
        if !race.is_over() {
            continue;
        }
        if !failures.is_empty() && !dispatch.req.is_retryable() {
            return failures.give_up(Refusal::TimedOut, record);
        }
        race.retry();
    }
}

/// Waits until the caller of a stream is about to leave because it got no event; for ever for other requests.
async fn wait_for_patience(req: &RoutedRequest) {
    let route = &req.route;
    match route.kind.is_stream() {
        true => {
            let wait = hedging::first_event_wait(route.objective, route.gap_objective);
            clock::deadline(req.arrived + wait).await;
        }
        false => std::future::pending().await,
    }
}

fn is_rejection(res: &Response) -> bool {
    matches!(res.status().as_u16(), 408 | 429)
}

/// Attempts in progress: one, or two of which the first is silent.
pub(crate) struct Race {
    dispatch: Arc<Dispatch>,
    attempts: Vec<Attempt>,
    /// Event after which a stream is resumed.
    last_event_id: Option<String>,
    /// Maximum wait of a retry for a slot.
    slot_wait: Duration,
    /// Whether the last attempt was cancelled because its version was too old.
    last_was_outdated: bool,
    second_after: Instant,
}

impl Race {
    /// Begins the first attempt of a request.
    fn new(dispatch: Arc<Dispatch>) -> Race {
        let first = Attempt::begin(&dispatch, None, AttemptKind::First);
        Race {
            dispatch,
            attempts: vec![first],
            last_event_id: None,
            slot_wait: RETRY_SLOT_WAIT,
            last_was_outdated: false,
            second_after: clock::now(),
        }
    }

    /// Continues with the second attempt, if there is one, after the source of a stream was lost.
    pub(crate) fn resume(
        dispatch: Arc<Dispatch>,
        last_event_id: Option<String>,
        second: Option<Attempt>,
    ) -> Race {
        Race {
            dispatch,
            attempts: Vec::from_iter(second),
            last_event_id,
            slot_wait: RESUME_SLOT_WAIT,
            last_was_outdated: false,
            second_after: clock::now(),
        }
    }

    /// Returns whether no attempt is in progress.
    pub(crate) fn is_over(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Begins another attempt once all others have failed.
    pub(crate) fn retry(&mut self) {
        let kind = match self.last_was_outdated {
            true => AttemptKind::Switched,
            false => AttemptKind::Retry(self.slot_wait),
        };
        let next = Attempt::begin(&self.dispatch, self.last_event_id.clone(), kind);
        self.attempts.push(next);
    }

    /// Returns the outcome of the next attempt to complete. If the only one is silent, begins a second one beside it.
    pub(crate) async fn next(&mut self, record: &mut RequestRecord) -> AttemptOutcome {
        let (i, outcome) = loop {
            let in_progress = self.attempts.len();
            let first = self.attempts[0].activity.clone();
            let outcomes = self.attempts.iter_mut().map(|a| &mut a.outcome);
            tokio::select! {
                biased;
                (outcome, i, _) = select_all(outcomes) => break (i, outcome),
                () = self.dispatch.wait_until_second_is_due(&first, self.second_after),
                    if self.dispatch.allows_second(in_progress) => {}
            }
            let last_event_id = self.last_event_id.clone();
            let second = self.dispatch.begin_second(&first, last_event_id, record);
            self.attempts.push(second);
        };
        let completed = self.attempts.remove(i);
        completed.record(record, &outcome);
        self.last_was_outdated = matches!(outcome, AttemptOutcome::Lost(ResponseLoss::Outdated, _));
        if completed.is_second() {
            self.second_after = clock::now() + hedging::RETRY_INTERVAL;
        }
        outcome
    }

    /// Cancels the attempts that didn't serve the request.
    pub(crate) fn cancel_others(&mut self, record: &mut RequestRecord) {
        for attempt in self.attempts.drain(..) {
            attempt.cancel(record);
        }
    }
}

/// Refuses a request.
pub(crate) fn refuse(refusal: &Refusal, mut record: RequestRecord) -> Response {
    record.outcome = RequestOutcome::Refused(refusal.status(), refusal.name());
    refusal.response()
}

fn respond(res: Response, mut record: RequestRecord) -> Response {
    record.outcome = RequestOutcome::Answered(res.status().as_u16());
    res
}

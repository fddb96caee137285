//! Dispatch of a request: attempts at upstreams until one responds or no retry is possible.
//!
//! A retryable request goes to another upstream when one refused it, was unreachable or lost its
//! response, and to a second one beside the first while that is silent; an unsafe request only when
//! it certainly has not run. A request with an idempotency
//! key is claimed in the platform's table first. Retries are paid from the retry budget. A request
//! that can't be retried is refused immediately.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;

use base::Outcome;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use log::info;
use store::Tag;
use table::Row;

use crate::Entry;
use crate::claim::{ClaimRecord, WriteOutcome, claim_key};
use crate::membership::upstream::Upstream;
use crate::refusal::{DEFAULT_RETRY_AFTER, Refusal};
use crate::request::{CallerRequest, RetrySafety};
use crate::response::UpstreamResponse;
use crate::route::attempt::{AttemptOutcome, Settlement, attempt, attempt_once, priority, settle};
use crate::route::balance::{Pick, pick};
use crate::route::running::RunningRequest;

/// Log prefix of this part.
const PART: &str = "dispatch";

/// Dispatch of one request.
pub struct Dispatch<'a> {
    entry: &'a Arc<Entry>,
    request: &'a CallerRequest,
    row: &'a Row,
    tried: Vec<Arc<Upstream>>,
    last_refusal: Option<Refusal>,
}

/// Claim that this request holds.
struct HeldClaim {
    key: String,
    tag: Option<Tag>,
    record: ClaimRecord,
}

impl<'a> Dispatch<'a> {
    /// Creates the dispatch of a request that is pinned to a row.
    pub fn new(entry: &'a Arc<Entry>, request: &'a CallerRequest, row: &'a Row) -> Dispatch<'a> {
        Dispatch {
            entry,
            request,
            row,
            tried: Vec::new(),
            last_refusal: None,
        }
    }

    /// Runs the request until it has a response or is refused.
    pub async fn run(mut self) -> Result<UpstreamResponse, Refusal> {
        match &self.request.retry_safety {
            RetrySafety::Keyed(key) => {
                let key = claim_key(&self.request.workspace, key);
                self.run_keyed(key).await
            }
            RetrySafety::SendOnce | RetrySafety::Retryable => self.run_unkeyed().await,
        }
    }

    async fn run_unkeyed(&mut self) -> Result<UpstreamResponse, Refusal> {
        let mut lost_response = None;
        loop {
            let running = match self.next_upstream().await {
                Ok(running) => running,
                Err(refusal) => return Err(lost_response.unwrap_or(refusal)),
            };
            let upstream = running.upstream().clone();
            if !self.must_send_once(&upstream) {
                match self.run_repeatable(running).await {
                    AttemptOutcome::Answered(response) => return Ok(*response),
                    AttemptOutcome::Refused(_) | AttemptOutcome::NotSent(_) => {}
                    AttemptOutcome::TimedOut => return Err(Refusal::LateAnswer),
                    AttemptOutcome::ResponseLost(reason) => {
                        lost_response = Some(Refusal::Lost(reason));
                    }
                }
                continue;
            }
            let record = self.claim_record(&upstream);
            let sent = attempt_once(self.entry, self.request, self.row, running, &record);
            match sent.await {
                AttemptOutcome::Answered(response) => return Ok(*response),
                AttemptOutcome::Refused(reason) | AttemptOutcome::NotSent(reason) => {
                    self.record_not_run(&upstream, reason)
                }
                outcome => match settle(self.entry, self.request, &record).await {
                    Settlement::Sealed => self.record_not_run(&upstream, "sealed".into()),
                    Settlement::Done(response) => return Ok(*response),
                    Settlement::Running | Settlement::Unknown => {
                        return Err(unknown_outcome(outcome));
                    }
                },
            }
        }
    }

    /// Runs a request that may run more than once. Each `attempt_timeout` without the head of a response it is sent to
    /// another upstream as well, if there is one for it; the silent ones are still waited for, since they may go on.
    /// Returns the first response, which cancels the other attempts, or else the last outcome of an attempt that may have
    /// run, or else that of any.
    async fn run_repeatable(&mut self, running: RunningRequest) -> AttemptOutcome {
        let (entry, request, row) = (self.entry, self.request, self.row);
        let has_head = AtomicBool::new(false);
        let has_head = &has_head;
        let start = |running: RunningRequest| async move {
            let upstream = running.upstream().clone();
            let outcome = attempt(entry, request, row, running, false, has_head).await;
            (upstream, outcome)
        };
        let mut silent = vec![running.upstream().clone()];
        let mut open = FuturesUnordered::from_iter([start(running)]);
        let mut last = AttemptOutcome::NotSent("no attempt was made".into());
        let mut next_at = clock::now() + entry.cfg.attempt_timeout;
        loop {
            let ended = tokio::select! {
                ended = open.next() => ended,
                () = clock::sleep_until(next_at), if !silent.is_empty() => {
                    next_at = clock::now() + entry.cfg.attempt_timeout;
                    let other = match has_head.load(Relaxed) {
                        true => None,
                        false => self.other_upstream(&silent),
                    };
                    if let Some(running) = other {
                        silent.push(running.upstream().clone());
                        open.push(start(running));
                    }
                    continue;
                }
            };
            let Some((upstream, outcome)) = ended else {
                return last;
            };
            silent.retain(|u| !Arc::ptr_eq(u, &upstream));
            // Any other attempts in progress are silent, so the ended one is replaced at once.
            has_head.store(false, Relaxed);
            next_at = clock::now();
            match outcome {
                AttemptOutcome::Answered(_) | AttemptOutcome::TimedOut => return outcome,
                AttemptOutcome::Refused(ref reason) | AttemptOutcome::NotSent(ref reason) => {
                    self.record_not_run(&upstream, reason.clone());
                    if !matches!(last, AttemptOutcome::ResponseLost(_)) {
                        last = outcome;
                    }
                }
                AttemptOutcome::ResponseLost(ref reason) => {
                    self.record_lost_response(&upstream, reason);
                    last = outcome;
                }
            }
        }
    }

    /// Records the silence of upstreams, and returns another one that has a free slot, if the request may be sent to one
    /// more.
    fn other_upstream(&mut self, silent: &[Arc<Upstream>]) -> Option<RunningRequest> {
        for upstream in silent {
            upstream.record_failure(self.entry.cfg.eject_failures, self.entry.cfg.eject_time);
            self.record_tried(upstream);
        }
        if self.tried.len() as u64 >= self.entry.cfg.max_attempts {
            return None;
        }
        let cfg = &self.entry.cfg;
        let picked = pick(&self.entry.fleet, self.row, self.request, cfg, &self.tried);
        let Pick::Chosen(slot) = picked else {
            return None;
        };
        let running = RunningRequest::new(self.entry, slot);
        let is_repeatable = !self.must_send_once(running.upstream());
        (is_repeatable && self.spend_retry().is_ok()).then_some(running)
    }

    async fn run_keyed(&mut self, key: String) -> Result<UpstreamResponse, Refusal> {
        let running = self.next_upstream().await?;
        let record = self.claim_record(running.upstream());
        match self.entry.claims.claim(key.clone(), &record).await {
            WriteOutcome::Applied => {
                let tag = None;
                self.run_claimed(HeldClaim { key, tag, record }, running)
                    .await
            }
            WriteOutcome::Conflict | WriteOutcome::Unknown => {
                self.run_existing_claim(key, running).await
            }
            WriteOutcome::Failed => Err(Refusal::NoClaim(DEFAULT_RETRY_AFTER)),
        }
    }

    /// Reads the claim that holds the key and continues by its request and state.
    async fn run_existing_claim(
        &mut self,
        key: String,
        running: RunningRequest,
    ) -> Result<UpstreamResponse, Refusal> {
        let found = self.entry.claims.read(&key).await;
        let Ok(Some((record, tag))) = found else {
            // If the claim was written after all, it names a request that is never sent.
            return Err(Refusal::NoClaim(DEFAULT_RETRY_AFTER));
        };
        let tag = Some(tag);
        if record.request == self.request.id {
            return self
                .run_claimed(HeldClaim { key, tag, record }, running)
                .await;
        }
        if record.content != self.request.content_digest() {
            return Err(Refusal::KeyReused);
        }
        let mut running = running;
        if !record.released {
            // The slot is of use to other requests for as long as the agent doesn't answer.
            drop(running);
            match settle(self.entry, self.request, &record).await {
                Settlement::Sealed => {}
                Settlement::Done(response) => return Ok(*response),
                Settlement::Running => return Err(Refusal::KeyRunning(DEFAULT_RETRY_AFTER)),
                Settlement::Unknown => return Err(Refusal::KeyUnknown),
            }
            running = self.next_upstream().await?;
        }
        let held = HeldClaim { key, tag, record };
        let held = self.move_claim(held, running.upstream()).await?;
        self.run_claimed(held, running).await
    }

    /// Sends the request under its claim, and moves the claim with each retry.
    async fn run_claimed(
        &mut self,
        mut held: HeldClaim,
        mut running: RunningRequest,
    ) -> Result<UpstreamResponse, Refusal> {
        loop {
            let upstream = running.upstream().clone();
            let sent = attempt_once(self.entry, self.request, self.row, running, &held.record);
            match sent.await {
                AttemptOutcome::Answered(response) => return Ok(*response),
                AttemptOutcome::Refused(reason) | AttemptOutcome::NotSent(reason) => {
                    self.record_not_run(&upstream, reason)
                }
                outcome => match settle(self.entry, self.request, &held.record).await {
                    Settlement::Sealed => self.record_not_run(&upstream, "sealed".into()),
                    Settlement::Done(response) => return Ok(*response),
                    Settlement::Running | Settlement::Unknown => {
                        return Err(unknown_outcome(outcome));
                    }
                },
            }
            running = match self.next_upstream().await {
                Ok(running) => running,
                Err(refusal) => {
                    self.release(held).await;
                    return Err(refusal);
                }
            };
            held = self.move_claim(held, running.upstream()).await?;
        }
    }

    /// Moves the claim to another upstream before the request is sent there.
    async fn move_claim(
        &self,
        held: HeldClaim,
        upstream: &Arc<Upstream>,
    ) -> Result<HeldClaim, Refusal> {
        let record = self.claim_record(upstream);
        let tag = self.claim_tag(&held).await?;
        match self.entry.claims.replace(&held.key, tag, &record).await {
            WriteOutcome::Applied => {}
            WriteOutcome::Conflict => return Err(Refusal::KeyRunning(DEFAULT_RETRY_AFTER)),
            WriteOutcome::Failed => return Err(Refusal::NoClaim(DEFAULT_RETRY_AFTER)),
            WriteOutcome::Unknown => match self.entry.claims.read(&held.key).await {
                Ok(Some((found, _))) if found == record => {}
                _ => return Err(Refusal::NoClaim(DEFAULT_RETRY_AFTER)),
            },
        }
        Ok(HeldClaim {
            key: held.key,
            tag: None,
            record,
        })
    }

    /// Returns the tag of a claim; if it isn't known, reads it, provided the claim is unchanged.
    async fn claim_tag(&self, held: &HeldClaim) -> Result<Tag, Refusal> {
        if let Some(tag) = &held.tag {
            return Ok(tag.clone());
        }
        match self.entry.claims.read(&held.key).await {
            Ok(Some((record, tag))) if record == held.record => Ok(tag),
            Ok(_) => Err(Refusal::KeyRunning(DEFAULT_RETRY_AFTER)),
            Err(_) => Err(Refusal::NoClaim(DEFAULT_RETRY_AFTER)),
        }
    }

    /// Marks the claim as released, since the request has not run: a retry can run immediately.
    async fn release(&self, held: HeldClaim) {
        let Ok(tag) = self.claim_tag(&held).await else {
            return;
        };
        let record = ClaimRecord {
            released: true,
            ..held.record
        };
        self.entry.claims.replace(&held.key, tag, &record).await;
    }

    /// Waits for an upstream with a free slot.
    async fn next_upstream(&mut self) -> Result<RunningRequest, Refusal> {
        if self.tried.len() as u64 >= self.entry.cfg.max_attempts {
            return Err(self.no_upstream());
        }
        let mut ticket = None;
        loop {
            match pick(
                &self.entry.fleet,
                self.row,
                self.request,
                &self.entry.cfg,
                &self.tried,
            ) {
                Pick::Chosen(slot) => {
                    self.spend_retry()?;
                    return Ok(RunningRequest::new(self.entry, slot));
                }
                Pick::NoUpstream => return Err(self.no_upstream()),
                Pick::Busy => {}
            }
            if ticket.is_none() {
                let priority = priority(self.request, self.row);
                ticket = Some(self.entry.queue.enter(priority, self.request.remaining())?);
            }
            if self.request.remaining().is_zero() {
                return Err(Refusal::NoTime(self.entry.queue.retry_after()));
            }
            if let Some(ticket) = &mut ticket {
                ticket.wait(self.request.deadline).await?;
            }
        }
    }

    /// Pays for any attempt after the first from the retry budget.
    fn spend_retry(&self) -> Result<(), Refusal> {
        if self.tried.is_empty() {
            return Ok(());
        }
        if !self.entry.retry_budget.withdraw() {
            return Err(Refusal::NoRetries(
                self.entry.queue.retry_after().max(DEFAULT_RETRY_AFTER),
            ));
        }
        metrics::counter!("driftnotch_retries_total").increment(1);
        Ok(())
    }

    fn no_upstream(&mut self) -> Refusal {
        let name = self.row.name();
        self.last_refusal
            .take()
            .unwrap_or(Refusal::NoUpstream(name, DEFAULT_RETRY_AFTER))
    }

    fn record_not_run(&mut self, upstream: &Arc<Upstream>, reason: String) {
        let (id, vm) = (&self.request.id, upstream.vm());
        info!(target: PART, "{PART}: request {id} did not run at {vm}: {reason}");
        self.last_refusal = Some(Refusal::AllRefused(DEFAULT_RETRY_AFTER));
        self.record_tried(upstream);
    }

    fn record_lost_response(&mut self, upstream: &Arc<Upstream>, reason: &str) {
        let (id, vm) = (&self.request.id, upstream.vm());
        info!(target: PART, "{PART}: response to request {id} from {vm} lost: {reason}");
        self.record_tried(upstream);
    }

    fn record_tried(&mut self, upstream: &Arc<Upstream>) {
        if !self.tried.iter().any(|tried| Arc::ptr_eq(tried, upstream)) {
            self.tried.push(upstream.clone());
        }
    }

    /// Returns whether the request must be sent at most once to this upstream.
    fn must_send_once(&self, upstream: &Upstream) -> bool {
        let repeatable = !self.request.is_service || upstream.info.repeatable;
        self.request.is_unsafe() || !repeatable
    }

    fn claim_record(&self, upstream: &Upstream) -> ClaimRecord {
        ClaimRecord {
            request: self.request.id.clone(),
            content: self.request.content_digest(),
            vm: upstream.vm().clone(),
            listen: upstream.listen(),
            incarnation: upstream.incarnation(),
            domain: upstream.domain().clone(),
            released: false,
        }
    }
}

/// Returns the refusal of a request that may have run.
fn unknown_outcome(outcome: AttemptOutcome) -> Refusal {
    let refusal = match outcome {
        AttemptOutcome::TimedOut => Refusal::LateAnswer,
        AttemptOutcome::ResponseLost(reason) => Refusal::Lost(reason),
        other => Refusal::Lost(format!("{other:?}")),
    };
    debug_assert_eq!(refusal.outcome(), Outcome::Unknown);
    refusal
}

//! Sends a request to upstreams until one answers or it is given up on.
//!
//! A request that may be repeated goes to another upstream when one refused, was not reached or
//! lost its answer; one that may not be repeated only when it is certain that it has not run. A
//! request with an idempotency key is claimed in the platform's table first. Retries are paid for
//! from a budget. What is given up on is answered at once.

use std::sync::Arc;

use base::Outcome;
use log::info;
use store::Tag;
use table::Row;

use crate::Entry;
use crate::answer::Answer;
use crate::call::{Call, Safety};
use crate::claim::{ClaimRecord, WriteOutcome, claim_key};
use crate::membership::upstream::Upstream;
use crate::refusal::{Refusal, SOON};
use crate::route::attempt::{Attempt, Settlement, attempt, priority, settle};
use crate::route::pick::{Pick, pick};
use crate::route::running::Running;

/// Log prefix of this part.
const PART: &str = "dispatch";

/// A request on its way.
pub struct Dispatch<'a> {
    entry: &'a Arc<Entry>,
    call: &'a Call,
    row: &'a Row,
    tried: Vec<Arc<Upstream>>,
    last_refusal: Option<Refusal>,
}

/// A claim that stands for this request.
struct Held {
    key: String,
    tag: Option<Tag>,
    record: ClaimRecord,
}

impl<'a> Dispatch<'a> {
    /// A request pinned to a row.
    pub fn new(entry: &'a Arc<Entry>, call: &'a Call, row: &'a Row) -> Dispatch<'a> {
        Dispatch {
            entry,
            call,
            row,
            tried: Vec::new(),
            last_refusal: None,
        }
    }

    /// Runs the request to its answer or its refusal.
    pub async fn run(mut self) -> Result<Answer, Refusal> {
        match &self.call.safety {
            Safety::Keyed(key) => {
                let key = claim_key(&self.call.workspace, key);
                self.run_keyed(key).await
            }
            Safety::Once | Safety::Repeatable => self.run_plain().await,
        }
    }

    async fn run_plain(&mut self) -> Result<Answer, Refusal> {
        let mut lost = None;
        loop {
            let running = match self.next_upstream().await {
                Ok(running) => running,
                Err(refusal) => return Err(lost.unwrap_or(refusal)),
            };
            let upstream = running.upstream().clone();
            let once = self.once_at(&upstream);
            let record = self.record(&upstream);
            match attempt(self.entry, self.call, self.row, running, once).await {
                Attempt::Answered(answer) => return Ok(*answer),
                Attempt::Refused(why) | Attempt::NotSent(why) => self.not_run_at(&upstream, why),
                Attempt::Late if !once => return Err(Refusal::LateAnswer),
                Attempt::Lost(why) if !once => {
                    self.log_lost(&upstream, &why);
                    lost = Some(Refusal::Lost(why));
                }
                attempt => match settle(self.entry, &record).await {
                    Settlement::Sealed => self.not_run_at(&upstream, "sealed".into()),
                    Settlement::Done(answer) => return Ok(*answer),
                    Settlement::Running | Settlement::Unknown => return Err(given_up(attempt)),
                },
            }
        }
    }

    async fn run_keyed(&mut self, key: String) -> Result<Answer, Refusal> {
        let running = self.next_upstream().await?;
        let record = self.record(running.upstream());
        match self.entry.claims.claim(key.clone(), &record).await {
            WriteOutcome::Applied => {
                let tag = None;
                self.run_held(Held { key, tag, record }, running).await
            }
            WriteOutcome::Conflict | WriteOutcome::Unknown => self.run_existing(key, running).await,
            WriteOutcome::Failed => Err(Refusal::NoClaim(SOON)),
        }
    }

    /// Finds out whose claim stands, and goes on from there.
    async fn run_existing(&mut self, key: String, running: Running) -> Result<Answer, Refusal> {
        let found = self.entry.claims.read(&key).await;
        let Ok(Some((record, tag))) = found else {
            // An own claim that shows up later names a request that is never sent.
            return Err(Refusal::NoClaim(SOON));
        };
        let tag = Some(tag);
        if record.request == self.call.id {
            return self.run_held(Held { key, tag, record }, running).await;
        }
        if record.content != self.call.content() {
            return Err(Refusal::KeyReused);
        }
        if !record.released {
            match settle(self.entry, &record).await {
                Settlement::Sealed => {}
                Settlement::Done(answer) => return Ok(*answer),
                Settlement::Running => return Err(Refusal::KeyRunning(SOON)),
                Settlement::Unknown => return Err(Refusal::KeyUnknown),
            }
        }
        let held = Held { key, tag, record };
        let held = self.hold_anew(held, running.upstream()).await?;
        self.run_held(held, running).await
    }

    /// Sends the request while its claim stands, moving the claim along with it.
    async fn run_held(&mut self, mut held: Held, mut running: Running) -> Result<Answer, Refusal> {
        loop {
            let upstream = running.upstream().clone();
            match attempt(self.entry, self.call, self.row, running, true).await {
                Attempt::Answered(answer) => return Ok(*answer),
                Attempt::Refused(why) | Attempt::NotSent(why) => self.not_run_at(&upstream, why),
                attempt => match settle(self.entry, &held.record).await {
                    Settlement::Sealed => self.not_run_at(&upstream, "sealed".into()),
                    Settlement::Done(answer) => return Ok(*answer),
                    Settlement::Running | Settlement::Unknown => return Err(given_up(attempt)),
                },
            }
            running = match self.next_upstream().await {
                Ok(running) => running,
                Err(refusal) => {
                    self.release(held).await;
                    return Err(refusal);
                }
            };
            held = self.hold_anew(held, running.upstream()).await?;
        }
    }

    /// Moves the claim to another upstream before the request is sent there.
    async fn hold_anew(&self, held: Held, upstream: &Arc<Upstream>) -> Result<Held, Refusal> {
        let record = self.record(upstream);
        let tag = self.tag_of(&held).await?;
        match self.entry.claims.replace(&held.key, tag, &record).await {
            WriteOutcome::Applied => {}
            WriteOutcome::Conflict => return Err(Refusal::KeyRunning(SOON)),
            WriteOutcome::Failed => return Err(Refusal::NoClaim(SOON)),
            WriteOutcome::Unknown => match self.entry.claims.read(&held.key).await {
                Ok(Some((found, _))) if found == record => {}
                _ => return Err(Refusal::NoClaim(SOON)),
            },
        }
        Ok(Held {
            key: held.key,
            tag: None,
            record,
        })
    }

    /// The tag of a claim, read where it isn't known, and only if the claim is still the same.
    async fn tag_of(&self, held: &Held) -> Result<Tag, Refusal> {
        if let Some(tag) = &held.tag {
            return Ok(tag.clone());
        }
        match self.entry.claims.read(&held.key).await {
            Ok(Some((record, tag))) if record == held.record => Ok(tag),
            Ok(_) => Err(Refusal::KeyRunning(SOON)),
            Err(_) => Err(Refusal::NoClaim(SOON)),
        }
    }

    /// Says in the table that the request has not run, so that a resend can run at once.
    async fn release(&self, held: Held) {
        let Ok(tag) = self.tag_of(&held).await else {
            return;
        };
        let record = ClaimRecord {
            released: true,
            ..held.record
        };
        self.entry.claims.replace(&held.key, tag, &record).await;
    }

    /// Waits for an upstream with a free slot.
    async fn next_upstream(&mut self) -> Result<Running, Refusal> {
        if self.tried.len() as u64 >= self.entry.cfg.max_attempts {
            return Err(self.nobody());
        }
        let mut ticket = None;
        loop {
            match pick(
                &self.entry.fleet,
                self.row,
                self.call,
                &self.entry.cfg,
                &self.tried,
            ) {
                Pick::Chosen(slot) => {
                    self.pay_retry()?;
                    return Ok(Running::new(self.entry, slot));
                }
                Pick::Nobody => return Err(self.nobody()),
                Pick::Busy => {}
            }
            if ticket.is_none() {
                let priority = priority(self.call, self.row);
                ticket = Some(self.entry.queue.enter(priority, self.call.remaining())?);
            }
            if self.call.remaining().is_zero() {
                return Err(Refusal::NoTime(self.entry.queue.retry_after()));
            }
            if let Some(ticket) = &mut ticket {
                ticket.turn(self.call.deadline).await?;
            }
        }
    }

    /// Pays for an attempt after the first.
    fn pay_retry(&self) -> Result<(), Refusal> {
        if self.tried.is_empty() {
            return Ok(());
        }
        if !self.entry.retries.spend() {
            return Err(Refusal::NoRetries(self.entry.queue.retry_after().max(SOON)));
        }
        metrics::counter!("driftnotch_retries_total").increment(1);
        Ok(())
    }

    fn nobody(&mut self) -> Refusal {
        let name = self.row.name();
        self.last_refusal
            .take()
            .unwrap_or(Refusal::NoUpstream(name, SOON))
    }

    fn not_run_at(&mut self, upstream: &Arc<Upstream>, why: String) {
        let (id, vm) = (&self.call.id, upstream.vm());
        info!(target: PART, "{PART}: request {id} has not run at {vm}: {why}");
        self.last_refusal = Some(Refusal::AllRefused(SOON));
        self.tried.push(upstream.clone());
    }

    fn log_lost(&mut self, upstream: &Arc<Upstream>, why: &str) {
        let (id, vm) = (&self.call.id, upstream.vm());
        info!(target: PART, "{PART}: request {id} lost its answer at {vm}: {why}");
        self.tried.push(upstream.clone());
    }

    /// Whether the request may be sent only once to this upstream.
    fn once_at(&self, upstream: &Upstream) -> bool {
        let repeatable = !self.call.service || upstream.info.repeatable;
        self.call.is_unsafe() || !repeatable
    }

    fn record(&self, upstream: &Upstream) -> ClaimRecord {
        ClaimRecord {
            request: self.call.id.clone(),
            content: self.call.content(),
            vm: upstream.vm().clone(),
            listen: upstream.listen(),
            incarnation: upstream.incarnation(),
            domain: upstream.domain().clone(),
            released: false,
        }
    }
}

/// The refusal of a request that may have run.
fn given_up(attempt: Attempt) -> Refusal {
    let refusal = match attempt {
        Attempt::Late => Refusal::LateAnswer,
        Attempt::Lost(why) => Refusal::Lost(why),
        other => Refusal::Lost(format!("{other:?}")),
    };
    debug_assert_eq!(refusal.outcome(), Outcome::Unknown);
    refusal
}

//! Requests waiting for a slot.
//!
//! A request waits until an upstream has room, the more urgent first, then in the order of arrival.
//! One that can't be served within its objective is refused early, so that its caller can come back
//! while that still helps.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use catalog::{Service, ServiceName};
use tokio::sync::Notify;

use crate::Cx;
use crate::balance::{Pick, pick};
use crate::call::Job;
use crate::refusal::Refusal;
use crate::upstream::{Slot, Upstream};

/// Part of the objective that a request may wait before it is refused. A refusal within a quarter
/// leaves the caller time to be served in time after all.
const WAIT_PART: f64 = 0.2;

/// A waiting request looks again after this long even if nothing was freed here: a slot may have
/// been freed by another gateway.
const RECHECK: Duration = Duration::from_millis(10);

/// When to come back where all upstreams are busy: the time in which an engine ends about a third
/// of its batch.
const BUSY_RETRY: Duration = Duration::from_millis(1500);

/// When to come back where there is no upstream at all.
const NOBODY_RETRY: Duration = Duration::from_millis(2500);

/// A place in the line of a service: rank, then arrival.
type Place = (u8, u64);

#[derive(Debug, Default)]
struct Waiting {
    lines: Map<ServiceName, BTreeSet<Place>>,
    next: u64,
}

/// Requests waiting for a slot.
#[derive(Debug, Default)]
pub struct Admission {
    waiting: Mutex<Waiting>,
    freed: Arc<Notify>,
    changed: Arc<Notify>,
}

/// What is told when requests begin and end.
#[derive(Debug, Clone)]
pub struct Told {
    /// A slot was freed.
    pub freed: Arc<Notify>,
    /// What is in flight has changed.
    pub changed: Arc<Notify>,
}

/// A place in the line, given up when dropped.
struct Ticket<'a> {
    admission: &'a Admission,
    service: &'a ServiceName,
    place: Place,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if let Some(line) = self.admission.waiting().lines.get_mut(self.service) {
            line.remove(&self.place);
        }
    }
}

impl Admission {
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Told when a slot is freed.
    pub fn freed(&self) -> Arc<Notify> {
        self.freed.clone()
    }

    /// Waits until what is in flight has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// What a slot tells of its beginning and its end.
    pub fn told(&self) -> Told {
        Told {
            freed: self.freed.clone(),
            changed: self.changed.clone(),
        }
    }

    fn enter<'a>(&'a self, service: &'a ServiceName, priority: u8) -> Ticket<'a> {
        let mut waiting = self.waiting();
        let place = (priority, waiting.next);
        waiting.next += 1;
        let line = waiting.lines.entry(service.clone()).or_default();
        line.insert(place);
        Ticket {
            admission: self,
            service,
            place,
        }
    }

    fn is_first(&self, ticket: &Ticket<'_>) -> bool {
        let waiting = self.waiting();
        let line = waiting.lines.get(ticket.service);
        line.and_then(|l| l.first()) == Some(&ticket.place)
    }
}

/// Until when a request that just arrived may wait.
pub fn wait_until(job: &Job) -> Instant {
    let wait = job.route.objective.mul_f64(WAIT_PART);
    (job.arrived + wait).min(job.deadline)
}

/// Waits until `until` for a slot at an upstream that isn't among `tried`.
pub async fn slot(
    cx: &Cx,
    job: &Job,
    service: &Service,
    tried: &[Arc<Upstream>],
    until: Instant,
) -> Result<Slot, Refusal> {
    let ticket = cx.admission.enter(&job.service, job.priority());
    loop {
        let mut nobody = false;
        if cx.admission.is_first(&ticket) {
            match pick(cx, job, service, tried) {
                Pick::Chosen(slot) => {
                    // There may be room for the next one too.
                    cx.admission.freed.notify_one();
                    return Ok(slot);
                }
                Pick::Full => {}
                Pick::Nobody => nobody = true,
            }
        }
        let now = Instant::now();
        if now >= until {
            return Err(match nobody {
                true => Refusal::NoUpstream(NOBODY_RETRY),
                false => Refusal::Busy(BUSY_RETRY),
            });
        }
        let recheck = (now + RECHECK).min(until);
        tokio::select! {
            _ = cx.admission.freed.notified() => {}
            _ = tokio::time::sleep_until(recheck.into()) => {}
        }
    }
}

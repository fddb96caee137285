//! Queues requests until a slot at an upstream is free.
//!
//! A request is queued until an upstream has free capacity, in the order of [`decide::queue`]. A request that can't be
//! served within its objective is refused early, so that its caller can retry while that still helps. If there is no
//! upstream at all, or none may be sent a request in time, it is refused at once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use catalog::{Service, ServiceName};
use decide::DeadlineClass;
use decide::priority::Standing;
use decide::quarantine::Isolation;
use decide::queue::{Queue, Ticket, max_wait};
use decide::retry_after::{Reason, delay_until_available};
use decide::returns::LateOutcome;
use rand::RngExt;
use tokio::sync::Notify;

use crate::Cx;
use crate::balance::{Pick, pick};
use crate::rank;
use crate::refusal::Refusal;
use crate::request::RoutedRequest;
use crate::returns::{constant_refusal, must_wait, record_outcome, refusal};
use crate::upstream::{Slot, SlotNotifier, Upstream};

/// Interval at which a queued request checks for a slot even if none was freed here: another gateway may have freed
/// one, and its load update takes up to 25 ms.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Queues of requests, by service.
#[derive(Debug, Default)]
pub struct Admission {
    queues: Mutex<Map<ServiceName, Queue>>,
    slot_freed: Arc<Notify>,
    load_changed: Arc<Notify>,
}

/// Queue entry of a request, removed when dropped.
struct QueueGuard<'a> {
    admission: &'a Admission,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.admission.queues().get_mut(self.service) {
            queue.remove(&self.ticket);
        }
    }
}

impl Admission {
    fn queues(&self) -> MutexGuard<'_, Map<ServiceName, Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the notifier of freed slots.
    pub fn slot_freed(&self) -> Arc<Notify> {
        self.slot_freed.clone()
    }

    /// Waits until the requests in flight have changed.
    pub async fn load_changed(&self) {
        self.load_changed.notified().await;
    }

    /// Returns the notifier for a new slot.
    pub fn notifier(&self) -> SlotNotifier {
        SlotNotifier {
            slot_freed: self.slot_freed.clone(),
            load_changed: self.load_changed.clone(),
        }
    }

    fn enqueue<'a>(
        &'a self,
        service: &'a ServiceName,
        req: &RoutedRequest,
        standing: Option<Standing>,
    ) -> QueueGuard<'a> {
        let (class, priority) = match standing {
            // A request out of turn may have to wait although there is a slot, which others then take.
            _ if req.is_out_of_turn => (DeadlineClass::Late, u8::MAX),
            // Late ranks follow all others, so the class is part of the rank.
            Some(standing) => (DeadlineClass::OnTime, standing.queue_priority()),
            None => (req.deadline_class, req.priority()),
        };
        let mut queues = self.queues();
        let queue = queues.entry(service.clone()).or_default();
        QueueGuard {
            admission: self,
            service,
            ticket: queue.enqueue(class, priority),
        }
    }

    fn is_next(&self, guard: &QueueGuard<'_>) -> bool {
        let queues = self.queues();
        let queue = queues.get(guard.service);
        queue.is_some_and(|queue| queue.is_first(&guard.ticket))
    }
}

/// Returns until when a request that has just arrived may be queued.
pub fn queue_deadline(req: &RoutedRequest) -> Instant {
    (req.arrived + max_wait(req.bound_objective)).min(req.deadline)
}

/// Bounds on the wait for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotWait {
    /// Until when to wait.
    pub until: Instant,
    /// Whether a slot at an ejected upstream is of no use.
    pub skip_ejected: bool,
}

/// Waits for a slot at an upstream that isn't among `tried`. `isolation` is set for a suspect, and states whether it must
/// be kept apart from other suspects.
pub async fn acquire_slot(
    cx: &Cx,
    req: &RoutedRequest,
    service: &Service,
    tried: &[Arc<Upstream>],
    isolation: Option<Isolation>,
    wait: SlotWait,
) -> Result<Slot, Refusal> {
    let until = wait.until;
    let standing = rank::standing(cx, req, tried.len());
    let guard = cx.admission.enqueue(&req.service, req, standing);
    let (mut has_waited, mut is_reserved) = (false, false);
    loop {
        // A request that was sent before, such as a stream to be resumed, has had its slot.
        let must_wait = tried.is_empty() && must_wait(cx, req, service);
        if cx.admission.is_next(&guard) && !must_wait {
            match pick_isolated(isolation, cx, req, service, tried, has_waited, standing) {
                Pick::Chosen(upstream, _) if wait.skip_ejected && upstream.is_ejected() => {
                    return Err(refuse(cx, req, service, tried, Reason::Busy));
                }
                Pick::Chosen(upstream, version) => {
                    rank::record_admitted(cx, req, tried.len());
                    // There may be free capacity for the next request too.
                    cx.admission.slot_freed.notify_one();
                    if tried.is_empty() {
                        record_outcome(cx, req, service, LateOutcome::Served);
                    }
                    let unread = service
                        .engine
                        .as_ref()
                        .map_or(0, |_| req.metadata.prompt_tokens);
                    return Ok(Slot::acquire(
                        upstream,
                        version,
                        unread,
                        cx.admission.notifier(),
                    ));
                }
                Pick::Full => (has_waited, is_reserved) = (true, false),
                Pick::Reserved { lasts: true } => {
                    let refusal = refuse(cx, req, service, tried, Reason::Busy);
                    return Err(refusal.reserved());
                }
                Pick::Reserved { lasts: false } => (has_waited, is_reserved) = (true, true),
                Pick::NotBefore(at) if at < until => has_waited = true,
                Pick::NotBefore(at) => {
                    let remaining = at.saturating_duration_since(clock::now());
                    let draw = rand::rng().random_range(0.0..1.0);
                    return Err(Refusal::NotBefore(delay_until_available(remaining, draw)));
                }
                Pick::NoUpstream => {
                    return Err(refuse(cx, req, service, tried, Reason::NoUpstream));
                }
            }
        }
        let now = clock::now();
        if now >= until {
            let refusal = refuse(cx, req, service, tried, Reason::Busy);
            return Err(match is_reserved {
                true => refusal.reserved(),
                false => refusal,
            });
        }
        let recheck_at = (now + RECHECK_INTERVAL).min(until);
        tokio::select! {
            _ = cx.admission.slot_freed.notified() => {}
            _ = clock::sleep_until(recheck_at) => {}
        }
    }
}

/// Chooses an upstream. A suspect gets one where no other suspect is on trial; if these are full and isolation is only
/// preferred, any other.
fn pick_isolated(
    isolation: Option<Isolation>,
    cx: &Cx,
    req: &RoutedRequest,
    service: &Service,
    tried: &[Arc<Upstream>],
    has_waited: bool,
    standing: Option<Standing>,
) -> Pick {
    let Some(isolation) = isolation else {
        return pick(cx, req, service, tried, &[], has_waited, standing);
    };
    let trials = cx.suspects.active_trials(clock::now());
    match pick(cx, req, service, tried, &trials, has_waited, standing) {
        Pick::Full | Pick::Reserved { .. } if isolation == Isolation::Preferred => {
            pick(cx, req, service, tried, &[], has_waited, standing)
        }
        picked => picked,
    }
}

/// Returns the refusal of a request. One that was sent to an upstream before gets the constant delay, since its caller
/// may be answered otherwise.
fn refuse(
    cx: &Cx,
    req: &RoutedRequest,
    service: &Service,
    tried: &[Arc<Upstream>],
    reason: Reason,
) -> Refusal {
    if !tried.is_empty() {
        return constant_refusal(reason);
    }
    let outcome = match reason {
        Reason::Busy => LateOutcome::Refused,
        Reason::NoUpstream => LateOutcome::NoUpstream,
    };
    record_outcome(cx, req, service, outcome);
    refusal(cx, req, service, reason)
}

//! Requests waiting for a slot.
//!
//! A request waits until an upstream has room, in the order of [`decide::queue`]. One that can't be served
//! within its objective is refused early, so that its caller can come back while that still helps; where
//! there is no upstream at all, or none may be sent a request before then, at once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::Map;
use catalog::{Service, ServiceName};
use decide::quarantine::Isolation;
use decide::queue::{Queue, Ticket, max_wait};
use decide::retry_after::{Reason, delay_until_available, jittered_delay};
use rand::RngExt;
use tokio::sync::Notify;

use crate::Cx;
use crate::balance::{Pick, pick};
use crate::refusal::Refusal;
use crate::request::RoutedRequest;
use crate::upstream::{Slot, SlotNotifier, Upstream};

/// A waiting request looks again after this long even if nothing was freed here: a slot may have
/// been freed by another gateway, whose note takes up to 25 ms.
const RECHECK: Duration = Duration::from_millis(10);

/// Requests waiting for a slot.
#[derive(Debug, Default)]
pub struct Admission {
    lines: Mutex<Map<ServiceName, Queue>>,
    freed: Arc<Notify>,
    changed: Arc<Notify>,
}

/// A place in the line, given up when dropped.
struct QueueGuard<'a> {
    admission: &'a Admission,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(line) = self.admission.lines().get_mut(self.service) {
            line.remove(&self.ticket);
        }
    }
}

impl Admission {
    fn lines(&self) -> MutexGuard<'_, Map<ServiceName, Queue>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// SlotNotifier when a slot is freed.
    pub fn slot_freed(&self) -> Arc<Notify> {
        self.freed.clone()
    }

    /// Waits until what is in flight has changed.
    pub async fn load_changed(&self) {
        self.changed.notified().await;
    }

    /// What a slot tells of its beginning and its end.
    pub fn notifier(&self) -> SlotNotifier {
        SlotNotifier {
            slot_freed: self.freed.clone(),
            load_changed: self.changed.clone(),
        }
    }

    fn enter<'a>(&'a self, service: &'a ServiceName, job: &RoutedRequest) -> QueueGuard<'a> {
        let mut lines = self.lines();
        let line = lines.entry(service.clone()).or_default();
        QueueGuard {
            admission: self,
            service,
            ticket: line.enqueue(job.deadline_class, job.priority()),
        }
    }

    fn is_first(&self, guard: &QueueGuard<'_>) -> bool {
        let lines = self.lines();
        let line = lines.get(guard.service);
        line.is_some_and(|line| line.is_first(&guard.ticket))
    }
}

/// Until when a request that just arrived may wait.
pub fn wait_until(job: &RoutedRequest) -> Instant {
    (job.arrived + max_wait(job.route.objective)).min(job.deadline)
}

/// Waits until `until` for a slot at an upstream that isn't among `tried`; `care` says that the request is a
/// suspect, and how far it is kept from others.
pub async fn slot(
    cx: &Cx,
    job: &RoutedRequest,
    service: &Service,
    tried: &[Arc<Upstream>],
    care: Option<Isolation>,
    until: Instant,
) -> Result<Slot, Refusal> {
    let guard = cx.admission.enter(&job.service, job);
    let mut waits = false;
    loop {
        if cx.admission.is_first(&guard) {
            match pick_with(care, cx, job, service, tried, waits) {
                Pick::Chosen(upstream, version) => {
                    // There may be room for the next one too.
                    cx.admission.freed.notify_one();
                    let unread = service
                        .engine
                        .as_ref()
                        .map_or(0, |_| job.metadata.prompt_tokens);
                    return Ok(Slot::acquire(
                        upstream,
                        version,
                        unread,
                        cx.admission.notifier(),
                    ));
                }
                Pick::Full => waits = true,
                Pick::NotBefore(at) if at < until => waits = true,
                Pick::NotBefore(at) => {
                    let left = at.saturating_duration_since(clock::now());
                    let draw = rand::rng().random_range(0.0..1.0);
                    return Err(Refusal::NotBefore(delay_until_available(left, draw)));
                }
                Pick::Nobody => return Err(Refusal::NoUpstream(come_back(Reason::NoUpstream))),
            }
        }
        let now = clock::now();
        if now >= until {
            return Err(Refusal::Busy(come_back(Reason::Busy)));
        }
        let recheck = (now + RECHECK).min(until);
        tokio::select! {
            _ = cx.admission.freed.notified() => {}
            _ = clock::sleep_until(recheck) => {}
        }
    }
}

/// Chooses an upstream; for a suspect one where no other is being tried, if there is room.
fn pick_with(
    care: Option<Isolation>,
    cx: &Cx,
    job: &RoutedRequest,
    service: &Service,
    tried: &[Arc<Upstream>],
    waits: bool,
) -> Pick {
    let Some(care) = care else {
        return pick(cx, job, service, tried, &[], waits);
    };
    let trials = cx.suspects.active_trials(clock::now());
    match pick(cx, job, service, tried, &trials, waits) {
        Pick::Full if care == Isolation::Preferred => pick(cx, job, service, tried, &[], waits),
        picked => picked,
    }
}

fn come_back(reason: Reason) -> Duration {
    jittered_delay(reason, rand::rng().random_range(0.0..1.0))
}

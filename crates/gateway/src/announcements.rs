//! Schedules of updates to other gateways, and the pending updates of suspects.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Fingerprint, Map};
use beacon::{SuspectUpdate, TrialUpdate};
use decide::quarantine::{Quarantine, SuspectState, Trial, UpstreamExit};
use tokio::sync::Notify;

/// Delays after which an update is repeated, in case a datagram is lost: at a loss of 10 in 100, four transmissions
/// miss one receiver in 10,000.
const REPEAT_DELAYS: [Duration; 3] = [
    Duration::from_millis(60),
    Duration::from_millis(250),
    Duration::from_millis(1000),
];

/// Delay of updates to other failure domains that exceed the maximum number per message.
pub(crate) const FAR_DELAY: Duration = Duration::from_millis(60);

/// Receivers of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Gateways of the own failure domain.
    Near,
    /// These, and one or two of each other failure domain, which relay it.
    Everywhere,
}

/// Schedule of an update that is sent, and repeated in case datagrams are lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Announcement {
    pub(crate) scope: Scope,
    pub(crate) due: Instant,
    /// Index of the next delay in [`REPEAT_DELAYS`].
    repetition: usize,
}

impl Announcement {
    /// Returns a schedule with all repetitions.
    pub(crate) fn repeated(due: Instant, scope: Scope) -> Announcement {
        let repetition = 0;
        Announcement {
            scope,
            due,
            repetition,
        }
    }

    /// Returns a schedule without repetitions.
    pub(crate) fn once(due: Instant, scope: Scope) -> Announcement {
        let repetition = REPEAT_DELAYS.len();
        Announcement {
            scope,
            due,
            repetition,
        }
    }

    /// Returns the schedule after a transmission; `None` after the last one.
    pub(crate) fn next(self, now: Instant) -> Option<Announcement> {
        let delay = REPEAT_DELAYS.get(self.repetition)?;
        Some(Announcement {
            due: now + *delay,
            repetition: self.repetition + 1,
            ..self
        })
    }
}

/// Updates that are due.
#[derive(Debug, Default)]
pub(crate) struct DueSuspects {
    /// For gateways of the own failure domain.
    pub(crate) near: Vec<SuspectUpdate>,
    /// For other failure domains.
    pub(crate) far: Vec<SuspectUpdate>,
}

/// Updates that are still to be sent, by request.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    scheduled: Mutex<Map<Fingerprint, Announcement>>,
    changed: Notify,
}

impl PendingUpdates {
    fn scheduled(&self) -> MutexGuard<'_, Map<Fingerprint, Announcement>> {
        self.scheduled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Schedules an update of a suspect, due at once and with all repetitions.
    pub(crate) fn add(&self, request: Fingerprint, scope: Scope) {
        let mut scheduled = self.scheduled();
        let before = scheduled.get(&request).map(|a| a.scope);
        let scope = before.map_or(scope, |before| before.max(scope));
        scheduled.insert(request, Announcement::repeated(clock::now(), scope));
        drop(scheduled);
        self.changed.notify_one();
    }

    /// Waits until an update was added.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the updates that are due, the most severe first, with at most `max_far` for other failure domains; and
    /// when the next ones are due. Schedules their repetitions.
    pub(crate) fn due(
        &self,
        quarantine: &Quarantine,
        now: Instant,
        max_far: usize,
    ) -> (DueSuspects, Option<Instant>) {
        let mut scheduled = self.scheduled();
        let mut due = DueSuspects::default();
        let mut ready: Vec<Fingerprint> = scheduled
            .iter()
            .filter(|(_, a)| a.due <= now)
            .map(|(r, _)| *r)
            .collect();
        ready.sort_by_cached_key(|r| {
            std::cmp::Reverse(quarantine.suspect(r).map_or(0, |s| s.exits.len()))
        });
        for request in ready {
            let (Some(mut announcement), Some(suspect)) =
                (scheduled.remove(&request), quarantine.suspect(&request))
            else {
                continue;
            };
            let update = suspect_update(request, suspect, now);
            due.near.push(update.clone());
            if announcement.scope == Scope::Everywhere {
                if due.far.len() == max_far {
                    announcement.due = now + FAR_DELAY;
                    scheduled.insert(request, announcement);
                    continue;
                }
                due.far.push(update);
            }
            if let Some(next) = announcement.next(now) {
                scheduled.insert(request, next);
            }
        }
        let next = scheduled.values().map(|a| a.due).min();
        (due, next)
    }
}

/// Returns the update that describes a suspect.
pub(crate) fn suspect_update(
    request: Fingerprint,
    suspect: &SuspectState,
    now: Instant,
) -> SuspectUpdate {
    let ago = |at: Instant| now.saturating_duration_since(at);
    SuspectUpdate {
        request,
        exits: suspect
            .exits
            .iter()
            .map(|e| (e.incarnation, ago(e.at)))
            .collect(),
        finished: suspect.completed.map(ago),
        trial: suspect.trial.map(|t| TrialUpdate {
            number: t.number,
            upstream: t.upstream,
            ago: ago(t.started),
        }),
    }
}

/// Returns the suspect that an update describes, in times of this gateway's clock.
pub(crate) fn suspect_from_update(update: SuspectUpdate, now: Instant) -> SuspectState {
    // The monotonic clock may not reach that far back.
    let at = |ago: Duration| now.checked_sub(ago).unwrap_or(now);
    SuspectState {
        exits: update
            .exits
            .into_iter()
            .map(|(incarnation, ago)| UpstreamExit {
                incarnation,
                at: at(ago),
            })
            .collect(),
        completed: update.finished.map(at),
        trial: update.trial.map(|t| Trial {
            number: t.number,
            upstream: t.upstream,
            started: at(t.ago),
        }),
    }
}

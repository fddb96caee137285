//! What other gateways are still to be told of requests under which upstreams ended, and when.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Fingerprint, Map};
use beacon::{SuspectUpdate, TrialUpdate};
use decide::quarantine::{Quarantine, SuspectState, Trial, UpstreamExit};
use tokio::sync::Notify;

/// Times after which news is told again, in case that a datagram was lost: of 10 in 100 lost, four leave out
/// one receiver in 10,000.
const ROUNDS: [Duration; 3] = [
    Duration::from_millis(60),
    Duration::from_millis(250),
    Duration::from_millis(1000),
];

/// Time after which news that doesn't fit what goes to other failure domains is told there.
const FAR_INTERVAL: Duration = Duration::from_millis(60);

/// Whom news goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Gateways of the own failure domain.
    Near,
    /// These, and one or two of each other domain, which pass it on.
    Everywhere,
}

/// An announcement that is to be sent, and sent again in case that datagrams are lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Announcement {
    pub(crate) scope: Scope,
    pub(crate) due: Instant,
    /// Index of the next pause in [`ROUNDS`].
    round: usize,
}

impl Announcement {
    /// One that is sent in all rounds.
    pub(crate) fn repeated(due: Instant, scope: Scope) -> Announcement {
        let round = 0;
        Announcement { scope, due, round }
    }

    /// One that is sent once.
    pub(crate) fn once(due: Instant, scope: Scope) -> Announcement {
        let round = ROUNDS.len();
        Announcement { scope, due, round }
    }

    /// What follows after it was sent.
    pub(crate) fn next(self, now: Instant) -> Option<Announcement> {
        let pause = ROUNDS.get(self.round)?;
        Some(Announcement {
            due: now + *pause,
            round: self.round + 1,
            ..self
        })
    }
}

/// What is to be told now.
#[derive(Debug, Default)]
pub(crate) struct DueSuspects {
    /// To gateways of the failure domain.
    pub(crate) near: Vec<SuspectUpdate>,
    /// To other failure domains.
    pub(crate) far: Vec<SuspectUpdate>,
}

/// News that is still to be told.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    untold: Mutex<Map<Fingerprint, Announcement>>,
    changed: Notify,
}

impl PendingUpdates {
    fn untold(&self) -> MutexGuard<'_, Map<Fingerprint, Announcement>> {
        self.untold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has news told, from the next moment on.
    pub(crate) fn add(&self, request: Fingerprint, scope: Scope) {
        let mut untold = self.untold();
        let before = untold.get(&request).map(|u| u.scope);
        let scope = before.map_or(scope, |before| before.max(scope));
        untold.insert(request, Announcement::repeated(clock::now(), scope));
        drop(untold);
        self.changed.notify_one();
    }

    /// Waits until there is something new to tell.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// What is to be told now, the gravest first, at most so many cases to other failure domains; and when more
    /// is.
    pub(crate) fn due(
        &self,
        quarantine: &Quarantine,
        now: Instant,
        most_far: usize,
    ) -> (DueSuspects, Option<Instant>) {
        let mut untold = self.untold();
        let mut due = DueSuspects::default();
        let mut ready: Vec<Fingerprint> = untold
            .iter()
            .filter(|(_, u)| u.due <= now)
            .map(|(r, _)| *r)
            .collect();
        ready.sort_by_cached_key(|r| {
            std::cmp::Reverse(quarantine.suspect(r).map_or(0, |c| c.exits.len()))
        });
        for request in ready {
            let (Some(mut news), Some(case)) =
                (untold.remove(&request), quarantine.suspect(&request))
            else {
                continue;
            };
            let note = suspect_update(request, case, now);
            due.near.push(note.clone());
            if news.scope == Scope::Everywhere {
                if due.far.len() == most_far {
                    news.due = now + FAR_INTERVAL;
                    untold.insert(request, news);
                    continue;
                }
                due.far.push(note);
            }
            if let Some(next) = news.next(now) {
                untold.insert(request, next);
            }
        }
        let next = untold.values().map(|u| u.due).min();
        (due, next)
    }
}

/// What others are told of a request.
pub(crate) fn suspect_update(
    request: Fingerprint,
    case: &SuspectState,
    now: Instant,
) -> SuspectUpdate {
    let ago = |at: Instant| now.saturating_duration_since(at);
    SuspectUpdate {
        request,
        exits: case
            .exits
            .iter()
            .map(|e| (e.incarnation, ago(e.at)))
            .collect(),
        finished: case.completed.map(ago),
        trial: case.trial.map(|t| TrialUpdate {
            number: t.number,
            upstream: t.upstream,
            ago: ago(t.started),
        }),
    }
}

/// What they tell, as this gateway's clock has it.
pub(crate) fn case_from_update(note: SuspectUpdate, now: Instant) -> SuspectState {
    // What is older than this clock tells was as long ago as it can tell.
    let at = |ago: Duration| now.checked_sub(ago).unwrap_or(now);
    SuspectState {
        exits: note
            .exits
            .into_iter()
            .map(|(incarnation, ago)| UpstreamExit {
                incarnation,
                at: at(ago),
            })
            .collect(),
        completed: note.finished.map(at),
        trial: note.trial.map(|t| Trial {
            number: t.number,
            upstream: t.upstream,
            started: at(t.ago),
        }),
    }
}

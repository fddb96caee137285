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
pub enum Reach {
    /// Gateways of the own failure domain.
    Near,
    /// These, and one or two of each other domain, which pass it on.
    Everywhere,
}

/// An announcement that is to be sent, and sent again in case that datagrams are lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Announcement {
    pub(crate) reach: Reach,
    pub(crate) due: Instant,
    /// Index of the next pause in [`ROUNDS`].
    round: usize,
}

impl Announcement {
    /// One that is sent in all rounds.
    pub(crate) fn repeated(due: Instant, reach: Reach) -> Announcement {
        let round = 0;
        Announcement { reach, due, round }
    }

    /// One that is sent once.
    pub(crate) fn once(due: Instant, reach: Reach) -> Announcement {
        let round = ROUNDS.len();
        Announcement { reach, due, round }
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
pub(crate) struct Due {
    /// To gateways of the failure domain.
    pub(crate) near: Vec<SuspectUpdate>,
    /// To other failure domains.
    pub(crate) far: Vec<SuspectUpdate>,
}

/// News that is still to be told.
#[derive(Debug, Default)]
pub(crate) struct News {
    untold: Mutex<Map<Fingerprint, Announcement>>,
    arrived: Notify,
}

impl News {
    fn untold(&self) -> MutexGuard<'_, Map<Fingerprint, Announcement>> {
        self.untold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has news told, from the next moment on.
    pub(crate) fn tell(&self, request: Fingerprint, reach: Reach) {
        let mut untold = self.untold();
        let before = untold.get(&request).map(|u| u.reach);
        let reach = before.map_or(reach, |before| before.max(reach));
        untold.insert(request, Announcement::repeated(clock::now(), reach));
        drop(untold);
        self.arrived.notify_one();
    }

    /// Waits until there is something new to tell.
    pub(crate) async fn arrived(&self) {
        self.arrived.notified().await;
    }

    /// What is to be told now, the gravest first, at most so many cases to other failure domains; and when more
    /// is.
    pub(crate) fn due(
        &self,
        quarantine: &Quarantine,
        now: Instant,
        most_far: usize,
    ) -> (Due, Option<Instant>) {
        let mut untold = self.untold();
        let mut due = Due::default();
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
            let note = note(request, case, now);
            due.near.push(note.clone());
            if news.reach == Reach::Everywhere {
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
pub(crate) fn note(request: Fingerprint, case: &SuspectState, now: Instant) -> SuspectUpdate {
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
pub(crate) fn case(note: SuspectUpdate, now: Instant) -> SuspectState {
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

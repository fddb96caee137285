//! Evidence on parts of prompts, as known to this gateway, and its pending updates to others.
//!
//! [`decide::part_evidence`] blames parts by it. [`crate::suspects`] quarantines those that are blamed.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::Fingerprint;
use beacon::{LostRunUpdate, PartUpdate};
use decide::part_evidence::{BlamedPart, LostRun, PartEvidence};
use tokio::sync::Notify;

use crate::announcements::{Announcement, FAR_DELAY, Scope};

/// Maximum number of pending updates; the latest are retained. An exit interrupts up to 16 requests, at all gateways
/// together.
const MAX_PENDING: usize = 256;

/// Evidence, in times of this gateway's clock.
#[derive(Debug, Clone)]
enum Observation {
    Lost(LostRun),
    Completed { part: Fingerprint, at: Instant },
}

/// Observation that is still to be sent.
#[derive(Debug)]
struct Pending {
    observation: Observation,
    announcement: Announcement,
}

/// Updates that are due, and when the next ones are.
#[derive(Debug, Default)]
pub(crate) struct DueParts {
    /// For gateways of the own failure domain.
    pub(crate) near: Vec<PartUpdate>,
    /// For other failure domains.
    pub(crate) far: Vec<PartUpdate>,
    pub(crate) next: Option<Instant>,
}

/// What updates of another gateway have changed.
#[derive(Debug, Default)]
pub(crate) struct PartChanges {
    /// Parts that are blamed now.
    pub(crate) blamed: Vec<BlamedPart>,
    /// Parts that completed, and when.
    pub(crate) cleared: Vec<(Fingerprint, Instant)>,
}

/// Evidence on parts of prompts.
#[derive(Debug)]
pub(crate) struct PromptParts {
    evidence: Mutex<PartEvidence>,
    pending: Mutex<Vec<Pending>>,
    changed: Notify,
}

impl PromptParts {
    /// Creates a collection without evidence; parts are quarantined for `hold_time` and longer.
    pub(crate) fn new(hold_time: Duration) -> PromptParts {
        PromptParts {
            evidence: Mutex::new(PartEvidence::new(hold_time)),
            pending: Mutex::default(),
            changed: Notify::default(),
        }
    }

    fn evidence(&self) -> MutexGuard<'_, PartEvidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, Vec<Pending>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether there is no evidence.
    pub(crate) fn is_empty(&self) -> bool {
        self.evidence().is_empty()
    }

    /// Records a lost run of this gateway. Returns the parts that are blamed now.
    pub(crate) fn record_lost(&self, run: LostRun) -> Vec<BlamedPart> {
        let mut evidence = self.evidence();
        evidence.expire(run.ended);
        if !evidence.add(run.clone()) {
            return Vec::new();
        }
        let blamed = evidence.blame();
        drop(evidence);
        self.announce(Observation::Lost(run), Scope::Everywhere);
        blamed
    }

    /// Records that a request with these parts completed at this gateway.
    pub(crate) fn record_completion(&self, parts: &[Fingerprint], now: Instant) {
        let cleared = self.evidence().record_completion(parts, now);
        for part in cleared {
            let completed = Observation::Completed { part, at: now };
            self.announce(completed, Scope::Everywhere);
        }
    }

    /// Drops the evidence against a part.
    pub(crate) fn clear(&self, part: &Fingerprint, now: Instant) {
        self.evidence().record_completion(&[*part], now);
    }

    /// Returns whether a blamed part may not be the cause, for a request with these parts.
    pub(crate) fn is_doubtful(&self, part: &Fingerprint, parts_of_request: &[Fingerprint]) -> bool {
        self.evidence().is_doubtful(part, parts_of_request)
    }

    /// Applies updates of another gateway, and relays those that are new to `relay_to`.
    pub(crate) fn receive(
        &self,
        updates: Vec<PartUpdate>,
        relay_to: Option<Scope>,
        now: Instant,
    ) -> PartChanges {
        let mut changes = PartChanges::default();
        self.evidence().expire(now);
        for update in updates {
            let observation = observation(update, now);
            let mut evidence = self.evidence();
            let is_new = match &observation {
                Observation::Lost(run) => evidence.add(run.clone()),
                Observation::Completed { part, at } => {
                    let cleared = evidence.record_completion(&[*part], *at);
                    changes
                        .cleared
                        .extend(cleared.iter().map(|part| (*part, *at)));
                    !cleared.is_empty()
                }
            };
            drop(evidence);
            if let Some(scope) = relay_to.filter(|_| is_new) {
                self.announce(observation, scope);
            }
        }
        changes.blamed = self.evidence().blame();
        changes
    }

    fn announce(&self, observation: Observation, scope: Scope) {
        let mut pending = self.pending();
        if pending.len() == MAX_PENDING {
            pending.remove(0);
        }
        pending.push(Pending {
            observation,
            announcement: Announcement::repeated(clock::now(), scope),
        });
        drop(pending);
        self.changed.notify_one();
    }

    /// Waits until an update was added.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the updates that are due, with at most `max_far` for other failure domains. Schedules their repetitions.
    pub(crate) fn due(&self, now: Instant, max_far: usize) -> DueParts {
        self.evidence().expire(now);
        let mut pending = self.pending();
        let mut due = DueParts::default();
        let mut rest = Vec::new();
        for mut item in std::mem::take(&mut *pending) {
            if item.announcement.due > now {
                rest.push(item);
                continue;
            }
            let update = part_update(&item.observation, now);
            due.near.push(update.clone());
            match item.announcement.scope {
                Scope::Everywhere if due.far.len() == max_far => {
                    item.announcement.due = now + FAR_DELAY;
                    rest.push(item);
                    continue;
                }
                Scope::Everywhere => due.far.push(update),
                Scope::Near => {}
            }
            if let Some(announcement) = item.announcement.next(now) {
                item.announcement = announcement;
                rest.push(item);
            }
        }
        due.next = rest.iter().map(|item| item.announcement.due).min();
        *pending = rest;
        due
    }
}

fn part_update(observation: &Observation, now: Instant) -> PartUpdate {
    let ago = |at: Instant| now.saturating_duration_since(at);
    match observation {
        Observation::Lost(run) => PartUpdate::Lost(LostRunUpdate {
            request: run.request,
            incarnation: run.incarnation,
            started: ago(run.started),
            ended: ago(run.ended),
            parts: run.parts.clone(),
        }),
        Observation::Completed { part, at } => PartUpdate::Completed {
            part: *part,
            ago: ago(*at),
        },
    }
}

/// Returns what an update describes, in times of this gateway's clock.
fn observation(update: PartUpdate, now: Instant) -> Observation {
    // The monotonic clock may not reach that far back.
    let at = |ago: Duration| now.checked_sub(ago).unwrap_or(now);
    match update {
        PartUpdate::Lost(run) => Observation::Lost(LostRun {
            request: run.request,
            incarnation: run.incarnation,
            started: at(run.started),
            ended: at(run.ended),
            parts: run.parts,
        }),
        PartUpdate::Completed { part, ago } => Observation::Completed { part, at: at(ago) },
    }
}

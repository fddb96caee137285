//! Answers that were lost while it didn't show whether their upstreams ended.
//!
//! Where a VM goes with its process, or a process is back at once, only the platform's list tells, seconds later.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Fingerprint, LifeId, Set};
use decide::quarantine::End;

/// Time in which the platform's list shows that an upstream ended, which didn't show at once: an entry lapses
/// after three heartbeats, and a list is up to 1.4 s old.
const LIST_TIME: Duration = Duration::from_secs(10);

/// Most lost answers of which that is still awaited, the latest.
const MOST_LOST: usize = 1024;

/// An answer that was lost, of whose upstream it isn't known whether it ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LostAnswer {
    /// The request.
    pub(crate) request: Fingerprint,
    /// Where it was sent.
    pub(crate) upstream: SocketAddr,
    /// The end of that upstream, if it was one.
    pub(crate) end: End,
}

/// Such answers, the earliest first.
#[derive(Debug, Default)]
pub(crate) struct LostAnswers(Mutex<VecDeque<LostAnswer>>);

impl LostAnswers {
    fn all(&self) -> MutexGuard<'_, VecDeque<LostAnswer>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes one.
    pub(crate) fn add(&self, answer: LostAnswer) {
        let mut all = self.all();
        if all.len() == MOST_LOST {
            all.pop_front();
        }
        all.push_back(answer);
    }

    /// Takes out those whose upstream isn't among the `lives` any more, and forgets those that are too old.
    pub(crate) fn of_ended(&self, lives: &Set<LifeId>, now: Instant) -> VecDeque<LostAnswer> {
        let mut all = self.all();
        all.retain(|l| now.saturating_duration_since(l.end.at) < LIST_TIME);
        let (ended, unknown) = std::mem::take(&mut *all)
            .into_iter()
            .partition(|l| !lives.contains(&l.end.life));
        *all = unknown;
        ended
    }

    /// Forgets those to a request that ran to its end since; its fingerprint is made only where there are any.
    pub(crate) fn found(&self, request: impl FnOnce() -> Fingerprint) {
        let mut all = self.all();
        if !all.is_empty() {
            let request = request();
            all.retain(|l| l.request != request);
        }
    }
}

//! Ends of upstreams that aren't confirmed yet: an answer was lost, and it didn't show at once why.
//!
//! Where a VM goes with its process, or a process is back at once, only the platform's list tells, seconds later.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Fingerprint, LifeId, Set};
use decide::quarantine::UpstreamExit;

/// Time in which the platform's list shows that an upstream ended, which didn't show at once: an entry lapses
/// after three heartbeats, and a list is up to 1.4 s old.
const LIST_TIME: Duration = Duration::from_secs(10);

/// Most ends of which that is still awaited, the latest.
const MOST_UNCONFIRMED: usize = 1024;

/// An answer that was lost, of whose upstream it isn't known yet whether it ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnconfirmedExit {
    /// The request.
    pub(crate) request: Fingerprint,
    /// Where it was sent.
    pub(crate) upstream: SocketAddr,
    /// The end of that upstream, if it was one.
    pub(crate) exit: UpstreamExit,
}

/// Such ends, the earliest first.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedExits(Mutex<VecDeque<UnconfirmedExit>>);

impl UnconfirmedExits {
    fn all(&self) -> MutexGuard<'_, VecDeque<UnconfirmedExit>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes one.
    pub(crate) fn add(&self, end: UnconfirmedExit) {
        let mut all = self.all();
        if all.len() == MOST_UNCONFIRMED {
            all.pop_front();
        }
        all.push_back(end);
    }

    /// Takes out those whose upstream isn't among the `lives` any more, and forgets those that are too old.
    pub(crate) fn take_confirmed(
        &self,
        lives: &Set<LifeId>,
        now: Instant,
    ) -> VecDeque<UnconfirmedExit> {
        let mut all = self.all();
        all.retain(|e| now.saturating_duration_since(e.exit.at) < LIST_TIME);
        let (ended, unknown) = std::mem::take(&mut *all)
            .into_iter()
            .partition(|e| !lives.contains(&e.exit.incarnation));
        *all = unknown;
        ended
    }

    /// Forgets those to a request that ran to its end since; its fingerprint is made only where there are any.
    pub(crate) fn forget(&self, request: impl FnOnce() -> Fingerprint) {
        let mut all = self.all();
        if !all.is_empty() {
            let request = request();
            all.retain(|e| e.request != request);
        }
    }
}

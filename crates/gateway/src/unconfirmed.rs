//! Upstream exits that aren't confirmed yet: a response was lost, and a probe didn't show why.
//!
//! If a VM goes down with its process, or a process restarts at once, only the platform's list shows the exit, seconds
//! later.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Fingerprint, Set, UpstreamIncarnation};
use decide::quarantine::UpstreamExit;

use crate::suspects::LostResponse;

/// Time within which the platform's list shows an exit that a probe didn't show: an entry expires after three
/// heartbeats, and a list is up to 1.4 s old.
const CONFIRM_TIME: Duration = Duration::from_secs(10);

/// Maximum number of unconfirmed exits; the latest are retained.
const MAX_UNCONFIRMED: usize = 1024;

/// Possible exit of an upstream whose response was lost.
#[derive(Debug)]
pub(crate) struct UnconfirmedExit {
    /// Run whose response was lost.
    pub(crate) run: LostResponse,
    /// Upstream that it was sent to.
    pub(crate) upstream: SocketAddr,
    /// Exit of that upstream, if it exited.
    pub(crate) exit: UpstreamExit,
}

/// Unconfirmed exits, the earliest first.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedExits(Mutex<VecDeque<UnconfirmedExit>>);

impl UnconfirmedExits {
    fn exits(&self) -> MutexGuard<'_, VecDeque<UnconfirmedExit>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an unconfirmed exit.
    pub(crate) fn add(&self, exit: UnconfirmedExit) {
        let mut exits = self.exits();
        if exits.len() == MAX_UNCONFIRMED {
            exits.pop_front();
        }
        exits.push_back(exit);
    }

    /// Removes and returns the exits of upstreams that aren't among the `listed` any more. Drops those that are too
    /// old.
    pub(crate) fn take_confirmed(
        &self,
        listed: &Set<UpstreamIncarnation>,
        now: Instant,
    ) -> VecDeque<UnconfirmedExit> {
        let mut exits = self.exits();
        exits.retain(|e| now.saturating_duration_since(e.exit.at) < CONFIRM_TIME);
        let (confirmed, unconfirmed) = std::mem::take(&mut *exits)
            .into_iter()
            .partition(|e| !listed.contains(&e.exit.incarnation));
        *exits = unconfirmed;
        confirmed
    }

    /// Drops the exits recorded for a request that has since completed. Its fingerprint is computed only if there
    /// are any exits.
    pub(crate) fn forget(&self, request: impl FnOnce() -> Fingerprint) {
        let mut exits = self.exits();
        if !exits.is_empty() {
            let request = request();
            exits.retain(|e| e.run.request != request);
        }
    }
}

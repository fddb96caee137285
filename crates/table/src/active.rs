//! The active edition of the table in a process.
//!
//! Its revision only increases, whatever the order in which editions arrive. The holder also records when
//! the platform last confirmed, directly or through other processes, that the edition is the current one.
//! The hold of a row starts at that confirmation.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::{Domains, Revision};
use tokio::sync::watch;

use crate::{Edition, Fault, Patch, Row, Table};

/// An edition and its parsed table.
#[derive(Debug)]
pub struct ActiveEdition {
    /// Edition.
    pub edition: Edition,
    /// Table.
    pub table: Table,
    /// Time since which this process serves it.
    pub since: Instant,
}

/// Why a patch was rejected.
#[derive(Debug)]
pub enum PatchError {
    /// The patch has a base that is not retained, or that it was not made from.
    UnknownBase,
    /// The table has faults, or does not fit this deployment.
    Faults(Vec<Fault>),
}

/// Editions retained as bases of patches.
const MAX_RETAINED: usize = 64;

/// Holder of the active edition.
#[derive(Debug)]
pub struct ActiveTable {
    domains: Domains,
    retained: Mutex<VecDeque<Arc<ActiveEdition>>>,
    current: watch::Sender<Arc<ActiveEdition>>,
    confirmed: Mutex<Option<Instant>>,
}

impl ActiveTable {
    /// Creates a holder of the empty table, without a confirmation.
    pub fn new(domains: Domains) -> ActiveTable {
        let initial = ActiveEdition {
            edition: Edition::initial(),
            table: Table::default(),
            since: Instant::now(),
        };
        ActiveTable {
            domains,
            retained: Mutex::default(),
            current: watch::Sender::new(Arc::new(initial)),
            confirmed: Mutex::new(None),
        }
    }

    /// Activates an edition if it is newer; returns whether it was.
    ///
    /// # Errors
    /// The faults of a table that does not fit the failure domains of this deployment.
    pub fn offer(&self, edition: Edition) -> Result<bool, Vec<Fault>> {
        if edition.revision <= self.revision() {
            return Ok(false);
        }
        let table = Table::parse(&edition.csv, &self.domains)?;
        let next = Arc::new(ActiveEdition {
            edition,
            table,
            since: Instant::now(),
        });
        Ok(self.current.send_if_modified(|current| {
            let newer = next.edition.revision > current.edition.revision;
            if newer {
                self.retain(next.clone());
                *current = next;
            }
            newer
        }))
    }

    /// Activates the edition that a patch results in if it is newer; returns whether it was.
    pub fn apply_patch(&self, patch: Patch) -> Result<bool, PatchError> {
        if patch.revision <= self.revision() {
            return Ok(false);
        }
        let base = self.retained(patch.base);
        let edition = patch
            .apply(base.as_ref().map(|base| &base.edition))
            .ok_or(PatchError::UnknownBase)?;
        self.offer(edition).map_err(PatchError::Faults)
    }

    /// Returns the active edition as a patch for a receiver that has the revision `have`.
    pub fn patch_from(&self, have: Revision) -> Patch {
        let current = self.current();
        match self.retained(have) {
            Some(base) => Patch::between(&base.edition, &current.edition),
            None => Patch::full(&current.edition),
        }
    }

    fn retain(&self, edition: Arc<ActiveEdition>) {
        let mut retained = self.retained.lock().unwrap_or_else(PoisonError::into_inner);
        retained.push_back(edition);
        if retained.len() > MAX_RETAINED {
            retained.pop_front();
        }
    }

    fn retained(&self, revision: Revision) -> Option<Arc<ActiveEdition>> {
        let retained = self.retained.lock().unwrap_or_else(PoisonError::into_inner);
        retained
            .iter()
            .find(|e| e.edition.revision == revision)
            .cloned()
    }

    /// Records that no newer edition than `revision` existed at `at`; ignored unless it is the active revision.
    pub fn confirm(&self, revision: Revision, at: Instant) {
        if revision != self.revision() {
            return;
        }
        let mut confirmed = self
            .confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *confirmed = (*confirmed).max(Some(at));
    }

    /// Returns the active edition.
    pub fn current(&self) -> Arc<ActiveEdition> {
        self.current.borrow().clone()
    }

    /// Returns the revision of the active edition.
    pub fn revision(&self) -> Revision {
        self.current.borrow().edition.revision
    }

    /// Subscribes to changes of the active edition.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ActiveEdition>> {
        self.current.subscribe()
    }

    /// Returns the time since the last confirmation; `None` before the first.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let confirmed = self
            .confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        confirmed.map(|at| at.elapsed())
    }

    /// Returns whether a row may still be served, given its hold and the last confirmation.
    pub fn may_serve(&self, row: &Row) -> bool {
        self.confirmation_age()
            .is_some_and(|age| row.hold.allows(age))
    }

    /// Returns the failure domains of the deployment.
    pub fn domains(&self) -> &Domains {
        &self.domains
    }
}

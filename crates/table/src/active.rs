//! The edition a process serves by.
//!
//! It only moves forward in revision, whoever offers an edition and in whatever order. Beside it
//! stands when the platform last confirmed, directly or through others, that nothing newer was in
//! force; a row's hold runs from then.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::{Domains, Revision};
use tokio::sync::watch;

use crate::{Edition, Fault, Patch, Row, Table};

/// An edition with its table read.
#[derive(Debug)]
pub struct ActiveEdition {
    /// Edition.
    pub edition: Edition,
    /// Table.
    pub table: Table,
    /// Since when this process serves by it.
    pub since: Instant,
}

/// Why an edition that came as a patch was not taken.
#[derive(Debug)]
pub enum PatchError {
    /// The patch starts from an edition that isn't known here.
    UnknownBase,
    /// The table has faults, or doesn't fit this deployment.
    Faults(Vec<Fault>),
}

/// Editions kept to make patches from and to follow them.
const KEPT: usize = 64;

/// Holder of the edition in force.
#[derive(Debug)]
pub struct ActiveTable {
    domains: Domains,
    kept: Mutex<VecDeque<Arc<ActiveEdition>>>,
    current: watch::Sender<Arc<ActiveEdition>>,
    confirmed: Mutex<Option<Instant>>,
}

impl ActiveTable {
    /// A holder of the empty table, as yet unconfirmed.
    pub fn new(domains: Domains) -> ActiveTable {
        let initial = ActiveEdition {
            edition: Edition::initial(),
            table: Table::default(),
            since: Instant::now(),
        };
        ActiveTable {
            domains,
            kept: Mutex::default(),
            current: watch::Sender::new(Arc::new(initial)),
            confirmed: Mutex::new(None),
        }
    }

    /// Takes an edition if it is newer; says whether it was.
    ///
    /// # Errors
    /// The faults of a table that doesn't fit this deployment's domains.
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
                self.keep(next.clone());
                *current = next;
            }
            newer
        }))
    }

    /// Takes an edition that came as a patch if it is newer; says whether it was.
    pub fn apply_patch(&self, patch: Patch) -> Result<bool, PatchError> {
        if patch.revision <= self.revision() {
            return Ok(false);
        }
        let base = self.kept(patch.base);
        let edition = patch
            .apply(base.as_ref().map(|kept| &kept.edition))
            .ok_or(PatchError::UnknownBase)?;
        self.offer(edition).map_err(PatchError::Faults)
    }

    /// The edition in force as a patch for one who has a revision.
    pub fn patch_from(&self, have: Revision) -> Patch {
        let view = self.current();
        match self.kept(have) {
            Some(base) => Patch::between(&base.edition, &view.edition),
            None => Patch::full(&view.edition),
        }
    }

    fn keep(&self, edition: Arc<ActiveEdition>) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.push_back(edition);
        if kept.len() > KEPT {
            kept.pop_front();
        }
    }

    fn kept(&self, revision: Revision) -> Option<Arc<ActiveEdition>> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.iter()
            .find(|k| k.edition.revision == revision)
            .cloned()
    }

    /// Notes that at `at` nothing newer than `revision` was in force.
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

    /// The edition in force here.
    pub fn current(&self) -> Arc<ActiveEdition> {
        self.current.borrow().clone()
    }

    /// Its revision.
    pub fn revision(&self) -> Revision {
        self.current.borrow().edition.revision
    }

    /// Follows the editions.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ActiveEdition>> {
        self.current.subscribe()
    }

    /// Time since the last confirmation; `None` before the first.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let confirmed = self
            .confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        confirmed.map(|at| at.elapsed())
    }

    /// Whether a row may be served by now, given its hold.
    pub fn may_serve(&self, row: &Row) -> bool {
        self.confirmation_age()
            .is_some_and(|age| row.hold.allows(age))
    }

    /// All failure domains.
    pub fn domains(&self) -> &Domains {
        &self.domains
    }
}

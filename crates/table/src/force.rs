//! The edition a process serves by.
//!
//! It only moves forward in revision, whoever offers an edition and in whatever order. Beside it
//! stands when the platform last confirmed, directly or through others, that nothing newer was in
//! force; a row's hold runs from then.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::{Domains, Revision};
use tokio::sync::watch;

use crate::{Edition, Fault, Row, Table};

/// An edition with its table read.
#[derive(Debug)]
pub struct InForce {
    /// Edition.
    pub edition: Edition,
    /// Table.
    pub table: Table,
    /// Since when this process serves by it.
    pub since: Instant,
}

/// Holder of the edition in force.
#[derive(Debug)]
pub struct Force {
    domains: Domains,
    current: watch::Sender<Arc<InForce>>,
    confirmed: Mutex<Option<Instant>>,
}

impl Force {
    /// A holder of the empty table, as yet unconfirmed.
    pub fn new(domains: Domains) -> Force {
        let initial = InForce {
            edition: Edition::initial(),
            table: Table::default(),
            since: Instant::now(),
        };
        Force {
            domains,
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
        let next = Arc::new(InForce {
            edition,
            table,
            since: Instant::now(),
        });
        Ok(self.current.send_if_modified(|current| {
            let newer = next.edition.revision > current.edition.revision;
            if newer {
                *current = next;
            }
            newer
        }))
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
    pub fn view(&self) -> Arc<InForce> {
        self.current.borrow().clone()
    }

    /// Its revision.
    pub fn revision(&self) -> Revision {
        self.current.borrow().edition.revision
    }

    /// Follows the editions.
    pub fn subscribe(&self) -> watch::Receiver<Arc<InForce>> {
        self.current.subscribe()
    }

    /// Time since the last confirmation; `None` before the first.
    pub fn age(&self) -> Option<Duration> {
        let confirmed = self
            .confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        confirmed.map(|at| at.elapsed())
    }

    /// Whether a row may be served by now, given its hold.
    pub fn holds(&self, row: &Row) -> bool {
        self.age().is_some_and(|age| row.hold.allows(age))
    }

    /// All failure domains.
    pub fn domains(&self) -> &Domains {
        &self.domains
    }
}

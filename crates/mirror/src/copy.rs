//! Copies of documents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, Revision};
use bytes::Bytes;
use tokio::sync::watch;

use crate::DocName;

/// A copy of a document.
#[derive(Debug, Clone)]
pub struct Copy {
    /// Revision.
    pub revision: Revision,
    /// Body.
    pub body: Bytes,
    /// When the store last confirmed it.
    pub confirmed: Instant,
    /// Time from the last confirmation of the copy before this one to the first of this one; zero
    /// where there was none before.
    pub gap: Duration,
}

/// All copies of a process.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    copies: Arc<Mutex<Map<DocName, Copy>>>,
    changed: Arc<watch::Sender<()>>,
}

impl Mirror {
    /// Takes a copy that was confirmed `age` ago; `true` where it is newer than the one held.
    pub fn take(&self, name: DocName, revision: Revision, body: Bytes, age: Duration) -> bool {
        let now = Instant::now();
        let confirmed = now.checked_sub(age).unwrap_or(now);
        let mut copies = self.lock();
        let gap = match copies.get_mut(name) {
            Some(copy) if copy.revision > revision => return false,
            Some(copy) if copy.revision == revision => {
                copy.confirmed = copy.confirmed.max(confirmed);
                return false;
            }
            Some(copy) => confirmed.saturating_duration_since(copy.confirmed),
            None => Duration::ZERO,
        };
        let copy = Copy {
            revision,
            body,
            confirmed,
            gap,
        };
        copies.insert(name, copy);
        drop(copies);
        self.changed.send_replace(());
        true
    }

    /// Notes that the store confirmed a revision `age` ago, where that is the one held.
    pub fn confirm(&self, name: DocName, revision: Revision, age: Duration) {
        let now = Instant::now();
        let confirmed = now.checked_sub(age).unwrap_or(now);
        if let Some(copy) = self.lock().get_mut(name).filter(|c| c.revision == revision) {
            copy.confirmed = copy.confirmed.max(confirmed);
        }
    }

    /// The copy held.
    pub fn get(&self, name: DocName) -> Option<Copy> {
        self.lock().get(name).cloned()
    }

    /// Revision of the copy held; 0 where there is none.
    pub fn revision(&self, name: DocName) -> Revision {
        self.lock().get(name).map_or(0, |copy| copy.revision)
    }

    /// Time since the store last confirmed the copy; `None` where there is none.
    pub fn age(&self, name: DocName) -> Option<Duration> {
        self.lock().get(name).map(|copy| copy.confirmed.elapsed())
    }

    /// Told of every new revision of any document.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Map<DocName, Copy>> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

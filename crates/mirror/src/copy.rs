//! Copies of documents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, Revision};
use bytes::Bytes;
use tokio::sync::watch;

use crate::DocName;
use crate::pack::{PackError, pack};

/// Earlier bodies kept of each document, so that a process some revisions behind gets only what
/// changed since. In quick succession a process is up to three behind.
const EARLIER: usize = 3;

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

/// The copy of a document, and what is kept to pass it on.
#[derive(Debug)]
struct Held {
    copy: Copy,
    /// Earlier bodies, the newest last.
    earlier: Vec<(Revision, Bytes)>,
    /// The body packed against the revision that an asker holds; 0 for none.
    packed: Map<Revision, Bytes>,
}

/// A body packed against an earlier revision.
#[derive(Debug)]
pub(crate) struct Packed {
    /// Revision that it is packed against; 0 for none.
    pub(crate) against: Revision,
    pub(crate) body: Bytes,
}

/// All copies of a process.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    documents: Arc<Mutex<Map<DocName, Held>>>,
    changed: Arc<watch::Sender<()>>,
    confirmed: Arc<watch::Sender<()>>,
}

impl Mirror {
    /// Takes a copy that was confirmed `age` ago; `true` where it is newer than the one held.
    pub fn take(&self, name: DocName, revision: Revision, body: Bytes, age: Duration) -> bool {
        let now = Instant::now();
        let confirmed = now.checked_sub(age).unwrap_or(now);
        let mut documents = self.lock();
        let gap = match documents.get_mut(name) {
            Some(held) if held.copy.revision > revision => return false,
            Some(held) if held.copy.revision == revision => {
                held.copy.confirmed = held.copy.confirmed.max(confirmed);
                self.confirmed.send_replace(());
                return false;
            }
            Some(held) => confirmed.saturating_duration_since(held.copy.confirmed),
            None => Duration::ZERO,
        };
        let copy = Copy {
            revision,
            body,
            confirmed,
            gap,
        };
        let before = documents.remove(name);
        documents.insert(name, Held::after(before, copy));
        drop(documents);
        self.changed.send_replace(());
        true
    }

    /// Notes that the store confirmed a revision `age` ago, where that is the one held.
    pub fn confirm(&self, name: DocName, revision: Revision, age: Duration) {
        let now = Instant::now();
        let confirmed = now.checked_sub(age).unwrap_or(now);
        let mut documents = self.lock();
        let same = documents
            .get_mut(name)
            .filter(|held| held.copy.revision == revision);
        if let Some(held) = same {
            held.copy.confirmed = held.copy.confirmed.max(confirmed);
            self.confirmed.send_replace(());
        }
    }

    /// The copy held.
    pub fn get(&self, name: DocName) -> Option<Copy> {
        self.lock().get(name).map(|held| held.copy.clone())
    }

    /// Revision of the copy held; 0 where there is none.
    pub fn revision(&self, name: DocName) -> Revision {
        self.lock().get(name).map_or(0, |held| held.copy.revision)
    }

    /// Time since the store last confirmed the copy; `None` where there is none.
    pub fn age(&self, name: DocName) -> Option<Duration> {
        let documents = self.lock();
        documents
            .get(name)
            .map(|held| held.copy.confirmed.elapsed())
    }

    /// Told of every new revision of any document.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Told of every confirmation of the revision of any document that is held.
    pub fn confirmations(&self) -> watch::Receiver<()> {
        self.confirmed.subscribe()
    }

    /// The body for a process that holds a revision, packed once for all that hold the same.
    pub(crate) fn packed(&self, name: DocName, known: Revision) -> Result<Packed, PackError> {
        let mut documents = self.lock();
        let Some(held) = documents.get_mut(name) else {
            return Ok(Packed {
                against: 0,
                body: Bytes::new(),
            });
        };
        let earlier = held.body_of(known);
        let against = earlier.as_ref().map_or(0, |_| known);
        if let Some(body) = held.packed.get(&against).cloned() {
            return Ok(Packed { against, body });
        }
        let body = pack(&held.copy.body, &earlier.unwrap_or_default())?;
        held.packed.insert(against, body.clone());
        Ok(Packed { against, body })
    }

    /// The body of a revision that is held or was held before it.
    pub(crate) fn body_of(&self, name: DocName, revision: Revision) -> Option<Bytes> {
        let documents = self.lock();
        documents.get(name).and_then(|held| held.body_of(revision))
    }

    fn lock(&self) -> MutexGuard<'_, Map<DocName, Held>> {
        self.documents
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    /// A newer copy in place of what was held before.
    fn after(before: Option<Held>, copy: Copy) -> Held {
        let mut earlier = Vec::new();
        if let Some(before) = before {
            earlier = before.earlier;
            earlier.push((before.copy.revision, before.copy.body));
        }
        let surplus = earlier.len().saturating_sub(EARLIER);
        earlier.drain(..surplus);
        Held {
            copy,
            earlier,
            packed: Map::default(),
        }
    }

    fn body_of(&self, revision: Revision) -> Option<Bytes> {
        let current = std::iter::once((self.copy.revision, &self.copy.body));
        let earlier = self
            .earlier
            .iter()
            .map(|(revision, body)| (*revision, body));
        let mut all = current.chain(earlier);
        let found = all.find(|(known, _)| *known == revision);
        found.map(|(_, body)| body.clone())
    }
}

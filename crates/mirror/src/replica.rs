//! Copies of documents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, Revision};
use bytes::Bytes;
use log::warn;
use tokio::runtime::Handle;
use tokio::sync::{self, watch};
use tokio::task::spawn_blocking;

use crate::earlier::Earlier;
use crate::pack::{PackError, pack};
use crate::{DocName, PART};

/// A copy of a document.
#[derive(Debug, Clone)]
pub struct Replica {
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
    copy: Replica,
    earlier: Earlier,
    /// The body packed against the revision that an asker holds; 0 for none.
    packed: Map<Revision, Bytes>,
}

/// A copy packed against an earlier revision.
#[derive(Debug)]
pub(crate) struct Packed {
    pub(crate) copy: Replica,
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
    /// Held while a body is packed: one at a time, since each takes memory by the size of the body.
    packing: Arc<sync::Mutex<()>>,
}

impl Mirror {
    /// Takes a copy that the store had confirmed at a moment; `true` where it is newer than the one held. A
    /// moment, since an age grows while a process stands still on its way here.
    pub fn update(
        &self,
        name: DocName,
        revision: Revision,
        body: Bytes,
        confirmed: Instant,
    ) -> bool {
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
        let copy = Replica {
            revision,
            body,
            confirmed,
            gap,
        };
        let before = documents.remove(name);
        let follows = before.is_some();
        documents.insert(name, Held::after(before, copy));
        drop(documents);
        self.changed.send_replace(());
        if follows {
            self.pack_earlier_beside(name);
        }
        true
    }

    /// Notes that the store had confirmed a revision at a moment, where that is the one held.
    pub fn confirm(&self, name: DocName, revision: Revision, confirmed: Instant) {
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
    pub fn get(&self, name: DocName) -> Option<Replica> {
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
            .map(|held| clock::since(held.copy.confirmed))
    }

    /// Told of every new revision of any document.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Told of every confirmation of the revision of any document that is held.
    pub fn confirmations(&self) -> watch::Receiver<()> {
        self.confirmed.subscribe()
    }

    /// The copy for a process that holds a revision, packed once for all that hold the same; `None` where
    /// there is no copy.
    pub(crate) async fn packed(
        &self,
        name: DocName,
        known: Revision,
    ) -> Result<Option<Packed>, PackError> {
        if let Some(packed) = self.packed_before(name, known) {
            return Ok(Some(packed));
        }
        self.in_turn(move |mirror| mirror.pack(name, known)).await
    }

    /// The body of a revision that is held or was held before it.
    pub(crate) fn body_of(
        &self,
        name: DocName,
        revision: Revision,
    ) -> Result<Option<Bytes>, PackError> {
        let Some((copy, earlier)) = self.all_of(name) else {
            return Ok(None);
        };
        match copy.revision == revision {
            true => Ok(Some(copy.body)),
            false => earlier.body_of(revision, &copy.body),
        }
    }

    /// Does one step of packing beside the thread that serves requests, which runs all tasks of a process.
    async fn in_turn<T: Send + 'static>(
        &self,
        step: impl FnOnce(&Mirror) -> Result<T, PackError> + Send + 'static,
    ) -> Result<T, PackError> {
        let turn = self.packing.clone().lock_owned().await;
        let mirror = self.clone();
        let step = spawn_blocking(move || {
            let _turn = turn;
            step(&mirror)
        });
        step.await.map_err(PackError::Stopped)?
    }

    fn pack(&self, name: DocName, known: Revision) -> Result<Option<Packed>, PackError> {
        // Whoever had the turn before may have packed the same.
        if let Some(packed) = self.packed_before(name, known) {
            return Ok(Some(packed));
        }
        let Some((copy, earlier)) = self.all_of(name) else {
            return Ok(None);
        };
        let body = earlier.body_of(known, &copy.body)?;
        let against = body.as_ref().map_or(0, |_| known);
        let body = pack(&copy.body, &body.unwrap_or_default())?;
        let mut documents = self.lock();
        let held = documents.get_mut(name);
        if let Some(held) = held.filter(|held| held.copy.revision == copy.revision) {
            held.packed.insert(against, body.clone());
        }
        Ok(Some(Packed {
            copy,
            against,
            body,
        }))
    }

    fn packed_before(&self, name: DocName, known: Revision) -> Option<Packed> {
        let documents = self.lock();
        documents.get(name).and_then(|held| held.packed(known))
    }

    /// Packs earlier bodies once it is their turn; at once where nothing can run beside.
    fn pack_earlier_beside(&self, name: DocName) {
        let mirror = self.clone();
        match Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(async move {
                let packed = mirror.in_turn(move |mirror| mirror.pack_earlier(name));
                tell(name, packed.await);
            })),
            Err(_) => tell(name, self.pack_earlier(name)),
        }
    }

    fn pack_earlier(&self, name: DocName) -> Result<(), PackError> {
        let Some((copy, mut earlier)) = self.all_of(name) else {
            return Ok(());
        };
        earlier.pack(&copy.body)?;
        if let Some(held) = self.lock().get_mut(name) {
            held.earlier.take_steps(&earlier);
        }
        Ok(())
    }

    /// The copy held and the earlier bodies, which share their bytes with it.
    fn all_of(&self, name: DocName) -> Option<(Replica, Earlier)> {
        let documents = self.lock();
        let held = documents.get(name)?;
        Some((held.copy.clone(), held.earlier.clone()))
    }

    fn lock(&self) -> MutexGuard<'_, Map<DocName, Held>> {
        self.documents
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    /// A newer copy in place of what was held before.
    fn after(before: Option<Held>, copy: Replica) -> Held {
        let mut earlier = Earlier::default();
        if let Some(before) = before {
            earlier = before.earlier;
            earlier.push(before.copy.revision, before.copy.body);
        }
        Held {
            copy,
            earlier,
            packed: Map::default(),
        }
    }

    /// What was packed for a process that holds a revision.
    fn packed(&self, known: Revision) -> Option<Packed> {
        let against = match self.earlier.has(known) {
            true => known,
            false => 0,
        };
        let body = self.packed.get(&against)?;
        Some(Packed {
            copy: self.copy.clone(),
            against,
            body: body.clone(),
        })
    }
}

fn tell(name: DocName, packed: Result<(), PackError>) {
    if let Err(e) = packed {
        warn!(target: PART, "{PART}: event=not_packed document={name} why=\"{e}\"");
    }
}

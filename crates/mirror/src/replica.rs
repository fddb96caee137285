//! Replicas of documents held by a process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Era, Map, Revision, StoreRevision};
use bytes::Bytes;
use log::warn;
use tokio::runtime::Handle;
use tokio::sync::{self, watch};
use tokio::task::spawn_blocking;

use crate::delta::{DeltaError, compress};
use crate::history::History;
use crate::{DocName, PART};

/// A replica of a document.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Revision.
    pub revision: StoreRevision,
    /// Body.
    pub body: Bytes,
    /// Last confirmation by the store.
    pub confirmed: Instant,
    /// Time from the last confirmation of the previous replica to the first confirmation of this one; zero if
    /// there was none before.
    pub gap: Duration,
}

/// A replica and what is retained to serve it to other processes.
#[derive(Debug)]
struct Document {
    replica: Replica,
    history: History,
    /// The body compressed against the revision that a requester holds; `None` for none.
    compressed: Map<Option<StoreRevision>, Bytes>,
}

/// A replica compressed against an earlier revision.
#[derive(Debug)]
pub(crate) struct CompressedReplica {
    pub(crate) replica: Replica,
    /// Revision that the body is compressed against, if any.
    pub(crate) reference: Option<StoreRevision>,
    pub(crate) body: Bytes,
}

/// Documents by name, and the eras of the store that their replicas came from.
#[derive(Debug, Default)]
struct Documents {
    by_name: Map<DocName, Document>,
    /// The first and the newest era.
    eras: Option<(Era, Era)>,
}

/// All replicas of a process.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    documents: Arc<Mutex<Documents>>,
    changed: Arc<watch::Sender<()>>,
    confirmed: Arc<watch::Sender<()>>,
    /// Limits compression to one body at a time, since each takes memory in proportion to its size.
    compression: Arc<sync::Mutex<()>>,
}

impl Mirror {
    /// Stores a replica that the store confirmed at a given instant; returns whether it is newer than the one held.
    /// An instant rather than an age, which would be too low if the process stalled before this call.
    pub fn update(
        &self,
        name: DocName,
        revision: StoreRevision,
        body: Bytes,
        confirmed: Instant,
    ) -> bool {
        let mut locked = self.lock();
        locked.record_era(revision.era);
        let documents = &mut locked.by_name;
        let gap = match documents.get_mut(name) {
            Some(held) if held.replica.revision > revision => return false,
            Some(held) if held.replica.revision == revision => {
                held.replica.confirmed = held.replica.confirmed.max(confirmed);
                self.confirmed.send_replace(());
                return false;
            }
            Some(held) => confirmed.saturating_duration_since(held.replica.confirmed),
            None => Duration::ZERO,
        };
        let replica = Replica {
            revision,
            body,
            confirmed,
            gap,
        };
        let previous = documents.remove(name);
        let has_history = previous.is_some();
        documents.insert(name, Document::replacing(previous, replica));
        drop(locked);
        self.changed.send_replace(());
        if has_history {
            self.spawn_history_compression(name);
        }
        true
    }

    /// Records that the store confirmed a revision, if that is the one held.
    pub fn confirm(&self, name: DocName, revision: StoreRevision, confirmed: Instant) {
        let mut documents = self.lock();
        let same = documents
            .by_name
            .get_mut(name)
            .filter(|held| held.replica.revision == revision);
        if let Some(held) = same {
            held.replica.confirmed = held.replica.confirmed.max(confirmed);
            self.confirmed.send_replace(());
        }
    }

    /// Returns the replica held.
    pub fn get(&self, name: DocName) -> Option<Replica> {
        self.lock()
            .by_name
            .get(name)
            .map(|held| held.replica.clone())
    }

    /// Returns the revision held; the default if there is none.
    pub fn revision(&self, name: DocName) -> StoreRevision {
        let documents = self.lock();
        let held = documents.by_name.get(name);
        held.map(|held| held.replica.revision).unwrap_or_default()
    }

    /// Returns the revision that another process sent as a number and an era. Processes of earlier releases send no
    /// era: it is then the only era of the replicas here; `None` if there are several.
    pub fn resolve(&self, era: Option<Era>, number: Revision) -> Option<StoreRevision> {
        let era = match (era, self.lock().eras) {
            (None, Some((first, newest))) if first != newest => return None,
            (None, eras) => eras.map(|(_, newest)| newest),
            (stated, _) => stated,
        };
        Some(StoreRevision::new(era, number))
    }

    /// Returns the time since the store last confirmed the replica; `None` if there is none.
    pub fn age(&self, name: DocName) -> Option<Duration> {
        let documents = self.lock();
        documents
            .by_name
            .get(name)
            .map(|held| clock::since(held.replica.confirmed))
    }

    /// Returns a receiver that is notified of every new revision of any document.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns a receiver that is notified of every confirmation of a held revision of any document.
    pub fn confirmations(&self) -> watch::Receiver<()> {
        self.confirmed.subscribe()
    }

    /// Returns the replica compressed for a process that holds a revision, cached for all that hold the same;
    /// `None` if there is no replica.
    pub(crate) async fn compressed(
        &self,
        name: DocName,
        known: StoreRevision,
    ) -> Result<Option<CompressedReplica>, DeltaError> {
        if let Some(cached) = self.cached(name, known) {
            return Ok(Some(cached));
        }
        self.run_compression(move |mirror| mirror.compress(name, known))
            .await
    }

    /// Returns the body of the current revision or of an earlier one that is retained.
    pub(crate) fn body_of(
        &self,
        name: DocName,
        revision: StoreRevision,
    ) -> Result<Option<Bytes>, DeltaError> {
        let Some((replica, history)) = self.snapshot(name) else {
            return Ok(None);
        };
        match replica.revision == revision {
            true => Ok(Some(replica.body)),
            false => history.body_of(revision, &replica.body),
        }
    }

    /// Runs one compression at a time on a blocking thread, so that it doesn't hold up the thread that runs all
    /// tasks of the process and serves requests.
    async fn run_compression<T: Send + 'static>(
        &self,
        job: impl FnOnce(&Mirror) -> Result<T, DeltaError> + Send + 'static,
    ) -> Result<T, DeltaError> {
        let permit = self.compression.clone().lock_owned().await;
        let mirror = self.clone();
        let job = spawn_blocking(move || {
            let _permit = permit;
            job(&mirror)
        });
        job.await.map_err(DeltaError::Aborted)?
    }

    fn compress(
        &self,
        name: DocName,
        known: StoreRevision,
    ) -> Result<Option<CompressedReplica>, DeltaError> {
        // The previous holder of the lock may have compressed the same body.
        if let Some(cached) = self.cached(name, known) {
            return Ok(Some(cached));
        }
        let Some((replica, history)) = self.snapshot(name) else {
            return Ok(None);
        };
        let body = history.body_of(known, &replica.body)?;
        let reference = body.as_ref().map(|_| known);
        let body = compress(&replica.body, &body.unwrap_or_default())?;
        let mut documents = self.lock();
        let held = documents.by_name.get_mut(name);
        if let Some(held) = held.filter(|held| held.replica.revision == replica.revision) {
            held.compressed.insert(reference, body.clone());
        }
        Ok(Some(CompressedReplica {
            replica,
            reference,
            body,
        }))
    }

    fn cached(&self, name: DocName, known: StoreRevision) -> Option<CompressedReplica> {
        let documents = self.lock();
        let held = documents.by_name.get(name)?;
        held.compressed(known)
    }

    /// Compresses earlier bodies in the background, or in place if there is no runtime.
    fn spawn_history_compression(&self, name: DocName) {
        let mirror = self.clone();
        match Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(async move {
                let compressed =
                    mirror.run_compression(move |mirror| mirror.compress_history(name));
                log_failure(name, compressed.await);
            })),
            Err(_) => log_failure(name, self.compress_history(name)),
        }
    }

    fn compress_history(&self, name: DocName) -> Result<(), DeltaError> {
        let Some((replica, mut history)) = self.snapshot(name) else {
            return Ok(());
        };
        history.compress(&replica.body)?;
        if let Some(held) = self.lock().by_name.get_mut(name) {
            held.history.adopt_deltas(&history);
        }
        Ok(())
    }

    /// Returns the replica and its history, which share their bytes with those held.
    fn snapshot(&self, name: DocName) -> Option<(Replica, History)> {
        let documents = self.lock();
        let held = documents.by_name.get(name)?;
        Some((held.replica.clone(), held.history.clone()))
    }

    fn lock(&self) -> MutexGuard<'_, Documents> {
        self.documents
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Documents {
    fn record_era(&mut self, era: Option<Era>) {
        if let Some(era) = era {
            let (first, newest) = self.eras.unwrap_or((era, era));
            self.eras = Some((first.min(era), newest.max(era)));
        }
    }
}

impl Document {
    /// Returns a document with a newer replica; the previous one becomes part of its history.
    fn replacing(previous: Option<Document>, replica: Replica) -> Document {
        let mut history = History::default();
        if let Some(previous) = previous {
            history = previous.history;
            history.push(previous.replica.revision, previous.replica.body);
        }
        Document {
            replica,
            history,
            compressed: Map::default(),
        }
    }

    /// Returns the cached body for a process that holds a revision.
    fn compressed(&self, known: StoreRevision) -> Option<CompressedReplica> {
        let reference = self.history.has(known).then_some(known);
        let body = self.compressed.get(&reference)?;
        Some(CompressedReplica {
            replica: self.replica.clone(),
            reference,
            body: body.clone(),
        })
    }
}

fn log_failure(name: DocName, result: Result<(), DeltaError>) {
    if let Err(e) = result {
        warn!(target: PART, "{PART}: event=not_packed document={name} why=\"{e}\"");
    }
}

//! In-memory store of weight chunks, by model and version.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::Model;
use bytes::Bytes;
use catalog::WeightsVersion;
use decide::rollout::ObservedRate;
use sha2::{Digest, Sha256};

use crate::api::{ChunkDigest, Manifest};

/// Maximum number of versions held per model: the one in use, and two that were released since.
const MAX_VERSIONS: usize = 3;

/// Chunks of a version and their digests, which are equal in number.
#[derive(Debug)]
struct Contents {
    digests: Vec<ChunkDigest>,
    chunks: Vec<Option<Bytes>>,
}

/// Chunks of one version.
#[derive(Debug)]
pub struct ChunkSet {
    /// Model.
    pub model: Model,
    /// Version.
    pub version: WeightsVersion,
    /// Number of chunks of the version.
    len: usize,
    contents: Mutex<Contents>,
    /// Number of chunks that this loader or another holds.
    available: AtomicUsize,
    /// Rate at which that number has increased.
    rate: Mutex<ObservedRate>,
    /// Newer version that has precedence over this one, until the fetch of this one has taken notice.
    successor: Mutex<Option<Arc<ChunkSet>>>,
    /// When the last chunk arrived, or the set was created.
    last_progress: Mutex<Instant>,
    /// Whether chunks staged at the engine have been read back.
    read_back: AtomicBool,
    /// Whether the origin has answered that it doesn't provide the version any more.
    withdrawn: AtomicBool,
}

impl ChunkSet {
    /// Creates a set without chunks.
    pub fn new(model: Model, version: WeightsVersion, manifest: Manifest) -> ChunkSet {
        let len = manifest.digests.len();
        let contents = Contents {
            digests: manifest.digests,
            chunks: vec![None; len],
        };
        ChunkSet {
            model,
            version,
            len,
            contents: Mutex::new(contents),
            available: AtomicUsize::new(0),
            rate: Mutex::default(),
            successor: Mutex::default(),
            last_progress: Mutex::new(clock::now()),
            read_back: AtomicBool::new(false),
            withdrawn: AtomicBool::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the manifest.
    pub fn manifest(&self) -> Manifest {
        let digests = self.lock().digests.clone();
        Manifest { digests }
    }

    /// Returns the digest of a chunk in the manifest.
    pub fn digest(&self, i: usize) -> Option<ChunkDigest> {
        self.lock().digests.get(i).copied()
    }

    /// Returns whether a buffer matches the digest of a chunk in the manifest.
    pub fn is_chunk(&self, i: usize, buf: &[u8]) -> bool {
        self.digest(i) == Some(chunk_digest(buf))
    }

    /// Stores a chunk if it matches the manifest; returns whether it does.
    pub fn put(&self, i: usize, buf: Bytes) -> bool {
        let digest = chunk_digest(&buf);
        let mut contents = self.lock();
        let is_valid = contents.digests.get(i) == Some(&digest);
        if is_valid {
            contents.chunks[i] = Some(buf);
            drop(contents);
            *self.last_progress() = clock::now();
        }
        is_valid
    }

    /// Returns whether the chunks that are held show a manifest to be of the same version: it has as many digests, and
    /// those of most of them. A chunk is held only if it has matched its digest.
    pub fn confirms(&self, manifest: &Manifest) -> bool {
        let contents = self.lock();
        let same = |i: &usize| contents.digests[*i] == manifest.digests[*i];
        let held: Vec<usize> = (0..self.len.min(manifest.digests.len()))
            .filter(|i| contents.chunks[*i].is_some())
            .collect();
        let confirmed = held.iter().copied().filter(same).count();
        manifest.digests.len() == self.len && 2 * confirmed > held.len()
    }

    /// Replaces the digest of a chunk by that of another manifest, unless the chunk is held. Returns whether the digest
    /// has changed.
    pub fn correct_digest(&self, i: usize, digest: ChunkDigest) -> bool {
        let mut contents = self.lock();
        let is_wrong =
            i < self.len && contents.chunks[i].is_none() && contents.digests[i] != digest;
        if is_wrong {
            contents.digests[i] = digest;
        }
        is_wrong
    }

    fn last_progress(&self) -> MutexGuard<'_, Instant> {
        self.last_progress
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the chunks staged at the engine have been read back, or that none are of this version.
    pub fn set_read_back(&self) {
        self.read_back.store(true, Relaxed);
    }

    /// Returns whether no chunks are left to read back from the engine.
    pub fn is_read_back(&self) -> bool {
        self.read_back.load(Relaxed)
    }

    /// Records whether the origin has answered that it doesn't provide the version any more. Returns whether that is
    /// a change.
    pub fn set_withdrawn(&self, withdrawn: bool) -> bool {
        self.withdrawn.swap(withdrawn, Relaxed) != withdrawn
    }

    /// Returns whether neither the origin nor the loaders together provide all chunks.
    pub fn is_unobtainable(&self) -> bool {
        self.withdrawn.load(Relaxed) && self.unavailable() > 0
    }

    /// Returns the time since the last chunk arrived.
    pub fn stalled_for(&self) -> Duration {
        clock::since(*self.last_progress())
    }

    /// Returns the number of missing chunks.
    pub fn missing(&self) -> usize {
        let contents = self.lock();
        contents.chunks.iter().filter(|c| c.is_none()).count()
    }

    /// Records how many chunks this loader or another holds.
    pub fn set_available(&self, chunks: usize) {
        self.available.store(chunks, Relaxed);
        self.rate().record(chunks, clock::now());
    }

    fn successor(&self) -> MutexGuard<'_, Option<Arc<ChunkSet>>> {
        self.successor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives a newer version precedence over this one, whose fetch continues.
    pub fn set_successor(&self, newer: Arc<ChunkSet>) {
        *self.successor() = Some(newer);
    }

    /// Returns the newer version once after it has been given precedence.
    pub fn take_successor(&self) -> Option<Arc<ChunkSet>> {
        self.successor().take()
    }

    fn rate(&self) -> MutexGuard<'_, ObservedRate> {
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the observed time per chunk that no loader held, if enough have arrived.
    pub fn observed_chunk_time(&self) -> Option<Duration> {
        self.rate().chunk_time()
    }

    /// Returns the time since a chunk has arrived that no loader held.
    pub fn unavailable_stalled_for(&self, now: Instant) -> Duration {
        self.rate().stalled_for(now)
    }

    fn available(&self) -> usize {
        let own = self.len() - self.missing();
        self.available.load(Relaxed).max(own)
    }

    /// Returns the number of chunks that no loader holds.
    pub fn unavailable(&self) -> usize {
        self.len().saturating_sub(self.available())
    }

    /// Returns the fraction of chunks that this loader or another holds.
    pub fn available_fraction(&self) -> f64 {
        self.available() as f64 / self.len().max(1) as f64
    }

    /// Returns a chunk, if it is held.
    pub fn get(&self, i: usize) -> Option<Bytes> {
        self.lock().chunks.get(i).cloned().flatten()
    }

    /// Returns a flag for each chunk, set if it is held.
    pub fn have(&self) -> Vec<bool> {
        self.lock().chunks.iter().map(Option::is_some).collect()
    }

    /// Returns whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.lock().chunks.iter().all(Option::is_some)
    }

    /// Returns the number of chunks of the version.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the version consists of no chunks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns the digest of a chunk.
pub(crate) fn chunk_digest(buf: &[u8]) -> ChunkDigest {
    Sha256::digest(buf).into()
}

/// Chunk sets of all models.
#[derive(Debug, Default)]
pub struct ChunkSets {
    sets: Mutex<Vec<Arc<ChunkSet>>>,
}

impl ChunkSets {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<ChunkSet>>> {
        self.sets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the set of a version, if there is one.
    pub fn get(&self, model: &str, version: WeightsVersion) -> Option<Arc<ChunkSet>> {
        let is = |s: &&Arc<ChunkSet>| s.model == model && s.version == version;
        self.lock().iter().find(is).cloned()
    }

    /// Adds a set and drops the oldest version beyond the limit; returns the existing set if there is one.
    pub fn add(&self, set: ChunkSet) -> Arc<ChunkSet> {
        if let Some(held) = self.get(&set.model, set.version) {
            return held;
        }
        let set = Arc::new(set);
        let mut sets = self.lock();
        sets.push(set.clone());
        let of_model = sets.iter().filter(|s| s.model == set.model).count();
        if of_model > MAX_VERSIONS {
            let oldest = sets
                .iter()
                .filter(|s| s.model == set.model)
                .map(|s| s.version)
                .min();
            sets.retain(|s| s.model != set.model || Some(s.version) != oldest);
        }
        set
    }

    /// Returns the newest complete version of a model.
    pub fn newest_complete(&self, model: &str) -> Option<Arc<ChunkSet>> {
        self.lock()
            .iter()
            .filter(|s| s.model == model && s.is_complete())
            .max_by_key(|s| s.version)
            .cloned()
    }

    /// Returns all sets.
    pub fn all(&self) -> Vec<Arc<ChunkSet>> {
        self.lock().clone()
    }
}

//! Chunks of weights held in memory, by model and version.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::Model;
use bytes::Bytes;
use catalog::WeightsVersion;
use sha2::{Digest, Sha256};

use crate::api::Manifest;

/// Versions of a model held at once: the one in use, and two that were released since.
const MOST_VERSIONS: usize = 3;

/// Chunks of one version.
#[derive(Debug)]
pub struct Set {
    /// Model.
    pub model: Model,
    /// Version.
    pub version: WeightsVersion,
    /// Manifest.
    pub manifest: Manifest,
    chunks: Mutex<Vec<Option<Bytes>>>,
    /// Chunks that this loader or another holds.
    obtainable: AtomicUsize,
    /// When the last chunk came; when it was begun before that.
    progress: Mutex<Instant>,
    /// Whether what lies at the engine is among the chunks.
    read_back: AtomicBool,
}

impl Set {
    /// A set without chunks.
    pub fn new(model: Model, version: WeightsVersion, manifest: Manifest) -> Set {
        let chunks = Mutex::new(vec![None; manifest.digests.len()]);
        Set {
            model,
            version,
            manifest,
            chunks,
            obtainable: AtomicUsize::new(0),
            progress: Mutex::new(clock::now()),
            read_back: AtomicBool::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Option<Bytes>>> {
        self.chunks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether bytes are the chunk that the manifest lists.
    pub fn is_chunk(&self, i: usize, buf: &[u8]) -> bool {
        let digest: [u8; 32] = Sha256::digest(buf).into();
        self.manifest.digests.get(i) == Some(&digest)
    }

    /// Keeps a chunk if it is the one listed; `false` where it isn't.
    pub fn put(&self, i: usize, buf: Bytes) -> bool {
        let good = self.is_chunk(i, &buf);
        if good {
            self.lock()[i] = Some(buf);
            *self.progress() = clock::now();
        }
        good
    }

    fn progress(&self) -> MutexGuard<'_, Instant> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that what lies at the engine is among the chunks, or that none of it does.
    pub fn set_read_back(&self) {
        self.read_back.store(true, Relaxed);
    }

    /// Whether nothing lies at the engine that isn't among the chunks.
    pub fn is_read_back(&self) -> bool {
        self.read_back.load(Relaxed)
    }

    /// Time since the last chunk came.
    pub fn stood_still(&self) -> Duration {
        clock::since(*self.progress())
    }

    /// Chunks that aren't held.
    pub fn missing(&self) -> usize {
        self.lock().iter().filter(|c| c.is_none()).count()
    }

    /// Notes how many chunks this loader or another holds.
    pub fn set_obtainable(&self, chunks: usize) {
        self.obtainable.store(chunks, Relaxed);
    }

    /// Part of the chunks that this loader or another holds.
    pub fn obtainable(&self) -> f64 {
        let own = self.len() - self.missing();
        let chunks = self.obtainable.load(Relaxed).max(own);
        chunks as f64 / self.len().max(1) as f64
    }

    /// A chunk.
    pub fn get(&self, i: usize) -> Option<Bytes> {
        self.lock().get(i).cloned().flatten()
    }

    /// Which chunks are held.
    pub fn have(&self) -> Vec<bool> {
        self.lock().iter().map(Option::is_some).collect()
    }

    /// Whether all chunks are held.
    pub fn is_whole(&self) -> bool {
        self.lock().iter().all(Option::is_some)
    }

    /// Number of chunks.
    pub fn len(&self) -> usize {
        self.manifest.digests.len()
    }

    /// Whether the version has no chunks at all.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// All sets.
#[derive(Debug, Default)]
pub struct Sets {
    sets: Mutex<Vec<Arc<Set>>>,
}

impl Sets {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Set>>> {
        self.sets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A set, if it is held.
    pub fn get(&self, model: &str, version: WeightsVersion) -> Option<Arc<Set>> {
        let is = |s: &&Arc<Set>| s.model == model && s.version == version;
        self.lock().iter().find(is).cloned()
    }

    /// Adds a set and lets go of the oldest versions; returns the one held where there was one.
    pub fn add(&self, set: Set) -> Arc<Set> {
        if let Some(held) = self.get(&set.model, set.version) {
            return held;
        }
        let set = Arc::new(set);
        let mut sets = self.lock();
        sets.push(set.clone());
        let of_model = sets.iter().filter(|s| s.model == set.model).count();
        if of_model > MOST_VERSIONS {
            let oldest = sets
                .iter()
                .filter(|s| s.model == set.model)
                .map(|s| s.version)
                .min();
            sets.retain(|s| s.model != set.model || Some(s.version) != oldest);
        }
        set
    }

    /// Newest whole version of a model.
    pub fn newest_whole(&self, model: &str) -> Option<Arc<Set>> {
        self.lock()
            .iter()
            .filter(|s| s.model == model && s.is_whole())
            .max_by_key(|s| s.version)
            .cloned()
    }

    /// All sets.
    pub fn all(&self) -> Vec<Arc<Set>> {
        self.lock().clone()
    }
}

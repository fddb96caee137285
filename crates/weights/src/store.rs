//! Chunks a VM keeps in memory to pass on to its peers.
//!
//! The store is bounded. A chunk enters only with the digest of its bytes checked, and the oldest
//! chunk leaves first when room is needed; the engine, not the store, holds the loaded weights.

use std::collections::VecDeque;

use base::{Digest, Map};
use bytes::Bytes;
use displaydoc::Display;

/// Why a chunk was not kept.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum StoreError {
    /// the chunk's digest is {found}, not {wanted}; fetch it from another source
    Corrupt {
        /// Digest that was asked for.
        wanted: Digest,
        /// Digest of the bytes that came.
        found: Digest,
    },
    /// a chunk of {0} bytes is larger than the whole store of {1}; raise `chunk_memory`
    TooLarge(usize, usize),
}

impl std::error::Error for StoreError {}

/// Verified chunks, within a bound on their bytes.
#[derive(Debug)]
pub struct ChunkStore {
    limit: usize,
    held: usize,
    chunks: Map<Digest, Bytes>,
    oldest_first: VecDeque<Digest>,
}

impl ChunkStore {
    /// An empty store that keeps at most `limit` bytes.
    pub fn new(limit: usize) -> ChunkStore {
        ChunkStore {
            limit,
            held: 0,
            chunks: Map::default(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Checks a chunk's digest and keeps it.
    pub fn put(&mut self, wanted: Digest, buf: Bytes) -> Result<(), StoreError> {
        let found = Digest::of(&buf);
        if found != wanted {
            return Err(StoreError::Corrupt { wanted, found });
        }
        if buf.len() > self.limit {
            return Err(StoreError::TooLarge(buf.len(), self.limit));
        }
        if self.chunks.contains_key(&wanted) {
            return Ok(());
        }
        while self.held + buf.len() > self.limit {
            self.drop_oldest();
        }
        self.held += buf.len();
        self.oldest_first.push_back(wanted);
        self.chunks.insert(wanted, buf);
        Ok(())
    }

    /// The chunk, where it is held.
    pub fn get(&self, chunk: &Digest) -> Option<Bytes> {
        self.chunks.get(chunk).cloned()
    }

    /// Whether the chunk is held.
    pub fn contains(&self, chunk: &Digest) -> bool {
        self.chunks.contains_key(chunk)
    }

    /// Bytes held.
    pub fn stored_bytes(&self) -> usize {
        self.held
    }

    /// Keeps only the chunks that `wanted` says yes to.
    pub fn retain(&mut self, wanted: impl Fn(&Digest) -> bool) {
        let (kept, dropped): (VecDeque<_>, VecDeque<_>) =
            self.oldest_first.drain(..).partition(|chunk| wanted(chunk));
        self.oldest_first = kept;
        dropped.iter().for_each(|chunk| self.forget(chunk));
    }

    fn drop_oldest(&mut self) {
        if let Some(chunk) = self.oldest_first.pop_front() {
            self.forget(&chunk);
        }
    }

    fn forget(&mut self, chunk: &Digest) {
        if let Some(buf) = self.chunks.remove(chunk) {
            self.held -= buf.len();
        }
    }
}

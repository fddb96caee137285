//! In-memory store of the chunks that a VM serves to its peers.
//!
//! The store is bounded and evicts the oldest chunk first. It verifies the digest of each inserted
//! chunk. The loaded weights are held by the engine, not by the store.

use std::collections::VecDeque;

use base::{Digest, Map};
use bytes::Bytes;
use displaydoc::Display;

/// Why a chunk was not stored.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum StoreError {
    /// the chunk's digest is {found}, not {wanted}; fetch it from another source
    Corrupt {
        /// Expected digest.
        wanted: Digest,
        /// Actual digest.
        found: Digest,
    },
    /// a chunk of {0} bytes is larger than the store of {1} bytes; raise `chunk_memory`
    TooLarge(usize, usize),
}

impl std::error::Error for StoreError {}

/// Bounded store of verified chunks.
#[derive(Debug)]
pub struct ChunkStore {
    max_bytes: usize,
    stored_bytes: usize,
    chunks: Map<Digest, Bytes>,
    oldest_first: VecDeque<Digest>,
}

impl ChunkStore {
    /// Creates an empty store of at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> ChunkStore {
        ChunkStore {
            max_bytes,
            stored_bytes: 0,
            chunks: Map::default(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Verifies the digest of a chunk and stores it, evicting the oldest chunks if necessary.
    pub fn put(&mut self, wanted: Digest, buf: Bytes) -> Result<(), StoreError> {
        let found = Digest::of(&buf);
        if found != wanted {
            return Err(StoreError::Corrupt { wanted, found });
        }
        if buf.len() > self.max_bytes {
            return Err(StoreError::TooLarge(buf.len(), self.max_bytes));
        }
        if self.chunks.contains_key(&wanted) {
            return Ok(());
        }
        while self.stored_bytes + buf.len() > self.max_bytes {
            self.evict_oldest();
        }
        self.stored_bytes += buf.len();
        self.oldest_first.push_back(wanted);
        self.chunks.insert(wanted, buf);
        Ok(())
    }

    /// Returns a chunk, if it is stored.
    pub fn get(&self, chunk: &Digest) -> Option<Bytes> {
        self.chunks.get(chunk).cloned()
    }

    /// Returns whether a chunk is stored.
    pub fn contains(&self, chunk: &Digest) -> bool {
        self.chunks.contains_key(chunk)
    }

    /// Returns the total size of the stored chunks in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Retains only the chunks for which `wanted` returns true.
    pub fn retain(&mut self, wanted: impl Fn(&Digest) -> bool) {
        let (retained, evicted): (VecDeque<_>, VecDeque<_>) =
            self.oldest_first.drain(..).partition(|chunk| wanted(chunk));
        self.oldest_first = retained;
        evicted.iter().for_each(|chunk| self.remove(chunk));
    }

    fn evict_oldest(&mut self) {
        if let Some(chunk) = self.oldest_first.pop_front() {
            self.remove(&chunk);
        }
    }

    fn remove(&mut self, chunk: &Digest) {
        if let Some(buf) = self.chunks.remove(chunk) {
            self.stored_bytes -= buf.len();
        }
    }
}

//! Memory taken up by the bodies of requests and responses in flight, and by partial events of streams.
//!
//! Bodies may be large, many at a time, or without an end. All of them share one budget, by [`decide::memory`]; a body that
//! exceeds its share is given up instead of the process.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

use bytes::Bytes;
use decide::memory::max_body_bytes;

/// Budget of all bodies in flight.
#[derive(Debug)]
pub struct BodyMemory {
    budget: u64,
    used: AtomicU64,
}

impl BodyMemory {
    /// Creates a budget of which nothing is used.
    pub fn new(budget: u64) -> Arc<BodyMemory> {
        let used = AtomicU64::new(0);
        Arc::new(BodyMemory { budget, used })
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> u64 {
        self.used.load(Relaxed)
    }

    /// Returns an empty share.
    pub fn share(self: &Arc<BodyMemory>) -> BodyShare {
        BodyShare {
            memory: self.clone(),
            held: 0,
        }
    }
}

/// Part of the budget that a body holds until this is dropped.
#[derive(Debug)]
pub struct BodyShare {
    memory: Arc<BodyMemory>,
    held: u64,
}

impl BodyShare {
    /// Changes what is held to a number of bytes; returns `false`, and changes nothing, if that is more than the body may
    /// hold. Less is always possible.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let (bytes, held) = (bytes as u64, self.held);
        let resized = |used: u64| {
            let others = used.saturating_sub(held);
            let is_allowed = bytes <= held || bytes <= max_body_bytes(self.memory.budget, others);
            is_allowed.then_some(others + bytes)
        };
        let is_resized = self
            .memory
            .used
            .fetch_update(Relaxed, Relaxed, resized)
            .is_ok();
        match is_resized {
            true => self.held = bytes,
            false => metrics::counter!("driftnotch_bodies_over_memory_total").increment(1),
        }
        is_resized
    }

    /// Returns the buffer as bytes that hold the share until the last clone of them is dropped.
    pub fn hold(self, buf: Vec<u8>) -> Bytes {
        Bytes::from_owner(HeldBody { buf, _share: self })
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.held, Relaxed);
    }
}

/// Body with its share of the budget.
struct HeldBody {
    buf: Vec<u8>,
    _share: BodyShare,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

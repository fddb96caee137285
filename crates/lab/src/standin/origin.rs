//! Weights and statistics of the origin's stand-in, and links limited to a rate.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Digest, Map};
use bytes::Bytes;
use serde::Serialize;

/// Maximum wake-up delay of a relay that costs the link no capacity.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(4);

/// A link limited to a rate in bytes per second.
#[derive(Debug)]
pub struct PacedLink {
    state: Mutex<Pace>,
}

#[derive(Debug)]
struct Pace {
    rate: Option<u64>,
    free_at: Instant,
}

impl PacedLink {
    /// Creates a link with a rate in bytes per second; `None` is unlimited.
    pub fn new(rate: Option<u64>) -> PacedLink {
        let free_at = Instant::now();
        PacedLink {
            state: Mutex::new(Pace { rate, free_at }),
        }
    }

    /// Changes the rate; bytes already queued are transmitted at the previous one.
    pub fn set_rate(&self, rate: Option<u64>) {
        self.lock().rate = rate;
    }

    fn lock(&self) -> MutexGuard<'_, Pace> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the link has transmitted the bytes.
    pub async fn transmit(&self, bytes: usize) {
        let done = self.lock().queue(bytes);
        if let Some(done) = done {
            tokio::time::sleep_until(done.into()).await;
        }
    }
}

impl Pace {
    /// Queues the bytes and returns when they will be transmitted; `None` without a limit.
    fn queue(&mut self, bytes: usize) -> Option<Instant> {
        let rate = self.rate?;
        let duration = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let now = Instant::now();
        // A real link keeps transmitting queued bytes while the relay is late to wake.
        self.free_at = self
            .free_at
            .max(now.checked_sub(MAX_WAKE_DELAY).unwrap_or(now))
            + duration;
        Some(self.free_at)
    }
}

/// Statistics of reads from the origin.
#[derive(Debug, Clone, Copy, Default, Serialize, serde::Deserialize)]
pub struct OriginStats {
    /// Bytes sent.
    pub bytes: u64,
    /// Reads.
    pub reads: u64,
}

/// Weights by version, assembled from the ranges that were published.
#[derive(Debug, Default)]
pub struct Weights {
    versions: Mutex<Map<Digest, Vec<u8>>>,
    stats: Mutex<OriginStats>,
}

impl Weights {
    /// Stores a range of a version.
    pub fn put(&self, version: Digest, first: usize, buf: &[u8]) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let weights = versions.entry(version).or_default();
        if weights.len() < first + buf.len() {
            weights.resize(first + buf.len(), 0);
        }
        weights[first..first + buf.len()].copy_from_slice(buf);
    }

    /// Returns a range of a version, `last` included, and counts the read.
    pub fn get(&self, version: &Digest, first: usize, last: usize) -> Option<Bytes> {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let range = versions.get(version)?.get(first..=last)?;
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.bytes += range.len() as u64;
        stats.reads += 1;
        Some(Bytes::copy_from_slice(range))
    }

    /// Returns the statistics of reads.
    pub fn stats(&self) -> OriginStats {
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

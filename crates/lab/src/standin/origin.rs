//! The origin of weights, with a link of a given rate.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Digest, Map};
use bytes::Bytes;
use serde::Serialize;

/// How late a relay may wake without the link losing its time.
const LATE: Duration = Duration::from_millis(4);

/// A link that carries so many bytes a second.
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
    /// A link of a rate in bytes a second; `None` has no bound.
    pub fn new(rate: Option<u64>) -> PacedLink {
        let free_at = Instant::now();
        PacedLink {
            state: Mutex::new(Pace { rate, free_at }),
        }
    }

    /// Changes the rate; what waits already is carried at the one before.
    pub fn set_rate(&self, rate: Option<u64>) {
        self.lock().rate = rate;
    }

    fn lock(&self) -> MutexGuard<'_, Pace> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the link has carried the bytes.
    pub async fn transmit(&self, bytes: usize) {
        let done = self.lock().queue(bytes);
        if let Some(done) = done {
            tokio::time::sleep_until(done.into()).await;
        }
    }
}

impl Pace {
    /// When the bytes will have been carried; `None` where there is no bound.
    fn queue(&mut self, bytes: usize) -> Option<Instant> {
        let rate = self.rate?;
        let took = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let now = Instant::now();
        // A link goes on sending what has queued while the relay was late to wake.
        self.free_at = self.free_at.max(now.checked_sub(LATE).unwrap_or(now)) + took;
        Some(self.free_at)
    }
}

/// What was drawn from the origin.
#[derive(Debug, Clone, Copy, Default, Serialize, serde::Deserialize)]
pub struct OriginStats {
    /// Bytes sent.
    pub bytes: u64,
    /// Reads.
    pub reads: u64,
}

/// Weights by version, as their ranges were published.
#[derive(Debug, Default)]
pub struct Weights {
    versions: Mutex<Map<Digest, Vec<u8>>>,
    stats: Mutex<OriginStats>,
}

impl Weights {
    /// Takes a range of a version.
    pub fn put(&self, version: Digest, first: usize, buf: &[u8]) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let weights = versions.entry(version).or_default();
        if weights.len() < first + buf.len() {
            weights.resize(first + buf.len(), 0);
        }
        weights[first..first + buf.len()].copy_from_slice(buf);
    }

    /// A range of a version.
    pub fn get(&self, version: &Digest, first: usize, last: usize) -> Option<Bytes> {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let range = versions.get(version)?.get(first..=last)?;
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.bytes += range.len() as u64;
        stats.reads += 1;
        Some(Bytes::copy_from_slice(range))
    }

    /// What was drawn.
    pub fn stats(&self) -> OriginStats {
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

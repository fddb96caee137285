//! Schedule of chunk fetches from the origin.
//!
//! If all chunks were fetched at once, they would share the origin's link and the first would arrive as late as the
//! last. Fetched sequentially, each chunk is relayed while the next is in transit. Loaders need not coordinate:
//! all start at about the same time and know the rate of the link.

use std::time::{Duration, Instant};

/// Chunks that the origin's link carries while the announcement of one travels: 45 ms each, and announcements to other
/// failure domains are sent every 40 ms and take some 40 ms more.
const IN_TRANSIT: u32 = 2;

/// Fetch schedule of the chunks of one version.
#[derive(Debug)]
pub struct OriginSchedule {
    /// Time in which the origin's link carries a chunk.
    pub chunk_time: Duration,
    started: Instant,
    /// Number of chunks that loaders held at the start.
    held: usize,
    /// For each chunk, the number of preceding chunks that no loader held at the start.
    preceding: Vec<u32>,
}

impl OriginSchedule {
    /// Creates a schedule of the chunks that no loader holds, by the flags in `held`.
    pub fn new(chunk_time: Duration, held: &[bool], started: Instant) -> OriginSchedule {
        let mut missing = 0;
        let preceding = held.iter().map(|held| {
            let preceding = missing;
            missing += u32::from(!held);
            preceding
        });
        OriginSchedule {
            chunk_time,
            started,
            held: held.iter().filter(|held| **held).count(),
            preceding: preceding.collect(),
        }
    }

    /// Makes chunks due earlier if loaders hold more than this schedule expects: other loaders have started earlier, and
    /// the origin's link would be idle at the chunks of those that started late. The link has carried `held` chunks,
    /// and a few more since the announcement of the last one was sent.
    pub fn advance(&mut self, held: usize, now: Instant) {
        let carried = u32::try_from(held.saturating_sub(self.held)).unwrap_or(u32::MAX);
        if carried == 0 {
            return;
        }
        let elapsed = self.chunk_time * carried.saturating_add(IN_TRANSIT);
        let started = now.checked_sub(elapsed).unwrap_or(self.started);
        self.started = self.started.min(started);
    }

    /// Returns whether the origin's link is free for a chunk, if all loaders follow the schedule.
    pub fn is_due(&self, i: usize, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= self.chunk_time * self.preceding[i]
    }
}

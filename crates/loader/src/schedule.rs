//! Schedule of chunk fetches from the origin.
//!
//! If all chunks were fetched at once, they would share the origin's link and the first would arrive as late as the
//! last. Fetched sequentially, each chunk is relayed while the next is in transit. Loaders need not coordinate:
//! all start at about the same time and know the rate of the link.

use std::time::{Duration, Instant};

/// Fetch schedule of the chunks of one version.
#[derive(Debug)]
pub struct OriginSchedule {
    /// Time in which the origin's link carries a chunk.
    pub chunk_time: Duration,
    started: Instant,
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
            preceding: preceding.collect(),
        }
    }

    /// Returns whether the origin's link is free for a chunk, if all loaders follow the schedule.
    pub fn is_due(&self, i: usize, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= self.chunk_time * self.preceding[i]
    }
}

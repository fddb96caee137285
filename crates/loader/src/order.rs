//! When each chunk is to be drawn from the origin.
//!
//! Drawn all at once, chunks share the origin's link, and the first comes as late as the last. Drawn one
//! after the other, each is passed on while the next is on its way. Loaders need not agree on it: all begin
//! at about the same moment and know the rate of the link.

use std::time::{Duration, Instant};

/// An order of the chunks of one version.
#[derive(Debug)]
pub struct Order {
    /// Time in which the origin's link carries a chunk.
    pub chunk_time: Duration,
    begun: Instant,
    /// Chunks before each that nobody held at the beginning.
    before: Vec<u32>,
}

impl Order {
    /// An order of the chunks that aren't `held` by anybody.
    pub fn new(chunk_time: Duration, held: &[bool], begun: Instant) -> Order {
        let mut missing = 0;
        let before = held.iter().map(|held| {
            let before = missing;
            missing += u32::from(!held);
            before
        });
        Order {
            chunk_time,
            begun,
            before: before.collect(),
        }
    }

    /// Whether the origin's link is free for a chunk, if all loaders keep to the order.
    pub fn is_due(&self, i: usize, now: Instant) -> bool {
        now.saturating_duration_since(self.begun) >= self.chunk_time * self.before[i]
    }
}

//! Precedence of a version in progress over its successor.
//!
//! While the older version is completed first, its successor fetches nothing from the origin until loaders together
//! hold all chunks of the older one. If the older version makes no progress, the successor fetches one chunk at a time
//! to find out whether the origin is unreachable or only lacks the older version.

use std::time::{Duration, Instant};

/// Time without a new chunk of the older version after which the successor probes the origin. Above the mean back-off
/// from an unreachable origin, which is 950 ms with 76 loaders, so that the older version recovers first.
pub const MAX_STALL: Duration = Duration::from_millis(1200);

/// Progress of the two fetches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Whether the fetch of the older version has ended at this loader, or can't be completed.
    pub is_finished: bool,
    /// Chunks of the older version that no loader holds.
    pub missing: usize,
    /// Time since a chunk of the older version was fetched that no loader held.
    pub stalled_for: Duration,
    /// Chunks of the successor that any loader holds.
    pub newer_held: usize,
}

/// What the successor may fetch from the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Nothing.
    Wait,
    /// One chunk at a time.
    Probe,
    /// Nothing until it is decided again which version is fetched first: the origin is reachable again, but time was
    /// lost.
    DecideAgain,
    /// All chunks; the older version has no precedence any more.
    Full,
}

/// State of a successor's fetch that waits for an older version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Precedence {
    /// Number of chunks of the successor that loaders held when the older version stalled.
    held_at_stall: Option<usize>,
    /// When a chunk of the successor arrived during the stall.
    newer_progress: Option<Instant>,
}

impl Precedence {
    /// Returns what the successor may fetch from the origin now.
    pub fn access(&mut self, progress: &Progress, now: Instant) -> Access {
        if progress.is_finished || progress.missing == 0 {
            return Access::Full;
        }
        if progress.stalled_for < MAX_STALL {
            let was_stalled = self.held_at_stall.take().is_some();
            self.newer_progress = None;
            return match was_stalled {
                true => Access::DecideAgain,
                false => Access::Wait,
            };
        }
        let held = *self.held_at_stall.get_or_insert(progress.newer_held);
        if progress.newer_held > held {
            let since = *self.newer_progress.get_or_insert(now);
            // The origin provides the successor and not the older version.
            if now.saturating_duration_since(since) >= MAX_STALL {
                return Access::Full;
            }
        }
        Access::Probe
    }
}

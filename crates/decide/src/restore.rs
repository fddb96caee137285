//! Which entries of a restored store are out of date.
//!
//! A store that is restored from a backup lists upstreams as they were at the time of the backup, until they write
//! their entries again. An upstream orders its own entries by its start time and its count of heartbeats, neither of
//! which the store can set back. Its drain is final.
//!
//! Expected load: the store is restored while upstreams drain and are replaced, and callers would lose the requests
//! that are sent to those that are about to exit.

use std::cmp::Ordering;

/// What an upstream stated about itself in an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// Start time, if stated.
    pub start_time: Option<u64>,
    /// Number of heartbeats since then.
    pub heartbeats: u64,
    /// Whether it is draining.
    pub draining: bool,
}

/// Returns whether an entry that was read from a restored store was written before the known one.
pub fn is_outdated(listed: Statement, known: Statement) -> bool {
    let by_start = match (listed.start_time, known.start_time) {
        (Some(listed), Some(known)) => listed.cmp(&known),
        _ => Ordering::Equal,
    };
    let by_heartbeats = listed.heartbeats.cmp(&known.heartbeats);
    let order = by_start
        .then(by_heartbeats)
        .then(listed.draining.cmp(&known.draining));
    order == Ordering::Less
}

/// Returns whether an entry that was read from a restored store is of an upstream that was removed before. The upstream
/// is back if it has written its entry since.
pub fn is_removed(listed: Statement, removed: Statement) -> bool {
    let unchanged = Statement {
        draining: removed.draining,
        ..listed
    };
    unchanged == removed || is_outdated(listed, removed)
}

//! Whether a draining upstream gets new requests.
//!
//! An upstream announces its drain in its entry in the platform's list and in all of its responses.
//! The list may be seconds behind, and doesn't change at all while the store accepts no writes.
//! Therefore the first announcement counts, and an entry that is still `ready` doesn't revoke it. A
//! drain is final for an incarnation.
//!
//! Expected load: an upstream stops as planned while the platform's store is unreachable, and callers
//! would lose the requests that still run on it.

/// Drain announcements of an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainState {
    /// Whether its entry in the list announces the drain now.
    pub listed: bool,
    /// Whether any of its responses announced the drain.
    pub advertised: bool,
}

/// Returns whether an upstream accepts a new request: a first attempt, a retry or a resumed stream.
pub fn accepts_requests(state: DrainState) -> bool {
    !state.listed && !state.advertised
}

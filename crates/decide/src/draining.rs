//! Whether an upstream that is draining gets new requests.
//!
//! An upstream announces its drain in its entry in the platform's list and in all of its answers. The list may be
//! seconds behind, and doesn't change at all while the store accepts no writes, so the first announcement counts, and
//! an entry that is still `ready` doesn't revoke it. A drain is final for an incarnation.
//!
//! The load it is for: an upstream that is stopped as planned while the platform's store is away, with callers whose
//! requests would break off with it.

/// What is known of an incarnation's drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainState {
    /// Whether its entry in the list announces it now.
    pub listed: bool,
    /// Whether any of its answers announced it.
    pub advertised: bool,
}

/// Returns whether it may be sent a new request, be it a first try, a retry or a resumed stream.
pub fn accepts_requests(state: DrainState) -> bool {
    !state.listed && !state.advertised
}

//! Whether an upstream that leaves gets new requests.
//!
//! An upstream says that it leaves in its entry in the platform's list and in all of its answers. The list may be
//! seconds behind, and knows nothing new at all while the store takes no change; so whichever says it first goes,
//! and a list that says nothing of it takes nothing back. An incarnation that leaves doesn't change its mind.
//!
//! The load it is for: an upstream that is stopped as planned while the platform's store is away, with callers whose
//! requests would break off with it.

/// What is known of an incarnation's leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leaving {
    /// Whether its entry in the list says so now.
    pub listed: bool,
    /// Whether an answer of it has ever said so.
    pub said: bool,
}

/// Returns whether it may be sent a new request, by whichever path: first try, retry or resumed stream.
pub fn takes_new(leaving: Leaving) -> bool {
    !leaving.listed && !leaving.said
}

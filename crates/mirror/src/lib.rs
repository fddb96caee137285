//! Replicates documents between processes.
//!
//! Every process holds a replica of each document and serves it to processes that can't reach the store. A
//! document has a name, a revision, a body, and an age: the time since the store confirmed, to any process that
//! asked it, that nothing newer was in force. Only a newer revision replaces a replica, in the order of
//! [`base::StoreRevision`] across restores of the store; a later confirmation of the same revision only lowers its
//! age. Processes that are cut off from the store [`fetch()`] replicas from others; if both hold the same earlier
//! revision, only the changes since then are sent.

#![deny(clippy::disallowed_methods)]

mod delta;
mod fetch;
mod history;
mod replica;
mod serve;

pub use fetch::{FetchError, fetch, fetch_confirmed};
pub use replica::{Mirror, Replica};
pub use serve::{PATH, requested_max_age, serve};

/// Log prefix of this part.
const PART: &str = "mirror";

/// Name of a document.
pub type DocName = &'static str;

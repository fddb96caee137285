//! Documents that every process holds a copy of, and passes on to those that can't reach the store.
//!
//! A document has a name, a revision, a body, and an age: how long ago the store confirmed, to
//! whichever process asked it, that nothing newer was in force. A copy is only ever replaced by a
//! newer revision; the same revision confirmed later only makes it younger. Processes that are cut
//! off from the store [`fetch`] others for their copies; of a document that both hold in an earlier revision
//! only what changed since travels.

#![deny(clippy::disallowed_methods)]

mod earlier;
mod fetch;
mod pack;
mod replica;
mod serve;

pub use fetch::{FetchError, fetch, fetch_confirmed};
pub use replica::{Mirror, Replica};
pub use serve::{PATH, requested_max_age, serve};

/// Log prefix of this part.
const PART: &str = "mirror";

/// Name of a document.
pub type DocName = &'static str;

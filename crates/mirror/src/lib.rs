//! Documents that every process holds a copy of, and passes on to those that can't reach the store.
//!
//! A document has a name, a revision, a body, and an age: how long ago the store confirmed, to
//! whichever process asked it, that nothing newer was in force. A copy is only ever replaced by a
//! newer revision; the same revision confirmed later only makes it younger. Processes that are cut
//! off from the store [`ask`] others for their copies; of a document that both hold in an earlier revision
//! only what changed since travels.

#![deny(clippy::disallowed_methods)]

mod ask;
mod copy;
mod earlier;
mod pack;
mod serve;

pub use ask::{AskError, ask, ask_confirmed};
pub use copy::{Copy, Mirror};
pub use serve::{PATH, oldest_wanted, serve};

/// Log prefix of this part.
const PART: &str = "mirror";

/// Name of a document.
pub type DocName = &'static str;

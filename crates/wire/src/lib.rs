//! Control links between our own processes, by `capnp-rpc`.
//!
//! Agents link to every entry of their failure domain, and entries to each other. The messages
//! are typed structs ([`msg`]); [`convert`] writes them to and reads them from the generated code
//! and refuses what makes no sense. The futures of `capnp-rpc` stay on one thread, so each process
//! gives its links a thread of their own ([`thread`]).

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod control_capnp;
pub mod convert;
pub mod counted;
pub mod error;
pub mod link;
pub mod msg;
pub mod session;

pub mod thread;

pub use error::WireError;
pub use link::{Link, accept};
pub use msg::*;
pub use session::AgentSession;

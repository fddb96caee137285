//! Control links between entries and agents, with `capnp-rpc`.
//!
//! Each agent has a link to all entries of its failure domain, and entries have links to each other.
//! Messages are typed structs ([`msg`]), which [`convert`] translates to and from the generated code,
//! rejecting invalid ones. The futures of `capnp-rpc` are not `Send`, and each process therefore runs
//! its links on a dedicated thread ([`thread`]).

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

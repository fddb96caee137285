//! Membership: known upstreams and entries, and the control links between them.

pub mod control;
pub mod fleet;
pub mod links;
pub mod upstream;

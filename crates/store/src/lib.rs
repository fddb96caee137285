//! Client of the platform.
//!
//! The platform provides a transactional table, an object store, a list of VMs and the origin of
//! weights. This crate holds all access to them, by HTTP with conditional requests and ranges; the
//! protocol is documented in docs/PLATFORM.md. Each error tells whether a write may have taken
//! effect, on which the outcome reported to a caller depends.

pub mod error;
pub mod kv;
pub mod member;
pub mod objects;
pub mod origin;
pub mod tables;

pub use error::PlatformError;
pub use kv::{Committed, Kv, Op, ReadResult, Refusal, Tag, Transaction, Unless};
pub use member::{Member, MemberRole, MemberState, Members};
pub use objects::Objects;
pub use origin::Origin;
pub use tables::Tables;

//! The platform, through a narrow set of functions.
//!
//! Everything the platform gives (a transactional table, an object store, a list of VMs and the
//! origin of weights) is met here and nowhere else, by HTTP with conditional requests and ranges.
//! docs/PLATFORM.md writes the protocol down. Every failure says whether a write can have taken
//! effect, because that decides what a caller may be told.

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

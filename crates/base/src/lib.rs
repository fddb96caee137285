//! Types and names shared by all parts of driftnotch.
//!
//! Ids are type aliases, except those with a checked form, such as [`Digest`]. The outcomes of
//! requests and the names of HTTP headers are defined here, for callers, entries, agents and the lab alike.

pub mod digest;
pub mod fingerprint;
pub mod header;
pub mod id;
pub mod nearest;
pub mod outcome;
pub mod place;
pub mod rendezvous;
pub mod settled;
pub mod store_revision;
pub mod units;

pub use digest::Digest;
pub use fingerprint::Fingerprint;
pub use id::*;
pub use outcome::Outcome;
pub use place::{Domains, Place};
pub use settled::Settled;
pub use store_revision::StoreRevision;

/// Fast hasher with a random seed.
pub type RandomHasher = foldhash::fast::RandomState;

/// Hash map with a fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, RandomHasher>;

/// Hash set with a fast hasher.
pub type Set<K> = std::collections::HashSet<K, RandomHasher>;

//! Words shared by every part of driftnotch.
//!
//! Ids are type aliases; a few of them have a checked form (`Digest`). The outcome a caller is
//! told, and the names of the HTTP headers that carry it, live here so that callers, entries,
//! agents and the bench read one definition.

pub mod digest;
pub mod fingerprint;
pub mod header;
pub mod id;
pub mod nearest;
pub mod outcome;
pub mod place;
pub mod rendezvous;
pub mod settled;
pub mod units;

pub use digest::Digest;
pub use fingerprint::Fingerprint;
pub use id::*;
pub use outcome::Outcome;
pub use place::{Domains, Place};
pub use settled::Settled;

/// A fast hasher, seeded anew in each process.
pub type RandomHasher = foldhash::fast::RandomState;

/// Hash map with a fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, RandomHasher>;

/// Hash set with a fast hasher.
pub type Set<K> = std::collections::HashSet<K, RandomHasher>;

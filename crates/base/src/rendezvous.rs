//! Rendezvous hash: every process that knows the same names ranks them alike for a key.

use crate::Digest;

/// Rank of a name for a key.
pub fn rank(key: &[u8], name: &str) -> Digest {
    let mut buf = key.to_vec();
    buf.extend_from_slice(name.as_bytes());
    Digest::of(&buf)
}

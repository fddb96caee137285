//! Rendezvous hashing: all processes that know the same names rank them in the same order for a key.

use crate::Digest;

/// Returns the rank of a name for a key.
pub fn rank(key: &[u8], name: &str) -> Digest {
    let mut buf = key.to_vec();
    buf.extend_from_slice(name.as_bytes());
    Digest::of(&buf)
}

//! Fingerprints, which identify the attempts of one request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Fingerprint of a request, the same for each of its attempts; written as 32 hex digits.
///
/// It is 128 bits of unkeyed BLAKE3: forging a request with the fingerprint of a given other one takes 2^128
/// tries, and without a key all processes compute the same value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of the parts that identify a request, in order.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length prefix keeps two different lists of parts from hashing the same bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }

    /// Returns the first 8 bytes as a big-endian number.
    pub fn short(&self) -> u64 {
        let (first, _) = self.0.split_at(8);
        first.iter().fold(0, |n, b| n << 8 | u64::from(*b))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

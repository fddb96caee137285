//! What tells that two attempts are the same request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Fingerprint of a request, the same for each attempt of it; written as 32 hex digits.
///
/// 128 bits of BLAKE3: to make a request that passes for a given other one takes 2^128 tries, so no key is
/// needed, and all processes find the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Fingerprint of the parts that make a request what it is, in their order.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // With its length before each, two lists of parts never give the same bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }

    /// Its first 8 bytes as a number.
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

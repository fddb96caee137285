//! Digests of chunks, manifests and request bodies.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// BLAKE3 digest, written as 64 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; 32]);

/// {0:?} is not a digest; give the 64 hex digits that `driftnotch publish` prints
#[derive(Debug, Display, PartialEq, Eq)]
pub struct ParseDigestError(String);

impl std::error::Error for ParseDigestError {}

impl Digest {
    /// Returns the digest of `buf`.
    pub fn of(buf: &[u8]) -> Digest {
        Digest(*blake3::hash(buf).as_bytes())
    }

    /// Returns the 32 bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Creates a digest from its 32 bytes; fails on any other length.
    pub fn from_slice(buf: &[u8]) -> Result<Digest, ParseDigestError> {
        match buf.try_into() {
            Ok(bytes) => Ok(Digest(bytes)),
            Err(_) => Err(ParseDigestError(format!("{} bytes", buf.len()))),
        }
    }

    /// Returns the first eight hex digits, for display.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(s: &str) -> Result<Digest, ParseDigestError> {
        blake3::Hash::from_hex(s)
            .map(|h| Digest(*h.as_bytes()))
            .map_err(|_| ParseDigestError(s.chars().take(80).collect()))
    }
}

impl From<Digest> for String {
    fn from(d: Digest) -> String {
        d.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseDigestError;

    fn try_from(s: String) -> Result<Digest, ParseDigestError> {
        s.parse()
    }
}

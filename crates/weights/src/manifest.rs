//! Manifest of a version.

use std::io::Read;

use base::Digest;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Default chunk size, in bytes.
pub const DEFAULT_CHUNK_BYTES: u32 = 1 << 20;

/// Maximum number of chunks in a manifest.
pub const MAX_CHUNKS: usize = 1 << 20;

/// Chunks of a version, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// Size of every chunk but the last, in bytes.
    pub chunk_bytes: u32,
    /// Digest of each chunk, in order.
    pub chunks: Vec<Digest>,
}

/// Why a manifest was rejected.
#[derive(Debug, Display)]
pub enum ManifestError {
    /// the weights cannot be read ({0}); check the path and its permissions
    Read(std::io::Error),
    /// the manifest is not valid JSON ({0}); publish the weights again
    Syntax(serde_json::Error),
    /// the manifest's digest is {found}, not {wanted}; publish the weights again
    Digest {
        /// Expected digest.
        wanted: Digest,
        /// Actual digest.
        found: Digest,
    },
    /// {bytes} bytes in chunks of {chunk_bytes} bytes do not make {chunks} chunks; publish the weights again
    Shape {
        /// Size of the weights in bytes.
        bytes: u64,
        /// Chunk size in bytes.
        chunk_bytes: u32,
        /// Number of chunks listed.
        chunks: usize,
    },
}

impl std::error::Error for ManifestError {}

impl Manifest {
    /// Creates the manifest of weights, which are read to their end.
    pub fn from_reader(mut src: impl Read, chunk_bytes: u32) -> Result<Manifest, ManifestError> {
        let mut chunks = Vec::new();
        let mut bytes = 0;
        loop {
            let mut buf = Vec::with_capacity(chunk_bytes as usize);
            let n = src
                .by_ref()
                .take(chunk_bytes.into())
                .read_to_end(&mut buf)
                .map_err(ManifestError::Read)?;
            if n == 0 {
                break;
            }
            bytes += n as u64;
            chunks.push(Digest::of(&buf));
        }
        let manifest = Manifest {
            bytes,
            chunk_bytes,
            chunks,
        };
        manifest.check_shape()?;
        Ok(manifest)
    }

    /// Returns the encoded manifest, whose digest identifies the version.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest serializes")
    }

    /// Returns the digest that identifies the version.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.encode())
    }

    /// Decodes a manifest and verifies its digest.
    pub fn decode(buf: &[u8], wanted: Digest) -> Result<Manifest, ManifestError> {
        let found = Digest::of(buf);
        if found != wanted {
            return Err(ManifestError::Digest { wanted, found });
        }
        let manifest: Manifest = serde_json::from_slice(buf).map_err(ManifestError::Syntax)?;
        manifest.check_shape()?;
        Ok(manifest)
    }

    /// Returns the byte range of chunk `i`: its start, and its exclusive end.
    pub fn range(&self, i: usize) -> (u64, u64) {
        let first = i as u64 * u64::from(self.chunk_bytes);
        let end = (first + u64::from(self.chunk_bytes)).min(self.bytes);
        (first, end)
    }

    fn check_shape(&self) -> Result<(), ManifestError> {
        let chunk_bytes = u64::from(self.chunk_bytes.max(1));
        let expected = self.bytes.div_ceil(chunk_bytes);
        let is_consistent = self.chunk_bytes > 0
            && self.bytes > 0
            && expected == self.chunks.len() as u64
            && self.chunks.len() <= MAX_CHUNKS;
        if is_consistent {
            return Ok(());
        }
        Err(ManifestError::Shape {
            bytes: self.bytes,
            chunk_bytes: self.chunk_bytes,
            chunks: self.chunks.len(),
        })
    }
}

//! Manifests in the platform's object store.

use base::Digest;
use weights::Manifest;

use crate::{Kv, PlatformError, ReadResult};

/// Client of the manifests.
#[derive(Debug, Clone)]
pub struct Objects {
    kv: Kv,
}

impl Objects {
    /// Creates a client of the manifests in an object store.
    pub fn new(kv: Kv) -> Objects {
        Objects { kv }
    }

    /// Reads the manifest of a version and verifies its digest; `None` if none is published.
    pub async fn manifest(&self, version: Digest) -> Result<Option<Manifest>, PlatformError> {
        match self.kv.get(&path(version), None).await? {
            ReadResult::Value(buf, _) => Manifest::decode(&buf, version)
                .map(Some)
                .map_err(|e| PlatformError::InvalidResponse(e.to_string())),
            ReadResult::Absent | ReadResult::Unchanged => Ok(None),
        }
    }

    /// Publishes a manifest and returns its version. The operation is idempotent.
    pub async fn publish(&self, manifest: &Manifest) -> Result<Digest, PlatformError> {
        let version = manifest.digest();
        let buf = manifest.encode().into();
        self.kv.put(&path(version), buf, None).await?;
        Ok(version)
    }
}

fn path(version: Digest) -> String {
    format!("/objects/manifest/{version}")
}

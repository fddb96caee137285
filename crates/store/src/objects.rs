//! Manifests in the platform's object store.

use base::Digest;
use weights::Manifest;

use crate::{Kv, PlatformError, ReadResult};

/// Access to the manifests.
#[derive(Debug, Clone)]
pub struct Objects {
    kv: Kv,
}

impl Objects {
    /// Manifests in an object store.
    pub fn new(kv: Kv) -> Objects {
        Objects { kv }
    }

    /// The manifest of a version, checked against its digest; `None` where none is published.
    pub async fn manifest(&self, version: Digest) -> Result<Option<Manifest>, PlatformError> {
        match self.kv.get(&path(version), None).await? {
            ReadResult::Value(buf, _) => Manifest::decode(&buf, version)
                .map(Some)
                .map_err(|e| PlatformError::InvalidResponse(e.to_string())),
            ReadResult::Absent | ReadResult::Unchanged => Ok(None),
        }
    }

    /// Publishes a manifest. Writing the same one again changes nothing.
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

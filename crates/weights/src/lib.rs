//! Weights: manifests of versions, and the store of a VM's chunks.
//!
//! A version is described by its manifest, the list of the digests of its chunks in order. The digest
//! of the manifest identifies the version, and thereby verifies all of its bytes. Chunks are content
//! addressed: versions that have a chunk in common share its bytes.

pub mod manifest;
pub mod store;

pub use manifest::{Manifest, ManifestError};
pub use store::{ChunkStore, StoreError};

//! Weights: what a version consists of, and the chunks a VM holds of it.
//!
//! A version is a manifest: the list of its chunks' digests in order. The digest of the manifest
//! names the version everywhere, so one digest vouches for every byte. Chunks are content
//! addressed: two versions that share a chunk share its bytes.

pub mod manifest;
pub mod store;

pub use manifest::{Manifest, ManifestError};
pub use store::{ChunkStore, StoreError};

//! Processes that know of each other through the platform's store.

use std::net::SocketAddr;

use base::{DomainName, VmId};
use serde::{Deserialize, Serialize};

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Takes callers' requests.
    Gateway,
    /// Brings weights to the engine beside it.
    Loader,
}

/// A process, as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM.
    pub vm: VmId,
    /// What it does.
    pub role: Role,
    /// Failure domain.
    pub domain: DomainName,
    /// Where it takes datagrams.
    pub beacon: SocketAddr,
    /// Where it passes on copies of documents (gateway) or chunks (loader).
    #[serde(rename = "passes_on")]
    pub peer_addr: SocketAddr,
}

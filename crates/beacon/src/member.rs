//! Member list entries, by which processes find each other through the platform's store.

use std::net::SocketAddr;

use base::{DomainName, VmId};
use serde::{Deserialize, Serialize};

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers' requests.
    Gateway,
    /// Fetches weights for the engine on its VM.
    Loader,
}

/// A registered process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM.
    pub vm: VmId,
    /// Role.
    pub role: Role,
    /// Failure domain.
    pub domain: DomainName,
    /// Address that receives datagrams.
    pub beacon: SocketAddr,
    /// Address that serves replicated documents (gateway) or chunks (loader) to other processes.
    #[serde(rename = "passes_on")]
    pub peer_addr: SocketAddr,
}

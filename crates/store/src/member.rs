//! The platform's lagging list of VMs.

use std::net::SocketAddr;

use base::{DomainName, VmId};
use serde::{Deserialize, Serialize};

use crate::{Kv, PlatformError, ReadResult, Tag};

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// An entry VM.
    Entry,
    /// An upstream VM.
    Upstream,
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Up.
    Live,
    /// About to go.
    Leaving,
}

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id.
    pub vm: VmId,
    /// Role.
    pub role: MemberRole,
    /// Failure domain.
    pub domain: DomainName,
    /// Control address of an entry; request address of an upstream's agent.
    pub addr: SocketAddr,
    /// State.
    pub state: MemberState,
}

/// Access to the list.
#[derive(Debug, Clone)]
pub struct Members {
    kv: Kv,
}

impl Members {
    /// The list of a service.
    pub fn new(kv: Kv) -> Members {
        Members { kv }
    }

    /// The list with its tag; `None` where it still has the tag given.
    pub async fn list(
        &self,
        known: Option<&Tag>,
    ) -> Result<Option<(Vec<Member>, Tag)>, PlatformError> {
        match self.kv.get("/members", known).await? {
            ReadResult::Unchanged => Ok(None),
            ReadResult::Absent => Ok(Some((Vec::new(), String::new()))),
            ReadResult::Value(buf, tag) => serde_json::from_slice(&buf)
                .map(|members| Some((members, tag)))
                .map_err(|e| PlatformError::InvalidResponse(e.to_string())),
        }
    }
}

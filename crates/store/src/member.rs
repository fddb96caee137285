//! The platform's list of VMs, which lags behind their actual state.

use std::net::SocketAddr;

use base::{DomainName, VmId};
use serde::{Deserialize, Serialize};

use crate::{Kv, PlatformError, ReadResult, Tag};

/// Role of a VM.
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
    /// Running.
    Live,
    /// About to be removed.
    Leaving,
}

/// Entry of a VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id.
    pub vm: VmId,
    /// Role.
    pub role: MemberRole,
    /// Failure domain.
    pub domain: DomainName,
    /// Control address of an entry, or request address of the agent of an upstream.
    pub addr: SocketAddr,
    /// State.
    pub state: MemberState,
}

/// Client of the list of VMs.
#[derive(Debug, Clone)]
pub struct Members {
    kv: Kv,
}

impl Members {
    /// Creates a client of the list in a service.
    pub fn new(kv: Kv) -> Members {
        Members { kv }
    }

    /// Reads the list and its tag; `None` if the tag is still `known`.
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

//! Ids, as type aliases.

use std::time::{SystemTime, UNIX_EPOCH};

/// Name of a failure domain, such as `recife`.
pub type DomainName = String;

/// Name of a region; a region groups failure domains.
pub type RegionName = String;

/// Name of a model or of a plain service.
pub type Model = String;

/// Id of a VM as the platform lists it.
pub type VmId = String;

/// Name of a caller's workspace.
pub type Workspace = String;

/// Revision of the table; grows by one with each accepted edit.
pub type Revision = u64;

/// Id of one request, chosen by the entry that admitted it.
pub type RequestId = String;

/// Number that grows with each start of a process on the same VM.
pub type Incarnation = u64;

/// Fencing number of an order to an engine.
pub type Fence = u64;

/// A new random request id: 32 hex digits.
pub fn new_request_id() -> RequestId {
    format!("{:032x}", rand::random::<u128>())
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

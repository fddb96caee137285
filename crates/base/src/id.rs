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

/// One life of an upstream, from its start to its end; the same number in all processes.
pub type UpstreamIncarnation = u64;

/// Hex digits at the start of a request id that tell when it was made.
const TIME_DIGITS: usize = 12;

/// A new request id: 32 hex digits, of which the first 12 are milliseconds since the Unix epoch
/// and the others random.
pub fn new_request_id() -> RequestId {
    let random = rand::random::<u128>() >> (4 * TIME_DIGITS);
    format!("{:012x}{random:020x}", unix_ms())
}

/// When a request id was made, in milliseconds since the Unix epoch; 0 where it doesn't say.
pub fn request_time(id: &str) -> u64 {
    id.get(..TIME_DIGITS)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .unwrap_or(0)
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

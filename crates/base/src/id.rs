//! Names and ids, as type aliases.

use std::time::{SystemTime, UNIX_EPOCH};

/// Name of a failure domain, such as `recife`.
pub type DomainName = String;

/// Name of a region, which is a group of failure domains.
pub type RegionName = String;

/// Name of a model or of a plain service.
pub type Model = String;

/// Id of a VM in the list of the platform.
pub type VmId = String;

/// Name of the workspace of a caller.
pub type Workspace = String;

/// Revision of the table, incremented with each accepted edit.
pub type Revision = u64;

/// Era of the platform's store, which increases each time that the store is restored from a backup.
pub type Era = u64;

/// Id of a request, assigned by the entry that admits it.
pub type RequestId = String;

/// Incarnation of a process, which increases with each start on the same VM.
pub type Incarnation = u64;

/// Fencing token of an order to an engine.
pub type Fence = u64;

/// Incarnation of an upstream, from its start to its exit; the same number in all processes.
pub type UpstreamIncarnation = u64;

/// Number of leading hex digits of a request id that encode its creation time.
const TIME_DIGITS: usize = 12;

/// Generates a request id of 32 hex digits: the first 12 are the milliseconds since the Unix epoch, the
/// others are random.
pub fn new_request_id() -> RequestId {
    let random = rand::random::<u128>() >> (4 * TIME_DIGITS);
    format!("{:012x}{random:020x}", unix_ms())
}

/// Returns the creation time of a request id in milliseconds since the Unix epoch; 0 if it encodes none.
pub fn request_time(id: &str) -> u64 {
    id.get(..TIME_DIGITS)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .unwrap_or(0)
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

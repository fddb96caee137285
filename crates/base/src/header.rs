//! Names of the HTTP headers that driftnotch reads and writes.
//!
//! Callers see `Idempotency-Key`, `Retry-After` and the `driftnotch-…` headers of the first
//! group. The second group is used between entries and agents, the third with model engines.

/// Workspace of the caller.
pub const WORKSPACE: &str = "driftnotch-workspace";
/// `true` marks a request that is unsafe to repeat.
pub const UNSAFE: &str = "driftnotch-unsafe";
/// Remaining time until the deadline of the request, in milliseconds.
pub const DEADLINE: &str = "driftnotch-deadline-ms";
/// Key that makes retries of an unsafe request idempotent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Priority from 0 (lowest) to 9; it can only lower the priority of the row.
pub const PRIORITY: &str = "driftnotch-priority";
/// Outcome reported to the caller: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "driftnotch-outcome";
/// Request id; set on every response.
pub const REQUEST: &str = "driftnotch-request";
/// `true` if the response is the recorded one of an earlier run.
pub const REPLAYED: &str = "driftnotch-replayed";
/// Failure domain that ran the request.
pub const RAN_IN: &str = "driftnotch-ran-in";

/// Version that the request is pinned to: a manifest digest, or `service`.
pub const VERSION: &str = "driftnotch-version";
/// Model or service name of the row.
pub const MODEL: &str = "driftnotch-model";
/// Revision of the table under which the entry admitted the request.
pub const REVISION: &str = "driftnotch-revision";
/// Reason why an agent refused the request, which has not run and will not run there.
pub const REFUSED: &str = "driftnotch-refused";
/// Number of requests in flight at the agent; set on every response.
pub const LOAD: &str = "driftnotch-load";
/// Incarnation of the responding agent.
pub const INCARNATION: &str = "driftnotch-incarnation";

/// Digest of the weights with which an engine ran the request.
pub const ENGINE_DIGEST: &str = "engine-digest";
/// Request id echoed by an engine.
pub const ENGINE_REQUEST: &str = "engine-request";
/// Fencing token of an order to an engine.
pub const ENGINE_FENCE: &str = "engine-fence";
/// Id of a request to settle: the agent seals it if it has not started, else reports its state.
pub const SETTLE: &str = "driftnotch-settle";
/// State of a request to settle.
pub const SETTLED: &str = "driftnotch-settled";
/// Failure domain of the sender.
pub const DOMAIN: &str = "driftnotch-domain";
/// Bitmap of the chunks of the version that a peer holds, four chunks to a hex digit; set on its responses.
pub const HAVE: &str = "driftnotch-have";

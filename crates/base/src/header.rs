//! Names of the HTTP headers that driftnotch reads and writes.
//!
//! Callers see `Idempotency-Key`, `Retry-After` and the `driftnotch-…` headers of the first
//! group; the second group travels between entries and agents, the third to model engines.

/// Workspace the caller belongs to.
pub const WORKSPACE: &str = "driftnotch-workspace";
/// `true` marks a request that is unsafe to repeat.
pub const UNSAFE: &str = "driftnotch-unsafe";
/// Time the caller still gives the request, in milliseconds.
pub const DEADLINE: &str = "driftnotch-deadline-ms";
/// Key that makes resends of an unsafe request idempotent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Priority from 0 (lowest) to 9; may only lower that of the row.
pub const PRIORITY: &str = "driftnotch-priority";
/// Outcome told to the caller: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "driftnotch-outcome";
/// Request id, on every answer.
pub const REQUEST: &str = "driftnotch-request";
/// `true` where an answer is the recorded one of an earlier run.
pub const REPLAYED: &str = "driftnotch-replayed";
/// Failure domain that ran the request.
pub const RAN_IN: &str = "driftnotch-ran-in";

/// Version the request is pinned to: a manifest digest, or `service`.
pub const VERSION: &str = "driftnotch-version";
/// Model or service name of the row.
pub const MODEL: &str = "driftnotch-model";
/// Revision of the table the entry admitted the request by.
pub const REVISION: &str = "driftnotch-revision";
/// Reason of a definite refusal by an agent; the request has not run and will not.
pub const REFUSED: &str = "driftnotch-refused";
/// Requests running at the agent, carried back on every answer.
pub const LOAD: &str = "driftnotch-load";
/// Incarnation of the agent that answers.
pub const INCARNATION: &str = "driftnotch-incarnation";

/// Digest of the weights an engine ran the request with.
pub const ENGINE_DIGEST: &str = "engine-digest";
/// Request id as an engine echoes it.
pub const ENGINE_REQUEST: &str = "engine-request";
/// Fencing number of an order to an engine.
pub const ENGINE_FENCE: &str = "engine-fence";
/// Id of a request an entry wants settled: sealed if it has not started, else told of.
pub const SETTLE: &str = "driftnotch-settle";
/// What became of a request to be settled.
pub const SETTLED: &str = "driftnotch-settled";
/// Failure domain that sends.
pub const DOMAIN: &str = "driftnotch-domain";
/// Chunks a peer holds of the version, as hex digits of four chunks each; on its answers.
pub const HAVE: &str = "driftnotch-have";

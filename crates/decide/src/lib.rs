//! Decisions under load: which request runs next and where, which are refused, and when to retry.
//!
//! Plain structs and functions over counters and an [`Instant`](std::time::Instant) that the caller
//! passes in. They use no network, tasks or clock, so that tests can simulate any load.
//!
//! - [`attempt_age`]: age of a caller's first attempt, and so whether its objective can still be met.
//! - [`back_off`]: time for which an upstream that rejected a request gets no others.
//! - [`contention`]: whether to try an engine that other gateways see as equally free.
//! - [`denial`]: whether the local replica of the configuration may deny a request.
//! - [`domain_shares`]: planned share of each failure domain's demand for the others.
//! - [`draining`]: whether a draining upstream gets new requests.
//! - [`engine_model`]: choice of engines of varying speed.
//! - [`fairness`]: workspaces that have been admitted more than their share of short capacity.
//! - [`fanout`]: gateways of a failure domain that a change of load is sent to at once.
//! - [`hedging`]: second attempts beside an upstream that is silent.
//! - [`load_balancing`]: choice of the upstream for a request.
//! - [`memory`]: memory that a body in flight may take up.
//! - [`outlier_detection`]: upstreams that are avoided because they fail most of their requests.
//! - [`part_evidence`]: parts of prompts that are blamed for exits of upstreams.
//! - [`priority`]: whether a request may take a slot while more urgent ones may need it.
//! - [`quarantine`]: requests that run on trial or are quarantined because upstreams exited under
//!   them.
//! - [`queue`]: order and maximum wait of queued requests.
//! - [`rate_limit`]: request rate to an upstream that advertises a rate limit.
//! - [`readers`]: gateways of a failure domain that read the store, and when.
//! - [`residency`]: failure domains in which a request may run.
//! - [`restore`]: entries of a restored store that are out of date.
//! - [`retry_after`]: time after which a refused caller should retry.
//! - [`retry_budget`]: budget of retries.
//! - [`rollout`]: whether a version of weights in progress is completed before its successor.
//! - [`returns`]: schedule of the retries of refused callers.
//! - [`senders`]: gateways that send to an upstream limited to a few requests a second.
//! - [`slow_start`]: request rate to a cold upstream.

#![deny(clippy::disallowed_methods)]

pub mod attempt_age;
pub mod back_off;
pub mod contention;
pub mod denial;
pub mod domain_shares;
pub mod draining;
pub mod engine_model;
pub mod fairness;
pub mod fanout;
pub mod hedging;
pub mod load_balancing;
pub mod memory;
pub mod outlier_detection;
pub mod part_evidence;
pub mod priority;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod readers;
pub mod residency;
pub mod restore;
pub mod retry_after;
pub mod retry_budget;
pub mod returns;
pub mod rollout;
pub mod senders;
pub mod slow_start;

/// Whether a request can still meet its objective, counted from its caller's first attempt.
///
/// In overload each late response takes the capacity of one in time, and the same number of callers
/// is refused in any order. Requests that can be in time therefore go first, and late ones get the
/// remaining capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineClass {
    /// The request can meet its objective.
    OnTime,
    /// The objective has passed, or will have passed by the first event.
    Late,
}

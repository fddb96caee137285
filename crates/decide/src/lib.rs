//! Decisions under load: who is served next, where, who is refused, and when to come back.
//!
//! Plain structs and functions over counters and an [`Instant`](std::time::Instant) that is handed in,
//! without a network, tasks or a clock of their own, so that a test can play any load against them.
//!
//! - [`attempt_age`]: how long ago a caller first asked, and so whether it can still be served in its objective.
//! - [`fanout`]: which gateways of a failure domain are told of a change of load at once.
//! - [`back_off`]: how long an upstream that rejected a request gets no others.
//! - [`contention`]: whether an engine is tried now that other gateways know the same of.
//! - [`draining`]: whether an upstream that is draining gets new requests.
//! - [`queue`]: requests that wait, for how long, and which of them is next.
//! - [`load_balancing`]: the upstream of a request.
//! - [`retry_after`]: when a caller that is refused is told to come back.
//! - [`denial`]: whether a request may be denied by the configuration that is held.
//! - [`outlier_detection`]: which upstreams are left alone, since they fail most of what they get.
//! - [`quarantine`]: which requests are tried with care or held back, since upstreams ended under them.
//! - [`rate_limit`]: how fast an upstream that advertises a rate limit gets requests.
//! - [`readers`]: which gateways of a failure domain read the store, and when.
//! - [`residency`]: in which failure domains a request may run.
//! - [`retry_budget`]: the budget of requests sent again.
//! - [`senders`]: which gateways send to an upstream that may get only a few requests a second.
//! - [`slow_start`]: how fast a cold upstream gets requests.

#![deny(clippy::disallowed_methods)]

pub mod attempt_age;
pub mod back_off;
pub mod contention;
pub mod denial;
pub mod draining;
pub mod fanout;
pub mod load_balancing;
pub mod outlier_detection;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod readers;
pub mod residency;
pub mod retry_after;
pub mod retry_budget;
pub mod senders;
pub mod slow_start;

/// Whether a request can still be served within its objective, counted from its caller's first try.
///
/// In overload each late answer takes the place of one in time: as many callers are refused, whoever goes
/// first. So those that can be in time go first, and late ones get what they leave over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineClass {
    /// It can be served in time.
    OnTime,
    /// Its objective has passed or will have by the first event.
    Late,
}

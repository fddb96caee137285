//! Whether a gateway may deny a request by its replica of the configuration.
//!
//! A route or key that is missing from a replica is missing from the configuration in force only if
//! the replica is known to be current. A change may be in transit for seconds: behind a narrow link,
//! a slow reader or an unresponsive connection. A wrong denial is final for a valid request, whereas
//! a refused caller retries. A denial therefore needs a recent confirmation, and without one the
//! request is refused. What a replica allows is served at any age of the replica.
//!
//! Expected load: callers with invalid requests, or that probe many routes and keys, cause many
//! denials a second. One confirmation covers all of them for a while, and after a failed one they are
//! refused at once.

use std::time::{Duration, Instant};

/// Maximum age of a replica that denies, as a fraction of the time within which a change must be in
/// force. A request arrives after it was sent, so the whole time would suffice; the remainder covers
/// what ages miss, such as a process that stalls between the decision and the response. With 0.5,
/// callers that send nothing but invalid requests cause 120 calls to the store a minute in three
/// failure domains, in addition to 740.
const MAX_AGE_FRACTION: f64 = 0.75;

/// Time after a failed confirmation in which no other is started. While the store is unreachable, all
/// other calls retry it about as often.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Decision on a request that the replica doesn't allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Deny the request: the replica was confirmed recently.
    Deny,
    /// Have the replica confirmed, then look the request up again.
    Confirm,
    /// Refuse the request: the last confirmation has just failed.
    Refuse,
}

/// Decides on denials by the age of the last confirmation.
#[derive(Debug)]
pub struct DenialPolicy {
    max_age: Duration,
    last_failure: Option<Instant>,
}

impl DenialPolicy {
    /// Creates a policy where a change must be in force within `config_time`.
    pub fn new(config_time: Duration) -> DenialPolicy {
        DenialPolicy {
            max_age: config_time.mul_f64(MAX_AGE_FRACTION),
            last_failure: None,
        }
    }

    /// Returns the maximum age of a replica that denies.
    pub fn max_age(&self) -> Duration {
        self.max_age
    }

    /// Returns the decision where the replica in force was confirmed `age` ago.
    pub fn decide(&self, age: Duration, now: Instant) -> Decision {
        let is_recent = |failed: Instant| now.saturating_duration_since(failed) < RETRY_INTERVAL;
        match self.last_failure {
            _ if age <= self.max_age => Decision::Deny,
            Some(failed) if is_recent(failed) => Decision::Refuse,
            _ => Decision::Confirm,
        }
    }

    /// Records a failed confirmation.
    pub fn record_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }
}

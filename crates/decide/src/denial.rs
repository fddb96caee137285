//! Whether a request may be denied by the configuration that is held.
//!
//! That a route or a key isn't in a copy says something about the configuration in force only as far as the
//! copy is known to be in force. A change may be on its way for seconds: behind a narrow link, a reader that
//! is slow, a connection that fell silent. To deny a proper request ends it for good, while its caller would
//! come back after a refusal; so a denial needs a confirmation that is young enough, and where none can be had
//! the request is refused. What a copy allows is served by a copy of any age.
//!
//! The load it answers: callers who err, or who try many routes and keys, ask for many denials a second. One
//! confirmation holds for all of them for a while, and after one that failed they are refused at once.

use std::time::{Duration, Instant};

/// Largest age of a copy that denies, as a part of the time in which a change is to be in force. A request
/// comes after the moment at which it was sent, so the whole of it would do; the rest is for what ages miss,
/// such as a process that stands still between judging and answering. With a half, callers who err at every
/// moment cost 120 calls to the store in a minute of three failure domains, beside 740.
const OLDEST_PART: f64 = 0.75;

/// Time after a failed try to have the copy confirmed in which none is begun; the store is asked again about
/// as often by all else while it is away.
const FAILED_REST: Duration = Duration::from_millis(250);

/// What to do with a request that the copy doesn't allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The copy was confirmed lately: deny it.
    Deny,
    /// Have the copy confirmed, and look again.
    Confirm,
    /// Nothing has confirmed it just now: refuse it.
    Refuse,
}

/// What is known of confirmations.
#[derive(Debug)]
pub struct DenialPolicy {
    max_age: Duration,
    last_failure: Option<Instant>,
}

impl DenialPolicy {
    /// Denials where a change is to be in force within `config_time`.
    pub fn new(config_time: Duration) -> DenialPolicy {
        DenialPolicy {
            max_age: config_time.mul_f64(OLDEST_PART),
            last_failure: None,
        }
    }

    /// Largest age of a copy that denies.
    pub fn max_age(&self) -> Duration {
        self.max_age
    }

    /// What to do where the copy in force was confirmed `age` ago.
    pub fn decide(&self, age: Duration, now: Instant) -> Decision {
        let rests = |failed: Instant| now.saturating_duration_since(failed) < FAILED_REST;
        match self.last_failure {
            _ if age <= self.max_age => Decision::Deny,
            Some(failed) if rests(failed) => Decision::Refuse,
            _ => Decision::Confirm,
        }
    }

    /// Notes that no confirmation could be had.
    pub fn record_failure(&mut self, now: Instant) {
        self.last_failure = Some(now);
    }
}

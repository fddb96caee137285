//! Second attempts beside an upstream that is silent.
//!
//! Silence doesn't tell a paused upstream, which goes on, from one that never answers. The first attempt therefore
//! stays open while a second one is made, and the first of the two to go on serves the request.

use std::time::Duration;

/// Time between two tries to begin a second attempt, if no other upstream can take it yet: choosing an upstream reads
/// all of the service, so it isn't tried each time that a slot is freed.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time for which callers wait for an event of a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Time by which the response is ahead of the end of the caller's patience.
const PATIENCE_MARGIN: Duration = Duration::from_millis(100);

/// Returns how long a caller is kept waiting for the first event of a stream. Callers leave after 2 s, four times the
/// objective of the first event or eight times that of a pause, whichever is longest; a response shortly before tells
/// them what became of the request, and that they may retry.
pub fn first_event_wait(objective: Duration, gap_objective: Option<Duration>) -> Duration {
    let patience = MIN_PATIENCE
        .max(objective * 4)
        .max(gap_objective.unwrap_or_default() * 8);
    patience - PATIENCE_MARGIN
}

/// Returns the silence of an upstream after which a second attempt begins: at most `max`, and at most half of the time
/// from the last byte until the deadline, so that the second attempt has as long as the first one.
pub fn delay(max: Duration, until_deadline: Duration) -> Duration {
    max.min(until_deadline / 2)
}

/// What the silence of an upstream on one request shows about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// The upstream is silent on all requests: it is paused, or can't be reached.
    Upstream,
    /// The upstream has meanwhile sent bytes on other requests: it fails this one.
    Request,
}

impl Silence {
    /// Classifies a silence by its duration, and by the time since bytes last arrived from the upstream on any request.
    /// Requests of an upstream that pauses fall silent within an interval of events of each other, not at the same moment.
    pub fn classify(silence: Duration, since_activity: Duration) -> Silence {
        match since_activity < silence / 2 {
            true => Silence::Request,
            false => Silence::Upstream,
        }
    }
}

/// Attempts of a request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptCount {
    /// Attempts that reached an upstream, or are in progress.
    pub sent: u32,
    /// Maximum number of attempts.
    pub max: u32,
    /// Attempts in progress.
    pub in_progress: usize,
}

impl AttemptCount {
    /// Returns whether a second attempt may begin beside the one in progress. `is_repeatable` states whether the
    /// request may run twice.
    pub fn allows_second(self, is_repeatable: bool) -> bool {
        is_repeatable && self.in_progress == 1 && self.sent < self.max
    }
}

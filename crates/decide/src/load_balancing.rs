//! The upstream of a request.
//!
//! An upstream is full when as many requests run there as it has slots, counting those of other gateways
//! as they last told, or when so many prompts wait to be read that the first event would come too late.
//! Late requests find it full a little earlier. Of those with room the one with the least in flight is
//! taken; the own failure domain goes first among equals, and an engine that is to leave service before
//! the request would end comes last.

use std::time::Duration;

/// Prompt tokens that weigh as much as one running request: what an engine reads in the time in which it
/// makes a third of an answer. 200 and 700 serve alike.
pub const TOKENS_PER_REQUEST: f64 = 700.0;

/// Weight of crossing into another failure domain, in requests: the bytes of a stream between regions
/// are priced at some 2% of its worth, and take a part of a link of 20 to 27 Mbit/s.
const OTHER_DOMAIN: f64 = 2.5;

/// Random part of a weight, in requests, so that gateways that know the same don't all choose the same
/// upstream.
pub const JITTER: f64 = 0.3;

/// Part of the objective that prompts ahead may take. Half of it serves 0.02 of a quiet day less.
const UNREAD_PART: f64 = 0.25;

/// Weight of each second that a request is expected to run after its engine is to leave service for
/// new weights, in requests: the engine has to end it first, with all of its other slots empty.
const OVERRUN: f64 = 4.0;

/// Time in which an engine with a full batch makes one token.
const TOKEN_TIME: Duration = Duration::from_millis(12);

/// Requests that a plain service may have in flight, against its slots.
const PLAIN_FILL: f64 = 2.0;

/// Part of an engine's slots that late requests leave free, for those that can be in time and arrive
/// at any gateway meanwhile. In overload no engine has so much room, so late requests get nothing; as soon
/// as it ends they get all but this.
const LATE_RESERVE: f64 = 0.125;

/// How an upstream stands.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Requests it works on at once.
    pub slots: u32,
    /// Requests in flight there, of all gateways.
    pub requests: u32,
    /// Their prompt tokens that aren't read yet.
    pub unread: u64,
    /// Those of this gateway alone.
    pub own_unread: u64,
    /// Whether it is in another failure domain.
    pub is_far: bool,
    /// Time until it is to leave service for new weights.
    pub leaves_in: Option<Duration>,
}

/// What a request asks of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Requirements {
    /// Whether it can still be in time.
    pub deadline_class: crate::DeadlineClass,
    /// Time within which its first event is of full use.
    pub objective: Duration,
    /// Prompt tokens that an engine reads in a second; `None` for a plain service.
    pub prompt_rate: Option<f64>,
    /// Tokens that are expected to be generated.
    pub expected_tokens: u64,
    /// Whether this gateway is the only one.
    pub is_only_gateway: bool,
}

impl Requirements {
    /// What is in flight at a candidate, in requests; `None` where it is full.
    pub fn cost(&self, candidate: &Candidate) -> Option<f64> {
        if self.is_full(candidate) {
            return None;
        }
        let far = match candidate.is_far {
            true => OTHER_DOMAIN,
            false => 0.0,
        };
        let unread = candidate.unread as f64 / TOKENS_PER_REQUEST;
        let overrun = OVERRUN * self.overrun(candidate).as_secs_f64();
        Some(f64::from(candidate.requests) + unread + far + overrun)
    }

    /// Requests like this one that an engine has room for, by its slots and by prompts that can be read in
    /// time; endless for a plain service.
    pub fn free_capacity(&self, candidate: &Candidate) -> f64 {
        let Some(rate) = self.prompt_rate else {
            return f64::INFINITY;
        };
        let slots = candidate.slots.saturating_sub(candidate.requests);
        let readable = rate * self.objective.as_secs_f64() * UNREAD_PART;
        let unread = (readable - candidate.unread as f64) / TOKENS_PER_REQUEST;
        f64::from(slots).min(unread.max(0.0))
    }

    fn is_full(&self, candidate: &Candidate) -> bool {
        let Some(rate) = self.prompt_rate else {
            let most = f64::from(candidate.slots) * PLAIN_FILL;
            return f64::from(candidate.requests) >= most;
        };
        candidate.requests + self.reserve(candidate) >= candidate.slots
            || self.waits_long(candidate, rate)
            || self.reads_own(candidate)
    }

    /// Slots that are left free.
    fn reserve(&self, candidate: &Candidate) -> u32 {
        match self.deadline_class {
            crate::DeadlineClass::OnTime => 0,
            crate::DeadlineClass::Late => (f64::from(candidate.slots) * LATE_RESERVE).ceil() as u32,
        }
    }

    fn waits_long(&self, candidate: &Candidate, rate: f64) -> bool {
        let ahead = candidate.unread as f64 / rate.max(1.0);
        ahead > self.objective.as_secs_f64() * UNREAD_PART
    }

    /// Whether a gateway that isn't alone has a prompt at the engine that isn't read yet. Several
    /// gateways may find an engine empty at the same moment; with one prompt each it isn't swamped.
    fn reads_own(&self, candidate: &Candidate) -> bool {
        candidate.own_unread > 0 && !self.is_only_gateway
    }

    /// How long the request is expected to run after its engine is to leave service.
    fn overrun(&self, candidate: &Candidate) -> Duration {
        let Some(left) = candidate.leaves_in else {
            return Duration::ZERO;
        };
        let runs = TOKEN_TIME * u32::try_from(self.expected_tokens).unwrap_or(u32::MAX);
        runs.saturating_sub(left)
    }
}

//! Load balancing: choice of the upstream for a request.
//!
//! An upstream is full when the requests in flight there, including those that other gateways last
//! reported, take all of its slots, or when so many prompts wait to be read that the first event
//! would be late. For late requests it is full a little earlier. Among upstreams with free capacity
//! the one with the least in flight is chosen. The own failure domain is preferred among equals, and
//! an engine that leaves service before the request would complete comes last.

use std::time::Duration;

/// Prompt tokens that cost as much as one running request: what an engine reads in the time in which
/// it generates a third of an answer. 200 and 700 serve alike.
pub const TOKENS_PER_REQUEST: f64 = 700.0;

/// Cost, in requests, of crossing into another failure domain: the bytes of a stream between regions
/// are priced at some 2% of its value and use part of a link of 20 to 27 Mbit/s.
const CROSS_DOMAIN_COST: f64 = 2.5;

/// Random part of a cost, in requests, so that gateways with the same view don't all choose the same
/// upstream.
pub const JITTER: f64 = 0.3;

/// Fraction of the objective that prompts ahead may take. With half of it, the fraction served on a quiet
/// day is 0.02 lower.
const UNREAD_FRACTION: f64 = 0.25;

/// Cost, in requests, of each second for which a request is expected to run after its engine is due
/// to leave service for new weights: the engine has to complete it first, with all of its other slots
/// empty.
const OVERRUN_COST: f64 = 4.0;

/// Time in which an engine with a full batch generates one token.
pub const TOKEN_TIME: Duration = Duration::from_millis(12);

/// Maximum requests in flight at a plain service, as a multiple of its slots.
const PLAIN_FILL: f64 = 2.0;

/// Fraction of an engine's slots that late requests leave free for on-time requests, which may arrive
/// at any gateway meanwhile. In overload no engine has that much free capacity, so late requests get
/// nothing; after the overload they get all but this fraction.
const LATE_RESERVE: f64 = 0.125;

/// State of an upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests in flight there from all gateways.
    pub requests: u32,
    /// Prompt tokens of these requests that aren't read yet.
    pub unread: u64,
    /// Unread prompt tokens of this gateway's requests alone.
    pub own_unread: u64,
    /// Whether it is in another failure domain.
    pub is_far: bool,
    /// Time until it is due to leave service for new weights.
    pub leaves_in: Option<Duration>,
}

/// Requirements of a request on its upstream.
#[derive(Debug, Clone, Copy)]
pub struct Requirements {
    /// Whether the request can still be in time.
    pub deadline_class: crate::DeadlineClass,
    /// Time within which the first event has its full value.
    pub objective: Duration,
    /// Prompt tokens that an engine reads in a second; `None` for a plain service.
    pub prompt_rate: Option<f64>,
    /// Expected number of generated tokens.
    pub expected_tokens: u64,
    /// Whether this gateway is the only one.
    pub is_only_gateway: bool,
}

impl Requirements {
    /// Returns the cost of a candidate, in requests in flight, or `None` if it is full.
    pub fn cost(&self, candidate: &Candidate) -> Option<f64> {
        if self.is_full(candidate) {
            return None;
        }
        let far = match candidate.is_far {
            true => CROSS_DOMAIN_COST,
            false => 0.0,
        };
        let unread = candidate.unread as f64 / TOKENS_PER_REQUEST;
        let overrun = OVERRUN_COST * self.overrun(candidate).as_secs_f64();
        Some(f64::from(candidate.requests) + unread + far + overrun)
    }

    /// Returns the part of the cost that doesn't depend on the load.
    pub(crate) fn placement_cost(&self, candidate: &Candidate) -> f64 {
        let far = match candidate.is_far {
            true => CROSS_DOMAIN_COST,
            false => 0.0,
        };
        far + OVERRUN_COST * self.overrun(candidate).as_secs_f64()
    }

    /// Returns the number of requests like this one that an engine has capacity for, limited by its
    /// slots and by the prompts that it can read in time. It is infinite for a plain service.
    pub fn free_capacity(&self, candidate: &Candidate) -> f64 {
        let Some(rate) = self.prompt_rate else {
            return f64::INFINITY;
        };
        let slots = candidate.slots.saturating_sub(candidate.requests);
        let readable = rate * self.objective.as_secs_f64() * UNREAD_FRACTION;
        let unread = (readable - candidate.unread as f64) / TOKENS_PER_REQUEST;
        f64::from(slots).min(unread.max(0.0))
    }

    fn is_full(&self, candidate: &Candidate) -> bool {
        let Some(rate) = self.prompt_rate else {
            let max = f64::from(candidate.slots) * PLAIN_FILL;
            return f64::from(candidate.requests) >= max;
        };
        candidate.requests + self.reserve(candidate) >= candidate.slots
            || self.has_prompt_backlog(candidate, rate)
            || self.has_own_unread(candidate)
    }

    /// Returns the number of slots that stay free.
    fn reserve(&self, candidate: &Candidate) -> u32 {
        match self.deadline_class {
            crate::DeadlineClass::OnTime => 0,
            crate::DeadlineClass::Late => (f64::from(candidate.slots) * LATE_RESERVE).ceil() as u32,
        }
    }

    /// Returns whether the prompts ahead take too much of the objective.
    fn has_prompt_backlog(&self, candidate: &Candidate, rate: f64) -> bool {
        let ahead = candidate.unread as f64 / rate.max(1.0);
        ahead > self.objective.as_secs_f64() * UNREAD_FRACTION
    }

    /// Returns whether this gateway, if not the only one, has an unread prompt at the engine. Several
    /// gateways may find an engine empty at the same time; with one prompt of each it isn't
    /// overloaded.
    fn has_own_unread(&self, candidate: &Candidate) -> bool {
        candidate.own_unread > 0 && !self.is_only_gateway
    }

    /// Returns how long the request is expected to run after its engine is due to leave service.
    fn overrun(&self, candidate: &Candidate) -> Duration {
        let Some(remaining) = candidate.leaves_in else {
            return Duration::ZERO;
        };
        let run_time = TOKEN_TIME * u32::try_from(self.expected_tokens).unwrap_or(u32::MAX);
        run_time.saturating_sub(remaining)
    }
}

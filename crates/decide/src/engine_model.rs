//! Engines of varying speed: predicted time to the first event of a request and predicted pause of the streams that
//! run on its engine, and the choice of an engine by them.
//!
//! An engine works in iterations: each runs a few decode steps for all running requests and prefills the prompts that
//! arrived meanwhile, so a prompt delays the next event of every stream there by the time of its prefill. All of it
//! takes longer by the engine's pace, which its loader publishes. A slow period may begin right after a prompt was
//! sent, so the prompts at one engine are bounded for the worst pace that any engine of the service had lately.
//!
//! Load: engines that are 2.5 times slower in periods of 600 ms, 15% of the time, with up to 7 requests a second each, from
//! gateways whose view of the loads is 25 to 130 ms old. For a service without another pace than 1 lately, gateways
//! decide by [`crate::load_balancing`] alone.

use std::time::Duration;

use catalog::Engine;

use crate::DeadlineClass;
use crate::load_balancing::{self, Candidate, Requirements, TOKENS_PER_REQUEST};

/// Fraction of the gap objective that a predicted pause leaves free at a suitable engine: another gateway may send a
/// prompt before the loads show this one. With 0.1, 1.3 times as many callers are late at 60% of the capacity and 1.8
/// times as many at 75%; with 0.7 hardly any engine with running streams is suitable.
const GAP_MARGIN: f64 = 0.5;

/// Random part of a cost for a service of engines of varying speed. With [`load_balancing::JITTER`] gateways that see
/// the same fast engine send it their prompts at once, and 2.2 times as many callers are late at 60% of the capacity;
/// with 6, three times as many requests go to other failure domains at 30%.
const JITTER: f64 = 3.0;

/// Cost of an engine that is chosen only where no other is suitable; it exceeds that of any suitable one.
const RISKY_COST: f64 = 1e3;

/// Cost of an engine at which the request or running streams would be late, chosen only where there is no other.
const LATE_COST: f64 = 1e6;

/// Speed of an engine at pace 1. Parts that the configuration doesn't state count as taking no time.
#[derive(Debug, Clone, Copy)]
pub struct EngineModel {
    /// Time of an iteration without requests, in seconds.
    pub iteration: f64,
    /// Time that each running request adds to it, in seconds.
    pub per_request: f64,
    /// Prompt tokens that are prefilled in a second.
    pub prompt_rate: f64,
    /// Time of prefill for a pair of a token and a preceding token, in seconds.
    pub per_pair: f64,
    /// Maximum number of prompt tokens in an iteration.
    pub iteration_tokens: f64,
}

impl EngineModel {
    /// Returns the model of a configured engine; `None` if its prefill rate isn't stated.
    pub fn new(engine: &Engine) -> Option<EngineModel> {
        let speed = engine.iteration;
        let stride = speed.stride.unwrap_or(1.0).max(1.0);
        (engine.prompt_rate > 0.0).then(|| EngineModel {
            iteration: stride * speed.step_ms.unwrap_or(0.0) / 1e3,
            per_request: stride * speed.per_request_ms.unwrap_or(0.0) / 1e3,
            prompt_rate: engine.prompt_rate,
            per_pair: speed.pairs_ms.unwrap_or(0.0) / 1e9,
            iteration_tokens: speed.chunk_tokens.map_or(f64::INFINITY, |c| c * stride),
        })
    }

    /// Returns the time of an iteration that prefills no prompt, in seconds.
    pub fn decode_time(&self, pace: f64, running: u32) -> f64 {
        pace * (self.iteration + self.per_request * f64::from(running))
    }

    /// Returns the time of prefill for `pending` tokens and a prompt, in seconds.
    pub fn prefill_time(&self, pace: f64, pending: u64, prompt: u64) -> f64 {
        let (pending, prompt) = (pending as f64, prompt as f64);
        let pairs = prompt * prompt / 2.0 * self.per_pair;
        pace * ((pending + prompt) / self.prompt_rate + pairs)
    }

    /// Returns the longest pause of the running streams, in seconds, if a prompt is prefilled with the pending ones.
    pub fn pause(&self, pace: f64, running: u32, pending: u64, prompt: u64) -> f64 {
        let tokens = pending.saturating_add(prompt) as f64;
        let fraction = (self.iteration_tokens / tokens.max(1.0)).min(1.0);
        self.decode_time(pace, running) + self.prefill_time(pace, pending, prompt) * fraction
    }

    /// Returns the mean time to the first event of a request, in seconds: the rest of the current iteration, of which
    /// half has passed on average, and those that prefill its prompt after the pending ones.
    pub fn first_event(&self, pace: f64, running: u32, pending: u64, prompt: u64) -> f64 {
        let tokens = pending.saturating_add(prompt) as f64;
        let iterations = (tokens / self.iteration_tokens).ceil();
        let decode = self.decode_time(pace, running + 1) * (0.5 + iterations.max(1.0));
        decode + self.prefill_time(pace, pending, prompt)
    }
}

/// How an engine fits a request, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fit {
    /// Neither the request nor the running streams would be late, also at the worst pace lately.
    Suitable,
    /// The request or running streams would be late if the engine becomes slow or another gateway sends a prompt too,
    /// or it is an idle engine in another failure domain.
    Risky,
    /// The request or running streams would be late.
    Late,
}

/// Requirements of a request by what is known of the paces of its service's engines.
#[derive(Debug, Clone, Copy)]
pub enum EngineRequirements {
    /// No engine had another pace than 1 lately.
    Even(Requirements),
    /// The pace of engines varies.
    Uneven(PacedRequirements),
}

impl EngineRequirements {
    /// Returns the cost of an engine; `None` if it is full.
    pub fn cost(&self, candidate: &Candidate, pace: f64) -> Option<f64> {
        match self {
            EngineRequirements::Even(requirements) => requirements.cost(candidate),
            EngineRequirements::Uneven(requirements) => requirements.cost(candidate, pace),
        }
    }

    /// Returns the number of requests like this one that an engine has capacity for.
    pub fn free_capacity(&self, candidate: &Candidate, pace: f64) -> f64 {
        match self {
            EngineRequirements::Even(requirements) => requirements.free_capacity(candidate),
            EngineRequirements::Uneven(requirements) => requirements.free_capacity(candidate, pace),
        }
    }

    /// Returns the upper limit of the random part of a cost.
    pub fn jitter(&self) -> f64 {
        match self {
            EngineRequirements::Even(_) => load_balancing::JITTER,
            EngineRequirements::Uneven(_) => JITTER,
        }
    }
}

/// Requirements of a request on an engine of varying speed.
#[derive(Debug, Clone, Copy)]
pub struct PacedRequirements {
    /// Requirements regardless of pace.
    pub base: Requirements,
    /// Speed of the service's engines.
    pub model: EngineModel,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Time left for the first event.
    pub remaining: Duration,
    /// Longest pause of the service's streams.
    pub gap_objective: Option<Duration>,
    /// Highest pace lately of the service's engines.
    pub worst_pace: f64,
}

impl PacedRequirements {
    /// Returns the cost of an engine; `None` if it is full regardless of pace. That of an engine that isn't suitable
    /// grows with the total delay of the request and of the running streams.
    pub fn cost(&self, candidate: &Candidate, pace: f64) -> Option<f64> {
        let cost = self.base.cost(candidate)?;
        let delay = self.total_delay(candidate, pace) + self.base.placement_cost(candidate);
        Some(match self.fit(candidate, pace) {
            Fit::Suitable => cost + self.pace_cost(candidate, pace),
            Fit::Risky => RISKY_COST + delay,
            Fit::Late => LATE_COST + delay,
        })
    }

    /// Returns how an engine fits the request.
    pub fn fit(&self, candidate: &Candidate, pace: f64) -> Fit {
        let worst_pace = pace.max(self.worst_pace);
        let is_idle = running(candidate) == 0;
        let pause_fits = |pace, fraction| is_idle || self.pause_fits(candidate, pace, fraction);
        if !self.is_in_time(candidate, pace) || !pause_fits(pace, 1.0) {
            return Fit::Late;
        }
        // In light load there is always an idle engine in another failure domain.
        let is_idle_elsewhere = is_idle && candidate.is_far;
        match pause_fits(worst_pace, 1.0 - GAP_MARGIN) && !is_idle_elsewhere {
            true => Fit::Suitable,
            false => Fit::Risky,
        }
    }

    /// Returns the cost of the pace of an engine, in requests.
    fn pace_cost(&self, candidate: &Candidate, pace: f64) -> f64 {
        let tokens = candidate.unread.saturating_add(self.prompt) as f64;
        let load = f64::from(candidate.requests) + 1.0 + tokens / TOKENS_PER_REQUEST;
        load * (pace - 1.0)
    }

    /// Returns the number of requests like this one that an engine has capacity for, as
    /// [`Requirements::free_capacity`]; a slow engine prefills fewer prompts in time.
    pub fn free_capacity(&self, candidate: &Candidate, pace: f64) -> f64 {
        let prompt_rate = self.base.prompt_rate.map(|rate| rate / pace);
        let paced = Requirements {
            prompt_rate,
            ..self.base
        };
        paced.free_capacity(candidate)
    }

    /// Returns whether the first event is expected in time. A request that is late in any case goes anywhere.
    fn is_in_time(&self, candidate: &Candidate, pace: f64) -> bool {
        let first_event =
            self.model
                .first_event(pace, candidate.requests, candidate.unread, self.prompt);
        self.base.deadline_class == DeadlineClass::Late
            || first_event <= self.remaining.as_secs_f64()
    }

    /// Returns whether the running streams pause for no longer than a fraction of their objective at a pace.
    fn pause_fits(&self, candidate: &Candidate, pace: f64, fraction: f64) -> bool {
        let Candidate {
            requests, unread, ..
        } = *candidate;
        let pause = self.model.pause(pace, requests, unread, self.prompt);
        self.gap_objective
            .is_none_or(|gap| pause <= gap.as_secs_f64() * fraction)
    }

    /// Returns the time to the first event and the pauses of all running streams, in seconds.
    fn total_delay(&self, candidate: &Candidate, pace: f64) -> f64 {
        let Candidate {
            requests, unread, ..
        } = *candidate;
        let pause = self.model.pause(pace, requests, unread, self.prompt);
        let first_event = self.model.first_event(pace, requests, unread, self.prompt);
        f64::from(running(candidate)) * pause + first_event
    }
}

/// Returns the number of streams that run on an engine. With pending prompts at least one request has no event yet.
fn running(candidate: &Candidate) -> u32 {
    let pending = u32::from(candidate.unread > 0);
    candidate.requests.saturating_sub(pending)
}

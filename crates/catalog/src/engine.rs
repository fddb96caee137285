//! Configuration of model engines and of the origin of their weights.

use std::net::SocketAddr;
use std::time::Duration;

use base::Model;

/// Longest time that is computed from sizes and rates, whose quotient may exceed what a [`Duration`] holds. Sums with
/// it don't overflow.
const MAX_TIME: Duration = Duration::from_secs(u32::MAX as u64);

/// Returns a time in seconds, at most [`MAX_TIME`].
fn bounded_time(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs).map_or(MAX_TIME, |time| time.min(MAX_TIME))
}

/// Models of a service and how its upstreams run them.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Models.
    pub models: Vec<Model>,
    /// Layers of a model.
    pub layers: u32,
    /// Prompt tokens processed per second.
    pub prompt_rate: f64,
    /// Size of a chunk of weights, in bytes; 0 if unknown.
    pub chunk_bytes: u64,
    /// Number of chunks of weights; 0 if unknown.
    pub chunks: u32,
    /// Speed of its iterations.
    pub iteration: Iteration,
}

/// Speed of an engine's iterations at its normal pace; `None` where the configuration doesn't state it. An iteration
/// runs a few decode steps for all running requests and prefills the prompts that arrived meanwhile.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Iteration {
    /// Decode steps of an iteration.
    pub stride: Option<f64>,
    /// Time of a decode step, in ms.
    pub step_ms: Option<f64>,
    /// Time that each running request adds to a decode step, in ms.
    pub per_request_ms: Option<f64>,
    /// Time that 1,000 tokens of context add to a decode step, in ms.
    pub context_ms: Option<f64>,
    /// Time of prefill for a million pairs of a token and a preceding token, in ms.
    pub pairs_ms: Option<f64>,
    /// Maximum number of prompt tokens per step.
    pub chunk_tokens: Option<f64>,
}

impl Engine {
    /// Returns whether the engine runs a model.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|m| m == model)
    }

    /// Returns the time to process a prompt on an idle engine.
    pub fn prompt_time(&self, tokens: u64) -> Duration {
        bounded_time(tokens as f64 / self.prompt_rate.max(1.0))
    }
}

/// Origin of weights.
#[derive(Debug, Clone)]
pub struct Origin {
    /// Address.
    pub addr: SocketAddr,
    /// Maximum number of connections.
    pub max_connections: u32,
    /// Rate of its link, in Mbit/s; 0 if unknown.
    pub link_mbps: f64,
}

impl Origin {
    /// Returns the time that its link takes to transfer some bytes; zero if its rate is unknown.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        match self.link_mbps > 0.0 {
            true => bounded_time(bytes as f64 * 8.0 / (self.link_mbps * 1e6)),
            false => Duration::ZERO,
        }
    }
}

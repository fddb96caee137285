//! Configuration of model engines and of the origin of their weights.

use std::net::SocketAddr;
use std::time::Duration;

use base::Model;

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
}

impl Engine {
    /// Returns whether the engine runs a model.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|m| m == model)
    }

    /// Returns the time to process a prompt on an idle engine.
    pub fn prompt_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prompt_rate.max(1.0))
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
            true => Duration::from_secs_f64(bytes as f64 * 8.0 / (self.link_mbps * 1e6)),
            false => Duration::ZERO,
        }
    }
}

//! What is configured of model engines and of the origin of their weights.

use std::net::SocketAddr;
use std::time::Duration;

use base::Model;

/// How the upstreams of a service run models.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Models.
    pub models: Vec<Model>,
    /// Layers of a model.
    pub layers: u32,
    /// Prompt tokens read in a second.
    pub prompt_rate: f64,
    /// Size of a chunk of weights, in bytes; 0 where it isn't known.
    pub chunk_bytes: u64,
}

impl Engine {
    /// Whether a model is run.
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|m| m == model)
    }

    /// Time to read a prompt while nothing else is read.
    pub fn prompt_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prompt_rate.max(1.0))
    }
}

/// Where weights are drawn from.
#[derive(Debug, Clone)]
pub struct Origin {
    /// Address.
    pub addr: SocketAddr,
    /// Connections it takes.
    pub max_connections: u32,
    /// Rate of its link, in Mbit/s; 0 where it isn't known.
    pub link_mbps: f64,
}

impl Origin {
    /// Time in which its link carries some bytes.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        match self.link_mbps > 0.0 {
            true => Duration::from_secs_f64(bytes as f64 * 8.0 / (self.link_mbps * 1e6)),
            false => Duration::ZERO,
        }
    }
}

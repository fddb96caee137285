//! Fairness between the workspaces of one priority while capacity is short.
//!
//! Each gateway counts the cost of what workspaces ask for and of what it admits, with exponential decay. The share of a
//! workspace is the level up to which the admitted cost would fill the demand of all workspaces evenly (max-min). A
//! workspace that has been admitted more than that is over its share, and leaves a little more of the pool free than
//! others of its rank. While everything is admitted, the level is the largest demand and no workspace is over it.
//!
//! Callers reach gateways at random, so each gateway sees a sample of all workspaces and nothing is exchanged. Holds some
//! 100 bytes for each workspace of the configuration that has sent requests.

use std::time::{Duration, Instant};

use base::{Map, Workspace};

/// Time constant of the decay. A gateway with 20 requests a second sees a hundred in it, of which a large workspace has a
/// dozen; bursts last for 3 to 7 s.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Cost of a generated token, in prompt tokens: with 12 requests, 7 steps generate 84 tokens in the 49 ms in which an
/// engine reads 1,500.
const GENERATED_COST: f64 = 18.0;

/// Usage below which a workspace is forgotten, in tokens: less than any request costs.
const NEGLIGIBLE: f64 = 1.0;

/// Returns the cost of a request, in prompt tokens.
pub fn cost(prompt_tokens: u64, expected_tokens: u64) -> f64 {
    prompt_tokens as f64 + GENERATED_COST * expected_tokens as f64
}

/// Usage of one workspace, in prompt tokens.
#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    demand: f64,
    admitted: f64,
}

/// Usage of the workspaces of one priority; one entry for each workspace that was recently seen.
#[derive(Debug, Default, Clone)]
pub struct Shares {
    workspaces: Map<Workspace, Usage>,
    decayed: Option<Instant>,
}

impl Shares {
    /// Records a request and returns whether its workspace was over its share before.
    pub fn arrive(&mut self, workspace: &Workspace, cost: f64, now: Instant) -> bool {
        self.decay(now);
        let level = self.level();
        let usage = self.usage(workspace);
        usage.demand += cost;
        usage.admitted > level
    }

    /// Records that a request was admitted.
    pub fn admit(&mut self, workspace: &Workspace, cost: f64, now: Instant) {
        self.decay(now);
        self.usage(workspace).admitted += cost;
    }

    /// Returns the number of workspaces that are held.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether no workspace is held.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    fn usage(&mut self, workspace: &Workspace) -> &mut Usage {
        // Only the first request of a workspace copies its name.
        if !self.workspaces.contains_key(workspace) {
            self.workspaces.insert(workspace.clone(), Usage::default());
        }
        self.workspaces.get_mut(workspace).expect("it was inserted")
    }

    fn decay(&mut self, now: Instant) {
        let since = self.decayed.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since);
        let factor = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.workspaces.retain(|_, usage| {
            usage.demand *= factor;
            usage.admitted *= factor;
            usage.demand + usage.admitted > NEGLIGIBLE
        });
    }

    /// Returns the usage up to which the admitted cost fills the demand of all workspaces evenly.
    fn level(&self) -> f64 {
        let mut remaining: f64 = self.workspaces.values().map(|u| u.admitted).sum();
        let mut demands: Vec<f64> = self.workspaces.values().map(|u| u.demand).collect();
        demands.sort_by(f64::total_cmp);
        let count = demands.len();
        for (i, demand) in demands.iter().enumerate() {
            let even = remaining / (count - i) as f64;
            if even < *demand {
                return even;
            }
            remaining -= demand;
        }
        f64::INFINITY
    }
}

//! Load balancing: chooses the upstream of a request.
//!
//! Candidates have the pinned version live, are not draining, and are in a permitted place; other
//! failure domains are used only if the own one has no candidate. Among the candidates with a free
//! slot, the rendezvous hash of the prompt's prefix prefers one upstream while its load is within a
//! bound of the mean; otherwise the less loaded of two random candidates is chosen. Reported loads
//! lag, so a load also includes the entry's own count of running requests. Ejected upstreams are
//! skipped unless all are ejected.
//!
//! That is the policy `prefix`. The other policies exist for comparison in benchmarks: `two` (the
//! same without prefixes), `random`, `round-robin`, and `least-reported` (the lowest reported load,
//! regardless of its age).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use base::rendezvous::rank;
use rand::RngExt;
use settings::EntryCfg;
use table::Row;

use crate::membership::fleet::Fleet;
use crate::membership::upstream::{Slot, Upstream};
use crate::request::CallerRequest;

/// Result of a choice.
#[derive(Debug)]
pub enum Pick {
    /// An upstream with a free slot.
    Chosen(Slot),
    /// No candidate has a free slot.
    Busy,
    /// There is no candidate.
    NoUpstream,
}

/// Upstream that can serve a row, with the time since which its version has been live.
#[derive(Debug, Clone)]
struct Candidate {
    upstream: Arc<Upstream>,
    live_since: Instant,
}

impl Candidate {
    /// Returns the load, scaled up during slow start.
    fn weighted_load(&self, slow_start: Duration) -> f64 {
        let warm_up = match clock::since(self.live_since) {
            live_for if live_for >= slow_start => 1.0,
            live_for => (live_for.as_secs_f64() / slow_start.as_secs_f64()).max(0.1),
        };
        (f64::from(self.upstream.load()) + 1.0) / warm_up
    }
}

/// Returns whether any upstream can serve a row.
pub fn can_serve(fleet: &Fleet, row: &Row, cfg: &EntryCfg) -> bool {
    !candidates(fleet, row, cfg, &[]).is_empty()
}

/// Chooses an upstream for a request pinned to a row, except those in `tried`.
pub fn pick(
    fleet: &Fleet,
    row: &Row,
    request: &CallerRequest,
    cfg: &EntryCfg,
    tried: &[Arc<Upstream>],
) -> Pick {
    let candidates = candidates(fleet, row, cfg, tried);
    if candidates.is_empty() {
        return Pick::NoUpstream;
    }
    let limit = cfg.upstream_running as u32;
    let free: Vec<Candidate> = candidates
        .into_iter()
        .filter(|c| c.upstream.running() < limit)
        .collect();
    if free.is_empty() {
        return Pick::Busy;
    }
    let chosen = match cfg.policy.as_str() {
        "two" => less_loaded_of_two(&free, cfg),
        "random" => free[rand::rng().random_range(0..free.len())].clone(),
        "round-robin" => round_robin(free.clone()),
        "least-reported" => least_reported(&free),
        _ => preferred_by_prefix(&free, request, cfg)
            .unwrap_or_else(|| less_loaded_of_two(&free, cfg)),
    };
    match Slot::acquire(&chosen.upstream, limit) {
        Some(slot) => Pick::Chosen(slot),
        None => Pick::Busy,
    }
}

fn candidates(fleet: &Fleet, row: &Row, cfg: &EntryCfg, tried: &[Arc<Upstream>]) -> Vec<Candidate> {
    let usable = |upstreams: Vec<Arc<Upstream>>| -> Vec<Candidate> {
        upstreams
            .into_iter()
            .filter(|u| !tried.iter().any(|t| Arc::ptr_eq(t, u)))
            .filter(|u| !cfg.check_places || row.permits(u.domain(), &cfg.process.domains))
            .filter(|u| !fleet.is_listed_draining(u.vm()))
            .filter_map(|upstream| {
                let live_since = upstream.live_since(&row.model, &row.version)?;
                Some(Candidate {
                    upstream,
                    live_since,
                })
            })
            .collect()
    };
    let local = without_ejected(usable(fleet.local()));
    match local.is_empty() {
        true => without_ejected(usable(fleet.remote())),
        false => local,
    }
}

/// Removes ejected upstreams, unless all are ejected.
fn without_ejected(all: Vec<Candidate>) -> Vec<Candidate> {
    let healthy: Vec<Candidate> = all
        .iter()
        .filter(|c| !c.upstream.is_ejected())
        .cloned()
        .collect();
    match healthy.is_empty() {
        true => all,
        false => healthy,
    }
}

/// Returns the upstream that the prompt's prefix prefers, if its load is within the bound.
fn preferred_by_prefix(
    free: &[Candidate],
    request: &CallerRequest,
    cfg: &EntryCfg,
) -> Option<Candidate> {
    if request.prefix_hash == 0 || free.len() < 2 {
        return None;
    }
    let best = free
        .iter()
        .max_by_key(|c| rank(&request.prefix_hash.to_le_bytes(), c.upstream.vm()))?;
    let sum: f64 = free.iter().map(|c| c.weighted_load(cfg.slow_start)).sum();
    let bound = sum / free.len() as f64 * cfg.prefix_load as f64 / 100.0;
    (best.weighted_load(cfg.slow_start) <= bound.max(2.0)).then(|| best.clone())
}

/// Returns the next upstream in the order of VM ids.
fn round_robin(mut free: Vec<Candidate>) -> Candidate {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    free.sort_by(|a, b| a.upstream.vm().cmp(b.upstream.vm()));
    let index = NEXT.fetch_add(1, Ordering::Relaxed) % free.len();
    free.swap_remove(index)
}

/// Returns the upstream with the lowest reported load.
fn least_reported(free: &[Candidate]) -> Candidate {
    let lowest = free.iter().min_by_key(|c| c.upstream.reported_load());
    lowest.unwrap_or(&free[0]).clone()
}

fn less_loaded_of_two(free: &[Candidate], cfg: &EntryCfg) -> Candidate {
    let mut rng = rand::rng();
    let a = rng.random_range(0..free.len());
    let b = rng.random_range(0..free.len());
    let less_loaded =
        match free[a].weighted_load(cfg.slow_start) <= free[b].weighted_load(cfg.slow_start) {
            true => a,
            false => b,
        };
    free[less_loaded].clone()
}

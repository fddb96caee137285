//! Workspaces of one priority at a pool that gets more requests than it can serve.
//!
//! Requests hold a slot for a time in proportion to their cost. Each arrives at one of several gateways, which know only
//! the workspaces' requests that they have got themselves.

use std::time::{Duration, Instant};

use base::Workspace;
use decide::fairness::{Shares, cost};
use decide::priority::{Pool, Standing};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

const GATEWAYS: usize = 8;
const SLOTS: u32 = 288;
const WORKSPACES: usize = 24;
/// Cost that a slot serves in a second.
const SLOT_RATE: f64 = 5_000.0;
const SPAN: Duration = Duration::from_secs(40);
const TICK: Duration = Duration::from_millis(1);
/// Time from which on results count: the usage that is known at the start isn't representative.
const WARM_UP: Duration = Duration::from_secs(5);

/// Demand of a workspace: its share of the capacity, and the cost of each request.
type Demand = (f64, f64);

/// Cost of a workspace's requests and of those that were admitted.
#[derive(Debug, Default, Clone, Copy)]
struct Result {
    demand: f64,
    admitted: f64,
}

impl Result {
    fn served(&self) -> f64 {
        self.admitted / self.demand
    }
}

fn simulate(demands: &[Demand], is_fair: bool, seed: u64) -> Vec<Result> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut shares = vec![Shares::default(); GATEWAYS];
    let mut results = vec![Result::default(); demands.len()];
    let mut running: Vec<Duration> = Vec::new();
    let names: Vec<Workspace> = (0..demands.len()).map(|n| format!("w-{n}")).collect();
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let mut now = Duration::ZERO;
    while now < SPAN {
        running.retain(|ends| *ends > now);
        // A fixed order would give the first workspaces the slots that were freed in the tick.
        order.shuffle(&mut rng);
        for &n in &order {
            let (share, cost) = &demands[n];
            let rate = share * f64::from(SLOTS) * SLOT_RATE / cost;
            if rng.random_range(0.0..1.0) >= rate * TICK.as_secs_f64() {
                continue;
            }
            let shares = &mut shares[rng.random_range(0..GATEWAYS)];
            let at = start + now;
            let is_over_share = shares.arrive(&names[n], *cost, at) && is_fair;
            let free = f64::from(SLOTS) - running.len() as f64;
            let pool = Pool {
                slots: f64::from(SLOTS),
                idle: f64::from(SLOTS),
                free,
            };
            let standing = Standing {
                rank: 0,
                is_over_share,
            };
            let is_admitted = free > 0.0 && pool.admits_standing(standing);
            if is_admitted {
                shares.admit(&names[n], *cost, at);
                let spread = rng.random_range(0.5..1.5);
                running.push(now + Duration::from_secs_f64(spread * cost / SLOT_RATE));
            }
            if now >= WARM_UP {
                results[n].demand += cost;
                results[n].admitted += f64::from(u8::from(is_admitted)) * cost;
            }
        }
        now += TICK;
    }
    assert!(shares.iter().all(|shares| shares.len() <= demands.len()));
    println!("fair {is_fair}, seed {seed}: {:?}", served(&results));
    results
}

fn served(results: &[Result]) -> Vec<f64> {
    let rounded = |r: &Result| (r.served() * 1000.0).round() / 1000.0;
    results.iter().map(rounded).collect()
}

/// Returns three large workspaces, of which the first asks for twice as much as the others, and 21 small ones.
fn few_large(total: f64) -> Vec<Demand> {
    let large = [(0.4, 1_200.0), (0.2, 1_200.0), (0.2, 1_200.0)];
    let small = (0..WORKSPACES - large.len()).map(|_| (0.2 / 21.0, 1_200.0));
    let all = large.into_iter().chain(small);
    all.map(|(share, cost)| (share * total, cost)).collect()
}

/// Guards against large workspaces taking the capacity of small ones, as they do without shares.
#[test]
fn small_workspaces_are_served_while_large_ones_exceed_the_capacity() {
    for seed in [1, 2] {
        let demands = few_large(1.7);
        let (unfair, fair) = (
            simulate(&demands, false, seed),
            simulate(&demands, true, seed),
        );

        let mean = |results: &[Result]| {
            let small = results[3..].iter().map(Result::served);
            small.sum::<f64>() / (WORKSPACES - 3) as f64
        };
        assert!(mean(&unfair) < 0.7, "{unfair:?}");
        assert!(mean(&fair) > 0.85, "{fair:?}");
        // The largest gets as much as the others in total, so half as much of its demand.
        let ratio = fair[0].admitted / fair[1].admitted;
        assert!((0.8..1.6).contains(&ratio), "{ratio}: {fair:?}");
        let total = |results: &[Result]| results.iter().map(|r| r.admitted).sum::<f64>();
        assert!(total(&fair) > 0.97 * total(&unfair), "capacity is unused");
    }
}

/// Guards against shares by number of requests, which favour a workspace with long prompts, and against starvation.
#[test]
fn shares_are_equal_in_cost_and_no_workspace_gets_less_than_a_quarter_of_the_mean() {
    for seed in [1, 2] {
        let demands: Vec<Demand> = (0..WORKSPACES)
            .map(|n| (1.5 / WORKSPACES as f64, [400.0, 800.0, 3_200.0][n % 3]))
            .collect();
        let results = simulate(&demands, true, seed);

        let total: f64 = results.iter().map(|r| r.admitted).sum();
        let mean = total / WORKSPACES as f64;
        assert!(
            results.iter().all(|r| r.admitted > 0.25 * mean),
            "{results:?}"
        );
        let of_cost = |kind: usize| {
            let admitted = results.iter().skip(kind).step_by(3).map(|r| r.admitted);
            admitted.sum::<f64>() / (total / 3.0)
        };
        let costs = [0, 1, 2].map(of_cost);
        assert!(costs.iter().all(|c| (0.85..1.15).contains(c)), "{costs:?}");
    }
}

/// Guards against limits on a large workspace while there is capacity.
#[test]
fn no_workspace_is_refused_below_capacity() {
    for seed in [1, 2] {
        let results = simulate(&few_large(0.7), true, seed);

        assert!(
            results.iter().all(|r| r.served() == 1.0),
            "{:?}",
            served(&results)
        );
    }
}

/// Guards against unbounded memory, and against a share that outlasts the demand of others.
#[test]
fn workspaces_without_requests_are_forgotten() {
    let (start, [a, b]) = (Instant::now(), ["a", "b"].map(str::to_owned));
    let mut shares = Shares::default();
    shares.arrive(&a, 1_000.0, start);
    shares.admit(&a, 1_000.0, start);
    shares.arrive(&b, 2_000.0, start);
    let is_over = shares.arrive(&a, 10.0, start);
    assert!(is_over, "of the 1,000 admitted, each may have 500");

    shares.arrive(&b, 10.0, start + Duration::from_secs(120));

    assert_eq!(shares.len(), 1);
}

#[test]
fn cost_counts_generated_tokens_more_than_prompt_tokens() {
    assert!(cost(0, 100) > cost(1_000, 0));
    assert_eq!(cost(100, 0), 100.0);
}

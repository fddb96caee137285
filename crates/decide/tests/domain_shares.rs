//! Plans of gateways for callers that are spread unevenly over failure domains.
//!
//! The simulated domains get random requests, which occupy a slot for a random time. Each gateway updates
//! its plan from sums of demand that are 130 to 300 ms old, unless stated otherwise, and draws a domain for each request.

use std::time::{Duration, Instant};

use base::Map;
use decide::domain_shares::{
    DomainState, LinkBound, Plan, Share, UPDATE_INTERVAL, domain_shares, target,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const NAMES: [&str; 3] = ["belem", "natal", "recife"];
/// Shares of callers.
const CALLERS: [f64; 3] = [0.36, 0.38, 0.26];
/// Requests per second of all domains.
const RATE: f64 = 530.0;
/// Mean seconds in a slot; single requests vary by a factor of three.
const MEAN_SECONDS: f64 = 1.3;
/// Slots of each domain: 76 engines of 12 slots in all.
const CAPACITY: f64 = 304.0;
/// Bytes per second that a slot in use causes.
const SLOT_BYTES: f64 = 5_000.0;
const GATEWAYS: usize = 2;

fn domain(i: usize, demand: f64, capacity: f64) -> DomainState {
    DomainState {
        name: NAMES[i].to_owned(),
        region: Some(NAMES[i].to_owned()),
        demand,
        barred: Map::default(),
        bytes: demand * SLOT_BYTES,
        capacity,
    }
}

fn kiosks() -> Vec<DomainState> {
    let demand = |i: usize| CALLERS[i] * RATE * MEAN_SECONDS;
    (0..3).map(|i| domain(i, demand(i), CAPACITY)).collect()
}

/// Returns the load of each domain, in slots, if requests run by `shares`.
fn loads(domains: &[DomainState], shares: &[Share]) -> Vec<f64> {
    let movable = |from: &DomainState, to: &str| {
        from.demand - from.barred.get(to).copied().unwrap_or_default()
    };
    let flow = |s: &Share| {
        let from = domains.iter().find(|d| d.name == s.from).expect("a sender");
        s.share * movable(from, &s.to)
    };
    let load = |d: &DomainState| {
        let out: f64 = shares.iter().filter(|s| s.from == d.name).map(flow).sum();
        let into: f64 = shares.iter().filter(|s| s.to == d.name).map(flow).sum();
        d.demand - out + into
    };
    domains.iter().map(load).collect()
}

/// Returns the difference between the highest and lowest utilization.
fn spread(domains: &[DomainState], loads: &[f64]) -> f64 {
    let used = domains.iter().zip(loads).filter(|(d, _)| d.capacity > 0.0);
    let (min, max) = used.fold((f64::INFINITY, 0.0_f64), |(min, max), (d, load)| {
        (min.min(load / d.capacity), max.max(load / d.capacity))
    });
    max - min
}

/// Conditions at one moment of a simulation.
#[derive(Debug, Clone, Copy)]
struct Conditions {
    /// Factor of each domain's callers.
    callers: [f64; 3],
    drained: Option<usize>,
    partitioned: Option<usize>,
    /// Age of the oldest sums, in update intervals; the newest are one interval old.
    max_age: usize,
}

const NORMAL: Conditions = Conditions {
    callers: [1.0; 3],
    drained: None,
    partitioned: None,
    max_age: 2,
};

/// State after each update interval.
#[derive(Debug, Clone)]
struct Sample {
    at: f64,
    /// Slots in use in each domain.
    in_use: [f64; 3],
    /// Shares of one gateway of each domain, by sender and receiver.
    shares: [[f64; 3]; 3],
    /// Largest difference between the plans of the gateways that reach each other.
    disagreement: f64,
}

/// Distribution of arrivals.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Arrivals {
    /// At random times, of random lengths.
    Random,
    /// At equal intervals, of equal lengths.
    Regular,
}

fn simulate(seconds: f64, link: LinkBound, at: impl Fn(f64) -> Conditions) -> Vec<Sample> {
    simulate_arrivals(Arrivals::Random, seconds, link, at)
}

/// Returns the seed of a simulation: `SEED` of the environment, or 7.
fn seed() -> u64 {
    let set = std::env::var("SEED").ok();
    set.and_then(|s| s.parse().ok()).unwrap_or(7)
}

/// Runs a simulation for `seconds`.
fn simulate_arrivals(
    arrivals: Arrivals,
    seconds: f64,
    link: LinkBound,
    at: impl Fn(f64) -> Conditions,
) -> Vec<Sample> {
    println!("seed {}", seed());
    let mut rng = StdRng::seed_from_u64(seed());
    let mut due = [0.0; 3];
    let start = Instant::now();
    let step = UPDATE_INTERVAL.as_secs_f64();
    let mut plans = vec![vec![Plan::default(); GATEWAYS]; 3];
    // Arrivals of each interval, in slot-seconds.
    let mut history: Vec<[f64; 3]> = Vec::new();
    // Ends of running requests.
    let mut running: [Vec<f64>; 3] = Default::default();
    let mut samples = Vec::new();
    for n in 0..(seconds / step) as usize {
        let now = n as f64 * step;
        let conditions = at(now);
        let is_reachable = |a: usize, b: usize| {
            a == b || (conditions.partitioned != Some(a) && conditions.partitioned != Some(b))
        };
        let mut arrived = [0.0; 3];
        for from in 0..3 {
            let mean = CALLERS[from] * RATE * conditions.callers[from] * step;
            due[from] += mean;
            let n = match arrivals {
                Arrivals::Random => poisson(mean, &mut rng),
                Arrivals::Regular => due[from] as u32,
            };
            due[from] = due[from].fract();
            for _ in 0..n {
                let length = match arrivals {
                    Arrivals::Random => MEAN_SECONDS * rng.random_range(0.5..1.5),
                    Arrivals::Regular => MEAN_SECONDS,
                };
                arrived[from] += length;
                let plan = &plans[from][rng.random_range(0..GATEWAYS)];
                let shares: Vec<(String, f64)> = NAMES
                    .map(|to| (to.to_owned(), plan.share(NAMES[from], to)))
                    .into();
                let draw = rng.random_range(0.0..1.0);
                let to = target(&shares, draw, |_| true);
                let to = to.and_then(|to| NAMES.iter().position(|n| n == to));
                running[to.unwrap_or(from)].push(now + length);
            }
        }
        history.push(arrived);
        for domain in &mut running {
            domain.retain(|end| *end > now);
        }
        for (own, plans) in plans.iter_mut().enumerate() {
            for plan in plans {
                let known: Vec<DomainState> = (0..3)
                    .filter(|&i| is_reachable(own, i))
                    .map(|i| {
                        let age = rng.random_range(1..=conditions.max_age);
                        let capacity = match conditions.drained == Some(i) {
                            true => 0.0,
                            false => CAPACITY,
                        };
                        domain(i, demand(&history, i, age), capacity)
                    })
                    .collect();
                plan.update(&known, link, start + Duration::from_secs_f64(now));
            }
        }
        let shares =
            [0, 1, 2].map(|from| [0, 1, 2].map(|to| plans[from][0].share(NAMES[from], NAMES[to])));
        let disagreement = (0..3)
            .flat_map(|a| (0..3).map(move |b| (a, b)))
            .filter(|&(a, b)| is_reachable(a, b))
            .map(|(a, b)| plans[a][0].difference(&plans[b][1]))
            .fold(0.0, f64::max);
        samples.push(Sample {
            at: now,
            in_use: [0, 1, 2].map(|i| running[i].len() as f64),
            shares,
            disagreement,
        });
    }
    samples
}

/// Returns the demand that was observed over a second, `age` intervals ago.
fn demand(history: &[[f64; 3]], domain: usize, age: usize) -> f64 {
    let end = history.len().saturating_sub(age);
    let window = &history[end.saturating_sub(8)..end];
    let seconds = window.len().max(1) as f64 * UPDATE_INTERVAL.as_secs_f64();
    window.iter().map(|arrived| arrived[domain]).sum::<f64>() / seconds
}

fn poisson(mean: f64, rng: &mut StdRng) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random_range(0.0..1.0);
    let mut n = 0;
    while product > limit {
        product *= rng.random_range(0.0..1.0);
        n += 1;
    }
    n
}

/// Returns the mean utilization of each domain in a period.
fn utilization(samples: &[Sample], from: f64, to: f64) -> [f64; 3] {
    let period: Vec<&Sample> = samples
        .iter()
        .filter(|s| s.at >= from && s.at < to)
        .collect();
    [0, 1, 2].map(|i| {
        let sum: f64 = period.iter().map(|s| s.in_use[i]).sum();
        sum / period.len() as f64 / CAPACITY
    })
}

/// Returns the largest number of reversals of a share in a period; movements below `min` don't count.
fn reversals(samples: &[Sample], min: f64, from: f64, to: f64) -> usize {
    let period: Vec<&Sample> = samples
        .iter()
        .filter(|s| s.at >= from && s.at < to)
        .collect();
    let of_pair = |from: usize, to: usize| {
        let (mut low, mut high) = (period[0].shares[from][to], period[0].shares[from][to]);
        let (mut direction, mut n) = (0, 0);
        for share in period.iter().map(|s| s.shares[from][to]) {
            (low, high) = (low.min(share), high.max(share));
            let turned = match direction {
                _ if share - low > min && direction != 1 => 1,
                _ if high - share > min && direction != -1 => -1,
                _ => continue,
            };
            n += usize::from(direction != 0);
            direction = turned;
            (low, high) = (share, share);
        }
        n
    };
    let pairs = (0..3).flat_map(|from| (0..3).map(move |to| (from, to)));
    pairs.map(|(from, to)| of_pair(from, to)).max().unwrap_or(0)
}

fn assert_even(used: &[f64]) {
    let max = used.iter().copied().fold(0.0, f64::max);
    let min = used.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(max - min <= 0.05, "{used:?}");
}

#[test]
fn uneven_callers_use_domains_evenly() {
    let samples = simulate(40.0, LinkBound::Unknown, |_| NORMAL);

    assert_even(&utilization(&samples, 5.0, 40.0));
    // Guards against a plan that follows each fluctuation of random arrivals.
    assert!(reversals(&samples, 0.1, 5.0, 40.0) <= 1);
    let disagreement = samples.iter().map(|s| s.disagreement).fold(0.0, f64::max);
    assert!(disagreement <= 0.15, "{disagreement}");
}

#[test]
fn even_callers_have_no_plan() {
    // Guards against a change of deployments whose demand is even.
    let even: Vec<DomainState> = (0..3)
        .map(|i| domain(i, 200.0 + 20.0 * i as f64, CAPACITY))
        .collect();
    let mut plan = Plan::default();

    plan.update(&even, LinkBound::Unknown, Instant::now());

    assert_eq!(domain_shares(&even, LinkBound::Unknown), []);
    assert_eq!(plan.shares(), []);
}

#[test]
fn quiet_domains_have_no_plan() {
    let quiet = [domain(0, 80.0, CAPACITY), domain(1, 10.0, CAPACITY)];

    assert_eq!(domain_shares(&quiet, LinkBound::Unknown), []);
}

#[test]
fn drained_domain_sends_all_its_demand_and_receives_none() {
    let conditions = |at: f64| Conditions {
        drained: (at >= 10.0).then_some(0),
        ..NORMAL
    };

    let samples = simulate(40.0, LinkBound::Unknown, conditions);

    let last = samples.last().expect("a sample");
    let leaving: f64 = last.shares[0].iter().sum();
    assert!(leaving > 0.95, "{:?}", last.shares);
    let drained = samples.iter().filter(|s| s.at >= 10.0);
    for sample in drained {
        assert_eq!([sample.shares[1][0], sample.shares[2][0]], [0.0; 2]);
    }
    let [_, natal, recife] = utilization(&samples, 16.0, 40.0);
    assert_even(&[natal, recife]);
}

#[test]
fn partitioned_domain_takes_no_part_in_plans_of_others() {
    let conditions = |at: f64| Conditions {
        partitioned: (10.0..16.0).contains(&at).then_some(2),
        ..NORMAL
    };

    let samples = simulate(50.0, LinkBound::Unknown, conditions);

    for sample in samples.iter().filter(|s| (10.0..16.0).contains(&s.at)) {
        let [belem, natal, recife] = sample.shares;
        assert_eq!([belem[2], natal[2]], [0.0; 2], "at {}", sample.at);
        assert_eq!(recife, [0.0; 3], "at {}", sample.at);
    }
    assert_even(&utilization(&samples, 21.0, 50.0));
}

/// Demand of 1.7 times the normal one in one domain from 10 s on.
fn step(at: f64) -> Conditions {
    Conditions {
        callers: [1.0, if at >= 10.0 { 1.7 } else { 1.0 }, 1.0],
        ..NORMAL
    }
}

#[test]
fn step_in_demand_is_followed_without_oscillation() {
    let samples = simulate_arrivals(Arrivals::Regular, 30.0, LinkBound::Unknown, step);

    // Guards against plans that react to their own effect, or overshoot because sums are old.
    assert_eq!(reversals(&samples, 0.01, 10.0, 30.0), 0);
    let at = |at: f64| samples.iter().find(|s| s.at >= at).expect("a sample");
    let leaving = |s: &Sample| s.shares[1].iter().sum::<f64>();
    let (before, soon, last) = (leaving(at(9.5)), leaving(at(13.0)), leaving(at(29.5)));
    assert!(
        soon - before > 0.7 * (last - before),
        "{before} {soon} {last}"
    );
}

#[test]
fn step_is_followed_without_oscillation_by_sums_up_to_a_second_old() {
    // Sums are as old as that in large failure domains.
    let conditions = |at: f64| Conditions {
        max_age: 8,
        ..step(at)
    };

    let samples = simulate_arrivals(Arrivals::Regular, 30.0, LinkBound::Unknown, conditions);

    assert_eq!(reversals(&samples, 0.05, 10.0, 30.0), 0);
    assert_even(&utilization(&samples, 18.0, 30.0));
}

#[test]
fn random_arrivals_after_a_step_use_domains_evenly() {
    let samples = simulate(40.0, LinkBound::Unknown, step);

    assert_even(&utilization(&samples, 16.0, 40.0));
    assert!(reversals(&samples, 0.1, 10.0, 40.0) <= 1);
}

#[test]
fn gateway_that_starts_late_converges_to_the_plan_of_others() {
    let start = Instant::now();
    let (mut first, mut late) = (Plan::default(), Plan::default());
    for n in 0..60 {
        let now = start + UPDATE_INTERVAL * n;
        first.update(&kiosks(), LinkBound::Unknown, now);
        if n >= 20 {
            late.update(&kiosks(), LinkBound::Unknown, now);
        }
    }

    assert!(!first.shares().is_empty());
    assert!(first.difference(&late) < 0.02, "{first:?} {late:?}");
}

#[test]
fn bytes_between_regions_are_bounded() {
    let max = 60_000.0;

    let samples = simulate(20.0, LinkBound::Bytes(max), step);

    let demand = |i: usize, at: f64| CALLERS[i] * RATE * MEAN_SECONDS * step(at).callers[i];
    // Plans start from the demand of a single interval, which fluctuates by a quarter.
    let is_settled = |at: f64| (3.0..10.0).contains(&at) || at > 13.0;
    let settled = samples.iter().filter(|s| is_settled(s.at));
    for sample in settled {
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let flow = sample.shares[a][b] * demand(a, sample.at)
                + sample.shares[b][a] * demand(b, sample.at);
            // Observed demand fluctuates by some 10% about its mean.
            assert!(flow * SLOT_BYTES <= max * 1.15, "{sample:?}");
        }
    }
    assert!(samples.iter().any(|s| s.shares[1][2] > 0.0));
}

#[test]
fn target_holds_the_link_bound_exactly() {
    for max in [0.0, 30_000.0, 150_000.0, 1e9] {
        let domains = kiosks();

        let shares = domain_shares(&domains, LinkBound::Bytes(max));

        let flow = |s: &Share| {
            let from = domains.iter().find(|d| d.name == s.from).expect("a sender");
            s.share * from.bytes
        };
        assert!(shares.iter().all(|s| flow(s) <= max), "{shares:?}");
    }
}

#[test]
fn requests_run_only_in_allowed_domains() {
    let mut domains = kiosks();
    let (all, most) = (domains[0].demand, domains[1].demand * 0.9);
    domains[0].barred.insert(NAMES[2].to_owned(), all);
    domains[1].barred.insert(NAMES[2].to_owned(), most);

    let shares = domain_shares(&domains, LinkBound::Unknown);

    assert!(
        shares
            .iter()
            .all(|s| s.from != NAMES[0] || s.to != NAMES[2]),
        "{shares:?}"
    );
    let moved = loads(&domains, &shares)[2] - domains[2].demand;
    assert!(moved <= domains[1].demand * 0.1 + 1e-6, "{moved}");
    let recife = [(NAMES[2].to_owned(), 1.0)];
    assert_eq!(target(&recife, 0.5, |_| false), None);
}

#[test]
fn at_most_half_of_a_domain_leaves_over_links_of_unknown_rate() {
    let domains = [domain(0, 600.0, CAPACITY), domain(1, 1.0, 4.0 * CAPACITY)];

    let shares = domain_shares(&domains, LinkBound::Unknown);

    let [share] = &shares[..] else {
        panic!("{shares:?}");
    };
    assert!((0.49..=0.5).contains(&share.share), "{share:?}");
}

proptest! {
    #![proptest_config(cases::cases(512))]

    #[test]
    fn shares_are_valid_and_only_surplus_domains_send(
        demand in proptest::array::uniform3(0.0..1000.0_f64),
        capacity in proptest::array::uniform3(prop_oneof![Just(0.0), 1.0..600.0_f64]),
        barred in proptest::array::uniform3(prop_oneof![Just(0.0), 0.0..1.0_f64]),
        bytes in prop_oneof![Just(None), (0.0..1e6_f64).prop_map(Some)],
    ) {
        let mut domains: Vec<DomainState> = (0..3).map(|i| domain(i, demand[i], capacity[i])).collect();
        for i in 0..3 {
            let part = demand[i] * barred[i];
            domains[i].barred.insert(NAMES[(i + 1) % 3].to_owned(), part);
        }
        let link = bytes.map_or(LinkBound::Unknown, LinkBound::Bytes);
        let mean = demand.iter().sum::<f64>() / capacity.iter().sum::<f64>();

        let shares = domain_shares(&domains, link);
        let reversed: Vec<DomainState> = domains.iter().rev().cloned().collect();

        prop_assert_eq!(&shares, &domain_shares(&reversed, link), "depends on the order");
        for i in 0..3 {
            let sent: Vec<&Share> = shares.iter().filter(|s| s.from == NAMES[i]).collect();
            let sum: f64 = sent.iter().map(|s| s.share).sum();
            prop_assert!(sent.iter().all(|s| (0.0..=1.0).contains(&s.share)));
            prop_assert!(sum <= 1.0 + 1e-9, "{}", sum);
            prop_assert!(sent.is_empty() || demand[i] > mean * capacity[i]);
            let receives = shares.iter().any(|s| s.to == NAMES[i]);
            prop_assert!(!receives || (capacity[i] > 0.0 && sent.is_empty()));
        }
        let before = loads(&domains, &[]);
        prop_assert!(spread(&domains, &loads(&domains, &shares)) <= spread(&domains, &before) + 0.01
            || capacity.contains(&0.0));
    }
}

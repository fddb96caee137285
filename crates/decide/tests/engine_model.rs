//! Callers of engines of varying speed: late ones with and without knowledge of the pace.
//!
//! The simulated engines work in iterations. The gateways know the loads of others and the paces as they
//! were a while ago.

use std::collections::VecDeque;
use std::time::Duration;

use catalog::{Engine, Iteration};
use decide::DeadlineClass;
use decide::contention::{draw_period, should_try};
use decide::engine_model::{EngineModel, EngineRequirements, Fit, PacedRequirements};
use decide::load_balancing::{Candidate, Requirements};
use decide::queue::max_wait;
use decide::retry_after::{Reason, jittered_delay};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENGINES: usize = 15;
const SLOTS: u32 = 12;
const GATEWAYS: usize = 9;
/// Fraction of the callers of each failure domain, if there are three.
const SHARES: [f64; 3] = [0.36, 0.38, 0.26];
const GAP: f64 = 0.4;
const SLOW: f64 = 2.5;
/// Requests a second that the engines serve with all slots in use.
const CAPACITY: f64 = 7.1 * ENGINES as f64;
/// Prompt tokens, events, objective in ms, and fraction of the callers.
const ROUTES: [(f64, f64, u64, f64); 3] = [
    (1330.0, 21.0, 500, 0.41),
    (827.0, 21.0, 400, 0.30),
    (647.0, 14.0, 400, 0.29),
];
/// Age of a pace that arrives, in ms.
const DELAY: usize = 5;
/// Age of a pace whose updates are lost until it has changed again, in ms.
const STALE: usize = 600;
const SEEDS: u64 = 6;

const MODEL: EngineModel = EngineModel {
    iteration: 5.0 * 9.27e-3,
    per_request: 5.0 * 0.0232e-3,
    prompt_rate: 20_700.0,
    per_pair: 0.0,
    iteration_tokens: f64::INFINITY,
};

#[derive(Debug, Clone, Copy, PartialEq)]
enum Pace {
    Unknown,
    /// Known as it was some ms ago, beside up to 50 ms until the next poll.
    Known(usize),
}

/// Request of a caller; times in ms.
#[derive(Debug, Clone)]
struct Request {
    prompt: u64,
    events: u32,
    objective: u64,
    first: u64,
    arrived: u64,
    is_retry: bool,
    gateway: usize,
    /// Time of the last event, once there was one.
    last_event: Option<u64>,
    /// Whether the first event came late.
    is_first_late: bool,
    /// Whether it paused for too long.
    has_paused: bool,
}

#[derive(Debug, Default)]
struct SimulatedEngine {
    pending: Vec<Request>,
    running: Vec<Request>,
    /// Work left of the current iteration, in ms at pace 1.
    work: f64,
    /// Prompts of the current iteration.
    prefilling: usize,
    slow_until: u64,
    is_slow: bool,
    pace_history: VecDeque<f64>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Results {
    callers: u32,
    in_time: u32,
    late_first: u32,
    late_pause: u32,
    refused: u32,
    /// Requests sent to another failure domain.
    far: u32,
}

impl Results {
    fn late(&self) -> f64 {
        f64::from(self.late_first + self.late_pause) / f64::from(self.served())
    }

    fn served(&self) -> u32 {
        self.in_time + self.late_first + self.late_pause
    }
}

impl SimulatedEngine {
    fn pace(&self) -> f64 {
        match self.is_slow {
            true => SLOW,
            false => 1.0,
        }
    }

    /// Returns the pace that gateways know; `phase` is that of its polls.
    fn known_pace(&self, knows: Pace, phase: usize) -> f64 {
        let age = match knows {
            Pace::Unknown => return 1.0,
            Pace::Known(age) => age + phase % 50,
        };
        self.pace_history.get(age).copied().unwrap_or(1.0)
    }

    /// Works for a millisecond; returns the completed requests.
    fn step(&mut self, now: u64, rng: &mut StdRng) -> Vec<Request> {
        if now >= self.slow_until {
            self.is_slow = rng.random_range(0.0..1.0) < 0.15;
            self.slow_until = now + 600;
        }
        self.pace_history.push_front(self.pace());
        self.pace_history.truncate(700);
        self.work -= 1.0 / self.pace();
        if self.work > 0.0 {
            return Vec::new();
        }
        let read: Vec<Request> = self.pending.drain(..self.prefilling).collect();
        self.running.extend(read);
        for r in &mut self.running {
            match r.last_event {
                None => r.is_first_late = now - r.first > r.objective,
                Some(last) => r.has_paused |= (now - last) as f64 > GAP * 1e3,
            }
            r.last_event = Some(now);
            r.events -= 1;
        }
        let ended = self.running.extract_if(.., |r| r.events == 0).collect();
        let free = SLOTS as usize - self.running.len();
        self.prefilling = self.pending.len().min(free);
        let tokens: u64 = self.pending[..self.prefilling]
            .iter()
            .map(|r| r.prompt)
            .sum();
        let running = self.running.len() + self.prefilling;
        self.work = match running {
            0 => 0.0,
            _ => 1e3 * MODEL.pause(1.0, running as u32, tokens, 0),
        };
        ended
    }
}

/// Requests and unread prompt tokens of each gateway at each engine.
type Loads = [[(u32, u64); GATEWAYS]; ENGINES];

fn loads(engines: &[SimulatedEngine]) -> Loads {
    let mut loads = Loads::default();
    for (engine, load) in engines.iter().zip(&mut loads) {
        for r in &engine.running {
            load[r.gateway].0 += 1;
        }
        for r in &engine.pending {
            load[r.gateway].0 += 1;
            load[r.gateway].1 += r.prompt;
        }
    }
    loads
}

/// Returns whether two of the engines and gateways, which belong to the failure domains in turn, are of different ones.
fn is_far(domains: usize, a: usize, b: usize) -> bool {
    a % domains != b % domains
}

/// Returns the age of what a gateway knows of the loads of another one, in ms.
fn view_age(domains: usize, own: usize, other: usize) -> usize {
    match domains {
        1 => 25 + 105 * own / (GATEWAYS - 1),
        _ if is_far(domains, own, other) => 130,
        _ => 25,
    }
}

/// Returns the state of an engine in the view of a gateway; `history` has the loads of each ms, the latest first.
fn candidate(domains: usize, engine: usize, history: &VecDeque<Loads>, own: usize) -> Candidate {
    let known = |g: usize| match g == own {
        true => history[0][engine][g],
        false => history[view_age(domains, own, g)][engine][g],
    };
    let sum = |(r, u): (u32, u64), g| (r + known(g).0, u + known(g).1);
    let (requests, unread) = (0..GATEWAYS).fold((0, 0), sum);
    Candidate {
        slots: SLOTS,
        requests,
        unread,
        own_unread: known(own).1,
        is_far: is_far(domains, engine, own),
        leaves_in: None,
    }
}

fn requirements(request: &Request, now: u64, knows: Pace) -> EngineRequirements {
    let remaining = (request.first + request.objective).saturating_sub(now);
    let deadline_class = match remaining {
        0 => DeadlineClass::Late,
        _ => DeadlineClass::OnTime,
    };
    let paced = PacedRequirements {
        base: Requirements {
            deadline_class,
            objective: Duration::from_millis(request.objective),
            prompt_rate: Some(MODEL.prompt_rate),
            expected_tokens: 120,
            is_only_gateway: false,
        },
        model: MODEL,
        prompt: request.prompt,
        remaining: Duration::from_millis(remaining),
        gap_objective: Some(Duration::from_secs_f64(GAP)),
        worst_pace: SLOW,
    };
    match knows {
        Pace::Unknown => EngineRequirements::Even(paced.base),
        Pace::Known(_) => EngineRequirements::Uneven(paced),
    }
}

/// Returns the gateway of a request; those of three failure domains take turns.
fn gateway(rng: &mut StdRng) -> usize {
    let mut draw = rng.random_range(0.0..1.0);
    let domain = SHARES.iter().position(|share| {
        draw -= share;
        draw < 0.0
    });
    let row = rng.random_range(0..GATEWAYS / SHARES.len());
    domain.unwrap_or(0) + SHARES.len() * row
}

fn new_request(now: u64, rng: &mut StdRng) -> Request {
    let mut draw = rng.random_range(0.0..1.0);
    let route = ROUTES.iter().find(|r| {
        draw -= r.3;
        draw < 0.0
    });
    let (prompt, events, objective, _) = *route.unwrap_or(&ROUTES[0]);
    // Lengths vary by a factor of three.
    let mut vary = |mean: f64| mean * 3_f64.powf(rng.random_range(-0.5..0.5));
    Request {
        prompt: vary(prompt) as u64,
        events: (vary(events) as u32).max(1),
        objective,
        first: now,
        arrived: now,
        is_retry: false,
        gateway: gateway(rng),
        last_event: None,
        is_first_late: false,
        has_paused: false,
    }
}

/// Simulates some seconds with a fraction of the capacity as load.
fn simulate(load: f64, domains: usize, seconds: u64, seed: u64, knows: Pace) -> Results {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = StdRng::seed_from_u64(seed + 1000);
    let mut paces = StdRng::seed_from_u64(seed + 2000);
    let mut engines: Vec<SimulatedEngine> =
        (0..ENGINES).map(|_| SimulatedEngine::default()).collect();
    for e in &mut engines {
        e.slow_until = paces.random_range(0..600);
    }
    let mut history: VecDeque<Loads> = VecDeque::from(vec![Loads::default(); 131]);
    let mut draws = [[0.0; GATEWAYS]; ENGINES];
    let (mut queued, mut retrying): (Vec<(Request, bool)>, Vec<Request>) = Default::default();
    let mut results = Results::default();
    for now in 0..(seconds + 6) * 1000 {
        if now < seconds * 1000 && arrivals.random_range(0.0..1.0) < load * CAPACITY / 1e3 {
            results.callers += 1;
            queued.push((new_request(now, &mut arrivals), false));
        }
        queued.extend(
            retrying
                .extract_if(.., |r| r.arrived <= now)
                .map(|r| (r, false)),
        );
        for (e, g) in (0..ENGINES).flat_map(|e| (0..GATEWAYS).map(move |g| (e, g))) {
            let period = draw_period(is_far(domains, e, g)).as_millis() as u64;
            if now % period == 0 {
                draws[e][g] = rng.random_range(0.0..1.0);
            }
        }
        for (mut request, has_waited) in std::mem::take(&mut queued) {
            let g = request.gateway;
            history[0] = loads(&engines);
            let requirements = requirements(&request, now, knows);
            let offers = (0..ENGINES).filter_map(|e| {
                let candidate = candidate(domains, e, &history, g);
                let pace = engines[e].known_pace(knows, now as usize + 7 * e);
                let free = requirements.free_capacity(&candidate, pace);
                let (is_far, gateways) = match candidate.is_far {
                    true => (true, GATEWAYS),
                    false => (false, GATEWAYS / domains),
                };
                let tries = should_try(free, gateways, is_far, has_waited, draws[e][g]);
                let cost = requirements.cost(&candidate, pace).filter(|_| tries)?;
                Some((cost + rng.random_range(0.0..requirements.jitter()), e))
            });
            let chosen = offers.min_by(|(a, _), (b, _)| a.total_cmp(b));
            let max_wait = max_wait(Duration::from_millis(request.objective)).as_millis() as u64;
            match chosen {
                Some((_, e)) => {
                    results.far += u32::from(is_far(domains, e, g));
                    engines[e].pending.push(request);
                }
                None if now < request.arrived + max_wait => queued.push((request, true)),
                None if request.is_retry => results.refused += 1,
                None => {
                    let delay = jittered_delay(Reason::Busy, rng.random_range(0.0..1.0));
                    request.arrived = now + delay.as_millis() as u64;
                    request.is_retry = true;
                    request.gateway = (g + 1) % GATEWAYS;
                    retrying.push(request);
                }
            }
        }
        for ended in engines.iter_mut().flat_map(|e| e.step(now, &mut paces)) {
            match ended {
                r if r.is_first_late => results.late_first += 1,
                r if r.has_paused => results.late_pause += 1,
                _ => results.in_time += 1,
            }
        }
        history.push_front(loads(&engines));
        history.pop_back();
    }
    results
}

/// Sums the results over some seeds and prints them.
fn sum(load: f64, domains: usize, knows: Pace) -> Results {
    let results = (1..=SEEDS).map(|seed| simulate(load, domains, 30, seed, knows));
    let sum = results.fold(Results::default(), |sum, r| Results {
        callers: sum.callers + r.callers,
        in_time: sum.in_time + r.in_time,
        late_first: sum.late_first + r.late_first,
        late_pause: sum.late_pause + r.late_pause,
        refused: sum.refused + r.refused,
        far: sum.far + r.far,
    });
    println!(
        "load {load}, domains {domains}, pace {knows:?}, seeds 1 to {SEEDS}: late {:.4}, {sum:?}",
        sum.late()
    );
    sum
}

/// Guards against prompts at engines that are in a slow period, or at several of one engine when it begins.
#[test]
fn known_pace_leaves_few_callers_late_and_serves_no_fewer() {
    for load in [0.6, 0.75] {
        let (before, after) = (
            sum(load, 1, Pace::Unknown),
            sum(load, 1, Pace::Known(DELAY)),
        );

        assert!(after.late() < before.late() / 2.0);
        assert!(load > 0.6 || after.late() <= 0.04);
        assert!(after.served() >= before.served());
    }
}

/// Guards against refusals of requests that would be late anywhere.
#[test]
fn known_pace_serves_as_many_near_full_load() {
    let (before, after) = (sum(0.9, 1, Pace::Unknown), sum(0.9, 1, Pace::Known(DELAY)));

    assert!(after.late() < before.late());
    assert!(f64::from(after.served()) > 0.998 * f64::from(before.served()));
}

/// Guards against requests that leave their failure domain in light load, where an engine elsewhere is always idle.
#[test]
fn known_pace_sends_no_more_requests_to_other_failure_domains() {
    for load in [0.3, 0.6, 0.9] {
        let (before, after) = (
            sum(load, 3, Pace::Unknown),
            sum(load, 3, Pace::Known(DELAY)),
        );

        assert!(after.late() < before.late());
        assert!(f64::from(after.far) <= 1.05 * f64::from(before.far));
        assert!(f64::from(after.served()) > 0.998 * f64::from(before.served()));
    }
}

/// Guards against decisions by paces that no longer hold, which must not be worse than those without any.
#[test]
fn lost_updates_leave_no_more_callers_late_than_unknown_paces() {
    let (before, after) = (sum(0.6, 1, Pace::Unknown), sum(0.6, 1, Pace::Known(STALE)));

    assert!(after.late() <= before.late());
    assert!(after.served() >= before.served());
}

fn candidate_with(requests: u32, unread: u64) -> Candidate {
    Candidate {
        slots: SLOTS,
        requests,
        unread,
        own_unread: 0,
        is_far: false,
        leaves_in: None,
    }
}

fn paced(prompt: u64) -> PacedRequirements {
    let mut request = new_request(0, &mut StdRng::seed_from_u64(1));
    (request.prompt, request.objective) = (prompt, 500);
    match requirements(&request, 0, Pace::Known(DELAY)) {
        EngineRequirements::Uneven(paced) => paced,
        EngineRequirements::Even(_) => panic!("expected paced requirements"),
    }
}

#[test]
fn iteration_takes_longer_by_pace_running_requests_and_prompts() {
    let ms = |seconds: f64| (seconds * 1e3).round();

    assert_eq!(ms(MODEL.decode_time(1.0, 10)), 48.0);
    assert_eq!(ms(MODEL.decode_time(2.5, 10)), 119.0);
    assert_eq!(ms(MODEL.prefill_time(1.0, 0, 1330)), 64.0);
    assert_eq!(ms(MODEL.prefill_time(2.5, 0, 1330)), 161.0);
    assert_eq!(ms(MODEL.pause(2.5, 10, 1330, 1330)), 440.0);
    assert_eq!(ms(MODEL.first_event(1.0, 9, 0, 1330)), 136.0);
}

/// Guards against a configuration without some fields that gives infinite times or none at all.
#[test]
fn model_of_a_configured_engine_does_without_fields_that_are_absent() {
    let engine = |prompt_rate, iteration| Engine {
        models: Vec::new(),
        layers: 1,
        prompt_rate,
        chunk_bytes: 0,
        chunks: 0,
        iteration,
    };
    let kiosks = Iteration {
        stride: Some(5.0),
        step_ms: Some(9.27),
        per_request_ms: Some(0.0232),
        ..Iteration::default()
    };

    let complete = EngineModel::new(&engine(20_700.0, kiosks)).expect("a model");
    let absent = EngineModel::new(&engine(20_700.0, Iteration::default())).expect("a model");

    assert!((complete.pause(2.5, 10, 900, 600) - MODEL.pause(2.5, 10, 900, 600)).abs() < 1e-9);
    assert_eq!(absent.pause(1.0, 10, 0, 2070), 0.1);
    assert!(EngineModel::new(&engine(0.0, kiosks)).is_none());
}

/// Guards against a pause that is overestimated where engines split prompts.
#[test]
fn pause_is_bounded_by_the_prompt_tokens_of_an_iteration() {
    let split = EngineModel {
        iteration_tokens: 500.0,
        ..MODEL
    };

    let (first, later) = (split.pause(1.0, 10, 0, 500), split.pause(1.0, 10, 0, 5000));

    assert!((first - later).abs() < 1e-9);
    assert!(split.first_event(1.0, 10, 0, 5000) > 10.0 * first);
}

/// Guards against prompts that pile up at an engine: a slow period may begin right after they were sent.
#[test]
fn pending_prompts_are_bounded_for_the_worst_pace() {
    let request = paced(600);
    let even = PacedRequirements {
        worst_pace: 1.0,
        ..request
    };
    let engine = candidate_with(8, 600);

    assert_eq!(even.fit(&engine, 1.0), Fit::Suitable);
    assert_ne!(request.fit(&engine, 1.0), Fit::Suitable);
    assert_eq!(request.fit(&candidate_with(8, 0), 1.0), Fit::Suitable);
}

/// Guards against engines without running streams, which no prompt can delay, that are left idle.
#[test]
fn idle_engine_is_limited_by_the_first_event_alone() {
    let (short, long) = (paced(1330), paced(6000));

    assert_eq!(short.fit(&candidate_with(0, 0), 2.5), Fit::Suitable);
    assert_eq!(long.fit(&candidate_with(0, 0), 1.0), Fit::Suitable);
    assert_ne!(long.fit(&candidate_with(0, 0), 2.5), Fit::Suitable);
}

/// Guards against refusals: where no engine is suitable, the one with the smallest total delay is chosen.
#[test]
fn long_prompt_goes_to_a_fast_engine_with_few_streams_and_no_pending_prompt() {
    for (prompt, fit) in [(6000, Fit::Risky), (9000, Fit::Late)] {
        let request = paced(prompt);
        let cost = |requests, unread, pace| {
            let cost = request.cost(&candidate_with(requests, unread), pace);
            cost.expect("free capacity")
        };
        let best = cost(2, 0, 1.0);

        assert_eq!(request.fit(&candidate_with(2, 0), 1.0), fit);
        assert!(best < cost(8, 0, 1.0));
        assert!(best < cost(3, 900, 1.0));
        assert!(best < cost(2, 0, 2.5));
    }
}

/// Guards against an engine where streams would be late that the random part of costs has chosen over another.
#[test]
fn worse_fit_costs_more_whatever_the_load() {
    let request = paced(600);
    let (suitable, risky, late) = (
        (candidate_with(11, 0), 1.0),
        (candidate_with(2, 600), 1.0),
        (candidate_with(2, 1900), 2.5),
    );

    let fits = [suitable, risky, late].map(|(c, pace)| request.fit(&c, pace));
    let costs = [suitable, risky, late].map(|(c, pace)| request.cost(&c, pace));

    assert_eq!(fits, [Fit::Suitable, Fit::Risky, Fit::Late]);
    assert!(costs[0].map(|cost| cost + 100.0) < costs[1]);
    assert!(costs[1].map(|cost| cost + 100.0) < costs[2]);
}

/// Guards against queued requests of many gateways that all try an engine that is slow now.
#[test]
fn slow_engine_has_less_free_capacity_and_costs_more() {
    let request = paced(600);
    let engine = candidate_with(4, 0);

    assert!(request.free_capacity(&engine, 2.5) < request.free_capacity(&engine, 1.0) / 2.0);
    assert!(request.cost(&engine, 2.5) > request.cost(&candidate_with(9, 0), 1.0));
}

/// Guards against an overflow: a caller may state any number of prompt tokens.
#[test]
fn longest_prompt_that_a_caller_can_state_has_the_cost_of_a_late_one() {
    let request = paced(u64::MAX);

    let cost = request.cost(&candidate_with(4, 600), 1.0);

    assert!(cost.is_some_and(|cost| cost.is_finite() && cost > 1e6));
}

/// Guards against a request that crosses failure domains because of the random part of costs.
#[test]
fn unsuitable_engine_of_another_failure_domain_costs_more() {
    let near = candidate_with(8, 900);
    let far = Candidate {
        is_far: true,
        ..near
    };

    let request = paced(6000);

    assert!(request.cost(&far, 1.0) > request.cost(&near, 1.0).map(|cost| cost + 2.0));
}

/// Cost and free capacity before paces were known; a copy of that formula.
fn previous(requirements: &Requirements, candidate: &Candidate) -> (Option<f64>, f64) {
    let rate = requirements.prompt_rate;
    let objective = requirements.objective.as_secs_f64();
    let (requests, unread) = (f64::from(candidate.requests), candidate.unread as f64);
    let reserve = match requirements.deadline_class {
        DeadlineClass::OnTime => 0,
        DeadlineClass::Late => (f64::from(candidate.slots) * 0.125).ceil() as u32,
    };
    let is_full = match rate {
        None => requests >= f64::from(candidate.slots) * 2.0,
        Some(rate) => {
            candidate.requests + reserve >= candidate.slots
                || unread / rate.max(1.0) > objective * 0.25
                || (candidate.own_unread > 0 && !requirements.is_only_gateway)
        }
    };
    let run_time = Duration::from_millis(12) * requirements.expected_tokens as u32;
    let overrun = candidate
        .leaves_in
        .map_or(Duration::ZERO, |left| run_time.saturating_sub(left));
    let far = if candidate.is_far { 2.5 } else { 0.0 };
    let cost = requests + unread / 700.0 + far + 4.0 * overrun.as_secs_f64();
    let slots = candidate.slots.saturating_sub(candidate.requests);
    let free = rate.map_or(f64::INFINITY, |rate| {
        let readable = (rate * objective * 0.25 - unread) / 700.0;
        f64::from(slots).min(readable.max(0.0))
    });
    ((!is_full).then_some(cost), free)
}

proptest! {
    #![proptest_config(cases::cases(2000))]

    /// Guards against other deployments whose load balancing changes.
    #[test]
    fn decisions_without_another_pace_are_bit_identical(
        loads in (1_u32..40, 0_u32..80, 0_u64..6000, 0_u64..2),
        place in (any::<bool>(), proptest::option::of(0_u64..4000)),
        request in (any::<bool>(), 50_u64..3000, proptest::option::of(0.0..90_000.0), 0_u64..600, any::<bool>()),
    ) {
        let candidate = Candidate {
            slots: loads.0,
            requests: loads.1,
            unread: loads.2,
            own_unread: loads.2 * loads.3,
            is_far: place.0,
            leaves_in: place.1.map(Duration::from_millis),
        };
        let requirements = Requirements {
            deadline_class: match request.0 {
                true => DeadlineClass::OnTime,
                false => DeadlineClass::Late,
            },
            objective: Duration::from_millis(request.1),
            prompt_rate: request.2,
            expected_tokens: request.3,
            is_only_gateway: request.4,
        };

        let even = EngineRequirements::Even(requirements);
        let bits = |(cost, free): (Option<f64>, f64)| (cost.map(f64::to_bits), free.to_bits());
        let decided = (even.cost(&candidate, 1.0), even.free_capacity(&candidate, 1.0));

        prop_assert_eq!(bits(decided), bits(previous(&requirements, &candidate)));
        prop_assert_eq!(even.jitter().to_bits(), 0.3_f64.to_bits());
    }
}

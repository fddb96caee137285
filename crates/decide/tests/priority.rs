//! Routes of differing priority at a pool of engines that gets more requests than it can serve.
//!
//! Gateways in three failure domains share engines and know each other's requests only after 25 ms, or 130 ms from
//! another failure domain. The engines work in iterations; callers retry once, after the delay in the refusal.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use decide::DeadlineClass;
use decide::contention::{draw_period, should_try};
use decide::load_balancing::{Candidate, JITTER, Requirements};
use decide::priority::{Pool, Rank, Shortage, Standing, is_promoted, rank, ranks};
use decide::queue::max_wait;
use decide::retry_after::{Reason, jittered_delay};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENGINES: usize = 24;
const GATEWAYS: usize = 12;
const DOMAINS: usize = 3;
const SLOTS: u32 = 12;
const PROMPT_RATE: f64 = 30_600.0;
/// Seconds of an iteration that reads no prompt.
const ITERATION: f64 = 0.049;
/// Iterations with events of one stream.
const EVENT_ITERATIONS: u32 = 3;
/// Requests a second that the engines serve at most.
const CAPACITY: f64 = 480.0;
const PRIORITIES: [u8; 3] = [0, 1, 2];
/// Share of the callers, prompt tokens and objective of each route, by priority.
const ROUTES: [(f64, u64, Duration); 3] = [
    (0.33, 1_330, Duration::from_millis(400)),
    (0.39, 827, Duration::from_millis(400)),
    (0.28, 647, Duration::from_millis(800)),
];
const MIN_SHARE: f64 = 0.25;
const SPAN: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(1);

/// Age of what a gateway knows of its own failure domain and of others, in ticks.
const NEAR_AGE: usize = 25;
const FAR_AGE: usize = 130;

#[derive(Debug, Clone, Copy)]
struct Request {
    route: usize,
    first: Duration,
    arrived: Duration,
    is_retry: bool,
    draw: f64,
}

#[derive(Debug)]
struct Running {
    request: Request,
    gateway: usize,
    iterations: u32,
}

#[derive(Debug, Default)]
struct Engine {
    running: Vec<Running>,
    ends: Duration,
}

/// Counts of one route.
#[derive(Debug, Default, Clone, Copy)]
struct Results {
    callers: f64,
    on_time: f64,
    late: f64,
    refused: f64,
}

impl Results {
    fn on_time(&self) -> f64 {
        self.on_time / self.callers
    }

    fn served(&self) -> f64 {
        (self.on_time + self.late) / self.callers
    }
}

/// Counts by route, for each half second in which callers first asked.
type Report = Vec<[Results; 3]>;

fn half_second(at: Duration) -> usize {
    at.as_millis() as usize / 500
}

fn sum(report: &[[Results; 3]], route: usize) -> Results {
    report.iter().fold(Results::default(), |sum, half| Results {
        callers: sum.callers + half[route].callers,
        on_time: sum.on_time + half[route].on_time,
        late: sum.late + half[route].late,
        refused: sum.refused + half[route].refused,
    })
}

/// Requests and unread tokens of each gateway at each engine.
type Loads = [[(u32, u64); ENGINES]; GATEWAYS];

struct Simulation {
    rng: StdRng,
    start: Instant,
    now: Duration,
    is_pooled: bool,
    engines: Vec<Engine>,
    history: VecDeque<Loads>,
    queues: Vec<Vec<Request>>,
    shortages: Vec<Shortage>,
    report: Report,
}

impl Simulation {
    fn class(&self, request: &Request) -> DeadlineClass {
        match self.now - request.first < ROUTES[request.route].2 {
            true => DeadlineClass::OnTime,
            false => DeadlineClass::Late,
        }
    }

    fn rank(&self, request: &Request) -> Rank {
        let priority = match self.is_pooled && is_promoted(request.draw, MIN_SHARE) {
            true => 0,
            false => PRIORITIES[request.route],
        };
        rank(self.class(request), priority, &PRIORITIES)
    }

    fn objective(&self, request: &Request) -> Duration {
        let routes = match self.is_pooled {
            true => &ROUTES[..=request.route],
            false => &ROUTES[request.route..=request.route],
        };
        routes.iter().map(|r| r.2).min().expect("a route")
    }

    fn candidate(&self, gateway: usize, engine: usize) -> Candidate {
        let domain = |n: usize| n % DOMAINS;
        let age = |peer| match peer {
            _ if peer == gateway => 0,
            _ if domain(peer) == domain(gateway) => NEAR_AGE,
            _ => FAR_AGE,
        };
        let load = |peer| self.history[age(peer).min(self.history.len() - 1)][peer][engine];
        Candidate {
            slots: SLOTS,
            requests: (0..GATEWAYS).map(|peer| load(peer).0).sum(),
            unread: (0..GATEWAYS).map(|peer| load(peer).1).sum(),
            own_unread: load(gateway).1,
            is_far: domain(gateway) != domain(engine),
            leaves_in: None,
        }
    }

    /// Places a request, or returns whether it is refused at once.
    fn place(&mut self, gateway: usize, request: Request) -> Result<(), bool> {
        let class = match self.is_pooled {
            true => DeadlineClass::OnTime,
            false => self.class(&request),
        };
        let requirements = Requirements {
            deadline_class: class,
            objective: self.objective(&request),
            prompt_rate: Some(PROMPT_RATE),
            expected_tokens: 21,
            is_only_gateway: false,
        };
        let (mut pool, mut cheapest) = (Pool::default(), None::<(f64, usize)>);
        for engine in 0..ENGINES {
            let candidate = self.candidate(gateway, engine);
            let free = requirements.free_capacity(&candidate);
            let idle = requirements.free_capacity(&Candidate {
                requests: 0,
                unread: 0,
                ..candidate
            });
            pool.add(SLOTS, idle, free);
            let gateways = match candidate.is_far {
                true => GATEWAYS,
                false => GATEWAYS / DOMAINS,
            };
            let period = self.now.as_millis() / draw_period(candidate.is_far).as_millis();
            let key = (period as u64 * 97 + gateway as u64) * 97 + engine as u64;
            let draw = (key.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as f64 / f64::from(u32::MAX);
            let has_waited = self.now > request.arrived;
            if !should_try(free, gateways, candidate.is_far, has_waited, draw) {
                continue;
            }
            let cost = requirements.cost(&candidate);
            let cost = cost.map(|cost| cost + self.rng.random_range(0.0..JITTER));
            if let Some(cost) = cost.filter(|cost| cheapest.is_none_or(|(min, _)| *cost < min)) {
                cheapest = Some((cost, engine));
            }
        }
        let (rank, now) = (self.rank(&request), self.start + self.now);
        let shortage = &mut self.shortages[gateway];
        shortage.observe(&pool, ranks(&PRIORITIES), now);
        if self.is_pooled && !pool.admits(rank) {
            return Err(shortage.lasts(rank, max_wait(requirements.objective), now));
        }
        let (_, engine) = cheapest.ok_or(false)?;
        self.engines[engine].running.push(Running {
            request,
            gateway,
            iterations: 0,
        });
        let own = &mut self.history[0][gateway][engine];
        *own = (own.0 + 1, own.1 + ROUTES[request.route].1);
        Ok(())
    }

    fn count(&mut self, request: &Request) -> &mut Results {
        &mut self.report[half_second(request.first)][request.route]
    }

    fn step_engine(&mut self, engine: usize) {
        if self.now < self.engines[engine].ends {
            return;
        }
        let mut running = std::mem::take(&mut self.engines[engine].running);
        for r in running.iter_mut().filter(|r| r.iterations > 0) {
            if r.iterations == 1 {
                let is_on_time = self.now - r.request.first <= ROUTES[r.request.route].2;
                match is_on_time {
                    true => self.count(&r.request).on_time += 1.0,
                    false => self.count(&r.request).late += 1.0,
                }
            }
            r.iterations += 1;
        }
        running.retain(|r| r.iterations <= EVENT_ITERATIONS);
        let unread = running.iter_mut().filter(|r| r.iterations == 0);
        let tokens: u64 = unread
            .map(|r| {
                r.iterations = 1;
                ROUTES[r.request.route].1
            })
            .sum();
        let seconds = ITERATION + tokens as f64 / PROMPT_RATE;
        self.engines[engine] = Engine {
            running,
            ends: self.now + Duration::from_secs_f64(seconds),
        };
    }

    fn loads(&self) -> Loads {
        let mut loads = [[(0, 0); ENGINES]; GATEWAYS];
        for (n, engine) in self.engines.iter().enumerate() {
            for r in &engine.running {
                let load = &mut loads[r.gateway][n];
                load.0 += 1;
                // A gateway counts a prompt as unread until it has the first event.
                load.1 += ROUTES[r.request.route].1 * u64::from(r.iterations < 2);
            }
        }
        loads
    }
}

/// Simulates a rate of requests a second, given by time and route.
fn simulate(rate: impl Fn(Duration, usize) -> f64, is_pooled: bool, seed: u64) -> Report {
    let mut sim = Simulation {
        rng: StdRng::seed_from_u64(seed),
        start: Instant::now(),
        now: Duration::ZERO,
        is_pooled,
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        history: VecDeque::from([[[(0, 0); ENGINES]; GATEWAYS]]),
        queues: vec![Vec::new(); GATEWAYS],
        shortages: vec![Shortage::default(); GATEWAYS],
        report: vec![Default::default(); half_second(SPAN)],
    };
    let mut retrying: Vec<Request> = Vec::new();
    while sim.now < SPAN + Duration::from_secs(4) {
        let now = sim.now;
        sim.history.push_front(sim.loads());
        sim.history.truncate(FAR_AGE + 1);
        for route in 0..ROUTES.len() {
            let due = now < SPAN && sim.rng.random_range(0.0..1.0) < rate(now, route) * 1e-3;
            if due {
                let request = Request {
                    route,
                    first: now,
                    arrived: now,
                    is_retry: false,
                    draw: sim.rng.random_range(0.0..1.0),
                };
                sim.count(&request).callers += 1.0;
                let gateway = sim.rng.random_range(0..GATEWAYS);
                sim.queues[gateway].push(request);
            }
        }
        for request in retrying.extract_if(.., |r| r.arrived <= now) {
            let gateway = sim.rng.random_range(0..GATEWAYS);
            sim.queues[gateway].push(request);
        }
        for gateway in 0..GATEWAYS {
            let mut queue = std::mem::take(&mut sim.queues[gateway]);
            queue.sort_by_key(|r| (sim.rank(r), r.arrived));
            for request in queue {
                let deadline = request.arrived + max_wait(sim.objective(&request));
                match sim.place(gateway, request) {
                    Ok(()) => {}
                    Err(false) if now < deadline => sim.queues[gateway].push(request),
                    Err(_) if request.is_retry => sim.count(&request).refused += 1.0,
                    Err(_) => {
                        let delay = jittered_delay(Reason::Busy, sim.rng.random_range(0.0..1.0));
                        retrying.push(Request {
                            arrived: now + delay,
                            is_retry: true,
                            draw: sim.rng.random_range(0.0..1.0),
                            ..request
                        });
                    }
                }
            }
        }
        (0..ENGINES).for_each(|engine| sim.step_engine(engine));
        sim.now += TICK;
    }
    sim.report
}

/// Simulates a constant rate, as a multiple of the capacity.
fn constant(factor: f64, is_pooled: bool, seed: u64) -> Report {
    simulate(
        |_, route| factor * CAPACITY * ROUTES[route].0,
        is_pooled,
        seed,
    )
}

/// Returns the results of each route and prints them.
fn totals(name: &str, seed: u64, report: &[[Results; 3]]) -> [Results; 3] {
    let sums = [0, 1, 2].map(|route| sum(report, route));
    let figures = sums.map(|r| format!("on time {:.3} served {:.3}", r.on_time(), r.served()));
    println!("{name}, seed {seed}: {figures:?}");
    sums
}

/// Asserts that no route is served less often, or less often on time, than a less urgent one.
fn assert_ordered(results: &[Results; 3]) {
    for pair in results.windows(2) {
        assert!(pair[0].served() >= pair[1].served(), "{results:?}");
        assert!(pair[0].on_time() >= pair[1].on_time(), "{results:?}");
    }
}

/// Guards against routes with a long objective being served at the cost of more urgent ones, which happens without the
/// reserve.
#[test]
fn overload_serves_more_urgent_routes_more_often() {
    for (factor, seed) in [(1.3, 1), (1.3, 2), (1.7, 1), (1.7, 2)] {
        let without = totals("without reserve", seed, &constant(factor, false, seed));
        let pooled = totals(
            &format!("{factor} of capacity"),
            seed,
            &constant(factor, true, seed),
        );

        assert!(without[0].served() < without[2].served(), "{without:?}");
        assert_ordered(&pooled);
        assert!(pooled[0].on_time() > without[0].on_time() + 0.2);
    }
}

/// Guards against a reserve that refuses requests in the fluctuations of a pool that has capacity.
#[test]
fn no_route_is_refused_below_capacity() {
    for seed in [1, 2] {
        let results = totals("0.7 of capacity", seed, &constant(0.7, true, seed));

        for route in results {
            assert!(route.refused < 0.002 * route.callers, "{results:?}");
            assert!(route.on_time() > 0.985, "{results:?}");
        }
    }
}

/// Guards against starvation where the more urgent routes alone exceed the capacity.
#[test]
fn each_route_is_served_a_quarter_of_the_mean_in_any_overload() {
    for seed in [1, 2] {
        let results = totals("4 times the capacity", seed, &constant(4.0, true, seed));

        let served: f64 = results.iter().map(|r| r.on_time + r.late).sum();
        let mean = served / results.iter().map(|r| r.callers).sum::<f64>();
        assert!(
            results.iter().all(|r| r.served() > mean / 4.0),
            "{results:?}"
        );
    }
}

/// Guards against a burst of a less urgent route delaying the others.
#[test]
fn burst_of_the_least_urgent_route_leaves_the_others_on_time() {
    let is_burst = |now: Duration| (6..12).contains(&now.as_secs());
    let rate = |now: Duration, route: usize| {
        let factor = match route == 2 && is_burst(now) {
            true => 2.1,
            false => 0.85,
        };
        factor * CAPACITY * ROUTES[route].0
    };
    for seed in [1, 2] {
        let report = simulate(rate, true, seed);
        let results = totals("burst", seed, &report[12..24]);

        assert!(results[0].on_time() > 0.95, "{results:?}");
        assert_ordered(&results);
    }
}

/// Guards against thresholds that lag behind the load: half a second after a step up the order holds, and half a second
/// after a step down all routes are on time again, although callers that were refused before still retry.
#[test]
fn admission_follows_a_step_of_load_within_half_a_second() {
    let rate = |now: Duration, route: usize| {
        let factor = match (6..12).contains(&now.as_secs()) {
            true => 1.7,
            false => 0.5,
        };
        factor * CAPACITY * ROUTES[route].0
    };
    for seed in [1, 2] {
        let report = simulate(rate, true, seed);
        let up = totals("from 0.5 s after a step up", seed, &report[13..16]);
        let down = totals("from 0.5 s after a step down", seed, &report[25..28]);

        assert_ordered(&up);
        assert!(down.iter().all(|r| r.on_time() > 0.9), "{down:?}");
    }
}

fn pool(slots: u32, free: f64) -> Pool {
    Pool {
        slots: f64::from(slots),
        idle: f64::from(slots),
        free,
    }
}

#[test]
fn late_ranks_follow_all_on_time_ranks() {
    use DeadlineClass::{Late, OnTime};
    let classes = [OnTime, Late];

    let all = classes.map(|class| PRIORITIES.map(|p| rank(class, p, &PRIORITIES)));

    assert_eq!(all, [[0, 1, 2], [3, 4, 5]]);
    // Priorities of workspaces that no route has.
    assert_eq!([0, 3, 9].map(|p| rank(OnTime, p, &[2, 5])), [0, 0, 1]);
}

/// Guards against rounding in small pools: a gateway that sees no load admits every rank, and one that sees a free slot
/// admits the most urgent.
#[test]
fn idle_pool_admits_every_rank_and_any_pool_the_most_urgent() {
    for slots in [1, 2, 3, 12, 696] {
        let idle = pool(slots, f64::from(slots));

        assert_eq!(idle.first_refused(6), None, "{slots} slots");
        assert!(pool(slots, 0.0).admits(0) && !pool(slots, 0.0).admits(1));
    }
    // The prompts that an idle engine can read in time may be fewer than its slots.
    let short = Pool {
        idle: 4.4,
        ..pool(12, 4.4)
    };
    assert_eq!(short.first_refused(20), None);
    assert!(Pool::default().admits(5), "no upstream is in the pool");
}

#[test]
fn reserve_grows_with_the_rank() {
    assert_eq!(pool(12, 1.0).first_refused(6), Some(1));
    assert_eq!(pool(12, 2.0).first_refused(6), Some(2));
    let reserves = [0, 1, 2, 5].map(|rank| pool(696, 0.0).reserve(rank).round());
    assert_eq!(reserves, [0.0, 17.0, 35.0, 87.0]);
}

/// Guards against a workspace over its share coming after less urgent requests, or being limited in an idle pool.
#[test]
fn workspace_over_its_share_comes_between_its_rank_and_the_next() {
    let over = |rank| Standing {
        rank,
        is_over_share: true,
    };
    let refused_at = |pool: Pool, rank| {
        let admitted = [
            pool.admits(rank),
            pool.admits_standing(over(rank)),
            pool.admits(rank + 1),
        ];
        admitted.iter().filter(|is_admitted| !**is_admitted).count()
    };

    let counts = [5.0, 15.0, 20.0].map(|free| refused_at(pool(696, free), 0));

    assert_eq!(counts, [2, 1, 0]);
    for slots in [1, 2, 3, 12, 696] {
        assert!((0..6).all(|rank| pool(slots, f64::from(slots)).admits_standing(over(rank))));
    }
}

/// Guards against requests that are refused at once although the shortage is new, or was last seen long ago.
#[test]
fn shortage_lasts_from_its_first_observation() {
    let (start, wait) = (Instant::now(), Duration::from_millis(40));
    let at = |ms| start + Duration::from_millis(ms);
    let mut shortage = Shortage::default();
    let mut lasts = |free, ms| {
        shortage.observe(&pool(12, free), 6, at(ms));
        [0, 1, 2].map(|rank| shortage.lasts(rank, wait, at(ms)))
    };

    assert_eq!(lasts(1.0, 0), [false, false, false]);
    assert_eq!(lasts(1.0, 40), [false, true, true]);
    assert_eq!(lasts(2.0, 50), [false, false, true]);
    assert_eq!(lasts(1.0, 60), [false, false, true]);
    assert_eq!(lasts(1.0, 900), [false, false, false]);
}

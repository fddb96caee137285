//! Results of callers at a pool of engines that gets more requests than it can serve.
//!
//! Callers arrive at random and retry once after the delay in the refusal.

mod common;

use std::time::{Duration, Instant};

use common::{ANSWER_TOKENS, Engine, PROMPT_RATE};
use decide::DeadlineClass;
use decide::attempt_age::AttemptAgeEstimator;
use decide::load_balancing::{JITTER, Requirements};
use decide::queue::max_wait;
use decide::retry_after::{Reason, jittered_delay};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENGINES: usize = 12;
const OBJECTIVE: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(6);
const TICK: Duration = Duration::from_millis(1);

/// Request of a caller whose first attempt was at `first`, with `timeout`.
#[derive(Debug, Clone, Copy)]
struct Request {
    first: Duration,
    timeout: Duration,
    arrived: Duration,
    is_retry: bool,
}

/// Counts of callers by result.
#[derive(Debug, Default, Clone, Copy)]
struct Results {
    callers: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Results {
    fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.callers)
    }

    fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.callers)
    }
}

/// Simulates `rate` requests a second over `span`, with requests ranked by `classify`. The callers'
/// timeouts differ by up to a fraction `spread` of the longest.
fn simulate(
    rate: impl Fn(Duration) -> f64,
    span: Duration,
    seed: u64,
    spread: f64,
    classify: impl Fn(Duration) -> DeadlineClass,
) -> Results {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut timeout_rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut engines: Vec<Engine<Request>> = (0..ENGINES).map(|_| Engine::new()).collect();
    let (mut queued, mut retrying): (Vec<Request>, Vec<Request>) = (Vec::new(), Vec::new());
    let (mut estimator, mut results) = (AttemptAgeEstimator::new(start), Results::default());
    let mut now = Duration::ZERO;
    while now < span + TIMEOUT {
        if now < span && rng.random_range(0.0..1.0) < rate(now) * TICK.as_secs_f64() {
            results.callers += 1;
            queued.push(Request {
                first: now,
                timeout: TIMEOUT.mul_f64(1.0 - timeout_rng.random_range(0.0..=spread)),
                arrived: now,
                is_retry: false,
            });
        }
        let due = retrying.extract_if(.., |r| r.arrived <= now);
        queued.extend(due);
        // As in a gateway, the class depends on the time that the caller still waits.
        let mut ranked: Vec<(DeadlineClass, Request)> = queued
            .drain(..)
            .map(|r| {
                let timeout = r.timeout.saturating_sub(r.arrived - r.first);
                (classify(estimator.observe(timeout, start + now)), r)
            })
            .collect();
        ranked.sort_by_key(|(class, r)| (*class, r.arrived));
        for (class, request) in ranked {
            match place(&mut engines, class, &mut rng) {
                Some(engine) => engine.start(request),
                None if now < request.arrived + max_wait(OBJECTIVE) => queued.push(request),
                None if request.is_retry => results.refused += 1,
                None => retrying.push(Request {
                    arrived: now + jittered_delay(Reason::Busy, rng.random_range(0.0..1.0)),
                    is_retry: true,
                    ..request
                }),
            }
        }
        for engine in &mut engines {
            engine.step(now, |request| match now - request.first <= OBJECTIVE {
                true => results.in_time += 1,
                false => results.late += 1,
            });
        }
        now += TICK;
    }
    results
}

fn place<'a>(
    engines: &'a mut [Engine<Request>],
    deadline_class: DeadlineClass,
    rng: &mut StdRng,
) -> Option<&'a mut Engine<Request>> {
    let requirements = Requirements {
        deadline_class,
        objective: OBJECTIVE,
        prompt_rate: Some(PROMPT_RATE),
        expected_tokens: ANSWER_TOKENS,
        is_only_gateway: true,
    };
    let candidates = engines.iter_mut().filter_map(|e| {
        let cost = requirements.cost(&e.candidate())?;
        Some((cost + rng.random_range(0.0..JITTER), e))
    });
    candidates
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, e)| e)
}

/// Returns whether a request can be in time, given the age of its caller's first attempt.
fn by_age(age: Duration) -> DeadlineClass {
    match age < OBJECTIVE {
        true => DeadlineClass::OnTime,
        false => DeadlineClass::Late,
    }
}

fn equal(_: Duration) -> DeadlineClass {
    DeadlineClass::OnTime
}

/// Simulates both rankings over some seeds and prints the results.
fn compare(
    name: &str,
    spread: f64,
    rate: impl Fn(Duration) -> f64 + Copy,
) -> Vec<(Results, Results)> {
    let span = Duration::from_secs(20);
    let both = |seed| {
        let (equal, by_age) = (
            simulate(rate, span, seed, spread, equal),
            simulate(rate, span, seed, spread, by_age),
        );
        println!("{name} seed {seed}: equal {equal:?}, by age {by_age:?}");
        (equal, by_age)
    };
    (1..=4).map(both).collect()
}

#[test]
fn lasting_overload_serves_as_many_callers_and_more_in_time() {
    // 12 engines serve some 140 a second.
    let results = compare("190 a second", 0.0, |_| 190.0);

    for (equal, by_age) in results {
        assert!(by_age.in_time() > equal.in_time() + 0.1, "{by_age:?}");
        assert!(by_age.served() > equal.served() - 0.05, "{by_age:?}");
    }
}

#[test]
fn lasting_overload_serves_more_in_time_with_differing_timeouts() {
    // A shorter timeout indicates a retry only if it is much shorter.
    let results = compare("190 a second, timeouts differ", 0.15, |_| 190.0);

    for (equal, by_age) in results {
        assert!(by_age.in_time() > equal.in_time() + 0.1, "{by_age:?}");
        assert!(by_age.served() > equal.served() - 0.05, "{by_age:?}");
    }
}

#[test]
fn burst_serves_about_as_many_callers_and_more_in_time() {
    let rate = |now: Duration| match (5..7).contains(&now.as_secs()) {
        true => 260.0,
        false => 90.0,
    };
    let results = compare("a burst of 2 s", 0.0, rate);

    for (equal, by_age) in results {
        assert!(by_age.in_time() >= equal.in_time() - 0.01, "{by_age:?}");
        assert!(by_age.served() >= equal.served() - 0.02, "{by_age:?}");
    }
}

#[test]
fn no_caller_is_refused_below_capacity() {
    let results = compare("100 a second", 0.0, |_| 100.0);

    for (_, by_age) in results {
        assert!(by_age.in_time() > 0.97, "{by_age:?}");
        assert_eq!(by_age.refused, 0);
    }
}

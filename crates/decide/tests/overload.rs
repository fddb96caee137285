//! What callers get from a pool of engines that more requests come to than it can serve.
//!
//! The engines are played as they work: passes over all that runs, in which each request gets some tokens,
//! and in which prompts that came meanwhile are read. Callers come at random, and come back once when told.

use std::time::{Duration, Instant};

use decide::DeadlineClass;
use decide::attempt_age::AttemptAgeEstimator;
use decide::load_balancing::{Candidate, JITTER, Requirements};
use decide::queue::max_wait;
use decide::retry_after::{Reason, jittered_delay};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENGINES: usize = 12;
const SLOTS: u32 = 16;
/// Tokens that a request gets in a pass, and the time of a pass that reads nothing.
const PASS_TOKENS: u64 = 6;
const PASS: f64 = 0.043;
const PROMPT_RATE: f64 = 30_600.0;
const PROMPT: u64 = 960;
const ANSWER: u64 = 120;
const OBJECTIVE: Duration = Duration::from_millis(400);
const PATIENCE: Duration = Duration::from_secs(6);
const TICK: Duration = Duration::from_millis(1);

/// A request of a caller that first asked at `first`, and then stated `patience`.
#[derive(Debug, Clone, Copy)]
struct Request {
    first: Duration,
    patience: Duration,
    arrived: Duration,
    again: bool,
}

/// A request at an engine.
#[derive(Debug)]
struct Running {
    request: Request,
    read: bool,
    tokens: u64,
}

#[derive(Debug, Default)]
struct Engine {
    running: Vec<Running>,
    pass_ends: Duration,
}

/// How callers fared.
#[derive(Debug, Default, Clone, Copy)]
struct Fared {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Fared {
    fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }

    fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked)
    }
}

impl Engine {
    fn candidate(&self) -> Candidate {
        let unread = self.running.iter().filter(|r| !r.read).count() as u64;
        Candidate {
            slots: SLOTS,
            requests: self.running.len() as u32,
            unread: unread * PROMPT,
            own_unread: 0,
            is_far: false,
            leaves_in: None,
        }
    }

    /// Ends a pass: what was read gets its first tokens, what has all of its tokens ends.
    fn step(&mut self, now: Duration, fared: &mut Fared) {
        if now < self.pass_ends {
            return;
        }
        for running in self.running.iter_mut().filter(|r| r.read) {
            if running.tokens == 0 {
                match now - running.request.first <= OBJECTIVE {
                    true => fared.in_time += 1,
                    false => fared.late += 1,
                }
            }
            running.tokens += PASS_TOKENS;
        }
        self.running.retain(|r| r.tokens < ANSWER);
        let unread = self.running.iter_mut().filter(|r| !r.read);
        let reads = unread.map(|r| r.read = true).count();
        let reading = reads as f64 * PROMPT as f64 / PROMPT_RATE;
        self.pass_ends = now + Duration::from_secs_f64(PASS + reading);
    }
}

/// Plays so many requests a second for a time, by ranking requests with `standing`; the times that callers
/// state differ by up to a part `differ` of the longest.
fn play(
    rate: impl Fn(Duration) -> f64,
    span: Duration,
    seed: u64,
    differ: f64,
    standing: impl Fn(Duration) -> DeadlineClass,
) -> Fared {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut times = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let (mut waiting, mut returning): (Vec<Request>, Vec<Request>) = (Vec::new(), Vec::new());
    let (mut stated, mut fared) = (AttemptAgeEstimator::new(start), Fared::default());
    let mut now = Duration::ZERO;
    while now < span + PATIENCE {
        if now < span && rng.random_range(0.0..1.0) < rate(now) * TICK.as_secs_f64() {
            fared.asked += 1;
            waiting.push(Request {
                first: now,
                patience: PATIENCE.mul_f64(1.0 - times.random_range(0.0..=differ)),
                arrived: now,
                again: false,
            });
        }
        let due = returning.extract_if(.., |r| r.arrived <= now);
        waiting.extend(due);
        // As gateways do: the standing comes from the time that the caller still waits.
        let mut ranked: Vec<(DeadlineClass, Request)> = waiting
            .drain(..)
            .map(|r| {
                let patience = r.patience.saturating_sub(r.arrived - r.first);
                (standing(stated.observe(patience, start + now)), r)
            })
            .collect();
        ranked.sort_by_key(|(standing, r)| (*standing, r.arrived));
        for (standing, request) in ranked {
            match place(&mut engines, standing, &mut rng) {
                Some(engine) => engine.running.push(Running {
                    request,
                    read: false,
                    tokens: 0,
                }),
                None if now < request.arrived + max_wait(OBJECTIVE) => waiting.push(request),
                None if request.again => fared.refused += 1,
                None => returning.push(Request {
                    arrived: now + jittered_delay(Reason::Busy, rng.random_range(0.0..1.0)),
                    again: true,
                    ..request
                }),
            }
        }
        for engine in &mut engines {
            engine.step(now, &mut fared);
        }
        now += TICK;
    }
    fared
}

fn place<'a>(
    engines: &'a mut [Engine],
    deadline_class: DeadlineClass,
    rng: &mut StdRng,
) -> Option<&'a mut Engine> {
    let ask = Requirements {
        deadline_class,
        objective: OBJECTIVE,
        prompt_rate: Some(PROMPT_RATE),
        expected_tokens: ANSWER,
        is_only_gateway: true,
    };
    let weighed = engines.iter_mut().filter_map(|e| {
        let weight = ask.cost(&e.candidate())?;
        Some((weight + rng.random_range(0.0..JITTER), e))
    });
    weighed
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, e)| e)
}

/// Whether a request whose caller first asked so long ago can be in time.
fn by_age(waited: Duration) -> DeadlineClass {
    match waited < OBJECTIVE {
        true => DeadlineClass::OnTime,
        false => DeadlineClass::Late,
    }
}

fn alike(_: Duration) -> DeadlineClass {
    DeadlineClass::OnTime
}

/// Plays both rankings over some seeds and prints what callers got.
fn compare(name: &str, differ: f64, rate: impl Fn(Duration) -> f64 + Copy) -> Vec<(Fared, Fared)> {
    let span = Duration::from_secs(20);
    let both = |seed| {
        let (alike, by_age) = (
            play(rate, span, seed, differ, alike),
            play(rate, span, seed, differ, by_age),
        );
        println!("{name} seed {seed}: alike {alike:?}, by age {by_age:?}");
        (alike, by_age)
    };
    (1..=4).map(both).collect()
}

#[test]
fn in_lasting_overload_more_callers_are_served_in_time_and_as_many_are_served() {
    // 12 engines serve some 140 a second.
    let fared = compare("190 a second", 0.0, |_| 190.0);

    for (alike, by_age) in fared {
        assert!(by_age.in_time() > alike.in_time() + 0.1, "{by_age:?}");
        assert!(by_age.served() > alike.served() - 0.05, "{by_age:?}");
    }
}

#[test]
fn as_many_more_are_in_time_where_the_times_that_callers_state_differ() {
    // Of two callers the one that states less has not asked before, unless it states much less.
    let fared = compare("190 a second, times differ", 0.15, |_| 190.0);

    for (alike, by_age) in fared {
        assert!(by_age.in_time() > alike.in_time() + 0.1, "{by_age:?}");
        assert!(by_age.served() > alike.served() - 0.05, "{by_age:?}");
    }
}

#[test]
fn of_a_burst_about_as_many_are_served_and_more_in_time() {
    let rate = |now: Duration| match (5..7).contains(&now.as_secs()) {
        true => 260.0,
        false => 90.0,
    };
    let fared = compare("a burst of 2 s", 0.0, rate);

    for (alike, by_age) in fared {
        assert!(by_age.in_time() >= alike.in_time() - 0.01, "{by_age:?}");
        assert!(by_age.served() >= alike.served() - 0.02, "{by_age:?}");
    }
}

#[test]
fn below_what_the_engines_serve_nobody_is_refused() {
    let fared = compare("100 a second", 0.0, |_| 100.0);

    for (_, by_age) in fared {
        assert!(by_age.in_time() > 0.97, "{by_age:?}");
        assert_eq!(by_age.refused, 0);
    }
}

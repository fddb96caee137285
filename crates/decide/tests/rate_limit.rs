//! Upstreams that advertise a rate limit, and the gateways that send to them.

use std::time::{Duration, Instant};

use decide::rate_limit::RateLimit;
use decide::senders;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time over which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);

const UPSTREAM: &str = "10.0.0.1:8000";

fn vm(n: usize) -> String {
    format!("front-{n}")
}

/// Returns the maximum number of requests in a window.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// Gateway that always has a queued request.
struct Gateway {
    rank: usize,
    /// Number of gateways that it knows, including itself.
    known: usize,
    last: Option<Instant>,
}

impl Gateway {
    fn new(n: usize, known: impl Iterator<Item = usize>) -> Gateway {
        let others: Vec<_> = known.filter(|other| *other != n).map(vm).collect();
        Gateway {
            rank: senders::rank(UPSTREAM, &vm(n), &others),
            known: others.len() + 1,
            last: None,
        }
    }

    /// Sends a request if the limit allows; returns whether it did.
    fn send(&mut self, limit: &RateLimit, now: Instant) -> bool {
        let next = limit.next(self.rank, self.known, self.last);
        let may_send = next.is_none_or(|next| next <= now);
        if may_send {
            self.last = Some(now);
        }
        may_send
    }
}

fn fleet(gateways: usize) -> Vec<Gateway> {
    let new = |n| Gateway::new(n, 0..gateways);
    (0..gateways).map(new).collect()
}

/// Returns the maximum number of arrivals within any window.
fn busiest(mut arrivals: Vec<Instant>) -> usize {
    arrivals.sort();
    let within = |from: &Instant| {
        let window = *from..*from + WINDOW;
        arrivals.iter().filter(|at| window.contains(at)).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Returns the arrivals over `time`, where `last_update` gives the time of the latest update.
fn arrivals(
    fleet: &mut [Gateway],
    rate: f64,
    time: Duration,
    last_update: impl Fn(Instant, Option<Instant>) -> Instant,
    rng: &mut StdRng,
) -> Vec<Instant> {
    let start = Instant::now();
    let mut arrivals = Vec::new();
    let mut last_answer = None;
    for ms in 0..time.as_millis() as u64 {
        let now = start + Duration::from_millis(ms);
        let limit = RateLimit {
            rate,
            advertised: last_update(start, last_answer),
        };
        for gateway in fleet.iter_mut() {
            if gateway.send(&limit, now) {
                arrivals.push(now + Duration::from_millis(rng.random_range(0..150)));
                last_answer = Some(now);
            }
        }
    }
    arrivals
}

proptest! {
    #![proptest_config(cases::cases(64))]

    /// Gateways know the list from before or after a change.
    #[test]
    fn no_window_exceeds_the_limit_while_gateways_know_different_lists(
        gateways in 1_usize..120,
        added in 0_usize..60,
        rate in prop_oneof![Just(0.0), Just(1.0), 0.0..5.0, 5.0..200.0],
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = gateways + added;
        let list = |n: usize| {
            let knows_change = n >= gateways || n.is_multiple_of(2);
            if knows_change { all } else { gateways }
        };
        let mut fleet: Vec<_> = (0..all).map(|n| Gateway::new(n, 0..list(n))).collect();
        let last_update = |start: Instant, last_answer: Option<Instant>| last_answer.unwrap_or(start);

        let arrivals = arrivals(&mut fleet, rate, 3 * WINDOW, last_update, &mut rng);

        let max = busiest(arrivals);
        prop_assert!(max as f64 <= allowed(rate), "{max} of {}", allowed(rate));
    }

    #[test]
    fn no_window_exceeds_the_limit_while_all_updates_are_lost(
        gateways in 1_usize..120,
        rate in prop_oneof![Just(0.0), Just(1.0), 0.0..20.0],
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let last_update = |start: Instant, _: Option<Instant>| start;

        let arrivals = arrivals(&mut fleet(gateways), rate, 8 * WINDOW, last_update, &mut rng);

        let max = busiest(arrivals);
        prop_assert!(max as f64 <= allowed(rate), "{max} of {}", allowed(rate));
    }
}

/// Every gateway has more requests than the upstream accepts.
#[test]
fn upstream_gets_most_of_its_limit() {
    let mut rng = StdRng::seed_from_u64(3);
    for (rate, gateways) in [(1.0, 3), (1.0, 120), (8.0, 40), (40.0, 3), (40.0, 120)] {
        let last_update =
            |start: Instant, last_answer: Option<Instant>| last_answer.unwrap_or(start);
        let time = 10 * WINDOW;

        let arrivals = arrivals(&mut fleet(gateways), rate, time, last_update, &mut rng);

        let fraction = arrivals.len() as f64 / (rate * time.as_secs_f64());
        assert!(
            fraction >= 0.6,
            "{fraction} of {rate} with {gateways} gateways"
        );
    }
}

#[test]
fn gateway_sends_after_long_silence_of_the_senders() {
    let advertised = Instant::now();
    let limit = RateLimit {
        rate: 1.0,
        advertised,
    };
    let gateways = 20;
    let first = limit.senders(gateways);

    let next = |rank| limit.next(rank, gateways, None).expect("a time");

    assert!(next(first) > advertised + WINDOW);
    assert!(next(2 * first) > next(first));
    assert_eq!(limit.next(0, gateways, None), None);
}

#[test]
fn limit_of_zero_is_probed() {
    let limit = RateLimit {
        rate: 0.0,
        advertised: Instant::now(),
    };

    assert_eq!(limit.interval(2), Duration::from_secs(30));
}

/// Guards against an upstream that gets no request for half a minute after its limit of 0 was lifted, while callers
/// are refused for lack of capacity.
#[test]
fn sender_probes_a_limit_of_zero_in_the_window_after_its_last_request() {
    let now = Instant::now();
    let limit = RateLimit {
        rate: 0.0,
        advertised: now,
    };
    for gateways in [1, 3, 120] {
        for rank in 0..limit.senders(gateways) {
            let next = limit.next(rank, gateways, Some(now));
            let next = next.expect("a sender waits after a request");

            assert!(next > now + WINDOW, "{gateways}, {rank}");
            assert!(next <= now + 2 * WINDOW, "{gateways}, {rank}");
        }
    }
}

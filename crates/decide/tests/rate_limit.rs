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

/// Most requests that a window may hold.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// A gateway that always has a request waiting.
struct Gateway {
    rank: usize,
    /// Gateways that it knows, itself among them.
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

    /// Sends where it may.
    fn send(&mut self, limit: &RateLimit, now: Instant) -> bool {
        let next = limit.next(self.rank, self.known, self.last);
        let may = next.is_none_or(|next| next <= now);
        if may {
            self.last = Some(now);
        }
        may
    }
}

fn fleet(gateways: usize) -> Vec<Gateway> {
    let new = |n| Gateway::new(n, 0..gateways);
    (0..gateways).map(new).collect()
}

/// Most arrivals within any window.
fn busiest(mut arrivals: Vec<Instant>) -> usize {
    arrivals.sort();
    let within = |from: &Instant| {
        let window = *from..*from + WINDOW;
        arrivals.iter().filter(|at| window.contains(at)).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Arrivals over some seconds, where `heard` gives the time of the latest update.
fn arrivals(
    fleet: &mut [Gateway],
    rate: f64,
    time: Duration,
    heard: impl Fn(Instant, Option<Instant>) -> Instant,
    rng: &mut StdRng,
) -> Vec<Instant> {
    let start = Instant::now();
    let mut arrivals = Vec::new();
    let mut answered = None;
    for ms in 0..time.as_millis() as u64 {
        let now = start + Duration::from_millis(ms);
        let limit = RateLimit {
            rate,
            advertised: heard(start, answered),
        };
        for gateway in fleet.iter_mut() {
            if gateway.send(&limit, now) {
                arrivals.push(now + Duration::from_millis(rng.random_range(0..150)));
                answered = Some(now);
            }
        }
    }
    arrivals
}

proptest! {
    #![proptest_config(cases::cases(64))]

    /// Gateways know of the others before or after a change of the list.
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
        let heard = |start: Instant, answered: Option<Instant>| answered.unwrap_or(start);

        let arrivals = arrivals(&mut fleet, rate, 3 * WINDOW, heard, &mut rng);

        let most = busiest(arrivals);
        prop_assert!(most as f64 <= allowed(rate), "{most} of {}", allowed(rate));
    }

    #[test]
    fn no_window_exceeds_the_limit_while_all_updates_are_lost(
        gateways in 1_usize..120,
        rate in prop_oneof![Just(0.0), Just(1.0), 0.0..20.0],
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let heard = |start: Instant, _: Option<Instant>| start;

        let arrivals = arrivals(&mut fleet(gateways), rate, 8 * WINDOW, heard, &mut rng);

        let most = busiest(arrivals);
        prop_assert!(most as f64 <= allowed(rate), "{most} of {}", allowed(rate));
    }
}

/// The load that it is for: more requests than the upstream takes, at every gateway.
#[test]
fn an_upstream_gets_most_of_what_its_limit_allows() {
    let mut rng = StdRng::seed_from_u64(3);
    for (rate, gateways) in [(1.0, 3), (1.0, 120), (8.0, 40), (40.0, 3), (40.0, 120)] {
        let heard = |start: Instant, answered: Option<Instant>| answered.unwrap_or(start);
        let time = 10 * WINDOW;

        let arrivals = arrivals(&mut fleet(gateways), rate, time, heard, &mut rng);

        let part = arrivals.len() as f64 / (rate * time.as_secs_f64());
        assert!(part >= 0.6, "{part} of {rate} with {gateways} gateways");
    }
}

#[test]
fn a_gateway_sends_once_it_has_had_no_update_of_the_senders_for_long() {
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
fn a_limit_of_zero_is_probed_for_its_end() {
    let limit = RateLimit {
        rate: 0.0,
        advertised: Instant::now(),
    };

    assert_eq!(limit.interval(2), Duration::from_secs(30));
}

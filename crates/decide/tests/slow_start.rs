//! Cold upstreams and the gateways that send to them.

use std::time::{Duration, Instant};

use decide::senders::rank;
use decide::slow_start::{Limit, SENDERS, is_due, is_sender};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const LIMIT: Limit = Limit {
    rate: 14.0,
    overage: 1.5,
    slack: 5.0,
};

const SECOND: Duration = Duration::from_secs(1);

fn vm(n: usize) -> String {
    format!("front-{n}")
}

fn upstream(n: usize) -> String {
    format!("10.0.0.{n}:8000")
}

/// Gateway with the upstreams that it may send to and when it last did.
struct Gateway {
    sends_to: Vec<bool>,
    last: Vec<Option<Instant>>,
}

impl Gateway {
    fn new(n: usize, known: impl Iterator<Item = usize>, upstreams: usize) -> Gateway {
        let others: Vec<_> = known.filter(|other| *other != n).map(vm).collect();
        let sends_to = |to: usize| is_sender(rank(&upstream(to), &vm(n), &others));
        Gateway {
            sends_to: (0..upstreams).map(sends_to).collect(),
            last: vec![None; upstreams],
        }
    }

    /// Sends to an upstream if the limit allows; returns whether it did.
    fn send(&mut self, to: usize, limit: Limit, now: Instant) -> bool {
        let Some(interval) = limit.interval() else {
            return false;
        };
        let may_send = self.sends_to[to] && is_due(self.last[to], interval, now);
        if may_send {
            self.last[to] = Some(now);
        }
        may_send
    }
}

/// Returns the maximum number of arrivals within any second.
fn busiest_second(mut arrivals: Vec<Instant>) -> usize {
    arrivals.sort();
    let within = |from: &Instant| {
        let until = *from + SECOND;
        arrivals
            .iter()
            .filter(|at| (*from..until).contains(at))
            .count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(cases::cases(64))]

    /// Gateways always have a queued request and know the list from before or after a change. Their
    /// requests take up to 20 ms to arrive.
    #[test]
    fn no_second_exceeds_the_limit_while_gateways_know_different_lists(
        gateways in 1_usize..40,
        added in 0_usize..20,
        rate in prop_oneof![Just(14.0), 1.0..60.0],
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let limit = Limit { rate, ..LIMIT };
        let all = gateways + added;
        let list = |n: usize| {
            let knows_change = n >= gateways || n.is_multiple_of(2);
            if knows_change { all } else { gateways }
        };
        let mut fleet: Vec<_> = (0..all).map(|n| Gateway::new(n, 0..list(n), 1)).collect();
        let start = Instant::now();
        let mut arrivals = Vec::new();

        for ms in 0..3000 {
            let now = start + Duration::from_millis(ms);
            for gateway in &mut fleet {
                if gateway.send(0, limit, now) {
                    arrivals.push(now + Duration::from_millis(rng.random_range(0..20)));
                }
            }
        }

        let max = busiest_second(arrivals);
        prop_assert!(max as f64 <= limit.per_second(), "{max} of {}", limit.per_second());
    }
}

#[test]
fn each_upstream_has_the_full_number_of_senders() {
    for gateways in [1, 2, 11, 121] {
        for to in 0..20 {
            let sends = |n: &usize| {
                let others: Vec<_> = (0..gateways).filter(|o| o != n).map(vm).collect();
                is_sender(rank(&upstream(to), &vm(*n), &others))
            };
            let senders = (0..gateways).filter(sends).count();
            assert_eq!(senders, gateways.min(SENDERS));
        }
    }
}

/// Guards against a rate whose interval exceeds what a duration holds.
#[test]
fn limit_close_to_zero_has_no_interval() {
    let limit = Limit {
        rate: 1e-300,
        ..LIMIT
    };

    assert_eq!(limit.interval(), None);
}

#[test]
fn limit_too_low_for_a_sender_has_no_interval() {
    let limit = Limit {
        rate: 1.0,
        overage: 1.0,
        slack: 0.0,
    };

    assert_eq!(limit.interval(), None);
}

/// 15 upstreams of a failure domain return cold, and its 11 gateways get 145 requests a second, each of
/// which waits for at most 125 ms.
#[test]
fn cold_failure_domain_serves_most_of_its_own_callers() {
    let (gateways, upstreams) = (11, 15);
    let mut rng = StdRng::seed_from_u64(5);
    let mut fleet: Vec<_> = (0..gateways)
        .map(|n| Gateway::new(n, 0..gateways, upstreams))
        .collect();
    let start = Instant::now();
    let (mut requests, mut served) = (0, 0);
    let mut queued: Vec<(usize, Instant)> = Vec::new();
    let mut arrivals = vec![Vec::new(); upstreams];

    for ms in 0..3000 {
        let now = start + Duration::from_millis(ms);
        if rng.random_bool(0.145) {
            queued.push((
                rng.random_range(0..gateways),
                now + Duration::from_millis(125),
            ));
            requests += 1;
        }
        queued.retain(|(gateway, until)| {
            let sent = (0..upstreams).find(|to| fleet[*gateway].send(*to, LIMIT, now));
            if let Some(to) = sent {
                arrivals[to].push(now);
                served += 1;
            }
            sent.is_none() && now < *until
        });
    }

    let max = arrivals.into_iter().map(busiest_second).max().unwrap_or(0);
    assert!(served * 10 >= requests * 7, "{served} of {requests}");
    assert!(max as f64 <= LIMIT.per_second(), "{max}");
}

/// All gateways lose power and restart while they send, so none knows what it sent before.
#[test]
fn limit_holds_while_all_senders_restart() {
    let gateways = 11;
    let start = Instant::now();
    let mut arrivals = Vec::new();
    let mut fleet: Vec<_> = (0..gateways)
        .map(|n| Gateway::new(n, 0..gateways, 1))
        .collect();

    for ms in 0..3000 {
        let now = start + Duration::from_millis(ms);
        if ms == 1500 {
            fleet = (0..gateways)
                .map(|n| Gateway::new(n, 0..gateways, 1))
                .collect();
        }
        let sent = fleet
            .iter_mut()
            .filter_map(|g| g.send(0, LIMIT, now).then_some(now));
        arrivals.extend(sent);
    }

    let max = busiest_second(arrivals);
    assert!(max as f64 <= LIMIT.per_second(), "{max}");
}

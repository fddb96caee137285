//! Many gateways with the same view of few engines.

use decide::contention::should_try;

/// Free capacity of an engine that has just entered service: three prompts can be read in time.
const FREE_CAPACITY: f64 = 3.0;

/// Returns evenly spaced draws.
fn draws(n: usize) -> impl Iterator<Item = f64> {
    (0..n).map(move |i| (i as f64 + 0.5) / n as f64)
}

fn attempts(free_capacity: f64, gateways: usize) -> usize {
    draws(gateways)
        .filter(|draw| should_try(free_capacity, gateways, false, true, *draw))
        .count()
}

/// Without a limit, each of 149 gateways sends a prompt to the first engine in service, which can read
/// three in time.
#[test]
fn some_gateways_try_an_engine_that_all_see_empty() {
    assert_eq!(attempts(FREE_CAPACITY, 149), 6);
    assert_eq!(attempts(FREE_CAPACITY, 30), 6);
}

#[test]
fn few_gateways_try_every_engine_with_free_capacity() {
    assert_eq!(attempts(FREE_CAPACITY, 6), 6);
    assert_eq!(attempts(1.0, 2), 2);
}

#[test]
fn no_gateway_tries_a_full_engine() {
    assert_eq!(attempts(0.0, 30), 0);
}

/// With 30 gateways and 41 engines with one free slot each, a gateway finds some to try.
#[test]
fn gateway_finds_engines_near_full_load() {
    let found = (0..41).filter(|engine| {
        let draw = f64::from((engine * 37) % 41) / 41.0;
        should_try(1.0, 30, false, true, draw)
    });

    assert!(found.count() >= 2);
}

#[test]
fn new_request_tries_more_engines_of_its_own_failure_domain_only() {
    let attempts = |is_far, has_waited| {
        draws(30)
            .filter(|draw| should_try(1.0, 30, is_far, has_waited, *draw))
            .count()
    };

    assert!(attempts(false, false) > attempts(false, true));
    assert_eq!(attempts(true, false), attempts(true, true));
}

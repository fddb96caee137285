//! Many gateways that know the same of few engines.

use decide::contention::should_try;

/// Room of an engine that has just come into service: three prompts read in time.
const ROOM: f64 = 3.0;

/// Draws that are spread evenly.
fn draws(n: usize) -> impl Iterator<Item = f64> {
    (0..n).map(move |i| (i as f64 + 0.5) / n as f64)
}

fn tries(room: f64, gateways: usize) -> usize {
    draws(gateways)
        .filter(|draw| should_try(room, gateways, false, true, *draw))
        .count()
}

/// Each of 149 gateways sent a prompt to the first engine in service, where three could be read in time.
#[test]
fn an_engine_that_all_gateways_find_empty_is_tried_by_some() {
    assert_eq!(tries(ROOM, 149), 6);
    assert_eq!(tries(ROOM, 30), 6);
}

#[test]
fn few_gateways_try_every_engine_with_room() {
    assert_eq!(tries(ROOM, 6), 6);
    assert_eq!(tries(1.0, 2), 2);
}

#[test]
fn a_full_engine_is_tried_by_none() {
    assert_eq!(tries(0.0, 30), 0);
}

/// 30 gateways and 41 engines with one slot free each: who looks finds some to try.
#[test]
fn near_full_load_a_gateway_still_finds_engines() {
    let found = (0..41).filter(|engine| {
        let draw = f64::from((engine * 37) % 41) / 41.0;
        should_try(1.0, 30, false, true, draw)
    });

    assert!(found.count() >= 2);
}

#[test]
fn a_request_that_has_just_arrived_tries_more_engines_of_its_failure_domain_and_no_more_others() {
    let of = |is_far, waits| {
        draws(30)
            .filter(|draw| should_try(1.0, 30, is_far, waits, *draw))
            .count()
    };

    assert!(of(false, false) > of(false, true));
    assert_eq!(of(true, false), of(true, true));
}

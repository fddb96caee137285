//! Turns in which engines take new weights, and the chunks they are made of.

use std::time::{Duration, Instant};

use bytes::Bytes;
use loader::api::{EngineState, Manifest};
use loader::sets::{Set, Sets};
use loader::turn::{Coming, begins, can_skip, is_kept, last_turn, place};
use proptest::prelude::*;
use sha2::{Digest, Sha256};

const BOUND: Duration = Duration::from_secs(8);

fn vms(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("vm-{i}")).collect()
}

fn others(all: &[String], own: usize) -> Vec<String> {
    let mut others = all.to_vec();
    others.remove(own);
    others
}

fn set(version: u64, chunks: &[&'static [u8]]) -> Set {
    let digests = chunks.iter().map(|c| Sha256::digest(c).into()).collect();
    Set::new("m".to_owned(), version, Manifest { digests })
}

proptest! {
    #![proptest_config(cases::cases(100))]

    #[test]
    fn every_vm_has_a_place_of_its_own(n in 2_usize..60, version in 1_u64..100) {
        let all = vms(n);

        let mut places: Vec<f64> = (0..n)
            .map(|i| place(&all[i], &others(&all, i), version))
            .collect();

        places.sort_by(f64::total_cmp);
        prop_assert_eq!(places[0], 0.0);
        prop_assert_eq!(places[n - 1], 1.0);
        prop_assert!(places.windows(2).all(|w| w[0] < w[1]));
    }

    #[test]
    fn all_begin_within_the_bound_and_few_at_once(n in 2_usize..60, version in 1_u64..100) {
        let all = vms(n);
        let since = Instant::now();

        let mut times: Vec<Instant> = (0..n)
            .map(|i| begins(&all[i], &others(&all, i), version, since, BOUND))
            .collect();

        times.sort();
        let spread = times[n - 1] - times[0];
        prop_assert!(times[n - 1] < since + BOUND.mul_f64(0.8));
        let gap = spread.div_f64((n - 1) as f64);
        let even = |w: &[Instant]| (w[1] - w[0]).abs_diff(gap) < Duration::from_millis(1);
        prop_assert!(times.windows(2).all(even));
    }
}

#[test]
fn all_loaders_decide_alike_on_leaving_a_version_out() {
    // What they know of the two releases' times differs by the way that the news took.
    let skew = Duration::from_millis(400);
    let soon = Duration::from_secs(2);
    let late = Duration::from_secs(4);

    assert!(can_skip(soon - skew, BOUND) && can_skip(soon + skew, BOUND));
    assert!(!can_skip(late - skew, BOUND) && !can_skip(late + skew, BOUND));
}

/// A newer version, released 2 s after an older one, of which so many chunks are missing.
fn coming(missing: usize, stood_still_ms: u64, since: Instant) -> Coming {
    Coming {
        missing,
        chunk_time: Duration::from_millis(35),
        stood_still: Duration::from_millis(stood_still_ms),
        since,
    }
}

#[test]
fn an_engine_waits_for_a_newer_version_that_comes_on() {
    let older = Instant::now();
    let newer = older + Duration::from_secs(2);
    let needed = last_turn(older, BOUND);
    let now = older + Duration::from_secs(3);

    let over = older + BOUND;
    let too_late = |c: Coming| c.is_too_late(needed, over, BOUND, now);

    assert!(!too_late(coming(60, 50, newer)));
    assert!(!too_late(coming(0, 5000, newer)), "it is whole");
    assert!(too_late(coming(60, 400, newer)), "the origin is away");
    assert!(too_late(coming(200, 50, newer)), "the link is narrow");
}

#[test]
fn an_older_version_that_would_serve_for_a_moment_only_is_not_taken() {
    let older = Instant::now();
    let newer = older + Duration::from_secs(2);
    let needed = last_turn(older, BOUND);
    let now = newer + BOUND - Duration::from_secs(3);

    let too_late = |over| coming(60, 5000, newer).is_too_late(needed, over, BOUND, now);
    assert!(!too_late(older + BOUND));
    assert!(too_late(now), "the engine serves nothing any more");
}

#[test]
fn an_older_version_is_kept_where_little_of_it_is_missing() {
    assert!(is_kept(1.0) && is_kept(0.8));
    assert!(!is_kept(0.5) && !is_kept(0.0));
}

#[test]
fn a_lone_vm_begins_with_the_first() {
    assert_eq!(place(&"vm-0".to_owned(), &[], 2), 0.0);
}

#[test]
fn a_chunk_that_is_not_the_one_listed_is_not_kept() {
    let set = set(2, &[b"one", b"two"]);

    assert!(!set.put(0, Bytes::from_static(b"two")));
    assert!(!set.put(2, Bytes::from_static(b"one")));
    assert!(set.put(0, Bytes::from_static(b"one")));

    assert_eq!(set.have(), [true, false]);
    assert!(!set.is_whole());
    assert!(set.put(1, Bytes::from_static(b"two")));
    assert!(set.is_whole());
}

#[test]
fn the_newest_whole_version_goes_before_newer_ones_that_are_not() {
    let sets = Sets::default();
    for version in [1, 2] {
        let set = sets.add(set(version, &[b"one"]));
        set.put(0, Bytes::from_static(b"one"));
    }
    sets.add(set(3, &[b"one"]));

    let newest = sets.newest_whole("m").map(|s| s.version);

    assert_eq!(newest, Some(2));
}

#[test]
fn the_oldest_version_is_let_go() {
    let sets = Sets::default();
    for version in [1, 2, 3, 4] {
        sets.add(set(version, &[b"one"]));
    }

    let held: Vec<u64> = sets.all().iter().map(|s| s.version).collect();

    assert_eq!(held, [2, 3, 4]);
}

fn state(start_time: Option<u64>, orders: u64) -> EngineState {
    EngineState {
        switching: false,
        orders,
        holdings: Vec::new(),
        running: 0,
        queued: 0,
        start_time,
    }
}

#[test]
fn an_engine_that_started_again_is_told_by_its_birth_or_by_fewer_orders() {
    let before = state(Some(100), 3);

    assert!(state(Some(200), 0).is_new_incarnation(&before));
    assert!(
        state(Some(200), 3).is_new_incarnation(&before),
        "as many orders"
    );
    assert!(
        state(None, 0).is_new_incarnation(&state(None, 3)),
        "no birth told"
    );
    assert!(!state(Some(100), 4).is_new_incarnation(&before));
    assert!(
        !state(None, 3).is_new_incarnation(&before),
        "a birth that isn't told"
    );
}

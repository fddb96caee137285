//! Rollout slots, chunk sets and detection of engine restarts.

use std::time::{Duration, Instant};

use bytes::Bytes;
use loader::api::{EngineState, Manifest};
use loader::chunk_set::{ChunkSet, ChunkSets};
use loader::pace::Pace;
use loader::slot::{
    PendingVersion, can_skip, last_slot_start, position, should_complete, slot_start,
};
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

fn set(version: u64, chunks: &[&'static [u8]]) -> ChunkSet {
    let digests = chunks.iter().map(|c| Sha256::digest(c).into()).collect();
    ChunkSet::new("m".to_owned(), version, Manifest { digests })
}

proptest! {
    #![proptest_config(cases::cases(100))]

    #[test]
    fn every_vm_has_a_distinct_position(n in 2_usize..60, version in 1_u64..100) {
        let all = vms(n);

        let mut positions: Vec<f64> = (0..n)
            .map(|i| position(&all[i], &others(&all, i), version))
            .collect();

        positions.sort_by(f64::total_cmp);
        prop_assert_eq!(positions[0], 0.0);
        prop_assert_eq!(positions[n - 1], 1.0);
        prop_assert!(positions.windows(2).all(|w| w[0] < w[1]));
    }

    #[test]
    fn slots_are_evenly_spread_within_the_bound(n in 2_usize..60, version in 1_u64..100) {
        let all = vms(n);
        let since = Instant::now();

        let mut slots: Vec<Instant> = (0..n)
            .map(|i| slot_start(&all[i], &others(&all, i), version, since, BOUND))
            .collect();

        slots.sort();
        let spread = slots[n - 1] - slots[0];
        prop_assert!(slots[n - 1] < since + BOUND.mul_f64(0.8));
        let gap = spread.div_f64((n - 1) as f64);
        let is_even = |w: &[Instant]| (w[1] - w[0]).abs_diff(gap) < Duration::from_millis(1);
        prop_assert!(slots.windows(2).all(is_even));
    }
}

#[test]
fn all_loaders_agree_on_skipping_a_version() {
    // Loaders learn of each release at slightly different times, so the intervals that they see differ.
    let skew = Duration::from_millis(400);
    let soon = Duration::from_secs(2);
    let late = Duration::from_secs(4);

    assert!(can_skip(soon - skew, BOUND) && can_skip(soon + skew, BOUND));
    assert!(!can_skip(late - skew, BOUND) && !can_skip(late + skew, BOUND));
}

/// Returns a newer version with `missing` chunks.
fn pending(missing: usize, stalled_ms: u64, since: Instant) -> PendingVersion {
    PendingVersion {
        missing,
        chunk_time: Duration::from_millis(35),
        stalled_for: Duration::from_millis(stalled_ms),
        since,
    }
}

#[test]
fn engine_waits_for_a_newer_version_that_makes_progress() {
    let older = Instant::now();
    let newer = older + Duration::from_secs(2);
    let needed = last_slot_start(older, BOUND);
    let now = older + Duration::from_secs(3);

    let expired = older + BOUND;
    let too_late = |p: PendingVersion| p.is_too_late(needed, expired, BOUND, now);

    assert!(!too_late(pending(60, 50, newer)));
    assert!(!too_late(pending(0, 5000, newer)), "it is complete");
    assert!(too_late(pending(60, 400, newer)), "the fetch is stalled");
    assert!(too_late(pending(200, 50, newer)), "the link is slow");
}

#[test]
fn engine_skips_an_older_version_that_would_serve_briefly() {
    let older = Instant::now();
    let newer = older + Duration::from_secs(2);
    let needed = last_slot_start(older, BOUND);
    let now = newer + BOUND - Duration::from_secs(3);

    let too_late = |expired| pending(60, 5000, newer).is_too_late(needed, expired, BOUND, now);
    assert!(!too_late(older + BOUND));
    assert!(too_late(now), "the engine has no version to serve");
}

#[test]
fn fetch_of_an_almost_complete_older_version_is_completed() {
    assert!(should_complete(1.0) && should_complete(0.8));
    assert!(!should_complete(0.5) && !should_complete(0.0));
}

#[test]
fn single_vm_has_the_first_position() {
    assert_eq!(position(&"vm-0".to_owned(), &[], 2), 0.0);
}

#[test]
fn chunk_set_rejects_chunks_that_do_not_match_the_manifest() {
    let set = set(2, &[b"one", b"two"]);

    assert!(!set.put(0, Bytes::from_static(b"two")));
    assert!(!set.put(2, Bytes::from_static(b"one")));
    assert!(set.put(0, Bytes::from_static(b"one")));

    assert_eq!(set.have(), [true, false]);
    assert!(!set.is_complete());
    assert!(set.put(1, Bytes::from_static(b"two")));
    assert!(set.is_complete());
}

#[test]
fn newest_complete_skips_incomplete_versions() {
    let sets = ChunkSets::default();
    for version in [1, 2] {
        let set = sets.add(set(version, &[b"one"]));
        set.put(0, Bytes::from_static(b"one"));
    }
    sets.add(set(3, &[b"one"]));

    let newest = sets.newest_complete("m").map(|s| s.version);

    assert_eq!(newest, Some(2));
}

#[test]
fn oldest_version_is_dropped_beyond_the_limit() {
    let sets = ChunkSets::default();
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
        pace: Pace::NORMAL,
    }
}

#[test]
fn engine_restart_is_detected_by_start_time_or_fewer_orders() {
    let before = state(Some(100), 3);

    assert!(state(Some(200), 0).is_new_incarnation(&before));
    assert!(
        state(Some(200), 3).is_new_incarnation(&before),
        "the same number of orders"
    );
    assert!(
        state(None, 0).is_new_incarnation(&state(None, 3)),
        "no start time reported"
    );
    assert!(!state(Some(100), 4).is_new_incarnation(&before));
    assert!(
        !state(None, 3).is_new_incarnation(&before),
        "a start time that is no longer reported"
    );
}

#[test]
fn withdrawn_set_is_unobtainable_unless_loaders_hold_it_together() {
    let set = set(2, &[b"a", b"b"]);
    set.put(0, Bytes::from_static(b"a"));

    let before = set.is_unobtainable();
    set.set_withdrawn(true);
    let withdrawn = set.is_unobtainable();
    set.set_available(2);

    assert!(!before);
    assert!(withdrawn);
    assert!(!set.is_unobtainable());
}

#[test]
fn digest_of_a_chunk_that_is_held_is_never_replaced() {
    let set = set(2, &[b"a", b"b"]);
    set.put(0, Bytes::from_static(b"a"));
    let other = Sha256::digest(b"c").into();

    assert!(!set.correct_digest(0, other));
    assert!(set.correct_digest(1, other));
    assert!(set.is_chunk(0, b"a"));
    assert!(set.put(1, Bytes::from_static(b"c")));
}

#[test]
fn manifest_is_confirmed_by_most_chunks_that_are_held() {
    let held = set(2, &[b"a", b"b", b"c", b"d"]);
    let confirms = |chunks: &[&'static [u8]]| held.confirms(&set(2, chunks).manifest());

    assert!(!confirms(&[b"a", b"b", b"c", b"d"]), "none is held");
    for (i, chunk) in ["a", "b", "c"].into_iter().enumerate() {
        held.put(i, Bytes::from_static(chunk.as_bytes()));
    }

    assert!(confirms(&[b"a", b"b", b"x", b"y"]));
    assert!(!confirms(&[b"a", b"x", b"x", b"d"]));
    assert!(!confirms(&[b"a", b"b", b"c"]), "too few");
}

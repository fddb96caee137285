//! Loaders that fetch a version while its successor is released, between engines and an origin in this process.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{CHUNKS, Fleet, LOADERS, catalog, free_addr, lock, wait_until};

/// Fetches `held` chunks of version 2, and releases version 3 while the origin is unreachable. Version 1 may begin no
/// requests from 0.5 s later on, version 2 until 5.5 s later.
fn release_during_outage(held: usize) -> Fleet {
    let fleet = Fleet::start();
    fleet.open(held);
    fleet.release(2, Duration::from_secs(8));
    wait_until("the origin is unreachable", || fleet.served(2) == held);
    fleet.release(3, Duration::from_secs(3));
    fleet
}

/// Maximum number of chunks that loaders fetch twice while they don't know of each other's fetches yet.
const DUPLICATES: usize = 2 * LOADERS;

/// Guards against chunks of the successor that take the origin's link before the older version is complete.
#[test]
fn older_version_has_precedence_at_the_origin() {
    let fleet = release_during_outage(CHUNKS - 4);

    fleet.open(usize::MAX);

    wait_until("all engines hold version 3", || fleet.all_hold(3));
    let served = lock(&fleet.origin).served.clone();
    let first_of_newer = served.iter().position(|(v, _)| *v == 3).expect("a chunk");
    let mut before: Vec<_> = served[..first_of_newer].iter().map(|(_, i)| *i).collect();
    before.sort_unstable();
    before.dedup();
    assert_eq!(before, (0..CHUNKS).collect::<Vec<_>>(), "{served:?}");
    assert!(fleet.served(2) <= CHUNKS + DUPLICATES, "{served:?}");
    assert!(fleet.served(3) <= CHUNKS + DUPLICATES, "{served:?}");
}

/// Guards against engines that wait for the successor, and serve no version, although the older one is complete.
#[test]
fn engines_serve_the_older_version_until_its_successor_arrives() {
    let fleet = release_during_outage(CHUNKS - 4);

    fleet.open(usize::MAX);

    wait_until("all engines hold version 3", || fleet.all_hold(3));
    for engine in &fleet.engines {
        assert_eq!(lock(engine).orders, [2, 3]);
    }
}

/// Guards against origin bytes for a version that no engine will serve.
#[test]
fn dropped_version_is_not_fetched_again() {
    let fleet = release_during_outage(4);
    fleet.open(usize::MAX);
    wait_until("all engines hold version 3", || fleet.all_hold(3));
    let (requested, served) = (fleet.requested(2), fleet.served(2));

    fleet.release(4, Duration::ZERO);

    wait_until("all engines hold version 4", || fleet.all_hold(4));
    assert_eq!(fleet.requested(2), requested);
    assert!(served < CHUNKS / 2, "{served}");
}

/// Guards against a successor that never starts, or is fetched twice, if the origin fails while the older version is
/// completed.
#[test]
fn origin_that_fails_again_halfway_delays_both_versions() {
    let fleet = release_during_outage(CHUNKS - 8);

    fleet.open(4);
    wait_until("the origin has failed again", || {
        fleet.served(2) + fleet.served(3) >= CHUNKS - 4
    });
    fleet.open(usize::MAX);

    wait_until("all engines hold version 3", || fleet.all_hold(3));
    assert!(
        fleet.served(2) <= CHUNKS + DUPLICATES,
        "{}",
        fleet.served(2)
    );
    assert!(
        fleet.served(3) <= CHUNKS + DUPLICATES,
        "{}",
        fleet.served(3)
    );
}

/// Guards against loaders that wait for each other if one of them has lost its chunks and knows of no older version.
#[test]
fn loader_that_restarts_halfway_holds_up_no_version() {
    let mut fleet = release_during_outage(CHUNKS - 8);
    fleet.open(4);
    wait_until("the older version is being completed", || {
        fleet.served(2) + fleet.served(3) >= CHUNKS - 4
    });

    fleet.restart_loader(0);
    fleet.open(usize::MAX);

    wait_until("all engines hold version 3", || fleet.all_hold(3));
    assert!(
        fleet.served(3) <= CHUNKS + DUPLICATES,
        "{}",
        fleet.served(3)
    );
}

/// Releases version 2 while the origin serves `held` of its chunks and then is unreachable, version 3 after the bound of
/// version 2, and version 4 at once. The origin returns without version 2.
fn withdraw_version_during_outage(fleet: &Fleet, held: usize) {
    fleet.open(held);
    fleet.release(2, Duration::from_secs(12));
    wait_until("the origin is unreachable", || match held {
        0 => fleet.manifests_requested(2) > 0,
        held => fleet.served(2) == held,
    });
    fleet.release(3, Duration::from_secs(1));
    fleet.release(4, Duration::ZERO);
    lock(&fleet.origin).oldest = 3;
    fleet.open(usize::MAX);
}

/// Guards against a fetch that waits for a manifest for good and holds up all later releases.
#[test]
fn version_withdrawn_before_its_manifest_arrived_holds_up_no_release() {
    let fleet = Fleet::start();

    withdraw_version_during_outage(&fleet, 0);

    wait_until("all engines hold version 4", || fleet.all_hold(4));
}

/// Guards against a fetch that waits for chunks for good and holds up all later releases.
#[test]
fn version_withdrawn_halfway_holds_up_no_release() {
    let fleet = Fleet::start();

    withdraw_version_during_outage(&fleet, CHUNKS / 3);

    wait_until("all engines hold version 4", || fleet.all_hold(4));
}

/// Guards against the same with the setting that completes the older version first.
#[test]
fn withdrawn_version_holds_up_no_release_without_prediction() {
    for held in [0, CHUNKS - 4] {
        let fleet = Fleet::start_with(false);

        withdraw_version_during_outage(&fleet, held);

        wait_until("all engines hold version 4", || fleet.all_hold(4));
    }
}

/// Guards against a version that is dropped, although loaders hold it together, since the origin has withdrawn it.
#[test]
fn withdrawn_version_that_loaders_hold_is_completed() {
    let mut fleet = Fleet::start();
    fleet.open(usize::MAX);
    fleet.release(2, Duration::ZERO);
    wait_until("a loader holds version 2", || fleet.served(2) >= CHUNKS);
    lock(&fleet.origin).oldest = 3;
    fleet.restart_loader(0);

    wait_until("all engines hold version 2", || fleet.all_hold(2));
}

/// Guards against a manifest that is believed for good: no chunk matches its wrong digests.
#[test]
fn wrong_digests_in_a_manifest_are_corrected() {
    let fleet = Fleet::start();
    lock(&fleet.origin).wrong_digests = vec![vec![7], vec![5, 6, 31]];
    fleet.open(usize::MAX);

    fleet.release(2, Duration::ZERO);

    wait_until("all engines hold version 2", || fleet.all_hold(2));
}

/// Guards against loaders that keep a wrong digest, or ban the loader that has the right one, when only one of them
/// reaches the origin.
#[test]
fn wrong_digest_is_corrected_by_the_manifest_of_another_loader() {
    let fleet = Fleet::start();
    lock(&fleet.origin).wrong_digests = vec![vec![5]];
    lock(&fleet.origin).is_cut_off = true;
    fleet.open(usize::MAX);

    fleet.release(2, Duration::ZERO);

    wait_until("all engines hold version 2", || fleet.all_hold(2));
}

/// Guards against a chunk that is never requested again after checks of its digest have failed.
#[test]
fn wrong_digest_is_corrected_after_an_outage() {
    let fleet = Fleet::start();
    lock(&fleet.origin).wrong_digests = vec![vec![5]];
    fleet.open(CHUNKS / 2);
    fleet.release(2, Duration::ZERO);
    wait_until("the origin is unreachable", || {
        fleet.served(2) == CHUNKS / 2
    });

    fleet.open(usize::MAX);

    wait_until("all engines hold version 2", || fleet.all_hold(2));
}

/// Guards against a fetch that goes on to ask an address that the origin has left.
#[test]
fn fetch_follows_an_origin_that_moves() {
    for held in [0, CHUNKS / 2] {
        let fleet = Fleet::start();
        fleet.open(held);
        fleet.release(2, Duration::ZERO);
        wait_until("the fetch has started", || match held {
            0 => fleet.manifests_requested(2) > 0,
            held => fleet.served(2) == held,
        });
        let addr = free_addr();
        lock(&fleet.origin).addr = Some(addr);
        fleet.open(usize::MAX);

        let moved = Arc::new(catalog(2, addr));
        fleet.catalog.send_replace(Some(moved));

        wait_until("all engines hold version 2", || fleet.all_hold(2));
    }
}

/// Guards against requests that arrive late and begin on a version whose bound has passed: an engine must refuse them
/// although no newer version is complete.
#[test]
fn engine_unloads_a_version_that_expires_before_a_newer_one_is_complete() {
    let fleet = Fleet::start();
    fleet.open(CHUNKS / 2);

    // The bound is 10 s.
    fleet.release(2, Duration::from_secs(8));

    wait_until("all engines have unloaded version 1", || fleet.all_hold(0));
    fleet.open(usize::MAX);
    wait_until("all engines hold version 2", || fleet.all_hold(2));
    for engine in &fleet.engines {
        assert_eq!(lock(engine).orders, [2]);
    }
}

/// Guards against an order to unload that is repeated at each check, or that delays the switch to the newer version.
#[test]
fn engine_that_refuses_to_unload_is_rarely_asked_and_gets_the_newer_version() {
    let fleet = Fleet::start();
    for engine in &fleet.engines {
        lock(engine).refuses_unload = true;
    }
    fleet.open(CHUNKS / 2);

    // The bound is 10 s.
    let released = Instant::now();
    fleet.release(2, Duration::from_secs(12));
    wait_until("all engines have refused", || {
        let mut engines = fleet.engines.iter();
        engines.all(|e| lock(e).refused_unloads > 0)
    });
    // Several checks at intervals of 100 ms follow while the last chunks are fetched.
    fleet.open(usize::MAX);

    wait_until("all engines hold version 2", || fleet.all_hold(2));
    // An order is repeated every 4 s.
    let max = 1 + released.elapsed().as_secs() / 4;
    for engine in &fleet.engines {
        let engine = lock(engine);
        assert_eq!(engine.orders, [2]);
        assert!(
            engine.refused_unloads as u64 <= max,
            "{}",
            engine.refused_unloads
        );
    }
}

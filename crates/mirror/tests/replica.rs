//! Order of replicas, their ages, and gaps between their confirmations by the store.

use std::time::{Duration, Instant};

use base::{Era, StoreRevision};
use bytes::Bytes;
use mirror::Mirror;

const NAME: &str = "upstreams";

/// Longer than any step of a test.
const SLACK: Duration = Duration::from_secs(30);

/// Returns a revision of a store that states no era.
fn rev(number: u64) -> StoreRevision {
    StoreRevision::new(None, number)
}

fn body() -> Bytes {
    Bytes::from_static(b"body")
}

fn ago(age: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(age)
        .expect("an instant after the boot of the VM")
}

fn gap(mirror: &Mirror) -> Duration {
    mirror.get(NAME).expect("a replica").gap
}

#[test]
fn newer_replica_records_the_gap_between_confirmations() {
    let mirror = Mirror::default();
    mirror.update(NAME, rev(1), body(), ago(SLACK * 10));
    let first = gap(&mirror);

    mirror.update(NAME, rev(2), body(), Instant::now());

    assert_eq!(first, Duration::ZERO);
    assert!(gap(&mirror) >= SLACK * 10);
}

#[test]
fn confirmation_of_the_held_revision_shortens_the_gap() {
    let mirror = Mirror::default();
    mirror.update(NAME, rev(1), body(), ago(SLACK * 10));
    mirror.confirm(NAME, rev(1), ago(SLACK));
    mirror.confirm(NAME, rev(7), Instant::now());

    mirror.update(NAME, rev(2), body(), Instant::now());

    let gap = gap(&mirror);
    assert!(gap >= SLACK && gap < SLACK * 2, "{gap:?}");
}

#[test]
fn older_replicas_and_older_confirmations_are_ignored() {
    let mirror = Mirror::default();
    mirror.update(NAME, rev(2), body(), Instant::now());

    let is_newer = mirror.update(NAME, rev(1), body(), Instant::now());
    mirror.confirm(NAME, rev(2), ago(SLACK * 10));

    assert!(!is_newer);
    assert_eq!(mirror.revision(NAME), rev(2));
    assert!(mirror.age(NAME).expect("a replica") < SLACK);
}

/// Returns a revision of an era of the store.
fn in_era(era: Era, number: u64) -> StoreRevision {
    StoreRevision::new(Some(era), number)
}

#[test]
fn replica_of_a_restored_store_replaces_one_with_a_higher_number() {
    let mirror = Mirror::default();
    mirror.update(NAME, in_era(1, 9), body(), Instant::now());

    let is_newer = mirror.update(NAME, in_era(2, 3), body(), Instant::now());
    let is_back = mirror.update(NAME, in_era(1, 10), body(), Instant::now());

    assert!(is_newer && !is_back);
    assert_eq!(mirror.revision(NAME), in_era(2, 3));
}

#[test]
fn same_number_of_an_earlier_era_confirms_nothing() {
    let mirror = Mirror::default();
    mirror.update(NAME, in_era(2, 3), body(), ago(SLACK * 10));

    mirror.confirm(NAME, in_era(1, 3), Instant::now());
    mirror.update(NAME, in_era(1, 3), body(), Instant::now());

    assert!(mirror.age(NAME).expect("a replica") > SLACK);
}

#[test]
fn era_that_is_not_stated_is_the_only_known_one() {
    let mirror = Mirror::default();
    let before = mirror.resolve(None, 5);
    mirror.update(NAME, in_era(1, 9), body(), Instant::now());
    let only_one = mirror.resolve(None, 5);
    mirror.update(NAME, in_era(2, 3), body(), Instant::now());

    assert_eq!((before, only_one), (Some(rev(5)), Some(in_era(1, 5))));
    assert_eq!(mirror.resolve(None, 5), None);
    assert_eq!(mirror.resolve(Some(1), 5), Some(in_era(1, 5)));
}

//! Ages of replicas, and gaps between their confirmations by the store.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mirror::Mirror;

const NAME: &str = "upstreams";

/// Longer than any step of a test.
const SLACK: Duration = Duration::from_secs(30);

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
    mirror.update(NAME, 1, body(), ago(SLACK * 10));
    let first = gap(&mirror);

    mirror.update(NAME, 2, body(), Instant::now());

    assert_eq!(first, Duration::ZERO);
    assert!(gap(&mirror) >= SLACK * 10);
}

#[test]
fn confirmation_of_the_held_revision_shortens_the_gap() {
    let mirror = Mirror::default();
    mirror.update(NAME, 1, body(), ago(SLACK * 10));
    mirror.confirm(NAME, 1, ago(SLACK));
    mirror.confirm(NAME, 7, Instant::now());

    mirror.update(NAME, 2, body(), Instant::now());

    let gap = gap(&mirror);
    assert!(gap >= SLACK && gap < SLACK * 2, "{gap:?}");
}

#[test]
fn older_replicas_and_older_confirmations_are_ignored() {
    let mirror = Mirror::default();
    mirror.update(NAME, 2, body(), Instant::now());

    let is_newer = mirror.update(NAME, 1, body(), Instant::now());
    mirror.confirm(NAME, 2, ago(SLACK * 10));

    assert!(!is_newer);
    assert_eq!(mirror.revision(NAME), 2);
    assert!(mirror.age(NAME).expect("a replica") < SLACK);
}

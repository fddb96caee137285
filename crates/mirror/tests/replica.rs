//! Ages of copies, and how long the store had confirmed none.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mirror::Mirror;

const NAME: &str = "upstreams";

/// Longer than any step of a test takes.
const SLACK: Duration = Duration::from_secs(30);

fn body() -> Bytes {
    Bytes::from_static(b"body")
}

fn ago(age: Duration) -> Instant {
    let now = Instant::now();
    now.checked_sub(age)
        .expect("a moment after the machine's start")
}

fn gap(mirror: &Mirror) -> Duration {
    mirror.get(NAME).expect("a copy").gap
}

#[test]
fn a_newer_copy_tells_how_long_the_store_had_confirmed_none() {
    let mirror = Mirror::default();
    mirror.update(NAME, 1, body(), ago(SLACK * 10));
    let first = gap(&mirror);

    mirror.update(NAME, 2, body(), Instant::now());

    assert_eq!(first, Duration::ZERO);
    assert!(gap(&mirror) >= SLACK * 10);
}

#[test]
fn a_confirmation_of_the_copy_held_ends_the_gap() {
    let mirror = Mirror::default();
    mirror.update(NAME, 1, body(), ago(SLACK * 10));
    mirror.confirm(NAME, 1, ago(SLACK));
    mirror.confirm(NAME, 7, Instant::now());

    mirror.update(NAME, 2, body(), Instant::now());

    let gap = gap(&mirror);
    assert!(gap >= SLACK && gap < SLACK * 2, "{gap:?}");
}

#[test]
fn an_older_copy_and_an_older_confirmation_change_nothing() {
    let mirror = Mirror::default();
    mirror.update(NAME, 2, body(), Instant::now());

    let taken = mirror.update(NAME, 1, body(), Instant::now());
    mirror.confirm(NAME, 2, ago(SLACK * 10));

    assert!(!taken);
    assert_eq!(mirror.revision(NAME), 2);
    assert!(mirror.age(NAME).expect("a copy") < SLACK);
}

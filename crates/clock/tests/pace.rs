//! Pace of the clock without suspensions, in a process of its own.

use std::time::{Duration, Instant};

#[test]
fn keeps_pace_with_the_monotonic_clock_and_never_goes_back() {
    let (monotonic, first) = (Instant::now(), clock::now());
    let mut last = first;
    while monotonic.elapsed() < Duration::from_millis(20) {
        let now = clock::now();
        assert!(now >= last);
        last = now;
    }

    let limit = monotonic.elapsed() + Duration::from_millis(1);
    let elapsed = last - first;

    assert!(elapsed <= limit, "{elapsed:?} of {limit:?}");
}

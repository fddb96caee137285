//! The pace of the clock, in a process whose clock doesn't jump.

use std::time::{Duration, Instant};

#[test]
fn it_goes_at_the_pace_of_the_steady_clock_and_never_back() {
    let (steady, first) = (Instant::now(), clock::now());
    let mut last = first;
    while steady.elapsed() < Duration::from_millis(20) {
        let now = clock::now();
        assert!(now >= last);
        last = now;
    }

    let longest = steady.elapsed() + Duration::from_millis(1);
    let passed = last - first;

    assert!(passed <= longest, "{passed:?} of {longest:?}");
}

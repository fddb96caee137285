//! Which requests count as tries again.

use std::time::{Duration, Instant};

use decide::attempt_age::AttemptAgeEstimator;

const FIRST: Duration = Duration::from_millis(6000);

/// Takes `n` requests whose callers wait for a time.
fn take(stated: &mut AttemptAgeEstimator, n: usize, patience: Duration, now: Instant) {
    for _ in 0..n {
        stated.observe(patience, now);
    }
}

#[test]
fn a_caller_that_waits_for_less_than_the_others_asked_before() {
    let now = Instant::now();
    let mut stated = AttemptAgeEstimator::new(now);
    take(&mut stated, 50, FIRST, now);

    let again = stated.observe(Duration::from_millis(4400), now);
    let delayed = stated.observe(Duration::from_millis(5990), now);

    assert_eq!(again, Duration::from_millis(1600));
    assert_eq!(delayed, Duration::ZERO);
}

#[test]
fn it_does_so_also_when_every_caller_is_refused_once() {
    let now = Instant::now();
    let mut stated = AttemptAgeEstimator::new(now);

    for _ in 0..500 {
        stated.observe(FIRST, now);
        let again = stated.observe(Duration::from_millis(4300), now);
        assert_eq!(again, Duration::from_millis(1700));
    }
}

#[test]
fn nothing_follows_where_callers_state_all_kinds_of_times() {
    let now = Instant::now();
    let mut stated = AttemptAgeEstimator::new(now);
    for i in 0..1000 {
        let ms = 1000 + i * 1237 % 5000;
        stated.observe(Duration::from_millis(ms), now);
    }

    let any = stated.observe(Duration::from_millis(2000), now);

    assert_eq!(any, Duration::ZERO);
}

/// A time that a first try states where callers' times differ by up to 15 in 100.
fn differing(i: u64) -> Duration {
    Duration::from_millis(5100 + i * 317 % 900)
}

#[test]
fn first_tries_count_as_such_where_their_callers_times_differ() {
    let now = Instant::now();
    let mut stated = AttemptAgeEstimator::new(now);
    for i in 0..50 {
        stated.observe(differing(i), now);
    }

    let waited = (0..500).map(|i| stated.observe(differing(i), now));

    assert_eq!(waited.max(), Some(Duration::ZERO));
}

#[test]
fn a_refused_caller_is_told_from_first_tries_whose_times_differ() {
    let now = Instant::now();
    let mut stated = AttemptAgeEstimator::new(now);
    for i in 0..50 {
        stated.observe(differing(i), now);
    }

    for i in 0..500 {
        stated.observe(differing(i), now);
        let again = stated.observe(differing(i) - Duration::from_millis(2000), now);
        assert!(again >= Duration::from_millis(1900), "{again:?}");
    }
}

#[test]
fn a_time_that_no_caller_states_any_more_is_forgotten() {
    let now = Instant::now();
    let mut stated = AttemptAgeEstimator::new(now);
    take(&mut stated, 10, FIRST, now);
    let later = now + Duration::from_secs(11);
    take(&mut stated, 1, Duration::from_secs(3), later);

    let waited = stated.observe(Duration::from_millis(2950), later);

    assert_eq!(waited, Duration::ZERO, "3 s is the longest now");
    assert!(stated.observe(Duration::from_millis(2000), later) > Duration::ZERO);
}

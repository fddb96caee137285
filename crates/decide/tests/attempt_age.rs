//! Attempt ages that are inferred from callers' timeouts.

use std::time::{Duration, Instant};

use decide::attempt_age::AttemptAgeEstimator;

const FIRST_TIMEOUT: Duration = Duration::from_millis(6000);

/// Observes `n` requests with a timeout.
fn observe_many(estimator: &mut AttemptAgeEstimator, n: usize, timeout: Duration, now: Instant) {
    for _ in 0..n {
        estimator.observe(timeout, now);
    }
}

#[test]
fn shorter_timeout_counts_as_retry() {
    let now = Instant::now();
    let mut estimator = AttemptAgeEstimator::new(now);
    observe_many(&mut estimator, 50, FIRST_TIMEOUT, now);

    let retry = estimator.observe(Duration::from_millis(4400), now);
    let delayed = estimator.observe(Duration::from_millis(5990), now);

    assert_eq!(retry, Duration::from_millis(1600));
    assert_eq!(delayed, Duration::ZERO);
}

#[test]
fn retries_are_detected_when_every_caller_is_refused_once() {
    let now = Instant::now();
    let mut estimator = AttemptAgeEstimator::new(now);

    for _ in 0..500 {
        estimator.observe(FIRST_TIMEOUT, now);
        let retry = estimator.observe(Duration::from_millis(4300), now);
        assert_eq!(retry, Duration::from_millis(1700));
    }
}

#[test]
fn arbitrary_timeouts_count_as_first_attempts() {
    let now = Instant::now();
    let mut estimator = AttemptAgeEstimator::new(now);
    for i in 0..1000 {
        let ms = 1000 + i * 1237 % 5000;
        estimator.observe(Duration::from_millis(ms), now);
    }

    let age = estimator.observe(Duration::from_millis(2000), now);

    assert_eq!(age, Duration::ZERO);
}

/// Timeout of a first attempt, where timeouts differ by up to 15 in 100.
fn first_timeout(i: u64) -> Duration {
    Duration::from_millis(5100 + i * 317 % 900)
}

#[test]
fn differing_first_timeouts_count_as_first_attempts() {
    let now = Instant::now();
    let mut estimator = AttemptAgeEstimator::new(now);
    for i in 0..50 {
        estimator.observe(first_timeout(i), now);
    }

    let ages = (0..500).map(|i| estimator.observe(first_timeout(i), now));

    assert_eq!(ages.max(), Some(Duration::ZERO));
}

#[test]
fn retries_are_detected_among_differing_first_timeouts() {
    let now = Instant::now();
    let mut estimator = AttemptAgeEstimator::new(now);
    for i in 0..50 {
        estimator.observe(first_timeout(i), now);
    }

    for i in 0..500 {
        estimator.observe(first_timeout(i), now);
        let retry = estimator.observe(first_timeout(i) - Duration::from_millis(2000), now);
        assert!(retry >= Duration::from_millis(1900), "{retry:?}");
    }
}

#[test]
fn longest_timeout_expires_when_no_caller_states_it() {
    let now = Instant::now();
    let mut estimator = AttemptAgeEstimator::new(now);
    observe_many(&mut estimator, 10, FIRST_TIMEOUT, now);
    let later = now + Duration::from_secs(11);
    observe_many(&mut estimator, 1, Duration::from_secs(3), later);

    let age = estimator.observe(Duration::from_millis(2950), later);

    assert_eq!(age, Duration::ZERO, "the longest timeout is now 3 s");
    assert!(estimator.observe(Duration::from_millis(2000), later) > Duration::ZERO);
}

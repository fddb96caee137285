//! Second attempts beside a silent upstream.

use std::time::Duration;

use decide::hedging::{AttemptCount, Silence, delay, first_event_wait};

const MAX: Duration = Duration::from_millis(1200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn second_attempt_has_as_long_as_the_first_one() {
    assert_eq!(delay(MAX, ms(6000)), MAX);
    assert_eq!(delay(MAX, ms(1000)), ms(500));
    assert_eq!(delay(MAX, Duration::ZERO), Duration::ZERO);
}

#[test]
fn pause_of_an_upstream_is_not_taken_for_a_failed_request() {
    // Another request's last event came 40 ms after that of the silent one.
    assert_eq!(Silence::classify(MAX, ms(1160)), Silence::Upstream);
    // This gateway has no other request there.
    assert_eq!(Silence::classify(MAX, MAX), Silence::Upstream);
}

#[test]
fn request_that_hangs_beside_others_is_not_taken_for_a_pause() {
    assert_eq!(Silence::classify(MAX, ms(30)), Silence::Request);
}

#[test]
fn second_attempt_exceeds_no_limit() {
    let count = AttemptCount {
        sent: 1,
        max: 2,
        in_progress: 1,
    };

    assert!(count.allows_second(true));
    assert!(!count.allows_second(false));
    assert!(!AttemptCount { max: 1, ..count }.allows_second(true));
    assert!(
        !AttemptCount {
            sent: 2,
            max: 3,
            in_progress: 2
        }
        .allows_second(true)
    );
}

#[test]
fn caller_has_its_response_before_it_leaves() {
    assert_eq!(first_event_wait(ms(100), None), ms(1900));
    assert_eq!(first_event_wait(ms(600), Some(ms(200))), ms(2300));
    assert_eq!(first_event_wait(ms(400), Some(ms(400))), ms(3100));
}

//! Schedule of chunk fetches from the origin.

use std::time::{Duration, Instant};

use loader::schedule::OriginSchedule;

const CHUNK_TIME: Duration = Duration::from_millis(27);

/// Returns the chunks that are due some time after the start.
fn due(held: &[bool], after: Duration) -> Vec<usize> {
    let started = Instant::now();
    let schedule = OriginSchedule::new(CHUNK_TIME, held, started);
    let is_due = |i: &usize| schedule.is_due(*i, started + after);
    (0..held.len()).filter(is_due).collect()
}

#[test]
fn chunks_are_scheduled_sequentially() {
    let none = [false; 4];

    assert_eq!(due(&none, Duration::ZERO), [0]);
    assert_eq!(due(&none, CHUNK_TIME), [0, 1]);
    assert_eq!(due(&none, CHUNK_TIME * 3), [0, 1, 2, 3]);
}

#[test]
fn held_chunks_take_no_time_of_the_schedule() {
    let held = [true, false, true, true, false, false];

    let first = due(&held, Duration::ZERO);
    let next = due(&held, CHUNK_TIME);

    assert_eq!(first.iter().filter(|i| !held[**i]).count(), 1);
    assert_eq!(next.iter().filter(|i| !held[**i]).count(), 2);
}

/// Guards against an origin's link that is idle until a loader that received the manifest late has caught up.
#[test]
fn schedule_advances_to_the_progress_of_other_loaders() {
    let started = Instant::now();
    let held = [true, false, false, false, false, false, false, false];
    let mut schedule = OriginSchedule::new(CHUNK_TIME, &held, started);
    let now = started + CHUNK_TIME / 2;

    // Two chunks were carried since the start, and two more are in transit.
    schedule.advance(3, now);

    let due: Vec<usize> = (0..held.len())
        .filter(|i| schedule.is_due(*i, now))
        .collect();
    assert_eq!(due, [0, 1, 2, 3, 4, 5]);
}

/// Guards against a link that is shared by more chunks than it was planned for.
#[test]
fn schedule_is_not_changed_by_expected_progress() {
    let started = Instant::now();
    let mut schedule = OriginSchedule::new(CHUNK_TIME, &[false; 8], started);
    let now = started + CHUNK_TIME * 4;

    (0..=2).for_each(|held| schedule.advance(held, now));

    assert!(schedule.is_due(4, now) && !schedule.is_due(5, now));
}

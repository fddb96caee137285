//! When chunks are due to be drawn from the origin.

use std::time::{Duration, Instant};

use loader::order::Order;

const CHUNK_TIME: Duration = Duration::from_millis(27);

/// Chunks that are due some time after the beginning.
fn due(held: &[bool], after: Duration) -> Vec<usize> {
    let begun = Instant::now();
    let order = Order::new(CHUNK_TIME, held, begun);
    let is_due = |i: &usize| order.is_due(*i, begun + after);
    (0..held.len()).filter(is_due).collect()
}

#[test]
fn chunks_are_drawn_one_after_the_other() {
    let nothing = [false; 4];

    assert_eq!(due(&nothing, Duration::ZERO), [0]);
    assert_eq!(due(&nothing, CHUNK_TIME), [0, 1]);
    assert_eq!(due(&nothing, CHUNK_TIME * 3), [0, 1, 2, 3]);
}

#[test]
fn what_others_hold_takes_no_time_of_the_origin() {
    let held = [true, false, true, true, false, false];

    let at_once = due(&held, Duration::ZERO);
    let next = due(&held, CHUNK_TIME);

    assert_eq!(at_once.iter().filter(|i| !held[**i]).count(), 1);
    assert_eq!(next.iter().filter(|i| !held[**i]).count(), 2);
}

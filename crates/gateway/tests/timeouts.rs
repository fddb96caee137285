//! Timeouts of callers' connections across changes of the configuration.

use std::time::{Duration, Instant};

use gateway::timeouts::ChangingTimeout;

const CONFIG_TIME: Duration = Duration::from_secs(2);

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Guards against a raised timeout that leaves out connections which are open already.
#[test]
fn longer_timeout_applies_at_once_to_waits_that_have_begun() {
    let start = Instant::now();
    let mut timeouts = ChangingTimeout::new(secs(1), CONFIG_TIME);

    timeouts.replace(secs(10), start + secs(5));

    assert_eq!(timeouts.at(start), secs(10));
}

/// Guards against a lowered timeout that closes connections of callers that still know the previous one.
#[test]
fn shorter_timeout_applies_to_waits_that_begin_after_callers_know_it() {
    let start = Instant::now();
    let mut timeouts = ChangingTimeout::new(secs(10), CONFIG_TIME);

    timeouts.replace(secs(1), start + secs(5));

    assert_eq!(timeouts.at(start), secs(10));
    assert_eq!(timeouts.at(start + secs(6)), secs(10));
    assert_eq!(timeouts.at(start + secs(7)), secs(1));
}

/// Guards against a second change that forgets the timeout before the first.
#[test]
fn longest_of_several_recent_timeouts_applies() {
    let start = Instant::now();
    let mut timeouts = ChangingTimeout::new(secs(10), CONFIG_TIME);

    timeouts.replace(secs(1), start + secs(5));
    timeouts.replace(secs(3), start + secs(6));
    timeouts.replace(secs(2), start + secs(9));

    assert_eq!(timeouts.at(start + secs(4)), secs(10));
    assert_eq!(timeouts.at(start + secs(7)), secs(3));
    assert_eq!(timeouts.at(start + secs(12)), secs(2));
}

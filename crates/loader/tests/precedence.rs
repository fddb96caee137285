//! What a successor may fetch from the origin while an older version is completed first.

use std::time::{Duration, Instant};

use loader::precedence::{Access, MAX_STALL, Precedence, Progress};

fn progress(missing: usize, stalled_for: Duration, newer_held: usize) -> Progress {
    Progress {
        is_finished: false,
        missing,
        stalled_for,
        newer_held,
    }
}

#[test]
fn successor_waits_until_loaders_hold_the_older_version() {
    let now = Instant::now();
    let mut precedence = Precedence::default();
    let mut access = |missing| precedence.access(&progress(missing, Duration::ZERO, 0), now);

    assert_eq!(access(19), Access::Wait);
    assert_eq!(access(1), Access::Wait);
    assert_eq!(access(0), Access::Full);
}

#[test]
fn successor_starts_if_the_older_fetch_ends() {
    let ended = Progress {
        is_finished: true,
        ..progress(19, Duration::ZERO, 0)
    };

    let access = Precedence::default().access(&ended, Instant::now());

    assert_eq!(access, Access::Full);
}

/// Guards against a successor that takes the origin's link right after an outage, and against an order that was
/// right only before it.
#[test]
fn order_is_decided_again_after_an_outage() {
    let now = Instant::now();
    let mut precedence = Precedence::default();
    let mut access = |stalled_for| precedence.access(&progress(9, stalled_for, 0), now);

    assert_eq!(access(Duration::ZERO), Access::Wait);
    assert_eq!(access(MAX_STALL), Access::Probe);
    assert_eq!(access(Duration::ZERO), Access::DecideAgain);
    assert_eq!(access(Duration::ZERO), Access::Wait);
}

/// Guards against a successor that waits for a version that the origin doesn't provide any more.
#[test]
fn successor_starts_if_only_it_makes_progress() {
    let now = Instant::now();
    let mut precedence = Precedence::default();
    let mut access = |held, at| precedence.access(&progress(9, MAX_STALL, held), at);

    assert_eq!(access(0, now), Access::Probe);
    assert_eq!(access(1, now), Access::Probe);
    assert_eq!(access(1, now + MAX_STALL), Access::Full);
}

#[test]
fn successor_probes_an_unreachable_origin_for_as_long_as_it_is_unreachable() {
    let now = Instant::now();
    let mut precedence = Precedence::default();

    for i in 0..20 {
        let at = now + MAX_STALL * i;
        let access = precedence.access(&progress(9, MAX_STALL * (i + 1), 0), at);
        assert_eq!(access, Access::Probe);
    }
}

//! Polls of the engine's pace, and updates of it.

use std::time::{Duration, Instant};

use loader::pace::{Pace, PaceTracker, poll_pause};
use settings::LoaderCfg;

const MS: Duration = Duration::from_millis(1);

fn cfg() -> LoaderCfg {
    let text = "role: loader\nvm: l-1\ndomain: recife\nservice: llm\nengine: 127.0.0.1:1\nchunks: 127.0.0.1:2\nbeacon: 127.0.0.1:3\nmetrics: 127.0.0.1:4\nstore: 127.0.0.1:5\n";
    match settings::check(text).expect("valid settings") {
        settings::Settings::Loader(cfg) => *cfg,
        _ => panic!("expected settings of a loader"),
    }
}

fn slow() -> Pace {
    Pace::from_report(Some(2.5))
}

/// Polls every 50 ms of a range and returns the times of the updates; times in ms.
fn updates(
    paces: &mut PaceTracker,
    start: Instant,
    range: std::ops::Range<u32>,
    pace: impl Fn(u32) -> Pace,
) -> Vec<u32> {
    let polls = range.step_by(50);
    polls
        .filter(|ms| paces.observe(pace(*ms), start + MS * *ms).is_some())
        .collect()
}

/// Guards against a deployment with even engines that gets more polls or datagrams than before.
#[test]
fn engine_of_normal_pace_is_polled_as_configured_and_sends_nothing() {
    let (cfg, start) = (cfg(), Instant::now());
    let mut paces = PaceTracker::new(start);

    let sent = updates(&mut paces, start, 0..120_000, |_| Pace::NORMAL);

    assert_eq!(sent, [0; 0]);
    assert_eq!(poll_pause(&cfg, &paces, start, start + MS), cfg.engine_poll);
}

/// Guards against values of a foreign engine that would make it count as infinitely slow.
#[test]
fn missing_or_unusable_pace_counts_as_normal() {
    let unusable = [f64::NAN, f64::INFINITY, 0.0, -2.5, 1e9];

    assert_eq!(Pace::from_report(None), Pace::NORMAL);
    for pace in unusable {
        assert_eq!(Pace::from_report(Some(pace)), Pace::NORMAL, "{pace}");
    }
    assert_eq!(Pace::from_report(Some(1.01)), Pace::NORMAL);
    assert_eq!(slow().thousandths(), 2500);
}

/// Guards against changes that are found late: from the first slow period on, polls are 50 ms apart, however long each
/// takes, until none was seen for 30 s.
#[test]
fn engine_of_varying_pace_is_polled_every_50_ms() {
    let (cfg, start) = (cfg(), Instant::now());
    let mut paces = PaceTracker::new(start);
    paces.observe(slow(), start);
    paces.observe(Pace::NORMAL, start + MS * 600);

    let pause = |after: u32| {
        let now = start + MS * after;
        poll_pause(&cfg, &paces, now - MS * 8, now)
    };

    assert_eq!(pause(650), MS * 42);
    assert_eq!(pause(29_990), MS * 42);
    assert_eq!(pause(30_010), cfg.engine_poll);
}

/// Guards against lost datagrams: a change is repeated, and a pace that isn't normal before it expires after 3 s.
#[test]
fn change_is_sent_at_once_and_repeated() {
    let start = Instant::now();
    let mut paces = PaceTracker::new(start);
    let is_slow = |ms: u32| (1_000..4_000).contains(&ms);
    let pace = |ms| match is_slow(ms) {
        true => slow(),
        false => Pace::NORMAL,
    };

    let sent = updates(&mut paces, start, 0..10_000, pace);

    assert_eq!(
        sent,
        [1_000, 1_100, 1_250, 2_250, 3_250, 4_000, 4_100, 4_250]
    );
}

/// Guards against an engine whose pace changes at every poll and that floods the gateways with updates, or whose last
/// change isn't sent.
#[test]
fn updates_of_rapid_changes_are_limited_and_the_last_change_is_sent() {
    let start = Instant::now();
    let mut paces = PaceTracker::new(start);
    let alternating = |ms: u32| match ms % 100 {
        0 => slow(),
        _ => Pace::from_report(Some(2.0)),
    };

    let rapid = updates(&mut paces, start, 0..10_000, alternating);
    let after = updates(&mut paces, start, 10_000..10_500, |_| Pace::NORMAL);

    assert!(rapid.len() <= 51, "{} updates in 10 s", rapid.len());
    assert!(after.first().is_some_and(|ms| *ms <= 10_100), "{after:?}");
}

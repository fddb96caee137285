//! Which parts of prompts are blamed for exits of upstreams.

use std::time::{Duration, Instant};

use base::Fingerprint;
use decide::part_evidence::{LostRun, PartEvidence};

const HOLD_TIME: Duration = Duration::from_secs(600);

/// Time that a run takes from its start to the exit.
const RUN_TIME: u64 = 300;

fn part(n: u64) -> Fingerprint {
    Fingerprint::of(&[b"part", &n.to_le_bytes()])
}

fn parts(all: &[u64]) -> Vec<Fingerprint> {
    all.iter().copied().map(part).collect()
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a run of a request of its own that started `at` milliseconds after `start`.
fn run(start: Instant, at: u64, incarnation: u64, all: &[u64]) -> LostRun {
    let id = [at, incarnation, all.iter().sum()].map(u64::to_le_bytes);
    LostRun {
        request: Fingerprint::of(&[id.as_flattened()]),
        incarnation,
        started: start + ms(at),
        ended: start + ms(at + RUN_TIME),
        parts: parts(all),
    }
}

/// Adds lost runs, given their start times, incarnations and parts.
fn with_runs(start: Instant, runs: &[(u64, u64, &[u64])]) -> PartEvidence {
    let mut evidence = PartEvidence::new(HOLD_TIME);
    for (at, incarnation, all) in runs {
        assert!(evidence.add(run(start, *at, *incarnation, all)));
    }
    evidence
}

fn blamed(evidence: &mut PartEvidence) -> Vec<Fingerprint> {
    let mut blamed: Vec<_> = evidence.blame().into_iter().map(|b| b.part).collect();
    blamed.sort_unstable();
    blamed
}

#[test]
fn part_of_four_successive_exits_is_blamed_once() {
    let start = Instant::now();
    let mut evidence = with_runs(
        start,
        &[(0, 1, &[1, 9]), (400, 2, &[2, 9]), (800, 3, &[3, 9])],
    );
    assert_eq!(blamed(&mut evidence), []);

    evidence.add(run(start, 1200, 4, &[4, 9]));

    assert_eq!(blamed(&mut evidence), [part(9)]);
    assert_eq!(blamed(&mut evidence), []);
}

#[test]
fn simultaneous_exits_count_once() {
    let start = Instant::now();
    let runs: Vec<_> = (0..20).map(|i| (i * 10, i, &[9][..])).collect();
    let mut evidence = with_runs(start, &runs);

    assert_eq!(blamed(&mut evidence), []);
}

#[test]
fn part_that_completes_between_exits_is_not_blamed() {
    let start = Instant::now();
    let mut evidence = with_runs(start, &[(0, 1, &[1, 9]), (400, 2, &[1, 9])]);

    let cleared = evidence.record_completion(&parts(&[1, 2]), start + ms(750));
    evidence.add(run(start, 800, 3, &[1, 9]));
    evidence.add(run(start, 1200, 4, &[1, 9]));

    assert_eq!(cleared, [part(1)]);
    assert_eq!(blamed(&mut evidence), [part(9)]);
}

#[test]
fn completion_that_becomes_known_late_clears_no_later_exit() {
    let start = Instant::now();
    let mut evidence = with_runs(
        start,
        &[
            (0, 1, &[9]),
            (400, 2, &[9]),
            (800, 3, &[9]),
            (1200, 4, &[9]),
        ],
    );

    let before_all = evidence.record_completion(&parts(&[9]), start + ms(200));
    assert_eq!(blamed(&mut evidence), [part(9)]);
    let before_last = evidence.record_completion(&parts(&[9]), start + ms(1000));

    assert_eq!((before_all, before_last), (vec![], parts(&[9])));
    assert_eq!(blamed(&mut evidence), []);
}

#[test]
fn part_of_fewer_exits_is_not_blamed_for_those_of_another() {
    let start = Instant::now();
    // Requests with part 1 are interrupted by the cause's exits.
    let mut evidence = with_runs(
        start,
        &[
            (0, 1, &[9]),
            (10, 1, &[1]),
            (400, 2, &[9]),
            (410, 2, &[1]),
            (800, 3, &[9]),
            (810, 3, &[1]),
            (1200, 4, &[9]),
            (1210, 4, &[1]),
            (1600, 5, &[9]),
        ],
    );

    assert_eq!(blamed(&mut evidence), [part(9)]);
    assert!(!evidence.is_doubtful(&part(9), &parts(&[9])));
}

#[test]
fn requests_with_one_of_several_blamed_parts_are_doubtful_until_it_is_known_which() {
    let start = Instant::now();
    let mut evidence = with_runs(
        start,
        &[
            (0, 1, &[1, 9]),
            (400, 2, &[1, 9]),
            (800, 3, &[1, 9]),
            (1200, 4, &[1, 9]),
        ],
    );
    let mut both = parts(&[1, 9]);
    both.sort_unstable();
    assert_eq!(blamed(&mut evidence), both);
    assert!(!evidence.is_doubtful(&part(1), &parts(&[1, 9])));
    assert!(evidence.is_doubtful(&part(1), &parts(&[1])));

    evidence.record_completion(&parts(&[1]), start + ms(2000));

    assert!(!evidence.is_doubtful(&part(9), &parts(&[2, 9])));
}

#[test]
fn updates_in_any_order_blame_the_same_part() {
    let start = Instant::now();
    let runs: [(u64, u64, &[u64]); 5] = [
        (0, 1, &[1, 9]),
        (10, 1, &[2]),
        (400, 2, &[2, 9]),
        (800, 3, &[1, 9]),
        (1200, 4, &[2, 9]),
    ];
    for first in 0..runs.len() {
        let mut runs = runs;
        runs.rotate_left(first);
        let mut evidence = with_runs(start, &runs);
        assert!(!evidence.add(run(start, runs[0].0, runs[0].1, runs[0].2)));

        assert_eq!(blamed(&mut evidence), [part(9)]);
    }
}

#[test]
fn evidence_expires() {
    let start = Instant::now();
    let mut evidence = with_runs(start, &[(0, 1, &[9]), (400, 2, &[9]), (800, 3, &[9])]);

    evidence.expire(start + HOLD_TIME + ms(2000));
    evidence.add(run(start, 602_000, 4, &[9]));

    assert_eq!(blamed(&mut evidence), []);
}

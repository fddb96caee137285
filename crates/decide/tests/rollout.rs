//! Decision whether a version in progress is completed before its successor, when the origin was unreachable in between.

use std::time::{Duration, Instant};

use decide::rollout::{
    Candidate, Complete, Decision, GATEWAY_MARGIN, Inputs, Links, MIN_USEFUL, ObservedRate,
    Prediction, Release, TIE, decide, follows_within_bound, may_begin_until, predict, takes_older,
    unload_at,
};
use proptest::prelude::*;

const SWITCH: Duration = Duration::from_millis(600);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A deployment with its origin.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    chunks: usize,
    bound: Duration,
    links: Links,
}

fn kiosks() -> Fleet {
    let links = Links {
        origin_chunk: Duration::from_micros(44_130),
        loader_chunk: Duration::from_micros(34_490),
        observed_chunk: None,
        loaders: 76,
    };
    Fleet {
        chunks: 64,
        bound: ms(10_300),
        links,
    }
}

fn payments() -> Fleet {
    let links = Links {
        origin_chunk: Duration::from_micros(44_890),
        loader_chunk: Duration::from_micros(26_930),
        observed_chunk: None,
        loaders: 98,
    };
    Fleet {
        chunks: 96,
        bound: ms(13_400),
        links,
    }
}

/// Two releases and an outage of the origin between them. Times in ms after the start of the process.
#[derive(Debug, Clone, Copy)]
struct Outage {
    /// Release of version 2.
    first: u64,
    /// Release of version 3.
    second: u64,
    /// End of the outage, at which the manifest of version 3 arrives.
    end: u64,
    /// Chunks of version 2 that loaders hold.
    held: usize,
    /// Observed time per chunk.
    observed: Option<Duration>,
}

fn run(fleet: &Fleet, outage: &Outage) -> (Decision, Prediction) {
    let start = Instant::now();
    let releases = releases(start, outage);
    let inputs = inputs(fleet, outage, start, &releases);
    let prediction = predict(&inputs);
    (decide(&inputs, &prediction), prediction)
}

fn releases(start: Instant, outage: &Outage) -> [Release; 2] {
    let release = |version, at| Release {
        version,
        at: start + ms(at),
    };
    [release(2, outage.first), release(3, outage.second)]
}

fn inputs<'a>(
    fleet: &Fleet,
    outage: &Outage,
    start: Instant,
    releases: &'a [Release],
) -> Inputs<'a> {
    let candidate = |version, missing| Candidate {
        version,
        chunks: fleet.chunks,
        missing,
    };
    Inputs {
        now: start + ms(outage.end),
        serving: 1,
        older: candidate(2, fleet.chunks - outage.held),
        newer: candidate(3, fleet.chunks),
        releases,
        bound: fleet.bound,
        switch: SWITCH,
        links: Links {
            observed_chunk: outage.observed,
            ..fleet.links
        },
    }
}

fn kiosks_outage() -> Outage {
    Outage {
        first: 18_000,
        second: 21_000,
        end: 26_600,
        held: 45,
        observed: Some(ms(53)),
    }
}

fn payments_outage() -> Outage {
    Outage {
        first: 18_000,
        second: 20_000,
        end: 26_600,
        held: 40,
        observed: Some(ms(60)),
    }
}

/// Guards against 5 s without a version: version 2 was dropped although it could have begun requests 3 s before
/// version 3.
#[test]
fn kiosks_complete_the_older_version() {
    let (decision, prediction) = run(&kiosks(), &kiosks_outage());

    assert_eq!(decision, Decision::CompleteOlder, "{prediction:?}");
}

/// Guards against completing a version that delays its successor for longer than it serves.
#[test]
fn payments_drop_the_older_version() {
    let (decision, prediction) = run(&payments(), &payments_outage());

    assert_eq!(decision, Decision::DropOlder, "{prediction:?}");
}

/// Simulates the origin's link in steps, and counts the time without a version that may begin requests.
fn simulated_gap(fleet: &Fleet, outage: &Outage, decision: Decision) -> Duration {
    const STEP: Duration = Duration::from_millis(5);
    let (missing, all) = ((fleet.chunks - outage.held) as f64, fleet.chunks as f64);
    let per_step = STEP.as_secs_f64() / fleet.links.origin_chunk.as_secs_f64();
    let doublings = (fleet.links.loaders as f64).log2().ceil();
    let until_served = fleet.links.loader_chunk.mul_f64(doublings) + SWITCH;
    let last_start = |release: u64| ms(release) + fleet.bound - GATEWAY_MARGIN;
    let (first_end, second_end) = (last_start(outage.first), last_start(outage.second));
    let (mut now, mut gap, mut carried) = (ms(outage.end), Duration::ZERO, 0.0);
    let (mut second_at, mut third_at) = (None, None);
    let ahead = match decision {
        Decision::CompleteOlder => missing,
        Decision::SuspendOlder | Decision::DropOlder => 0.0,
    };
    loop {
        if carried >= ahead && decision == Decision::CompleteOlder {
            second_at.get_or_insert(now + until_served);
        }
        if carried >= ahead + all {
            third_at.get_or_insert(now + until_served);
        }
        let serves = |at: Option<Duration>| at.is_some_and(|at| now >= at);
        match (now < first_end, serves(second_at) && now < second_end) {
            _ if serves(third_at) => return gap,
            (true, _) | (_, true) => {}
            (false, false) => gap += STEP,
        }
        now += STEP;
        carried += per_step;
    }
}

/// Steps of the simulation and partly carried chunks.
const SIMULATION_ERROR: Duration = Duration::from_millis(60);

#[test]
fn chosen_way_never_has_the_longer_gap() {
    let start = Instant::now();
    for fleet in [kiosks(), payments()] {
        for gap in (250..10_000).step_by(250) {
            for outage_ms in (0..16_000).step_by(500) {
                for held in (0..=fleet.chunks).step_by(4) {
                    let outage = Outage {
                        first: 0,
                        second: gap,
                        end: gap + outage_ms,
                        held,
                        observed: None,
                    };
                    let releases = releases(start, &outage);
                    let inputs = inputs(&fleet, &outage, start, &releases);
                    let prediction = predict(&inputs);
                    let decision = decide(&inputs, &prediction);
                    let other = match decision {
                        Decision::CompleteOlder => Decision::DropOlder,
                        Decision::SuspendOlder | Decision::DropOlder => Decision::CompleteOlder,
                    };
                    let chosen = simulated_gap(&fleet, &outage, decision);
                    let other = simulated_gap(&fleet, &outage, other);
                    // A version that serves too briefly to be worth a switch is dropped even if that takes longer.
                    let served = (ms(gap) + fleet.bound)
                        .saturating_sub(GATEWAY_MARGIN + (prediction.older_ready - start));
                    let tie = match decision == Decision::DropOlder && served <= MIN_USEFUL {
                        true => served,
                        false => TIE,
                    };
                    let tolerance = tie + SIMULATION_ERROR;
                    assert!(
                        chosen <= other + tolerance,
                        "{outage:?}: {decision:?} {chosen:?}, other {other:?}, {prediction:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn completing_is_chosen_only_where_it_shortens_the_gap_or_costs_no_origin_bytes() {
    let fleet = kiosks();
    for held in 0..=fleet.chunks {
        for end in (21_000..36_000).step_by(200) {
            let outage = Outage {
                held,
                end,
                ..kiosks_outage()
            };
            let (decision, p) = run(&fleet, &outage);
            if decision == Decision::CompleteOlder {
                let is_shorter = p.gap_completed + TIE < p.gap_dropped;
                assert!(is_shorter || held == fleet.chunks, "{outage:?} {p:?}");
            }
        }
    }
}

#[test]
fn version_is_dropped_on_a_tie() {
    // Right after both releases, version 1 may begin requests until version 3 has arrived.
    let outage = Outage {
        first: 0,
        second: 500,
        end: 600,
        held: 12,
        observed: None,
    };

    let (decision, prediction) = run(&kiosks(), &outage);

    assert_eq!(prediction.gap_completed, prediction.gap_dropped);
    assert_eq!(decision, Decision::DropOlder);
}

/// Guards against engines without a version after the origin fails, or provides only the older version, right after a
/// nearly complete version was dropped.
#[test]
fn nearly_held_version_is_suspended_on_a_tie() {
    let outage = Outage {
        first: 0,
        second: 2_500,
        end: 2_600,
        held: 48,
        observed: None,
    };

    assert_eq!(run(&kiosks(), &outage).0, Decision::SuspendOlder);
    let fewer = Outage { held: 47, ..outage };
    assert_eq!(run(&kiosks(), &fewer).0, Decision::DropOlder);
}

#[test]
fn version_that_can_serve_no_more_is_dropped() {
    let outage = Outage {
        held: 64,
        end: 29_800,
        ..kiosks_outage()
    };

    let (decision, _) = run(&kiosks(), &outage);

    assert_eq!(decision, Decision::DropOlder);
}

proptest! {
    #![proptest_config(cases::cases(300))]

    /// Guards against loaders that split between two versions: away from the boundary, two chunks that only some
    /// loaders know of, and times that differ by the delay of an announcement, change nothing.
    #[test]
    fn loaders_with_slightly_different_inputs_decide_equally(
        gap in 250_u64..9_000,
        outage_ms in 0_u64..12_000,
        held in 2_usize..62,
        chunks in 0_usize..5,
        skew in 0_u64..50,
    ) {
        let fleet = kiosks();
        let outage = Outage { first: 0, second: gap, end: gap + outage_ms, held, observed: None };
        let other = Outage { held: held + chunks - 2, end: outage.end + skew, ..outage };

        let (decision, p) = run(&fleet, &outage);

        let advantage = p.gap_dropped.as_secs_f64() - p.gap_completed.as_secs_f64();
        let until = ms(gap) + fleet.bound - GATEWAY_MARGIN;
        let useful = until.as_secs_f64() - outage_ms as f64 / 1e3 - gap as f64 / 1e3;
        let links = fleet.links;
        let tail = links.loader_chunk.as_secs_f64() * 7.0 + SWITCH.as_secs_f64();
        let useful = useful - links.origin_chunk.as_secs_f64() * (64 - held) as f64 - tail;
        let near = |value: f64, boundary: f64| (value - boundary).abs() < 0.25;
        prop_assume!(!near(advantage, TIE.as_secs_f64()) && !near(useful, MIN_USEFUL.as_secs_f64()));
        prop_assert_eq!(run(&fleet, &other).0, decision);
    }
}

#[test]
fn may_begin_until_the_bound_of_the_next_release() {
    let start = Instant::now();
    let releases = releases(start, &kiosks_outage());
    let until = |version| may_begin_until(&releases, version, kiosks().bound);

    assert_eq!(until(1), Some(start + ms(26_800)));
    assert_eq!(until(2), Some(start + ms(29_800)));
    assert_eq!(until(3), None);
}

#[test]
fn release_after_the_bound_of_an_older_one_does_not_follow_within_it() {
    let start = Instant::now();
    let releases = releases(start, &kiosks_outage());

    assert!(follows_within_bound(&releases, 2, 3, ms(3001)));
    assert!(!follows_within_bound(&releases, 2, 3, ms(3000)));
    assert!(
        !follows_within_bound(&releases, 1, 3, ms(10_000)),
        "unknown"
    );
}

/// Returns whether an engine takes an older version; times in ms from now.
fn takes(held_until: u64, older_until: u64, newer_in: Option<u64>) -> bool {
    let start = Instant::now();
    let now = start + ms(1000);
    takes_older(&Complete {
        now,
        held_until: Some(start + ms(held_until + 1000)),
        older_until: Some(now + ms(older_until)),
        newer_complete_at: newer_in.map(|newer_in| now + ms(newer_in)),
        switch: SWITCH,
    })
}

/// Guards against engines that wait without a version until the bound of the running one, although gateways stop
/// sending requests for it 1.5 s earlier.
#[test]
fn engine_without_a_version_takes_an_older_one_that_is_useful() {
    assert!(takes(0, 2100, Some(4500)));
    assert!(takes(0, 2100, None), "the newer one is stalled");
    assert!(!takes(0, 1000, Some(4500)), "it serves too briefly");
    assert!(
        !takes(0, 2100, Some(1000)),
        "the newer one is about to be complete"
    );
    assert!(
        !takes(0, 300, Some(4500)),
        "it expires before the switch is over"
    );
}

/// Guards against all engines that switch at once when the running version expires.
#[test]
fn engine_takes_an_older_version_before_its_own_expires() {
    assert!(takes(1800, 4800, Some(4500)));
    assert!(takes(1800, 4800, None), "the newer one is stalled");
    assert!(
        !takes(1800, 4800, Some(2000)),
        "the newer one arrives in time"
    );
    assert!(!takes(1800, 2000, None), "it serves too briefly");
}

#[test]
fn observed_rate_ignores_the_outage() {
    let start = Instant::now();
    let mut rate = ObservedRate::default();
    (0..=20).for_each(|i| rate.record(i, start + ms(53) * i as u32));
    let before = rate.chunk_time();

    rate.record(21, start + ms(8000));

    assert_eq!(before, Some(ms(53)));
    assert_eq!(rate.chunk_time(), before);
    assert_eq!(rate.stalled_for(start + ms(8500)), ms(500));
}

#[test]
fn observed_rate_is_unknown_until_enough_chunks_arrived() {
    let start = Instant::now();
    let mut rate = ObservedRate::default();
    (0..8).for_each(|i| rate.record(i, start + ms(200) * i as u32));

    assert_eq!(rate.chunk_time(), None);
}

/// Guards against an engine that holds an older version past its bound, or loses it while gateways may still send.
#[test]
fn older_version_is_unloaded_between_the_last_request_and_the_bound() {
    let now = Instant::now();
    let release = |version, at| Release {
        version,
        at: now + ms(at),
    };
    let releases = [release(4, 5000), release(2, 0), release(3, 3000)];
    let bound = ms(8000);

    let first = unload_at(&releases, 1, bound).expect("a newer version");
    let second = unload_at(&releases, 2, bound).expect("a newer version");

    assert!(Some(first) > may_begin_until(&releases, 1, bound));
    assert!(first < now + bound);
    assert_eq!(second, first + ms(3000), "by the first release after it");
    assert_eq!(unload_at(&releases, 4, bound), None);
}

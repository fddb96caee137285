//! Decisions on requests under which upstreams exit, and merging of updates on them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::Fingerprint;
use decide::quarantine::{
    Decision, Isolation, MAX_EXITS, MAX_SUSPECTS, QUARANTINE_THRESHOLD, Quarantine, SuspectState,
    Trial, UpstreamExit,
};
use proptest::prelude::*;

const HOLD_TIME: Duration = Duration::from_secs(600);

/// Longer than the time after an exit in which the request doesn't run.
const SETTLED: Duration = Duration::from_millis(100);

fn request(n: u64) -> Fingerprint {
    Fingerprint::of(&[&n.to_le_bytes()])
}

fn upstream(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9000 + n).into()
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn exit(incarnation: u64, at: Instant) -> UpstreamExit {
    UpstreamExit { incarnation, at }
}

/// Returns a quarantine with `n` exits of a request, a second apart, and a time after the last of them.
fn with_exits(n: u64, start: Instant) -> (Quarantine, Instant) {
    let mut quarantine = Quarantine::new(HOLD_TIME);
    let mut now = start;
    for incarnation in 0..n {
        now += ms(1000);
        assert!(quarantine.record_exit(request(1), upstream(1), exit(incarnation, now)));
    }
    (quarantine, now + SETTLED)
}

#[test]
fn request_runs_on_trial_after_an_exit_and_is_quarantined_after_the_third() {
    let start = Instant::now();
    let decision = |exits| {
        let (quarantine, now) = with_exits(exits, start);
        (quarantine.decide(&request(1), now), now)
    };

    assert_eq!(decision(0).0, Decision::Allow);
    assert_eq!(decision(1).0, Decision::Trial(Isolation::Preferred));
    assert_eq!(decision(2).0, Decision::Trial(Isolation::Required));
    let (quarantined, now) = decision(3);
    assert_eq!(
        quarantined,
        Decision::Quarantined(now - SETTLED + HOLD_TIME)
    );
}

#[test]
fn suspect_waits_until_updates_can_have_arrived() {
    let (mut quarantine, now) = with_exits(1, Instant::now());
    let exited = now + ms(500);
    quarantine.record_exit(request(1), upstream(2), exit(7, exited));

    let at_once = quarantine.decide(&request(1), exited);

    let Decision::WaitUntil(until) = at_once else {
        panic!("{at_once:?}");
    };
    assert!(until > exited);
    assert!(matches!(
        quarantine.decide(&request(1), until),
        Decision::Trial(_)
    ));
}

#[test]
fn suspect_is_on_trial_at_one_upstream_at_a_time() {
    let (mut quarantine, now) = with_exits(1, Instant::now());

    let first = quarantine
        .begin_trial(&request(1), upstream(3), now)
        .expect("a trial");
    let second = quarantine.begin_trial(&request(1), upstream(4), now);
    let (decision, upstreams) = (
        quarantine.decide(&request(1), now),
        quarantine.trial_upstreams(now),
    );
    assert!(quarantine.end_trial(&request(1), first, upstream(3)));

    assert_eq!((second, decision), (None, Decision::OnTrial));
    assert_eq!(upstreams, [upstream(3)]);
    assert!(quarantine.trial_upstreams(now).is_empty());
    assert!(
        quarantine
            .begin_trial(&request(1), upstream(4), now)
            .is_some()
    );
}

#[test]
fn trial_of_lost_gateway_times_out() {
    let (mut quarantine, now) = with_exits(2, Instant::now());

    quarantine
        .begin_trial(&request(1), upstream(3), now)
        .expect("a trial");

    let later = now + Duration::from_secs(30);
    assert!(
        quarantine
            .begin_trial(&request(1), upstream(4), later)
            .is_some()
    );
}

#[test]
fn exit_elsewhere_does_not_end_a_trial() {
    let (mut quarantine, now) = with_exits(1, Instant::now());
    quarantine
        .begin_trial(&request(1), upstream(3), now)
        .expect("a trial");

    quarantine.record_exit(request(1), upstream(4), exit(8, now));
    let elsewhere = quarantine.trial_upstreams(now);
    quarantine.record_exit(request(1), upstream(3), exit(9, now));

    assert_eq!(elsewhere, [upstream(3)]);
    assert!(quarantine.trial_upstreams(now).is_empty());
}

#[test]
fn completion_clears_request_at_all_gateways() {
    let (mut here, now) = with_exits(3, Instant::now());
    let (mut there, _) = with_exits(3, now - Duration::from_secs(3));

    assert!(here.record_completion(&request(1), now));
    let update = here.suspect(&request(1)).expect("a state").clone();
    there.merge(request(1), update);
    // An earlier update arrives again, late.
    there.record_exit(request(1), upstream(1), exit(2, now - ms(10)));

    assert_eq!(here.decide(&request(1), now), Decision::Allow);
    assert_eq!(there.decide(&request(1), now), Decision::Allow);
}

#[test]
fn quarantine_time_doubles_after_each_failed_trial() {
    let (mut quarantine, mut now) = with_exits(3, Instant::now());
    let mut holds = Vec::new();
    for incarnation in 10..13 {
        let Decision::Quarantined(until) = quarantine.decide(&request(1), now) else {
            panic!("the request is quarantined");
        };
        holds.push(until - now + SETTLED);
        now = until;
        assert_eq!(
            quarantine.decide(&request(1), now),
            Decision::Trial(Isolation::Required)
        );
        quarantine
            .begin_trial(&request(1), upstream(5), now)
            .expect("a trial");
        quarantine.record_exit(request(1), upstream(5), exit(incarnation, now));
        now += SETTLED;
    }

    assert_eq!(holds, [HOLD_TIME, HOLD_TIME * 2, HOLD_TIME * 4]);
}

#[test]
fn eviction_keeps_requests_with_the_most_exits() {
    let (mut quarantine, now) = with_exits(3, Instant::now());

    for n in 0..3 * MAX_SUSPECTS as u64 {
        quarantine.record_exit(request(100 + n), upstream(1), exit(n, now + ms(n)));
        assert!(quarantine.len() <= MAX_SUSPECTS);
    }

    assert!(quarantine.is_quarantined(&request(1), now));
}

#[test]
fn finished_states_expire() {
    let (mut quarantine, now) = with_exits(1, Instant::now());
    quarantine.record_exit(request(2), upstream(1), exit(5, now));
    quarantine.record_completion(&request(2), now);

    quarantine.expire(now + Duration::from_secs(60));
    let cleared = quarantine.suspect(&request(2)).is_none();
    quarantine.expire(now + HOLD_TIME);

    assert!(cleared);
    assert!(quarantine.is_empty());
}

/// Update on a request from one gateway; times in milliseconds.
#[derive(Debug, Clone)]
enum Update {
    Exit { incarnation: u64, at: u64 },
    Completed { at: u64 },
    Trial { number: u32, upstream: Option<u16> },
}

fn update() -> impl Strategy<Value = (u64, Update)> {
    let exit = (0..12_u64).prop_map(|incarnation| Update::Exit {
        incarnation,
        at: incarnation * 700,
    });
    let completed = (0..9000_u64).prop_map(|at| Update::Completed { at });
    let trial = (1..4_u32, proptest::option::of(0..3_u16))
        .prop_map(|(number, upstream)| Update::Trial { number, upstream });
    (0..3_u64, prop_oneof![6 => exit, 1 => completed, 2 => trial])
}

fn state(update: &Update, start: Instant) -> SuspectState {
    match *update {
        Update::Exit { incarnation, at } => SuspectState {
            exits: vec![exit(incarnation, start + ms(at))],
            ..SuspectState::default()
        },
        Update::Completed { at } => SuspectState {
            completed: Some(start + ms(at)),
            ..SuspectState::default()
        },
        Update::Trial {
            number,
            upstream: at,
        } => SuspectState {
            trial: Some(Trial {
                number,
                upstream: at.map(upstream),
                started: start,
            }),
            ..SuspectState::default()
        },
    }
}

proptest! {
    #![proptest_config(cases::cases(256))]

    #[test]
    fn gateways_with_the_same_updates_make_the_same_decisions(
        (updates, order) in proptest::collection::vec(update(), 1..40).prop_flat_map(|updates| {
            // In another order, with some updates twice.
            let indices: Vec<usize> = (0..updates.len()).chain(0..updates.len() / 2).collect();
            (Just(updates), Just(indices).prop_shuffle())
        })
    ) {
        let start = Instant::now();
        let (mut here, mut there) = (Quarantine::new(HOLD_TIME), Quarantine::new(HOLD_TIME));
        // All requests have a state, so that neither gateway ignores an update with only a trial.
        for quarantine in [&mut here, &mut there] {
            for n in 0..3 {
                quarantine.record_exit(request(n), upstream(9), exit(99, start + ms(9500)));
            }
        }

        for (n, update) in &updates {
            here.merge(request(*n), state(update, start));
        }
        for i in order {
            let (n, update) = &updates[i];
            there.merge(request(*n), state(update, start));
        }

        let now = start + ms(10_000);
        for n in 0..3 {
            prop_assert_eq!(here.suspect(&request(n)), there.suspect(&request(n)));
            prop_assert_eq!(here.decide(&request(n), now), there.decide(&request(n), now));
            let exits = here.suspect(&request(n)).map_or(0, |s| s.exits.len());
            prop_assert!(exits <= MAX_EXITS);
            if exits >= QUARANTINE_THRESHOLD {
                prop_assert!(here.is_quarantined(&request(n), now));
            }
        }
    }
}

#[test]
fn one_of_two_simultaneous_trials_continues() {
    let (mut here, now) = with_exits(2, Instant::now());
    let (mut there, _) = with_exits(2, now - SETTLED - ms(2000));
    let first = here
        .begin_trial(&request(1), upstream(3), now)
        .expect("a trial");
    let second = there
        .begin_trial(&request(1), upstream(4), now)
        .expect("a trial");
    let (state_here, state_there) = (
        here.suspect(&request(1)).cloned(),
        there.suspect(&request(1)).cloned(),
    );

    here.merge(request(1), state_there.expect("a state"));
    there.merge(request(1), state_here.expect("a state"));
    let was_current = there.end_trial(&request(1), second, upstream(4));

    assert!(here.is_current_trial(&request(1), first, upstream(3)));
    assert!(!there.is_current_trial(&request(1), second, upstream(4)));
    assert!(!was_current, "the other gateway's trial is current");
    assert_eq!(there.trial_upstreams(now), [upstream(3)]);
}

#[test]
fn trial_with_the_maximum_number_does_not_overflow() {
    let (mut quarantine, now) = with_exits(1, Instant::now());
    let trial = Trial {
        number: u32::MAX,
        upstream: None,
        started: now,
    };

    quarantine.merge(
        request(1),
        SuspectState {
            trial: Some(trial),
            ..SuspectState::default()
        },
    );

    assert_eq!(
        quarantine.begin_trial(&request(1), upstream(3), now),
        Some(u32::MAX)
    );
}

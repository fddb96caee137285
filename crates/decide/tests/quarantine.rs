//! What is held against requests under which upstreams end, and how news of it is put together.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::Fingerprint;
use decide::quarantine::{
    Decision, Isolation, MAX_EXITS, MAX_SUSPECTS, QUARANTINE_THRESHOLD, Quarantine, SuspectState,
    Trial, UpstreamExit,
};
use proptest::prelude::*;

const HOLD_TIME: Duration = Duration::from_secs(600);

/// Longer than a request rests after an end.
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

/// A quarantine that knows of so many ends of a request, a second apart, and the time after the last of them.
fn with_ends(n: u64, start: Instant) -> (Quarantine, Instant) {
    let mut quarantine = Quarantine::new(HOLD_TIME);
    let mut now = start;
    for life in 0..n {
        now += ms(1000);
        assert!(quarantine.record_exit(request(1), upstream(1), exit(life, now)));
    }
    (quarantine, now + SETTLED)
}

#[test]
fn a_request_is_tried_with_care_after_an_end_and_held_back_after_the_third() {
    let start = Instant::now();
    let verdict = |ends| {
        let (quarantine, now) = with_ends(ends, start);
        (quarantine.decide(&request(1), now), now)
    };

    assert_eq!(verdict(0).0, Decision::Allow);
    assert_eq!(verdict(1).0, Decision::Trial(Isolation::Preferred));
    assert_eq!(verdict(2).0, Decision::Trial(Isolation::Required));
    let (held, now) = verdict(3);
    assert_eq!(held, Decision::Quarantined(now - SETTLED + HOLD_TIME));
}

#[test]
fn a_suspect_rests_until_news_from_elsewhere_can_have_come() {
    let (mut quarantine, now) = with_ends(1, Instant::now());
    let ended = now + ms(500);
    quarantine.record_exit(request(1), upstream(2), exit(7, ended));

    let at_once = quarantine.decide(&request(1), ended);

    let Decision::WaitUntil(until) = at_once else {
        panic!("{at_once:?}");
    };
    assert!(until > ended);
    assert!(matches!(
        quarantine.decide(&request(1), until),
        Decision::Trial(_)
    ));
}

#[test]
fn a_suspect_is_tried_at_one_place_at_a_time() {
    let (mut quarantine, now) = with_ends(1, Instant::now());

    let first = quarantine
        .begin_trial(&request(1), upstream(3), now)
        .expect("a trial");
    let second = quarantine.begin_trial(&request(1), upstream(4), now);
    let (tried, at) = (
        quarantine.decide(&request(1), now),
        quarantine.trial_upstreams(now),
    );
    assert!(quarantine.end_trial(&request(1), first, upstream(3)));

    assert_eq!((second, tried), (None, Decision::InTrial));
    assert_eq!(at, [upstream(3)]);
    assert!(quarantine.trial_upstreams(now).is_empty());
    assert!(
        quarantine
            .begin_trial(&request(1), upstream(4), now)
            .is_some()
    );
}

#[test]
fn a_trial_of_a_gateway_that_is_gone_does_not_bar_others_for_good() {
    let (mut quarantine, now) = with_ends(2, Instant::now());

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
fn an_end_elsewhere_does_not_end_a_trial() {
    let (mut quarantine, now) = with_ends(1, Instant::now());
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
fn a_request_that_ran_to_its_end_is_cleared_wherever_that_is_heard() {
    let (mut here, now) = with_ends(3, Instant::now());
    let (mut there, _) = with_ends(3, now - Duration::from_secs(3));

    assert!(here.record_completion(&request(1), now));
    let news = here.suspect(&request(1)).expect("a case").clone();
    there.merge(request(1), news);
    // What was heard before comes once more, late.
    there.record_exit(request(1), upstream(1), exit(2, now - ms(10)));

    assert_eq!(here.decide(&request(1), now), Decision::Allow);
    assert_eq!(there.decide(&request(1), now), Decision::Allow);
}

#[test]
fn a_request_that_is_held_back_is_tried_once_in_a_while_and_ever_more_seldom() {
    let (mut quarantine, mut now) = with_ends(3, Instant::now());
    let mut holds = Vec::new();
    for life in 10..13 {
        let Decision::Quarantined(until) = quarantine.decide(&request(1), now) else {
            panic!("it is held");
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
        quarantine.record_exit(request(1), upstream(5), exit(life, now));
        now += SETTLED;
    }

    assert_eq!(holds, [HOLD_TIME, HOLD_TIME * 2, HOLD_TIME * 4]);
}

#[test]
fn requests_with_the_most_ends_are_kept_however_many_there_are() {
    let (mut quarantine, now) = with_ends(3, Instant::now());

    for n in 0..3 * MAX_SUSPECTS as u64 {
        quarantine.record_exit(request(100 + n), upstream(1), exit(n, now + ms(n)));
        assert!(quarantine.len() <= MAX_SUSPECTS);
    }

    assert!(quarantine.is_quarantined(&request(1), now));
}

#[test]
fn what_is_over_is_forgotten() {
    let (mut quarantine, now) = with_ends(1, Instant::now());
    quarantine.record_exit(request(2), upstream(1), exit(5, now));
    quarantine.record_completion(&request(2), now);

    quarantine.expire(now + Duration::from_secs(60));
    let cleared = quarantine.suspect(&request(2)).is_none();
    quarantine.expire(now + HOLD_TIME);

    assert!(cleared);
    assert!(quarantine.is_empty());
}

/// Something that one gateway may tell of a request; times in milliseconds.
#[derive(Debug, Clone)]
enum News {
    End { life: u64, at: u64 },
    Finished { at: u64 },
    Trial { number: u32, upstream: Option<u16> },
}

fn news() -> impl Strategy<Value = (u64, News)> {
    let end = (0..12_u64).prop_map(|life| News::End {
        life,
        at: life * 700,
    });
    let finished = (0..9000_u64).prop_map(|at| News::Finished { at });
    let trial = (1..4_u32, proptest::option::of(0..3_u16))
        .prop_map(|(number, upstream)| News::Trial { number, upstream });
    (0..3_u64, prop_oneof![6 => end, 1 => finished, 2 => trial])
}

fn case(news: &News, start: Instant) -> SuspectState {
    match *news {
        News::End { life, at } => SuspectState {
            exits: vec![exit(life, start + ms(at))],
            ..SuspectState::default()
        },
        News::Finished { at } => SuspectState {
            completed: Some(start + ms(at)),
            ..SuspectState::default()
        },
        News::Trial {
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
    fn gateways_with_the_same_news_decide_alike(
        (news, order) in proptest::collection::vec(news(), 1..40).prop_flat_map(|news| {
            // In another order, and some of it twice.
            let indices: Vec<usize> = (0..news.len()).chain(0..news.len() / 2).collect();
            (Just(news), Just(indices).prop_shuffle())
        })
    ) {
        let start = Instant::now();
        let (mut here, mut there) = (Quarantine::new(HOLD_TIME), Quarantine::new(HOLD_TIME));
        // All requests are known, so that news of a trial alone isn't passed over at one of them.
        for quarantine in [&mut here, &mut there] {
            for n in 0..3 {
                quarantine.record_exit(request(n), upstream(9), exit(99, start + ms(9500)));
            }
        }

        for (n, news) in &news {
            here.merge(request(*n), case(news, start));
        }
        for i in order {
            let (n, news) = &news[i];
            there.merge(request(*n), case(news, start));
        }

        let now = start + ms(10_000);
        for n in 0..3 {
            prop_assert_eq!(here.suspect(&request(n)), there.suspect(&request(n)));
            prop_assert_eq!(here.decide(&request(n), now), there.decide(&request(n), now));
            let ends = here.suspect(&request(n)).map_or(0, |c| c.exits.len());
            prop_assert!(ends <= MAX_EXITS);
            if ends >= QUARANTINE_THRESHOLD {
                prop_assert!(here.is_quarantined(&request(n), now));
            }
        }
    }
}

#[test]
fn of_two_trials_that_begin_in_one_moment_one_goes_on() {
    let (mut here, now) = with_ends(2, Instant::now());
    let (mut there, _) = with_ends(2, now - SETTLED - ms(2000));
    let first = here
        .begin_trial(&request(1), upstream(3), now)
        .expect("a trial");
    let second = there
        .begin_trial(&request(1), upstream(4), now)
        .expect("a trial");
    let (told_here, told_there) = (
        here.suspect(&request(1)).cloned(),
        there.suspect(&request(1)).cloned(),
    );

    here.merge(request(1), told_there.expect("a case"));
    there.merge(request(1), told_here.expect("a case"));
    let released = there.end_trial(&request(1), second, upstream(4));

    assert!(here.is_current_trial(&request(1), first, upstream(3)));
    assert!(!there.is_current_trial(&request(1), second, upstream(4)));
    assert!(!released, "it's the other one's");
    assert_eq!(there.trial_upstreams(now), [upstream(3)]);
}

#[test]
fn a_trial_with_the_largest_number_there_is_ends_nobody_who_hears_of_it() {
    let (mut quarantine, now) = with_ends(1, Instant::now());
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

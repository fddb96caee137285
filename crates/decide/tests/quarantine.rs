//! What is held against requests under which upstreams end, and how news of it is put together.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::Fingerprint;
use decide::quarantine::{
    Care, Case, End, KEPT_ENDS, MOST_CASES, MOST_ENDS, Quarantine, Trial, Verdict,
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

fn end(life: u64, at: Instant) -> End {
    End { life, at }
}

/// A quarantine that knows of so many ends of a request, a second apart, and the time after the last of them.
fn with_ends(n: u64, start: Instant) -> (Quarantine, Instant) {
    let mut quarantine = Quarantine::new(HOLD_TIME);
    let mut now = start;
    for life in 0..n {
        now += ms(1000);
        assert!(quarantine.ended(request(1), upstream(1), end(life, now)));
    }
    (quarantine, now + SETTLED)
}

#[test]
fn a_request_is_tried_with_care_after_an_end_and_held_back_after_the_third() {
    let start = Instant::now();
    let verdict = |ends| {
        let (quarantine, now) = with_ends(ends, start);
        (quarantine.verdict(&request(1), now), now)
    };

    assert_eq!(verdict(0).0, Verdict::Free);
    assert_eq!(verdict(1).0, Verdict::Try(Care::Preferably));
    assert_eq!(verdict(2).0, Verdict::Try(Care::Strictly));
    let (held, now) = verdict(3);
    assert_eq!(held, Verdict::Held(now - SETTLED + HOLD_TIME));
}

#[test]
fn a_suspect_rests_until_news_from_elsewhere_can_have_come() {
    let (mut quarantine, now) = with_ends(1, Instant::now());
    let ended = now + ms(500);
    quarantine.ended(request(1), upstream(2), end(7, ended));

    let at_once = quarantine.verdict(&request(1), ended);

    let Verdict::Later(until) = at_once else {
        panic!("{at_once:?}");
    };
    assert!(until > ended);
    assert!(matches!(
        quarantine.verdict(&request(1), until),
        Verdict::Try(_)
    ));
}

#[test]
fn a_suspect_is_tried_at_one_place_at_a_time() {
    let (mut quarantine, now) = with_ends(1, Instant::now());

    let first = quarantine
        .begin(&request(1), upstream(3), now)
        .expect("a trial");
    let second = quarantine.begin(&request(1), upstream(4), now);
    let (tried, at) = (quarantine.verdict(&request(1), now), quarantine.trials(now));
    assert!(quarantine.release(&request(1), first, upstream(3)));

    assert_eq!((second, tried), (None, Verdict::Tried));
    assert_eq!(at, [upstream(3)]);
    assert!(quarantine.trials(now).is_empty());
    assert!(quarantine.begin(&request(1), upstream(4), now).is_some());
}

#[test]
fn a_trial_of_a_gateway_that_is_gone_does_not_bar_others_for_good() {
    let (mut quarantine, now) = with_ends(2, Instant::now());

    quarantine
        .begin(&request(1), upstream(3), now)
        .expect("a trial");

    let later = now + Duration::from_secs(30);
    assert!(quarantine.begin(&request(1), upstream(4), later).is_some());
}

#[test]
fn an_end_elsewhere_does_not_end_a_trial() {
    let (mut quarantine, now) = with_ends(1, Instant::now());
    quarantine
        .begin(&request(1), upstream(3), now)
        .expect("a trial");

    quarantine.ended(request(1), upstream(4), end(8, now));
    let elsewhere = quarantine.trials(now);
    quarantine.ended(request(1), upstream(3), end(9, now));

    assert_eq!(elsewhere, [upstream(3)]);
    assert!(quarantine.trials(now).is_empty());
}

#[test]
fn a_request_that_ran_to_its_end_is_cleared_wherever_that_is_heard() {
    let (mut here, now) = with_ends(3, Instant::now());
    let (mut there, _) = with_ends(3, now - Duration::from_secs(3));

    assert!(here.finished(&request(1), now));
    let news = here.case(&request(1)).expect("a case").clone();
    there.merge(request(1), news);
    // What was heard before comes once more, late.
    there.ended(request(1), upstream(1), end(2, now - ms(10)));

    assert_eq!(here.verdict(&request(1), now), Verdict::Free);
    assert_eq!(there.verdict(&request(1), now), Verdict::Free);
}

#[test]
fn a_request_that_is_held_back_is_tried_once_in_a_while_and_ever_more_seldom() {
    let (mut quarantine, mut now) = with_ends(3, Instant::now());
    let mut holds = Vec::new();
    for life in 10..13 {
        let Verdict::Held(until) = quarantine.verdict(&request(1), now) else {
            panic!("it is held");
        };
        holds.push(until - now + SETTLED);
        now = until;
        assert_eq!(
            quarantine.verdict(&request(1), now),
            Verdict::Try(Care::Strictly)
        );
        quarantine
            .begin(&request(1), upstream(5), now)
            .expect("a trial");
        quarantine.ended(request(1), upstream(5), end(life, now));
        now += SETTLED;
    }

    assert_eq!(holds, [HOLD_TIME, HOLD_TIME * 2, HOLD_TIME * 4]);
}

#[test]
fn requests_with_the_most_ends_are_kept_however_many_there_are() {
    let (mut quarantine, now) = with_ends(3, Instant::now());

    for n in 0..3 * MOST_CASES as u64 {
        quarantine.ended(request(100 + n), upstream(1), end(n, now + ms(n)));
        assert!(quarantine.len() <= MOST_CASES);
    }

    assert!(quarantine.is_held(&request(1), now));
}

#[test]
fn what_is_over_is_forgotten() {
    let (mut quarantine, now) = with_ends(1, Instant::now());
    quarantine.ended(request(2), upstream(1), end(5, now));
    quarantine.finished(&request(2), now);

    quarantine.forget(now + Duration::from_secs(60));
    let cleared = quarantine.case(&request(2)).is_none();
    quarantine.forget(now + HOLD_TIME);

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

fn case(news: &News, start: Instant) -> Case {
    match *news {
        News::End { life, at } => Case {
            ends: vec![end(life, start + ms(at))],
            ..Case::default()
        },
        News::Finished { at } => Case {
            finished: Some(start + ms(at)),
            ..Case::default()
        },
        News::Trial {
            number,
            upstream: at,
        } => Case {
            trial: Some(Trial {
                number,
                upstream: at.map(upstream),
                at: start,
            }),
            ..Case::default()
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
                quarantine.ended(request(n), upstream(9), end(99, start + ms(9500)));
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
            prop_assert_eq!(here.case(&request(n)), there.case(&request(n)));
            prop_assert_eq!(here.verdict(&request(n), now), there.verdict(&request(n), now));
            let ends = here.case(&request(n)).map_or(0, |c| c.ends.len());
            prop_assert!(ends <= KEPT_ENDS);
            if ends >= MOST_ENDS {
                prop_assert!(here.is_held(&request(n), now));
            }
        }
    }
}

#[test]
fn of_two_trials_that_begin_in_one_moment_one_goes_on() {
    let (mut here, now) = with_ends(2, Instant::now());
    let (mut there, _) = with_ends(2, now - SETTLED - ms(2000));
    let first = here.begin(&request(1), upstream(3), now).expect("a trial");
    let second = there.begin(&request(1), upstream(4), now).expect("a trial");
    let (told_here, told_there) = (
        here.case(&request(1)).cloned(),
        there.case(&request(1)).cloned(),
    );

    here.merge(request(1), told_there.expect("a case"));
    there.merge(request(1), told_here.expect("a case"));
    let released = there.release(&request(1), second, upstream(4));

    assert!(here.is_under_way(&request(1), first, upstream(3)));
    assert!(!there.is_under_way(&request(1), second, upstream(4)));
    assert!(!released, "it's the other one's");
    assert_eq!(there.trials(now), [upstream(3)]);
}

#[test]
fn a_trial_with_the_largest_number_there_is_ends_nobody_who_hears_of_it() {
    let (mut quarantine, now) = with_ends(1, Instant::now());
    let trial = Trial {
        number: u32::MAX,
        upstream: None,
        at: now,
    };

    quarantine.merge(
        request(1),
        Case {
            trial: Some(trial),
            ..Case::default()
        },
    );

    assert_eq!(
        quarantine.begin(&request(1), upstream(3), now),
        Some(u32::MAX)
    );
}

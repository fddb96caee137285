//! What gateways know of each other's requests in flight, near and far.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::Map;
use beacon::{Load, LoadChange, LoadUpdate, MAX_DATAGRAM, Msg, batch_messages};
use decide::outlier_detection::OutcomeTracker;
use gateway::load_updates::{PublishedLoads, RelayedLoads};
use gateway::loads::{LoadTable, largest_loads, receiver_per_domain};
use proptest::prelude::*;

fn upstream(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9000 + n).into()
}

fn load(n: u16, requests: u16, unread: u32) -> Load {
    Load {
        upstream: upstream(n),
        requests,
        unread,
        failed: 0,
        answered: 0,
    }
}

fn note(from: &str, domain: &str, sequence: u64, loads: Vec<Load>) -> LoadUpdate {
    LoadUpdate {
        from: from.to_owned(),
        domain: domain.to_owned(),
        incarnation: 5,
        sequence,
        reaches_store: true,
        members: 0,
        configuration: 1,
        upstreams: 1,
        upstreams_age: Duration::ZERO,
        replica_addr: upstream(0),
        loads,
    }
}

#[test]
fn others_are_the_gateways_of_the_domain_and_the_sums_of_the_others() {
    let book = LoadTable::default();
    let now = Instant::now();

    book.apply_update(note("b", "recife", 1, vec![load(1, 2, 700)]), now);
    book.apply_update(
        note("c", "recife", 1, vec![load(1, 1, 0), load(2, 4, 0)]),
        now,
    );
    book.apply_domain_update(note("x", "fortaleza", 1, vec![load(1, 3, 100)]), now);

    let others = book.peer_load(&upstream(1));
    assert_eq!((others.requests, others.unread), (6, 800));
    assert_eq!(book.peer_load(&upstream(2)).requests, 4);
    assert_eq!(book.peer_load(&upstream(3)).requests, 0);
}

#[test]
fn the_sum_of_the_domain_holds_what_is_in_flight_in_it_and_nothing_of_others() {
    let book = LoadTable::default();
    let now = Instant::now();
    book.apply_update(note("b", "recife", 1, vec![load(1, 2, 700)]), now);
    book.apply_domain_update(note("x", "fortaleza", 1, vec![load(1, 9, 0)]), now);

    let sum = book.domain_loads(&[load(1, 1, 50)]);

    assert_eq!(sum, vec![load(1, 3, 750)]);
}

#[test]
fn rank_is_by_vm_among_those_of_the_domain_heard_lately() {
    let book = LoadTable::default();
    let now = Instant::now();
    let later = now + Duration::from_millis(1100);
    book.apply_update(note("b", "recife", 1, Vec::new()), now);
    book.apply_update(note("d", "recife", 1, Vec::new()), now);
    book.apply_domain_update(note("a", "fortaleza", 1, Vec::new()), now);

    assert_eq!(book.rank(&"a".to_owned(), now), 0);
    assert_eq!(book.rank(&"c".to_owned(), now), 1, "b is before it");
    assert_eq!(book.rank(&"c".to_owned(), later), 0, "b fell silent");
}

#[test]
fn the_sum_of_another_gateway_replaces_the_one_before() {
    let book = LoadTable::default();
    let now = Instant::now();
    book.apply_domain_update(note("y", "fortaleza", 90, vec![load(1, 9, 0)]), now);

    book.apply_domain_update(note("x", "fortaleza", 1, vec![load(1, 2, 0)]), now);

    assert_eq!(book.peer_load(&upstream(1)).requests, 2);
}

#[test]
fn an_older_note_of_the_same_gateway_is_passed_over_until_the_newer_one_is_out_of_date() {
    let book = LoadTable::default();
    let now = Instant::now();
    book.apply_update(note("b", "recife", 7, vec![load(1, 7, 0)]), now);

    book.apply_update(note("b", "recife", 6, vec![load(1, 6, 0)]), now);
    let at_once = book.peer_load(&upstream(1)).requests;
    let later = now + Duration::from_millis(1500);
    book.apply_update(note("b", "recife", 6, vec![load(1, 6, 0)]), later);

    assert_eq!(at_once, 7);
    assert_eq!(book.peer_load(&upstream(1)).requests, 6);
}

#[test]
fn a_note_keeps_the_largest_loads_where_not_all_fit() {
    // The prompts and failures of a busy engine.
    let busy = |n| Load {
        failed: 120,
        answered: 120,
        ..load(n, n, 200_000)
    };
    let loads: Vec<Load> = (0..200).map(busy).collect();

    let kept = largest_loads(loads);

    assert!(kept.len() < 200);
    assert!(kept.iter().any(|l| l.requests == 199));
    let note = note("front-rec-a-12", "recife", 1, kept);
    let buf = beacon::encode(&beacon::Msg::DomainLoad(note)).expect("a note");
    assert!(buf.len() <= beacon::MAX_DATAGRAM, "{}", buf.len());
}

#[test]
fn failures_of_all_gateways_count_together() {
    let book = LoadTable::default();
    let now = Instant::now();
    let fared = |failed, answered| Load {
        failed,
        answered,
        ..load(1, 0, 0)
    };

    book.apply_update(note("b", "recife", 1, vec![fared(1, 0)]), now);
    let few = book.peer_load(&upstream(1)).outcomes;
    book.apply_update(note("c", "recife", 1, vec![fared(1, 1)]), now);
    book.apply_domain_update(note("x", "fortaleza", 1, vec![fared(2, 0)]), now);
    let most = book.peer_load(&upstream(1)).outcomes;
    book.apply_domain_update(note("y", "salvador", 1, vec![fared(0, 6)]), now);
    let some = book.peer_load(&upstream(1)).outcomes;

    assert!(!few.is_failing(), "{few:?}");
    assert!(most.is_failing(), "{most:?}");
    assert!(!some.is_failing(), "{some:?}");
}

#[test]
fn what_happened_a_while_ago_counts_less() {
    let now = Instant::now();
    let mut outcomes = OutcomeTracker::new(now);
    (0..5).for_each(|_| outcomes.record_failure(now));

    let at_once = outcomes.counts(now);
    let later = outcomes.counts(now + Duration::from_secs(4));

    assert!(at_once.is_failing());
    assert!(!later.is_failing(), "{later:?}");
}

#[test]
fn notes_go_to_the_gateways_of_each_other_failure_domain_in_turn() {
    let far = [vec![upstream(1), upstream(2)], vec![upstream(3)], vec![]];

    let to: Vec<_> = (0..4).map(|note| receiver_per_domain(&far, note)).collect();

    assert_eq!(to[0], [upstream(1), upstream(3)]);
    assert_eq!(to[1], [upstream(2), upstream(3)]);
    assert_eq!(to[2], to[0]);
    assert_eq!(to[3], to[1]);
}

/// A note of a gateway that passes copies on at an address of its own.
fn reader(from: &str, domain: &str, reaches_store: bool, n: u16) -> LoadUpdate {
    LoadUpdate {
        reaches_store,
        replica_addr: upstream(n),
        ..note(from, domain, 1, Vec::new())
    }
}

#[test]
fn the_first_gateway_that_reaches_the_store_is_asked_what_the_store_has() {
    let book = LoadTable::default();
    let now = Instant::now();
    book.apply_update(reader("b", "recife", false, 1), now);
    book.apply_update(reader("c", "recife", true, 2), now);
    book.apply_domain_update(reader("x", "fortaleza", true, 3), now);

    assert_eq!(
        book.store_reader(&"d".to_owned(), true, now),
        Some(upstream(2))
    );
    assert_eq!(book.store_reader(&"a".to_owned(), true, now), None);
    assert_eq!(
        book.store_reader(&"a".to_owned(), false, now),
        Some(upstream(2))
    );
}

#[test]
fn another_failure_domain_is_asked_only_where_nobody_here_reaches_the_store() {
    let book = LoadTable::default();
    let now = Instant::now();
    book.apply_update(reader("b", "recife", false, 1), now);
    book.apply_domain_update(reader("x", "fortaleza", true, 3), now);

    assert_eq!(
        book.store_reader(&"c".to_owned(), false, now),
        Some(upstream(3))
    );
    assert_eq!(book.store_reader(&"c".to_owned(), true, now), None);
    let later = now + Duration::from_secs(60);
    assert_eq!(book.store_reader(&"c".to_owned(), false, later), None);
}

/// What users saw: after an outage of the store a change of 10,000 routes took up to 9 s. Each gateway of a
/// failure domain took itself for the first that reaches the store, since none did, and all of them read the
/// configuration at once over the link that they share when it was back. Logs of all four of one domain
/// showed a whole read each, of which one was newer.
#[test]
fn while_nobody_reaches_the_store_the_gateways_of_a_failure_domain_differ_in_rank() {
    let book = LoadTable::default();
    let now = Instant::now();
    book.apply_update(reader("b", "recife", false, 1), now);
    book.apply_update(reader("c", "recife", false, 2), now);

    let ranks = ["a", "d"].map(|own| book.store_rank(&own.to_owned(), false, now));

    assert_eq!(ranks, [0, 2]);
}

#[test]
fn of_gateways_that_reach_the_store_those_that_do_not_take_no_place() {
    let book = LoadTable::default();
    let now = Instant::now();
    book.apply_update(reader("b", "recife", false, 1), now);
    let alone = book.store_rank(&"d".to_owned(), true, now);
    book.apply_update(reader("c", "recife", true, 2), now);

    assert_eq!(alone, 0);
    assert_eq!(book.store_rank(&"d".to_owned(), true, now), 1);
    assert_eq!(book.store_rank(&"d".to_owned(), false, now), 1);
    assert_eq!(book.store_rank(&"a".to_owned(), true, now), 0);
}

fn change(from: &str, sequence: u64, loads: Vec<Load>) -> LoadChange {
    LoadChange {
        from: from.to_owned(),
        incarnation: 5,
        sequence,
        loads,
    }
}

/// Requests of others at some upstreams.
fn requests(book: &LoadTable, upstreams: std::ops::Range<u16>) -> Vec<u32> {
    let of = |n| book.peer_load(&upstream(n)).requests;
    upstreams.map(of).collect()
}

#[test]
fn a_change_that_is_passed_on_goes_in_place_of_what_its_gateway_told() {
    let book = LoadTable::default();
    let now = Instant::now();
    let own = "a".to_owned();
    let told = vec![load(1, 2, 700), load(2, 4, 0)];
    book.apply_update(note("b", "recife", 7, told), now);

    let changed = vec![load(1, 3, 0), load(2, 0, 0), load(3, 1, 0)];
    book.apply_changes(&own, vec![change("b", 8, changed)], now);

    assert_eq!(requests(&book, 1..4), [3, 0, 1]);
    assert_eq!(book.peer_load(&upstream(1)).unread, 0);
}

#[test]
fn changes_that_are_older_of_a_former_life_unknown_or_the_own_are_passed_over() {
    let book = LoadTable::default();
    let now = Instant::now();
    let own = "a".to_owned();
    book.apply_update(note("b", "recife", 7, vec![load(1, 2, 0)]), now);
    let former = LoadChange {
        incarnation: 4,
        ..change("b", 9, vec![load(1, 9, 0)])
    };

    let changes = vec![
        change("b", 7, vec![load(1, 9, 0)]),
        former,
        change("c", 8, vec![load(1, 9, 0)]),
        change("a", 8, vec![load(1, 9, 0)]),
    ];
    book.apply_changes(&own, changes, now);

    assert_eq!(requests(&book, 1..2), [2]);
}

#[test]
fn whether_changes_are_passed_on_is_known_by_the_last_ones() {
    let book = LoadTable::default();
    let now = Instant::now();
    assert!(!book.is_relayed(now));

    book.apply_changes(&"a".to_owned(), Vec::new(), now);

    assert!(book.is_relayed(now));
    assert!(!book.is_relayed(now + Duration::from_millis(300)));
}

#[test]
fn the_first_gateways_heard_are_told_the_own_one_counting_among_them() {
    let book = LoadTable::default();
    let now = Instant::now();
    for vm in ["d", "b", "c"] {
        book.apply_update(note(vm, "recife", 1, Vec::new()), now);
    }

    assert_eq!(book.leaders(&"a".to_owned(), 2, now), ["b"]);
    assert_eq!(book.leaders(&"e".to_owned(), 2, now), ["b", "c"]);
}

#[test]
fn only_what_has_changed_is_passed_on() {
    let mut passed = RelayedLoads::default();
    let now = Instant::now();
    let first = passed.changes(
        vec![change("b", 1, vec![load(1, 2, 0), load(2, 1, 0)])],
        now,
    );
    let same = passed.changes(
        vec![change("b", 2, vec![load(1, 2, 0), load(2, 1, 0)])],
        now,
    );
    let then = passed.changes(vec![change("b", 3, vec![load(1, 3, 0)])], now);

    assert_eq!(first[0].loads.len(), 2);
    assert_eq!(same, []);
    assert_eq!(then, [change("b", 3, vec![load(1, 3, 0), load(2, 0, 0)])]);
}

#[test]
fn a_gateway_of_which_nothing_changes_is_passed_on_as_up_now_and_then() {
    let book = LoadTable::default();
    let now = Instant::now();
    let later = now + Duration::from_millis(900);
    book.apply_update(note("b", "recife", 1, vec![load(1, 2, 0)]), now);
    let mut passed = RelayedLoads::default();
    passed.changes(vec![change("b", 1, vec![load(1, 2, 0)])], now);

    let again = passed.changes(vec![change("b", 3, vec![load(1, 2, 0)])], later);
    book.apply_changes(&"c".to_owned(), again.clone(), later);

    assert_eq!(again, [change("b", 3, Vec::new())]);
    let after = later + Duration::from_millis(900);
    assert_eq!(book.rank(&"c".to_owned(), after), 1, "b is still heard");
}

/// A domain of 41 gateways whose loads all changed at once, with figures of the largest size.
#[test]
fn changes_are_packed_into_datagrams_and_none_is_left_out() {
    let busy = |n| Load {
        failed: 300,
        answered: 300,
        ..load(n, n, 200_000)
    };
    let of = |g: u16| {
        change(
            &format!("front-rec-a-{g}"),
            1 << 40,
            (0..20).map(busy).collect(),
        )
    };
    let changes: Vec<LoadChange> = (0..41).map(of).collect();

    let msgs = batch_messages(changes.clone(), Msg::LoadChanges);

    let sizes = msgs
        .iter()
        .map(|m| beacon::encode(m).expect("a datagram").len());
    assert!(sizes.max() <= Some(MAX_DATAGRAM));
    let out = msgs.into_iter().flat_map(|msg| match msg {
        Msg::LoadChanges(changes) => changes,
        other => panic!("another message: {other:?}"),
    });
    assert_eq!(out.collect::<Vec<_>>(), changes);
}

/// A failure domain that uses 204 engines: one note held the 80 with the most requests, and the others counted
/// as idle in all other failure domains.
#[test]
fn the_loads_of_a_large_domain_are_all_told_within_a_few_notes() {
    let busy = |n| Load {
        failed: 120,
        answered: 120,
        ..load(n, n + 1, 200_000)
    };
    let loads: Vec<Load> = (0..204).map(busy).collect();
    let book = LoadTable::default();
    let now = Instant::now();
    let mut told = PublishedLoads::default();

    for number in 1..=3 {
        let note = note(
            "front-for-b-12",
            "fortaleza",
            number,
            told.next(loads.clone()),
        );
        let buf = beacon::encode(&Msg::DomainLoad(note.clone())).expect("a note");
        assert!(buf.len() <= MAX_DATAGRAM, "{}", buf.len());
        book.apply_domain_update(note, now);
    }

    let all: Vec<u32> = (1..=204).collect();
    assert_eq!(requests(&book, 0..204), all);
}

#[test]
fn what_changed_most_is_told_first_and_what_is_gone_as_nothing() {
    let mut told = PublishedLoads::default();
    let many: Vec<Load> = (0..200).map(|n| load(n, 1, 0)).collect();
    (0..3).for_each(|_| drop(told.next(many.clone())));
    let mut now = many;
    now[150].requests = 7;
    now.remove(20);

    let next = told.next(now);

    assert_eq!(next[0], load(150, 7, 0));
    assert!(next.contains(&load(20, 0, 0)));
}

#[test]
fn what_was_told_longest_ago_comes_again_where_nothing_changes() {
    let mut told = PublishedLoads::default();
    let many: Vec<Load> = (0..200).map(|n| load(n, 1, 0)).collect();
    (0..3).for_each(|_| drop(told.next(many.clone())));

    let again = (0..30).flat_map(|_| told.next(many.clone()));

    let again: std::collections::BTreeSet<SocketAddr> = again.map(|l| l.upstream).collect();
    assert_eq!(again.len(), 200);
}

#[test]
fn the_sum_of_a_domain_goes_on_by_changes_until_another_gateway_tells_it() {
    let book = LoadTable::default();
    let now = Instant::now();
    book.apply_domain_update(
        note("x", "fortaleza", 1, vec![load(1, 3, 0), load(2, 2, 0)]),
        now,
    );

    book.apply_domain_update(note("x", "fortaleza", 2, vec![load(2, 5, 0)]), now);
    let goes_on = requests(&book, 1..3);
    book.apply_domain_update(note("y", "fortaleza", 1, vec![load(2, 4, 0)]), now);

    assert_eq!(goes_on, [3, 5]);
    assert_eq!(requests(&book, 1..3), [0, 4]);
}

/// What a gateway does to what others know of it.
#[derive(Debug, Clone)]
enum Step {
    /// Gateway tells all of its loads.
    Note(u8, Vec<(u16, u16)>),
    /// One passes on what has changed of a gateway's loads.
    Change(u8, Vec<(u16, u16)>),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let loads = || proptest::collection::btree_map(0_u16..6, 0_u16..9, 0..6);
    let step = prop_oneof![
        (0_u8..4, loads()).prop_map(|(g, l)| Step::Note(g, l.into_iter().collect())),
        (0_u8..4, loads()).prop_map(|(g, l)| Step::Change(g, l.into_iter().collect())),
    ];
    proptest::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(cases::cases(200))]

    #[test]
    fn sums_that_are_kept_are_those_made_anew(steps in steps()) {
        let book = LoadTable::default();
        let now = Instant::now();
        let own = "own".to_owned();
        let mut naive: Map<u8, Map<u16, u16>> = Map::default();

        for (i, step) in steps.into_iter().enumerate() {
            let number = i as u64 + 1;
            let loads = |l: &[(u16, u16)]| l.iter().map(|(n, r)| load(*n, *r, 0)).collect();
            match step {
                Step::Note(g, l) => {
                    book.apply_update(note(&format!("g{g}"), "recife", number, loads(&l)), now);
                    naive.insert(g, l.into_iter().collect());
                }
                Step::Change(g, l) => {
                    let changed = change(&format!("g{g}"), number, loads(&l));
                    book.apply_changes(&own, vec![changed], now);
                    if let Some(known) = naive.get_mut(&g) {
                        known.extend(l);
                    }
                }
            }
        }

        let sum = |n: u16| naive.values().filter_map(|l| l.get(&n)).map(|r| u32::from(*r)).sum();
        let sums: Vec<u32> = (0..6).map(sum).collect();
        prop_assert_eq!(requests(&book, 0..6), sums);
    }
}

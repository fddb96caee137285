//! Exchange of loads between gateways of the same and of other failure domains.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{Map, StoreRevision};
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

fn update(from: &str, domain: &str, sequence: u64, loads: Vec<Load>) -> LoadUpdate {
    LoadUpdate {
        from: from.to_owned(),
        domain: domain.to_owned(),
        incarnation: 5,
        sequence,
        reaches_store: true,
        members: StoreRevision::default(),
        configuration: StoreRevision::new(None, 1),
        upstreams: StoreRevision::new(None, 1),
        upstreams_age: Duration::ZERO,
        replica_addr: upstream(0),
        loads,
    }
}

#[test]
fn peer_load_adds_gateways_of_own_domain_and_sums_of_other_domains() {
    let table = LoadTable::default();
    let now = Instant::now();

    table.apply_update(update("b", "recife", 1, vec![load(1, 2, 700)]), now);
    table.apply_update(
        update("c", "recife", 1, vec![load(1, 1, 0), load(2, 4, 0)]),
        now,
    );
    table.apply_domain_update(update("x", "fortaleza", 1, vec![load(1, 3, 100)]), now);

    let load_of_others = table.peer_load(&upstream(1));
    assert_eq!((load_of_others.requests, load_of_others.unread), (6, 800));
    assert_eq!(table.peer_load(&upstream(2)).requests, 4);
    assert_eq!(table.peer_load(&upstream(3)).requests, 0);
}

#[test]
fn domain_sum_excludes_other_domains() {
    let table = LoadTable::default();
    let now = Instant::now();
    table.apply_update(update("b", "recife", 1, vec![load(1, 2, 700)]), now);
    table.apply_domain_update(update("x", "fortaleza", 1, vec![load(1, 9, 0)]), now);

    let sum = table.domain_loads(&[load(1, 1, 50)]);

    assert_eq!(sum, vec![load(1, 3, 750)]);
}

#[test]
fn rank_is_by_vm_among_recently_seen_gateways_of_the_domain() {
    let table = LoadTable::default();
    let now = Instant::now();
    let later = now + Duration::from_millis(1100);
    table.apply_update(update("b", "recife", 1, Vec::new()), now);
    table.apply_update(update("d", "recife", 1, Vec::new()), now);
    table.apply_domain_update(update("a", "fortaleza", 1, Vec::new()), now);

    assert_eq!(table.rank(&"a".to_owned(), now), 0);
    assert_eq!(table.rank(&"c".to_owned(), now), 1, "b precedes it");
    assert_eq!(table.rank(&"c".to_owned(), later), 0, "b has timed out");
}

#[test]
fn sum_of_another_gateway_replaces_previous_one() {
    let table = LoadTable::default();
    let now = Instant::now();
    table.apply_domain_update(update("y", "fortaleza", 90, vec![load(1, 9, 0)]), now);

    table.apply_domain_update(update("x", "fortaleza", 1, vec![load(1, 2, 0)]), now);

    assert_eq!(table.peer_load(&upstream(1)).requests, 2);
}

#[test]
fn older_update_is_ignored_until_newer_one_expires() {
    let table = LoadTable::default();
    let now = Instant::now();
    table.apply_update(update("b", "recife", 7, vec![load(1, 7, 0)]), now);

    table.apply_update(update("b", "recife", 6, vec![load(1, 6, 0)]), now);
    let at_once = table.peer_load(&upstream(1)).requests;
    let later = now + Duration::from_millis(1500);
    table.apply_update(update("b", "recife", 6, vec![load(1, 6, 0)]), later);

    assert_eq!(at_once, 7);
    assert_eq!(table.peer_load(&upstream(1)).requests, 6);
}

#[test]
fn update_keeps_largest_loads_where_not_all_fit() {
    // Prompts and failures of a busy engine.
    let busy = |n| Load {
        failed: 120,
        answered: 120,
        ..load(n, n, 200_000)
    };
    let loads: Vec<Load> = (0..200).map(busy).collect();

    let largest = largest_loads(loads);

    assert!(largest.len() < 200);
    assert!(largest.iter().any(|l| l.requests == 199));
    let update = update("front-rec-a-12", "recife", 1, largest);
    let buf = beacon::encode(&beacon::Msg::DomainLoad(update)).expect("an update");
    assert!(buf.len() <= beacon::MAX_DATAGRAM, "{}", buf.len());
}

#[test]
fn failures_of_all_gateways_are_added() {
    let table = LoadTable::default();
    let now = Instant::now();
    let outcomes = |failed, answered| Load {
        failed,
        answered,
        ..load(1, 0, 0)
    };

    table.apply_update(update("b", "recife", 1, vec![outcomes(1, 0)]), now);
    let few = table.peer_load(&upstream(1)).outcomes;
    table.apply_update(update("c", "recife", 1, vec![outcomes(1, 1)]), now);
    table.apply_domain_update(update("x", "fortaleza", 1, vec![outcomes(2, 0)]), now);
    let most = table.peer_load(&upstream(1)).outcomes;
    table.apply_domain_update(update("y", "salvador", 1, vec![outcomes(0, 6)]), now);
    let some = table.peer_load(&upstream(1)).outcomes;

    assert!(!few.is_failing(), "{few:?}");
    assert!(most.is_failing(), "{most:?}");
    assert!(!some.is_failing(), "{some:?}");
}

#[test]
fn outcomes_decay_over_time() {
    let now = Instant::now();
    let mut outcomes = OutcomeTracker::new(now);
    (0..5).for_each(|_| outcomes.record_failure(now));

    let at_once = outcomes.counts(now);
    let later = outcomes.counts(now + Duration::from_secs(4));

    assert!(at_once.is_failing());
    assert!(!later.is_failing(), "{later:?}");
}

#[test]
fn updates_rotate_over_the_gateways_of_each_other_domain() {
    let far = [vec![upstream(1), upstream(2)], vec![upstream(3)], vec![]];

    let to: Vec<_> = (0..4)
        .map(|sequence| receiver_per_domain(&far, sequence))
        .collect();

    assert_eq!(to[0], [upstream(1), upstream(3)]);
    assert_eq!(to[1], [upstream(2), upstream(3)]);
    assert_eq!(to[2], to[0]);
    assert_eq!(to[3], to[1]);
}

/// An update of a gateway that serves replicas at an address of its own.
fn store_peer(from: &str, domain: &str, reaches_store: bool, n: u16) -> LoadUpdate {
    LoadUpdate {
        reaches_store,
        replica_addr: upstream(n),
        ..update(from, domain, 1, Vec::new())
    }
}

#[test]
fn store_reader_is_first_gateway_that_reaches_the_store() {
    let table = LoadTable::default();
    let now = Instant::now();
    table.apply_update(store_peer("b", "recife", false, 1), now);
    table.apply_update(store_peer("c", "recife", true, 2), now);
    table.apply_domain_update(store_peer("x", "fortaleza", true, 3), now);

    assert_eq!(
        table.store_reader(&"d".to_owned(), true, now),
        Some(upstream(2))
    );
    assert_eq!(table.store_reader(&"a".to_owned(), true, now), None);
    assert_eq!(
        table.store_reader(&"a".to_owned(), false, now),
        Some(upstream(2))
    );
}

#[test]
fn store_reader_is_in_another_domain_only_where_no_own_gateway_reaches_the_store() {
    let table = LoadTable::default();
    let now = Instant::now();
    table.apply_update(store_peer("b", "recife", false, 1), now);
    table.apply_domain_update(store_peer("x", "fortaleza", true, 3), now);

    assert_eq!(
        table.store_reader(&"c".to_owned(), false, now),
        Some(upstream(3))
    );
    assert_eq!(table.store_reader(&"c".to_owned(), true, now), None);
    let later = now + Duration::from_secs(60);
    assert_eq!(table.store_reader(&"c".to_owned(), false, later), None);
}

/// After an outage of the store a change of 10,000 routes could take up to 9 s. While no gateway of a failure domain
/// reached the store, each of them ranked itself first, so that all read the complete configuration at once over
/// their shared link when the store recovered. Each of the four gateways of a failure domain read it completely, and
/// only one of these reads was newer.
#[test]
fn store_ranks_differ_while_no_gateway_reaches_the_store() {
    let table = LoadTable::default();
    let now = Instant::now();
    table.apply_update(store_peer("b", "recife", false, 1), now);
    table.apply_update(store_peer("c", "recife", false, 2), now);

    let ranks = ["a", "d"].map(|own| table.store_rank(&own.to_owned(), false, now));

    assert_eq!(ranks, [0, 2]);
}

#[test]
fn store_rank_skips_gateways_that_do_not_reach_the_store() {
    let table = LoadTable::default();
    let now = Instant::now();
    table.apply_update(store_peer("b", "recife", false, 1), now);
    let alone = table.store_rank(&"d".to_owned(), true, now);
    table.apply_update(store_peer("c", "recife", true, 2), now);

    assert_eq!(alone, 0);
    assert_eq!(table.store_rank(&"d".to_owned(), true, now), 1);
    assert_eq!(table.store_rank(&"d".to_owned(), false, now), 1);
    assert_eq!(table.store_rank(&"a".to_owned(), true, now), 0);
}

fn change(from: &str, sequence: u64, loads: Vec<Load>) -> LoadChange {
    LoadChange {
        from: from.to_owned(),
        incarnation: 5,
        sequence,
        loads,
    }
}

/// Requests of other gateways at some upstreams.
fn requests(table: &LoadTable, upstreams: std::ops::Range<u16>) -> Vec<u32> {
    let of = |n| table.peer_load(&upstream(n)).requests;
    upstreams.map(of).collect()
}

#[test]
fn relayed_change_replaces_loads_of_its_gateway() {
    let table = LoadTable::default();
    let now = Instant::now();
    let own = "a".to_owned();
    let published = vec![load(1, 2, 700), load(2, 4, 0)];
    table.apply_update(update("b", "recife", 7, published), now);

    let changed = vec![load(1, 3, 0), load(2, 0, 0), load(3, 1, 0)];
    table.apply_changes(&own, vec![change("b", 8, changed)], now);

    assert_eq!(requests(&table, 1..4), [3, 0, 1]);
    assert_eq!(table.peer_load(&upstream(1)).unread, 0);
}

#[test]
fn older_stale_unknown_and_own_changes_are_ignored() {
    let table = LoadTable::default();
    let now = Instant::now();
    let own = "a".to_owned();
    table.apply_update(update("b", "recife", 7, vec![load(1, 2, 0)]), now);
    let stale = LoadChange {
        incarnation: 4,
        ..change("b", 9, vec![load(1, 9, 0)])
    };

    let changes = vec![
        change("b", 7, vec![load(1, 9, 0)]),
        stale,
        change("c", 8, vec![load(1, 9, 0)]),
        change("a", 8, vec![load(1, 9, 0)]),
    ];
    table.apply_changes(&own, changes, now);

    assert_eq!(requests(&table, 1..2), [2]);
}

#[test]
fn relaying_counts_as_stopped_some_time_after_last_changes() {
    let table = LoadTable::default();
    let now = Instant::now();
    assert!(!table.is_relayed(now));

    table.apply_changes(&"a".to_owned(), Vec::new(), now);

    assert!(table.is_relayed(now));
    assert!(!table.is_relayed(now + Duration::from_millis(300)));
}

#[test]
fn leaders_are_first_seen_gateways_with_own_one_counted() {
    let table = LoadTable::default();
    let now = Instant::now();
    for vm in ["d", "b", "c"] {
        table.apply_update(update(vm, "recife", 1, Vec::new()), now);
    }

    assert_eq!(table.leaders(&"a".to_owned(), 2, now), ["b"]);
    assert_eq!(table.leaders(&"e".to_owned(), 2, now), ["b", "c"]);
}

#[test]
fn only_changes_are_relayed() {
    let mut relayed = RelayedLoads::default();
    let now = Instant::now();
    let first = relayed.changes(
        vec![change("b", 1, vec![load(1, 2, 0), load(2, 1, 0)])],
        now,
    );
    let same = relayed.changes(
        vec![change("b", 2, vec![load(1, 2, 0), load(2, 1, 0)])],
        now,
    );
    let then = relayed.changes(vec![change("b", 3, vec![load(1, 3, 0)])], now);

    assert_eq!(first[0].loads.len(), 2);
    assert_eq!(same, []);
    assert_eq!(then, [change("b", 3, vec![load(1, 3, 0), load(2, 0, 0)])]);
}

#[test]
fn unchanged_gateway_is_periodically_relayed_as_up() {
    let table = LoadTable::default();
    let now = Instant::now();
    let later = now + Duration::from_millis(900);
    table.apply_update(update("b", "recife", 1, vec![load(1, 2, 0)]), now);
    let mut relayed = RelayedLoads::default();
    relayed.changes(vec![change("b", 1, vec![load(1, 2, 0)])], now);

    let again = relayed.changes(vec![change("b", 3, vec![load(1, 2, 0)])], later);
    table.apply_changes(&"c".to_owned(), again.clone(), later);

    assert_eq!(again, [change("b", 3, Vec::new())]);
    let after = later + Duration::from_millis(900);
    assert_eq!(table.rank(&"c".to_owned(), after), 1, "b is still seen");
}

/// A failure domain of 41 gateways whose loads all change at once, with numbers of maximum size.
#[test]
fn all_changes_are_batched_into_datagrams() {
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

/// An update that only holds the 80 engines with the most requests would make the others of a failure domain with 204
/// engines count as idle in all other failure domains.
#[test]
fn all_loads_of_a_large_domain_are_sent_within_three_updates() {
    let busy = |n| Load {
        failed: 120,
        answered: 120,
        ..load(n, n + 1, 200_000)
    };
    let loads: Vec<Load> = (0..204).map(busy).collect();
    let table = LoadTable::default();
    let now = Instant::now();
    let mut published = PublishedLoads::default();

    for number in 1..=3 {
        let update = update(
            "front-for-b-12",
            "fortaleza",
            number,
            published.next(loads.clone()),
        );
        let buf = beacon::encode(&Msg::DomainLoad(update.clone())).expect("an update");
        assert!(buf.len() <= MAX_DATAGRAM, "{}", buf.len());
        table.apply_domain_update(update, now);
    }

    let all: Vec<u32> = (1..=204).collect();
    assert_eq!(requests(&table, 0..204), all);
}

#[test]
fn largest_changes_are_sent_first_and_removed_loads_as_idle() {
    let mut published = PublishedLoads::default();
    let many: Vec<Load> = (0..200).map(|n| load(n, 1, 0)).collect();
    (0..3).for_each(|_| drop(published.next(many.clone())));
    let mut now = many;
    now[150].requests = 7;
    now.remove(20);

    let next = published.next(now);

    assert_eq!(next[0], load(150, 7, 0));
    assert!(next.contains(&load(20, 0, 0)));
}

#[test]
fn least_recently_sent_loads_are_repeated() {
    let mut published = PublishedLoads::default();
    let many: Vec<Load> = (0..200).map(|n| load(n, 1, 0)).collect();
    (0..3).for_each(|_| drop(published.next(many.clone())));

    let again = (0..30).flat_map(|_| published.next(many.clone()));

    let again: std::collections::BTreeSet<SocketAddr> = again.map(|l| l.upstream).collect();
    assert_eq!(again.len(), 200);
}

#[test]
fn domain_sum_follows_changes_until_another_gateway_sends_it() {
    let table = LoadTable::default();
    let now = Instant::now();
    table.apply_domain_update(
        update("x", "fortaleza", 1, vec![load(1, 3, 0), load(2, 2, 0)]),
        now,
    );

    table.apply_domain_update(update("x", "fortaleza", 2, vec![load(2, 5, 0)]), now);
    let continued = requests(&table, 1..3);
    table.apply_domain_update(update("y", "fortaleza", 1, vec![load(2, 4, 0)]), now);

    assert_eq!(continued, [3, 5]);
    assert_eq!(requests(&table, 1..3), [0, 4]);
}

/// A message about a gateway's loads.
#[derive(Debug, Clone)]
enum Step {
    /// A full update of the gateway.
    Update(u8, Vec<(u16, u16)>),
    /// A relayed change of the gateway's loads.
    Change(u8, Vec<(u16, u16)>),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let loads = || proptest::collection::btree_map(0_u16..6, 0_u16..9, 0..6);
    let step = prop_oneof![
        (0_u8..4, loads()).prop_map(|(g, l)| Step::Update(g, l.into_iter().collect())),
        (0_u8..4, loads()).prop_map(|(g, l)| Step::Change(g, l.into_iter().collect())),
    ];
    proptest::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(cases::cases(200))]

    #[test]
    fn incremental_sums_equal_recomputed_sums(steps in steps()) {
        let table = LoadTable::default();
        let now = Instant::now();
        let own = "own".to_owned();
        let mut naive: Map<u8, Map<u16, u16>> = Map::default();

        for (i, step) in steps.into_iter().enumerate() {
            let number = i as u64 + 1;
            let loads = |l: &[(u16, u16)]| l.iter().map(|(n, r)| load(*n, *r, 0)).collect();
            match step {
                Step::Update(g, l) => {
                    table.apply_update(update(&format!("g{g}"), "recife", number, loads(&l)), now);
                    naive.insert(g, l.into_iter().collect());
                }
                Step::Change(g, l) => {
                    let changed = change(&format!("g{g}"), number, loads(&l));
                    table.apply_changes(&own, vec![changed], now);
                    if let Some(known) = naive.get_mut(&g) {
                        known.extend(l);
                    }
                }
            }
        }

        let sum = |n: u16| naive.values().filter_map(|l| l.get(&n)).map(|r| u32::from(*r)).sum();
        let sums: Vec<u32> = (0..6).map(sum).collect();
        prop_assert_eq!(requests(&table, 0..6), sums);
    }
}

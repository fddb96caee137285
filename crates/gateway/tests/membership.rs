//! Upstreams that are added, changed and removed, also after an outage of the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::StoreRevision;
use beacon::{EngineStatus, Holding};
use gateway::membership::UpstreamTable;
use gateway::upstream::{Health, ListedUpstream, Slot, SlotNotifier};

const RETURN_TIME: Duration = Duration::from_secs(2);

/// Outage of the store after which entries may have lapsed.
const OUTAGE: Duration = Duration::from_secs(3);

fn upstreams() -> UpstreamTable {
    UpstreamTable::new("recife".to_owned(), RETURN_TIME)
}

/// Applies a list soon after the previous one.
fn apply_list(upstreams: &UpstreamTable, all: Vec<ListedUpstream>, now: Instant) -> bool {
    upstreams.apply_list(all, Duration::from_secs(1), now)
}

/// Returns a revision of a store that states no era.
fn rev(number: u64) -> StoreRevision {
    StoreRevision::new(None, number)
}

fn listed(n: u16) -> ListedUpstream {
    ListedUpstream {
        instance: format!("i-{n}"),
        service: "llm".to_owned(),
        addr: ([127, 0, 0, 1], 9000 + n).into(),
        domain: "recife".to_owned(),
        slots: 16,
        draining: false,
        cold_for: Duration::ZERO,
        holdings: vec![holding(Some(1))],
        revision: rev(1),
        start_time: None,
        heartbeats: 1,
    }
}

fn holding(version: Option<u64>) -> Holding {
    Holding {
        model: "m".to_owned(),
        version,
    }
}

fn status(n: u16, sequence: u64, switching: bool) -> EngineStatus {
    EngineStatus {
        incarnation: 7,
        sequence,
        upstream: ([127, 0, 0, 1], 9000 + n).into(),
        switching,
        leaves_in: None,
        holdings: vec![holding(Some(2))],
        running: 0,
        queued: 0,
        releases: Vec::new(),
        start_time: None,
        verified: Vec::new(),
    }
}

fn available(upstreams: &UpstreamTable, now: Instant) -> Vec<String> {
    let mut ids: Vec<String> = upstreams
        .available("llm", now)
        .iter()
        .map(|u| u.instance.clone())
        .collect();
    ids.sort();
    ids
}

#[test]
fn draining_and_missing_upstreams_are_unavailable() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![listed(1), listed(2), listed(3)], now);
    let mut draining = listed(2);
    draining.draining = true;

    let changed = apply_list(&upstreams, vec![listed(1), draining], now);

    assert!(changed);
    assert_eq!(available(&upstreams, now), ["i-1"]);
}

#[test]
fn entries_that_lapsed_during_store_outage_are_retained_for_return_time() {
    let upstreams = upstreams();
    let now = Instant::now();
    let recovered = now + OUTAGE;
    apply_list(&upstreams, vec![listed(1), listed(2)], now);

    upstreams.apply_list(vec![listed(1)], OUTAGE, recovered);
    apply_list(
        &upstreams,
        vec![listed(1)],
        recovered + Duration::from_millis(500),
    );

    let before = recovered + RETURN_TIME - Duration::from_millis(1);
    let after = recovered + RETURN_TIME;
    assert_eq!(available(&upstreams, before), ["i-1", "i-2"]);
    // The end of the retention needs no further list.
    assert_eq!(available(&upstreams, after), ["i-1"]);
}

#[test]
fn second_outage_does_not_extend_retention() {
    let return_time = OUTAGE * 2;
    let upstreams = UpstreamTable::new("recife".to_owned(), return_time);
    let now = Instant::now();
    apply_list(&upstreams, vec![listed(1), listed(2)], now);
    upstreams.apply_list(vec![listed(1)], OUTAGE, now + OUTAGE);

    upstreams.apply_list(vec![listed(1)], OUTAGE, now + OUTAGE * 2);

    assert_eq!(available(&upstreams, now + OUTAGE + return_time), ["i-1"]);
}

#[test]
fn reappearing_entry_is_available_again() {
    let upstreams = upstreams();
    let now = Instant::now();
    let recovered = now + OUTAGE;
    apply_list(&upstreams, vec![listed(1), listed(2)], now);
    upstreams.apply_list(vec![listed(1)], OUTAGE, recovered);

    apply_list(
        &upstreams,
        vec![listed(1), listed(2)],
        recovered + Duration::from_secs(1),
    );

    assert_eq!(
        available(&upstreams, now + Duration::from_secs(9)),
        ["i-1", "i-2"]
    );
}

#[test]
fn restarted_upstream_replaces_stale_entry_at_its_address() {
    let upstreams = upstreams();
    let now = Instant::now();
    let mut restarted = listed(1);
    restarted.instance = "i-again".to_owned();
    restarted.revision = rev(9);
    let mut other_service = listed(2);
    other_service.instance = "i-other".to_owned();
    other_service.service = "registry".to_owned();
    other_service.revision = rev(9);

    apply_list(
        &upstreams,
        vec![listed(1), restarted, other_service, listed(2), listed(3)],
        now,
    );

    assert_eq!(available(&upstreams, now), ["i-3", "i-again"]);
}

#[test]
fn heartbeat_alone_is_no_change() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![listed(1)], now);
    let mut heartbeat = listed(1);
    heartbeat.revision = rev(2);

    assert!(!apply_list(&upstreams, vec![heartbeat], now));
}

#[test]
fn loader_status_overrides_list_and_older_status_is_ignored() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![listed(1)], now);
    let upstream = upstreams.available("llm", now).remove(0);
    assert_eq!(upstream.serving_version(&"m".to_owned()), Some(1));

    assert!(upstreams.apply_status(status(1, 2, true), Instant::now()));
    assert_eq!(upstream.serving_version(&"m".to_owned()), None);

    assert!(!upstreams.apply_status(status(1, 1, false), Instant::now()));
    assert_eq!(upstream.serving_version(&"m".to_owned()), None);

    assert!(upstreams.apply_status(status(1, 3, false), Instant::now()));
    assert_eq!(upstream.serving_version(&"m".to_owned()), Some(2));
}

#[test]
fn status_of_loader_with_clock_set_back_is_applied_after_previous_one_expires() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![listed(1)], now);
    let previous = EngineStatus {
        incarnation: 9,
        ..status(1, 1, false)
    };
    let next = status(1, 2, true);
    upstreams.apply_status(previous, now);

    let immediately = upstreams.apply_status(next.clone(), now);
    let later = upstreams.apply_status(next, now + Duration::from_secs(3));

    assert!(!immediately && later);
}

#[test]
fn time_until_upstream_leaves_for_new_weights_counts_down() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![listed(1)], now);
    let status = EngineStatus {
        leaves_in: Some(Duration::from_secs(2)),
        ..status(1, 1, false)
    };

    upstreams.apply_status(status, now);

    let upstream = upstreams.available("llm", now).remove(0);
    let second = Duration::from_secs(1);
    assert_eq!(upstream.leaves_in(now + second), Some(second));
    assert_eq!(upstream.leaves_in(now + second * 2), Some(Duration::ZERO));
    assert_eq!(
        upstream.leaves_in(now + second * 4),
        None,
        "the status has expired"
    );
}

/// An entry of the incarnation that started at `start_time`.
fn started_at(n: u16, start_time: u64, version: Option<u64>) -> ListedUpstream {
    ListedUpstream {
        start_time: Some(start_time),
        holdings: vec![holding(version)],
        ..listed(n)
    }
}

#[test]
fn new_incarnation_inherits_no_state() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![started_at(1, 100, Some(1))], now);
    let stale = upstreams.available("llm", now).remove(0);
    stale.record_health(Health::Replaced);
    let notifier = SlotNotifier {
        slot_freed: Arc::default(),
        load_changed: Arc::default(),
    };
    let slot = Slot::acquire(stale.clone(), Some(1), 700, notifier);
    upstreams.apply_status(status_of(100, 5), now);

    let changed = apply_list(&upstreams, vec![started_at(1, 200, None)], now);

    let upstream = upstreams.available("llm", now).remove(0);
    assert!(changed);
    assert_eq!(
        upstream.serving_version(&"m".to_owned()),
        None,
        "the new incarnation holds nothing"
    );
    assert_eq!((upstream.load().requests, upstream.load().unread), (0, 0));
    assert!(stale.is_ejected() && !upstream.is_ejected());
    drop(slot);
    assert_eq!(
        upstream.load().requests,
        0,
        "a request of the stale incarnation isn't counted"
    );
}

fn status_of(start_time: u64, sequence: u64) -> EngineStatus {
    EngineStatus {
        start_time: Some(start_time),
        ..status(1, sequence, false)
    }
}

#[test]
fn late_status_of_stale_incarnation_is_ignored() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![started_at(1, 200, None)], now);

    assert!(!upstreams.apply_status(status_of(100, 9), now));

    let upstream = upstreams.available("llm", now).remove(0);
    assert_eq!(upstream.serving_version(&"m".to_owned()), None);
}

#[test]
fn status_of_new_incarnation_overrides_list_and_survives_its_listing() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![started_at(1, 100, Some(1))], now);

    assert!(upstreams.apply_status(status_of(200, 1), now));
    let before = upstreams.available("llm", now).remove(0);
    assert_eq!(before.serving_version(&"m".to_owned()), Some(2));
    apply_list(&upstreams, vec![started_at(1, 200, None)], now);

    let after = upstreams.available("llm", now).remove(0);
    assert_eq!(after.serving_version(&"m".to_owned()), Some(2));
}

#[test]
fn two_restarts_between_lists_count_as_one() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![started_at(1, 100, Some(1))], now);
    upstreams.apply_status(status_of(200, 1), now);

    apply_list(&upstreams, vec![started_at(1, 300, None)], now);

    let upstream = upstreams.available("llm", now).remove(0);
    assert_eq!(
        (
            upstream.start_time,
            upstream.serving_version(&"m".to_owned())
        ),
        (Some(300), None)
    );
}

#[test]
fn entry_without_start_time_is_ignored_where_it_is_known() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![started_at(1, 100, Some(1))], now);
    let mut of_another_writer = listed(1);
    of_another_writer.draining = true;

    let changed = apply_list(&upstreams, vec![of_another_writer], now);

    assert!(!changed);
    assert_eq!(available(&upstreams, now), ["i-1"]);
}

#[test]
fn changed_address_is_a_new_incarnation() {
    let upstreams = upstreams();
    let now = Instant::now();
    apply_list(&upstreams, vec![listed(1)], now);
    let mut moved = listed(1);
    moved.addr = ([127, 0, 0, 1], 9999).into();

    apply_list(&upstreams, vec![moved], now);

    let upstream = upstreams.available("llm", now).remove(0);
    assert_eq!(upstream.addr.port(), 9999);
}

fn is_cold(upstreams: &UpstreamTable, now: Instant) -> bool {
    upstreams.all()[0].snapshot(None, now).is_cold
}

fn at_revision(revision: u64, cold_for: Duration) -> ListedUpstream {
    ListedUpstream {
        revision: rev(revision),
        cold_for,
        ..listed(1)
    }
}

#[test]
fn cold_time_follows_newest_entry() {
    let (upstreams, now) = (upstreams(), Instant::now());
    let cold_for = Duration::from_secs(3);
    apply_list(&upstreams, vec![at_revision(5, cold_for)], now);

    let at_first = is_cold(&upstreams, now);
    apply_list(&upstreams, vec![at_revision(5, Duration::ZERO)], now);
    let by_the_same = is_cold(&upstreams, now);
    let later = is_cold(&upstreams, now + 2 * cold_for);
    apply_list(&upstreams, vec![at_revision(6, Duration::ZERO)], now);

    assert!(at_first && by_the_same && !later);
    assert!(!is_cold(&upstreams, now));
}

#[test]
fn possibly_cold_upstreams_count_as_cold_until_a_later_entry() {
    let (upstreams, now) = (upstreams(), Instant::now());
    apply_list(&upstreams, vec![at_revision(5, Duration::ZERO)], now);

    upstreams.mark_possibly_cold("fortaleza", rev(8));
    let of_another_domain = is_cold(&upstreams, now);
    upstreams.mark_possibly_cold("recife", rev(8));
    apply_list(&upstreams, vec![at_revision(7, Duration::ZERO)], now);
    let by_an_earlier_entry = is_cold(&upstreams, now);
    apply_list(&upstreams, vec![at_revision(9, Duration::ZERO)], now);

    assert!(!of_another_domain && by_an_earlier_entry);
    assert!(!is_cold(&upstreams, now));
}

#[test]
fn upstream_that_stays_unreachable_counts_as_cold_until_next_entry() {
    let (upstreams, now) = (upstreams(), Instant::now());
    apply_list(&upstreams, vec![at_revision(5, Duration::ZERO)], now);
    let upstream = upstreams.all()[0].clone();

    upstream.record_health(Health::Unreachable);
    let once = is_cold(&upstreams, now);
    upstream.record_health(Health::Unreachable);
    let twice = is_cold(&upstreams, now);
    apply_list(&upstreams, vec![at_revision(6, Duration::ZERO)], now);

    assert!(!once && twice);
    assert!(!is_cold(&upstreams, now));
}

/// Returns an entry as of an era of the store.
fn in_era(era: u64, n: u16, heartbeats: u64, draining: bool) -> ListedUpstream {
    ListedUpstream {
        revision: StoreRevision::new(Some(era), heartbeats),
        heartbeats,
        draining,
        ..listed(n)
    }
}

#[test]
fn restored_entry_does_not_revoke_a_drain() {
    let (upstreams, now) = (upstreams(), Instant::now());
    for heartbeats in [3, 4] {
        let drained = in_era(1, 1, 3, true);
        apply_list(&upstreams, vec![drained, in_era(1, 2, 9, false)], now);

        // The drain was stated in the fourth heartbeat, or between the third and the fourth.
        let restored = vec![in_era(2, 1, heartbeats - 1, false), in_era(2, 2, 9, false)];
        apply_list(&upstreams, restored, now);

        assert_eq!(available(&upstreams, now), ["i-2"]);
    }
}

#[test]
fn restored_entry_of_a_removed_upstream_is_ignored_until_it_is_written_again() {
    let (upstreams, now) = (upstreams(), Instant::now());
    let (first, second) = (in_era(1, 1, 4, false), in_era(1, 2, 4, false));
    apply_list(&upstreams, vec![first, second.clone()], now);
    apply_list(&upstreams, vec![second], now);

    let restored = vec![in_era(2, 1, 4, false), in_era(2, 2, 4, false)];
    apply_list(&upstreams, restored, now);
    let by_the_restored = available(&upstreams, now);
    let written = vec![in_era(2, 1, 5, false), in_era(2, 2, 4, false)];
    apply_list(&upstreams, written, now);

    assert_eq!(by_the_restored, ["i-2"]);
    assert_eq!(available(&upstreams, now), ["i-1", "i-2"]);
}

#[test]
fn upstream_missing_from_a_restored_list_is_retained_for_the_return_time() {
    let (upstreams, now) = (upstreams(), Instant::now());
    apply_list(&upstreams, vec![in_era(1, 1, 4, false)], now);

    upstreams.record_restore(now);
    apply_list(&upstreams, vec![], now);

    let before = now + RETURN_TIME - Duration::from_millis(1);
    assert_eq!(available(&upstreams, before), ["i-1"]);
    assert!(available(&upstreams, now + RETURN_TIME).is_empty());
}

#[test]
fn entry_of_an_earlier_start_does_not_replace_a_later_one_after_a_restore() {
    let (upstreams, now) = (upstreams(), Instant::now());
    let started = |era, start_time, heartbeats, draining| ListedUpstream {
        start_time: Some(start_time),
        ..in_era(era, 1, heartbeats, draining)
    };
    apply_list(&upstreams, vec![started(1, 2_000, 1, false)], now);

    apply_list(&upstreams, vec![started(2, 1_000, 9, true)], now);

    assert_eq!(available(&upstreams, now), ["i-1"]);
}

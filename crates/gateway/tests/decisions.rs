//! Decisions that need no network: the retry budget, releases, refusals and the splitting of events.

use std::time::{Duration, Instant};

use catalog::{Release, ReleaseList};
use decide::retry_budget::RetryBudget;
use gateway::events::EventBuffer;
use gateway::refusal::Refusal;
use gateway::release::Releases;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);
const VERSION_TIME: Duration = Duration::from_secs(8);
const CONTACT_TIME: Duration = Duration::from_secs(3);

fn service() -> String {
    "llm".to_owned()
}

fn model() -> String {
    "m".to_owned()
}

fn list(revision: u64, versions: &[u64]) -> ReleaseList {
    let release = |version: &u64| Release {
        model: model(),
        version: *version,
    };
    ReleaseList {
        revision,
        releases: versions.iter().map(release).collect(),
    }
}

/// Uses up the budget and returns the number of retries that it allowed.
fn use_up(budget: &RetryBudget, gateways: usize, now: Instant) -> usize {
    (0..10_000)
        .take_while(|_| budget.withdraw(&service(), Some(gateways), now))
        .count()
}

#[test]
fn retry_budget_holds_over_all_gateways() {
    let (ratio, slack, gateways) = (0.2, 100.0, 7);
    let start = Instant::now();
    let mut spent = 0;
    let mut requests = 0;

    for n in 0..gateways {
        let budget = RetryBudget::new(WINDOW, ratio, slack, start);
        for step in 1..=50 {
            let now = start + WINDOW / 50 * step;
            for _ in 0..n {
                budget.deposit(&service(), now);
                requests += 1;
            }
            spent += use_up(&budget, gateways, now);
        }
    }

    let limit = ratio * requests as f64 + slack;
    assert!(spent as f64 <= limit, "{spent} of {limit}");
    assert!(spent as f64 >= limit / 2.0, "{spent} of {limit}");
}

#[test]
fn retry_budget_refills_after_its_window() {
    let start = Instant::now();
    let budget = RetryBudget::new(WINDOW, 0.2, 10.0, start);
    let now = start + WINDOW;
    let spent = use_up(&budget, 1, now);
    assert!(spent > 0 && !budget.withdraw(&service(), Some(1), now));

    let later = now + WINDOW + Duration::from_millis(1);

    assert_eq!(use_up(&budget, 1, later), spent);
}

#[test]
fn older_versions_begin_requests_until_shortly_before_the_bound() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    let now = Instant::now();
    releases.apply(list(0, &[]), now);
    releases.apply(list(1, &[2]), now);

    assert_eq!(
        releases.oldest_allowed(&model(), now + Duration::from_secs(5)),
        0
    );
    assert_eq!(releases.oldest_allowed(&model(), now + VERSION_TIME), 2);
    let until = releases.may_begin_until(&model(), 1).expect("a bound");
    assert!(until < now + VERSION_TIME && until > now + Duration::from_secs(6));
    assert_eq!(releases.may_begin_until(&model(), 2), None);
}

#[test]
fn each_release_takes_effect_by_its_own_time() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    let now = Instant::now();
    releases.apply(list(0, &[]), now);
    releases.apply(list(1, &[2]), now);
    releases.apply(list(2, &[3]), now + Duration::from_secs(4));

    assert_eq!(releases.oldest_allowed(&model(), now + VERSION_TIME), 2);
    let later = now + VERSION_TIME + Duration::from_secs(4);
    assert_eq!(releases.oldest_allowed(&model(), later), 3);
}

#[test]
fn release_found_at_start_takes_effect_after_contact_time() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    let now = Instant::now();

    releases.apply(list(1, &[2]), now);

    assert_eq!(releases.oldest_allowed(&model(), now + CONTACT_TIME), 2);
}

#[test]
fn only_refusals_before_execution_return_503() {
    let after = Duration::from_secs(1);
    let not_run = [
        Refusal::NotReady(after),
        Refusal::Busy(after),
        Refusal::Reserved(after),
        Refusal::NoUpstream(after),
        Refusal::BusyPromised(after),
        Refusal::BusyUnpromised(after),
        Refusal::NoUpstreamPromised(after),
        Refusal::NoUpstreamUnpromised(after),
        Refusal::NotTaken(after),
        Refusal::NoTime(after),
    ];
    for refusal in not_run {
        assert_eq!(refusal.status(), 503);
        assert!(refusal.response().headers().contains_key("retry-after"));
    }
    for refusal in [Refusal::TimedOut, Refusal::Lost("reset".to_owned())] {
        assert!(matches!(refusal.status(), 502 | 504));
        assert!(!refusal.response().headers().contains_key("retry-after"));
    }
}

/// Guards against callers that are told to expect capacity where none is expected.
#[test]
fn only_promises_tell_callers_to_expect_capacity() {
    let after = Duration::from_secs(1);
    let promise = "capacity is expected after the stated delay";
    for refusal in [
        Refusal::BusyPromised(after),
        Refusal::NoUpstreamPromised(after),
    ] {
        assert!(refusal.to_string().ends_with(promise), "{refusal}");
    }
    for refusal in [
        Refusal::BusyUnpromised(after),
        Refusal::NoUpstreamUnpromised(after),
    ] {
        assert!(refusal.to_string().contains("no capacity is expected"));
    }
}

/// Returns a stream of `n` events, as an engine writes it.
fn stream(n: usize) -> Vec<u8> {
    (1..=n)
        .flat_map(|i| format!("id: {i}\ndata: {}\n\n", "x".repeat(i % 7)).into_bytes())
        .collect()
}

proptest! {
    #![proptest_config(cases::cases(200))]

    #[test]
    fn splits_events_for_any_chunking_of_the_bytes(
        n in 1_usize..20,
        lens in proptest::collection::vec(1_usize..40, 1..60),
    ) {
        let bytes = stream(n);
        let mut events = EventBuffer::default();
        let mut out = Vec::new();
        let mut rest = &bytes[..];
        let mut lens = lens.iter().cycle();

        while !rest.is_empty() {
            let len = (*lens.next().expect("an endless iterator")).min(rest.len());
            events.push(&rest[..len]);
            rest = &rest[len..];
            if let Some(complete) = events.take_complete() {
                prop_assert!(complete.ends_with(b"\n\n"));
                out.extend_from_slice(&complete);
                let last = out.windows(2).filter(|w| w == b"\n\n").count().to_string();
                prop_assert_eq!(events.last_id(), Some(&last));
            }
        }

        prop_assert!(events.is_complete());
        prop_assert_eq!(out, bytes);
    }

    #[test]
    fn never_returns_a_partial_event(n in 1_usize..20, short in 1_usize..8) {
        let bytes = stream(n);
        let mut events = EventBuffer::default();

        events.push(&bytes[..bytes.len() - short]);
        let complete = events.take_complete();

        let taken = complete.map_or(0, |w| w.len());
        prop_assert!(taken <= bytes.len() - short);
        prop_assert!(!events.is_complete());
    }
}

/// Guards against reverting a release: version 3 was released 2.6 s after version 2, and the write of version 2, whose
/// response had been lost, took effect again afterwards, so the store held version 2 from then on. Gateways sent it to
/// loaders as the newest, and loaders without version 3 loaded version 2. After all processes were killed, no process
/// knew version 3, and requests began on version 2 for 31 s and longer.
#[test]
fn late_write_of_an_older_version_does_not_revert_a_release() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    let now = Instant::now();
    releases.apply(list(1, &[2]), now);
    releases.apply(list(2, &[3]), now);

    releases.apply(list(3, &[2]), now);

    let newest = releases.newest().borrow().releases.clone();
    assert_eq!(newest, list(2, &[3]).releases);
}

#[test]
fn version_verified_by_a_loader_counts_as_released() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    let now = Instant::now();
    releases.apply(list(1, &[2]), now);

    releases.observe(&list(0, &[3]).releases, now);

    assert_eq!(releases.newest().borrow().version(&model()), Some(3));
    assert_eq!(
        releases.oldest_allowed(&model(), now),
        0,
        "older versions remain allowed for a while"
    );
    assert_eq!(releases.oldest_allowed(&model(), now + CONTACT_TIME), 3);
}

#[test]
fn initial_version_is_not_a_release() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);

    let initial = list(0, &[catalog::FIRST_VERSION]);
    releases.observe(&initial.releases, Instant::now());

    assert_eq!(releases.newest().borrow().version(&model()), None);
}

#[test]
fn newer_than_compares_versions_not_revisions() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    releases.apply(list(9, &[3]), Instant::now());

    let for_older = releases.newer_than(&list(9, &[2]).releases);
    let for_same = releases.newer_than(&list(1, &[3]).releases);

    assert_eq!(for_older.and_then(|l| l.version(&model())), Some(3));
    assert_eq!(for_same, None);
}

proptest! {
    #![proptest_config(cases::cases(200))]

    #[test]
    fn lists_in_any_order_keep_the_highest_version(
        received in proptest::collection::vec((0_u64..50, 1_u64..9), 1..20),
    ) {
        let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
        let now = Instant::now();

        for (revision, version) in &received {
            releases.apply(list(*revision, &[*version]), now);
        }

        let highest = received.iter().map(|(_, version)| *version).max();
        prop_assert_eq!(releases.newest().borrow().version(&model()), highest);
        prop_assert_eq!(releases.oldest_allowed(&model(), now + VERSION_TIME), highest.unwrap_or(0));
    }
}

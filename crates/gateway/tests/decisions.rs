//! Decisions that need no network: budgets, releases, events.

use std::time::{Duration, Instant};

use catalog::{Release, ReleaseList};
use decide::retry_budget::RetryBudget;
use gateway::events::Events;
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

/// Spends until the budget is used up; returns how often it could.
fn spend_all(budget: &RetryBudget, gateways: usize, now: Instant) -> usize {
    (0..10_000)
        .take_while(|_| budget.withdraw(&service(), gateways, now))
        .count()
}

#[test]
fn gateways_together_stay_within_the_budget() {
    let (ratio, slack, gateways) = (0.2, 100.0, 7);
    let now = Instant::now();
    let mut spent = 0;
    let mut requests = 0;

    for n in 0..gateways {
        let budget = RetryBudget::new(WINDOW, ratio, slack);
        for _ in 0..n * 50 {
            budget.deposit(&service(), now);
            requests += 1;
        }
        spent += spend_all(&budget, gateways, now);
    }

    let most = ratio * requests as f64 + slack;
    assert!(spent as f64 <= most, "{spent} of {most}");
    assert!(spent as f64 >= most / 2.0, "{spent} of {most}");
}

#[test]
fn a_budget_comes_back_when_its_window_has_passed() {
    let budget = RetryBudget::new(WINDOW, 0.2, 10.0);
    let now = Instant::now();
    let spent = spend_all(&budget, 1, now);
    assert!(spent > 0 && !budget.withdraw(&service(), 1, now));

    let later = now + WINDOW + Duration::from_millis(1);

    assert_eq!(spend_all(&budget, 1, later), spent);
}

#[test]
fn older_versions_may_begin_requests_until_shortly_before_the_bound() {
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
fn each_release_counts_from_its_own_time() {
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
fn a_release_found_at_the_start_is_due_when_the_process_is_held_to_its_bounds() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    let now = Instant::now();

    releases.apply(list(1, &[2]), now);

    assert_eq!(releases.oldest_allowed(&model(), now + CONTACT_TIME), 2);
}

#[test]
fn only_refusals_of_what_has_not_run_promise_so() {
    let after = Duration::from_secs(1);
    let promises = [
        Refusal::NotReady(after),
        Refusal::Busy(after),
        Refusal::NoUpstream(after),
        Refusal::NotTaken(after),
        Refusal::NoTime(after),
    ];
    for refusal in promises {
        assert_eq!(refusal.status(), 503);
        assert!(refusal.answer().headers().contains_key("retry-after"));
    }
    for refusal in [Refusal::TimedOut, Refusal::Lost("reset".to_owned())] {
        assert!(matches!(refusal.status(), 502 | 504));
        assert!(!refusal.answer().headers().contains_key("retry-after"));
    }
}

/// A stream of `n` events, as an engine writes it.
fn stream(n: usize) -> Vec<u8> {
    (1..=n)
        .flat_map(|i| format!("id: {i}\ndata: {}\n\n", "x".repeat(i % 7)).into_bytes())
        .collect()
}

proptest! {
    #![proptest_config(cases::cases(200))]

    #[test]
    fn events_come_out_whole_however_the_bytes_are_cut(
        n in 1_usize..20,
        cuts in proptest::collection::vec(1_usize..40, 1..60),
    ) {
        let bytes = stream(n);
        let mut events = Events::default();
        let mut out = Vec::new();
        let mut rest = &bytes[..];
        let mut cuts = cuts.iter().cycle();

        while !rest.is_empty() {
            let cut = (*cuts.next().expect("an endless cycle")).min(rest.len());
            events.push(&rest[..cut]);
            rest = &rest[cut..];
            if let Some(whole) = events.take() {
                prop_assert!(whole.ends_with(b"\n\n"));
                out.extend_from_slice(&whole);
                let last = out.windows(2).filter(|w| w == b"\n\n").count().to_string();
                prop_assert_eq!(events.last(), Some(&last));
            }
        }

        prop_assert!(events.is_whole());
        prop_assert_eq!(out, bytes);
    }

    #[test]
    fn a_part_of_an_event_is_never_taken_for_whole(n in 1_usize..20, short in 1_usize..8) {
        let bytes = stream(n);
        let mut events = Events::default();

        events.push(&bytes[..bytes.len() - short]);
        let whole = events.take();

        let taken = whole.map_or(0, |w| w.len());
        prop_assert!(taken <= bytes.len() - short);
        prop_assert!(!events.is_whole());
    }
}

/// What a day showed: version 3 had been released 2.6 s after version 2. The write of version 2, whose answer had
/// been lost, took effect again after that, so that the store said version 2 from then on. Gateways told it to
/// loaders as the newest, and those that had not brought version 3 yet took version 2; after all processes
/// had been killed, nobody knew of version 3 any more, and requests began on version 2 for 31 s and longer.
#[test]
fn a_version_that_was_released_is_not_taken_back_by_a_late_write_of_an_older_one() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    let now = Instant::now();
    releases.apply(list(1, &[2]), now);
    releases.apply(list(2, &[3]), now);

    releases.apply(list(3, &[2]), now);

    let newest = releases.newest().borrow().releases.clone();
    assert_eq!(newest, list(2, &[3]).releases);
}

#[test]
fn a_version_that_an_engine_holds_was_released_whatever_the_store_says() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    let now = Instant::now();
    releases.apply(list(1, &[2]), now);

    releases.observe(&model(), 3, now);

    assert_eq!(releases.newest().borrow().version(&model()), Some(3));
    assert_eq!(
        releases.oldest_allowed(&model(), now),
        0,
        "older ones go on for a while"
    );
    assert_eq!(releases.oldest_allowed(&model(), now + CONTACT_TIME), 3);
}

#[test]
fn the_version_of_the_start_is_no_release() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);

    releases.observe(&model(), catalog::FIRST_VERSION, Instant::now());

    assert_eq!(releases.newest().borrow().version(&model()), None);
}

#[test]
fn who_knows_less_is_told_whatever_its_revision() {
    let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
    releases.apply(list(9, &[3]), Instant::now());

    let behind = releases.newer_than(&list(9, &[2]).releases);
    let level = releases.newer_than(&list(1, &[3]).releases);

    assert_eq!(behind.and_then(|l| l.version(&model())), Some(3));
    assert_eq!(level, None);
}

proptest! {
    #![proptest_config(cases::cases(200))]

    #[test]
    fn lists_in_any_order_leave_the_highest_version(
        heard in proptest::collection::vec((0_u64..50, 1_u64..9), 1..20),
    ) {
        let releases = Releases::new(VERSION_TIME, CONTACT_TIME);
        let now = Instant::now();

        for (revision, version) in &heard {
            releases.apply(list(*revision, &[*version]), now);
        }

        let highest = heard.iter().map(|(_, version)| *version).max();
        prop_assert_eq!(releases.newest().borrow().version(&model()), highest);
        prop_assert_eq!(releases.oldest_allowed(&model(), now + VERSION_TIME), highest.unwrap_or(0));
    }
}

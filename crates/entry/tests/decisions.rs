//! Tests of the traffic split, limits, admission queue and retry budget against simple models.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::Domains;
use entry::admission::Queue;
use entry::limit::Limiter;
use entry::refusal::Refusal;
use entry::retry_budget::RetryBudget;
use entry::route::split::TrafficSplit;
use proptest::prelude::*;
use table::{Row, Table};

fn rows(text: &str) -> Vec<Row> {
    let domains = Domains::new(vec![("recife".into(), "pernambuco".into())]);
    let head = "model,version,places,share,limits,priority,hold\n";
    Table::parse(&format!("{head}{text}"), &domains)
        .expect("valid")
        .rows
}

fn two_versions(first: u32) -> Vec<Row> {
    let (a, b) = ("a".repeat(64), "b".repeat(64));
    let rest = 100 - first;
    rows(&format!(
        "m,{a},recife,{first},,5,serve\nm,{b},recife,{rest},,5,serve\n"
    ))
}

proptest! {
    #![proptest_config(cases::cases(50))]

    #[test]
    fn traffic_split_stays_within_one_request_of_exact_shares(first in 0u32..=100) {
        let rows = two_versions(first);
        let refs: Vec<&Row> = rows.iter().collect();
        let split = TrafficSplit::default();
        let mut to_first = 0u32;
        for n in 1..=1000u32 {
            let row = split.next_row(&refs).expect("a row");
            to_first += u32::from(row.version == rows[0].version);
            let exact = f64::from(n) * f64::from(first) / 100.0;
            prop_assert!((f64::from(to_first) - exact).abs() <= 1.0, "{to_first} of {n}, not {exact}");
        }
    }

    #[test]
    fn retries_stay_within_budget(percent in 0u64..=50, requests in prop::collection::vec(any::<bool>(), 0..500)) {
        let budget = RetryBudget::new(percent);
        let (mut earned, mut spent) = (0u64, 0u64);
        for retry in requests {
            budget.deposit();
            earned += 1;
            spent += u64::from(retry && budget.withdraw());
        }
        let initial = if percent == 0 { 0 } else { 3 };
        prop_assert!(spent <= initial + earned * percent / 100, "{spent} of {earned}");
    }
}

#[test]
fn splits_ten_thousand_requests_by_share() {
    let rows = two_versions(37);
    let refs: Vec<&Row> = rows.iter().collect();
    let split = TrafficSplit::default();
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..10_000 {
        *counts
            .entry(split.next_row(&refs).expect("a row").name())
            .or_default() += 1;
    }
    assert_eq!(counts[&rows[0].name()], 3700);
}

#[test]
fn row_without_share_gets_no_requests() {
    let rows = two_versions(0);
    let refs: Vec<&Row> = rows.iter().collect();
    let split = TrafficSplit::default();
    for _ in 0..100 {
        assert_eq!(
            split.next_row(&refs).expect("a row").version,
            rows[1].version
        );
    }
    assert!(split.next_row(&refs[..1]).is_none());
}

#[test]
fn divides_limit_among_entries() {
    let rows = rows("m,service,recife,100,running=12,5,serve\n");
    let count_permits = |entries: u32| {
        let limiter = Limiter::default();
        let mut permits = Vec::new();
        while let Ok(permit) = limiter.acquire(&rows[0], "w", entries) {
            permits.push(permit);
        }
        permits.len()
    };
    assert_eq!(
        [
            count_permits(1),
            count_permits(2),
            count_permits(3),
            count_permits(24)
        ],
        [12, 6, 4, 1]
    );
}

#[test]
fn workspace_limit_does_not_affect_other_workspaces() {
    let rows = rows("m,service,recife,100,workspace-running=2,5,serve\n");
    let limiter = Limiter::default();
    let first: Vec<_> = (0..2)
        .map(|_| limiter.acquire(&rows[0], "large", 1).expect("within"))
        .collect();
    let over = limiter.acquire(&rows[0], "large", 1).expect_err("over");
    assert!(matches!(over, Refusal::OverLimit(..)) && over.retry_after().is_some());
    assert!(limiter.acquire(&rows[0], "small", 1).is_ok());
    drop(first);
    assert!(
        limiter.acquire(&rows[0], "large", 1).is_ok(),
        "completed requests free the limit"
    );
}

#[test]
fn refused_request_consumes_no_limit() {
    let rows = rows("m,service,recife,100,rps=5;workspace-rps=1,5,serve\n");
    let limiter = Limiter::default();
    for _ in 0..50 {
        let _ = limiter.acquire(&rows[0], "large", 1);
    }
    for n in 0..4 {
        assert!(
            limiter.acquire(&rows[0], &format!("small{n}"), 1).is_ok(),
            "{n}"
        );
    }
}

#[tokio::test]
async fn queue_wakes_by_priority_then_arrival() {
    let queue = Queue::new(10);
    let far = Instant::now() + Duration::from_secs(60);
    let mut low = queue
        .enter(1, Duration::from_secs(60))
        .expect("a queue entry");
    let mut high = queue
        .enter(9, Duration::from_secs(60))
        .expect("a queue entry");
    queue.slot_freed();
    let woken = tokio::select! {
        biased;
        _ = low.wait(far) => "low",
        _ = high.wait(far) => "high",
    };
    assert_eq!(woken, "high");
}

#[tokio::test]
async fn full_queue_refuses_and_yields_to_higher_priority() {
    let queue = Queue::new(1);
    let long = Duration::from_secs(60);
    let mut low = queue.enter(1, long).expect("a queue entry");
    let refused = queue.enter(1, long).expect_err("full");
    assert!(matches!(refused, Refusal::Overloaded(after) if after > Duration::ZERO));
    let high = queue.enter(5, long).expect("the lower priority yields");
    let displaced = low.wait(Instant::now() + long).await;
    assert!(
        matches!(displaced, Err(Refusal::Overloaded(_))),
        "{displaced:?}"
    );
    drop(high);
    drop(low);
    assert!(queue.is_empty());
}

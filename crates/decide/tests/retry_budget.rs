//! Retries of gateways that start again at any time, while each request is to be retried.

use std::time::{Duration, Instant};

use cases::cases;
use decide::retry_budget::RetryBudget;
use proptest::collection::vec;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 106.0;
const GATEWAYS: usize = 9;
const REQUESTS_PER_SECOND: u64 = 200;

/// Time that is played, in milliseconds.
const TIME: u64 = 40_000;

/// Restart of one gateway.
#[derive(Debug, Clone, Copy)]
struct Restart {
    gateway: usize,
    /// Milliseconds from the start.
    at: u64,
}

/// Times of requests and of their retries.
#[derive(Debug, Default)]
struct Arrivals {
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl Arrivals {
    /// Returns the retries of a window, and how many its requests allow. Requests count in the window, the one before,
    /// or the one half a window before, whichever has the most.
    fn retries_and_limit(&self, from: Instant) -> (usize, f64) {
        let earlier = [Duration::ZERO, WINDOW / 2, WINDOW];
        let requests = earlier.map(|by| count(&self.requests, from - by));
        let requests = requests.into_iter().max().unwrap_or(0);
        let limit = RATIO * requests as f64 + SLACK;
        (count(&self.retries, from), limit)
    }

    fn assert_within_limit(&self) {
        for from in &self.retries {
            let (retries, limit) = self.retries_and_limit(*from);
            assert!(retries as f64 <= limit, "{retries} retries of {limit}");
        }
    }
}

/// Returns how many of the sorted times are within the window from `from`.
fn count(times: &[Instant], from: Instant) -> usize {
    let before = |at: Instant| times.partition_point(|t| *t < at);
    before(from + WINDOW) - before(from)
}

fn service() -> String {
    "llm".to_owned()
}

fn budget(now: Instant) -> RetryBudget {
    RetryBudget::new(WINDOW, RATIO, SLACK, now)
}

/// Plays requests that come to the gateways in turn, each of which is to be retried.
fn play(restarts: &[Restart]) -> Arrivals {
    let start = Instant::now() + 2 * WINDOW;
    let mut budgets: Vec<RetryBudget> = (0..GATEWAYS).map(|_| budget(start)).collect();
    let mut arrivals = Arrivals::default();
    for ms in 0..TIME {
        let now = start + Duration::from_millis(ms);
        for restart in restarts.iter().filter(|r| r.at == ms) {
            budgets[restart.gateway] = budget(now);
        }
        if !ms.is_multiple_of(1000 / REQUESTS_PER_SECOND) {
            continue;
        }
        let budget = &budgets[arrivals.requests.len() % GATEWAYS];
        arrivals.requests.push(now);
        budget.deposit(&service(), now);
        if budget.withdraw(&service(), Some(GATEWAYS), now) {
            arrivals.retries.push(now);
        }
    }
    arrivals
}

/// Restarts all gateways one after the other, `gap` milliseconds apart.
fn rolling_restart(at: u64, gap: u64) -> impl Iterator<Item = Restart> {
    (0..GATEWAYS).map(move |gateway| Restart {
        gateway,
        at: at + gateway as u64 * gap,
    })
}

#[test]
fn gateways_that_restart_do_not_exceed_the_retry_budget() {
    for times in [&[20_000][..], &[20_000, 24_000], &[20_000, 22_000, 24_000]] {
        for gap in [0, 500] {
            let restarts = times.iter().flat_map(|at| rolling_restart(*at, gap));
            let restarts: Vec<Restart> = restarts.collect();

            let arrivals = play(&restarts);

            arrivals.assert_within_limit();
        }
    }
}

proptest! {
    #![proptest_config(cases(48))]

    #[test]
    fn gateways_that_restart_at_any_time_do_not_exceed_the_retry_budget(
        restarts in vec((0..GATEWAYS, 0..TIME), 0..60),
    ) {
        let restarts: Vec<Restart> = restarts
            .into_iter()
            .map(|(gateway, at)| Restart { gateway, at })
            .collect();

        let arrivals = play(&restarts);

        arrivals.assert_within_limit();
    }
}

#[test]
fn gateways_without_restarts_may_use_most_of_the_retry_budget() {
    let arrivals = play(&[]);

    let from = arrivals.requests[arrivals.requests.len() / 2];
    let (retries, limit) = arrivals.retries_and_limit(from);
    assert!(retries as f64 >= limit * 0.75, "{retries} of {limit}");
}

#[test]
fn small_share_of_the_slack_allows_a_retry() {
    let start = Instant::now();
    let budget = RetryBudget::new(WINDOW, RATIO, 20.0, start);

    let is_available = budget.withdraw(&service(), Some(10), start + WINDOW);

    assert!(is_available);
}

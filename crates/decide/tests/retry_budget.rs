//! Retries of gateways that start again at any time, while each request is to be retried.

use std::time::{Duration, Instant};

use decide::retry_budget::RetryBudget;

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

fn budget() -> RetryBudget {
    RetryBudget::new(WINDOW, RATIO, SLACK)
}

/// Plays requests that come to the gateways in turn, each of which is to be retried.
fn play(restarts: &[Restart]) -> Arrivals {
    let start = Instant::now() + 2 * WINDOW;
    let mut budgets: Vec<RetryBudget> = (0..GATEWAYS).map(|_| budget()).collect();
    let mut arrivals = Arrivals::default();
    for ms in 0..TIME {
        let now = start + Duration::from_millis(ms);
        for restart in restarts.iter().filter(|r| r.at == ms) {
            budgets[restart.gateway] = budget();
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

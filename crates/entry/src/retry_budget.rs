//! Retry budget: retries are paid for by requests, so that they cannot feed a collapse.

use std::sync::atomic::{AtomicU64, Ordering};

/// Price of a retry and bounds, in hundredths.
const RETRY_COST: u64 = 100;

/// Retries that may come at once.
const MAX_BALANCE: u64 = 20;

/// Retries kept for a quiet entry.
const INITIAL_BALANCE: u64 = 3;

/// The budget.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    balance: AtomicU64,
}

impl RetryBudget {
    /// A budget of `percent` retries for every 100 requests.
    pub fn new(percent: u64) -> RetryBudget {
        let balance = if percent == 0 {
            0
        } else {
            INITIAL_BALANCE * RETRY_COST
        };
        RetryBudget {
            percent,
            balance: AtomicU64::new(balance),
        }
    }

    /// Notes a request.
    pub fn deposit(&self) {
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                Some((n + self.percent).min(MAX_BALANCE * RETRY_COST))
            });
    }

    /// Pays for a retry; `false` where the budget is used up.
    pub fn withdraw(&self) -> bool {
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                n.checked_sub(RETRY_COST)
            })
            .is_ok()
    }
}

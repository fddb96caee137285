//! Retry budget: requests fund retries, so that retries can't amplify an overload.

use std::sync::atomic::{AtomicU64, Ordering};

/// Cost of a retry in hundredths, the unit of the balance.
const RETRY_COST: u64 = 100;

/// Maximum balance, in retries; bounds a burst of retries.
const MAX_BALANCE: u64 = 20;

/// Initial balance, in retries, for an entry with few requests so far.
const INITIAL_BALANCE: u64 = 3;

/// Budget of retries.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    balance: AtomicU64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 requests.
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

    /// Records a request.
    pub fn deposit(&self) {
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                Some((n + self.percent).min(MAX_BALANCE * RETRY_COST))
            });
    }

    /// Withdraws one retry; returns `false` if the budget is used up.
    pub fn withdraw(&self) -> bool {
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                n.checked_sub(RETRY_COST)
            })
            .is_ok()
    }
}

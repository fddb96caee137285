//! Retry budget: retries are paid for by requests, so that they cannot feed a collapse.

use std::sync::atomic::{AtomicU64, Ordering};

/// Price of a retry and bounds, in hundredths.
const PRICE: u64 = 100;

/// Retries that may come at once.
const MOST: u64 = 20;

/// Retries kept for a quiet entry.
const LEAST: u64 = 3;

/// The budget.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    saved: AtomicU64,
}

impl RetryBudget {
    /// A budget of `percent` retries for every 100 requests.
    pub fn new(percent: u64) -> RetryBudget {
        let saved = if percent == 0 { 0 } else { LEAST * PRICE };
        RetryBudget {
            percent,
            saved: AtomicU64::new(saved),
        }
    }

    /// Notes a request.
    pub fn earn(&self) {
        let _ = self
            .saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                Some((n + self.percent).min(MOST * PRICE))
            });
    }

    /// Pays for a retry; `false` where the budget is used up.
    pub fn spend(&self) -> bool {
        self.saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                n.checked_sub(PRICE)
            })
            .is_ok()
    }
}

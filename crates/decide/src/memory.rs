//! Memory that the body of a message in flight may take up.
//!
//! A body may grow to half of what the others leave of the budget. Bodies together never exceed the budget, one without an
//! end can't take all of it, and `n` of them leave an (n + 1)th of it to the others. This is the dynamic threshold of
//! shared-buffer switches.

/// Returns the largest number of bytes that a body may hold, given the budget and what others hold of it.
pub fn max_body_bytes(budget: u64, others: u64) -> u64 {
    budget.saturating_sub(others) / 2
}

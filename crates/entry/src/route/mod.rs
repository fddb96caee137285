//! Takes a request to an upstream: which row, which upstream, once or again.

pub mod attempt;
pub mod balance;
pub mod dispatch;
pub mod running;
pub mod split;

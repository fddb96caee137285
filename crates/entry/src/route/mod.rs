//! Routing of requests: traffic split, load balancing, attempts and retries.

pub mod attempt;
pub mod balance;
pub mod dispatch;
pub mod running;
pub mod split;

//! Takes a request to an upstream: which row, which upstream, once or again.

pub mod attempt;
pub mod dispatch;
pub mod pick;
pub mod running;
pub mod share;

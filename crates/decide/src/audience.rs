//! Who in a failure domain is told of a change of load at once.
//!
//! If each gateway told all others of each change, datagrams would grow with the square of the gateways and
//! work with it. Up to a number they do, since that is freshest. Where there are more, changes go to the first
//! few, one of which gathers them for a moment and passes them on to all; whole notes go to all at longer
//! intervals, so that a change that was lost is known then. While nothing is passed on, all are told again.

use std::time::Duration;

/// Other gateways up to which each tells all: 13 that change 20 times a second send 3,400 datagrams a second
/// in a failure domain, 30 would send 17,400, and 1,200 by way of two.
const DIRECT_MOST: usize = 16;

/// Gateways that changes go to where there are more: a second one passes them on when the first is lost.
pub const RELAYS: usize = 2;

/// Time in which changes are gathered before they are passed on: an engine ends a request of 70 tokens at
/// 14 ms each every 0.12 s, so a load is known before a third of a request has ended.
pub const GATHER_TIME: Duration = Duration::from_millis(40);

/// Longest time between two whole notes where each tells all.
const REPEAT: Duration = Duration::from_millis(400);

/// The same where changes are passed on, which also show that their gateway is up.
const REPEAT_MANY: Duration = Duration::from_millis(600);

/// Who is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// All gateways of the failure domain.
    All,
    /// The first few of them.
    First,
}

/// Whom a change of load is told, among so many other gateways of the failure domain; `is_relayed` says
/// whether changes are being passed on.
pub fn of_change(others: usize, is_relayed: bool) -> Audience {
    match others > DIRECT_MOST && is_relayed {
        true => Audience::First,
        false => Audience::All,
    }
}

/// Whether a gateway of this rank passes changes on: the first does, the next where that one doesn't.
pub fn passes_on(others: usize, rank: usize, is_relayed: bool) -> bool {
    let is_turn = rank == 0 || !is_relayed;
    others > DIRECT_MOST && rank < RELAYS && is_turn
}

/// Longest time between two whole notes to all.
pub fn repeat(others: usize) -> Duration {
    match others > DIRECT_MOST {
        true => REPEAT_MANY,
        false => REPEAT,
    }
}

//! Queue of requests that wait for a slot.
//!
//! Requests that can be served in time go before late ones, then more urgent ones, then earlier ones.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::DeadlineClass;

/// Fraction of the objective that a request may wait before it is refused. The first event of a full
/// engine takes half of the objective or more, so a longer wait makes it late. In overload waiting
/// gains nothing, since the next request arrives soon (12 engines, 190 requests a second: 0.2 serves
/// 0.02 less in time).
const MAX_WAIT_FRACTION: f64 = 0.1;

/// Returns the maximum time for which a request may wait for a slot.
pub fn max_wait(objective: Duration) -> Duration {
    objective.mul_f64(MAX_WAIT_FRACTION)
}

/// Position of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    class: DeadlineClass,
    priority: u8,
    arrival: u64,
}

/// Queue of requests for the upstreams of one service.
#[derive(Debug, Default)]
pub struct Queue {
    tickets: BTreeSet<Ticket>,
    next_arrival: u64,
}

impl Queue {
    /// Adds a request and returns its ticket; 0 is the most urgent priority.
    pub fn enqueue(&mut self, class: DeadlineClass, priority: u8) -> Ticket {
        let ticket = Ticket {
            class,
            priority,
            arrival: self.next_arrival,
        };
        self.next_arrival += 1;
        self.tickets.insert(ticket);
        ticket
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: &Ticket) {
        self.tickets.remove(ticket);
    }

    /// Returns whether a request is at the front of the queue.
    pub fn is_first(&self, ticket: &Ticket) -> bool {
        self.tickets.first() == Some(ticket)
    }
}

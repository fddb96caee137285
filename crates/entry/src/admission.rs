//! Requests waiting for a free slot at an upstream.
//!
//! The queue is bounded and ordered by priority, then arrival. A request that cannot be served
//! within its deadline, judged by how fast slots have been freed, is refused before it waits.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::refusal::Refusal;

/// A waiting request looks again after this long even if nobody wakes it.
const RECHECK: Duration = Duration::from_millis(50);

/// Weight of the newest gap between two freed slots in the running mean.
const NEWEST: f64 = 0.1;

/// Longest time a caller is told to come back after.
const LONGEST_RETRY: Duration = Duration::from_secs(30);

type Place = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct State {
    waiting: BTreeMap<Place, oneshot::Sender<()>>,
    next: u64,
    freed: Option<Instant>,
    mean_gap: f64,
}

/// The queue.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    state: Mutex<State>,
}

/// A request's place in the queue, given up when dropped.
#[derive(Debug)]
pub struct Ticket<'a> {
    queue: &'a Queue,
    place: Place,
    woken: oneshot::Receiver<()>,
}

impl Queue {
    /// A queue of at most `limit` requests.
    pub fn new(limit: usize) -> Queue {
        Queue {
            limit,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a place, or refuses at once.
    pub fn enter(&self, priority: u8, remaining: Duration) -> Result<Ticket<'_>, Refusal> {
        let mut state = self.state();
        let wait = state.wait(state.waiting.len());
        if state.waiting.len() >= self.limit && !state.yields_to(priority) {
            return Err(Refusal::Overloaded(state.retry_after()));
        }
        let ahead = state.ahead(priority);
        if state.wait(ahead) > remaining {
            return Err(Refusal::NoTime(wait.min(LONGEST_RETRY)));
        }
        if state.waiting.len() >= self.limit {
            // Dropping its sender tells the last in line that it was displaced.
            state.waiting.pop_last();
        }
        let place = (Reverse(priority), state.next);
        state.next += 1;
        let (tx, woken) = oneshot::channel();
        state.waiting.insert(place, tx);
        Ok(Ticket {
            queue: self,
            place,
            woken,
        })
    }

    /// Notes a freed slot and wakes the first in line.
    pub fn freed(&self) {
        let mut state = self.state();
        let now = clock::now();
        if let Some(last) = state.freed.replace(now) {
            let gap = now.duration_since(last).as_secs_f64().min(1.0);
            state.mean_gap += NEWEST * (gap - state.mean_gap);
        }
        if let Some((_, tx)) = state.waiting.pop_first() {
            let _ = tx.send(());
        }
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.state().waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Time to come back after, by the state of the queue.
    pub fn retry_after(&self) -> Duration {
        self.state().retry_after()
    }
}

impl State {
    fn ahead(&self, priority: u8) -> usize {
        self.waiting.range(..=(Reverse(priority), u64::MAX)).count()
    }

    fn yields_to(&self, priority: u8) -> bool {
        self.waiting
            .last_key_value()
            .is_some_and(|((Reverse(lowest), _), _)| *lowest < priority)
    }

    fn wait(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(self.mean_gap * ahead as f64)
    }

    fn retry_after(&self) -> Duration {
        self.wait(self.waiting.len())
            .clamp(Duration::from_millis(100), LONGEST_RETRY)
    }
}

impl Ticket<'_> {
    /// Waits until it is worth looking for a slot; refuses a request that was displaced.
    pub async fn turn(&mut self, deadline: Instant) -> Result<(), Refusal> {
        let until = (clock::now() + RECHECK).min(deadline);
        tokio::select! {
            woken = &mut self.woken => match woken {
                Ok(()) => {
                    self.rejoin();
                    Ok(())
                }
                Err(_) => Err(Refusal::Overloaded(self.queue.retry_after())),
            },
            _ = clock::sleep_until(until) => Ok(()),
        }
    }

    /// Takes the old place again, in case the freed slot was of no use.
    fn rejoin(&mut self) {
        let (tx, woken) = oneshot::channel();
        self.queue.state().waiting.insert(self.place, tx);
        self.woken = woken;
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.queue.state().waiting.remove(&self.place);
    }
}

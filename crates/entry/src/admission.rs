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
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Weight of the newest gap between two freed slots in the running mean.
const GAP_WEIGHT: f64 = 0.1;

/// Longest time a caller is told to come back after.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

type QueueKey = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct State {
    queued: BTreeMap<QueueKey, oneshot::Sender<()>>,
    next_sequence: u64,
    last_freed: Option<Instant>,
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
    key: QueueKey,
    wake: oneshot::Receiver<()>,
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
        let wait = state.estimated_wait(state.queued.len());
        if state.queued.len() >= self.limit && !state.can_displace(priority) {
            return Err(Refusal::Overloaded(state.retry_after()));
        }
        let ahead = state.count_ahead(priority);
        if state.estimated_wait(ahead) > remaining {
            return Err(Refusal::NoTime(wait.min(MAX_RETRY_AFTER)));
        }
        if state.queued.len() >= self.limit {
            // Dropping its sender tells the last in line that it was displaced.
            state.queued.pop_last();
        }
        let key = (Reverse(priority), state.next_sequence);
        state.next_sequence += 1;
        let (tx, wake) = oneshot::channel();
        state.queued.insert(key, tx);
        Ok(Ticket {
            queue: self,
            key,
            wake,
        })
    }

    /// Notes a freed slot and wakes the first in line.
    pub fn slot_freed(&self) {
        let mut state = self.state();
        let now = clock::now();
        if let Some(previous) = state.last_freed.replace(now) {
            let gap = now.duration_since(previous).as_secs_f64().min(1.0);
            state.mean_gap += GAP_WEIGHT * (gap - state.mean_gap);
        }
        if let Some((_, tx)) = state.queued.pop_first() {
            let _ = tx.send(());
        }
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.state().queued.len()
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
    fn count_ahead(&self, priority: u8) -> usize {
        self.queued.range(..=(Reverse(priority), u64::MAX)).count()
    }

    fn can_displace(&self, priority: u8) -> bool {
        self.queued
            .last_key_value()
            .is_some_and(|((Reverse(lowest), _), _)| *lowest < priority)
    }

    fn estimated_wait(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(self.mean_gap * ahead as f64)
    }

    fn retry_after(&self) -> Duration {
        self.estimated_wait(self.queued.len())
            .clamp(Duration::from_millis(100), MAX_RETRY_AFTER)
    }
}

impl Ticket<'_> {
    /// Waits until it is worth looking for a slot; refuses a request that was displaced.
    pub async fn wait(&mut self, deadline: Instant) -> Result<(), Refusal> {
        let recheck_at = (clock::now() + RECHECK_INTERVAL).min(deadline);
        tokio::select! {
            wake = &mut self.wake => match wake {
                Ok(()) => {
                    self.requeue();
                    Ok(())
                }
                Err(_) => Err(Refusal::Overloaded(self.queue.retry_after())),
            },
            _ = clock::sleep_until(recheck_at) => Ok(()),
        }
    }

    /// Takes the old place again, in case the freed slot was of no use.
    fn requeue(&mut self) {
        let (tx, wake) = oneshot::channel();
        self.queue.state().queued.insert(self.key, tx);
        self.wake = wake;
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.queue.state().queued.remove(&self.key);
    }
}

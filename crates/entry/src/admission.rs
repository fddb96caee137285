//! Admission queue: requests that wait for a free slot at an upstream.
//!
//! The queue is bounded and ordered by priority, then by arrival. A request whose estimated wait,
//! derived from the rate at which slots are freed, exceeds its deadline is refused immediately.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::refusal::Refusal;

/// Time after which a queued request looks for a slot even if it isn't woken.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Weight of the latest gap between two freed slots in the moving average.
const GAP_WEIGHT: f64 = 0.1;

/// Longest `retry-after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

type QueueKey = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct State {
    queued: BTreeMap<QueueKey, oneshot::Sender<()>>,
    next_sequence: u64,
    last_freed: Option<Instant>,
    mean_gap: f64,
}

/// Bounded priority queue of requests.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    state: Mutex<State>,
}

/// Entry of a request in the queue; removed when dropped.
#[derive(Debug)]
pub struct Ticket<'a> {
    queue: &'a Queue,
    key: QueueKey,
    wake: oneshot::Receiver<()>,
}

impl Queue {
    /// Creates a queue of at most `limit` requests.
    pub fn new(limit: usize) -> Queue {
        Queue {
            limit,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a request, or refuses it immediately.
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
            // Dropping its sender notifies the last queued request that it was displaced.
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

    /// Records a freed slot and wakes the first queued request.
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

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.state().queued.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the time after which a caller may retry, by the estimated wait.
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
    /// Waits until a slot may be free; refuses a request that was displaced.
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

    /// Queues the request again at its old position, in case the freed slot is unusable for it.
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

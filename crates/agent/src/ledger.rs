//! Unsafe requests that this agent was sent.
//!
//! A request id starts at most once here. An entry that lost an answer, or found an earlier claim
//! on an idempotency key, asks what became of the id; an id that has not started is sealed by the
//! question and can never start. Answers are kept for resends within a bound on bytes and time.
//! Ids are kept longer. An id tells when it was made, and of those that had to be forgotten the
//! latest time is kept: an id that isn't known and is no later can neither start nor be said not
//! to have run.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, RequestId, Settled, request_time};
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

/// Ids kept.
const MAX_IDS: usize = 200_000;

/// A recorded answer.
#[derive(Debug, Clone)]
pub struct RecordedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

#[derive(Debug)]
enum State {
    Sealed,
    Running,
    Done(RecordedResponse, Instant),
    Gone,
}

#[derive(Debug, Default)]
struct Inner {
    ids: Map<RequestId, State>,
    oldest_id: VecDeque<RequestId>,
    oldest_answer: VecDeque<RequestId>,
    bytes: usize,
    forgotten_until: Option<u64>,
}

/// The ledger.
#[derive(Debug)]
pub struct Ledger {
    memory: usize,
    retention: Duration,
    max_ids: usize,
    inner: Mutex<Inner>,
}

impl Ledger {
    /// A ledger that keeps answers within `memory` bytes and `retention`.
    pub fn new(memory: usize, retention: Duration) -> Ledger {
        Ledger::with_max_ids(memory, retention, MAX_IDS)
    }

    /// A ledger that keeps at most `max_ids` ids.
    pub fn with_max_ids(memory: usize, retention: Duration, max_ids: usize) -> Ledger {
        Ledger {
            memory,
            retention,
            max_ids,
            inner: Mutex::default(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts an id; `false` where it was sealed or has, or may have, started before.
    pub fn begin(&self, id: &str) -> bool {
        let mut inner = self.inner();
        if inner.ids.contains_key(id) || inner.may_be_forgotten(id) {
            return false;
        }
        inner.insert(id, State::Running, self.max_ids);
        true
    }

    /// Notes that an id that was started has not run after all and never will.
    pub fn seal(&self, id: &str) {
        self.inner().ids.insert(id.to_owned(), State::Sealed);
    }

    /// Notes that an id ran; its answer is kept where there is one.
    pub fn finish(&self, id: &str, recorded: Option<RecordedResponse>) {
        let mut inner = self.inner();
        let state = match recorded {
            Some(recorded) if recorded.body.len() <= self.memory => {
                inner.bytes += recorded.body.len();
                inner.oldest_answer.push_back(id.to_owned());
                State::Done(recorded, clock::now())
            }
            _ => State::Gone,
        };
        inner.ids.insert(id.to_owned(), state);
        inner.drop_answers(self.memory, self.retention);
    }

    /// What became of an id. An id that is not known is sealed.
    pub fn settle(&self, id: &str) -> (Settled, Option<RecordedResponse>) {
        let mut inner = self.inner();
        inner.drop_answers(self.memory, self.retention);
        match inner.ids.get(id) {
            Some(State::Sealed) => (Settled::Sealed, None),
            Some(State::Running) => (Settled::Running, None),
            Some(State::Done(recorded, _)) => (Settled::Done, Some(recorded.clone())),
            Some(State::Gone) => (Settled::Gone, None),
            None if inner.may_be_forgotten(id) => (Settled::Gone, None),
            None => {
                inner.insert(id, State::Sealed, self.max_ids);
                (Settled::Sealed, None)
            }
        }
    }

    /// Bytes of answers kept.
    pub fn stored_bytes(&self) -> usize {
        self.inner().bytes
    }
}

impl Inner {
    /// Whether an id that isn't known may be one that was forgotten.
    fn may_be_forgotten(&self, id: &str) -> bool {
        self.forgotten_until
            .is_some_and(|until| request_time(id) <= until)
    }

    fn insert(&mut self, id: &str, state: State, max_ids: usize) {
        while self.oldest_id.len() >= max_ids {
            if let Some(oldest) = self.oldest_id.pop_front() {
                let time = request_time(&oldest);
                self.forgotten_until = self.forgotten_until.max(Some(time));
                self.drop_answer(&oldest);
                self.ids.remove(&oldest);
            }
        }
        self.oldest_id.push_back(id.to_owned());
        self.ids.insert(id.to_owned(), state);
    }

    fn drop_answers(&mut self, memory: usize, retention: Duration) {
        while let Some(oldest) = self.oldest_answer.front().cloned() {
            let expired = match self.ids.get(&oldest) {
                Some(State::Done(_, at)) => clock::since(*at) > retention,
                _ => true,
            };
            if !expired && self.bytes <= memory {
                return;
            }
            self.oldest_answer.pop_front();
            self.drop_answer(&oldest);
        }
    }

    fn drop_answer(&mut self, id: &str) {
        if let Some(state) = self.ids.get_mut(id)
            && let State::Done(recorded, _) = state
        {
            self.bytes -= recorded.body.len();
            *state = State::Gone;
        }
    }
}

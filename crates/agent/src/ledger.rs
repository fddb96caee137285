//! Ledger of the unsafe requests that this agent has received.
//!
//! A request id starts at most once. An entry that lost a response, or found an earlier claim on an idempotency key,
//! queries the outcome of the id; the query seals an id that has not started, which then can never start. Responses
//! are stored for replay within limits on bytes and age, ids for longer.
//!
//! An id contains its creation time. The ledger stores the latest creation time of all evicted ids: an unknown id
//! that is no newer may have been evicted. It can't start, and isn't reported as not run.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, RequestId, Settled, request_time};
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

/// Maximum number of ids stored.
const MAX_IDS: usize = 200_000;

/// A recorded response.
#[derive(Debug, Clone)]
pub struct RecordedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// State of an id.
#[derive(Debug)]
enum State {
    /// It has not run and never will.
    Sealed,
    /// It has started, and has not completed.
    Running,
    /// It has run, with its response and the time of completion.
    Done(RecordedResponse, Instant),
    /// It has run; its response was lost, too large or evicted.
    Gone,
}

#[derive(Debug, Default)]
struct Inner {
    ids: Map<RequestId, State>,
    /// Ids in the order of insertion.
    ids_by_age: VecDeque<RequestId>,
    /// Ids with a stored response, in the order of completion.
    responses_by_age: VecDeque<RequestId>,
    bytes: usize,
    /// Latest creation time of all evicted ids.
    evicted_until: Option<u64>,
}

/// Record of request ids and their outcomes.
#[derive(Debug)]
pub struct Ledger {
    max_bytes: usize,
    retention: Duration,
    max_ids: usize,
    inner: Mutex<Inner>,
}

impl Ledger {
    /// Creates a ledger that stores responses of up to `max_bytes` bytes in total, for `retention`.
    pub fn new(max_bytes: usize, retention: Duration) -> Ledger {
        Ledger::with_max_ids(max_bytes, retention, MAX_IDS)
    }

    /// Creates a ledger that stores at most `max_ids` ids.
    pub fn with_max_ids(max_bytes: usize, retention: Duration, max_ids: usize) -> Ledger {
        Ledger {
            max_bytes,
            retention,
            max_ids,
            inner: Mutex::default(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts an id. Returns `false` if it was sealed, or has started or may have started before.
    pub fn begin(&self, id: &str) -> bool {
        let mut inner = self.inner();
        if inner.ids.contains_key(id) || inner.may_be_evicted(id) {
            return false;
        }
        inner.insert(id, State::Running, self.max_ids);
        true
    }

    /// Seals an id that was started but has not run: it never will.
    pub fn seal(&self, id: &str) {
        self.inner().ids.insert(id.to_owned(), State::Sealed);
    }

    /// Records that an id has run, with its response if there is one.
    pub fn finish(&self, id: &str, response: Option<RecordedResponse>) {
        let mut inner = self.inner();
        let state = match response {
            Some(response) if response.body.len() <= self.max_bytes => {
                inner.bytes += response.body.len();
                inner.responses_by_age.push_back(id.to_owned());
                State::Done(response, clock::now())
            }
            _ => State::Gone,
        };
        inner.ids.insert(id.to_owned(), state);
        inner.evict_responses(self.max_bytes, self.retention);
    }

    /// Returns the outcome of an id, and seals it if it is unknown.
    pub fn settle(&self, id: &str) -> (Settled, Option<RecordedResponse>) {
        let mut inner = self.inner();
        inner.evict_responses(self.max_bytes, self.retention);
        match inner.ids.get(id) {
            Some(State::Sealed) => (Settled::Sealed, None),
            Some(State::Running) => (Settled::Running, None),
            Some(State::Done(response, _)) => (Settled::Done, Some(response.clone())),
            Some(State::Gone) => (Settled::Gone, None),
            None if inner.may_be_evicted(id) => (Settled::Gone, None),
            None => {
                inner.insert(id, State::Sealed, self.max_ids);
                (Settled::Sealed, None)
            }
        }
    }

    /// Returns the total size of the stored responses, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.inner().bytes
    }
}

impl Inner {
    /// Returns whether an unknown id may have been evicted.
    fn may_be_evicted(&self, id: &str) -> bool {
        self.evicted_until
            .is_some_and(|until| request_time(id) <= until)
    }

    fn insert(&mut self, id: &str, state: State, max_ids: usize) {
        while self.ids_by_age.len() >= max_ids {
            if let Some(oldest) = self.ids_by_age.pop_front() {
                let time = request_time(&oldest);
                self.evicted_until = self.evicted_until.max(Some(time));
                self.evict_response(&oldest);
                self.ids.remove(&oldest);
            }
        }
        self.ids_by_age.push_back(id.to_owned());
        self.ids.insert(id.to_owned(), state);
    }

    fn evict_responses(&mut self, max_bytes: usize, retention: Duration) {
        while let Some(oldest) = self.responses_by_age.front().cloned() {
            let expired = match self.ids.get(&oldest) {
                Some(State::Done(_, at)) => clock::since(*at) > retention,
                _ => true,
            };
            if !expired && self.bytes <= max_bytes {
                return;
            }
            self.responses_by_age.pop_front();
            self.evict_response(&oldest);
        }
    }

    fn evict_response(&mut self, id: &str) {
        if let Some(state) = self.ids.get_mut(id)
            && let State::Done(response, _) = state
        {
            self.bytes -= response.body.len();
            *state = State::Gone;
        }
    }
}

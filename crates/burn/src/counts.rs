//! What is counted.

use serde::{Deserialize, Serialize};

/// Counts of some requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended, callers' own faults left out.
    pub ended: u64,
    /// Of these, requests without a whole answer.
    pub unserved: u64,
    /// Answers whose first token was timed.
    pub first: u64,
    /// Of these, later than the bound.
    pub first_late: u64,
    /// Streams whose time between tokens was taken.
    pub streams: u64,
    /// Of these, slower than the bound.
    pub streams_slow: u64,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It ended, with a whole answer or not.
    Completed {
        /// Whether its caller has a whole answer.
        served: bool,
    },
    /// Its first token came, in time or not.
    FirstToken {
        /// Whether it was later than the bound.
        late: bool,
    },
    /// Its stream ended.
    Stream {
        /// Whether its tokens came slower than the bound.
        slow: bool,
    },
}

impl Counts {
    /// Counts an event.
    pub fn record(&mut self, event: Event) {
        match event {
            Event::Completed { served } => {
                self.ended += 1;
                self.unserved += u64::from(!served);
            }
            Event::FirstToken { late } => {
                self.first += 1;
                self.first_late += u64::from(late);
            }
            Event::Stream { slow } => {
                self.streams += 1;
                self.streams_slow += u64::from(slow);
            }
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Counts) {
        self.ended += other.ended;
        self.unserved += other.unserved;
        self.first += other.first;
        self.first_late += other.first_late;
        self.streams += other.streams;
        self.streams_slow += other.streams_slow;
    }
}

//! Counters of requests, first tokens and streams.

use serde::{Deserialize, Serialize};

/// Counts of a group of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Completed requests, except those that failed through a fault of their caller.
    pub ended: u64,
    /// Of these, requests without a complete response.
    pub unserved: u64,
    /// Responses whose time to first token was measured.
    pub first: u64,
    /// Of these, responses over the bound.
    pub first_late: u64,
    /// Streams whose time between tokens was measured.
    pub streams: u64,
    /// Of these, streams over the bound.
    pub streams_slow: u64,
}

/// Event of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The request completed.
    Completed {
        /// Whether its caller received a complete response.
        served: bool,
    },
    /// Its time to first token was measured.
    FirstToken {
        /// Whether the time to first token was over the bound.
        late: bool,
    },
    /// Its time between tokens was measured.
    Stream {
        /// Whether the time between tokens was over the bound.
        slow: bool,
    },
}

impl Counts {
    /// Records an event.
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

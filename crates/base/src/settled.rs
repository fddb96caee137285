//! State of a request that an agent is asked to settle.

use std::fmt;

/// State of an unsafe request at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It has not started and can no longer start.
    Sealed,
    /// It is running.
    Running,
    /// It ran; the response follows.
    Done,
    /// It ran, or may have run; its response is no longer available.
    Gone,
}

impl Settled {
    /// Returns the value of the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Settled::Sealed => "sealed",
            Settled::Running => "running",
            Settled::Done => "done",
            Settled::Gone => "gone",
        }
    }

    /// Parses a value of the header.
    pub fn parse(s: &str) -> Option<Settled> {
        match s {
            "sealed" => Some(Settled::Sealed),
            "running" => Some(Settled::Running),
            "done" => Some(Settled::Done),
            "gone" => Some(Settled::Gone),
            _ => None,
        }
    }
}

impl fmt::Display for Settled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

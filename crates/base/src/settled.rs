//! What an agent says of a request it is asked to settle.

use std::fmt;

/// State of an unsafe request at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It has not started and is barred from starting.
    Sealed,
    /// It runs.
    Running,
    /// It ran; the answer follows.
    Done,
    /// It ran, or may have; the answer is gone.
    Gone,
}

impl Settled {
    /// The word in the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Settled::Sealed => "sealed",
            Settled::Running => "running",
            Settled::Done => "done",
            Settled::Gone => "gone",
        }
    }

    /// The state a header value names, if any.
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

//! What a caller is told about its request.

use std::fmt;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It ran, and the whole answer is here.
    Done,
    /// It did not run and never will under this request id.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The word in the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// The outcome a header value names, if any.
    pub fn parse(s: &str) -> Option<Outcome> {
        match s {
            "done" => Some(Outcome::Done),
            "not-run" => Some(Outcome::NotRun),
            "unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

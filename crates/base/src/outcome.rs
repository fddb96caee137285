//! Outcome of a request, as reported to its caller.

use std::fmt;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It ran, and the response is complete.
    Done,
    /// It did not run and will not run under this request id.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses a value of the outcome header.
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

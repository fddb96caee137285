//! Faults in a table or settings file.

use std::fmt;

/// A fault, with its location and remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line in the file, from 1; 0 for the whole file.
    pub line: usize,
    /// Column or field.
    pub field: String,
    /// Description of the fault and its remedy.
    pub remedy: String,
}

impl Fault {
    /// Creates a fault.
    pub fn new(line: usize, field: impl Into<String>, remedy: impl Into<String>) -> Fault {
        Fault {
            line,
            field: field.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.remedy)
    }
}

//! A fault in a table or settings file.

use std::fmt;

/// One fault, with where it is and how to mend it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line in the file, from 1; 0 where the whole file is meant.
    pub line: usize,
    /// Column or field.
    pub field: String,
    /// What is wrong and what to do.
    pub remedy: String,
}

impl Fault {
    /// A fault.
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

//! Errors of the bench tools.

use displaydoc::Display;

/// Error of a tool.
#[derive(Debug, Display)]
pub enum LabError {
    /// {0}; see --help
    Usage(String),
    /// {0}
    Io(std::io::Error),
    /// {0}
    Failed(String),
}

impl std::error::Error for LabError {}

impl LabError {
    /// Returns 2 for a usage error, else 1.
    pub fn exit_code(&self) -> u8 {
        match self {
            LabError::Usage(_) => 2,
            _ => 1,
        }
    }
}

impl From<std::io::Error> for LabError {
    fn from(e: std::io::Error) -> LabError {
        LabError::Io(e)
    }
}

impl From<pico_args::Error> for LabError {
    fn from(e: pico_args::Error) -> LabError {
        LabError::Usage(e.to_string())
    }
}

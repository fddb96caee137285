//! Errors of commands, with their exit codes.

use std::path::PathBuf;

use displaydoc::Display;
use store::PlatformError;
use table::Fault;

/// Error of a command.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Usage(String),
    /// {0} has faults; correct each and run again:{1}
    Faults(PathBuf, FaultList),
    /// {0} is for another role; pass the settings of {1}
    WrongRole(PathBuf, &'static str),
    /// {0} can't be read or written ({1}); check the path and its permissions
    File(PathBuf, std::io::Error),
    /// the table was edited concurrently: revision {0} by {1} is in force; get the table, merge and apply again. Changes:{2}
    Conflict(u64, String, String),
    /// {0}
    Platform(PlatformError),
    /// {0}
    Weights(weights::ManifestError),
    /// {0}
    Entry(entry::EntryError),
    /// {0}
    Agent(agent::AgentError),
    /// the process can't listen or failed ({0}); check the addresses in the settings
    Node(std::io::Error),
    /// the process can't start ({0}); free memory or descriptors
    Start(std::io::Error),
    /// the logs can't be set up ({0}); check log_level and log_levels
    Logs(String),
    /// {0}
    NotInForce(String),
    /// no entry responded; check `admins` in the settings and that the entries run
    NoEntry,
    /// no process answered; check that they run and that --from names their `metrics` addresses
    NoMetrics,
}

impl std::error::Error for Error {}

/// Faults, printed one per line.
#[derive(Debug)]
pub struct FaultList(pub Vec<Fault>);

impl std::fmt::Display for FaultList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}

impl Error {
    /// Returns the exit code: 1 refused or failed, 2 wrong usage or settings, 3 conflict with another edit.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage(_) | Error::Faults(..) | Error::WrongRole(..) => 2,
            Error::Conflict(..) | Error::Platform(PlatformError::Conflict) => 3,
            _ => 1,
        }
    }
}

impl From<PlatformError> for Error {
    fn from(e: PlatformError) -> Error {
        Error::Platform(e)
    }
}

//! Failures of the platform.

use displaydoc::Display;

/// Why a call to the platform failed.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// the platform is down or unreachable ({0}); nothing was written, try again later
    Unavailable(String),
    /// the platform's answer was lost ({0}); the write may have taken effect, read it back
    ResponseLost(String),
    /// another writer was first; read the new state and decide again
    Conflict,
    /// the platform answered {0}; check its address in the settings
    Refused(u16),
    /// the platform's answer makes no sense ({0}); check its address in the settings
    InvalidResponse(String),
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    /// Whether a write can have taken effect all the same.
    pub fn may_have_written(&self) -> bool {
        matches!(
            self,
            PlatformError::ResponseLost(_) | PlatformError::InvalidResponse(_)
        )
    }
}

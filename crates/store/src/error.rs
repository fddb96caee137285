//! Errors of the platform.

use displaydoc::Display;

/// Why a call to the platform failed.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// the platform is down or unreachable ({0}); nothing was written, try again later
    Unavailable(String),
    /// the platform's response was lost ({0}); the write may have taken effect, read it back
    ResponseLost(String),
    /// another write came first; read the new state and decide again
    Conflict,
    /// the platform responded with status {0}; check its address in the settings
    Refused(u16),
    /// the platform's response is invalid ({0}); check its address in the settings
    InvalidResponse(String),
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    /// Returns whether a failed write may have taken effect.
    pub fn may_have_written(&self) -> bool {
        matches!(
            self,
            PlatformError::ResponseLost(_) | PlatformError::InvalidResponse(_)
        )
    }
}

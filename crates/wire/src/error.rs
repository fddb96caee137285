//! Errors of control links.

use displaydoc::Display;

/// Why a call on a control link failed.
#[derive(Debug, Display)]
pub enum WireError {
    /// no control link to the peer ({0}); check its address and that it runs
    Unreachable(String),
    /// the control link broke ({0}); it will be reestablished
    Broken(String),
    /// the peer did not reply in time; the link will be reestablished
    TimedOut,
    /// the peer's message is invalid ({0}); run the same version on all VMs
    InvalidMessage(String),
}

impl std::error::Error for WireError {}

impl From<capnp::Error> for WireError {
    fn from(e: capnp::Error) -> WireError {
        WireError::Broken(e.to_string())
    }
}

impl From<capnp::NotInSchema> for WireError {
    fn from(e: capnp::NotInSchema) -> WireError {
        WireError::InvalidMessage(e.to_string())
    }
}

impl From<std::str::Utf8Error> for WireError {
    fn from(e: std::str::Utf8Error) -> WireError {
        WireError::InvalidMessage(e.to_string())
    }
}

impl From<WireError> for capnp::Error {
    fn from(e: WireError) -> capnp::Error {
        capnp::Error::failed(e.to_string())
    }
}

//! Shared by the operators' commands: settings, a runtime, and requests to processes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use displaydoc::Display;
use entry::admin::Status;
use serde::de::DeserializeOwned;
use settings::{OperatorCfg, Settings};
use store::{Kv, Tables};
use tokio::runtime::{Builder, Runtime};
use web::{BodyError, Client, DialOptions, SendError, read_body};

use super::process;
use crate::error::Error;

/// Timeout of a request to a process.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a process's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Loads an operator's settings.
pub fn load(path: &Path) -> Result<OperatorCfg, Error> {
    match process::load(path)? {
        Settings::Operator(cfg) => Ok(*cfg),
        _ => Err(Error::WrongRole(path.to_owned(), "an operator")),
    }
}

/// Builds a single-threaded runtime for one command.
pub fn runtime() -> Result<Runtime, Error> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Start)
}

/// Returns a client for the table's editions in the platform.
pub fn tables(cfg: &OperatorCfg) -> Tables {
    Tables::new(Kv::new(cfg.platform.table, cfg.platform.dial_options()))
}

/// Why a GET request to a process failed.
#[derive(Debug, Display)]
pub enum GetError {
    /// no connection ({0})
    NoConnection(String),
    /// the connection broke before the response ({0})
    Broken(String),
    /// no response within {0:?}
    TimedOut(Duration),
    /// status {0}, where 200 is expected
    Status(u16),
    /// {0}
    Body(BodyError),
}

impl std::error::Error for GetError {}

impl From<SendError> for GetError {
    fn from(e: SendError) -> GetError {
        match e {
            SendError::NotSent(_, cause) => GetError::NoConnection(cause),
            SendError::ResponseLost(_, cause) => GetError::Broken(cause),
            SendError::TimedOut(_, timeout) => GetError::TimedOut(timeout),
        }
    }
}

/// Sends a GET request to an admin or metrics address, and reads the body of a response with status 200.
pub async fn get(addr: SocketAddr, path: &'static str) -> Result<Vec<u8>, GetError> {
    let mut req = hyper::Request::new(web::empty());
    *req.uri_mut() = hyper::Uri::from_static(path);
    let res = Client::new(DialOptions::with_timeout(PROCESS_TIMEOUT))
        .send(addr, req, PROCESS_TIMEOUT)
        .await?;
    if res.status() != hyper::StatusCode::OK {
        return Err(GetError::Status(res.status().as_u16()));
    }
    let buf = read_body(res.into_body(), MAX_RESPONSE_BYTES, PROCESS_TIMEOUT)
        .await
        .map_err(GetError::Body)?;
    Ok(buf.to_vec())
}

/// Sends a GET request to all entries concurrently. Returns each address with the decoded response,
/// `None` on failure.
pub async fn get_from_all<T: DeserializeOwned>(
    cfg: &OperatorCfg,
    path: &'static str,
) -> Vec<(SocketAddr, Option<T>)> {
    let requests: Vec<_> = cfg
        .admins
        .iter()
        .map(|addr| (*addr, tokio::spawn(get(*addr, path))))
        .collect();
    let mut responses = Vec::new();
    for (addr, request) in requests {
        let buf = request.await.ok().and_then(Result::ok);
        let response = buf.and_then(|buf| serde_json::from_slice(&buf).ok());
        responses.push((addr, response));
    }
    responses
}

/// Returns the status of all entries; `None` for those that don't respond.
pub async fn statuses(cfg: &OperatorCfg) -> Vec<(SocketAddr, Option<Status>)> {
    get_from_all(cfg, "/status").await
}

//! Shared by the operators' commands: settings, a runtime, and requests to the entries' admin addresses.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use entry::admin::Status;
use serde::de::DeserializeOwned;
use settings::{OperatorCfg, Settings};
use store::{Kv, Tables};
use tokio::runtime::{Builder, Runtime};
use web::{Client, DialOptions, read_body};

use super::process;
use crate::error::Error;

/// Timeout of a request to an entry.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an entry's response, in bytes.
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

/// Sends a GET request to an admin address; `None` on failure.
pub async fn get(addr: SocketAddr, path: &str) -> Option<Vec<u8>> {
    let req = hyper::Request::builder()
        .uri(path)
        .body(web::empty())
        .ok()?;
    let res = Client::new(DialOptions::with_timeout(ENTRY_TIMEOUT))
        .send(addr, req, ENTRY_TIMEOUT)
        .await
        .ok()?;
    let buf = read_body(res.into_body(), MAX_RESPONSE_BYTES, ENTRY_TIMEOUT)
        .await
        .ok()?;
    Some(buf.to_vec())
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
        let buf = request.await.ok().flatten();
        let response = buf.and_then(|buf| serde_json::from_slice(&buf).ok());
        responses.push((addr, response));
    }
    responses
}

/// Returns the status of all entries; `None` for those that don't respond.
pub async fn statuses(cfg: &OperatorCfg) -> Vec<(SocketAddr, Option<Status>)> {
    get_from_all(cfg, "/status").await
}

//! What the operators' commands share: settings, a runtime, and questions to the entries.

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

/// Longest wait for an entry's answer.
const ANSWER: Duration = Duration::from_secs(2);

/// Largest answer of an entry, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Loads an operator's settings.
pub fn load(path: &Path) -> Result<OperatorCfg, Error> {
    match process::load(path)? {
        Settings::Operator(cfg) => Ok(*cfg),
        _ => Err(Error::WrongRole(path.to_owned(), "an operator")),
    }
}

/// A runtime for one command.
pub fn runtime() -> Result<Runtime, Error> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Start)
}

/// The table's editions.
pub fn tables(cfg: &OperatorCfg) -> Tables {
    Tables::new(Kv::new(cfg.platform.table, cfg.platform.dial_options()))
}

/// Asks an admin address; `None` where nobody answers.
pub async fn ask(addr: SocketAddr, path: &str) -> Option<Vec<u8>> {
    let req = hyper::Request::builder()
        .uri(path)
        .body(web::empty())
        .ok()?;
    let res = Client::new(DialOptions::with_timeout(ANSWER))
        .send(addr, req, ANSWER)
        .await
        .ok()?;
    let buf = read_body(res.into_body(), MAX_ANSWER, ANSWER).await.ok()?;
    Some(buf.to_vec())
}

/// Asks all entries at once; pairs each address with its answer, where it gives one.
pub async fn ask_all<T: DeserializeOwned>(
    cfg: &OperatorCfg,
    path: &'static str,
) -> Vec<(SocketAddr, Option<T>)> {
    let asked: Vec<_> = cfg
        .admins
        .iter()
        .map(|addr| (*addr, tokio::spawn(ask(*addr, path))))
        .collect();
    let mut answers = Vec::new();
    for (addr, answer) in asked {
        let buf = answer.await.ok().flatten();
        let answer = buf.and_then(|buf| serde_json::from_slice(&buf).ok());
        answers.push((addr, answer));
    }
    answers
}

/// The state of all entries.
pub async fn statuses(cfg: &OperatorCfg) -> Vec<(SocketAddr, Option<Status>)> {
    ask_all(cfg, "/status").await
}

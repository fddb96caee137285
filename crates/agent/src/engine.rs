//! The model engine, through a narrow set of functions.
//!
//! Everything an engine is told or asked beyond requests is met here and nowhere else. Orders
//! carry a fencing number; an engine that honours it refuses orders of an earlier holder.
//! docs/ENGINE.md writes the protocol down.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Digest, Fence, Incarnation, header};
use bytes::Bytes;
use displaydoc::Display;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use web::{Client, DialOptions, read_body};
use weights::Manifest;

/// Largest answer of an engine about itself, in bytes.
const MAX_STATE: usize = 1 << 20;

/// State an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Number that changes when the engine starts anew, empty.
    pub incarnation: Incarnation,
    /// Versions loaded whole.
    pub loaded: Vec<Digest>,
    /// Chunks staged of versions not loaded.
    pub staged: Vec<Staged>,
    /// Highest fencing number of an order it took.
    pub fence: Fence,
    /// Requests running.
    pub running: u32,
}

/// Chunks of a version an engine has staged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Staged {
    /// Version.
    pub version: Digest,
    /// Indices.
    pub chunks: Vec<u32>,
}

/// An order to load a version from its staged chunks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Version.
    pub version: Digest,
    /// Its manifest.
    pub manifest: Manifest,
}

/// An order to drop a version and its staged chunks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// Version.
    pub version: Digest,
}

/// Why an order was not carried out.
#[derive(Debug, Display)]
pub enum EngineError {
    /// the engine is down or unreachable ({0}); check that it runs
    Unreachable(String),
    /// the engine took an order with the later fencing number {0}; another agent runs this VM
    Fenced(Fence),
    /// the engine refused ({0}: {1}); check its log
    Refused(u16, String),
    /// the engine's answer makes no sense ({0}); check its address in the settings
    InvalidResponse(String),
}

impl std::error::Error for EngineError {}

/// Access to an engine.
#[derive(Debug, Clone)]
pub struct Engine {
    client: Client,
    addr: SocketAddr,
    timeout: Duration,
    load_timeout: Duration,
}

impl Engine {
    /// The engine at an address.
    pub fn new(addr: SocketAddr, timeout: Duration, load_timeout: Duration) -> Engine {
        Engine {
            client: Client::new(DialOptions::with_timeout(timeout)),
            addr,
            timeout,
            load_timeout,
        }
    }

    /// Its state.
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        let buf = self
            .call(Method::GET, "/state", Bytes::new(), 0, self.timeout)
            .await?;
        serde_json::from_slice(&buf).map_err(|e| EngineError::InvalidResponse(e.to_string()))
    }

    /// Hands it a verified chunk of a version.
    pub async fn stage(
        &self,
        version: Digest,
        chunk: usize,
        buf: Bytes,
        fence: Fence,
    ) -> Result<(), EngineError> {
        let path = format!("/stage/{version}/{chunk}");
        self.call(Method::PUT, &path, buf, fence, self.timeout)
            .await
            .map(drop)
    }

    /// Orders it to load a version; returns when it says it has.
    pub async fn load(&self, order: &LoadOrder, fence: Fence) -> Result<(), EngineError> {
        let buf = serde_json::to_vec(order).expect("plain data");
        self.call(Method::POST, "/load", buf.into(), fence, self.load_timeout)
            .await
            .map(drop)
    }

    /// Orders it to drop a version.
    pub async fn unload(&self, version: Digest, fence: Fence) -> Result<(), EngineError> {
        let buf = serde_json::to_vec(&UnloadOrder { version }).expect("plain data");
        self.call(Method::POST, "/unload", buf.into(), fence, self.timeout)
            .await
            .map(drop)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        buf: Bytes,
        fence: Fence,
        within: Duration,
    ) -> Result<Bytes, EngineError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(header::ENGINE_FENCE, fence)
            .body(web::full(buf))
            .map_err(|e| EngineError::InvalidResponse(e.to_string()))?;
        let res = self
            .client
            .send(self.addr, req, within)
            .await
            .map_err(|e| EngineError::Unreachable(e.to_string()))?;
        let (head, body) = res.into_parts();
        let buf = read_body(body, MAX_STATE, within)
            .await
            .map_err(|e| EngineError::Unreachable(e.to_string()))?;
        match head.status {
            status if status.is_success() => Ok(buf),
            StatusCode::PRECONDITION_FAILED => {
                let seen = web::header(&head.headers, header::ENGINE_FENCE);
                let seen = seen.and_then(|s| s.parse().ok()).unwrap_or(0);
                Err(EngineError::Fenced(seen))
            }
            status => {
                let text = String::from_utf8_lossy(&buf).into_owned();
                Err(EngineError::Refused(status.as_u16(), text))
            }
        }
    }
}

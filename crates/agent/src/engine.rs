//! Control client of the model engine.
//!
//! All communication with an engine other than requests of callers is in this module. Orders carry a fencing number;
//! an engine that honours it refuses orders of an earlier agent. docs/ENGINE.md describes the protocol.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Digest, Fence, Incarnation, header};
use bytes::Bytes;
use displaydoc::Display;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use web::{Client, DialOptions, read_body};
use weights::Manifest;

/// Maximum size of a response of an engine, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// State that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Number that changes when the engine restarts without loaded versions.
    pub incarnation: Incarnation,
    /// Versions that are completely loaded.
    pub loaded: Vec<Digest>,
    /// Staged chunks of versions that are not loaded.
    pub staged: Vec<Staged>,
    /// Highest fencing number of the orders that it has accepted.
    pub fence: Fence,
    /// Number of running requests.
    pub running: u32,
}

/// Staged chunks of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Staged {
    /// Version.
    pub version: Digest,
    /// Indices of the chunks.
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

/// An order to unload a version and discard its staged chunks.
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
    /// the engine accepted an order with the higher fencing number {0}; another agent runs this VM
    Fenced(Fence),
    /// the engine refused ({0}: {1}); check its log
    Refused(u16, String),
    /// the engine's response is invalid ({0}); check its address in the settings
    InvalidResponse(String),
}

impl std::error::Error for EngineError {}

/// Client of an engine.
#[derive(Debug, Clone)]
pub struct Engine {
    client: Client,
    addr: SocketAddr,
    timeout: Duration,
    load_timeout: Duration,
}

impl Engine {
    /// Creates a client of the engine at an address.
    pub fn new(addr: SocketAddr, timeout: Duration, load_timeout: Duration) -> Engine {
        Engine {
            client: Client::new(DialOptions::with_timeout(timeout)),
            addr,
            timeout,
            load_timeout,
        }
    }

    /// Queries the state of the engine.
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        let buf = self
            .call(Method::GET, "/state", Bytes::new(), 0, self.timeout)
            .await?;
        serde_json::from_slice(&buf).map_err(|e| EngineError::InvalidResponse(e.to_string()))
    }

    /// Stages a verified chunk of a version.
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

    /// Orders the engine to load a version; returns once it has confirmed the load.
    pub async fn load(&self, order: &LoadOrder, fence: Fence) -> Result<(), EngineError> {
        let buf = serde_json::to_vec(order).expect("plain data");
        self.call(Method::POST, "/load", buf.into(), fence, self.load_timeout)
            .await
            .map(drop)
    }

    /// Orders the engine to unload a version.
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
        timeout: Duration,
    ) -> Result<Bytes, EngineError> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header(header::ENGINE_FENCE, fence)
            .body(web::full(buf))
            .map_err(|e| EngineError::InvalidResponse(e.to_string()))?;
        let res = self
            .client
            .send(self.addr, req, timeout)
            .await
            .map_err(|e| EngineError::Unreachable(e.to_string()))?;
        let (head, body) = res.into_parts();
        let buf = read_body(body, MAX_RESPONSE_BYTES, timeout)
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

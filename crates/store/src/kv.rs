//! Conditional reads and writes of small values in a key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use web::{Client, DialOptions, SendError, read_body};

use crate::PlatformError;

/// Entity tag of a value.
pub type Tag = String;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE: usize = 16 << 20;

/// Result of a conditional read.
#[derive(Debug)]
pub enum ReadResult {
    /// The value still has the given tag.
    Unchanged,
    /// There is no value.
    Absent,
    /// The value and its tag.
    Value(Bytes, Tag),
}

/// Condition under which a write is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unless {
    /// The key has a value.
    Present,
    /// The tag of the value differs from this one.
    Changed(Tag),
}

/// A write of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Op {
    /// Key.
    pub key: String,
    /// Condition under which the transaction is rejected.
    pub unless: Unless,
    /// New value.
    pub value: String,
    /// Time to live in seconds; `None` for values without expiry.
    pub ttl_s: Option<u64>,
}

/// A transaction, whose writes take effect all or none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    /// Writes.
    pub ops: Vec<Op>,
}

/// Response to a committed transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Committed {
    /// New tag of each value, in the order of the writes.
    pub tags: Vec<Tag>,
}

/// Response to a rejected transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Refusal {
    /// Keys whose condition was met.
    pub keys: Vec<String>,
}

/// Client of a key-value service.
#[derive(Debug, Clone)]
pub struct Kv {
    client: Client,
    addr: SocketAddr,
    timeout: Duration,
}

impl Kv {
    /// Creates a client of the service at `addr`. The connect timeout also bounds each call.
    pub fn new(addr: SocketAddr, dial: DialOptions) -> Kv {
        Kv {
            client: Client::new(dial),
            addr,
            timeout: dial.timeout,
        }
    }

    /// Reads a value, unless its tag is still `known`.
    pub async fn get(&self, path: &str, known: Option<&Tag>) -> Result<ReadResult, PlatformError> {
        let mut req = request(Method::GET, path, Bytes::new())?;
        if let Some(tag) = known {
            web::set_header(req.headers_mut(), "if-none-match", tag);
        }
        let (status, headers, buf) = self.call(req).await?;
        match status {
            StatusCode::OK => {
                let tag = web::header(&headers, "etag").unwrap_or_default();
                Ok(ReadResult::Value(buf, tag.to_owned()))
            }
            StatusCode::NOT_MODIFIED => Ok(ReadResult::Unchanged),
            StatusCode::NOT_FOUND => Ok(ReadResult::Absent),
            status => Err(status_error(status)),
        }
    }

    /// Writes a value, unless the condition is met.
    pub async fn put(
        &self,
        path: &str,
        buf: Bytes,
        unless: Option<&Unless>,
    ) -> Result<(), PlatformError> {
        let mut req = request(Method::PUT, path, buf)?;
        match unless {
            Some(Unless::Present) => web::set_header(req.headers_mut(), "if-none-match", "*"),
            Some(Unless::Changed(tag)) => web::set_header(req.headers_mut(), "if-match", tag),
            None => {}
        }
        let (status, ..) = self.call(req).await?;
        match status {
            StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict),
            status => Err(status_error(status)),
        }
    }

    /// Commits a transaction. The inner error lists the keys whose condition was met.
    pub async fn commit(
        &self,
        ops: Vec<Op>,
    ) -> Result<Result<Vec<Tag>, Vec<String>>, PlatformError> {
        let buf = serde_json::to_vec(&Transaction { ops }).expect("a transaction serializes");
        let req = request(Method::POST, "/transaction", buf.into())?;
        let (status, _, buf) = self.call(req).await?;
        match status {
            StatusCode::OK => serde_json::from_slice(&buf)
                .map(|Committed { tags }| Ok(tags))
                .map_err(|e| PlatformError::InvalidResponse(e.to_string())),
            StatusCode::PRECONDITION_FAILED => serde_json::from_slice(&buf)
                .map(|Refusal { keys }| Err(keys))
                .map_err(|e| PlatformError::InvalidResponse(e.to_string())),
            status => Err(status_error(status)),
        }
    }

    async fn call(
        &self,
        req: Request<web::Body>,
    ) -> Result<(StatusCode, hyper::HeaderMap, Bytes), PlatformError> {
        let sent = self.client.send(self.addr, req, self.timeout).await;
        let res = sent.map_err(|e| match e {
            SendError::NotSent(..) => PlatformError::Unavailable(e.to_string()),
            _ => PlatformError::ResponseLost(e.to_string()),
        })?;
        let (head, body) = res.into_parts();
        match read_body(body, MAX_VALUE, self.timeout).await {
            Ok(buf) => Ok((head.status, head.headers, buf)),
            Err(e) => Err(PlatformError::ResponseLost(e.to_string())),
        }
    }
}

fn request(method: Method, path: &str, buf: Bytes) -> Result<Request<web::Body>, PlatformError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(web::full(buf))
        .map_err(|e| PlatformError::InvalidResponse(e.to_string()))
}

/// Returns the error for a status other than success or conflict, with which nothing was written.
fn status_error(status: StatusCode) -> PlatformError {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            PlatformError::Unavailable(format!("it responded with status {status}"))
        }
        status => PlatformError::Refused(status.as_u16()),
    }
}

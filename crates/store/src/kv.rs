//! Conditional reads and writes of small values.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use web::{Client, DialOptions, SendError, read_body};

use crate::PlatformError;

/// Entity tag of a value.
pub type Tag = String;

/// Largest value, in bytes.
pub const MAX_VALUE: usize = 16 << 20;

/// Result of a conditional read.
#[derive(Debug)]
pub enum ReadResult {
    /// The value is still the one with the tag given.
    Unchanged,
    /// There is no value.
    Absent,
    /// A value with its tag.
    Value(Bytes, Tag),
}

/// Condition under which a write is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unless {
    /// Refuse if there is a value.
    Present,
    /// Refuse if the value's tag is another.
    Changed(Tag),
}

/// One write of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Op {
    /// Key.
    pub key: String,
    /// Condition.
    pub unless: Unless,
    /// New value.
    pub value: String,
    /// Seconds until the service may forget the value; `None` keeps it.
    pub ttl_s: Option<u64>,
}

/// A transaction: all writes take effect or none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Transaction {
    /// Writes.
    pub ops: Vec<Op>,
}

/// Answer to a committed transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Committed {
    /// New tag of each value, in the order of the writes.
    pub tags: Vec<Tag>,
}

/// Answer to a refused transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Refusal {
    /// Keys whose condition failed.
    pub keys: Vec<String>,
}

/// A service of keys and values.
#[derive(Debug, Clone)]
pub struct Kv {
    client: Client,
    addr: SocketAddr,
    timeout: Duration,
}

impl Kv {
    /// The service at an address; the dial's timeout bounds each answer, too.
    pub fn new(addr: SocketAddr, dial: DialOptions) -> Kv {
        Kv {
            client: Client::new(dial),
            addr,
            timeout: dial.timeout,
        }
    }

    /// Reads a value unless it still has the tag.
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
            status => Err(refused(status)),
        }
    }

    /// Writes a value under a condition, or without one.
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
            status => Err(refused(status)),
        }
    }

    /// Commits a transaction; the inner error names the keys whose condition failed.
    pub async fn commit(
        &self,
        ops: Vec<Op>,
    ) -> Result<Result<Vec<Tag>, Vec<String>>, PlatformError> {
        let buf = serde_json::to_vec(&Transaction { ops }).expect("plain data");
        let req = request(Method::POST, "/transaction", buf.into())?;
        let (status, _, buf) = self.call(req).await?;
        match status {
            StatusCode::OK => serde_json::from_slice(&buf)
                .map(|Committed { tags }| Ok(tags))
                .map_err(|e| PlatformError::InvalidResponse(e.to_string())),
            StatusCode::PRECONDITION_FAILED => serde_json::from_slice(&buf)
                .map(|Refusal { keys }| Err(keys))
                .map_err(|e| PlatformError::InvalidResponse(e.to_string())),
            status => Err(refused(status)),
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

/// An answer that is neither success nor conflict; the service says it wrote nothing.
fn refused(status: StatusCode) -> PlatformError {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            PlatformError::Unavailable(format!("it answered {status}"))
        }
        status => PlatformError::Refused(status.as_u16()),
    }
}

//! The origin of weights, which serves byte ranges of versions.

use std::net::SocketAddr;
use std::time::Duration;

use base::Digest;
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use web::{Client, DialOptions, SendError, read_body};

use crate::PlatformError;

/// Client of the origin.
#[derive(Debug, Clone)]
pub struct Origin {
    client: Client,
    addr: SocketAddr,
    timeout: Duration,
}

impl Origin {
    /// Creates a client of the origin at `addr`. The connect timeout also bounds each read and write.
    pub fn new(addr: SocketAddr, dial: DialOptions) -> Origin {
        Origin {
            client: Client::new(dial),
            addr,
            timeout: dial.timeout,
        }
    }

    /// Reads the bytes of a version from `first` to `end` (exclusive), without verifying them.
    pub async fn range(
        &self,
        version: Digest,
        first: u64,
        end: u64,
    ) -> Result<Bytes, PlatformError> {
        let req = Request::builder()
            .uri(path(version))
            .header("range", format!("bytes={first}-{}", end - 1))
            .body(web::empty())
            .map_err(|e| PlatformError::InvalidResponse(e.to_string()))?;
        let res = self.send(req).await?;
        match res.status() {
            StatusCode::OK | StatusCode::PARTIAL_CONTENT => {}
            status => return Err(PlatformError::Refused(status.as_u16())),
        }
        read_body(res.into_body(), (end - first) as usize, self.timeout)
            .await
            .map_err(|e| PlatformError::ResponseLost(e.to_string()))
    }

    /// Publishes the bytes of a version from `first` on. The operation is idempotent.
    pub async fn publish(
        &self,
        version: Digest,
        first: u64,
        buf: Bytes,
    ) -> Result<(), PlatformError> {
        let last = first + (buf.len() as u64).saturating_sub(1);
        let req = Request::builder()
            .method(Method::PUT)
            .uri(path(version))
            .header("content-range", format!("bytes {first}-{last}/*"))
            .body(web::full(buf))
            .map_err(|e| PlatformError::InvalidResponse(e.to_string()))?;
        let res = self.send(req).await?;
        match res.status() {
            status if status.is_success() => Ok(()),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    async fn send(
        &self,
        req: Request<web::Body>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, PlatformError> {
        self.client
            .send(self.addr, req, self.timeout)
            .await
            .map_err(|e| match e {
                SendError::NotSent(..) => PlatformError::Unavailable(e.to_string()),
                _ => PlatformError::ResponseLost(e.to_string()),
            })
    }
}

fn path(version: Digest) -> String {
    format!("/weights/{version}")
}

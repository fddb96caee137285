//! HTTP/1 connection to an upstream, used for a single request.
//!
//! Connections aren't pooled: an upstream may drop an idle connection, or send a surplus response on it later, and
//! opening a new one costs a fraction of a thousandth of a request. Bytes received on a connection therefore never
//! belong to another request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::io::InspectReader;

use crate::activity::Activity;

/// TCP user timeout: a connection whose packets stay unacknowledged for this long is closed, since nothing ever
/// answers behind a network partition.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Connection to an upstream; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection to `addr` within `timeout`; `activity` records when bytes arrive on it.
    pub(crate) async fn open(
        addr: SocketAddr,
        timeout: Duration,
        activity: Arc<Activity>,
    ) -> std::io::Result<Connection> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        // Closing resets the connection: bytes in transit must not arrive once a request is cancelled.
        socket.set_linger(Some(Duration::ZERO))?;
        // Without any bytes, the peer has closed the connection.
        let stream = InspectReader::new(stream, move |bytes| {
            if !bytes.is_empty() {
                activity.record_bytes();
            }
        });
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // Errors surface in the response future, where they are handled.
            let _ = conn.await;
        });
        Ok(Connection { sender, task })
    }

    /// Sends the request and waits for the response head.
    pub async fn send(
        &mut self,
        req: hyper::Request<Full<Bytes>>,
    ) -> hyper::Result<hyper::Response<Incoming>> {
        self.sender.send_request(req).await
    }
}

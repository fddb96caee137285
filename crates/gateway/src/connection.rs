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
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio_util::io::InspectReader;

use crate::activity::Activity;
use crate::loss::ResponseLoss;

/// TCP user timeout: a connection whose packets stay unacknowledged for this long is closed, since nothing ever
/// answers behind a network partition.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes that may arrive before a response has a complete head. Interim responses count: there may be any
/// number of them.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Connection to an upstream; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Notified when more than [`MAX_HEAD_BYTES`] have arrived.
    head_exceeded: Arc<Notify>,
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
        let head_exceeded = Arc::new(Notify::new());
        let (exceeded, mut received) = (head_exceeded.clone(), 0);
        // Without any bytes, the peer has closed the connection.
        let stream = InspectReader::new(stream, move |bytes| {
            if bytes.is_empty() {
                return;
            }
            activity.record_bytes();
            received += bytes.len();
            if received > MAX_HEAD_BYTES {
                exceeded.notify_one();
            }
        });
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // Errors surface in the response future, where they are handled.
            let _ = conn.await;
        });
        Ok(Connection {
            sender,
            task,
            head_exceeded,
        })
    }

    /// Sends the request and waits for the response head.
    pub async fn send(
        &mut self,
        req: hyper::Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, ResponseLoss> {
        tokio::select! {
            biased;
            res = self.sender.send_request(req) => {
                res.map_err(|e| ResponseLoss::Disconnected(e.to_string()))
            }
            () = self.head_exceeded.notified() => {
                Err(ResponseLoss::TooLarge("head", MAX_HEAD_BYTES))
            }
        }
    }
}

//! A connection to an upstream, for one request.
//!
//! Connections aren't kept: an upstream may forget one that rests, or send a second answer on it
//! later, and a new connection costs a fraction of a thousandth of a request. So what comes on a
//! connection can belong to no other request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time after which a connection whose packets aren't acknowledged is given up: behind a cut
/// nothing ever answers.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// A connection; closed when dropped.
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
    /// Connects.
    pub async fn open(addr: SocketAddr, within: Duration) -> std::io::Result<Connection> {
        let stream = tokio::time::timeout(within, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        // Closing resets: what is still on its way when a request is taken back must not arrive.
        socket.set_linger(Some(Duration::ZERO))?;
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // What goes wrong shows in the answer, where it is handled.
            let _ = conn.await;
        });
        Ok(Connection { sender, task })
    }

    /// Sends the request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        req: hyper::Request<Full<Bytes>>,
    ) -> hyper::Result<hyper::Response<Incoming>> {
        self.sender.send_request(req).await
    }
}

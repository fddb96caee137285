//! Server with limits: one task per connection, and a drain on shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::{Request, Response};

/// Delay after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout for reading a request head.
    pub header_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum duration of the drain on shutdown.
    pub drain_timeout: Duration,
}

impl ServerLimits {
    /// Returns limits for admin servers and stand-ins.
    pub fn internal() -> ServerLimits {
        ServerLimits {
            max_connections: 4096,
            header_timeout: Duration::from_secs(10),
            max_header_bytes: 64 << 10,
            drain_timeout: Duration::from_secs(2),
        }
    }
}

/// Receives `true` when a graceful shutdown begins.
pub type StopSignal = watch::Receiver<bool>;

/// Serves connections until a graceful shutdown begins, then drains requests in flight within the drain
/// timeout. Connections over the limit are closed.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    mut stop: StopSignal,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        match (accepted, slots.clone().try_acquire_owned()) {
            (Ok((stream, _)), Ok(slot)) => {
                let watcher = graceful.watcher();
                let handler = handler.clone();
                tokio::spawn(async move {
                    serve_connection(stream, limits, watcher, handler).await;
                    drop(slot);
                });
            }
            (Ok((stream, _)), Err(_)) => drop(stream),
            (Err(_), _) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    let _ = tokio::time::timeout(limits.drain_timeout, graceful.shutdown()).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: ServerLimits,
    watcher: hyper_util::server::graceful::Watcher,
    handler: H,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    // Connection errors are ignored here: the peer detects them, and the handler deals with its request.
    let _ = watcher.watch(conn).await;
}

//! Stand-ins for external systems; each implements the published protocol of its system.

pub mod engine;
pub mod fault;
pub mod kv;
pub mod origin;
pub mod platform;
pub mod relay;
pub mod service;

use std::net::SocketAddr;

use tokio::net::TcpListener;
use web::{Request, Response, ServerLimits, StopSignal};

/// Serves a stand-in on an address until the stop signal.
pub async fn serve<H, F>(addr: SocketAddr, stop: StopSignal, handler: H) -> std::io::Result<()>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    tokio::spawn(web::serve(
        listener,
        ServerLimits::internal(),
        stop,
        handler,
    ));
    Ok(())
}

//! Client with a connection pool, whose errors tell whether a request can have reached the server.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use displaydoc::Display;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::Body;

/// Maximum number of idle connections per server.
const MAX_IDLE_PER_HOST: usize = 64;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle time before the first TCP keep-alive probe, and interval between probes. Without probes, a
/// connection that waits for data of an unreachable peer never fails.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;

/// Time for which sent data may stay unacknowledged before the connection is closed (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a request got no response.
#[derive(Debug, Display)]
pub enum SendError {
    /// no connection to {0} ({1}); no byte of the request was sent
    NotSent(SocketAddr, String),
    /// {0} gave no whole answer ({1}); the request may have run
    ResponseLost(SocketAddr, String),
    /// {0} gave no answer within {1:?}; the request may have run
    TimedOut(SocketAddr, Duration),
}

impl std::error::Error for SendError {}

impl SendError {
    /// Returns whether the server can have received the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, SendError::NotSent(..))
    }
}

/// Options for outgoing connections.
#[derive(Debug, Clone, Copy)]
pub struct DialOptions {
    /// Connect timeout.
    pub timeout: Duration,
    /// Local address to bind; `None` lets the system choose.
    pub source: Option<IpAddr>,
    /// Whether connections are reused for later requests.
    pub keep_alive: bool,
}

impl DialOptions {
    /// Creates options with a connect timeout, any local address, and connections that are reused.
    pub fn with_timeout(timeout: Duration) -> DialOptions {
        DialOptions {
            timeout,
            source: None,
            keep_alive: true,
        }
    }

    /// Uses a new connection for each request.
    pub fn without_keep_alive(self) -> DialOptions {
        DialOptions {
            keep_alive: false,
            ..self
        }
    }
}

/// HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Body>,
}

impl Client {
    /// Creates a client.
    pub fn new(dial: DialOptions) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(dial.timeout));
        connector.set_local_address(dial.source);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_max_idle_per_host(match dial.keep_alive {
                true => MAX_IDLE_PER_HOST,
                false => 0,
            })
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Client { pool }
    }

    /// Sends a request to `to` and waits for the response head. Only path and query of its URI are used.
    pub async fn send(
        &self,
        to: SocketAddr,
        mut req: hyper::Request<Body>,
        timeout: Duration,
    ) -> Result<hyper::Response<Incoming>, SendError> {
        let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
        *req.uri_mut() = format!("http://{to}{path}")
            .parse()
            .map_err(|e| SendError::NotSent(to, format!("{e}")))?;
        match tokio::time::timeout(timeout, self.pool.request(req)).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(e)) if e.is_connect() => Err(SendError::NotSent(to, root_cause(&e))),
            Ok(Err(e)) => Err(SendError::ResponseLost(to, root_cause(&e))),
            Err(_) => Err(SendError::TimedOut(to, timeout)),
        }
    }
}

/// Returns the text of the innermost source of an error.
fn root_cause(e: &dyn std::error::Error) -> String {
    std::iter::successors(Some(e), |e| e.source())
        .last()
        .map_or(String::new(), |e| e.to_string())
}

//! Pooled client that says whether a request can have reached its server.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use displaydoc::Display;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::Body;

/// Idle connections kept for each server.
const IDLE_PER_HOST: usize = 64;

/// How long an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Time without a packet after which a connection is probed, and between two probes: one that fell
/// silent for good shows in no other way.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 3;

/// Time after which a connection whose packets aren't acknowledged is given up.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// Why no answer came.
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
    /// Whether the server can have seen the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, SendError::NotSent(..))
    }
}

/// How connections are made.
#[derive(Debug, Clone, Copy)]
pub struct DialOptions {
    /// Longest wait for a connection.
    pub timeout: Duration,
    /// Address that connections come from; `None` leaves it to the system.
    pub source: Option<IpAddr>,
    /// Whether connections are kept for later requests.
    pub keep_alive: bool,
}

impl DialOptions {
    /// Connections from any address.
    pub fn with_timeout(timeout: Duration) -> DialOptions {
        DialOptions {
            timeout,
            source: None,
            keep_alive: true,
        }
    }

    /// The same, each connection for one request.
    pub fn without_keep_alive(self) -> DialOptions {
        DialOptions {
            keep_alive: false,
            ..self
        }
    }
}

/// Client with a pool of connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Body>,
}

impl Client {
    /// A client.
    pub fn new(dial: DialOptions) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(dial.timeout));
        connector.set_local_address(dial.source);
        connector.set_keepalive(Some(PROBE_INTERVAL));
        connector.set_keepalive_interval(Some(PROBE_INTERVAL));
        connector.set_keepalive_retries(Some(PROBES));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_max_idle_per_host(match dial.keep_alive {
                true => IDLE_PER_HOST,
                false => 0,
            })
            .pool_idle_timeout(IDLE_TIME)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Client { pool }
    }

    /// Sends a request whose URI holds a path only, and waits for the head of the answer.
    pub async fn send(
        &self,
        to: SocketAddr,
        mut req: hyper::Request<Body>,
        within: Duration,
    ) -> Result<hyper::Response<Incoming>, SendError> {
        let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
        *req.uri_mut() = format!("http://{to}{path}")
            .parse()
            .map_err(|e| SendError::NotSent(to, format!("{e}")))?;
        match tokio::time::timeout(within, self.pool.request(req)).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(e)) if e.is_connect() => Err(SendError::NotSent(to, cause(&e))),
            Ok(Err(e)) => Err(SendError::ResponseLost(to, cause(&e))),
            Err(_) => Err(SendError::TimedOut(to, within)),
        }
    }
}

/// The innermost cause of an error.
fn cause(e: &dyn std::error::Error) -> String {
    std::iter::successors(Some(e), |e| e.source())
        .last()
        .map_or(String::new(), |e| e.to_string())
}

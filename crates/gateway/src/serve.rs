//! Listeners of a gateway, and its graceful shutdown.

use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use beacon::Beacon;
use futures_util::FutureExt;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{error, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use web::{
    Body, CallerStream, GuardedBody, Request, RequestGuard, RequestState, Response, ServerLimits,
    StopSignal, text,
};

use crate::Cx;
use crate::confirm::confirm_before_serving;
use crate::demand_updates::send_demand;
use crate::domain_plans::update_plans;
use crate::gauges::update_gauges;
use crate::gossip::listen;
use crate::handle::handle;
use crate::introduction;
use crate::load_updates::{relay_changes, send_domain_updates, send_releases, send_updates};
use crate::part_updates::send_parts;
use crate::rate_limit_updates::send_rate_limits;
use crate::suspect_updates::send_suspects;
use crate::timeouts::CallerTimeouts;

/// Log prefix of this part.
const PART: &str = "serve";

/// Pause after a failed accept, so that the loop doesn't spin when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of connections that are accepted from the backlog when the listener is closed.
const MAX_BACKLOG: usize = 4096;

/// Minimum buffer for a request head that `hyper` allows, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

/// Maximum size of a request head before a configuration is known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// Maximum number of bytes that are discarded after a refusal before a configuration is known.
const DEFAULT_DISCARDED_BYTES: usize = 4 << 20;

/// Runs a gateway until it is stopped and its requests in flight have ended.
pub async fn run(cx: Arc<Cx>) -> std::io::Result<()> {
    let caller_listener = TcpListener::bind(cx.cfg.listen).await?;
    let ready_listener = TcpListener::bind(cx.cfg.ready).await?;
    let replica_listener = TcpListener::bind(cx.cfg.copies).await?;
    let beacon = Beacon::bind(cx.cfg.node.beacon).await?;
    info!(target: PART, "{PART}: event=started vm={} listen={} incarnation={}", cx.cfg.node.vm, cx.cfg.listen, cx.incarnation);
    let (internal_stop_tx, internal_stop) = tokio::sync::watch::channel(false);
    let ready_cx = cx.clone();
    tokio::spawn(web::serve(
        ready_listener,
        ServerLimits::internal(),
        internal_stop.clone(),
        move |_| {
            let res = ready_response(&ready_cx);
            async move { res }
        },
    ));
    let replica_cx = cx.clone();
    tokio::spawn(web::serve(
        replica_listener,
        ServerLimits::internal(),
        internal_stop,
        move |req| {
            let cx = replica_cx.clone();
            async move {
                if req.uri().path() == introduction::PATH {
                    return cx.introductions.serve(req).await;
                }
                confirm_before_serving(&cx, &req).await;
                mirror::serve(&cx.mirror, &cx.served_documents, &req).await
            }
        },
    ));
    tokio::spawn(update_gauges(cx.clone()));
    tokio::spawn(send_updates(cx.clone(), beacon.clone()));
    tokio::spawn(relay_changes(cx.clone(), beacon.clone()));
    tokio::spawn(send_domain_updates(cx.clone(), beacon.clone()));
    tokio::spawn(send_demand(cx.clone(), beacon.clone()));
    tokio::spawn(update_plans(cx.clone()));
    tokio::spawn(send_releases(cx.clone(), beacon.clone()));
    tokio::spawn(send_suspects(cx.clone(), beacon.clone()));
    tokio::spawn(send_parts(cx.clone(), beacon.clone()));
    tokio::spawn(send_rate_limits(cx.clone(), beacon.clone()));
    tokio::spawn(listen(cx.clone(), beacon));
    serve_callers(&cx, caller_listener).await;
    internal_stop_tx.send_replace(true);
    info!(target: PART, "{PART}: event=stopped vm={}", cx.cfg.node.vm);
    Ok(())
}

fn ready_response(cx: &Cx) -> Response {
    match cx.is_ready() {
        true => text(200, "ready\n"),
        false => text(503, "not ready\n"),
    }
}

/// What callers' connections share.
#[derive(Clone)]
struct Callers {
    cx: Arc<Cx>,
    timeouts: Arc<CallerTimeouts>,
    /// Number of requests without a complete response.
    running: Arc<AtomicUsize>,
}

/// Counts a request as running until it is dropped.
struct Running(Arc<AtomicUsize>);

impl Running {
    fn begin(running: &Arc<AtomicUsize>) -> Running {
        running.fetch_add(1, Relaxed);
        Running(running.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// Accepts callers' connections. On shutdown it keeps accepting them for `stop_notice`, since the load balancer in
/// front of the gateway needs time to react, and then waits for the requests in flight.
async fn serve_callers(cx: &Arc<Cx>, listener: TcpListener) {
    let (closing_tx, closing) = watch::channel(false);
    let callers = Callers {
        cx: cx.clone(),
        timeouts: Arc::new(CallerTimeouts::new(cx.cfg.config_time)),
        running: Arc::default(),
    };
    tokio::spawn(callers.timeouts.clone().follow_configuration(cx.clone()));
    let mut stop = cx.stop.clone();
    let stopped = async move {
        let stopping = stop.wait_for(|stopping| *stopping).await.is_ok();
        if !stopping {
            std::future::pending::<()>().await;
        }
    };
    let stop_notice = cx.cfg.stop_notice;
    let mut noticed = Box::pin(async move {
        stopped.await;
        info!(target: PART, "{PART}: event=stopping notice={stop_notice:?}");
        tokio::time::sleep(stop_notice).await;
    });
    let serve = |stream| {
        // Each connection holds a receiver until its end.
        tokio::spawn(handle_connection(callers.clone(), stream, closing.clone()));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut noticed => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(e) => {
                warn!(target: PART, "{PART}: event=accept_failed why=\"{e}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    backlog(listener).into_iter().for_each(serve);
    drop(closing);
    closing_tx.send_replace(true);
    let drained = tokio::time::timeout(cx.cfg.drain_timeout, closing_tx.closed()).await;
    if drained.is_err() {
        let requests = callers.running.load(Relaxed);
        warn!(target: PART, "{PART}: event=drain_timed_out after={:?} requests={requests}", cx.cfg.drain_timeout);
    }
}

/// Closes a listener and returns the connections that the system has accepted for it, which would be reset otherwise.
fn backlog(listener: TcpListener) -> Vec<TcpStream> {
    let accept = || listener.accept().now_or_never()?.ok();
    let accepted = std::iter::from_fn(accept).take(MAX_BACKLOG);
    accepted.map(|(stream, _)| stream).collect()
}

async fn handle_connection(callers: Callers, stream: TcpStream, closing: StopSignal) {
    let _ = stream.set_nodelay(true);
    let limits = callers.cx.catalog.borrow().as_ref().map(|c| c.limits);
    let head_bytes = limits
        .map_or(DEFAULT_HEAD_BYTES, |l| l.head_bytes)
        .max(MIN_HEAD_BYTES);
    let discarded_bytes = limits.map_or(DEFAULT_DISCARDED_BYTES, |l| l.body_bytes);
    let timeouts = callers.timeouts.clone();
    let stream = CallerStream::new(stream, timeouts, discarded_bytes, closing.clone());
    let state = stream.request_state();
    let service = service_fn(move |req| respond(callers.clone(), state.clone(), req));
    // The stream applies the timeouts: hyper's timeout for a head includes the idle time before it, and can't change.
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    // Errors of the connection need no handling here: its request is recorded where it is handled.
    let _ = conn.await;
    drop(closing);
}

async fn respond(
    callers: Callers,
    state: Arc<RequestState>,
    req: Request,
) -> Result<hyper::Response<GuardedBody<(RequestGuard, Running)>>, Infallible> {
    let guard = (state.begin(&req), Running::begin(&callers.running));
    let cx = callers.cx;
    let handled = AssertUnwindSafe(handle(cx.clone(), req)).catch_unwind();
    let mut res = handled.await.unwrap_or_else(|_| panicked_response());
    if !res.status().is_success() {
        // If a part of the body wasn't read, hyper now notices that before it writes the head of the response, which
        // then says that the connection will be closed.
        tokio::task::yield_now().await;
    }
    if *cx.stop.borrow() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    Ok(res.map(|body: Body| GuardedBody::new(body, guard)))
}

/// Returns the response to a request whose handler panicked. The request may have run, so the status promises nothing.
fn panicked_response() -> Response {
    // The panic itself, with its place, was written to the standard error.
    error!(target: PART, "{PART}: event=handler_panicked status=500");
    metrics::counter!("driftnotch_handler_panics_total").increment(1);
    text(500, "the gateway failed on this request; it may have run\n")
}

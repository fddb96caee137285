//! Listeners of a gateway, and its planned stop.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use beacon::Beacon;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use web::{Bounds, Request, Response, text};

use crate::Cx;
use crate::confirm::confirm_before_serving;
use crate::gauges::update_gauges;
use crate::gossip::listen;
use crate::handle::handle;
use crate::introduction;
use crate::load_updates::{relay_changes, send_domain_updates, send_releases, send_updates};
use crate::rate_limit_updates::send_rate_limits;
use crate::suspect_updates::send_suspects;

/// Log prefix of this part.
const PART: &str = "serve";

/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Smallest buffer for a head that `hyper` allows, in bytes.
const LEAST_HEAD: usize = 8192;

/// Rest of a connection that is allowed before a configuration is known.
const FIRST_IDLE: Duration = Duration::from_secs(15);

/// Head of a request that is allowed before a configuration is known, in bytes.
const FIRST_HEAD: usize = 16 << 10;

/// Runs a gateway until it is stopped and what runs has ended.
pub async fn run(cx: Arc<Cx>) -> std::io::Result<()> {
    let front = TcpListener::bind(cx.cfg.listen).await?;
    let ready = TcpListener::bind(cx.cfg.ready).await?;
    let copies = TcpListener::bind(cx.cfg.copies).await?;
    let beacon = Beacon::bind(cx.cfg.node.beacon).await?;
    info!(target: PART, "{PART}: event=started vm={} listen={} incarnation={}", cx.cfg.node.vm, cx.cfg.listen, cx.incarnation);
    let (own_stop, internal_stop) = tokio::sync::watch::channel(false);
    let readiness = cx.clone();
    tokio::spawn(web::serve(
        ready,
        Bounds::internal(),
        internal_stop.clone(),
        move |_| {
            let res = answer_ready(&readiness);
            async move { res }
        },
    ));
    let passing = cx.clone();
    tokio::spawn(web::serve(
        copies,
        Bounds::internal(),
        internal_stop,
        move |req| {
            let cx = passing.clone();
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
    tokio::spawn(send_releases(cx.clone(), beacon.clone()));
    tokio::spawn(send_suspects(cx.clone(), beacon.clone()));
    tokio::spawn(send_rate_limits(cx.clone(), beacon.clone()));
    tokio::spawn(listen(cx.clone(), beacon));
    serve_callers(&cx, front).await;
    own_stop.send_replace(true);
    info!(target: PART, "{PART}: event=stopped vm={}", cx.cfg.node.vm);
    Ok(())
}

fn answer_ready(cx: &Cx) -> Response {
    match cx.is_ready() {
        true => text(200, "ready\n"),
        false => text(503, "not ready\n"),
    }
}

/// Takes callers' connections. At a planned stop it first goes on taking them, since the balancer
/// needs time to notice, and then lets what runs end.
async fn serve_callers(cx: &Arc<Cx>, listener: TcpListener) {
    let graceful = GracefulShutdown::new();
    let mut stop = cx.stop.clone();
    let leaving = async move {
        let stopping = stop.wait_for(|stopping| *stopping).await.is_ok();
        if !stopping {
            std::future::pending::<()>().await;
        }
    };
    let notice = cx.cfg.stop_notice;
    let mut closing = Box::pin(async move {
        leaving.await;
        info!(target: PART, "{PART}: event=stopping notice={notice:?}");
        tokio::time::sleep(notice).await;
    });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut closing => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(connection(cx.clone(), stream, graceful.watcher()));
            }
            Err(e) => {
                warn!(target: PART, "{PART}: event=accept_failed why=\"{e}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    let drained = tokio::time::timeout(cx.cfg.drain_timeout, graceful.shutdown()).await;
    if drained.is_err() {
        warn!(target: PART, "{PART}: event=drain_timed_out after={:?}", cx.cfg.drain_timeout);
    }
}

async fn connection(cx: Arc<Cx>, stream: TcpStream, watcher: Watcher) {
    let _ = stream.set_nodelay(true);
    let limits = cx.catalog.borrow().as_ref().map(|c| c.limits);
    let idle = limits.map_or(FIRST_IDLE, |l| l.idle_time);
    let head = limits.map_or(FIRST_HEAD, |l| l.head_bytes).max(LEAST_HEAD);
    let service = service_fn(move |req| respond(cx.clone(), req));
    // hyper counts the time for a head from the end of the last answer, so the bound has to cover
    // a connection's rest too.
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head)
        .serve_connection(TokioIo::new(stream), service);
    // A broken connection is the caller's affair; its request is recorded where it runs.
    let _ = watcher.watch(conn).await;
}

async fn respond(cx: Arc<Cx>, req: Request) -> Result<Response, Infallible> {
    let mut res = handle(cx.clone(), req).await;
    if *cx.stop.borrow() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    Ok(res)
}

//! Listeners of a gateway, what it tells others, and its planned stop.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::Revision;
use beacon::{Beacon, Load, LoadNote, Msg};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use web::{Bounds, Client, Dial, Request, Response, text};

use crate::Cx;
use crate::handle::handle;
use crate::load::largest;

/// Log prefix of this part.
const PART: &str = "serve";

/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time between a change of what is in flight and the note that tells it; changes meanwhile go into
/// the same note.
const LOAD_DELAY: Duration = Duration::from_millis(15);

/// Longest time between two load notes.
const LOAD_REPEAT: Duration = Duration::from_millis(400);

/// Time between two notes to other failure domains: their links carry streams and weights too. At
/// 125 ms three domains with 76 engines tell each other 0.3 Mbit/s.
const DOMAIN_LOAD_INTERVAL: Duration = Duration::from_millis(125);

/// Time in which the store usually brings what another gateway knows already.
const STORE_LEAD: Duration = Duration::from_millis(120);

/// Longest wait for another process's copy of a document.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

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
            let res = mirror::serve(&passing.mirror, &passing.documents, &req);
            async move { res }
        },
    ));
    tokio::spawn(tell(cx.clone(), beacon.clone()));
    tokio::spawn(tell_domain(cx.clone(), beacon.clone()));
    tokio::spawn(release(cx.clone(), beacon.clone()));
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

/// Tells other gateways of the failure domain what is in flight here, and which documents.
async fn tell(cx: Arc<Cx>, beacon: Beacon) {
    let mut number = 0;
    let mut documents = cx.mirror.changes();
    loop {
        tokio::select! {
            _ = cx.admission.changed() => tokio::time::sleep(LOAD_DELAY).await,
            Ok(()) = documents.changed() => {}
            _ = tokio::time::sleep(LOAD_REPEAT) => {}
        }
        number += 1;
        let note = load_note(&cx, number, largest(own_loads(&cx)));
        let to = cx.peers.borrow().near_gateways.clone();
        beacon.send(&Msg::Load(note), to);
    }
}

/// Tells gateways of other failure domains what this one has in flight, while this gateway is the
/// first of it.
async fn tell_domain(cx: Arc<Cx>, beacon: Beacon) {
    let mut number = 0;
    loop {
        tokio::time::sleep(DOMAIN_LOAD_INTERVAL).await;
        if cx.loads.rank(&cx.cfg.node.vm, Instant::now()) > 0 {
            continue;
        }
        number += 1;
        let note = load_note(&cx, number, cx.loads.domain(&own_loads(&cx)));
        let to = cx.peers.borrow().far_gateways.clone();
        beacon.send(&Msg::DomainLoad(note), to);
    }
}

fn own_loads(cx: &Cx) -> Vec<Load> {
    let all = cx.roster.all();
    let loads = all.iter().map(|u| u.load());
    loads.filter(|l| l.requests > 0 || l.failed > 0).collect()
}

fn load_note(cx: &Cx, number: u64, loads: Vec<Load>) -> LoadNote {
    LoadNote {
        from: cx.cfg.node.vm.clone(),
        domain: cx.cfg.node.domain.clone(),
        incarnation: cx.incarnation,
        number,
        configuration: cx.mirror.revision(cx.configuration),
        upstreams: cx.mirror.revision(cx.upstreams),
        upstreams_age: cx.mirror.age(cx.upstreams).unwrap_or_default(),
        copies_at: cx.cfg.copies,
        loads,
    }
}

/// Takes what others tell.
async fn listen(cx: Arc<Cx>, beacon: Beacon) {
    let client = Client::new(Dial::within(COPY_TIMEOUT));
    loop {
        let (msg, from) = beacon.next().await;
        match msg {
            Msg::Load(note) => {
                follow(&cx, &client, &note);
                follow_upstreams(&cx, &client, &note);
                cx.loads.take(note, Instant::now());
            }
            Msg::DomainLoad(note) => {
                follow(&cx, &client, &note);
                cx.loads.take_domain(note, Instant::now());
            }
            Msg::Engine(note) => {
                if let Some(newer) = cx.releases.newer_than(note.releases) {
                    beacon.send(&Msg::Releases(newer), [from]);
                }
                if cx.roster.note(note, Instant::now()) {
                    cx.admission.freed().notify_one();
                }
            }
            Msg::Chunks(_) | Msg::Releases(_) => {}
        }
    }
}

/// Brings the configuration of another gateway where it is newer.
fn follow(cx: &Arc<Cx>, client: &Client, note: &LoadNote) {
    let wanted = note.configuration;
    if wanted > cx.mirror.revision(cx.configuration) {
        tokio::spawn(catch_up(cx.clone(), client.clone(), note.copies_at, wanted));
    }
}

/// Copies the list of upstreams of another gateway of the failure domain where it is newer, unless
/// that is under way. Where it is the same, that the store confirmed it goes for this one too.
fn follow_upstreams(cx: &Arc<Cx>, client: &Client, note: &LoadNote) {
    cx.mirror
        .confirm(cx.upstreams, note.upstreams, note.upstreams_age);
    if note.upstreams <= cx.mirror.revision(cx.upstreams) || cx.copying.swap(true, Relaxed) {
        return;
    }
    let (cx, client, from) = (cx.clone(), client.clone(), note.copies_at);
    tokio::spawn(async move {
        let asked = mirror::ask(&cx.mirror, cx.upstreams, &client, from, COPY_TIMEOUT).await;
        if let Err(e) = asked {
            warn!(target: PART, "{PART}: event=not_copied table={} from={from} why=\"{e}\"", cx.upstreams);
        }
        cx.copying.store(false, Relaxed);
    });
}

/// Takes a newer configuration from another gateway, unless the store brings it meanwhile.
async fn catch_up(cx: Arc<Cx>, client: Client, from: std::net::SocketAddr, wanted: Revision) {
    tokio::time::sleep(STORE_LEAD).await;
    if cx.mirror.revision(cx.configuration) >= wanted {
        return;
    }
    let asked = mirror::ask(&cx.mirror, cx.configuration, &client, from, COPY_TIMEOUT).await;
    match asked {
        Ok(newer) => {
            info!(target: PART, "{PART}: event=caught_up from={from} newer={newer}");
        }
        Err(e) => warn!(target: PART, "{PART}: event=catch_up_failed from={from} why=\"{e}\""),
    }
}

/// Tells loaders of each release as it becomes known.
async fn release(cx: Arc<Cx>, beacon: Beacon) {
    let mut newest = cx.releases.newest();
    while newest.changed().await.is_ok() {
        let list = newest.borrow_and_update().clone();
        let to = cx.peers.borrow().loader_beacons.clone();
        info!(target: PART, "{PART}: event=released revision={} releases={:?} loaders={}", list.revision, list.releases, to.len());
        beacon.send(&Msg::Releases(list), to);
    }
}

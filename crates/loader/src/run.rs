//! Tasks of a loader.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use beacon::{Beacon, Msg};
use log::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use web::Bounds;

use crate::peers::{Passing, Peers, answer, serve};
use crate::rollout::keep;
use crate::sets::Sets;
use crate::tell::tell;
use crate::window::Window;
use crate::{Cx, Wiring};

/// Log prefix of this part.
const PART: &str = "loader";

/// Runs a loader until it is stopped.
pub async fn run(wiring: Wiring) -> std::io::Result<()> {
    let listener = TcpListener::bind(wiring.cfg.chunks).await?;
    let beacon = Beacon::bind(wiring.cfg.node.beacon).await?;
    let cx = Arc::new(Cx {
        service: wiring.service,
        api: wiring.api,
        catalog: wiring.catalog,
        known: wiring.known,
        members: wiring.members,
        stop: wiring.stop,
        incarnation: base::unix_ms(),
        beacon,
        sets: Sets::default(),
        window: Window::new(wiring.cfg.fetches as usize),
        peers: std::sync::Mutex::new(Peers::default()),
        heard: Notify::new(),
        look: Notify::new(),
        leaving: AtomicBool::new(false),
        leaves_at: std::sync::Mutex::new(None),
        cfg: wiring.cfg,
    });
    info!(target: PART, "{PART}: event=started vm={} engine={} incarnation={}", cx.cfg.node.vm, cx.cfg.engine, cx.incarnation);
    let serving = cx.clone();
    let passing = Arc::new(Passing::new(&cx.cfg));
    let handler = move |req| serve(serving.clone(), passing.clone(), req);
    tokio::spawn(web::serve(
        listener,
        Bounds::internal(),
        cx.stop.clone(),
        handler,
    ));
    let (tx, rx) = watch::channel(None);
    tokio::spawn(tell(cx.clone(), tx));
    tokio::spawn(listen(cx.clone()));
    tokio::spawn(keep(cx.clone(), rx));
    let mut stop = cx.stop.clone();
    if stop.wait_for(|stopping| *stopping).await.is_err() {
        warn!(target: PART, "{PART}: event=signals_lost");
    }
    info!(target: PART, "{PART}: event=stopped vm={}", cx.cfg.node.vm);
    Ok(())
}

/// Takes what other processes tell.
async fn listen(cx: Arc<Cx>) {
    loop {
        match cx.beacon.recv().await {
            (Msg::Chunks(map), from) => {
                if map.wants_reply {
                    answer(&cx, &map, from);
                }
                let mut peers = cx.peers.lock().unwrap_or_else(|e| e.into_inner());
                peers.take(map);
                cx.heard.notify_one();
            }
            (Msg::Releases(list), from) => {
                let revision = list.revision;
                let newer = cx.known.send_if_modified(|k| k.merge(&list, clock::now()));
                if newer {
                    info!(target: PART, "{PART}: event=releases revision={revision} from={from}");
                }
            }
            (
                Msg::Engine(_)
                | Msg::Load(_)
                | Msg::DomainLoad(_)
                | Msg::RelayedLoad(_)
                | Msg::LoadChanges(_)
                | Msg::Suspects(_)
                | Msg::FarSuspects(_)
                | Msg::RateLimits(_)
                | Msg::FarRateLimits(_),
                _,
            ) => {}
        }
    }
}

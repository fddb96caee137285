//! Tasks of a loader.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use beacon::{Beacon, Msg};
use log::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use web::{Bounds, Client, Dial};

use crate::keep::keep;
use crate::peers::{Passing, Peers, answer, serve};
use crate::sets::Sets;
use crate::tell::tell;
use crate::{Cx, Wiring};

/// Log prefix of this part.
const PART: &str = "loader";

/// Longest wait for a gateway's copy of a document.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a loader until it is stopped.
pub async fn run(wiring: Wiring) -> std::io::Result<()> {
    let listener = TcpListener::bind(wiring.cfg.chunks).await?;
    let beacon = Beacon::bind(wiring.cfg.node.beacon).await?;
    let cx = Arc::new(Cx {
        service: wiring.service,
        api: wiring.api,
        plan: wiring.plan,
        members: wiring.members,
        mirror: wiring.mirror,
        configuration: wiring.configuration,
        stop: wiring.stop,
        incarnation: base::unix_ms(),
        beacon,
        sets: Sets::default(),
        peers: std::sync::Mutex::new(Peers::default()),
        look: Notify::new(),
        leaving: AtomicBool::new(false),
        cfg: wiring.cfg,
    });
    info!(target: PART, "{PART}: event=started vm={} engine={} incarnation={}", cx.cfg.node.vm, cx.cfg.engine, cx.incarnation);
    let serving = cx.clone();
    let passing = Arc::new(Passing::new(&cx.cfg));
    tokio::spawn(web::serve(
        listener,
        Bounds::internal(),
        cx.stop.clone(),
        move |req| {
            let res = serve(&serving, &passing, &req);
            async move { res }
        },
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
    let client = Client::new(Dial::within(COPY_TIMEOUT));
    loop {
        match cx.beacon.next().await {
            (Msg::Chunks(map), from) => {
                if map.asks {
                    answer(&cx, &map, from);
                }
                let mut peers = cx.peers.lock().unwrap_or_else(|e| e.into_inner());
                peers.take(map);
            }
            (
                Msg::Newer {
                    configuration,
                    copies_at,
                },
                _,
            ) if configuration > cx.mirror.revision(cx.configuration) => {
                let asked = mirror::ask(
                    &cx.mirror,
                    cx.configuration,
                    &client,
                    copies_at,
                    COPY_TIMEOUT,
                );
                if let Err(e) = asked.await {
                    warn!(target: PART, "{PART}: event=catch_up_failed from={copies_at} why=\"{e}\"");
                }
            }
            _ => {}
        }
    }
}

//! Starts the tasks of a loader and dispatches datagrams.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};

use beacon::{Beacon, Msg};
use log::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use web::ServerLimits;

use crate::chunk_set::ChunkSets;
use crate::claims::verify_claims;
use crate::peers::{Peers, UploadLimits, reply, serve};
use crate::rollout::roll_out;
use crate::status::publish;
use crate::window::Window;
use crate::{Cx, Dependencies};

/// Log prefix of this part.
const PART: &str = "loader";

/// Runs a loader until it is stopped.
pub async fn run(deps: Dependencies) -> std::io::Result<()> {
    let listener = TcpListener::bind(deps.cfg.chunks).await?;
    let beacon = Beacon::bind(deps.cfg.node.beacon).await?;
    let cx = Arc::new(Cx {
        service: deps.service,
        api: deps.api,
        catalog: deps.catalog,
        known: deps.known,
        members: deps.members,
        stop: deps.stop,
        incarnation: base::unix_ms(),
        beacon,
        sets: ChunkSets::default(),
        window: Window::new(deps.cfg.fetches as usize),
        peers: std::sync::Mutex::new(Peers::default()),
        announced: Notify::new(),
        poll_engine: Notify::new(),
        verified_claims: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        leaves_at: std::sync::Mutex::new(None),
        cfg: deps.cfg,
    });
    info!(target: PART, "{PART}: event=started vm={} engine={} incarnation={}", cx.cfg.node.vm, cx.cfg.engine, cx.incarnation);
    let serving = cx.clone();
    let limits = Arc::new(UploadLimits::new(&cx.cfg));
    let handler = move |req| serve(serving.clone(), limits.clone(), req);
    tokio::spawn(web::serve(
        listener,
        ServerLimits::internal(),
        cx.stop.clone(),
        handler,
    ));
    let (tx, rx) = watch::channel(None);
    tokio::spawn(publish(cx.clone(), tx));
    tokio::spawn(listen(cx.clone()));
    tokio::spawn(verify_claims(cx.clone(), rx.clone()));
    tokio::spawn(roll_out(cx.clone(), rx));
    let mut stop = cx.stop.clone();
    if stop.wait_for(|stopping| *stopping).await.is_err() {
        warn!(target: PART, "{PART}: event=stop_channel_closed");
    }
    info!(target: PART, "{PART}: event=stopped vm={}", cx.cfg.node.vm);
    Ok(())
}

/// Handles datagrams of other processes.
async fn listen(cx: Arc<Cx>) {
    loop {
        match cx.beacon.recv().await {
            (Msg::Chunks(map), from) => {
                if map.wants_reply {
                    reply(&cx, &map, from);
                }
                let mut peers = cx.peers.lock().unwrap_or_else(|e| e.into_inner());
                peers.record(map);
                cx.announced.notify_one();
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
                | Msg::FarRateLimits(_)
                | Msg::Pace(_)
                | Msg::FarPace(_)
                | Msg::Demand(_)
                | Msg::DomainDemand(_)
                | Msg::RelayedDemand(_)
                | Msg::Parts(_)
                | Msg::FarParts(_),
                _,
            ) => {}
        }
    }
}

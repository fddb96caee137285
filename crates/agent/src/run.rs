//! Starts an agent, and drains it before it stops.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::{Map, unix_ms};
use displaydoc::Display;
use log::{info, warn};
use settings::AgentCfg;
use store::{Kv, Objects, Origin};
use table::ActiveTable;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use web::{Client, DialOptions, ServerLimits, StopSignal};
use weights::ChunkStore;
use wire::counted::Traffic;

use crate::engine::Engine;
use crate::gate::Gate;
use crate::ledger::Ledger;
use crate::pace::Pacer;
use crate::{Agent, ChunkCounts, PeersRequest, admin, handle, links, peer, rollout};

/// Log prefix of this part.
const PART: &str = "agent";

/// Maximum number of queued peers requests.
const MAX_PEERS_REQUESTS: usize = 64;

/// Timeout for connecting to the upstream or a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an agent can't start.
#[derive(Debug, Display)]
pub enum AgentError {
    /// can't listen on {0} ({1}); free the address or change `{2}` in the settings
    Listen(SocketAddr, std::io::Error, &'static str),
    /// the control thread can't be started ({0}); free some memory
    Thread(std::io::Error),
    /// the settings name no origin; add `platform_origin`
    NoOrigin,
}

impl std::error::Error for AgentError {}

/// Renders the metrics.
pub type Render = Arc<dyn Fn() -> String + Send + Sync>;

/// Runs an agent until `stop`, then drains it.
///
/// # Errors
/// An address can't be bound, the control thread can't be started, or the settings name no origin.
pub async fn run(cfg: AgentCfg, mut stop: StopSignal, render: Render) -> Result<(), AgentError> {
    let entries = bind(cfg.listen, "listen").await?;
    let peers = bind(cfg.peer, "peer").await?;
    let admin = bind(cfg.process.admin, "admin").await?;
    let process = cfg.process.clone();
    let serves = Arc::new(Semaphore::new(cfg.serves as usize));
    let (requests_tx, requests) = mpsc::channel(MAX_PEERS_REQUESTS);
    let agent = new_agent(cfg, requests_tx)?;
    info!(target: PART, "{PART}: {} in {} listens on {}", process.vm, process.domain, agent.cfg.listen);
    start_links(&agent, requests)?;
    tokio::spawn(rollout::run(agent.clone()));
    let (close, closing) = watch::channel(false);
    let limits = ServerLimits {
        max_connections: process.max_connections,
        header_timeout: process.header_timeout,
        max_header_bytes: process.max_header,
        drain_timeout: process.drain_timeout,
    };
    let a = agent.clone();
    let entry_server = tokio::spawn(web::serve(entries, limits, closing.clone(), move |req| {
        handle::handle(a.clone(), req)
    }));
    let a = agent.clone();
    let peer_server = tokio::spawn(web::serve(peers, limits, closing.clone(), move |req| {
        peer::handle(a.clone(), serves.clone(), req)
    }));
    let a = agent.clone();
    let admin_server = tokio::spawn(web::serve(
        admin,
        ServerLimits::internal(),
        closing,
        move |req| admin::handle(a.clone(), req, render.clone()),
    ));
    let _ = stop.wait_for(|stopping| *stopping).await;
    drain(&agent).await;
    let _ = close.send(true);
    let _ = tokio::join!(entry_server, peer_server, admin_server);
    info!(target: PART, "{PART}: stopped");
    Ok(())
}

/// Refuses new requests, informs the entries, and waits for the running requests to complete.
async fn drain(agent: &Agent) {
    let process = &agent.cfg.process;
    info!(target: PART, "{PART}: stopping; draining running requests");
    agent.start_leaving();
    tokio::time::sleep(process.stop_notice).await;
    if !agent.gate.wait_drained(None, process.drain_timeout).await {
        warn!(target: PART, "{PART}: the drain timed out after {:?} with requests running", process.drain_timeout);
    }
}

async fn bind(addr: SocketAddr, field: &'static str) -> Result<TcpListener, AgentError> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| AgentError::Listen(addr, e, field))
}

/// Creates an agent without starting it; its queries to the entries are sent to `peers_requests`.
///
/// # Errors
/// `NoOrigin` if the settings name no origin.
pub fn new_agent(
    cfg: AgentCfg,
    peers_requests: mpsc::Sender<PeersRequest>,
) -> Result<Arc<Agent>, AgentError> {
    let process = &cfg.process;
    let platform = &process.platform;
    let origin = platform.origin.ok_or(AgentError::NoOrigin)?;
    // The clock of the VM orders the incarnations of its agents; see docs/DESIGN.md.
    let incarnation = unix_ms();
    Ok(Arc::new(Agent {
        incarnation,
        active_table: Arc::new(ActiveTable::new(process.domains.clone())),
        gate: Gate::default(),
        ledger: Ledger::new(cfg.answer_memory as usize, cfg.answer_retention),
        engine: Engine::new(cfg.upstream, cfg.engine_timeout, cfg.load_timeout),
        client: Client::new(DialOptions {
            timeout: CONNECT_TIMEOUT,
            keep_alive: true,
            source: process.source,
        }),
        objects: Objects::new(Kv::new(platform.objects, platform.dial_options())),
        origin: Origin::new(
            origin,
            DialOptions {
                timeout: cfg.chunk_timeout,
                keep_alive: true,
                source: process.source,
            },
        ),
        peers_requests,
        traffic: Traffic::default(),
        chunk_counts: ChunkCounts::default(),
        upload_pacer: Arc::new(Pacer::new(cfg.link_rate, cfg.weight_share)),
        download_pacer: Arc::new(Pacer::new(cfg.link_rate, cfg.weight_share)),
        holdings: watch::Sender::new(Vec::new()),
        chunks: Mutex::new(ChunkStore::new(cfg.chunk_memory as usize)),
        manifests: Mutex::new(Map::default()),
        fence: AtomicU64::new(incarnation),
        leaving: watch::Sender::new(false),
        superseded: AtomicBool::new(false),
        cfg,
    }))
}

fn start_links(
    agent: &Arc<Agent>,
    requests: mpsc::Receiver<PeersRequest>,
) -> Result<(), AgentError> {
    let name = format!("links-{}", agent.cfg.listen.port());
    let agent = agent.clone();
    wire::thread::spawn(name, move || links::maintain(agent, requests))
        .map(drop)
        .map_err(AgentError::Thread)
}

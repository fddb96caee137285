//! Startup and graceful shutdown of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use base::rendezvous::rank;
use displaydoc::Display;
use log::info;
use settings::EntryCfg;
use store::{Kv, Members, Tables};
use table::ActiveTable;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use web::{Client, DialOptions, ServerLimits, StopSignal};
use wire::ClaimOutcome;
use wire::counted::Traffic;

use crate::admission::Queue;
use crate::claim::{Batching, Claims};
use crate::limit::Limiter;
use crate::membership::fleet::Fleet;
use crate::membership::links::{AddressBook, ClaimJob};
use crate::membership::{control, links};
use crate::retry_budget::RetryBudget;
use crate::route::split::TrafficSplit;
use crate::telemetry::{BurnBounds, Telemetry};
use crate::{Entry, JOIN_WINDOW, Readiness, admin, poll, serve};

/// Log prefix of this part.
const PART: &str = "entry";

/// Maximum number of claim batches queued for forwarding.
const MAX_CLAIM_JOBS: usize = 256;

/// Interval at which readiness is checked during startup.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Startup error of an entry.
#[derive(Debug, Display)]
pub enum EntryError {
    /// can't listen on {0} ({1}); free the address or change `{2}` in the settings
    Listen(SocketAddr, std::io::Error, &'static str),
    /// the control thread can't be started ({0}); free some memory
    Thread(std::io::Error),
}

impl std::error::Error for EntryError {}

/// Function that renders the metrics.
pub type Render = Arc<dyn Fn() -> String + Send + Sync>;

/// Runs an entry until `stop`, then drains the requests in flight.
pub async fn run(cfg: EntryCfg, mut stop: StopSignal, render: Render) -> Result<(), EntryError> {
    let control = bind(cfg.control, "control").await?;
    let admin = bind(cfg.process.admin, "admin").await?;
    let process = cfg.process.clone();
    let (jobs_tx, jobs_rx) = mpsc::channel(MAX_CLAIM_JOBS);
    let entry = new_entry(cfg, jobs_tx);
    start_control(&entry, control, jobs_rx)?;
    start_polls(&entry);
    let (close, closing) = watch::channel(false);
    let admin_entry = entry.clone();
    let admin_server = tokio::spawn(web::serve(
        admin,
        ServerLimits::internal(),
        closing.clone(),
        move |req| admin::handle(admin_entry.clone(), req, render.clone()),
    ));
    wait_until_ready(&entry, &stop).await;
    let callers = bind(entry.cfg.listen, "listen").await?;
    let listen = entry.cfg.listen;
    info!(target: PART, "{PART}: {} in {} listens on {listen}", process.vm, process.domain);
    let limits = ServerLimits {
        max_connections: process.max_connections,
        header_timeout: process.header_timeout,
        max_header_bytes: process.max_header,
        drain_timeout: process.drain_timeout,
    };
    let caller_entry = entry.clone();
    let caller_server = tokio::spawn(web::serve(callers, limits, closing, move |req| {
        serve::handle(caller_entry.clone(), req)
    }));
    let _ = stop.wait_for(|stopping| *stopping).await;
    info!(target: PART, "{PART}: stopping; draining requests in flight");
    entry.begin_stop();
    tokio::time::sleep(process.stop_notice).await;
    let _ = close.send(true);
    let _ = caller_server.await;
    let _ = admin_server.await;
    info!(target: PART, "{PART}: stopped");
    Ok(())
}

/// Waits until requests can be forwarded, but at most [`JOIN_WINDOW`].
///
/// The port for callers is opened afterwards: a load balancer that finds it closed tries another
/// entry. An entry that still has no table or no agents by then listens all the same and refuses
/// requests with that reason.
async fn wait_until_ready(entry: &Entry, stop: &StopSignal) {
    while entry.readiness() != Readiness::Ready && clock::since(entry.started_at) < JOIN_WINDOW {
        if *stop.borrow() {
            return;
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}

async fn bind(addr: SocketAddr, field: &'static str) -> Result<TcpListener, EntryError> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| EntryError::Listen(addr, e, field))
}

fn new_entry(cfg: EntryCfg, jobs: mpsc::Sender<ClaimJob>) -> Arc<Entry> {
    let process = cfg.process.clone();
    let kv = Kv::new(process.platform.table, process.platform.dial_options());
    let batching = Batching {
        interval: cfg.claim_interval,
        max_batch: cfg.claim_batch as usize,
        retention: cfg.claim_retention,
    };
    let burn_bounds = BurnBounds {
        first_token: cfg.first_token_bound,
        between_tokens: cfg.token_bound,
    };
    Arc::new_cyclic(|weak: &std::sync::Weak<Entry>| {
        let weak = weak.clone();
        let claim_writer = move || weak.upgrade().and_then(|entry| claim_writer(&entry));
        let forward = move |to, claims: Vec<wire::Claim>| {
            let jobs = jobs.clone();
            async move {
                let n = claims.len();
                let (tx, rx) = oneshot::channel();
                match jobs.send(ClaimJob { to, claims, tx }).await {
                    Ok(()) => rx.await.unwrap_or_else(|_| vec![ClaimOutcome::Unknown; n]),
                    Err(_) => vec![ClaimOutcome::Unavailable; n],
                }
            }
        };
        Entry {
            active_table: Arc::new(ActiveTable::new(process.domains.clone())),
            fleet: Fleet::new(process.domain.clone()),
            limiter: Limiter::default(),
            queue: Queue::new(cfg.max_queue as usize),
            retry_budget: RetryBudget::new(cfg.retry_budget),
            traffic_split: TrafficSplit::default(),
            claims: Claims::start(kv, batching, claim_writer, forward),
            client: Client::new(DialOptions {
                timeout: cfg.connect_timeout,
                keep_alive: true,
                source: process.source,
            }),
            telemetry: Arc::new(Telemetry::new(burn_bounds)),
            control_traffic: Traffic::default(),
            address_book: AddressBook::new(cfg.advertised_control(), &cfg.entries),
            started_at: clock::now(),
            stopping: AtomicBool::new(false),
            cfg,
        }
    })
}

/// Returns the entry that writes the claims of the whole failure domain; `None` if it is this one.
fn claim_writer(entry: &Entry) -> Option<SocketAddr> {
    let own = (rank(&[], &entry.cfg.process.vm), None);
    entry
        .fleet
        .siblings()
        .into_iter()
        .map(|e| (rank(&[], &e.update.vm), Some(e.update.control)))
        .chain([own])
        .max_by_key(|(rank, _)| *rank)
        .and_then(|(_, control)| control)
}

fn start_control(
    entry: &Arc<Entry>,
    listener: TcpListener,
    jobs: mpsc::Receiver<ClaimJob>,
) -> Result<(), EntryError> {
    let entry = entry.clone();
    let listener = listener.into_std().map_err(EntryError::Thread)?;
    let name = format!("control-{}", entry.cfg.control.port());
    wire::thread::spawn(name, move || async move {
        let listener = TcpListener::from_std(listener).expect("a bound listener");
        tokio::join!(
            control::listen(entry.clone(), listener),
            links::maintain_links(entry, jobs)
        );
    })
    .map(drop)
    .map_err(EntryError::Thread)
}

fn start_polls(entry: &Arc<Entry>) {
    let cfg = &entry.cfg.process.platform;
    let tables = Tables::new(Kv::new(cfg.table, cfg.dial_options()));
    tokio::spawn(poll::table(entry.clone(), tables));
    if let Some(addr) = cfg.members {
        let members = Members::new(Kv::new(addr, cfg.dial_options()));
        tokio::spawn(poll::members(entry.clone(), members));
    }
    let gauge_entry = entry.clone();
    tokio::spawn(async move {
        loop {
            metrics::gauge!("driftnotch_waiting").set(gauge_entry.queue.len() as f64);
            metrics::gauge!("driftnotch_upstreams").set(gauge_entry.fleet.local().len() as f64);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
}

//! Admin endpoints: metrics, health, readiness, status and burn counts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use web::{Request, Response};

use crate::{Entry, Readiness};

/// Status of an entry; `driftnotch status` reads it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// VM.
    pub vm: String,
    /// Failure domain.
    pub domain: String,
    /// Whether a graceful shutdown is in progress.
    pub leaving: bool,
    /// Revision in force.
    pub revision: u64,
    /// Time since the revision came into force, in milliseconds.
    pub in_force_ms: u64,
    /// Time since the platform last confirmed the revision, in milliseconds.
    pub age_ms: Option<u64>,
    /// Other entries that are up.
    pub entries: Vec<String>,
    /// Upstreams of the failure domain.
    pub upstreams: Vec<UpstreamStatus>,
    /// Known upstreams of other failure domains.
    pub remote: Vec<String>,
    /// Queued requests.
    pub waiting: usize,
    /// Bytes received and sent on control links.
    pub control_bytes: (u64, u64),
}

/// Status of an upstream as seen by an entry.
#[derive(Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// VM.
    pub vm: String,
    /// Address at which its agent accepts requests.
    pub listen: String,
    /// Revision in force at its agent.
    pub revision: u64,
    /// Whether it is draining.
    pub leaving: bool,
    /// Whether it is ejected after failures.
    pub ejected: bool,
    /// Requests of this entry that it is running.
    pub running: u32,
    /// Versions it fetches, holds or has live.
    pub holdings: Vec<HoldingStatus>,
}

/// Status of a version at an upstream.
#[derive(Debug, Serialize, Deserialize)]
pub struct HoldingStatus {
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Whether it accepts requests.
    pub live: bool,
    /// Verified chunks, in thousandths.
    pub permille: u16,
}

/// Handles a request to the admin address; `metrics` renders the metrics.
pub async fn handle(
    entry: Arc<Entry>,
    req: Request,
    metrics: Arc<dyn Fn() -> String + Send + Sync>,
) -> Response {
    match req.uri().path() {
        "/health" => web::text(200, "up\n"),
        "/ready" => ready(&entry),
        "/metrics" => web::text(200, metrics()),
        "/status" => web::json(
            200,
            serde_json::to_string(&status(&entry)).expect("the status is plain data"),
        ),
        "/burn" => {
            let history = entry.telemetry.history(&entry.cfg.process.domain);
            web::json(
                200,
                serde_json::to_string(&history).expect("the history is plain data"),
            )
        }
        _ => web::text(404, "use /health, /ready, /metrics, /status or /burn\n"),
    }
}

fn ready(entry: &Entry) -> Response {
    match entry.readiness() {
        Readiness::Ready => web::text(200, "ready\n"),
        Readiness::Stopping => web::text(503, "stopping\n"),
        Readiness::NoTable => web::text(503, "no table as yet\n"),
        Readiness::NoAgents => web::text(503, "no agent has joined as yet\n"),
    }
}

fn status(entry: &Entry) -> Status {
    let active = entry.active_table.current();
    let process = &entry.cfg.process;
    let mut upstreams: Vec<UpstreamStatus> = entry
        .fleet
        .local()
        .iter()
        .map(|u| UpstreamStatus {
            vm: u.vm().clone(),
            listen: u.listen().to_string(),
            revision: u.revision(),
            leaving: u.is_draining() || entry.fleet.is_listed_draining(u.vm()),
            ejected: u.is_ejected(),
            running: u.running(),
            holdings: u.holdings().into_iter().map(holding).collect(),
        })
        .collect();
    upstreams.sort_by(|a, b| a.vm.cmp(&b.vm));
    let others = entry.fleet.entries().into_iter();
    Status {
        vm: process.vm.clone(),
        domain: process.domain.clone(),
        leaving: entry.is_stopping(),
        revision: active.edition.revision,
        in_force_ms: clock::since(active.since).as_millis() as u64,
        age_ms: entry
            .active_table
            .confirmation_age()
            .map(|age| age.as_millis() as u64),
        entries: others.map(|e| e.update.vm).collect(),
        upstreams,
        remote: entry
            .fleet
            .remote()
            .iter()
            .map(|u| u.vm().clone())
            .collect(),
        waiting: entry.queue.len(),
        control_bytes: entry.control_traffic.bytes(),
    }
}

fn holding(h: wire::Holding) -> HoldingStatus {
    HoldingStatus {
        model: h.model,
        version: h.version.to_string(),
        live: h.live,
        permille: h.permille,
    }
}

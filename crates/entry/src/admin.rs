//! Admin address: metrics, health, readiness and status.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use web::{Request, Response};

use crate::{Entry, Readiness};

/// State of an entry, as `driftnotch status` reads it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// VM.
    pub vm: String,
    /// Failure domain.
    pub domain: String,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Revision in force here.
    pub revision: u64,
    /// Since when, in milliseconds.
    pub in_force_ms: u64,
    /// Time since the platform's confirmation, in milliseconds.
    pub age_ms: Option<u64>,
    /// Other entries heard.
    pub entries: Vec<String>,
    /// Upstreams of the failure domain.
    pub upstreams: Vec<UpstreamStatus>,
    /// Upstreams known from other failure domains.
    pub remote: Vec<String>,
    /// Requests that wait.
    pub waiting: usize,
    /// Control bytes received and sent.
    pub control_bytes: (u64, u64),
}

/// State of an upstream as an entry sees it.
#[derive(Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// VM.
    pub vm: String,
    /// Where its agent takes requests.
    pub listen: String,
    /// Revision its agent serves by.
    pub revision: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is left alone after failures.
    pub ejected: bool,
    /// Requests of this entry running there.
    pub running: u32,
    /// Versions.
    pub holdings: Vec<HoldingStatus>,
}

/// State of a version at an upstream.
#[derive(Debug, Serialize, Deserialize)]
pub struct HoldingStatus {
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Whether requests are sent for it.
    pub live: bool,
    /// Chunks verified, in thousandths.
    pub permille: u16,
}

/// Answers on the admin address; `metrics` renders the metrics.
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
            serde_json::to_string(&status(&entry)).expect("plain data"),
        ),
        "/burn" => {
            let history = entry.telemetry.history(&entry.cfg.upkeep.domain);
            web::json(200, serde_json::to_string(&history).expect("plain data"))
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
    let view = entry.active_table.current();
    let upkeep = &entry.cfg.upkeep;
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
        vm: upkeep.vm.clone(),
        domain: upkeep.domain.clone(),
        leaving: entry.is_stopping(),
        revision: view.edition.revision,
        in_force_ms: clock::since(view.since).as_millis() as u64,
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

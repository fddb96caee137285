//! The agent's admin server: health, readiness, metrics and status.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;
use web::{Request, Response};

use crate::Agent;
use crate::run::Render;

/// Body of the response to `/status`.
#[derive(Debug, Serialize)]
struct Status {
    vm: String,
    domain: String,
    leaving: bool,
    superseded: bool,
    revision: u64,
    age_ms: Option<u64>,
    running: u32,
    live: usize,
    chunk_bytes: usize,
    answer_bytes: usize,
    origin_bytes: u64,
    peer_bytes: u64,
    bad_chunks: u64,
    control_bytes: (u64, u64),
}

/// Handles a request to the admin address.
pub async fn handle(agent: Arc<Agent>, req: Request, metrics: Render) -> Response {
    match req.uri().path() {
        "/health" => web::text(200, "up\n"),
        "/ready" if agent.is_leaving() => web::text(503, "leaving\n"),
        "/ready" if live(&agent) == 0 => web::text(503, "no version is live\n"),
        "/ready" => web::text(200, "ready\n"),
        "/metrics" => web::text(200, metrics()),
        "/status" => web::json(
            200,
            serde_json::to_string(&status(&agent)).expect("plain data"),
        ),
        _ => web::text(404, "use /health, /ready, /metrics or /status\n"),
    }
}

fn live(agent: &Agent) -> usize {
    agent.holdings.borrow().iter().filter(|h| h.live).count()
}

fn status(agent: &Agent) -> Status {
    let read = |n: &AtomicU64| n.load(Ordering::Relaxed);
    Status {
        vm: agent.cfg.process.vm.clone(),
        domain: agent.cfg.process.domain.clone(),
        leaving: agent.is_leaving(),
        superseded: agent.is_superseded(),
        revision: agent.active_table.revision(),
        age_ms: agent
            .active_table
            .confirmation_age()
            .map(|age| age.as_millis() as u64),
        running: agent.gate.running(),
        live: live(agent),
        chunk_bytes: agent.chunks().stored_bytes(),
        answer_bytes: agent.ledger.stored_bytes(),
        origin_bytes: read(&agent.chunk_counts.origin),
        peer_bytes: read(&agent.chunk_counts.peers),
        bad_chunks: read(&agent.chunk_counts.bad),
        control_bytes: agent.traffic.bytes(),
    }
}

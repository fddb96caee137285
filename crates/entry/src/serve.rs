//! Request handler: selects the row of a caller's request, admits it and dispatches it.

use std::sync::Arc;

use log::debug;
use table::{ActiveEdition, Row};
use web::{Request, Response};

use crate::Entry;
use crate::limit::LimitPermit;
use crate::refusal::{DEFAULT_RETRY_AFTER, Refusal};
use crate::request::CallerRequest;
use crate::response::UpstreamResponse;
use crate::route::balance::can_serve;
use crate::route::dispatch::Dispatch;
use crate::telemetry::Labels;

/// Log prefix of this part.
const PART: &str = "serve";

/// Handles a caller's request.
pub async fn handle(entry: Arc<Entry>, req: Request) -> Response {
    let request = match CallerRequest::read(req, &entry.cfg).await {
        Ok(request) => request,
        Err(refusal) => {
            let id = base::new_request_id();
            let labels = entry.telemetry.labels(String::new(), "none");
            return refuse(&entry, &id, &labels, refusal);
        }
    };
    let active = entry.active_table.current();
    let row = match choose_row(&entry, &active, &request) {
        Ok(row) => row,
        Err(refusal) => {
            let labels = entry.telemetry.labels(String::new(), &request.workspace);
            return refuse(&entry, &request.id, &labels, refusal);
        }
    };
    let labels = entry.telemetry.labels(row.name(), &request.workspace);
    let mut res = match admit(&entry, row, &request).await {
        Ok((response, permit)) => {
            response.into_response(&request, labels, permit, &entry.telemetry)
        }
        Err(refusal) => refuse(&entry, &request.id, &labels, refusal),
    };
    if entry.is_stopping() {
        web::set_header(res.headers_mut(), "connection", "close");
    }
    res
}

async fn admit(
    entry: &Arc<Entry>,
    row: &Row,
    request: &CallerRequest,
) -> Result<(UpstreamResponse, LimitPermit), Refusal> {
    entry.retry_budget.deposit();
    let permit = entry
        .limiter
        .acquire(row, &request.workspace, entry.entry_count())?;
    let response = Dispatch::new(entry, request, row).run().await?;
    Ok((response, permit))
}

/// Chooses the row that a request is pinned to. The row must be permitted in this failure domain,
/// within its hold, and live at an upstream; among several, the traffic split decides.
fn choose_row<'a>(
    entry: &Entry,
    active: &'a ActiveEdition,
    request: &CallerRequest,
) -> Result<&'a Row, Refusal> {
    let domains = &entry.cfg.process.domains;
    let domain = &entry.cfg.process.domain;
    if entry.active_table.confirmation_age().is_none() {
        return Err(Refusal::NoTable);
    }
    let model_rows: Vec<&Row> = active
        .table
        .rows
        .iter()
        .filter(|row| row.model == request.model)
        .filter(|row| request.is_service == (row.version == table::Version::Service))
        .collect();
    if model_rows.is_empty() {
        return Err(Refusal::NoModel(request.model.clone()));
    }
    let permitted: Vec<&Row> = model_rows
        .iter()
        .copied()
        .filter(|row| !entry.cfg.check_places || row.permits(domain, domains))
        .collect();
    if permitted.is_empty() {
        let places: Vec<String> = model_rows.iter().map(|row| row.places_text()).collect();
        let (model, domain) = (request.model.clone(), domain.clone());
        return Err(Refusal::OutsidePlace(model, domain, places.join(";")));
    }
    let within_hold: Vec<&Row> = permitted
        .into_iter()
        .filter(|row| entry.active_table.may_serve(row))
        .collect();
    if within_hold.is_empty() {
        return Err(Refusal::HoldLapsed(request.model.clone()));
    }
    let ready: Vec<&Row> = within_hold
        .into_iter()
        .filter(|row| can_serve(&entry.fleet, row, &entry.cfg))
        .collect();
    entry
        .traffic_split
        .next_row(&ready)
        .ok_or_else(|| Refusal::NoUpstream(request.model.clone(), DEFAULT_RETRY_AFTER))
}

fn refuse(entry: &Entry, request_id: &str, labels: &Labels, refusal: Refusal) -> Response {
    let (outcome, code) = (refusal.outcome(), refusal.code());
    debug!(target: PART, "{PART}: request {request_id} ended with outcome {outcome}: {refusal}");
    let caller_error = refusal.status() < 500;
    entry
        .telemetry
        .record_completed(labels, outcome, code, caller_error);
    refusal.response(request_id)
}

//! One request, from its head to its answer.

use std::sync::Arc;

use log::debug;
use table::{ActiveEdition, Row};
use web::{Request, Response};

use crate::Entry;
use crate::answer::Answer;
use crate::call::Call;
use crate::limit::Counted;
use crate::refusal::{Refusal, SOON};
use crate::route::dispatch::Dispatch;
use crate::route::pick::can_serve;
use crate::telemetry::Labels;

/// Log prefix of this part.
const PART: &str = "serve";

/// Answers a caller's request.
pub async fn handle(entry: Arc<Entry>, req: Request) -> Response {
    let call = match Call::read(req, &entry.cfg).await {
        Ok(call) => call,
        Err(refusal) => {
            let id = base::new_request_id();
            let labels = entry.telemetry.labels(String::new(), "none");
            return refuse(&entry, &id, &labels, refusal);
        }
    };
    let view = entry.force.current();
    let row = match choose_row(&entry, &view, &call) {
        Ok(row) => row,
        Err(refusal) => {
            let labels = entry.telemetry.labels(String::new(), &call.workspace);
            return refuse(&entry, &call.id, &labels, refusal);
        }
    };
    let labels = entry.telemetry.labels(row.name(), &call.workspace);
    let mut res = match admit(&entry, row, &call).await {
        Ok((answer, counted)) => answer.response(&call, labels, counted, &entry.telemetry),
        Err(refusal) => refuse(&entry, &call.id, &labels, refusal),
    };
    if entry.stopping() {
        web::set_header(res.headers_mut(), "connection", "close");
    }
    res
}

async fn admit(entry: &Arc<Entry>, row: &Row, call: &Call) -> Result<(Answer, Counted), Refusal> {
    entry.retries.earn();
    let counted = entry
        .limiter
        .enter(row, &call.workspace, entry.siblings())?;
    let answer = Dispatch::new(entry, call, row).run().await?;
    Ok((answer, counted))
}

/// The row a call is pinned to: permitted here, within its hold, and by share among those that
/// an upstream has ready.
fn choose_row<'a>(entry: &Entry, view: &'a ActiveEdition, call: &Call) -> Result<&'a Row, Refusal> {
    let domains = &entry.cfg.upkeep.domains;
    let domain = &entry.cfg.upkeep.domain;
    if entry.force.confirmation_age().is_none() {
        return Err(Refusal::NoTable);
    }
    let named: Vec<&Row> = view
        .table
        .rows
        .iter()
        .filter(|row| row.model == call.model)
        .filter(|row| call.service == (row.version == table::Version::Service))
        .collect();
    if named.is_empty() {
        return Err(Refusal::NoModel(call.model.clone()));
    }
    let permitted: Vec<&Row> = named
        .iter()
        .copied()
        .filter(|row| !entry.cfg.check_places || row.permits(domain, domains))
        .collect();
    if permitted.is_empty() {
        let places: Vec<String> = named.iter().map(|row| row.places_text()).collect();
        let (model, domain) = (call.model.clone(), domain.clone());
        return Err(Refusal::OutsidePlace(model, domain, places.join(";")));
    }
    let held: Vec<&Row> = permitted
        .into_iter()
        .filter(|row| entry.force.may_serve(row))
        .collect();
    if held.is_empty() {
        return Err(Refusal::HoldLapsed(call.model.clone()));
    }
    let ready: Vec<&Row> = held
        .into_iter()
        .filter(|row| can_serve(&entry.fleet, row, &entry.cfg))
        .collect();
    entry
        .shares
        .next(&ready)
        .ok_or_else(|| Refusal::NoUpstream(call.model.clone(), SOON))
}

fn refuse(entry: &Entry, request: &str, labels: &Labels, refusal: Refusal) -> Response {
    let (outcome, code) = (refusal.outcome(), refusal.code());
    debug!(target: PART, "{PART}: request {request} ended {outcome}: {refusal}");
    let own_fault = refusal.status() < 500;
    entry.telemetry.ended(labels, outcome, code, own_fault);
    refusal.response(request)
}

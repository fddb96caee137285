//! Admits a request: authorization, its body, and its rank.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use catalog::{Access, Catalog, Route, Service, WorkspacePolicy, urgency};
use decide::DeadlineClass;
use decide::denial::Decision;
use hyper::http::request;
use log::debug;
use rand::RngExt;
use web::{BodyError, Request, Response, read_with_memory};

use crate::Cx;
use crate::confirm::{decision, wait_for_confirmation};
use crate::dispatch::{dispatch, refuse};
use crate::rank;
use crate::record::RequestRecord;
use crate::refusal::Refusal;
use crate::request::{RequestMetadata, RoutedRequest, priority};
use crate::returns;
use crate::spans::Span;

/// Log prefix of this part.
const PART: &str = "handle";

/// Retry delay if the gateway has no configuration yet, or can't have it confirmed.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// Retry delay if there is no memory for a body; most requests complete within this time.
const NO_MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Handles a request and returns its response.
pub async fn handle(cx: Arc<Cx>, req: Request) -> Response {
    let arrived = clock::now();
    let mut record = RequestRecord::new(arrived);
    let res = match admit(&cx, req, arrived, &mut record).await {
        Ok((req, service)) => dispatch(&cx, req, service, record).await,
        Err(refusal) => refuse(&refusal, record),
    };
    cx.returns.record_response(&res);
    res
}

/// Looks up route, workspace and service, and reads the body.
async fn admit(
    cx: &Arc<Cx>,
    req: Request,
    arrived: Instant,
    record: &mut RequestRecord,
) -> Result<(RoutedRequest, Arc<Service>), Refusal> {
    let (head, body) = req.into_parts();
    let metadata = (cx.codec.parse_request)(&head).map_err(|e| Refusal::BadHead(e.to_string()))?;
    record.attempt_id.clone_from(&metadata.attempt_id);
    let until = arrived + cx.cfg.start_wait;
    let Authorized {
        catalog,
        route,
        workspace,
    } = authorize(cx, &metadata, head.uri.path(), until, record).await?;
    if let Some(workspace) = &workspace {
        record.workspace.clone_from(&workspace.workspace);
    }
    let timeout = metadata.timeout.unwrap_or(route.timeout).min(route.timeout);
    record.timeout_ms = timeout.as_millis() as u64;
    let attempt_age = cx
        .attempt_ages
        .attempt_age(&route.name, metadata.timeout, arrived);
    record.attempt_age_ms = attempt_age.as_millis() as u64;
    let body = read_request_body(cx, &catalog, &head, body, timeout).await?;
    let service = route.service(rand::rng().random_range(0.0..1.0)).clone();
    record.service.clone_from(&service);
    let service = catalog
        .service(&service)
        .ok_or(Refusal::NoUpstream(NOT_READY_RETRY))?
        .clone();
    let phase = || returns::caller_phase(workspace.as_deref(), &head, &body);
    let is_out_of_turn = returns::is_out_of_turn(cx, &service, attempt_age, timeout, phase);
    let deadline_class = match is_out_of_turn {
        true => DeadlineClass::Late,
        false => deadline_class(&metadata, &route, &service, attempt_age),
    };
    returns::record_arrival(cx, &service, deadline_class);
    let priority = priority(&route, workspace.as_deref());
    record.priority = Some(priority);
    let urgency = urgency(&route, workspace.as_ref().and_then(|w| w.priority));
    let rank = rank::of(
        cx,
        &service,
        deadline_class,
        urgency,
        (&metadata.attempt_id, arrived),
    );
    let bound_objective = match rank {
        Some(_) => service.priorities.bound_objective(urgency, route.objective),
        None => route.objective,
    };
    let req = RoutedRequest {
        deadline_class,
        rank,
        bound_objective,
        is_out_of_turn,
        metadata,
        head,
        body,
        route,
        service: service.name.clone(),
        workspace,
        arrived,
        attempt_age,
        deadline: arrived + timeout,
        spans: record.spans.clone(),
        fingerprint: OnceLock::new(),
    };
    record.spans.add(Span::Admit, arrived);
    Ok((req, service))
}

/// Route and workspace of a request that the configuration allows.
struct Authorized {
    catalog: Arc<Catalog>,
    route: Arc<Route>,
    workspace: Option<Arc<WorkspacePolicy>>,
}

/// Looks up route and workspace. A request that the configuration doesn't allow is denied only if the configuration
/// was confirmed recently: a change that allows the request may still be propagating.
async fn authorize(
    cx: &Arc<Cx>,
    metadata: &RequestMetadata,
    path: &str,
    until: Instant,
    record: &mut RequestRecord,
) -> Result<Authorized, Refusal> {
    loop {
        let catalog = configuration(cx).await?;
        record.config_revision = catalog.revision;
        let age = cx.mirror.age(cx.configuration.name).unwrap_or_default();
        record.config_age_ms = age.as_millis() as u64;
        let refusal = match look_up(catalog.clone(), metadata, path, record) {
            Ok(authorized) => return Ok(authorized),
            Err(refusal) => refusal,
        };
        match decision(cx) {
            // The decision applies to the configuration that is now in force, so the lookup is repeated with it.
            Decision::Deny if !is_in_force(cx, &catalog) => continue,
            Decision::Deny => return Err(refusal),
            Decision::Confirm => wait_for_confirmation(cx, until).await,
            Decision::Refuse => return Err(Refusal::Unconfirmed(NOT_READY_RETRY)),
        }
        if clock::now() >= until && decision(cx) != Decision::Deny {
            return Err(Refusal::Unconfirmed(NOT_READY_RETRY));
        }
    }
}

fn is_in_force(cx: &Cx, catalog: &Arc<Catalog>) -> bool {
    let current = cx.catalog.borrow();
    current.as_ref().is_some_and(|c| Arc::ptr_eq(c, catalog))
}

fn look_up(
    catalog: Arc<Catalog>,
    metadata: &RequestMetadata,
    path: &str,
    record: &mut RequestRecord,
) -> Result<Authorized, Refusal> {
    let route = catalog
        .route(&metadata.host, path)
        .ok_or(Refusal::NoRoute)?;
    let route = route.clone();
    record.route.clone_from(&route.name);
    let workspace = workspace(&catalog, metadata, route.public)?;
    Ok(Authorized {
        catalog,
        route,
        workspace,
    })
}

/// Classifies a request by whether, at this attempt age, its first event can still be within the objective.
fn deadline_class(
    metadata: &RequestMetadata,
    route: &Route,
    service: &Service,
    attempt_age: Duration,
) -> DeadlineClass {
    let engine = service.engine.as_ref();
    let prompt_time = engine.map_or(Duration::ZERO, |e| e.prompt_time(metadata.prompt_tokens));
    match attempt_age + prompt_time < route.objective {
        true => DeadlineClass::OnTime,
        false => DeadlineClass::Late,
    }
}

/// Returns the configuration in force. A process that has just started waits for it briefly: it usually has it within
/// 30 ms, and callers reconnect at once to a process that was down.
async fn configuration(cx: &Cx) -> Result<Arc<Catalog>, Refusal> {
    let mut catalog = cx.catalog.clone();
    let known = catalog.wait_for(Option::is_some);
    let known = tokio::time::timeout(cx.cfg.start_wait, known).await;
    let known = known.ok().and_then(Result::ok);
    let known = known.and_then(|catalog| catalog.clone());
    known.ok_or(Refusal::NotReady(NOT_READY_RETRY))
}

/// Returns the workspace of the caller's key.
fn workspace(
    catalog: &Catalog,
    metadata: &RequestMetadata,
    public: bool,
) -> Result<Option<Arc<WorkspacePolicy>>, Refusal> {
    let Access::Keys(keys) = &catalog.access else {
        return Ok(None);
    };
    let known = metadata.key.as_ref().and_then(|key| keys.get(key)).cloned();
    match known {
        None if !public => Err(Refusal::NoKey),
        known => Ok(known),
    }
}

async fn read_request_body(
    cx: &Cx,
    catalog: &Catalog,
    head: &request::Parts,
    body: hyper::body::Incoming,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    if hyper::body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let limit = catalog.limits.body_bytes;
    let mut share = cx.memory.share();
    let read = read_with_memory(body, limit, |bytes| share.resize(bytes));
    let read = tokio::time::timeout(timeout, read).await;
    let read = read.unwrap_or(Err(BodyError::TimedOut(timeout)));
    read.map(|buf| share.hold(buf)).map_err(|e| {
        debug!(target: PART, "{PART}: event=body_failed path={} why=\"{e}\"", head.uri.path());
        match e {
            BodyError::TooLarge(limit) => Refusal::TooLarge(limit),
            BodyError::TimedOut(_) => Refusal::SlowBody,
            BodyError::NoMemory(_) => Refusal::NoMemory(NO_MEMORY_RETRY),
            BodyError::Broken(_) | BodyError::Interrupted(_) => Refusal::BrokenBody,
        }
    })
}

//! A request from its head to its answer.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use catalog::{Access, Catalog, Route, Service, WorkspacePolicy};
use decide::DeadlineClass;
use decide::denial::Decision;
use hyper::http::request;
use log::debug;
use rand::RngExt;
use web::{BodyError, Request, Response, full, read_body};

use crate::Cx;
use crate::admission::{slot, wait_until};
use crate::confirm::decision;
use crate::confirm::wait_for_confirmation;
use crate::loss;
use crate::loss::ResponseLoss;
use crate::record::{Ending, Record};
use crate::refusal::Refusal;
use crate::relay::{self, Stream};
use crate::request::{RequestMetadata, RoutedRequest};
use crate::send::{Answer, Sent, read_whole, record_health, send};
use crate::spans::Span;
use crate::suspects::wait_until_permitted;
use crate::upstream::{Health, Slot, Upstream};

/// Log prefix of this part.
const PART: &str = "handle";

/// When to come back to a gateway that knows no configuration yet, or can't have it confirmed.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// When to come back where no upstream took the request.
const NOT_TAKEN_RETRY: Duration = Duration::from_millis(400);

/// How long a request that an upstream refused waits for another.
const AGAIN_WAIT: Duration = Duration::from_millis(50);

/// Failed connections after which a request is given up; they reached nobody, so they don't count
/// as attempts.
pub(crate) const MOST_UNREACHABLE: u32 = 4;

/// Handles a request.
pub async fn handle(cx: Arc<Cx>, req: Request) -> Response {
    let arrived = clock::now();
    let mut record = Record::new(arrived);
    match admit(&cx, req, arrived, &mut record).await {
        Ok((job, service)) => dispatch(&cx, job, service, record).await,
        Err(refusal) => refused(&refusal, record),
    }
}

/// Finds route, workspace and service, and reads the body.
async fn admit(
    cx: &Arc<Cx>,
    req: Request,
    arrived: Instant,
    record: &mut Record,
) -> Result<(RoutedRequest, Arc<Service>), Refusal> {
    let (head, body) = req.into_parts();
    let metadata = (cx.codec.parse_request)(&head).map_err(|e| Refusal::BadHead(e.to_string()))?;
    record.id.clone_from(&metadata.attempt_id);
    let until = arrived + cx.cfg.start_wait;
    let Allowed {
        catalog,
        route,
        workspace,
    } = allowed(cx, &metadata, head.uri.path(), until, record).await?;
    if let Some(workspace) = &workspace {
        record.workspace.clone_from(&workspace.workspace);
    }
    let patience = metadata.timeout.unwrap_or(route.timeout).min(route.timeout);
    record.patience_ms = patience.as_millis() as u64;
    let waited = cx
        .attempt_ages
        .attempt_age(&route.name, metadata.timeout, arrived);
    record.waited_ms = waited.as_millis() as u64;
    let body = read(&catalog, &head, body, patience).await?;
    let service = route.service(rand::rng().random_range(0.0..1.0)).clone();
    record.service.clone_from(&service);
    let service = catalog
        .service(&service)
        .ok_or(Refusal::NoUpstream(NOT_READY_RETRY))?
        .clone();
    let deadline_class = deadline_class(&metadata, &route, &service, waited);
    let job = RoutedRequest {
        deadline_class,
        metadata,
        head,
        body,
        route,
        service: service.name.clone(),
        workspace,
        arrived,
        deadline: arrived + patience,
        spans: record.spans.clone(),
        fingerprint: OnceLock::new(),
    };
    record.spans.add(Span::Admit, arrived);
    Ok((job, service))
}

/// What the configuration allows a request.
struct Allowed {
    catalog: Arc<Catalog>,
    route: Arc<Route>,
    workspace: Option<Arc<WorkspacePolicy>>,
}

/// Finds route and workspace. A request that the configuration doesn't allow is denied only where it was
/// confirmed lately: a change that allows it may be on its way.
async fn allowed(
    cx: &Arc<Cx>,
    metadata: &RequestMetadata,
    path: &str,
    until: Instant,
    record: &mut Record,
) -> Result<Allowed, Refusal> {
    loop {
        let catalog = configuration(cx).await?;
        record.revision = catalog.revision;
        let age = cx.mirror.age(cx.configuration.name).unwrap_or_default();
        record.confirmed_ms = age.as_millis() as u64;
        let denial = match look_up(catalog.clone(), metadata, path, record) {
            Ok(allowed) => return Ok(allowed),
            Err(denial) => denial,
        };
        match decision(cx) {
            // The verdict goes for the configuration in force by now, so that one is looked up.
            Decision::Deny if !is_in_force(cx, &catalog) => continue,
            Decision::Deny => return Err(denial),
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
    record: &mut Record,
) -> Result<Allowed, Refusal> {
    let route = catalog
        .route(&metadata.host, path)
        .ok_or(Refusal::NoRoute)?;
    let route = route.clone();
    record.route.clone_from(&route.name);
    let workspace = workspace(&catalog, metadata, route.public)?;
    Ok(Allowed {
        catalog,
        route,
        workspace,
    })
}

/// Whether a request whose caller first asked so long ago can still have its first event in time.
fn deadline_class(
    metadata: &RequestMetadata,
    route: &Route,
    service: &Service,
    waited: Duration,
) -> DeadlineClass {
    let engine = service.engine.as_ref();
    let read = engine.map_or(Duration::ZERO, |e| e.prompt_time(metadata.prompt_tokens));
    match waited + read < route.objective {
        true => DeadlineClass::OnTime,
        false => DeadlineClass::Late,
    }
}

/// The configuration in force. A process that has just started waits for it a moment: it usually has it
/// within 30 ms, and callers come back at once to one that was down.
async fn configuration(cx: &Cx) -> Result<Arc<Catalog>, Refusal> {
    let mut catalog = cx.catalog.clone();
    let known = catalog.wait_for(Option::is_some);
    let known = tokio::time::timeout(cx.cfg.start_wait, known).await;
    let known = known.ok().and_then(Result::ok);
    let known = known.and_then(|catalog| catalog.clone());
    known.ok_or(Refusal::NotReady(NOT_READY_RETRY))
}

/// The workspace that holds the caller's key.
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

async fn read(
    catalog: &Catalog,
    head: &request::Parts,
    body: hyper::body::Incoming,
    within: Duration,
) -> Result<Bytes, Refusal> {
    if hyper::body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let limit = catalog.limits.body_bytes;
    read_body(body, limit, within).await.map_err(|e| {
        debug!(target: PART, "{PART}: event=body_failed path={} why=\"{e}\"", head.uri.path());
        match e {
            BodyError::TooLarge(limit) => Refusal::TooLarge(limit),
            BodyError::Slow(_) => Refusal::SlowBody,
            BodyError::Broken(_) | BodyError::Cut(_) => Refusal::BrokenBody,
        }
    })
}

/// What has come of a request so far.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Upstreams it was sent to, or that could not be reached.
    pub upstreams: Vec<Arc<Upstream>>,
    /// How many it was sent to.
    pub sent: u32,
    unreachable: u32,
    /// Why it may have run although no answer can be had.
    lost: Option<ResponseLoss>,
    /// A failure that an upstream answered with.
    failure: Option<Response>,
}

impl Tries {
    /// The final answer where no upstream is left: one that is true after what was sent.
    fn give_up(self, refusal: Refusal, record: Record) -> Response {
        match (self.failure, self.lost) {
            (Some(res), _) => answered(res, record),
            (None, Some(loss)) => refused(&Refusal::Lost(loss.to_string()), record),
            (None, None) => refused(&refusal, record),
        }
    }
}

/// Sends a request until an upstream answers or it must be given up.
async fn dispatch(
    cx: &Arc<Cx>,
    job: RoutedRequest,
    service: Arc<Service>,
    mut record: Record,
) -> Response {
    cx.retry_budget.deposit(&job.service, clock::now());
    let job = Arc::new(job);
    let mut tries = Tries::default();
    loop {
        let care = match wait_until_permitted(cx, &job).await {
            Ok(care) => care,
            Err(refusal) => return tries.give_up(refusal, record),
        };
        let until = match tries.upstreams.is_empty() {
            true => wait_until(&job),
            false => (clock::now() + AGAIN_WAIT).min(job.deadline),
        };
        let asked = clock::now();
        let chosen = slot(cx, &job, &service, &tries.upstreams, care, until).await;
        job.spans.add(Span::Line, asked);
        let mut slot = match chosen {
            Ok(slot) => slot,
            Err(refusal) => return tries.give_up(refusal, record),
        };
        if let Some(refusal) = may_not_send(cx, &job, &tries) {
            return tries.give_up(refusal, record);
        }
        // What is known of it may have changed while it waited.
        slot.trial = match cx.suspects.begin_trial(&job, slot.upstream().addr).await {
            Ok(trial) => trial,
            Err(refusal) => return tries.give_up(refusal, record),
        };
        tries.upstreams.push(slot.upstream().clone());
        let instance = slot.upstream().instance.clone();
        let sent = send(cx, &job, &slot, None).await;
        if !matches!(sent, Sent::Lost(_)) {
            record.tried(&instance, sent.name());
        }
        match sent {
            Sent::Unreached(why) => {
                debug!(target: PART, "{PART}: event=unreachable id={} upstream={instance} why=\"{why}\"", job.metadata.attempt_id);
                tries.unreachable += 1;
                continue;
            }
            Sent::NotRun(why) => {
                debug!(target: PART, "{PART}: event=not_run id={} upstream={instance} why=\"{why}\"", job.metadata.attempt_id);
                tries.sent += 1;
            }
            Sent::Lost(loss) => {
                tries.sent += 1;
                let fate = loss::note(cx, &job, slot.upstream(), &loss).await;
                record.tried(&instance, fate.name());
                tries.lost = Some(loss);
            }
            Sent::Answer(answer) if streams(&job, &answer) => {
                tries.sent += 1;
                let stream = Stream::new(cx, &job, &service, *answer, slot);
                match relay::begin(stream, tries.upstreams.clone(), tries.sent).await {
                    Ok(begun) => return begun.respond(record),
                    Err((loss, fate)) => {
                        record.tried(&instance, fate.name());
                        tries.lost = Some(loss);
                    }
                }
            }
            Sent::Answer(answer) => {
                tries.sent += 1;
                match whole(cx, &job, &slot, *answer).await {
                    Ok(res) if res.status().is_server_error() => tries.failure = Some(res),
                    Ok(res) => return answered(res, record),
                    Err(loss) => {
                        let fate = loss::note(cx, &job, slot.upstream(), &loss).await;
                        record.tried(&instance, fate.name());
                        tries.lost = Some(loss);
                    }
                }
            }
        }
        if (tries.lost.is_some() || tries.failure.is_some()) && !job.is_retryable() {
            return tries.give_up(Refusal::TimedOut, record);
        }
    }
}

fn refused(refusal: &Refusal, mut record: Record) -> Response {
    record.ending = Ending::Refused(refusal.status(), refusal.name());
    refusal.answer()
}

fn answered(res: Response, mut record: Record) -> Response {
    record.ending = Ending::Answered(res.status().as_u16());
    res
}

/// Why a request may not be sent now: time, attempts or the budget are used up.
fn may_not_send(cx: &Cx, job: &RoutedRequest, tries: &Tries) -> Option<Refusal> {
    let attempts = tries.sent >= job.route.max_attempts || tries.unreachable >= MOST_UNREACHABLE;
    if job.remaining().is_zero() {
        return Some(Refusal::NoTime(NOT_TAKEN_RETRY));
    }
    let pays = || {
        cx.retry_budget
            .withdraw(&job.service, cx.gateways(), clock::now())
    };
    (attempts || (tries.sent > 0 && !pays())).then_some(Refusal::NotTaken(NOT_TAKEN_RETRY))
}

fn streams(job: &RoutedRequest, answer: &Answer) -> bool {
    job.route.kind.is_stream() && answer.head.status.is_success()
}

/// Reads an answer to its end, so that one that breaks off is never passed on as whole.
async fn whole(
    cx: &Cx,
    job: &RoutedRequest,
    slot: &Slot,
    answer: Answer,
) -> Result<Response, ResponseLoss> {
    let Answer {
        head,
        body,
        connection,
    } = answer;
    let buf = read_whole(body, job.remaining()).await;
    drop(connection);
    let buf = buf?;
    let status = head.status.as_u16();
    // A status that promises what the upstream did not say isn't passed on; where it did say so,
    // this was no answer but a refusal.
    if matches!(status, 408 | 429 | 503) && !job.is_retryable() {
        return Err(ResponseLoss::Unclear(status));
    }
    if !head.status.is_server_error() {
        record_health(slot.upstream(), Health::Answered);
        cx.suspects.record_completion(job);
    }
    let mut res = Response::new(full(buf));
    *res.status_mut() = head.status;
    *res.headers_mut() = (cx.codec.response_headers)(&head.headers);
    Ok(res)
}

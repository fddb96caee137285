//! A single attempt of a request at an upstream, and settlement of attempts without a response.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use base::{Settled, header};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, StatusCode};
use table::Row;
use web::{BodyError, SendError, read_body};

use crate::Entry;
use crate::claim::ClaimRecord;
use crate::membership::upstream::Upstream;
use crate::request::CallerRequest;
use crate::response::{UpstreamBody, UpstreamResponse};
use crate::route::running::RunningRequest;

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The upstream responded.
    Answered(Box<UpstreamResponse>),
    /// The agent refused the request: it has not run there and won't.
    Refused(String),
    /// No byte of the request was sent.
    NotSent(String),
    /// No valid response was received; the request may have run.
    ResponseLost(String),
    /// The deadline passed without a complete response; the request may have run.
    TimedOut,
}

/// Bytes that the response to a settle request may exceed the largest buffered response by.
const SETTLE_EXTRA_BYTES: usize = 64 << 10;

/// Sends a request to the upstream of `running` and waits for the head of the response, and for the
/// complete body if it is buffered, until the deadline. Sets `has_head` once the head has arrived.
pub async fn attempt(
    entry: &Arc<Entry>,
    request: &CallerRequest,
    row: &Row,
    running: RunningRequest,
    send_once: bool,
    has_head: &AtomicBool,
) -> AttemptOutcome {
    let upstream = running.upstream().clone();
    let remaining = request.remaining();
    if remaining.is_zero() {
        return AttemptOutcome::NotSent("the deadline passed".into());
    }
    let req = build_request(entry, request, row, send_once);
    let res = match entry.client.send(upstream.listen(), req, remaining).await {
        Ok(res) => {
            has_head.store(true, Relaxed);
            res
        }
        Err(e) => {
            upstream.record_failure(entry.cfg.eject_failures, entry.cfg.eject_time);
            return match e {
                SendError::NotSent(..) => AttemptOutcome::NotSent(e.to_string()),
                SendError::TimedOut(..) if request.remaining().is_zero() => {
                    AttemptOutcome::TimedOut
                }
                _ => AttemptOutcome::ResponseLost(e.to_string()),
            };
        }
    };
    let headers = res.headers();
    upstream.record_response(web::header(headers, header::LOAD).and_then(|s| s.parse().ok()));
    if let Some(reason) = web::header(headers, header::REFUSED) {
        let reason = reason.to_owned();
        apply_refusal(&upstream, row, &reason);
        return AttemptOutcome::Refused(reason);
    }
    match is_own_response(headers, request, row) {
        true => read_response(entry, request, running, res).await,
        false => {
            AttemptOutcome::ResponseLost(format!("{} answered another request", upstream.vm()))
        }
    }
}

/// Sends a request that must be sent at most once and waits for its response.
///
/// While the upstream is silent nobody else may run the request, so it is waited for until the caller's deadline. Each
/// `attempt_timeout` its agent is asked what became of the request: it may not have started, and then never does, or its
/// response may have been lost.
pub async fn attempt_once(
    entry: &Arc<Entry>,
    request: &CallerRequest,
    row: &Row,
    running: RunningRequest,
    record: &ClaimRecord,
) -> AttemptOutcome {
    let upstream = running.upstream().clone();
    let has_head = AtomicBool::new(false);
    let sent = attempt(entry, request, row, running, true, &has_head);
    tokio::pin!(sent);
    loop {
        let settled = async {
            tokio::time::sleep(entry.cfg.attempt_timeout).await;
            if has_head.load(Relaxed) {
                std::future::pending::<()>().await;
            }
            upstream.record_failure(entry.cfg.eject_failures, entry.cfg.eject_time);
            settle(entry, request, record).await
        };
        let settlement = tokio::select! {
            outcome = &mut sent => return outcome,
            settlement = settled => settlement,
        };
        match settlement {
            Settlement::Sealed => return AttemptOutcome::Refused("sealed".into()),
            Settlement::Done(response) => return AttemptOutcome::Answered(response),
            Settlement::Running | Settlement::Unknown => {}
        }
    }
}

fn build_request(
    entry: &Entry,
    request: &CallerRequest,
    row: &Row,
    send_once: bool,
) -> hyper::Request<web::Body> {
    let mut req = hyper::Request::new(web::full(request.body.clone()));
    *req.method_mut() = request.method.clone();
    // The path was taken from a valid URI.
    *req.uri_mut() = request.path.parse().unwrap_or_default();
    let headers = req.headers_mut();
    *headers = request.headers.clone();
    let revision = entry.active_table.revision().to_string();
    let deadline = request.remaining().as_millis().to_string();
    web::set_header(headers, header::REQUEST, &request.id);
    web::set_header(headers, header::MODEL, &request.model);
    web::set_header(headers, header::VERSION, &row.version.to_string());
    web::set_header(headers, header::REVISION, &revision);
    web::set_header(headers, header::DEADLINE, &deadline);
    web::set_header(
        headers,
        header::PRIORITY,
        &priority(request, row).to_string(),
    );
    web::set_header(headers, header::DOMAIN, &entry.cfg.process.domain);
    web::set_header(headers, header::WORKSPACE, &request.workspace);
    if send_once {
        web::set_header(headers, header::UNSAFE, "true");
    }
    req
}

/// Returns the priority of the row, or the caller's if that is lower.
pub fn priority(request: &CallerRequest, row: &Row) -> u8 {
    request
        .priority
        .map_or(row.priority, |p| p.min(row.priority))
}

fn apply_refusal(upstream: &Upstream, row: &Row, reason: &str) {
    match reason {
        "leaving" => upstream.mark_draining(),
        "version" => upstream.mark_not_live(&row.model, &row.version),
        _ => {}
    }
}

/// Returns whether a response belongs to this request and to the version it is pinned to.
fn is_own_response(headers: &HeaderMap, request: &CallerRequest, row: &Row) -> bool {
    web::header(headers, header::REQUEST) == Some(request.id.as_str())
        && web::header(headers, header::VERSION) == Some(row.version.to_string().as_str())
}

async fn read_response(
    entry: &Entry,
    request: &CallerRequest,
    running: RunningRequest,
    res: hyper::Response<Incoming>,
) -> AttemptOutcome {
    let (head, body) = res.into_parts();
    let is_event_stream = web::header(&head.headers, "content-type")
        .is_some_and(|t| t.starts_with("text/event-stream"));
    let is_large = content_length(&head.headers).is_some_and(|n| n > entry.cfg.max_answer);
    let body = match is_event_stream || is_large {
        true => UpstreamBody::Streaming {
            body,
            is_event_stream,
            running,
        },
        false => match read_complete_body(entry, request, body).await {
            Ok(buf) => UpstreamBody::Complete(buf),
            Err(outcome) => return outcome,
        },
    };
    AttemptOutcome::Answered(Box::new(UpstreamResponse {
        status: head.status,
        headers: head.headers,
        body,
        replayed: false,
    }))
}

async fn read_complete_body(
    entry: &Entry,
    request: &CallerRequest,
    body: Incoming,
) -> Result<Bytes, AttemptOutcome> {
    let limit = entry.cfg.max_answer as usize;
    read_body(body, limit, request.remaining())
        .await
        .map_err(|e| match e {
            BodyError::TimedOut(_) => AttemptOutcome::TimedOut,
            e => AttemptOutcome::ResponseLost(e.to_string()),
        })
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    web::header(headers, "content-length").and_then(|s| s.parse().ok())
}

/// Outcome of a request according to the agent it was sent to.
#[derive(Debug)]
pub enum Settlement {
    /// The request has not started and never will.
    Sealed,
    /// The request is running.
    Running,
    /// The request ran, with this response.
    Done(Box<UpstreamResponse>),
    /// The outcome can't be determined.
    Unknown,
}

/// Minimum time that an agent has to answer a settle request, for a request whose deadline has passed.
const MIN_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Asks an agent for the outcome of a request, and prevents the request from starting if it hasn't.
///
/// Nobody else knows the outcome, so an agent that is silent is waited for until the caller's deadline. One that is gone
/// refuses the connection or doesn't accept it.
pub async fn settle(entry: &Entry, request: &CallerRequest, record: &ClaimRecord) -> Settlement {
    let until = request.deadline.max(clock::now() + MIN_SETTLE_TIME);
    let mut req = hyper::Request::new(web::empty());
    *req.method_mut() = Method::POST;
    web::set_header(req.headers_mut(), header::SETTLE, &record.request);
    let incarnation = record.incarnation.to_string();
    web::set_header(req.headers_mut(), header::INCARNATION, &incarnation);
    let Ok(res) = entry
        .client
        .send(record.listen, req, clock::until(until))
        .await
    else {
        return Settlement::Unknown;
    };
    let (mut head, body) = res.into_parts();
    let same_incarnation =
        web::header(&head.headers, header::INCARNATION) == Some(incarnation.as_str());
    let settled = web::header(&head.headers, header::SETTLED).and_then(Settled::parse);
    match settled {
        Some(Settled::Sealed) if same_incarnation => Settlement::Sealed,
        Some(Settled::Running) if same_incarnation => Settlement::Running,
        Some(Settled::Done) if same_incarnation => {
            let limit = entry.cfg.max_answer as usize + SETTLE_EXTRA_BYTES;
            match read_body(body, limit, clock::until(until)).await {
                Ok(buf) => {
                    head.headers.remove(header::SETTLED);
                    Settlement::Done(Box::new(UpstreamResponse {
                        status: StatusCode::from_u16(head.status.as_u16()).unwrap_or_default(),
                        headers: head.headers,
                        body: UpstreamBody::Complete(buf),
                        replayed: true,
                    }))
                }
                Err(_) => Settlement::Unknown,
            }
        }
        _ => Settlement::Unknown,
    }
}

//! One attempt of a request at one upstream.

use std::sync::Arc;

use base::{Settled, header};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, StatusCode};
use table::Row;
use web::{BodyError, SendError, read_body};

use crate::Entry;
use crate::answer::{Answer, AnswerBody};
use crate::call::Call;
use crate::claim::ClaimRecord;
use crate::membership::upstream::Upstream;
use crate::refusal::SOON;
use crate::route::running::Running;

/// How an attempt ended.
#[derive(Debug)]
pub enum Attempt {
    /// With an answer.
    Answered(Box<Answer>),
    /// With a definite refusal: it has not run there and will not.
    Refused(String),
    /// Before a byte was sent.
    NotSent(String),
    /// It may have run.
    Lost(String),
    /// It may have run, and its caller's time is up.
    Late,
}

/// Largest answer to a request to settle, in bytes, beyond the largest answer that is held whole.
const SETTLE_EXTRA: usize = 64 << 10;

/// Sends a call to the upstream of `running` and waits for its answer's head, and for all of an
/// answer that is held until whole.
pub async fn attempt(
    entry: &Arc<Entry>,
    call: &Call,
    row: &Row,
    running: Running,
    once: bool,
) -> Attempt {
    let upstream = running.upstream().clone();
    let remaining = call.remaining();
    if remaining.is_zero() {
        return Attempt::NotSent("the deadline passed".into());
    }
    let req = request(entry, call, row, once);
    let within = entry.cfg.attempt_timeout.min(remaining);
    let res = match entry.client.send(upstream.listen(), req, within).await {
        Ok(res) => res,
        Err(e) => {
            upstream.failed(entry.cfg.eject_failures, entry.cfg.eject_time);
            return match e {
                SendError::NotSent(..) => Attempt::NotSent(e.to_string()),
                SendError::TimedOut(..) if call.remaining().is_zero() => Attempt::Late,
                _ => Attempt::Lost(e.to_string()),
            };
        }
    };
    let headers = res.headers();
    upstream.answered(web::header(headers, header::LOAD).and_then(|s| s.parse().ok()));
    if let Some(reason) = web::header(headers, header::REFUSED) {
        let reason = reason.to_owned();
        note_refusal(&upstream, row, &reason);
        return Attempt::Refused(reason);
    }
    match own(headers, call, row) {
        true => collect(entry, call, running, res).await,
        false => Attempt::Lost(format!("{} answered another request", upstream.vm())),
    }
}

fn request(entry: &Entry, call: &Call, row: &Row, once: bool) -> hyper::Request<web::Body> {
    let mut req = hyper::Request::new(web::full(call.body.clone()));
    *req.method_mut() = call.method.clone();
    // The path came out of a valid URI.
    *req.uri_mut() = call.path.parse().unwrap_or_default();
    let headers = req.headers_mut();
    *headers = call.headers.clone();
    let revision = entry.force.revision().to_string();
    let deadline = call.remaining().as_millis().to_string();
    web::set_header(headers, header::REQUEST, &call.id);
    web::set_header(headers, header::MODEL, &call.model);
    web::set_header(headers, header::VERSION, &row.version.to_string());
    web::set_header(headers, header::REVISION, &revision);
    web::set_header(headers, header::DEADLINE, &deadline);
    web::set_header(headers, header::PRIORITY, &priority(call, row).to_string());
    web::set_header(headers, header::DOMAIN, &entry.cfg.upkeep.domain);
    web::set_header(headers, header::WORKSPACE, &call.workspace);
    if once {
        web::set_header(headers, header::UNSAFE, "true");
    }
    req
}

/// The row's priority, which a caller may lower.
pub fn priority(call: &Call, row: &Row) -> u8 {
    call.priority.map_or(row.priority, |p| p.min(row.priority))
}

fn note_refusal(upstream: &Upstream, row: &Row, reason: &str) {
    match reason {
        "leaving" => upstream.mark_leaving(),
        "version" => upstream.mark_not_live(&row.model, &row.version),
        _ => {}
    }
}

/// Whether an answer is that of this request, by the version it was pinned to.
fn own(headers: &HeaderMap, call: &Call, row: &Row) -> bool {
    web::header(headers, header::REQUEST) == Some(call.id.as_str())
        && web::header(headers, header::VERSION) == Some(row.version.to_string().as_str())
}

async fn collect(
    entry: &Entry,
    call: &Call,
    running: Running,
    res: hyper::Response<Incoming>,
) -> Attempt {
    let (head, body) = res.into_parts();
    let is_events = web::header(&head.headers, "content-type")
        .is_some_and(|t| t.starts_with("text/event-stream"));
    let large = content_length(&head.headers).is_some_and(|n| n > entry.cfg.max_answer);
    let body = match is_events || large {
        true => AnswerBody::Passing {
            body,
            events: is_events,
            running,
        },
        false => match whole(entry, call, body).await {
            Ok(buf) => AnswerBody::Whole(buf),
            Err(attempt) => return attempt,
        },
    };
    Attempt::Answered(Box::new(Answer {
        status: head.status,
        headers: head.headers,
        body,
        replayed: false,
    }))
}

async fn whole(entry: &Entry, call: &Call, body: Incoming) -> Result<Bytes, Attempt> {
    let limit = entry.cfg.max_answer as usize;
    read_body(body, limit, call.remaining())
        .await
        .map_err(|e| match e {
            BodyError::TimedOut(_) => Attempt::Late,
            e => Attempt::Lost(e.to_string()),
        })
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    web::header(headers, "content-length").and_then(|s| s.parse().ok())
}

/// What an agent says of a request it was sent.
#[derive(Debug)]
pub enum Settlement {
    /// It has not started there and never will.
    Sealed,
    /// It runs.
    Running,
    /// It ran, with this answer.
    Done(Box<Answer>),
    /// Nobody can say.
    Unknown,
}

/// Asks an agent what became of a request, and bars the request from starting if it has not.
pub async fn settle(entry: &Entry, record: &ClaimRecord) -> Settlement {
    let mut req = hyper::Request::new(web::empty());
    *req.method_mut() = Method::POST;
    web::set_header(req.headers_mut(), header::SETTLE, &record.request);
    let incarnation = record.incarnation.to_string();
    web::set_header(req.headers_mut(), header::INCARNATION, &incarnation);
    let Ok(res) = entry.client.send(record.listen, req, SOON).await else {
        return Settlement::Unknown;
    };
    let (mut head, body) = res.into_parts();
    let same = web::header(&head.headers, header::INCARNATION) == Some(incarnation.as_str());
    let settled = web::header(&head.headers, header::SETTLED).and_then(Settled::parse);
    match settled {
        Some(Settled::Sealed) if same => Settlement::Sealed,
        Some(Settled::Running) if same => Settlement::Running,
        Some(Settled::Done) if same => {
            let limit = entry.cfg.max_answer as usize + SETTLE_EXTRA;
            match read_body(body, limit, SOON).await {
                Ok(buf) => {
                    head.headers.remove(header::SETTLED);
                    Settlement::Done(Box::new(Answer {
                        status: StatusCode::from_u16(head.status.as_u16()).unwrap_or_default(),
                        headers: head.headers,
                        body: AnswerBody::Whole(buf),
                        replayed: true,
                    }))
                }
                Err(_) => Settlement::Unknown,
            }
        }
        _ => Settlement::Unknown,
    }
}

//! Sends a request to one upstream, and sorts what came back by what may be said of it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response;
use log::info;

use crate::Cx;
use crate::connection::Connection;
use crate::loss::ResponseLoss;
use crate::request::{ForwardMetadata, ResponseMetadata, RoutedRequest};
use crate::spans::Span;
use crate::upstream::{Health, Slot, Upstream};

/// Log prefix of this part.
const PART: &str = "send";

/// Status of an upstream that has another identity than the request asks for.
const MISDIRECTED: u16 = 421;

/// An answer whose head has come.
#[derive(Debug)]
pub struct Answer {
    /// Head.
    pub head: response::Parts,
    /// Body, as it comes.
    pub body: Incoming,
    /// Connection it comes on; closing it ends the work.
    pub connection: Connection,
}

/// What sending came to.
#[derive(Debug)]
pub enum Sent {
    /// The upstream answers the request.
    Answer(Box<Answer>),
    /// No byte was sent.
    Unreached(String),
    /// The upstream refused for certain; it has not run there.
    NotRun(String),
    /// It may have run; no answer can be had. To be noted by [`crate::loss::note`].
    Lost(ResponseLoss),
}

impl Sent {
    /// Short name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Sent::Answer(_) => "answer",
            Sent::Unreached(_) => "unreached",
            Sent::NotRun(_) => "not_run",
            Sent::Lost(_) => "lost",
        }
    }
}

/// Sends to the slot's upstream and waits for the head.
pub async fn send(cx: &Cx, job: &RoutedRequest, slot: &Slot, last_event_id: Option<&str>) -> Sent {
    let upstream = slot.upstream();
    let connect = cx.cfg.connect_timeout.min(response_timeout(cx, job, slot));
    let begun = clock::now();
    let opened = Connection::open(upstream.addr, connect).await;
    job.spans.add(Span::Connect, begun);
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(e) => {
            record_health(upstream, Health::Unreachable);
            return Sent::Unreached(e.to_string());
        }
    };
    // While it connected its time may have ended, or that of the version, if only since the VM was suspended.
    let within = response_timeout(cx, job, slot);
    if within.is_zero() {
        return Sent::Unreached("the time to begin it is over".to_owned());
    }
    if cx.drains.contains(&upstream.domain) {
        return Sent::Unreached("its failure domain was drained meanwhile".to_owned());
    }
    if let Some(why) = declines(cx, upstream) {
        return Sent::Unreached(why.to_owned());
    }
    let req = request(cx, job, slot, last_event_id);
    let begun = clock::now();
    let sent = tokio::time::timeout(within, connection.send(req)).await;
    job.spans.add(Span::Head, begun);
    match sent {
        Ok(Ok(res)) => sort(cx, job, upstream, res, connection, begun),
        Ok(Err(e)) => Sent::Lost(ResponseLoss::BrokeOff(e.to_string())),
        Err(_) => Sent::Lost(ResponseLoss::Silent),
    }
}

/// Why an upstream accepts no request any more since it was chosen.
fn declines(cx: &Cx, upstream: &Upstream) -> Option<&'static str> {
    let feedback = cx.feedback.current();
    let until = feedback.back_off_until(upstream.incarnation);
    match until.is_some_and(|until| until > clock::now()) {
        _ if feedback.is_draining(upstream.incarnation) => Some("it is draining meanwhile"),
        true => Some("it has asked for a back-off meanwhile"),
        false => None,
    }
}

/// How long an answer is waited for: a request that may be sent again isn't left with a silent
/// upstream, nor queued at one whose version is about to be too old to begin it.
pub fn response_timeout(cx: &Cx, job: &RoutedRequest, slot: &Slot) -> Duration {
    let patience = job.response_timeout(cx.cfg.stall_time);
    let begin_by = match (&job.metadata.model, slot.version) {
        (Some(model), Some(version)) if job.is_retryable() => {
            cx.releases.may_begin_until(model, version)
        }
        _ => None,
    };
    let left = begin_by.map(|at| at.saturating_duration_since(clock::now()));
    left.map_or(patience, |left| left.min(patience))
}

fn request(
    cx: &Cx,
    job: &RoutedRequest,
    slot: &Slot,
    last_event_id: Option<&str>,
) -> hyper::Request<Full<Bytes>> {
    let forward = ForwardMetadata {
        remaining: job.remaining(),
        instance: &slot.upstream().instance,
        version: slot.version,
        workspace: job.workspace.as_ref().map(|t| t.workspace.as_str()),
        priority: job.priority(),
        last_event_id,
    };
    let mut req = hyper::Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.head.method.clone();
    *req.uri_mut() = job.head.uri.clone();
    *req.headers_mut() = (cx.codec.request_headers)(&job.head.headers, &forward);
    req
}

fn sort(
    cx: &Cx,
    job: &RoutedRequest,
    upstream: &Arc<Upstream>,
    res: hyper::Response<Incoming>,
    connection: Connection,
    sent: Instant,
) -> Sent {
    let (head, body) = res.into_parts();
    let reply = (cx.codec.parse_response)(&head);
    let status = head.status.as_u16();
    if is_own(&reply, upstream, job) {
        cx.feedback.observe(upstream, &reply, sent, clock::now());
    }
    if let Some(cold_for) = reply.cold_for {
        upstream.observe_cold(cold_for);
    }
    let replaced = |id: &String| *id != upstream.instance;
    if status == MISDIRECTED && reply.instance.as_ref().is_some_and(replaced) {
        record_health(upstream, Health::Replaced);
    }
    if reply.not_run && head.status == StatusCode::SERVICE_UNAVAILABLE {
        record_health(upstream, Health::Refused);
    }
    if reply.not_run || status == MISDIRECTED {
        return Sent::NotRun(format!("status {status}"));
    }
    if reply
        .attempt_id
        .as_ref()
        .is_some_and(|id| *id != job.metadata.attempt_id)
    {
        return Sent::Lost(ResponseLoss::Foreign);
    }
    if head.status.is_success() && !reply.is_signed {
        return Sent::Lost(ResponseLoss::Unsigned);
    }
    if head.status.is_server_error() {
        record_health(upstream, Health::Failed);
    }
    Sent::Answer(Box::new(Answer {
        head,
        body,
        connection,
    }))
}

/// Returns whether an answer is this incarnation's own to this request: another one may have its address, and a
/// surplus answer may come first.
fn is_own(reply: &ResponseMetadata, upstream: &Upstream, job: &RoutedRequest) -> bool {
    let id = reply.attempt_id.as_ref();
    let instance = reply.instance.as_ref();
    id == Some(&job.metadata.attempt_id) && instance.is_none_or(|i| *i == upstream.instance)
}

/// Notes how sending to an upstream went, with a log line where that leaves it alone.
pub fn record_health(upstream: &Arc<Upstream>, health: Health) {
    if upstream.record_health(health) {
        info!(target: PART, "{PART}: event=paused upstream={} addr={} why={health:?}", upstream.instance, upstream.addr);
    }
}

/// Reads a body to its end.
pub async fn read_whole(body: Incoming, within: Duration) -> Result<Bytes, ResponseLoss> {
    match tokio::time::timeout(within, body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) => Err(ResponseLoss::BrokeOff(e.to_string())),
        Err(_) => Err(ResponseLoss::Silent),
    }
}

//! Sends a request to one upstream and classifies the response by what it proves.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;
use log::info;
use web::{BodyError, read_with_memory};

use crate::Cx;
use crate::activity::Activity;
use crate::connection::Connection;
use crate::loss::ResponseLoss;
use crate::memory::BodyShare;
use crate::request::{ForwardMetadata, ResponseMetadata, RoutedRequest};
use crate::spans::Span;
use crate::upstream::{Health, Slot, Upstream};

/// Log prefix of this part.
const PART: &str = "send";

/// Status of an upstream that isn't the instance that the request expects.
const MISDIRECTED: u16 = 421;

/// Response of an upstream, of which the head has arrived.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Head.
    pub head: response::Parts,
    /// Body, as it arrives.
    pub body: Incoming,
    /// Connection of the response; closing it cancels the upstream's work.
    pub connection: Connection,
}

/// Outcome of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The upstream responds to the request.
    Response(Box<UpstreamResponse>),
    /// No byte of the request was sent.
    Unreached(String),
    /// The upstream rejected the request; it has certainly not run there.
    NotRun(String),
    /// The request may have run, without a response. To be recorded by [`crate::loss::record`].
    Lost(ResponseLoss),
}

/// Sends a request to the slot's upstream and waits for the response head, for as long as the caller of this does.
pub(crate) async fn send(
    cx: &Cx,
    req: &RoutedRequest,
    slot: &Slot,
    last_event_id: Option<&str>,
    activity: &Arc<Activity>,
) -> SendOutcome {
    let upstream = slot.upstream();
    let connect_timeout = cx.cfg.connect_timeout.min(req.remaining());
    let started = clock::now();
    let connected = Connection::open(upstream.addr, connect_timeout, activity.clone()).await;
    req.spans.add(Span::Connect, started);
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(e) => {
            record_health(upstream, Health::Unreachable);
            return SendOutcome::Unreached(e.to_string());
        }
    };
    // The deadline or the time of the weights version may have passed while connecting, if only because the VM was
    // suspended.
    let now = clock::now();
    if req.remaining().is_zero() || begin_by(cx, req, slot).is_some_and(|at| at <= now) {
        return SendOutcome::Unreached("the time to begin it is over".to_owned());
    }
    if cx.drains.contains(&upstream.domain) {
        return SendOutcome::Unreached("its failure domain was drained meanwhile".to_owned());
    }
    if let Some(why) = unavailable_reason(cx, upstream) {
        return SendOutcome::Unreached(why.to_owned());
    }
    let upstream_req = build_request(cx, req, slot, last_event_id);
    let started = clock::now();
    let sent = connection.send(upstream_req).await;
    req.spans.add(Span::Head, started);
    match sent {
        Ok(res) => classify(cx, req, upstream, res, connection, started),
        Err(loss) => SendOutcome::Lost(loss),
    }
}

/// Returns why an upstream that was chosen no longer accepts requests.
fn unavailable_reason(cx: &Cx, upstream: &Upstream) -> Option<&'static str> {
    let feedback = cx.feedback.current();
    let until = feedback.back_off_until(upstream.incarnation);
    match until.is_some_and(|until| until > clock::now()) {
        _ if feedback.is_draining(upstream.incarnation) => Some("it is draining meanwhile"),
        true => Some("it has asked for a back-off meanwhile"),
        false => None,
    }
}

/// Returns the time from which the version of the weights at the slot is too old to begin a retryable request; `None` if
/// it isn't replaced.
pub(crate) fn begin_by(cx: &Cx, req: &RoutedRequest, slot: &Slot) -> Option<Instant> {
    match (&req.metadata.model, slot.version) {
        (Some(model), Some(version)) if req.is_retryable() => {
            cx.releases.may_begin_until(model, version)
        }
        _ => None,
    }
}

fn build_request(
    cx: &Cx,
    req: &RoutedRequest,
    slot: &Slot,
    last_event_id: Option<&str>,
) -> hyper::Request<Full<Bytes>> {
    let forward = ForwardMetadata {
        remaining: req.remaining(),
        instance: &slot.upstream().instance,
        version: slot.version,
        workspace: req.workspace.as_ref().map(|w| w.workspace.as_str()),
        priority: req.priority(),
        last_event_id,
    };
    let mut upstream_req = hyper::Request::new(Full::new(req.body.clone()));
    *upstream_req.method_mut() = req.head.method.clone();
    *upstream_req.uri_mut() = req.head.uri.clone();
    *upstream_req.headers_mut() = (cx.codec.request_headers)(&req.head.headers, &forward);
    upstream_req
}

fn classify(
    cx: &Cx,
    req: &RoutedRequest,
    upstream: &Arc<Upstream>,
    res: hyper::Response<Incoming>,
    connection: Connection,
    sent_at: Instant,
) -> SendOutcome {
    let (head, body) = res.into_parts();
    let metadata = (cx.codec.parse_response)(&head);
    let status = head.status.as_u16();
    if is_own_response(&metadata, upstream, req) {
        cx.feedback
            .observe(upstream, &metadata, sent_at, clock::now());
    }
    if let Some(cold_for) = metadata.cold_for {
        upstream.observe_cold(cold_for);
    }
    let replaced = |id: &String| *id != upstream.instance;
    if status == MISDIRECTED && metadata.instance.as_ref().is_some_and(replaced) {
        record_health(upstream, Health::Replaced);
    }
    if metadata.not_run && head.status == StatusCode::SERVICE_UNAVAILABLE {
        record_health(upstream, Health::Refused);
    }
    if metadata.not_run || status == MISDIRECTED {
        return SendOutcome::NotRun(format!("status {status}"));
    }
    if metadata
        .attempt_id
        .as_ref()
        .is_some_and(|id| *id != req.metadata.attempt_id)
    {
        return SendOutcome::Lost(ResponseLoss::WrongAttempt);
    }
    if head.status.is_success() && !metadata.is_signed {
        return SendOutcome::Lost(ResponseLoss::Unsigned);
    }
    if head.status.is_server_error() {
        record_health(upstream, Health::Failed);
    }
    SendOutcome::Response(Box::new(UpstreamResponse {
        head,
        body,
        connection,
    }))
}

/// Returns whether a response is of the expected instance and to this attempt: another instance may have the address,
/// and a surplus response may arrive first.
fn is_own_response(metadata: &ResponseMetadata, upstream: &Upstream, req: &RoutedRequest) -> bool {
    let id = metadata.attempt_id.as_ref();
    let instance = metadata.instance.as_ref();
    id == Some(&req.metadata.attempt_id) && instance.is_none_or(|i| *i == upstream.instance)
}

/// Records the result of a request to an upstream, and logs if the upstream is ejected.
pub fn record_health(upstream: &Arc<Upstream>, health: Health) {
    if upstream.record_health(health) {
        info!(target: PART, "{PART}: event=paused upstream={} addr={} why={health:?}", upstream.instance, upstream.addr);
    }
}

/// Returns whether the end of the connection is the end of the body: there is one, and nothing else tells its end.
pub(crate) fn ends_with_connection(head: &response::Parts, body: &Incoming) -> bool {
    let has = |framing| head.headers.contains_key(framing);
    !body.is_end_stream() && !has(CONTENT_LENGTH) && !has(TRANSFER_ENCODING)
}

/// Reads a body to its end, which may never come: one that exceeds its share of the memory is lost.
pub async fn read_to_end(body: Incoming, mut share: BodyShare) -> Result<Bytes, ResponseLoss> {
    let buf = read_with_memory(body, usize::MAX, |bytes| share.resize(bytes)).await;
    match buf {
        Ok(buf) => Ok(share.hold(buf)),
        Err(BodyError::NoMemory(bytes)) => Err(ResponseLoss::TooLarge("body", bytes)),
        Err(e) => Err(ResponseLoss::Disconnected(e.to_string())),
    }
}

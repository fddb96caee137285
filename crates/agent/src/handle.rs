//! Sends the requests of entries to the upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{Outcome, Settled, header};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, StatusCode};
use log::{info, warn};
use table::Version;
use tokio::sync::{mpsc, oneshot};
use web::{Body, BodyError, Request, Response, read_body};

use crate::Agent;
use crate::gate::{Permit, Refusal};
use crate::ledger::RecordedResponse;
use crate::metadata::RequestMetadata;
use crate::pace::Pacer;

/// Log prefix of this part.
const PART: &str = "handle";

/// Maximum number of frames of a recorded response that are buffered for a slow entry.
const MAX_BUFFERED_FRAMES: usize = 16;

/// Headers of an entry's request that are forwarded to the upstream.
const FORWARDED_HEADERS: [&str; 8] = [
    "content-type",
    "accept",
    "if-none-match",
    "if-match",
    "range",
    "authorization",
    header::DEADLINE,
    header::PRIORITY,
];

/// Headers of the upstream's response that are returned to the entry.
const RETURNED_HEADERS: [&str; 7] = [
    "content-type",
    "content-length",
    "content-range",
    "etag",
    "last-modified",
    "cache-control",
    "location",
];

/// Handles an entry's request.
pub async fn handle(agent: Arc<Agent>, req: Request) -> Response {
    if let Some(id) = web::header(req.headers(), header::SETTLE) {
        let (state, recorded) = agent.ledger.settle(id);
        info!(target: PART, "{PART}: request {id} is settled: {state}");
        return settled_response(&agent, state, recorded);
    }
    let meta = match RequestMetadata::read(req.headers()) {
        Ok(meta) => meta,
        Err(e) => {
            let mut res = refusal_response(&agent, Refusal::Malformed);
            *res.status_mut() = StatusCode::BAD_REQUEST;
            *res.body_mut() = web::full(format!("{e}\n"));
            return res;
        }
    };
    let permit = match agent.gate.admit(&meta, &agent.cfg, &agent.active_table) {
        Ok(permit) => permit,
        Err(refusal) => return refusal_response(&agent, refusal),
    };
    let process = &agent.cfg.process;
    let (head, body) = req.into_parts();
    let body = match read_body(body, process.max_body, process.body_timeout).await {
        Ok(body) => body,
        Err(_) => return refusal_response(&agent, Refusal::Malformed),
    };
    agent.download_pacer.record_request(body.len());
    if meta.at_most_once && !agent.ledger.begin(&meta.id) {
        return refusal_response(&agent, Refusal::Sealed);
    }
    let admitted = AdmittedRequest {
        upstream_req: upstream_request(&meta, &head, body),
        deadline: clock::now() + meta.remaining,
        agent,
        meta,
        permit,
    };
    match admitted.meta.at_most_once {
        true => admitted.run_recorded().await,
        false => admitted.run_streamed().await,
    }
}

/// A request that the gate has admitted.
struct AdmittedRequest {
    agent: Arc<Agent>,
    meta: RequestMetadata,
    permit: Permit,
    upstream_req: hyper::Request<Body>,
    deadline: Instant,
}

/// Outcome of a request at the upstream.
enum UpstreamResult {
    Answered(hyper::Response<Incoming>),
    Refused(Refusal),
    Lost(String),
}

impl AdmittedRequest {
    /// Runs a request that may be repeated and streams its response; it is cancelled if the caller disconnects.
    async fn run_streamed(mut self) -> Response {
        match self.send().await {
            UpstreamResult::Answered(res) => {
                let (head, body) = res.into_parts();
                let mut res = hyper::Response::new(streamed_body(
                    body,
                    self.permit,
                    self.deadline,
                    self.agent.upload_pacer.clone(),
                ));
                *res.status_mut() = head.status;
                *res.headers_mut() = filter_headers(&head.headers);
                set_response_headers(&self.agent, &self.meta, res.headers_mut());
                res
            }
            UpstreamResult::Refused(refusal) => refusal_response(&self.agent, refusal),
            UpstreamResult::Lost(why) => lost_response(&self.agent, &self.meta, &why),
        }
    }

    /// Runs a request that must not be repeated: it continues after the caller has disconnected, and its response is
    /// recorded.
    async fn run_recorded(self) -> Response {
        let (agent, meta) = (self.agent.clone(), self.meta.clone());
        let (tx, rx) = oneshot::channel();
        tokio::spawn(self.record(tx));
        match rx.await {
            Ok(res) => res,
            Err(_) => lost_response(&agent, &meta, "the task ended without a response"),
        }
    }

    async fn record(mut self, tx: oneshot::Sender<Response>) {
        let (head, mut body) = match self.send().await {
            UpstreamResult::Answered(res) => res.into_parts(),
            UpstreamResult::Refused(refusal) => {
                self.agent.ledger.seal(&self.meta.id);
                let _ = tx.send(refusal_response(&self.agent, refusal));
                return;
            }
            UpstreamResult::Lost(why) => {
                self.agent.ledger.finish(&self.meta.id, None);
                let _ = tx.send(lost_response(&self.agent, &self.meta, &why));
                return;
            }
        };
        let mut headers = filter_headers(&head.headers);
        set_response_headers(&self.agent, &self.meta, &mut headers);
        let (frames_tx, frames) = mpsc::channel(MAX_BUFFERED_FRAMES);
        let mut res = hyper::Response::new(channel_body(frames));
        *res.status_mut() = head.status;
        *res.headers_mut() = headers.clone();
        let mut has_receiver = tx.send(res).is_ok();
        let mut collected = BytesMut::new();
        loop {
            let frame = clock::timeout_at(self.deadline, body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => {
                    let cut = BodyError::Interrupted("the upstream broke off");
                    let _ = frames_tx.send(Err(cut)).await;
                    self.agent.ledger.finish(&self.meta.id, None);
                    return;
                }
            };
            self.agent.upload_pacer.record_request(data.len());
            collected.extend_from_slice(&data);
            has_receiver = has_receiver && frames_tx.send(Ok(data)).await.is_ok();
        }
        headers.remove("content-length");
        let recorded = RecordedResponse {
            status: head.status,
            headers,
            body: collected.freeze(),
        };
        self.agent.ledger.finish(&self.meta.id, Some(recorded));
        drop(frames_tx);
        drop(self.permit);
    }

    async fn send(&mut self) -> UpstreamResult {
        let remaining = self.deadline.saturating_duration_since(clock::now());
        if remaining.is_zero() {
            return UpstreamResult::Refused(Refusal::Late);
        }
        let req = std::mem::replace(&mut self.upstream_req, hyper::Request::new(web::empty()));
        let upstream = self.agent.cfg.upstream;
        let res = match self.agent.client.send(upstream, req, remaining).await {
            Ok(res) => res,
            Err(e) if !e.may_have_run() => return UpstreamResult::Refused(Refusal::Upstream),
            Err(e) => return UpstreamResult::Lost(e.to_string()),
        };
        match self.meta.version.digest() {
            None => UpstreamResult::Answered(res),
            Some(wanted) => self.check_engine_response(res, &wanted.to_string()),
        }
    }

    /// Checks that an engine's response is for the request that was sent, and from the version it is pinned to.
    fn check_engine_response(
        &self,
        res: hyper::Response<Incoming>,
        wanted: &str,
    ) -> UpstreamResult {
        let headers = res.headers();
        let engine_digest = web::header(headers, header::ENGINE_DIGEST);
        let is_own = web::header(headers, header::ENGINE_REQUEST) == Some(&self.meta.id);
        match res.status() {
            StatusCode::CONFLICT => {
                self.agent.gate.retire(&self.meta.version);
                UpstreamResult::Refused(Refusal::Version)
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                UpstreamResult::Refused(Refusal::Busy)
            }
            _ if engine_digest != Some(wanted) => UpstreamResult::Lost(format!(
                "the engine responded with version {engine_digest:?}"
            )),
            _ if !is_own => UpstreamResult::Lost("the engine responded to another request".into()),
            _ => UpstreamResult::Answered(res),
        }
    }
}

fn upstream_request(
    meta: &RequestMetadata,
    head: &hyper::http::request::Parts,
    body: Bytes,
) -> hyper::Request<Body> {
    let mut req = hyper::Request::new(web::full(body));
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = head.uri.clone();
    let headers = req.headers_mut();
    for name in FORWARDED_HEADERS {
        if let Some(value) = head.headers.get(name) {
            headers.insert(name, value.clone());
        }
    }
    web::set_header(headers, header::ENGINE_REQUEST, &meta.id);
    if let Version::Weights(digest) = &meta.version {
        web::set_header(headers, header::ENGINE_DIGEST, &digest.to_string());
    }
    req
}

fn filter_headers(headers: &HeaderMap) -> HeaderMap {
    let mut returned = HeaderMap::new();
    for name in RETURNED_HEADERS {
        if let Some(value) = headers.get(name) {
            returned.insert(name, value.clone());
        }
    }
    returned
}

/// Sets the headers that identify the request, its version and the agent.
fn set_response_headers(agent: &Agent, meta: &RequestMetadata, headers: &mut HeaderMap) {
    web::set_header(headers, header::REQUEST, &meta.id);
    web::set_header(headers, header::VERSION, &meta.version.to_string());
    web::set_header(headers, header::MODEL, &meta.model);
    set_agent_headers(agent, headers);
}

fn set_agent_headers(agent: &Agent, headers: &mut HeaderMap) {
    web::set_header(headers, header::DOMAIN, &agent.cfg.process.domain);
    web::set_header(headers, header::LOAD, &agent.gate.running().to_string());
    web::set_header(headers, header::INCARNATION, &agent.incarnation.to_string());
}

fn refusal_response(agent: &Agent, refusal: Refusal) -> Response {
    let reason = refusal.to_string();
    metrics::counter!("driftnotch_agent_refused_total", "reason" => reason.clone()).increment(1);
    let mut res = web::text(503, format!("{reason}\n"));
    web::set_header(res.headers_mut(), header::REFUSED, &reason);
    set_agent_headers(agent, res.headers_mut());
    res
}

/// Returns the response to a request whose upstream response was lost; no part of the upstream response is forwarded.
fn lost_response(agent: &Agent, meta: &RequestMetadata, why: &str) -> Response {
    warn!(target: PART, "{PART}: response of request {} lost: {why}", meta.id);
    let mut res = web::text(502, "the answer was lost; the request may have run\n");
    web::set_header(
        res.headers_mut(),
        header::OUTCOME,
        Outcome::Unknown.as_str(),
    );
    set_agent_headers(agent, res.headers_mut());
    res
}

fn settled_response(agent: &Agent, state: Settled, recorded: Option<RecordedResponse>) -> Response {
    let mut res = match recorded {
        Some(recorded) => {
            let mut res = hyper::Response::new(web::full(recorded.body));
            *res.status_mut() = recorded.status;
            *res.headers_mut() = recorded.headers;
            res
        }
        None => web::text(200, ""),
    };
    web::set_header(res.headers_mut(), header::SETTLED, state.as_str());
    set_agent_headers(agent, res.headers_mut());
    res
}

/// Forwards a body until the deadline; its request counts as running until the last byte.
fn streamed_body(body: Incoming, permit: Permit, deadline: Instant, pacer: Arc<Pacer>) -> Body {
    let frames = stream::unfold(Some((body, permit, pacer)), move |state| async move {
        let (mut body, permit, pacer) = state?;
        match clock::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                pacer.record_request(frame.data_ref().map_or(0, Bytes::len));
                Some((Ok(frame), Some((body, permit, pacer))))
            }
            Ok(Some(Err(e))) => Some((Err(BodyError::Broken(e)), None)),
            Ok(None) => None,
            Err(_) => Some((Err(BodyError::TimedOut(Duration::ZERO)), None)),
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn channel_body(frames: mpsc::Receiver<Result<Bytes, BodyError>>) -> Body {
    let frames = stream::unfold(frames, |mut frames| async move {
        let data = frames.recv().await?;
        Some((data.map(Frame::data), frames))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

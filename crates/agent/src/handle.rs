//! Runs requests at the upstream.

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

/// Frames of a recorded answer that may wait for a slow entry.
const FRAMES: usize = 16;

/// Headers of an entry's request that the upstream gets.
const PASSED: [&str; 8] = [
    "content-type",
    "accept",
    "if-none-match",
    "if-match",
    "range",
    "authorization",
    header::DEADLINE,
    header::PRIORITY,
];

/// Headers of the upstream's answer that the entry gets.
const RETURNED: [&str; 7] = [
    "content-type",
    "content-length",
    "content-range",
    "etag",
    "last-modified",
    "cache-control",
    "location",
];

/// Answers an entry's request.
pub async fn handle(agent: Arc<Agent>, req: Request) -> Response {
    if let Some(id) = web::header(req.headers(), header::SETTLE) {
        let (state, recorded) = agent.ledger.settle(id);
        info!(target: PART, "{PART}: request {id} was settled: {state}");
        return settled(&agent, state, recorded);
    }
    let ask = match RequestMetadata::read(req.headers()) {
        Ok(ask) => ask,
        Err(e) => {
            let mut res = refuse(&agent, Refusal::Malformed);
            *res.status_mut() = StatusCode::BAD_REQUEST;
            *res.body_mut() = web::full(format!("{e}\n"));
            return res;
        }
    };
    let pass = match agent.gate.admit(&ask, &agent.cfg, &agent.active_table) {
        Ok(pass) => pass,
        Err(closed) => return refuse(&agent, closed),
    };
    let upkeep = &agent.cfg.upkeep;
    let (head, body) = req.into_parts();
    let body = match read_body(body, upkeep.max_body, upkeep.body_timeout).await {
        Ok(body) => body,
        Err(_) => return refuse(&agent, Refusal::Malformed),
    };
    agent.download_pacer.record_request(body.len());
    if ask.once && !agent.ledger.begin(&ask.id) {
        return refuse(&agent, Refusal::Sealed);
    }
    let run = Run {
        upstream_req: upstream_request(&ask, &head, body),
        deadline: clock::now() + ask.remaining,
        agent,
        ask,
        pass,
    };
    match run.ask.once {
        true => run.recorded().await,
        false => run.passed().await,
    }
}

/// A request that was let in.
struct Run {
    agent: Arc<Agent>,
    ask: RequestMetadata,
    pass: Permit,
    upstream_req: hyper::Request<Body>,
    deadline: Instant,
}

/// How the upstream took a request.
enum Taken {
    Answered(hyper::Response<Incoming>),
    Refused(Refusal),
    Lost(String),
}

impl Run {
    /// Runs a request that may be repeated: a caller that goes away ends it.
    async fn passed(mut self) -> Response {
        match self.send().await {
            Taken::Answered(res) => {
                let (head, body) = res.into_parts();
                let mut res = hyper::Response::new(pass_through(
                    body,
                    self.pass,
                    self.deadline,
                    self.agent.upload_pacer.clone(),
                ));
                *res.status_mut() = head.status;
                *res.headers_mut() = returned(&head.headers);
                stamp(&self.agent, &self.ask, res.headers_mut());
                res
            }
            Taken::Refused(closed) => refuse(&self.agent, closed),
            Taken::Lost(why) => lost(&self.agent, &self.ask, &why),
        }
    }

    /// Runs a request that may not be repeated: it goes on and is recorded, whoever still listens.
    async fn recorded(self) -> Response {
        let (agent, ask) = (self.agent.clone(), self.ask.clone());
        let (tx, rx) = oneshot::channel();
        tokio::spawn(self.record(tx));
        match rx.await {
            Ok(res) => res,
            Err(_) => lost(&agent, &ask, "the run ended without an answer"),
        }
    }

    async fn record(mut self, tx: oneshot::Sender<Response>) {
        let (head, mut body) = match self.send().await {
            Taken::Answered(res) => res.into_parts(),
            Taken::Refused(closed) => {
                self.agent.ledger.seal(&self.ask.id);
                let _ = tx.send(refuse(&self.agent, closed));
                return;
            }
            Taken::Lost(why) => {
                self.agent.ledger.finish(&self.ask.id, None);
                let _ = tx.send(lost(&self.agent, &self.ask, &why));
                return;
            }
        };
        let mut headers = returned(&head.headers);
        stamp(&self.agent, &self.ask, &mut headers);
        let (frames_tx, frames) = mpsc::channel(FRAMES);
        let mut res = hyper::Response::new(receive(frames));
        *res.status_mut() = head.status;
        *res.headers_mut() = headers.clone();
        let mut listens = tx.send(res).is_ok();
        let mut kept = BytesMut::new();
        loop {
            let frame = clock::timeout_at(self.deadline, body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => {
                    let cut = BodyError::Interrupted("the upstream broke off");
                    let _ = frames_tx.send(Err(cut)).await;
                    self.agent.ledger.finish(&self.ask.id, None);
                    return;
                }
            };
            self.agent.upload_pacer.record_request(data.len());
            kept.extend_from_slice(&data);
            listens = listens && frames_tx.send(Ok(data)).await.is_ok();
        }
        headers.remove("content-length");
        let recorded = RecordedResponse {
            status: head.status,
            headers,
            body: kept.freeze(),
        };
        self.agent.ledger.finish(&self.ask.id, Some(recorded));
        drop(frames_tx);
        drop(self.pass);
    }

    async fn send(&mut self) -> Taken {
        let remaining = self.deadline.saturating_duration_since(clock::now());
        if remaining.is_zero() {
            return Taken::Refused(Refusal::Late);
        }
        let req = std::mem::replace(&mut self.upstream_req, hyper::Request::new(web::empty()));
        let upstream = self.agent.cfg.upstream;
        let res = match self.agent.client.send(upstream, req, remaining).await {
            Ok(res) => res,
            Err(e) if !e.may_have_run() => return Taken::Refused(Refusal::Upstream),
            Err(e) => return Taken::Lost(e.to_string()),
        };
        match self.ask.version.digest() {
            None => Taken::Answered(res),
            Some(wanted) => self.check_engine(res, &wanted.to_string()),
        }
    }

    /// Holds an engine's answer against the version and the request that were sent.
    fn check_engine(&self, res: hyper::Response<Incoming>, wanted: &str) -> Taken {
        let headers = res.headers();
        let ran_with = web::header(headers, header::ENGINE_DIGEST);
        let own = web::header(headers, header::ENGINE_REQUEST) == Some(&self.ask.id);
        match res.status() {
            StatusCode::CONFLICT => {
                self.agent.gate.retire(&self.ask.version);
                Taken::Refused(Refusal::Version)
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Taken::Refused(Refusal::Busy)
            }
            _ if ran_with != Some(wanted) => {
                Taken::Lost(format!("the engine answered with {ran_with:?}"))
            }
            _ if !own => Taken::Lost("the engine answered another request".into()),
            _ => Taken::Answered(res),
        }
    }
}

fn upstream_request(
    ask: &RequestMetadata,
    head: &hyper::http::request::Parts,
    body: Bytes,
) -> hyper::Request<Body> {
    let mut req = hyper::Request::new(web::full(body));
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = head.uri.clone();
    let headers = req.headers_mut();
    for name in PASSED {
        if let Some(value) = head.headers.get(name) {
            headers.insert(name, value.clone());
        }
    }
    web::set_header(headers, header::ENGINE_REQUEST, &ask.id);
    if let Version::Weights(digest) = &ask.version {
        web::set_header(headers, header::ENGINE_DIGEST, &digest.to_string());
    }
    req
}

fn returned(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for name in RETURNED {
        if let Some(value) = headers.get(name) {
            kept.insert(name, value.clone());
        }
    }
    kept
}

/// Says whose answer it is and where it ran.
fn stamp(agent: &Agent, ask: &RequestMetadata, headers: &mut HeaderMap) {
    web::set_header(headers, header::REQUEST, &ask.id);
    web::set_header(headers, header::VERSION, &ask.version.to_string());
    web::set_header(headers, header::MODEL, &ask.model);
    stamp_agent(agent, headers);
}

fn stamp_agent(agent: &Agent, headers: &mut HeaderMap) {
    web::set_header(headers, header::DOMAIN, &agent.cfg.upkeep.domain);
    web::set_header(headers, header::LOAD, &agent.gate.running().to_string());
    web::set_header(headers, header::INCARNATION, &agent.incarnation.to_string());
}

fn refuse(agent: &Agent, closed: Refusal) -> Response {
    let reason = closed.to_string();
    metrics::counter!("driftnotch_agent_refused_total", "reason" => reason.clone()).increment(1);
    let mut res = web::text(503, format!("{reason}\n"));
    web::set_header(res.headers_mut(), header::REFUSED, &reason);
    stamp_agent(agent, res.headers_mut());
    res
}

/// An answer that was lost on the way from the upstream: no word of it is passed on as an answer.
fn lost(agent: &Agent, ask: &RequestMetadata, why: &str) -> Response {
    warn!(target: PART, "{PART}: request {} lost its answer: {why}", ask.id);
    let mut res = web::text(502, "the answer was lost; the request may have run\n");
    web::set_header(
        res.headers_mut(),
        header::OUTCOME,
        Outcome::Unknown.as_str(),
    );
    stamp_agent(agent, res.headers_mut());
    res
}

fn settled(agent: &Agent, state: Settled, recorded: Option<RecordedResponse>) -> Response {
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
    stamp_agent(agent, res.headers_mut());
    res
}

/// Passes a body on until the deadline, counting its request as running until the last byte.
fn pass_through(body: Incoming, pass: Permit, deadline: Instant, up: Arc<Pacer>) -> Body {
    let frames = stream::unfold(Some((body, pass, up)), move |state| async move {
        let (mut body, pass, up) = state?;
        match clock::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                up.record_request(frame.data_ref().map_or(0, Bytes::len));
                Some((Ok(frame), Some((body, pass, up))))
            }
            Ok(Some(Err(e))) => Some((Err(BodyError::Broken(e)), None)),
            Ok(None) => None,
            Err(_) => Some((Err(BodyError::TimedOut(Duration::ZERO)), None)),
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn receive(frames: mpsc::Receiver<Result<Bytes, BodyError>>) -> Body {
    let frames = stream::unfold(frames, |mut frames| async move {
        let data = frames.recv().await?;
        Some((data.map(Frame::data), frames))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

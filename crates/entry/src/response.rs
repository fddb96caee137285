//! Response of an upstream on its way to the caller.
//!
//! A response within the size limit is buffered until complete, so its head can carry the outcome
//! `done`. An event stream, or a larger response, is relayed as it arrives. Its head carries the
//! outcome `unknown`, since the outcome isn't known yet; the outcome follows at the end, in a final
//! `outcome` event for a stream and in a trailer for any other response. A stream that was cut off
//! gets no `[DONE]`, and incomplete events are never relayed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{Outcome, header};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, StatusCode};
use web::{Body, BodyError, Response};

use crate::limit::LimitPermit;
use crate::request::CallerRequest;
use crate::route::running::RunningRequest;
use crate::telemetry::{Labels, Telemetry};

/// Start of the last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Response headers that are relayed to the caller.
const RESPONSE_HEADERS: [&str; 8] = [
    "content-type",
    "content-range",
    "etag",
    "last-modified",
    "cache-control",
    "location",
    header::VERSION,
    header::MODEL,
];

/// Response of an upstream.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers of the agent's response.
    pub headers: HeaderMap,
    /// Body.
    pub body: UpstreamBody,
    /// Whether it is the recorded response of an earlier run.
    pub replayed: bool,
}

/// Body of a response.
#[derive(Debug)]
pub enum UpstreamBody {
    /// Complete, buffered body.
    Complete(Bytes),
    /// Body that is relayed as it arrives.
    Streaming {
        /// Incoming body.
        body: Incoming,
        /// Whether it is an event stream.
        is_event_stream: bool,
        /// Counts the request as running until the last byte.
        running: RunningRequest,
    },
}

/// State of a response that is being relayed.
struct Relay {
    body: Incoming,
    is_event_stream: bool,
    buf: BytesMut,
    done_received: bool,
    first_data_at: Option<Instant>,
    last_data_at: Instant,
    event_count: u32,
    is_finished: bool,
    request_id: String,
    deadline: Instant,
    arrived_at: Instant,
    labels: Labels,
    telemetry: Arc<Telemetry>,
    _running: RunningRequest,
    _permit: LimitPermit,
}

impl UpstreamResponse {
    /// Converts it to the response to the caller.
    pub fn into_response(
        self,
        request: &CallerRequest,
        labels: Labels,
        permit: LimitPermit,
        telemetry: &Arc<Telemetry>,
    ) -> Response {
        let mut trailer = false;
        let (body, outcome) = match self.body {
            UpstreamBody::Complete(buf) => {
                telemetry.record_first_token(&labels, clock::since(request.arrived_at));
                telemetry.record_completed(&labels, Outcome::Done, "ok", false);
                (web::full(buf), Outcome::Done)
            }
            UpstreamBody::Streaming {
                body,
                is_event_stream,
                running,
            } => {
                trailer = !is_event_stream;
                let relay = Relay {
                    body,
                    is_event_stream,
                    buf: BytesMut::new(),
                    done_received: false,
                    first_data_at: None,
                    last_data_at: request.arrived_at,
                    event_count: 0,
                    is_finished: false,
                    request_id: request.id.clone(),
                    deadline: request.deadline,
                    arrived_at: request.arrived_at,
                    labels,
                    telemetry: telemetry.clone(),
                    _running: running,
                    _permit: permit,
                };
                (relay.into_body(), Outcome::Unknown)
            }
        };
        let mut res = hyper::Response::new(body);
        *res.status_mut() = self.status;
        let headers = res.headers_mut();
        for name in RESPONSE_HEADERS {
            if let Some(value) = self.headers.get(name) {
                headers.insert(name, value.clone());
            }
        }
        if let Some(value) = self.headers.get(header::DOMAIN) {
            headers.insert(header::RAN_IN, value.clone());
        }
        web::set_header(headers, header::OUTCOME, outcome.as_str());
        web::set_header(headers, header::REQUEST, &request.id);
        if trailer {
            web::set_header(headers, "trailer", header::OUTCOME);
        }
        if self.replayed {
            web::set_header(headers, header::REPLAYED, "true");
        }
        res
    }
}

impl Relay {
    fn into_body(self) -> Body {
        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(frame)) => Some((Ok(frame), Some(relay))),
                Some(Err(e)) => Some((Err(e), None)),
                None => None,
            }
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        loop {
            if self.is_finished {
                return None;
            }
            let frame = clock::timeout_at(self.deadline, self.body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().ok(),
                Ok(Some(Err(_))) => return self.abort("the upstream broke off"),
                Ok(None) => return Some(Ok(self.final_frame())),
                Err(_) => return self.abort("the deadline passed"),
            };
            let output = match data {
                Some(data) if self.is_event_stream => self.take_complete_events(data),
                Some(data) => data,
                None => Bytes::new(),
            };
            if !output.is_empty() {
                self.record_data();
                return Some(Ok(Frame::data(output)));
            }
        }
    }

    /// Buffers `data` and returns the events that are complete, without the final `[DONE]`.
    fn take_complete_events(&mut self, data: Bytes) -> Bytes {
        self.buf.extend_from_slice(&data);
        let mut out = BytesMut::new();
        while let Some(at) = event_end(&self.buf) {
            let event = self.buf.split_to(at);
            match event.starts_with(DONE_EVENT) {
                true => self.done_received = true,
                false => {
                    self.event_count += 1;
                    out.extend_from_slice(&event);
                }
            }
        }
        out.freeze()
    }

    fn record_data(&mut self) {
        let now = clock::now();
        self.last_data_at = now;
        if self.first_data_at.is_none() {
            self.first_data_at = Some(now);
            self.telemetry
                .record_first_token(&self.labels, now.duration_since(self.arrived_at));
        }
    }

    /// Returns the mean time between events; `None` for fewer than two events.
    fn mean_gap(&self) -> Option<Duration> {
        let span = self.last_data_at.duration_since(self.first_data_at?);
        (self.is_event_stream && self.event_count > 1).then(|| span / (self.event_count - 1))
    }

    /// Returns the last frame, with the outcome of the response.
    fn final_frame(&mut self) -> Frame<Bytes> {
        match (self.is_event_stream, self.done_received) {
            (true, true) => self.outcome_event(Outcome::Done, "ok"),
            (true, false) => self.outcome_event(Outcome::Unknown, "the upstream ended early"),
            (false, _) => {
                self.finish(Outcome::Done, "ok");
                let mut trailers = HeaderMap::new();
                web::set_header(&mut trailers, header::OUTCOME, Outcome::Done.as_str());
                Frame::trailers(trailers)
            }
        }
    }

    /// Ends a response that was cut off, without anything that marks it as complete.
    fn abort(&mut self, cause: &'static str) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.is_event_stream {
            return Some(Ok(self.outcome_event(Outcome::Unknown, cause)));
        }
        self.finish(Outcome::Unknown, cause);
        Some(Err(BodyError::Interrupted(cause)))
    }

    fn outcome_event(&mut self, outcome: Outcome, cause: &str) -> Frame<Bytes> {
        self.finish(outcome, cause);
        let request_id = &self.request_id;
        let mut text = format!(
            "event: outcome\ndata: {{\"outcome\":\"{outcome}\",\"request\":\"{request_id}\",\"cause\":\"{cause}\"}}\n\n"
        );
        if outcome == Outcome::Done {
            text.push_str("data: [DONE]\n\n");
        }
        Frame::data(text.into())
    }

    fn finish(&mut self, outcome: Outcome, code: &str) {
        self.is_finished = true;
        if let Some(mean) = self.mean_gap() {
            self.telemetry.record_token_gap(&self.labels, mean);
        }
        self.telemetry
            .record_completed(&self.labels, outcome, code, false);
    }
}

/// Returns the end of the first complete event.
fn event_end(buf: &[u8]) -> Option<usize> {
    buf.windows(2).position(|w| w == b"\n\n").map(|at| at + 2)
}

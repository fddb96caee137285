//! An answer on its way to the caller.
//!
//! An answer that fits is held until whole, so its head can say `done`. A stream of events, or a
//! larger answer, is passed through as it comes: its head says `unknown`, because so it is, and
//! its end says what came of it: a stream by a last `outcome` event, anything else by a trailer.
//! A stream that was cut off gets no `[DONE]`, and half an event is never passed on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{Outcome, header};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, StatusCode};
use web::{Body, BodyError, Response};

use crate::call::Call;
use crate::limit::Counted;
use crate::route::running::Running;
use crate::telemetry::{Labels, Telemetry};

/// Last event of a whole stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Headers of an answer that the caller gets.
const RETURNED: [&str; 8] = [
    "content-type",
    "content-range",
    "etag",
    "last-modified",
    "cache-control",
    "location",
    header::VERSION,
    header::MODEL,
];

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers of the agent's answer.
    pub headers: HeaderMap,
    /// Body.
    pub body: AnswerBody,
    /// Whether it is the recorded answer of an earlier run.
    pub replayed: bool,
}

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// To be passed through as it comes.
    Passing {
        /// What comes.
        body: Incoming,
        /// Whether it is a stream of events.
        events: bool,
        /// Counts the request as running until the last byte.
        running: Running,
    },
}

/// What a stream keeps until its end.
struct Passing {
    body: Incoming,
    events: bool,
    buf: BytesMut,
    done_seen: bool,
    first_seen: Option<Instant>,
    last_seen: Instant,
    events_seen: u32,
    ended: bool,
    request: String,
    deadline: Instant,
    arrived: Instant,
    labels: Labels,
    telemetry: Arc<Telemetry>,
    _running: Running,
    _counted: Counted,
}

impl Answer {
    /// The response to the caller.
    pub fn response(
        self,
        call: &Call,
        labels: Labels,
        counted: Counted,
        telemetry: &Arc<Telemetry>,
    ) -> Response {
        let mut trailer = false;
        let (body, outcome) = match self.body {
            AnswerBody::Whole(buf) => {
                telemetry.first_token(&labels, clock::since(call.arrived));
                telemetry.ended(&labels, Outcome::Done, "ok", false);
                (web::full(buf), Outcome::Done)
            }
            AnswerBody::Passing {
                body,
                events,
                running,
            } => {
                trailer = !events;
                let passing = Passing {
                    body,
                    events,
                    buf: BytesMut::new(),
                    done_seen: false,
                    first_seen: None,
                    last_seen: call.arrived,
                    events_seen: 0,
                    ended: false,
                    request: call.id.clone(),
                    deadline: call.deadline,
                    arrived: call.arrived,
                    labels,
                    telemetry: telemetry.clone(),
                    _running: running,
                    _counted: counted,
                };
                (passing.into_body(), Outcome::Unknown)
            }
        };
        let mut res = hyper::Response::new(body);
        *res.status_mut() = self.status;
        let headers = res.headers_mut();
        for name in RETURNED {
            if let Some(value) = self.headers.get(name) {
                headers.insert(name, value.clone());
            }
        }
        if let Some(value) = self.headers.get(header::DOMAIN) {
            headers.insert(header::RAN_IN, value.clone());
        }
        web::set_header(headers, header::OUTCOME, outcome.as_str());
        web::set_header(headers, header::REQUEST, &call.id);
        if trailer {
            web::set_header(headers, "trailer", header::OUTCOME);
        }
        if self.replayed {
            web::set_header(headers, header::REPLAYED, "true");
        }
        res
    }
}

impl Passing {
    fn into_body(self) -> Body {
        let frames = stream::unfold(Some(self), |passing| async move {
            let mut passing = passing?;
            match passing.next().await {
                Some(Ok(frame)) => Some((Ok(frame), Some(passing))),
                Some(Err(e)) => Some((Err(e), None)),
                None => None,
            }
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        loop {
            if self.ended {
                return None;
            }
            let frame = clock::timeout_at(self.deadline, self.body.frame()).await;
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().ok(),
                Ok(Some(Err(_))) => return self.cut("the upstream broke off"),
                Ok(None) => return Some(Ok(self.end())),
                Err(_) => return self.cut("the deadline passed"),
            };
            let passed = match data {
                Some(data) if self.events => self.whole_events(data),
                Some(data) => data,
                None => Bytes::new(),
            };
            if !passed.is_empty() {
                self.note_tokens();
                return Some(Ok(Frame::data(passed)));
            }
        }
    }

    /// Takes bytes in and gives out what makes whole events, keeping back the last one.
    fn whole_events(&mut self, data: Bytes) -> Bytes {
        self.buf.extend_from_slice(&data);
        let mut out = BytesMut::new();
        while let Some(at) = event_end(&self.buf) {
            let event = self.buf.split_to(at);
            match event.starts_with(DONE_EVENT) {
                true => self.done_seen = true,
                false => {
                    self.events_seen += 1;
                    out.extend_from_slice(&event);
                }
            }
        }
        out.freeze()
    }

    fn note_tokens(&mut self) {
        let now = clock::now();
        self.last_seen = now;
        if self.first_seen.is_none() {
            self.first_seen = Some(now);
            self.telemetry
                .first_token(&self.labels, now.duration_since(self.arrived));
        }
    }

    /// Mean time between events, where there were at least two.
    fn gaps(&self) -> Option<Duration> {
        let span = self.last_seen.duration_since(self.first_seen?);
        (self.events && self.events_seen > 1).then(|| span / (self.events_seen - 1))
    }

    /// The last frame, by whether the whole answer came.
    fn end(&mut self) -> Frame<Bytes> {
        match (self.events, self.done_seen) {
            (true, true) => self.last_event(Outcome::Done, "ok"),
            (true, false) => self.last_event(Outcome::Unknown, "the upstream ended early"),
            (false, _) => {
                self.finish(Outcome::Done, "ok");
                let mut trailers = HeaderMap::new();
                web::set_header(&mut trailers, header::OUTCOME, Outcome::Done.as_str());
                Frame::trailers(trailers)
            }
        }
    }

    /// Ends an answer that was cut off; nothing that looks whole is sent.
    fn cut(&mut self, why: &'static str) -> Option<Result<Frame<Bytes>, BodyError>> {
        if self.events {
            return Some(Ok(self.last_event(Outcome::Unknown, why)));
        }
        self.finish(Outcome::Unknown, why);
        Some(Err(BodyError::Interrupted(why)))
    }

    fn last_event(&mut self, outcome: Outcome, why: &str) -> Frame<Bytes> {
        self.finish(outcome, why);
        let request = &self.request;
        let mut text = format!(
            "event: outcome\ndata: {{\"outcome\":\"{outcome}\",\"request\":\"{request}\",\"cause\":\"{why}\"}}\n\n"
        );
        if outcome == Outcome::Done {
            text.push_str("data: [DONE]\n\n");
        }
        Frame::data(text.into())
    }

    fn finish(&mut self, outcome: Outcome, code: &str) {
        self.ended = true;
        if let Some(mean) = self.gaps() {
            self.telemetry.between_tokens(&self.labels, mean);
        }
        self.telemetry.ended(&self.labels, outcome, code, false);
    }
}

/// Where the first whole event ends.
fn event_end(buf: &[u8]) -> Option<usize> {
    buf.windows(2).position(|w| w == b"\n\n").map(|at| at + 2)
}

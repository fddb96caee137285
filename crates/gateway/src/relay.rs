//! Relays an event stream from upstreams to the caller.
//!
//! The head is sent to the caller together with the first event; until then another upstream may be tried, as for any
//! request. Only complete events are relayed. If the upstream breaks off or becomes unresponsive and the route allows
//! it, the stream is resumed at another upstream after the last relayed event, under the head of the first upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use catalog::Service;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::http::response;
use web::{BodyError, Response};

use crate::Cx;
use crate::admission::acquire_slot;
use crate::connection::Connection;
use crate::events::EventBuffer;
use crate::handle::MAX_UNREACHABLE;
use crate::loss::{self, ResponseLoss, UpstreamOutcome};
use crate::record::{RequestOutcome, RequestRecord};
use crate::request::RoutedRequest;
use crate::send::{SendOutcome, UpstreamResponse, record_health, response_timeout, send};
use crate::spans::Span;
use crate::suspects::wait_until_permitted;
use crate::upstream::{Health, Slot, Upstream};

/// Maximum wait of a stream that is to be resumed for a slot at another upstream.
const RESUME_SLOT_WAIT: Duration = Duration::from_millis(250);

/// Event stream of a request, read from one upstream at a time.
pub struct EventStream {
    cx: Arc<Cx>,
    req: Arc<RoutedRequest>,
    service: Arc<Service>,
    head: response::Parts,
    source: EventSource,
}

/// Response body of an upstream, split into events.
struct EventSource {
    body: Incoming,
    // Closed when dropped, which cancels the upstream's work.
    _connection: Connection,
    slot: Slot,
    events: EventBuffer,
}

/// Next item of a source.
enum Item {
    Events(Bytes),
    End,
    Lost(ResponseLoss),
}

/// Stream whose first event has arrived.
pub struct StartedStream {
    stream: EventStream,
    first: Bytes,
    tried: Vec<Arc<Upstream>>,
    sent: u32,
}

impl EventStream {
    /// Creates a stream from a response.
    pub fn new(
        cx: &Arc<Cx>,
        req: &Arc<RoutedRequest>,
        service: &Arc<Service>,
        response: UpstreamResponse,
        slot: Slot,
    ) -> EventStream {
        let UpstreamResponse {
            head,
            body,
            connection,
        } = response;
        EventStream {
            cx: cx.clone(),
            req: req.clone(),
            service: service.clone(),
            head,
            source: EventSource::new(body, connection, slot, EventBuffer::default()),
        }
    }
}

impl EventSource {
    fn new(body: Incoming, connection: Connection, slot: Slot, events: EventBuffer) -> EventSource {
        EventSource {
            body,
            _connection: connection,
            slot,
            events,
        }
    }

    async fn next(&mut self, deadline: Instant, timeout: Duration) -> Item {
        let until = (clock::now() + timeout).min(deadline);
        loop {
            if let Some(complete) = self.events.take_complete() {
                self.slot.record_first_event();
                return Item::Events(complete);
            }
            let frame = clock::timeout_at(until, self.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.events.push(data);
                    }
                }
                Ok(None) if self.events.is_complete() => return Item::End,
                Ok(None) => {
                    return Item::Lost(ResponseLoss::Disconnected(
                        "it ended within an event".to_owned(),
                    ));
                }
                Ok(Some(Err(e))) => {
                    return Item::Lost(ResponseLoss::Disconnected(e.to_string()));
                }
                Err(_) => return Item::Lost(ResponseLoss::Unresponsive),
            }
        }
    }
}

/// Waits for the first event. On failure returns the reason and the state of the upstream.
pub async fn start(
    mut stream: EventStream,
    tried: Vec<Arc<Upstream>>,
    sent: u32,
) -> Result<StartedStream, (ResponseLoss, UpstreamOutcome)> {
    let timeout = response_timeout(&stream.cx, &stream.req, &stream.source.slot);
    let started = clock::now();
    let item = stream.source.next(stream.req.deadline, timeout).await;
    stream.req.spans.add(Span::FirstEvent, started);
    let first = match item {
        Item::Events(first) => {
            record_health(stream.source.slot.upstream(), Health::Answered);
            first
        }
        Item::End => Bytes::new(),
        Item::Lost(loss) => {
            let upstream = stream.source.slot.upstream();
            let outcome = loss::record(&stream.cx, &stream.req, upstream, &loss).await;
            return Err((loss, outcome));
        }
    };
    Ok(StartedStream {
        stream,
        first,
        tried,
        sent,
    })
}

/// Result of resuming a stream at an upstream.
enum ResumeResult {
    Resumed,
    Unreachable,
}

/// Stream after its head was sent, with what is needed to resume it.
struct RelayedStream {
    stream: EventStream,
    first: Option<Bytes>,
    tried: Vec<Arc<Upstream>>,
    sent: u32,
    record: RequestRecord,
}

impl StartedStream {
    /// Returns the response: the head, the first event, and all further events as they arrive.
    pub fn respond(self, mut record: RequestRecord) -> Response {
        let StartedStream {
            stream,
            first,
            tried,
            sent,
        } = self;
        record.first_event_ms = Some(record.elapsed_ms());
        record.record_event();
        let mut res = hyper::Response::new(());
        *res.status_mut() = stream.head.status;
        *res.headers_mut() = (stream.cx.codec.response_headers)(&stream.head.headers);
        let relayed = RelayedStream {
            stream,
            first: Some(first),
            tried,
            sent,
            record,
        };
        let events = stream::unfold(Some(relayed), |relayed| async move {
            let mut relayed = relayed?;
            match relayed.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relayed))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        res.map(|()| BodyExt::boxed_unsync(StreamBody::new(events)))
    }
}

impl RelayedStream {
    /// Returns the next events; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(first) = self.first.take().filter(|b| !b.is_empty()) {
            return Ok(Some(first));
        }
        loop {
            let timeout = self
                .stream
                .req
                .response_timeout(self.stream.cx.cfg.stall_time);
            let deadline = self.stream.req.deadline;
            match self.stream.source.next(deadline, timeout).await {
                Item::Events(bytes) => {
                    self.record.record_event();
                    return Ok(Some(bytes));
                }
                Item::End => {
                    self.stream.cx.suspects.record_completion(&self.stream.req);
                    let status = self.stream.head.status.as_u16();
                    self.record.outcome = RequestOutcome::Answered(status);
                    return Ok(None);
                }
                Item::Lost(loss) => self.resume(&loss).await?,
            }
        }
    }

    /// Records that the upstream's response was lost, and resumes the stream at another upstream.
    async fn resume(&mut self, loss: &ResponseLoss) -> Result<(), BodyError> {
        let broken = self.stream.source.slot.upstream().clone();
        let outcome = loss::record(&self.stream.cx, &self.stream.req, &broken, loss).await;
        self.record.record_attempt(&broken.instance, outcome.name());
        log::debug!(target: "relay", "relay: event=broke id={} upstream={} why=\"{loss}\"", self.stream.req.metadata.attempt_id, broken.instance);
        // The result of the trial is already recorded.
        self.stream.source.slot.trial = None;
        self.fail_over().await.map_err(|why| {
            self.record.outcome = RequestOutcome::Cut(why);
            BodyError::Interrupted(why)
        })
    }

    /// Resumes the stream at another upstream. On failure returns the reason.
    async fn fail_over(&mut self) -> Result<(), &'static str> {
        let (cx, req) = (self.stream.cx.clone(), self.stream.req.clone());
        if req.remaining().is_zero() {
            return Err("the time is over");
        }
        if !req.is_retryable() || self.sent >= req.route.max_attempts {
            return Err("the upstream broke off");
        }
        let mut slot = self.acquire_slot().await?;
        if !cx
            .retry_budget
            .withdraw(&req.service, cx.gateways(), clock::now())
        {
            return Err("the retry budget is used up");
        }
        for _ in 0..MAX_UNREACHABLE {
            match self.resume_at(slot).await? {
                ResumeResult::Resumed => return Ok(()),
                // Upstreams that exited together are found one by one; none of them counts as an attempt.
                ResumeResult::Unreachable => slot = self.acquire_slot().await?,
            }
        }
        Err("no upstream can be reached")
    }

    /// Waits for a slot at an upstream that hasn't been tried yet.
    async fn acquire_slot(&self) -> Result<Slot, &'static str> {
        let EventStream {
            cx, req, service, ..
        } = &self.stream;
        let refused = |_| "upstreams ended under it";
        let isolation = wait_until_permitted(cx, req).await.map_err(refused)?;
        let until = (clock::now() + RESUME_SLOT_WAIT).min(req.deadline);
        let slot = acquire_slot(cx, req, service, &self.tried, isolation, until).await;
        let mut slot = slot.map_err(|_| "no upstream can go on")?;
        // Whether the request is a suspect, or on trial, may have changed while it was queued.
        slot.trial = cx
            .suspects
            .begin_trial(req, slot.upstream().addr)
            .await
            .map_err(refused)?;
        Ok(slot)
    }

    /// Asks the slot's upstream to resume the stream after the last relayed event.
    async fn resume_at(&mut self, slot: Slot) -> Result<ResumeResult, &'static str> {
        let (cx, req) = (self.stream.cx.clone(), self.stream.req.clone());
        let last_id = self.stream.source.events.last_id().cloned();
        let last_id = last_id.or_else(|| req.metadata.last_event_id.clone());
        let instance = slot.upstream().instance.clone();
        self.tried.push(slot.upstream().clone());
        let sent = send(&cx, &req, &slot, last_id.as_deref()).await;
        if let SendOutcome::Unreached(_) = sent {
            self.record.record_attempt(&instance, sent.name());
            return Ok(ResumeResult::Unreachable);
        }
        self.sent += 1;
        match sent {
            SendOutcome::Lost(loss) => {
                let outcome = loss::record(&cx, &req, slot.upstream(), &loss).await;
                self.record.record_attempt(&instance, outcome.name());
                Err("no upstream went on")
            }
            SendOutcome::Response(response) if response.head.status.is_success() => {
                self.record.record_attempt(&instance, "answer");
                // The last event id is retained, in case this upstream breaks off before its first event.
                let mut events = std::mem::take(&mut self.stream.source.events);
                events.discard_partial();
                self.stream.source =
                    EventSource::new(response.body, response.connection, slot, events);
                Ok(ResumeResult::Resumed)
            }
            other => {
                self.record.record_attempt(&instance, other.name());
                Err("no upstream went on")
            }
        }
    }
}

//! Passes a stream on, event by event.
//!
//! The head is sent to the caller with the first event, so until then another upstream may be tried
//! as for any request. Only whole events are passed on. Where the upstream breaks off or falls
//! silent and the route allows it, the stream goes on at another upstream after the last event that
//! was passed on, under the head of the first.

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
use crate::admission::slot;
use crate::connection::Connection;
use crate::events::Events;
use crate::handle::MOST_UNREACHABLE;
use crate::loss::{self, Fate, ResponseLoss};
use crate::record::{Ending, Record};
use crate::request::RoutedRequest;
use crate::send::{Answer, Sent, record_health, response_timeout, send};
use crate::spans::Span;
use crate::suspects::wait_until_permitted;
use crate::upstream::{Health, Slot, Upstream};

/// How long a stream that is to go on waits for an upstream with room.
const RESUME_WAIT: Duration = Duration::from_millis(250);

/// A stream at one upstream.
pub struct Stream {
    cx: Arc<Cx>,
    job: Arc<RoutedRequest>,
    service: Arc<Service>,
    head: response::Parts,
    source: Source,
}

/// Where events come from.
struct Source {
    body: Incoming,
    // Closed when the stream ends, which ends the upstream's work.
    _connection: Connection,
    slot: Slot,
    events: Events,
}

/// What the next bytes of a source are.
enum Next {
    Events(Bytes),
    End,
    Lost(ResponseLoss),
}

/// A stream whose first event has come.
pub struct Begun {
    stream: Stream,
    first: Bytes,
    tried: Vec<Arc<Upstream>>,
    sent: u32,
}

impl Stream {
    /// A stream whose head has come.
    pub fn new(
        cx: &Arc<Cx>,
        job: &Arc<RoutedRequest>,
        service: &Arc<Service>,
        answer: Answer,
        slot: Slot,
    ) -> Stream {
        let Answer {
            head,
            body,
            connection,
        } = answer;
        Stream {
            cx: cx.clone(),
            job: job.clone(),
            service: service.clone(),
            head,
            source: Source::new(body, connection, slot, Events::default()),
        }
    }
}

impl Source {
    fn new(body: Incoming, connection: Connection, slot: Slot, events: Events) -> Source {
        Source {
            body,
            _connection: connection,
            slot,
            events,
        }
    }

    async fn next(&mut self, deadline: Instant, patience: Duration) -> Next {
        let until = (clock::now() + patience).min(deadline);
        loop {
            if let Some(whole) = self.events.take() {
                self.slot.record_first_event();
                return Next::Events(whole);
            }
            let frame = clock::timeout_at(until, self.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.events.push(data);
                    }
                }
                Ok(None) if self.events.is_whole() => return Next::End,
                Ok(None) => {
                    return Next::Lost(ResponseLoss::BrokeOff(
                        "it ended within an event".to_owned(),
                    ));
                }
                Ok(Some(Err(e))) => return Next::Lost(ResponseLoss::BrokeOff(e.to_string())),
                Err(_) => return Next::Lost(ResponseLoss::Silent),
            }
        }
    }
}

/// Waits for the first event; the error says why none came, and what became of the upstream.
pub async fn begin(
    mut stream: Stream,
    tried: Vec<Arc<Upstream>>,
    sent: u32,
) -> Result<Begun, (ResponseLoss, Fate)> {
    let patience = response_timeout(&stream.cx, &stream.job, &stream.source.slot);
    let begun = clock::now();
    let next = stream.source.next(stream.job.deadline, patience).await;
    stream.job.spans.add(Span::FirstEvent, begun);
    let first = match next {
        Next::Events(first) => {
            record_health(stream.source.slot.upstream(), Health::Answered);
            first
        }
        Next::End => Bytes::new(),
        Next::Lost(loss) => {
            let upstream = stream.source.slot.upstream();
            let fate = loss::note(&stream.cx, &stream.job, upstream, &loss).await;
            return Err((loss, fate));
        }
    };
    Ok(Begun {
        stream,
        first,
        tried,
        sent,
    })
}

/// Whether a request reached an upstream.
enum Reached {
    Yes,
    No,
}

/// What is left of a stream after its first event.
struct Rest {
    stream: Stream,
    first: Option<Bytes>,
    tried: Vec<Arc<Upstream>>,
    sent: u32,
    passed: Instant,
    record: Record,
}

impl Begun {
    /// The answer: the head, the first event, and the others as they come.
    pub fn respond(self, mut record: Record) -> Response {
        let Begun {
            stream,
            first,
            tried,
            sent,
        } = self;
        record.first_event_ms = Some(record.elapsed_ms());
        let mut res = hyper::Response::new(());
        *res.status_mut() = stream.head.status;
        *res.headers_mut() = (stream.cx.codec.response_headers)(&stream.head.headers);
        let rest = Rest {
            stream,
            first: Some(first),
            tried,
            sent,
            passed: clock::now(),
            record,
        };
        let events = stream::unfold(Some(rest), |rest| async move {
            let mut rest = rest?;
            match rest.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(rest))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        res.map(|()| BodyExt::boxed_unsync(StreamBody::new(events)))
    }
}

impl Rest {
    /// The next events; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(first) = self.first.take().filter(|b| !b.is_empty()) {
            return Ok(Some(first));
        }
        loop {
            let patience = self
                .stream
                .job
                .response_timeout(self.stream.cx.cfg.stall_time);
            let deadline = self.stream.job.deadline;
            match self.stream.source.next(deadline, patience).await {
                Next::Events(bytes) => {
                    let gap = clock::since(self.passed).as_millis() as u64;
                    self.record.longest_gap_ms = self.record.longest_gap_ms.max(gap);
                    self.passed = clock::now();
                    return Ok(Some(bytes));
                }
                Next::End => {
                    self.stream.cx.suspects.record_completion(&self.stream.job);
                    let status = self.stream.head.status.as_u16();
                    self.record.ending = Ending::Answered(status);
                    return Ok(None);
                }
                Next::Lost(loss) => self.resume(&loss).await?,
            }
        }
    }

    /// Goes on at another upstream after the last event passed on.
    async fn resume(&mut self, loss: &ResponseLoss) -> Result<(), BodyError> {
        let broken = self.stream.source.slot.upstream().clone();
        let fate = loss::note(&self.stream.cx, &self.stream.job, &broken, loss).await;
        self.record.tried(&broken.instance, fate.name());
        log::debug!(target: "relay", "relay: event=broke id={} upstream={} why=\"{loss}\"", self.stream.job.metadata.attempt_id, broken.instance);
        // What it may have shown is noted by now.
        self.stream.source.slot.trial = None;
        self.go_on().await.map_err(|why| {
            self.record.ending = Ending::Cut(why);
            BodyError::Cut(why)
        })
    }

    /// Finds an upstream that goes on; the error says why there is none.
    async fn go_on(&mut self) -> Result<(), &'static str> {
        let (cx, job) = (self.stream.cx.clone(), self.stream.job.clone());
        if job.remaining().is_zero() {
            return Err("the time is over");
        }
        if !job.is_retryable() || self.sent >= job.route.max_attempts {
            return Err("the upstream broke off");
        }
        let mut slot = self.slot().await?;
        if !cx
            .retry_budget
            .withdraw(&job.service, cx.gateways(), clock::now())
        {
            return Err("the retry budget is used up");
        }
        for _ in 0..MOST_UNREACHABLE {
            match self.send_on(slot).await? {
                Reached::Yes => return Ok(()),
                // Others that ended with it are found one by one; none of them costs an attempt.
                Reached::No => slot = self.slot().await?,
            }
        }
        Err("no upstream can be reached")
    }

    /// Waits for a slot at an upstream that wasn't tried yet.
    async fn slot(&self) -> Result<Slot, &'static str> {
        let Stream {
            cx, job, service, ..
        } = &self.stream;
        let suspect = |_| "upstreams ended under it";
        let care = wait_until_permitted(cx, job).await.map_err(suspect)?;
        let until = (clock::now() + RESUME_WAIT).min(job.deadline);
        let slot = slot(cx, job, service, &self.tried, care, until).await;
        let mut slot = slot.map_err(|_| "no upstream can go on")?;
        // What is known of it may have changed while it waited.
        slot.trial = cx
            .suspects
            .begin_trial(job, slot.upstream().addr)
            .await
            .map_err(suspect)?;
        Ok(slot)
    }

    /// Has the slot's upstream go on after the last event passed on.
    async fn send_on(&mut self, slot: Slot) -> Result<Reached, &'static str> {
        let (cx, job) = (self.stream.cx.clone(), self.stream.job.clone());
        let last = self.stream.source.events.last().cloned();
        let last = last.or_else(|| job.metadata.last_event_id.clone());
        let instance = slot.upstream().instance.clone();
        self.tried.push(slot.upstream().clone());
        let sent = send(&cx, &job, &slot, last.as_deref()).await;
        if let Sent::Unreached(_) = sent {
            self.record.tried(&instance, sent.name());
            return Ok(Reached::No);
        }
        self.sent += 1;
        match sent {
            Sent::Lost(loss) => {
                let fate = loss::note(&cx, &job, slot.upstream(), &loss).await;
                self.record.tried(&instance, fate.name());
                Err("no upstream went on")
            }
            Sent::Answer(answer) if answer.head.status.is_success() => {
                self.record.tried(&instance, "answer");
                // The last event passed on is kept, should this upstream break off before its first.
                let mut events = std::mem::take(&mut self.stream.source.events);
                events.drop_part();
                self.stream.source = Source::new(answer.body, answer.connection, slot, events);
                Ok(Reached::Yes)
            }
            other => {
                self.record.tried(&instance, other.name());
                Err("no upstream went on")
            }
        }
    }
}

//! Relays an event stream from upstreams to the caller.
//!
//! The head is sent to the caller together with the first event; until then another upstream may be tried, as for any
//! request. Only complete events are relayed. If the upstream breaks off and the route allows it, the stream is resumed
//! at another upstream after the last relayed event, under the head of the first upstream. If the upstream is silent, it
//! stays open while another one resumes the stream: the first of the two to send events is relayed further, so that a
//! pause ends no stream.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use decide::hedging;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::http::response;
use log::debug;
use web::{BodyError, Response};

use crate::Cx;
use crate::activity::Activity;
use crate::attempt::{Attempt, AttemptOutcome, StartedStream};
use crate::connection::Connection;
use crate::dispatch::{Dispatch, Race};
use crate::events::EventBuffer;
use crate::loss::{self, ResponseLoss};
use crate::memory::BodyShare;
use crate::record::{RequestOutcome, RequestRecord};
use crate::refusal::Refusal;
use crate::send::ends_with_connection;
use crate::upstream::Slot;

/// Log prefix of this part.
const PART: &str = "relay";

/// Response body of an upstream, split into events.
pub(crate) struct EventSource {
    body: Incoming,
    // Closed when dropped, which cancels the upstream's work.
    _connection: Connection,
    events: EventBuffer,
    activity: Arc<Activity>,
    /// Memory of a partial event.
    share: BodyShare,
    /// Maximum size of an event, in bytes.
    max_event: usize,
    /// Whether the end of the connection is the end of the stream.
    ends_with_connection: bool,
}

/// Next item of a source.
pub(crate) enum Item {
    Events(Bytes),
    End,
    Lost(ResponseLoss),
}

impl EventSource {
    /// Creates a source from the body of a response.
    pub(crate) fn new(
        cx: &Cx,
        head: &response::Parts,
        body: Incoming,
        connection: Connection,
        events: EventBuffer,
        activity: Arc<Activity>,
    ) -> EventSource {
        EventSource {
            ends_with_connection: ends_with_connection(head, &body),
            body,
            _connection: connection,
            events,
            activity,
            share: cx.memory.share(),
            max_event: cx.cfg.max_event as usize,
        }
    }

    /// Returns the next complete events. No event is lost if this is dropped before it completes.
    pub(crate) async fn next(&mut self) -> Item {
        loop {
            if let Some(complete) = self.events.take_complete() {
                return Item::Events(complete);
            }
            let partial = self.events.buffered();
            if partial > self.max_event || !self.share.resize(partial) {
                return Item::Lost(ResponseLoss::TooLarge("event", partial));
            }
            let frame = self.body.frame().await;
            match frame {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.events.push(data);
                    }
                }
                None if self.ends_with_connection && self.has_exited().await => {
                    return Item::Lost(ResponseLoss::Exited);
                }
                None if self.events.is_complete() => return Item::End,
                None => {
                    return Item::Lost(ResponseLoss::Disconnected(
                        "it ended within an event".to_owned(),
                    ));
                }
                Some(Err(e)) => return Item::Lost(ResponseLoss::Disconnected(e.to_string())),
            }
        }
    }

    /// Returns whether the upstream has exited.
    async fn has_exited(&self) -> bool {
        match self.activity.upstream() {
            Some(upstream) => loss::has_exited(&upstream).await,
            None => false,
        }
    }
}

/// Returns the response to a caller: the head, the first events, and all further ones as they arrive.
pub(crate) fn respond(
    dispatch: Arc<Dispatch>,
    started: StartedStream,
    mut record: RequestRecord,
) -> Response {
    let StartedStream {
        head,
        first,
        source,
        slot,
    } = started;
    record.first_event_ms = Some(record.elapsed_ms());
    record.record_event();
    let mut res = hyper::Response::new(());
    *res.status_mut() = head.status;
    *res.headers_mut() = (dispatch.cx.codec.response_headers)(&head.headers);
    let status = head.status.as_u16();
    let relayed = RelayedStream {
        dispatch,
        status,
        source,
        slot,
        has_events: !first.is_empty(),
        first: Some(first),
        second: None,
        second_after: clock::now(),
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

/// Stream after its head was sent.
struct RelayedStream {
    dispatch: Arc<Dispatch>,
    status: u16,
    /// Source of the events relayed so far.
    source: EventSource,
    slot: Slot,
    first: Option<Bytes>,
    /// Whether any event was relayed.
    has_events: bool,
    /// Attempt to resume the stream at another upstream, while the source is silent.
    second: Option<Attempt>,
    second_after: Instant,
    record: RequestRecord,
}

/// What happened next to a relayed stream.
enum Step {
    Source(Item),
    SecondDue,
    Second(AttemptOutcome),
}

impl RelayedStream {
    /// Returns the next events; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(first) = self.first.take().filter(|b| !b.is_empty()) {
            return Ok(Some(first));
        }
        self.source.activity.restart_wait();
        loop {
            let events = match self.step().await {
                Step::Source(Item::Events(bytes)) => bytes,
                Step::Source(Item::End) => {
                    self.finish();
                    return Ok(None);
                }
                Step::Source(Item::Lost(loss)) => self.fail_over(&loss).await?,
                Step::SecondDue => {
                    self.begin_second();
                    continue;
                }
                Step::Second(outcome) => match self.end_second(outcome) {
                    Some(started) => self.switch(started),
                    None => continue,
                },
            };
            // A resumed stream may end without further events.
            if !events.is_empty() {
                self.cancel_second();
                self.has_events = true;
                self.record.record_event();
                return Ok(Some(events));
            }
        }
    }

    /// Waits for the source, and for another upstream if the source is silent.
    async fn step(&mut self) -> Step {
        let dispatch = &self.dispatch;
        let allows_second = self.second.is_none() && dispatch.allows_second(1);
        let activity = self.source.activity.clone();
        tokio::select! {
            biased;
            item = self.source.next() => Step::Source(item),
            outcome = next_outcome(&mut self.second) => Step::Second(outcome),
            () = dispatch.wait_until_second_is_due(&activity, self.second_after), if allows_second => Step::SecondDue,
            () = clock::deadline(dispatch.req.deadline) => Step::Source(Item::Lost(ResponseLoss::TimedOut)),
        }
    }

    fn begin_second(&mut self) {
        let last_event_id = self.last_event_id();
        let activity = &self.source.activity;
        let second = self
            .dispatch
            .begin_second(activity, last_event_id, &mut self.record);
        self.second = Some(second);
    }

    /// Returns the last event that was relayed to the caller, or that the caller has already.
    fn last_event_id(&self) -> Option<String> {
        let last_id = self.source.events.last_id().cloned();
        last_id.or_else(|| self.dispatch.req.metadata.last_event_id.clone())
    }

    /// Continues with a source that resumes the stream. Returns its first events.
    fn switch(&mut self, started: StartedStream) -> Bytes {
        self.source = started.source;
        self.slot = started.slot;
        started.first
    }

    fn cancel_second(&mut self) {
        if let Some(second) = self.second.take() {
            second.cancel(&mut self.record);
        }
    }

    fn finish(&mut self) {
        self.cancel_second();
        let Dispatch { cx, req, .. } = &*self.dispatch;
        // An upstream that exits before its first event may end the stream like a complete one.
        if self.has_events {
            cx.suspects.record_completion(req);
        }
        self.record.outcome = RequestOutcome::Answered(self.status);
    }

    /// Records that the source was lost, and continues with another one. Returns its first events.
    async fn fail_over(&mut self, loss: &ResponseLoss) -> Result<Bytes, BodyError> {
        let Dispatch { cx, req, .. } = &*self.dispatch;
        let upstream = self.slot.upstream();
        let outcome = loss::record(cx, req, upstream, &self.source.activity, loss).await;
        self.record
            .record_attempt(&upstream.instance, outcome.name());
        debug!(target: PART, "{PART}: event=broke id={} upstream={} why=\"{loss}\"", req.metadata.attempt_id, upstream.instance);
        // The result of the trial is already recorded.
        self.slot.trial = None;
        match self.resume().await {
            Ok(started) => Ok(self.switch(started)),
            Err(why) => {
                self.record.outcome = RequestOutcome::Cut(why);
                Err(BodyError::Interrupted(why))
            }
        }
    }

    /// Ends the second attempt with its outcome. Returns the stream, if it was resumed.
    fn end_second(&mut self, outcome: AttemptOutcome) -> Option<StartedStream> {
        let second = self.second.take()?;
        second.record(&mut self.record, &outcome);
        self.second_after = clock::now() + hedging::RETRY_INTERVAL;
        match outcome {
            AttemptOutcome::Started(started) => Some(*started),
            _ => None,
        }
    }

    /// Resumes the stream at another upstream. On failure returns the reason.
    async fn resume(&mut self) -> Result<StartedStream, &'static str> {
        let second = self.second.take();
        let mut is_second = second.is_some();
        let mut race = Race::resume(self.dispatch.clone(), self.last_event_id(), second);
        let mut why = "the upstream broke off";
        loop {
            if self.dispatch.req.remaining().is_zero() {
                return Err("the time is over");
            }
            if race.is_over() {
                if !self.dispatch.allows_another() {
                    return Err(why);
                }
                race.retry();
            }
            why = match race.next(&mut self.record).await {
                AttemptOutcome::Started(started) => {
                    race.cancel_others(&mut self.record);
                    return Ok(*started);
                }
                // Upstreams that exited together are found one by one; none of them counts as an attempt.
                AttemptOutcome::Unreached => "no upstream can be reached",
                // A second attempt didn't wait for a slot, or another attempt goes on.
                AttemptOutcome::NotSent(_) if is_second || !race.is_over() => why,
                AttemptOutcome::NotSent(Refusal::NotTaken(_)) => return Err("no retry is left"),
                AttemptOutcome::NotSent(_) => return Err("no upstream can go on"),
                _ => "no upstream went on",
            };
            is_second = false;
        }
    }
}

/// Waits for the outcome of an attempt; for ever if there is none.
async fn next_outcome(attempt: &mut Option<Attempt>) -> AttemptOutcome {
    match attempt {
        Some(attempt) => (&mut attempt.outcome).await,
        None => std::future::pending().await,
    }
}

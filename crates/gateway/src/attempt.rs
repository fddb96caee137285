//! One attempt of a request at an upstream, from the wait for a slot to the response.
//!
//! An attempt is polled by the request that it belongs to, so it is cancelled, and its connection closed, when it is
//! dropped. A second one may run beside the first, see [`decide::hedging`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::http::response;
use log::debug;
use web::{Response, full};

use crate::Cx;
use crate::activity::Activity;
use crate::dispatch::Dispatch;
use crate::events::EventBuffer;
use crate::loss::{self, ResponseLoss, UpstreamOutcome};
use crate::record::RequestRecord;
use crate::refusal::Refusal;
use crate::relay::{EventSource, Item};
use crate::request::RoutedRequest;
use crate::send::{SendOutcome, UpstreamResponse, read_to_end, record_health, send};
use crate::spans::Span;
use crate::upstream::{Health, Slot, Upstream};

/// Log prefix of this part.
const PART: &str = "attempt";

/// Result of an attempt.
pub(crate) enum AttemptOutcome {
    /// The first event of a stream has arrived.
    Started(Box<StartedStream>),
    /// The complete response has arrived.
    Response(Response),
    /// The upstream wasn't sent the request, for want of a slot or by a limit.
    NotSent(Refusal),
    /// No connection could be established, or the upstream stopped accepting requests meanwhile.
    Unreached,
    /// The upstream rejected the request; it has certainly not run there.
    NotRun,
    /// The request may have run, without a response.
    Lost(ResponseLoss, UpstreamOutcome),
}

impl AttemptOutcome {
    /// Returns the short name for logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            AttemptOutcome::Started(_) | AttemptOutcome::Response(_) => "answer",
            AttemptOutcome::NotSent(_) => "not_sent",
            AttemptOutcome::Unreached => "unreached",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Lost(_, outcome) => outcome.name(),
        }
    }

    /// Returns the result of a second attempt with this outcome, for metrics.
    pub(crate) fn second_result(&self) -> &'static str {
        match self {
            AttemptOutcome::Response(res) if res.status().is_server_error() => "failed",
            AttemptOutcome::Started(_) | AttemptOutcome::Response(_) => "won",
            AttemptOutcome::NotSent(_) => "not_sent",
            _ => "failed",
        }
    }
}

/// Stream whose first event has arrived.
pub(crate) struct StartedStream {
    /// Head of the response.
    pub(crate) head: response::Parts,
    /// First events; empty if the stream has ended without any.
    pub(crate) first: Bytes,
    /// Source of the events that follow.
    pub(crate) source: EventSource,
}

/// How an attempt relates to the others of its request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum AttemptKind {
    /// The first one, which waits for a slot as long as a request may be queued.
    First,
    /// One after all others have failed, which waits for a slot for this time.
    Retry(Duration),
    /// One beside a silent upstream, which doesn't wait for a slot, and isn't made at an ejected or silent upstream.
    Second,
}

/// Attempt in progress.
pub(crate) struct Attempt {
    /// Activity of its connection.
    pub(crate) activity: Arc<Activity>,
    /// Completes with the attempt.
    pub(crate) outcome: BoxFuture<'static, AttemptOutcome>,
}

impl Attempt {
    /// Begins an attempt at an upstream that wasn't tried yet. A stream is resumed after `last_event_id`.
    pub(crate) fn begin(
        dispatch: &Arc<Dispatch>,
        last_event_id: Option<String>,
        kind: AttemptKind,
    ) -> Attempt {
        let activity = Arc::new(Activity::default());
        let outcome = run(dispatch.clone(), activity.clone(), last_event_id, kind);
        Attempt {
            activity,
            outcome: Box::pin(outcome),
        }
    }

    /// Cancels the attempt because another one serves the request.
    pub(crate) fn cancel(self, record: &mut RequestRecord) {
        if let Some(upstream) = self.upstream() {
            record.record_attempt(&upstream.instance, "cancelled");
        }
    }

    /// Adds the attempt's outcome to the record of its request.
    pub(crate) fn record(&self, record: &mut RequestRecord, outcome: &AttemptOutcome) {
        if let Some(upstream) = self.upstream() {
            record.record_attempt(&upstream.instance, outcome.name());
        }
    }

    /// Returns the upstream, if the attempt has a slot.
    fn upstream(&self) -> Option<Arc<Upstream>> {
        self.activity.upstream()
    }
}

async fn run(
    dispatch: Arc<Dispatch>,
    activity: Arc<Activity>,
    last_event_id: Option<String>,
    kind: AttemptKind,
) -> AttemptOutcome {
    let (cx, req) = (&dispatch.cx, &dispatch.req);
    let slot = match dispatch.acquire_slot(kind).await {
        Ok(slot) => slot,
        Err(refusal) => return AttemptOutcome::NotSent(refusal),
    };
    activity.start(slot.upstream());
    dispatch.record_sent(slot.upstream());
    let sent = send(cx, req, &slot, last_event_id.as_deref(), &activity).await;
    let instance = &slot.upstream().instance;
    let result = match sent {
        SendOutcome::Unreached(why) => {
            debug!(target: PART, "{PART}: event=unreachable id={} upstream={instance} why=\"{why}\"", req.metadata.attempt_id);
            dispatch.record_unreachable();
            return AttemptOutcome::Unreached;
        }
        SendOutcome::NotRun(why) => {
            debug!(target: PART, "{PART}: event=not_run id={} upstream={instance} why=\"{why}\"", req.metadata.attempt_id);
            return AttemptOutcome::NotRun;
        }
        SendOutcome::Lost(loss) => Err(loss),
        SendOutcome::Response(response) if is_stream(req, &response) => {
            read_first_events(req, *response, slot, &activity, last_event_id).await
        }
        SendOutcome::Response(response) => read_response(cx, req, &slot, *response).await,
    };
    match result {
        Ok(outcome) => outcome,
        Err(loss) => {
            let outcome = loss::record(cx, req, &activity, &loss).await;
            AttemptOutcome::Lost(loss, outcome)
        }
    }
}

fn is_stream(req: &RoutedRequest, response: &UpstreamResponse) -> bool {
    req.route.kind.is_stream() && response.head.status.is_success()
}

async fn read_first_events(
    req: &RoutedRequest,
    response: UpstreamResponse,
    slot: Slot,
    activity: &Arc<Activity>,
    last_event_id: Option<String>,
) -> Result<AttemptOutcome, ResponseLoss> {
    let UpstreamResponse {
        head,
        body,
        connection,
    } = response;
    let events = EventBuffer::resumed_after(last_event_id);
    let mut source = EventSource::new(body, connection, slot, events, activity.clone());
    let started = clock::now();
    let item = source.next(req.deadline).await;
    req.spans.add(Span::FirstEvent, started);
    let first = match item {
        Item::Events(first) => first,
        Item::End => Bytes::new(),
        Item::Lost(loss) => return Err(loss),
    };
    record_health(source.upstream(), Health::Answered);
    Ok(AttemptOutcome::Started(Box::new(StartedStream {
        head,
        first,
        source,
    })))
}

/// Reads a response to its end, so that an incomplete one is never relayed as complete.
async fn read_response(
    cx: &Cx,
    req: &RoutedRequest,
    slot: &Slot,
    response: UpstreamResponse,
) -> Result<AttemptOutcome, ResponseLoss> {
    let UpstreamResponse {
        head,
        body,
        connection,
    } = response;
    let buf = read_to_end(body, req.remaining()).await;
    drop(connection);
    let buf = buf?;
    let status = head.status.as_u16();
    // These statuses promise that the request has not run. If the upstream had stated so, the response would have
    // been a rejection (`SendOutcome::NotRun`); without that statement the status isn't relayed.
    if matches!(status, 408 | 429 | 503) && !req.is_retryable() {
        return Err(ResponseLoss::AmbiguousStatus(status));
    }
    if !head.status.is_server_error() {
        record_health(slot.upstream(), Health::Answered);
        cx.suspects.record_completion(req);
    }
    let mut res = Response::new(full(buf));
    *res.status_mut() = head.status;
    *res.headers_mut() = (cx.codec.response_headers)(&head.headers);
    Ok(AttemptOutcome::Response(res))
}

//! One attempt of a request at an upstream, from the wait for a slot to the response.
//!
//! An attempt is polled by the request that it belongs to, so it is cancelled, and its connection closed, when it is
//! dropped. A second one may run beside the first, see [`decide::hedging`].

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
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
use crate::send::{
    SendOutcome, UpstreamResponse, begin_by, ends_with_connection, read_to_end, record_health, send,
};
use crate::spans::Span;
use crate::upstream::{Health, Slot, Upstream};

/// Log prefix of this part.
const PART: &str = "attempt";

/// Maximum time between two checks of the deadline and of the released versions.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

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
    fn second_result(&self) -> &'static str {
        match self {
            AttemptOutcome::Response(res) if is_failure(res) => "failed",
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
    /// Slot at the upstream.
    pub(crate) slot: Slot,
}

/// How an attempt relates to the others of its request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum AttemptKind {
    /// The first one, which waits for a slot as long as a request may be queued.
    First,
    /// One after all others have failed, which waits for a slot for this time.
    Retry(Duration),
    /// One after the version at the last upstream became too old to begin the request, which waits for an upstream that
    /// has switched.
    Switched,
    /// One beside a silent upstream, which doesn't wait for a slot, and isn't made at an ejected or silent upstream.
    Second,
}

/// Attempt in progress.
pub(crate) struct Attempt {
    kind: AttemptKind,
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
            kind,
            activity,
            outcome: Box::pin(outcome),
        }
    }

    /// Cancels the attempt because another one serves the request.
    pub(crate) fn cancel(self, record: &mut RequestRecord) {
        self.count("not_needed");
        if let Some(upstream) = self.upstream() {
            record.record_attempt(&upstream.instance, "cancelled");
        }
    }

    /// Adds the attempt's outcome to the record of its request.
    pub(crate) fn record(&self, record: &mut RequestRecord, outcome: &AttemptOutcome) {
        self.count(outcome.second_result());
        if let Some(upstream) = self.upstream() {
            record.record_attempt(&upstream.instance, outcome.name());
        }
    }

    /// Counts the result if this is a second attempt.
    fn count(&self, result: &'static str) {
        if self.is_second() {
            metrics::counter!("driftnotch_second_attempts_total", "result" => result).increment(1);
        }
    }

    /// Returns whether it was begun beside a silent upstream.
    pub(crate) fn is_second(&self) -> bool {
        matches!(self.kind, AttemptKind::Second)
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
    let mut slot = match dispatch.acquire_slot(kind).await {
        Ok(slot) => slot,
        Err(refusal) => return AttemptOutcome::NotSent(refusal),
    };
    activity.start(slot.upstream());
    dispatch.record_sent(slot.upstream());
    let has_begun = AtomicBool::new(false);
    let result = tokio::select! {
        biased;
        result = exchange(&dispatch, &slot, &activity, last_event_id, &has_begun) => result,
        loss = wait_for_limit(cx, req, &slot, &has_begun) => Err(loss),
    };
    let (id, instance) = (&req.metadata.attempt_id, &slot.upstream().instance);
    match result {
        Ok(Exchanged::Stream {
            head,
            first,
            source,
        }) => {
            slot.record_first_event();
            record_health(slot.upstream(), Health::Answered);
            AttemptOutcome::Started(Box::new(StartedStream {
                head,
                first,
                source,
                slot,
            }))
        }
        Ok(Exchanged::Response(res)) => AttemptOutcome::Response(res),
        Ok(Exchanged::NotRun(why)) => {
            debug!(target: PART, "{PART}: event=not_run id={id} upstream={instance} why=\"{why}\"");
            AttemptOutcome::NotRun
        }
        Ok(Exchanged::Unreached(why)) => {
            debug!(target: PART, "{PART}: event=unreachable id={id} upstream={instance} why=\"{why}\"");
            dispatch.record_unreachable();
            AttemptOutcome::Unreached
        }
        Err(loss) => {
            let outcome = loss::record(cx, req, slot.upstream(), &activity, &loss).await;
            AttemptOutcome::Lost(loss, outcome)
        }
    }
}

/// Waits until the response may no longer be awaited, and returns why: the deadline has passed, or the request hasn't
/// begun and the version of the weights is too old to begin it now. Both are checked at intervals, since timers rest
/// while the VM is suspended, and a version may be released at any time.
async fn wait_for_limit(
    cx: &Cx,
    req: &RoutedRequest,
    slot: &Slot,
    has_begun: &AtomicBool,
) -> ResponseLoss {
    loop {
        let now = clock::now();
        let begin_by = begin_by(cx, req, slot).filter(|_| !has_begun.load(Relaxed));
        if now >= req.deadline {
            return ResponseLoss::TimedOut;
        }
        if begin_by.is_some_and(|at| now >= at) {
            return ResponseLoss::Outdated;
        }
        let limit = begin_by.map_or(req.deadline, |at| at.min(req.deadline));
        clock::sleep_until(limit.min(now + RECHECK_INTERVAL)).await;
    }
}

/// What came of a request that wasn't lost.
enum Exchanged {
    Stream {
        head: response::Parts,
        first: Bytes,
        source: EventSource,
    },
    Response(Response),
    NotRun(String),
    Unreached(String),
}

/// Sends a request, and waits for the first events of a stream or else the complete response.
async fn exchange(
    dispatch: &Dispatch,
    slot: &Slot,
    activity: &Arc<Activity>,
    last_event_id: Option<String>,
    has_begun: &AtomicBool,
) -> Result<Exchanged, ResponseLoss> {
    let (cx, req) = (&dispatch.cx, &dispatch.req);
    let response = match send(cx, req, slot, last_event_id.as_deref(), activity).await {
        SendOutcome::Response(response) => *response,
        SendOutcome::Unreached(why) => return Ok(Exchanged::Unreached(why)),
        SendOutcome::NotRun(why) => return Ok(Exchanged::NotRun(why)),
        SendOutcome::Lost(loss) => return Err(loss),
    };
    if !is_stream(req, &response) {
        has_begun.store(true, Relaxed);
        return read_response(cx, req, slot, response).await;
    }
    let UpstreamResponse {
        head,
        body,
        connection,
    } = response;
    let events = EventBuffer::resumed_after(last_event_id);
    let mut source = EventSource::new(cx, &head, body, connection, events, activity.clone());
    let started = clock::now();
    let item = source.next().await;
    req.spans.add(Span::FirstEvent, started);
    let first = match item {
        Item::Events(first) => first,
        Item::End => Bytes::new(),
        Item::Lost(loss) => return Err(loss),
    };
    Ok(Exchanged::Stream {
        head,
        first,
        source,
    })
}

fn is_stream(req: &RoutedRequest, response: &UpstreamResponse) -> bool {
    req.route.kind.is_stream() && response.head.status.is_success()
}

/// Reads a response to its end, so that an incomplete one is never relayed as complete.
async fn read_response(
    cx: &Cx,
    req: &RoutedRequest,
    slot: &Slot,
    response: UpstreamResponse,
) -> Result<Exchanged, ResponseLoss> {
    let UpstreamResponse {
        head,
        body,
        connection,
    } = response;
    let may_be_cut = head.status.is_success() && ends_with_connection(&head, &body);
    let buf = read_to_end(body, cx.memory.share()).await;
    drop(connection);
    let buf = buf?;
    if may_be_cut && loss::has_exited(slot.upstream()).await {
        return Err(ResponseLoss::Exited);
    }
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
    Ok(Exchanged::Response(res))
}

/// Returns whether a response leaves it to another attempt to serve the request.
pub(crate) fn is_failure(res: &Response) -> bool {
    res.status().is_server_error()
}

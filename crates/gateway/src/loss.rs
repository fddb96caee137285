//! Lost responses, whether the upstream exited with them, and silent upstreams.
//!
//! A connection that breaks off looks the same whether the upstream exited, cut off a single response, or the network
//! failed. A connection opened right afterwards tells these cases apart: if the process has exited and its VM is still
//! up, the connection is refused at once. If the VM is down as well, or the process has already restarted, only the
//! platform's list shows the exit.
//!
//! The system closes the connections of a process that has exited like those of one that has sent all. A response without
//! a length ends with its connection, so it is complete only if its upstream hasn't exited.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use decide::hedging::Silence;
use displaydoc::Display;
use log::info;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::Cx;
use crate::activity::Activity;
use crate::request::RoutedRequest;
use crate::send::record_health;
use crate::suspects::LostResponse;
use crate::upstream::{Health, Upstream};

/// Log prefix of this part.
const PART: &str = "loss";

/// Timeout of the connection that probes whether an upstream has exited. A round trip between failure domains takes
/// 6 ms; if connecting takes much longer, the VM or the link is down, which proves nothing about the process.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Time in which an exiting process closes all of its sockets. A retry after a response that broke off while its
/// upstream is alive is delayed by this time.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(10);

/// Reason why a request that was sent got no complete response. The texts are part of response bodies.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
pub enum ResponseLoss {
    /// the connection broke off: {0}
    Disconnected(String),
    /// the time for it was over
    TimedOut,
    /// the answer belongs to another request
    WrongAttempt,
    /// the answer isn't signed
    Unsigned,
    /// status {0} without a refusal
    AmbiguousStatus(u16),
    /// the version of the weights there became too old to begin it
    Outdated,
    /// its {0} didn't end within {1} bytes
    TooLarge(&'static str, usize),
    /// the upstream exited, which ended the connection
    Exited,
}

impl std::error::Error for ResponseLoss {}

impl ResponseLoss {
    /// Returns the short name for metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            ResponseLoss::Disconnected(_) => "disconnected",
            ResponseLoss::TimedOut => "timed_out",
            ResponseLoss::WrongAttempt => "wrong_attempt",
            ResponseLoss::Unsigned => "unsigned",
            ResponseLoss::AmbiguousStatus(_) => "status",
            ResponseLoss::Outdated => "outdated",
            ResponseLoss::TooLarge(..) => "too_large",
            ResponseLoss::Exited => "exited",
        }
    }
}

/// State of an upstream after a response of it was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpstreamOutcome {
    /// No process listens at its address any more.
    Exited,
    /// The deadline passed while the connection was open.
    TimedOut,
    /// The gateway cancelled the request because the upstream may no longer begin it.
    Outdated,
    /// The upstream is alive, or its state is unknown.
    Unknown,
}

impl UpstreamOutcome {
    /// Returns the short name for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            UpstreamOutcome::Exited => "ended",
            UpstreamOutcome::TimedOut => "timed_out",
            UpstreamOutcome::Outdated => "outdated",
            UpstreamOutcome::Unknown => "broke",
        }
    }
}

/// Records that an upstream's response was lost, and probes whether the upstream has exited.
pub(crate) async fn record(
    cx: &Cx,
    req: &RoutedRequest,
    upstream: &Arc<Upstream>,
    activity: &Activity,
    loss: &ResponseLoss,
) -> UpstreamOutcome {
    let outcome = match loss {
        ResponseLoss::Exited => UpstreamOutcome::Exited,
        ResponseLoss::Disconnected(_) if has_exited(upstream).await => UpstreamOutcome::Exited,
        ResponseLoss::TimedOut => UpstreamOutcome::TimedOut,
        ResponseLoss::Outdated => UpstreamOutcome::Outdated,
        _ => UpstreamOutcome::Unknown,
    };
    match (outcome, loss) {
        (UpstreamOutcome::Exited, _) => {
            record_health(upstream, Health::Unreachable);
            info!(
                target: PART,
                "{PART}: event=upstream_ended upstream={} addr={} request={} parts={} route={} id={} why=\"{loss}\"",
                upstream.instance, upstream.addr, req.fingerprint(), req.metadata.shared_parts.join(","), req.route.name, req.metadata.attempt_id,
            );
            cx.suspects
                .record_exit(&LostResponse::of(req, activity), upstream);
        }
        // A deadline that passes within the objective shows nothing about the upstream.
        (UpstreamOutcome::TimedOut, _) if activity.silence() >= req.route.objective => {
            record_silence(cx, req, activity);
        }
        (UpstreamOutcome::TimedOut, _) => {}
        // A server error was already recorded as a failure when its head arrived.
        (UpstreamOutcome::Unknown, ResponseLoss::AmbiguousStatus(_)) => {}
        (UpstreamOutcome::Outdated, _) => {}
        (UpstreamOutcome::Unknown, _) => {
            record_health(upstream, Health::Failed);
            cx.suspects
                .record_lost_response(LostResponse::of(req, activity), upstream);
        }
    }
    metrics::counter!("driftnotch_lost_answers_total", "upstream" => outcome.name(), "why" => loss.name())
        .increment(1);
    outcome
}

/// Records that an upstream is silent on a request that is still open. If it is silent on all of its requests, others
/// are sent elsewhere until bytes arrive from it again; if it serves others meanwhile, it has failed this one. Returns
/// the upstream, unless the silence was recorded before.
pub(crate) fn record_silence(
    cx: &Cx,
    req: &RoutedRequest,
    activity: &Activity,
) -> Option<Arc<Upstream>> {
    let (upstream, silence, shown) = activity.report_silence()?;
    let of = match shown {
        Silence::Request => {
            record_health(&upstream, Health::Failed);
            "request"
        }
        Silence::Upstream => {
            if upstream.record_silence(clock::now()) {
                info!(
                    target: PART,
                    "{PART}: event=silent upstream={} addr={} silence_ms={}",
                    upstream.instance, upstream.addr, silence.as_millis(),
                );
            }
            "upstream"
        }
    };
    // The platform's list may show later that it exited under the request.
    cx.suspects
        .record_lost_response(LostResponse::of(req, activity), &upstream);
    metrics::counter!("driftnotch_silences_total", "of" => of).increment(1);
    Some(upstream)
}

/// Returns whether an upstream refuses a connection, or closes it at once and refuses the next one: an exiting
/// process closes its sockets one after the other, and its listener may be the last.
pub(crate) async fn has_exited(upstream: &Upstream) -> bool {
    match probe(upstream).await {
        Probe::Refused => true,
        Probe::Unknown => false,
        Probe::Connected(stream) => {
            is_closed_at_once(stream).await && matches!(probe(upstream).await, Probe::Refused)
        }
    }
}

/// Result of a probe connection.
enum Probe {
    Connected(TcpStream),
    Refused,
    Unknown,
}

async fn probe(upstream: &Upstream) -> Probe {
    let connecting = TcpStream::connect(upstream.addr);
    match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => Probe::Connected(stream),
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(_)) | Err(_) => Probe::Unknown,
    }
}

/// Returns whether a connection without a request is closed at once; an upstream that is alive waits for a request.
async fn is_closed_at_once(mut stream: TcpStream) -> bool {
    let mut buf = [0; 1];
    let read = tokio::time::timeout(CLOSE_TIMEOUT, stream.read(&mut buf)).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

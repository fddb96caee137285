//! Answers that were lost, and whether the upstream ended with them.
//!
//! A connection that breaks off looks the same whether the upstream ended, cut one answer off, or the network
//! did. A connection made right afterwards tells them apart: where a process has ended and its VM hasn't,
//! it's refused at once. Where the VM went too, or the process is back already, the platform's list tells.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use log::info;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::Cx;
use crate::request::RoutedRequest;
use crate::send::record_health;
use crate::upstream::{Health, Upstream};

/// Log prefix of this part.
const PART: &str = "loss";

/// Longest wait for a connection that tells whether an upstream has ended. One round trip between failure
/// domains takes 6 ms; what takes much longer is a VM or a link that is gone, of which nothing follows.
const PROBE_TIME: Duration = Duration::from_millis(50);

/// Time in which a process that ends closes all of its sockets. A retry after an answer that broke off while its
/// upstream lives comes so much later.
const CLOSING_TIME: Duration = Duration::from_millis(10);

/// Why no whole answer came of a request that was sent.
#[derive(Debug, Clone, Display, PartialEq, Eq)]
pub enum ResponseLoss {
    /// the connection broke off: {0}
    BrokeOff(String),
    /// the upstream fell silent
    Silent,
    /// the answer belongs to another request
    Foreign,
    /// the answer isn't signed
    Unsigned,
    /// status {0} without a refusal
    Unclear(u16),
}

impl std::error::Error for ResponseLoss {}

/// What became of an upstream whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    /// Nothing listens at its address any more.
    Ended,
    /// It lives, or nothing is known of it.
    Unknown,
}

impl Fate {
    /// Short name for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Fate::Ended => "ended",
            Fate::Unknown => "broke",
        }
    }
}

/// Notes that an upstream's answer to a request was lost, and finds out whether the upstream ended.
pub(crate) async fn note(
    cx: &Cx,
    job: &RoutedRequest,
    upstream: &Arc<Upstream>,
    loss: &ResponseLoss,
) -> Fate {
    let fate = match loss {
        ResponseLoss::BrokeOff(_) if refuses(upstream).await => Fate::Ended,
        _ => Fate::Unknown,
    };
    match (fate, loss) {
        (Fate::Ended, _) => {
            record_health(upstream, Health::Unreachable);
            info!(
                target: PART,
                "{PART}: event=upstream_ended upstream={} addr={} request={} route={} id={} why=\"{loss}\"",
                upstream.instance, upstream.addr, job.fingerprint(), job.route.name, job.metadata.attempt_id,
            );
            cx.suspects.record_exit(job, upstream);
        }
        // It was noted as a failure when it came.
        (Fate::Unknown, ResponseLoss::Unclear(_)) => {}
        (Fate::Unknown, _) => {
            record_health(upstream, Health::Failed);
            cx.suspects.record_lost_response(job, upstream);
        }
    }
    metrics::counter!("driftnotch_lost_answers_total", "upstream" => fate.name()).increment(1);
    fate
}

/// Whether a connection to an upstream is refused, or closed at once and then refused: a process that ends
/// closes its connections one after the other, and what it listens on may be the last.
async fn refuses(upstream: &Upstream) -> bool {
    match connect(upstream).await {
        Probe::Refused => true,
        Probe::Unknown => false,
        Probe::Connected(stream) => {
            closes(stream).await && matches!(connect(upstream).await, Probe::Refused)
        }
    }
}

/// What came of a connection made to find out.
enum Probe {
    Connected(TcpStream),
    Refused,
    Unknown,
}

async fn connect(upstream: &Upstream) -> Probe {
    let connecting = TcpStream::connect(upstream.addr);
    match tokio::time::timeout(PROBE_TIME, connecting).await {
        Ok(Ok(stream)) => Probe::Connected(stream),
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(_)) | Err(_) => Probe::Unknown,
    }
}

/// Whether a connection on which nothing was asked is closed at once; an upstream that lives waits for a
/// request.
async fn closes(mut stream: TcpStream) -> bool {
    let mut buf = [0; 1];
    let read = tokio::time::timeout(CLOSING_TIME, stream.read(&mut buf)).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

//! Paces weight traffic to keep the VM's link free for live requests.
//!
//! Weights use at most a configured share of the link, frame by frame. Traffic of requests counts against that share
//! and is never delayed.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use web::Body;

/// Size of a frame of weights, in bytes; small, since a response may be queued behind one frame.
pub const FRAME_BYTES: usize = 4 << 10;

/// Maximum time for which unused rate accumulates.
const MAX_SLACK: Duration = Duration::from_millis(20);

/// Rate limiter for weights on one direction of the VM's link.
#[derive(Debug)]
pub struct Pacer {
    rate: Option<f64>,
    free_at: Mutex<Instant>,
}

impl Pacer {
    /// Creates a pacer that gives weights `share` percent of a link of `link_rate` bytes a second. A `link_rate` of 0
    /// disables pacing.
    pub fn new(link_rate: u64, share: u64) -> Pacer {
        let rate = link_rate as f64 * share as f64 / 100.0;
        Pacer {
            rate: (link_rate > 0).then_some(rate),
            free_at: Mutex::new(clock::now()),
        }
    }

    fn free_at(&self) -> MutexGuard<'_, Instant> {
        self.free_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves the link for a number of bytes and returns when they may be sent; `None` without pacing.
    fn reserve(&self, bytes: usize) -> Option<Instant> {
        let rate = self.rate?;
        let now = clock::now();
        let mut free_at = self.free_at();
        let start = (*free_at).max(now.checked_sub(MAX_SLACK).unwrap_or(now));
        *free_at = start + Duration::from_secs_f64(bytes as f64 / rate);
        Some(start)
    }

    /// Records bytes of a request or its response.
    pub fn record_request(&self, bytes: usize) {
        self.reserve(bytes);
    }

    /// Waits until a number of bytes of weights may be sent.
    pub async fn wait_for_weights(&self, bytes: usize) {
        if let Some(at) = self.reserve(bytes) {
            clock::sleep_until(at).await;
        }
    }
}

/// Returns the body of a chunk, paced frame by frame; `guard` is dropped with it.
pub fn paced_body<T: Send + 'static>(
    buf: Bytes,
    guard: T,
    pacer: impl AsRef<Pacer> + Send + 'static,
) -> Body {
    let frames = stream::unfold((buf, guard, pacer), |(mut buf, guard, pacer)| async move {
        if buf.is_empty() {
            return None;
        }
        let frame = buf.split_to(buf.len().min(FRAME_BYTES));
        pacer.as_ref().wait_for_weights(frame.len()).await;
        Some((Ok(Frame::data(frame)), (buf, guard, pacer)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

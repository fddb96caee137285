//! Paces weight traffic so that live requests find the VM's link free.
//!
//! Weights may take a set share of the link, frame by frame. What requests take is counted too and
//! goes first: it shortens what is left for weights and waits for nothing itself.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use web::Body;

/// Bytes of weights sent at once; small, so that an answer waits behind little.
pub const FRAME_BYTES: usize = 4 << 10;

/// Time that unused pace is kept for.
const SLACK: Duration = Duration::from_millis(20);

/// One way of the VM's link.
#[derive(Debug)]
pub struct Pacer {
    rate: Option<f64>,
    free_at: Mutex<Instant>,
}

impl Pacer {
    /// Gives weights `share` percent of a link of `link` bytes a second; 0 paces nothing.
    pub fn new(link: u64, share: u64) -> Pacer {
        let rate = link as f64 * share as f64 / 100.0;
        Pacer {
            rate: (link > 0).then_some(rate),
            free_at: Mutex::new(clock::now()),
        }
    }

    fn free_at(&self) -> MutexGuard<'_, Instant> {
        self.free_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes up the link for so many bytes; returns when they may go.
    fn take(&self, bytes: usize) -> Option<Instant> {
        let rate = self.rate?;
        let now = clock::now();
        let mut free_at = self.free_at();
        let start = (*free_at).max(now.checked_sub(SLACK).unwrap_or(now));
        *free_at = start + Duration::from_secs_f64(bytes as f64 / rate);
        Some(start)
    }

    /// Notes bytes of a request or its answer.
    pub fn record_request(&self, bytes: usize) {
        self.take(bytes);
    }

    /// Waits until so many bytes of weights may go.
    pub async fn wait_for_weights(&self, bytes: usize) {
        if let Some(at) = self.take(bytes) {
            clock::sleep_until(at).await;
        }
    }
}

/// The body of a chunk, paced frame by frame; `held` is kept until its end.
pub fn paced_body<T: Send + 'static>(
    buf: Bytes,
    held: T,
    pacer: impl AsRef<Pacer> + Send + 'static,
) -> Body {
    let frames = stream::unfold((buf, held, pacer), |(mut buf, held, pacer)| async move {
        if buf.is_empty() {
            return None;
        }
        let frame = buf.split_to(buf.len().min(FRAME_BYTES));
        pacer.as_ref().wait_for_weights(frame.len()).await;
        Some((Ok(Frame::data(frame)), (buf, held, pacer)))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

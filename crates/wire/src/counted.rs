//! Byte counters of control links.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Metric of the bytes of control links.
const METRIC: &str = "driftnotch_control_bytes_total";

/// Byte counters of the control links of a process.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    received: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
}

impl Traffic {
    /// Returns the bytes received and sent.
    pub fn bytes(&self) -> (u64, u64) {
        let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (load(&self.received), load(&self.sent))
    }

    fn add_received(&self, n: u64) {
        self.received.fetch_add(n, Ordering::Relaxed);
        metrics::counter!(METRIC, "direction" => "received").increment(n);
    }

    fn add_sent(&self, n: u64) {
        self.sent.fetch_add(n, Ordering::Relaxed);
        metrics::counter!(METRIC, "direction" => "sent").increment(n);
    }
}

/// Stream that counts its bytes.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    traffic: Traffic,
}

impl<S> CountedStream<S> {
    /// Wraps a stream, whose bytes are added to `traffic`.
    pub fn new(stream: S, traffic: Traffic) -> CountedStream<S> {
        CountedStream { stream, traffic }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.traffic
            .add_received((buf.filled().len() - before) as u64);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = polled {
            self.traffic.add_sent(n as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

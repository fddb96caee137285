//! Stream of a server's connection: bounds the time without a request, and closes without destroying the last response.
//!
//! `hyper` closes a connection as soon as it has written the response to a request that it didn't read to its end. A
//! socket that is closed with unread bytes resets the connection, and the reset discards what the peer hasn't read of
//! the response. [`CallerStream`] therefore goes on reading after the end of the response, within bounds.
//!
//! The header timeout of `hyper` runs from the end of the previous response and can't be changed. [`CallerStream`]
//! reports an end of the stream instead, when [`Timeouts`] say so, and only if no byte of a request is there to read. It
//! does the same on shutdown: `hyper` closes an idle connection at once, without looking whether a request has come.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::task::AtomicWaker;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::{Body, BodyError, Request, StopSignal};

/// Maximum time for which a closed connection is read, so that the peer can read its response.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 16 << 10;

/// Time limits of connections, which may change while they are open.
pub trait Timeouts: Send + Sync + 'static {
    /// Returns for how long a connection may rest that has had no request since an instant of [`clock::now`].
    fn idle_timeout(&self, since: Instant) -> Duration;

    /// Returns the time for a request head whose first byte came at an instant.
    fn head_timeout(&self, since: Instant) -> Duration;
}

/// What the service of a connection tells its stream.
#[derive(Debug, Default)]
pub struct RequestState {
    /// Whether a request has no complete response yet.
    is_running: AtomicBool,
    /// Whether a part of the latest request wasn't read when its head had been.
    is_body_due: AtomicBool,
    /// Wakes the connection when a request ends: `hyper` then needn't read again, but the idle time begins.
    waker: AtomicWaker,
}

impl RequestState {
    /// Records a request whose head was read. The guard belongs into the response's body, by [`GuardedBody`].
    pub fn begin(self: &Arc<Self>, req: &Request) -> RequestGuard {
        self.is_body_due.store(!req.body().is_end_stream(), Relaxed);
        self.is_running.store(true, Relaxed);
        RequestGuard(self.clone())
    }
}

/// Marks a request as running until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<RequestState>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.is_running.store(false, Relaxed);
        self.0.waker.wake();
    }
}

/// Body of a response that keeps its request marked as running.
#[derive(Debug)]
pub struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G> GuardedBody<G> {
    /// Wraps a body.
    pub fn new(body: Body, guard: G) -> GuardedBody<G> {
        GuardedBody {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> HttpBody for GuardedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// The first byte of a request, since an instant.
    Idle(Instant),
    /// The rest of a request head, since its first byte.
    Head(Instant),
    /// A response, or the rest of a request body.
    Request,
    /// Nothing: the peer has closed, or a timeout has passed.
    Ended,
}

/// State of the close of a connection.
enum Close {
    Open,
    Lingering(Pin<Box<Sleep>>),
    Done,
}

async fn wait_for_shutdown(mut shutdown: StopSignal) {
    // Without a sender, the server is gone.
    let _ = shutdown.wait_for(|stopping| *stopping).await;
}

/// Stream of one connection.
pub struct CallerStream<T> {
    stream: TcpStream,
    timeouts: Arc<T>,
    state: Arc<RequestState>,
    phase: Phase,
    timer: Option<Pin<Box<Sleep>>>,
    /// Completes on shutdown; `None` from then on.
    shutdown: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    close: Close,
    /// Whether nothing was read since bytes were written: `hyper` has stopped reading.
    is_unread_since_write: bool,
    /// Number of bytes that may still be discarded.
    discard_left: usize,
}

impl<T: Timeouts> CallerStream<T> {
    /// Wraps a stream, of which at most `max_discarded` bytes are read after its last response. It ends when it is idle
    /// and `shutdown` is true.
    pub fn new(
        stream: TcpStream,
        timeouts: Arc<T>,
        max_discarded: usize,
        shutdown: StopSignal,
    ) -> CallerStream<T> {
        CallerStream {
            stream,
            timeouts,
            state: Arc::default(),
            phase: Phase::Idle(clock::now()),
            timer: None,
            shutdown: Some(Box::pin(wait_for_shutdown(shutdown))),
            close: Close::Open,
            is_unread_since_write: false,
            discard_left: max_discarded,
        }
    }

    /// Returns the state of its requests, for the service.
    pub fn request_state(&self) -> Arc<RequestState> {
        self.state.clone()
    }

    fn record_read(&mut self, n: usize) {
        if n == 0 {
            self.phase = Phase::Ended;
        } else if !self.state.is_running.load(Relaxed) && !matches!(self.phase, Phase::Head(_)) {
            self.phase = Phase::Head(clock::now());
            // Until the service has the request, none of it counts as read.
            self.state.is_body_due.store(true, Relaxed);
        }
    }

    /// Completes on shutdown.
    fn poll_shut_down(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(shutdown) = &mut self.shutdown {
            ready!(shutdown.as_mut().poll(cx));
            self.shutdown = None;
        }
        Poll::Ready(())
    }

    /// Completes when the time of the current phase has passed, or on shutdown if it is idle.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.state.is_running.load(Relaxed) {
                self.phase = Phase::Request;
                self.timer = None;
                self.state.waker.register(cx.waker());
                return Poll::Pending;
            }
            let is_idle = matches!(self.phase, Phase::Idle(_));
            if is_idle && self.poll_shut_down(cx).is_ready() {
                self.phase = Phase::Ended;
            }
            let (since, timeout) = match self.phase {
                Phase::Request => {
                    self.phase = Phase::Idle(clock::now());
                    continue;
                }
                Phase::Idle(since) => (since, self.timeouts.idle_timeout(since)),
                Phase::Head(since) => (since, self.timeouts.head_timeout(since)),
                Phase::Ended => return Poll::Ready(()),
            };
            let left = timeout.saturating_sub(clock::since(since));
            if left.is_zero() {
                self.phase = Phase::Ended;
                return Poll::Ready(());
            }
            let mut timer = Box::pin(tokio::time::sleep(left));
            let is_elapsed = timer.as_mut().poll(cx).is_ready();
            self.timer = Some(timer);
            if !is_elapsed {
                return Poll::Pending;
            }
        }
    }

    /// Returns whether bytes of a request that already has its response may be unread.
    fn has_unread_request(&self) -> bool {
        let is_due = self.state.is_body_due.load(Relaxed);
        self.is_unread_since_write && is_due && !matches!(self.phase, Phase::Ended)
    }

    /// Discards what arrives until the peer closes or a bound is reached.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut buf = [0; DISCARD_BYTES];
        while self.discard_left > 0 {
            let mut buf = ReadBuf::new(&mut buf);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            let n = buf.filled().len();
            if read.is_err() || n == 0 {
                return Poll::Ready(());
            }
            self.discard_left = self.discard_left.saturating_sub(n);
        }
        Poll::Ready(())
    }
}

impl<T: Timeouts> AsyncRead for CallerStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        this.is_unread_since_write = false;
        let before = buf.filled().len();
        match Pin::new(&mut this.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => {
                this.record_read(buf.filled().len() - before);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            // Without any byte, this reports the end of the stream.
            Poll::Pending => this.poll_timeout(cx).map(Ok),
        }
    }
}

impl<T: Timeouts> AsyncWrite for CallerStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let this = self.get_mut();
        this.record_write(cx);
        Pin::new(&mut this.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let this = self.get_mut();
        this.record_write(cx);
        Pin::new(&mut this.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        loop {
            match &mut this.close {
                Close::Open => {
                    ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
                    this.close = match this.has_unread_request() {
                        true => Close::Lingering(Box::pin(tokio::time::sleep(LINGER_TIME))),
                        false => Close::Done,
                    };
                }
                Close::Lingering(timer) => {
                    let is_elapsed = timer.as_mut().poll(cx).is_ready();
                    if !is_elapsed {
                        ready!(this.poll_discard(cx));
                    }
                    this.close = Close::Done;
                }
                Close::Done => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl<T> CallerStream<T> {
    fn record_write(&mut self, cx: &Context<'_>) {
        self.is_unread_since_write = true;
        self.state.waker.register(cx.waker());
        if !matches!(self.phase, Phase::Ended) {
            self.phase = Phase::Request;
        }
    }
}

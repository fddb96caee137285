//! Request and response bodies, and bounded reads of them.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};

/// Body of an outgoing request or response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body could not be read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the body is larger than {0} bytes; send less
    TooLarge(usize),
    /// the body did not come within {0:?}; send it sooner
    TimedOut(Duration),
    /// the body broke off ({0}); send it again
    Broken(hyper::Error),
    /// the body was cut off: {0}
    Interrupted(&'static str),
    /// there is no memory for {0} bytes of the body; send less, or later
    NoMemory(usize),
}

impl std::error::Error for BodyError {}

/// Creates a body from a buffer.
pub fn full(buf: impl Into<Bytes>) -> Body {
    Full::new(buf.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Reads a complete body of at most `limit` bytes, within a total time.
pub async fn read_body<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes, Error = hyper::Error>,
{
    let limited = Limited::new(body, limit);
    let collected = match tokio::time::timeout(timeout, limited.collect()).await {
        Ok(collected) => collected,
        Err(_) => return Err(BodyError::TimedOut(timeout)),
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Err(e) => match e.downcast::<hyper::Error>() {
            Ok(e) => Err(BodyError::Broken(*e)),
            Err(_) => Err(BodyError::Interrupted("the peer closed")),
        },
    }
}

/// Reads a complete body of at most `limit` bytes. `reserve` is called with the number of bytes that the body will take up,
/// as announced or else before the buffer grows, and returns whether there is memory for them.
pub async fn read_with_memory<B>(
    body: B,
    limit: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Vec<u8>, BodyError>
where
    B: hyper::body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut body = body;
    let announced = body.size_hint().exact();
    let mut reserved = announced.map_or(0, |n| usize::try_from(n).unwrap_or(usize::MAX));
    if reserved > limit {
        return Err(BodyError::TooLarge(limit));
    }
    if !reserve(reserved) {
        return Err(BodyError::NoMemory(reserved));
    }
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let needed = buf.len() + data.len();
        if needed > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if needed > reserved {
            reserved = needed.max(2 * reserved);
            if !reserve(reserved) {
                return Err(BodyError::NoMemory(reserved));
            }
        }
        if needed > buf.capacity() {
            // The announced length isn't allocated in advance, since the body may end long before.
            let capacity = needed.max(2 * buf.capacity()).min(reserved);
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(data);
    }
    Ok(buf)
}

/// Reads a complete body of at most `limit` bytes, and fails if none of it arrives for `idle_timeout`.
///
/// There is no bound on the total time, since a large body takes long on a slow link.
pub async fn read_with_idle_timeout<B>(
    body: B,
    limit: usize,
    idle_timeout: Duration,
) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut body = body;
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge(limit));
    }
    let mut buf = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(idle_timeout, body.frame()).await {
            Ok(Some(frame)) => frame.map_err(BodyError::Broken)?,
            Ok(None) => return Ok(buf.freeze()),
            Err(_) => return Err(BodyError::TimedOut(idle_timeout)),
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        buf.extend_from_slice(data);
    }
}

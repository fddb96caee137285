//! Bodies.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};

/// Body of a request to send or a response to give.
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
}

impl std::error::Error for BodyError {}

/// A body of known bytes.
pub fn full(buf: impl Into<Bytes>) -> Body {
    Full::new(buf.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// No body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Reads a body to its end, within a size and a time.
pub async fn read_body<B>(body: B, limit: usize, within: Duration) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes, Error = hyper::Error>,
{
    let limited = Limited::new(body, limit);
    let collected = match tokio::time::timeout(within, limited.collect()).await {
        Ok(collected) => collected,
        Err(_) => return Err(BodyError::TimedOut(within)),
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

/// Reads a body to its end, within a size, as long as some of it comes within each `pause`. A large body
/// on a narrow link takes its time; one that stops coming is given up.
pub async fn read_with_idle_timeout<B>(
    body: B,
    limit: usize,
    pause: Duration,
) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut body = body;
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge(limit));
    }
    let mut read = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout(pause, body.frame()).await {
            Ok(Some(frame)) => frame.map_err(BodyError::Broken)?,
            Ok(None) => return Ok(read.freeze()),
            Err(_) => return Err(BodyError::TimedOut(pause)),
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if read.len() + data.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        read.extend_from_slice(data);
    }
}

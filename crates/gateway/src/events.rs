//! Cuts the bytes of a stream into whole events.

use bytes::{Bytes, BytesMut};

use crate::request::EventId;

/// Bytes of a stream, whole events first.
#[derive(Debug, Default)]
pub struct Events {
    buf: BytesMut,
    last: Option<EventId>,
}

impl Events {
    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// All whole events that have come; `None` where there is none.
    pub fn take(&mut self) -> Option<Bytes> {
        let end = last_end(&self.buf)?;
        let whole = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Some(whole)
    }

    /// Id of the last event taken.
    pub fn last(&self) -> Option<&EventId> {
        self.last.as_ref()
    }

    /// Whether the bytes ended with a whole event.
    pub fn is_whole(&self) -> bool {
        self.buf.is_empty()
    }

    /// Forgets a part of an event.
    pub fn drop_part(&mut self) {
        self.buf.clear();
    }
}

/// Where the last whole event ends: after its empty line.
fn last_end(buf: &[u8]) -> Option<usize> {
    let by_feed = buf.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let by_return = buf
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|i| i + 4);
    by_feed.max(by_return)
}

fn last_id(whole: &[u8]) -> Option<EventId> {
    let text = std::str::from_utf8(whole).ok()?;
    let id = |line: &str| line.strip_prefix("id:").map(|id| id.trim().to_owned());
    text.lines().rev().find_map(id)
}

//! Splits the bytes of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

use crate::request::EventId;

/// Buffered bytes of a stream, complete events first.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    last_id: Option<EventId>,
}

impl EventBuffer {
    /// Creates an empty buffer for a stream that is resumed after an event.
    pub fn resumed_after(last_id: Option<EventId>) -> EventBuffer {
        EventBuffer {
            last_id,
            ..EventBuffer::default()
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns all complete events; `None` if there are none.
    pub fn take_complete(&mut self) -> Option<Bytes> {
        let end = end_of_last_event(&self.buf)?;
        let complete = self.buf.split_to(end).freeze();
        if let Some(id) = parse_last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns the last id among the events taken.
    pub fn last_id(&self) -> Option<&EventId> {
        self.last_id.as_ref()
    }

    /// Returns the number of buffered bytes. Once [`EventBuffer::take_complete`] has returned `None`, they are those of a
    /// partial event.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether no partial event is buffered.
    pub fn is_complete(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Returns the end of the last complete event, after its empty line.
fn end_of_last_event(buf: &[u8]) -> Option<usize> {
    let lf_end = buf.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let crlf_end = buf
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|i| i + 4);
    lf_end.max(crlf_end)
}

fn parse_last_id(complete: &[u8]) -> Option<EventId> {
    let text = std::str::from_utf8(complete).ok()?;
    let id = |line: &str| line.strip_prefix("id:").map(|id| id.trim().to_owned());
    text.lines().rev().find_map(id)
}

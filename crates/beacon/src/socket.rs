//! UDP socket that sends and receives messages.

use std::net::SocketAddr;
use std::sync::Arc;

use log::debug;
use tokio::net::UdpSocket;

use crate::Msg;

/// Log prefix of this part.
const PART: &str = "beacon";

/// Largest datagram sent, in bytes; fits into one packet on common links.
pub const MAX_DATAGRAM: usize = 1400;

/// Bytes reserved for the header of a list message: its kind and the number of items.
const LIST_HEADER_BYTES: usize = 8;

/// Largest datagram received, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// Socket for messages.
#[derive(Debug, Clone)]
pub struct Beacon {
    socket: Arc<UdpSocket>,
}

impl Beacon {
    /// Binds a socket to an address.
    pub async fn bind(addr: SocketAddr) -> std::io::Result<Beacon> {
        let socket = Arc::new(UdpSocket::bind(addr).await?);
        Ok(Beacon { socket })
    }

    /// Sends a message to each receiver. Errors are only logged: the next message carries the same state.
    pub fn send(&self, msg: &Msg, to: impl IntoIterator<Item = SocketAddr>) {
        let buf = match encode(msg) {
            Ok(buf) if buf.len() <= MAX_DATAGRAM => buf,
            Ok(buf) => {
                debug!(target: PART, "{PART}: event=dropped why=too_large bytes={}", buf.len());
                return;
            }
            Err(e) => {
                debug!(target: PART, "{PART}: event=dropped why=\"{e}\"");
                return;
            }
        };
        let mut sent = 0;
        for addr in to {
            match self.socket.try_send_to(&buf, addr) {
                Ok(_) => sent += 1,
                Err(e) => debug!(target: PART, "{PART}: event=dropped to={addr} why=\"{e}\""),
            }
        }
        let kind = msg.kind();
        metrics::counter!("driftnotch_datagrams_total", "kind" => kind).increment(sent);
        metrics::counter!("driftnotch_datagram_bytes_total", "kind" => kind)
            .increment(sent * buf.len() as u64);
    }

    /// Receives the next message and its sender; skips datagrams that can't be decoded.
    pub async fn recv(&self) -> (Msg, SocketAddr) {
        let mut buf = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let (n, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    // An earlier datagram was sent to a closed port; the socket itself still works.
                    debug!(target: PART, "{PART}: event=receive_failed why=\"{e}\"");
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            match decode(&buf[..n]) {
                Ok(msg) => return (msg, from),
                Err(e) => debug!(target: PART, "{PART}: event=dropped from={from} why=\"{e}\""),
            }
        }
    }
}

/// Splits items, in order, into messages that fit into one datagram each; `msg` makes a message of a list.
pub fn batch_messages<T: Clone>(items: Vec<T>, msg: fn(Vec<T>) -> Msg) -> Vec<Msg> {
    // Upper bound of an item's encoded size, since it includes a message header.
    let size = |item: &T| encode(&msg(vec![item.clone()])).map_or(MAX_DATAGRAM, |buf| buf.len());
    let mut messages = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = LIST_HEADER_BYTES;
    for item in items {
        let size = size(&item);
        if bytes + size > MAX_DATAGRAM && !batch.is_empty() {
            messages.push(msg(std::mem::take(&mut batch)));
            bytes = LIST_HEADER_BYTES;
        }
        bytes += size;
        batch.push(item);
    }
    if !batch.is_empty() {
        messages.push(msg(batch));
    }
    messages
}

/// Encodes a message as a datagram.
pub fn encode(msg: &Msg) -> postcard::Result<Vec<u8>> {
    let mut buf = postcard::to_stdvec(msg)?;
    if let Msg::Engine(status) = msg {
        buf = postcard::to_extend(&status.verified, buf)?;
    }
    if let Some(update) = msg.load_update() {
        buf = postcard::to_extend(&update.eras(), buf)?;
    }
    Ok(buf)
}

/// Decodes a datagram. One of an earlier release ends with its message.
pub fn decode(buf: &[u8]) -> postcard::Result<Msg> {
    let (mut msg, rest): (Msg, _) = postcard::take_from_bytes(buf)?;
    if rest.is_empty() {
        return Ok(msg);
    }
    if let Msg::Engine(status) = &mut msg {
        status.verified = postcard::from_bytes(rest)?;
    }
    if let Some(update) = msg.load_update_mut() {
        update.set_eras(postcard::from_bytes(rest)?);
    }
    Ok(msg)
}

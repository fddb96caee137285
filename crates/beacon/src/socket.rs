//! The socket that datagrams travel by.

use std::net::SocketAddr;
use std::sync::Arc;

use log::debug;
use tokio::net::UdpSocket;

use crate::Msg;

/// Log prefix of this part.
const PART: &str = "beacon";

/// Largest datagram sent, in bytes; below what one packet carries on common links.
pub const MAX_DATAGRAM: usize = 1400;

/// Bytes of a datagram with a list that hold no item: its kind and the number of items.
const LIST_HEAD: usize = 8;

/// Largest datagram taken, in bytes.
const RECEIVE_BUFFER: usize = 2048;

/// Sends and takes datagrams.
#[derive(Debug, Clone)]
pub struct Beacon {
    socket: Arc<UdpSocket>,
}

impl Beacon {
    /// Binds the socket.
    pub async fn bind(addr: SocketAddr) -> std::io::Result<Beacon> {
        let socket = Arc::new(UdpSocket::bind(addr).await?);
        Ok(Beacon { socket })
    }

    /// Sends a message to each receiver; one that can't be sent is dropped, for the next one
    /// states the same.
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

    /// The next message, and who sent it; passes over what is no message.
    pub async fn recv(&self) -> (Msg, SocketAddr) {
        let mut buf = [0; RECEIVE_BUFFER];
        loop {
            let (n, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    // An earlier datagram met a closed port; the socket itself is sound.
                    debug!(target: PART, "{PART}: event=receive_failed why=\"{e}\"");
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            match postcard::from_bytes(&buf[..n]) {
                Ok(msg) => return (msg, from),
                Err(e) => debug!(target: PART, "{PART}: event=dropped from={from} why=\"{e}\""),
            }
        }
    }
}

/// Items in as few datagrams as hold them, each datagram a message made by `msg`.
pub fn batch_messages<T: Clone>(items: Vec<T>, msg: fn(Vec<T>) -> Msg) -> Vec<Msg> {
    // Bytes that an item takes, beside the head of the datagram.
    let size = |item: &T| encode(&msg(vec![item.clone()])).map_or(MAX_DATAGRAM, |buf| buf.len());
    let mut packed = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = LIST_HEAD;
    for item in items {
        let size = size(&item);
        if bytes + size > MAX_DATAGRAM && !batch.is_empty() {
            packed.push(msg(std::mem::take(&mut batch)));
            bytes = LIST_HEAD;
        }
        bytes += size;
        batch.push(item);
    }
    if !batch.is_empty() {
        packed.push(msg(batch));
    }
    packed
}

/// A message as it travels.
pub fn encode(msg: &Msg) -> postcard::Result<Vec<u8>> {
    postcard::to_stdvec(msg)
}

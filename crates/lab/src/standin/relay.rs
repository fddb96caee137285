//! A relay on a TCP link that can cut it, stall it or slow it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes read at once.
const BUF: usize = 16 << 10;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// It carries.
    Up,
    /// Connections are closed, new ones too.
    Cut,
    /// Connections stay open and carry nothing.
    Stalled,
    /// Each read is passed on after a pause.
    Slow(Duration),
}

/// A relay.
#[derive(Debug, Clone)]
pub struct Relay {
    state: Arc<watch::Sender<LinkState>>,
}

impl Relay {
    /// Starts a relay from an address to another.
    pub async fn start(from: SocketAddr, to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind(from).await?;
        let state = Arc::new(watch::Sender::new(LinkState::Up));
        let relay = Relay {
            state: state.clone(),
        };
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let state = state.subscribe();
                if *state.borrow() != LinkState::Cut {
                    tokio::spawn(carry(near, to, state));
                }
            }
        });
        Ok(relay)
    }

    /// Sets the link's state.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn carry(near: TcpStream, to: SocketAddr, state: watch::Receiver<LinkState>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let mut cut = state.clone();
    tokio::select! {
        _ = cut.wait_for(|s| *s == LinkState::Cut) => {}
        _ = async { tokio::join!(pump(near_rx, far_tx, state.clone()), pump(far_rx, near_tx, state)) } => {}
    }
}

async fn pump(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buf = vec![0; BUF];
    while let Ok(n) = rx.read(&mut buf).await {
        if n == 0 {
            break;
        }
        let now = *state.borrow();
        if let LinkState::Slow(pause) = now {
            tokio::time::sleep(pause).await;
        }
        if state.wait_for(|s| *s != LinkState::Stalled).await.is_err() {
            break;
        }
        if tx.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = tx.shutdown().await;
}

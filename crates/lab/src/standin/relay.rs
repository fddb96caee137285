//! Relays on TCP links, and a switchboard that cuts, stalls or slows them.
//!
//! Every VM's connections come from its own address, so a relay knows which side calls: a failure
//! domain or the platform. The third number of an address is its side.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use base::Map;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes read at once.
const BUF: usize = 16 << 10;

/// A failure domain or the platform, by the third number of its addresses.
pub type Side = u8;

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

#[derive(Debug, Clone, Default)]
struct States {
    between: Map<(Side, Side), LinkState>,
    towards: Map<SocketAddr, LinkState>,
}

/// State of the links between sides.
#[derive(Debug, Clone)]
pub struct Switchboard {
    states: Arc<watch::Sender<States>>,
}

impl Default for Switchboard {
    fn default() -> Switchboard {
        Switchboard {
            states: Arc::new(watch::Sender::new(States::default())),
        }
    }
}

impl Switchboard {
    /// Sets the state of all links between two sides, both ways.
    pub fn set(&self, a: Side, b: Side, state: LinkState) {
        self.states.send_modify(|states| {
            states.between.insert((a, b), state);
            states.between.insert((b, a), state);
        });
    }

    /// Sets the state of all links towards one address.
    pub fn set_towards(&self, addr: SocketAddr, state: LinkState) {
        self.states.send_modify(|states| {
            states.towards.insert(addr, state);
        });
    }

    /// Brings all links up.
    pub fn heal(&self) {
        self.states
            .send_modify(|states| *states = States::default());
    }

    /// Starts a relay from an address to another.
    pub async fn relay(&self, from: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(from).await?;
        let board = self.clone();
        tokio::spawn(async move {
            while let Ok((near, caller)) = listener.accept().await {
                let link = Link {
                    states: board.states.subscribe(),
                    between: (side(caller.ip()), side(from.ip())),
                    to: from,
                };
                if link.state() != LinkState::Cut {
                    tokio::spawn(carry(near, to, link));
                }
            }
        });
        Ok(())
    }
}

/// The side of an address.
pub fn side(ip: IpAddr) -> Side {
    match ip {
        IpAddr::V4(ip) => ip.octets()[2],
        IpAddr::V6(_) => 0,
    }
}

#[derive(Debug, Clone)]
struct Link {
    states: watch::Receiver<States>,
    between: (Side, Side),
    to: SocketAddr,
}

impl Link {
    fn state(&self) -> LinkState {
        let states = self.states.borrow();
        let between = states.between.get(&self.between);
        let state = states.towards.get(&self.to).or(between);
        state.copied().unwrap_or(LinkState::Up)
    }

    /// Waits until the state is one that `is` says yes to.
    async fn until(&mut self, is: impl Fn(LinkState) -> bool) {
        while !is(self.state()) {
            if self.states.changed().await.is_err() {
                return;
            }
        }
    }
}

async fn carry(near: TcpStream, to: SocketAddr, link: Link) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let mut cut = link.clone();
    let there = pump(near_rx, far_tx, link.clone());
    let back = pump(far_rx, near_tx, link);
    tokio::select! {
        _ = cut.until(|s| s == LinkState::Cut) => {}
        _ = async { tokio::join!(there, back) } => {}
    }
}

async fn pump(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut link: Link) {
    let mut buf = vec![0; BUF];
    while let Ok(n) = rx.read(&mut buf).await {
        if n == 0 {
            break;
        }
        if let LinkState::Slow(pause) = link.state() {
            tokio::time::sleep(pause).await;
        }
        link.until(|s| s != LinkState::Stalled).await;
        if tx.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = tx.shutdown().await;
}

//! TCP relays on the links between processes, and a switchboard that cuts, stalls or slows them.
//!
//! Each VM connects from its own address, which identifies the calling VM and its side: a failure
//! domain or the platform. The third octet of an address is its side. A VM's link can be given a
//! rate, shared by everything the VM sends and, separately, by everything it receives. The link
//! towards a single address can be given a rate too, shared by all its callers.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::{Map, Set};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::origin::PacedLink;

/// Bytes per read; small, which lets the streams on one link interleave.
const READ_BYTES: usize = 4 << 10;

/// Reads buffered between the sender's link and the receiver's.
const MAX_IN_FLIGHT_READS: usize = 2;

/// Reads of up to this many bytes are response heads and small responses, which are never corrupted.
const MAX_SMALL_READ_BYTES: usize = 2 << 10;

/// A failure domain or the platform, identified by the third octet of its addresses.
pub type Side = u8;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are forwarded.
    Up,
    /// Open connections are closed, and new ones are closed once accepted.
    Cut,
    /// Open connections are closed, and new ones are refused: nothing listens on the address.
    Refused,
    /// Connections stay open and forward nothing.
    Stalled,
    /// Each read is forwarded after a pause.
    Slow(Duration),
    /// Requests are forwarded, responses are withheld.
    Deaf,
    /// Each large read of a response has one byte changed.
    Corrupt,
}

impl LinkState {
    /// Returns whether open connections are closed in this state.
    fn closes(self) -> bool {
        matches!(self, LinkState::Cut | LinkState::Refused)
    }
}

#[derive(Debug, Clone, Default)]
struct States {
    between: Map<(Side, Side), LinkState>,
    towards: Map<SocketAddr, LinkState>,
    disconnected: Set<IpAddr>,
    /// How many times the open connections towards an address were stalled.
    stalls: Map<SocketAddr, u64>,
}

/// The link of one VM, or towards one address, in both directions.
#[derive(Debug, Clone)]
struct VmLink {
    up: Arc<PacedLink>,
    down: Arc<PacedLink>,
}

impl VmLink {
    fn new(up: Option<u64>, down: Option<u64>) -> VmLink {
        VmLink {
            up: Arc::new(PacedLink::new(up)),
            down: Arc::new(PacedLink::new(down)),
        }
    }
}

type VmLinks = Arc<Mutex<Map<IpAddr, VmLink>>>;

type AddrLinks = Arc<Mutex<Map<SocketAddr, VmLink>>>;

/// Controls the state and the rates of the relayed links.
#[derive(Debug, Clone)]
pub struct Switchboard {
    states: Arc<watch::Sender<States>>,
    links: VmLinks,
    towards: AddrLinks,
}

impl Default for Switchboard {
    fn default() -> Switchboard {
        Switchboard {
            states: Arc::new(watch::Sender::new(States::default())),
            links: VmLinks::default(),
            towards: AddrLinks::default(),
        }
    }
}

impl Switchboard {
    /// Sets the state of all links between two sides, in both directions.
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

    /// Limits a VM's link to a rate in bytes per second in each direction.
    pub fn set_vm_rate(&self, vm: IpAddr, up: u64, down: u64) {
        let link = VmLink::new(Some(up), Some(down));
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.insert(vm, link);
    }

    /// Limits the link towards an address to a rate in bytes per second in each direction, in place of
    /// its VM's rate. Connections made before the first call are not limited by it; later calls
    /// apply to all connections made since.
    pub fn set_rate_towards(&self, addr: SocketAddr, rate: Option<u64>) {
        let mut links = self.towards.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(addr);
        let link = link.or_insert_with(|| VmLink::new(rate, rate));
        link.up.set_rate(rate);
        link.down.set_rate(rate);
    }

    /// Stalls the connections that are open towards an address: they stay open and forward nothing.
    /// New connections are not affected.
    pub fn stall_open_connections(&self, addr: SocketAddr) {
        self.states.send_modify(|states| {
            *states.stalls.entry(addr).or_default() += 1;
        });
    }

    fn link_towards(&self, addr: SocketAddr) -> Option<VmLink> {
        let links = self.towards.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(&addr).cloned()
    }

    fn vm_link(&self, vm: IpAddr) -> Option<VmLink> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(&vm).cloned()
    }

    /// Disconnects a VM from the network until [`Switchboard::heal`].
    pub fn disconnect_vm(&self, vm: IpAddr) {
        self.states.send_modify(|states| {
            states.disconnected.insert(vm);
        });
    }

    /// Resets the state of all links and VMs; rates stay.
    pub fn heal(&self) {
        self.states
            .send_modify(|states| *states = States::default());
    }

    /// Starts a relay that listens on `from` and connects to `to`.
    pub async fn relay(&self, from: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let mut listener = TcpListener::bind(from).await?;
        let switchboard = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = switchboard.accept(&listener, from, to) => return,
                    () = switchboard.wait_refused(from, true) => drop(listener),
                }
                switchboard.wait_refused(from, false).await;
                listener = match TcpListener::bind(from).await {
                    Ok(listener) => listener,
                    Err(e) => panic!("failed to rebind the relay's address {from}: {e}"),
                };
            }
        });
        Ok(())
    }

    /// Accepts connections until accepting fails.
    async fn accept(&self, listener: &TcpListener, from: SocketAddr, to: SocketAddr) {
        while let Ok((near, caller)) = listener.accept().await {
            let states = self.states.subscribe();
            let stalls = states.borrow().stalls(from);
            let link = Link {
                states,
                caller: caller.ip(),
                to: from,
                stalls,
            };
            let far = self.link_towards(from);
            let ends = [
                self.vm_link(caller.ip()),
                far.or_else(|| self.vm_link(from.ip())),
            ];
            if !link.state().closes() {
                tokio::spawn(relay_connection(near, to, link, ends));
            }
        }
    }

    /// Waits until refusal of new connections to an address equals `refused`.
    async fn wait_refused(&self, from: SocketAddr, refused: bool) {
        let mut states = self.states.subscribe();
        let is_refused = |states: &States| states.towards.get(&from) == Some(&LinkState::Refused);
        if states.wait_for(|s| is_refused(s) == refused).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns the side of an address.
pub fn side(ip: IpAddr) -> Side {
    match ip {
        IpAddr::V4(ip) => ip.octets()[2],
        IpAddr::V6(_) => 0,
    }
}

#[derive(Debug, Clone)]
struct Link {
    states: watch::Receiver<States>,
    caller: IpAddr,
    to: SocketAddr,
    /// Number of stalls towards the address before this connection was accepted.
    stalls: u64,
}

impl States {
    fn stalls(&self, addr: SocketAddr) -> u64 {
        self.stalls.get(&addr).copied().unwrap_or_default()
    }
}

impl Link {
    fn state(&self) -> LinkState {
        let states = self.states.borrow();
        if states.disconnected.contains(&self.caller) || states.disconnected.contains(&self.to.ip())
        {
            return LinkState::Cut;
        }
        if states.stalls(self.to) > self.stalls {
            return LinkState::Stalled;
        }
        let sides = (side(self.caller), side(self.to.ip()));
        let state = states.towards.get(&self.to);
        let state = state.or(states.between.get(&sides));
        state.copied().unwrap_or(LinkState::Up)
    }

    /// Waits until the state satisfies the predicate.
    async fn wait_for(&mut self, predicate: impl Fn(LinkState) -> bool) {
        while !predicate(self.state()) {
            if self.states.changed().await.is_err() {
                return;
            }
        }
    }
}

/// One direction of a relayed connection.
struct Direction {
    link: Link,
    /// The uplink of the sender and the downlink of the receiver.
    rates: [Option<Arc<PacedLink>>; 2],
    /// Whether the bytes are responses.
    is_response: bool,
}

async fn relay_connection(near: TcpStream, to: SocketAddr, link: Link, ends: [Option<VmLink>; 2]) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let up = |end: usize| ends[end].as_ref().map(|l| l.up.clone());
    let down = |end: usize| ends[end].as_ref().map(|l| l.down.clone());
    let requests = Direction {
        link: link.clone(),
        rates: [up(0), down(1)],
        is_response: false,
    };
    let responses = Direction {
        link: link.clone(),
        rates: [up(1), down(0)],
        is_response: true,
    };
    let mut cut = link;
    tokio::select! {
        _ = cut.wait_for(LinkState::closes) => {}
        _ = async {
            tokio::join!(
                forward(near_rx, far_tx, requests),
                forward(far_rx, near_tx, responses)
            )
        } => {}
    }
}

/// Forwards bytes in one direction over the sender's link and then the receiver's; the two links
/// run concurrently.
async fn forward(rx: OwnedReadHalf, tx: OwnedWriteHalf, direction: Direction) {
    let [up, down] = direction.rates.clone();
    let (queue_tx, queue_rx) = mpsc::channel(MAX_IN_FLIGHT_READS);
    tokio::join!(
        send(rx, queue_tx, direction, up),
        receive(queue_rx, tx, down)
    );
}

async fn send(
    mut rx: OwnedReadHalf,
    queue_tx: mpsc::Sender<Vec<u8>>,
    mut direction: Direction,
    up: Option<Arc<PacedLink>>,
) {
    let mut buf = vec![0; READ_BYTES];
    while let Ok(n) = rx.read(&mut buf).await {
        if n == 0 {
            break;
        }
        match direction.link.state() {
            LinkState::Slow(pause) => tokio::time::sleep(pause).await,
            LinkState::Corrupt if direction.is_response && n > MAX_SMALL_READ_BYTES => {
                buf[n - 1] ^= 1
            }
            _ => {}
        }
        let is_response = direction.is_response;
        let forwards = |s| s != LinkState::Stalled && !(is_response && s == LinkState::Deaf);
        direction.link.wait_for(forwards).await;
        if let Some(up) = &up {
            up.transmit(n).await;
        }
        if queue_tx.send(buf[..n].to_vec()).await.is_err() {
            break;
        }
    }
}

async fn receive(
    mut queue_rx: mpsc::Receiver<Vec<u8>>,
    mut tx: OwnedWriteHalf,
    down: Option<Arc<PacedLink>>,
) {
    while let Some(buf) = queue_rx.recv().await {
        if let Some(down) = &down {
            down.transmit(buf.len()).await;
        }
        if tx.write_all(&buf).await.is_err() {
            return;
        }
    }
    let _ = tx.shutdown().await;
}

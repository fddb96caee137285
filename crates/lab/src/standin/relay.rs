//! Relays on TCP links, and a switchboard that cuts, stalls or slows them.
//!
//! Every VM's connections come from its own address, so a relay knows which VM calls, and which
//! side: a failure domain or the platform. The third number of an address is its side. A VM's link
//! can be given a rate; all that the VM sends, and all that it gets, then share it. So can the link
//! towards one address, which all that call there share.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::{Map, Set};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::origin::PacedLink;

/// Bytes read at once; small, so that streams on one link take turns.
const BUF: usize = 4 << 10;

/// Reads on their way between the two ends' links.
const BETWEEN: usize = 2;

/// Reads up to this size are heads and small answers.
const SMALL: usize = 2 << 10;

/// A failure domain or the platform, by the third number of its addresses.
pub type Side = u8;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// It carries.
    Up,
    /// Connections are closed, new ones too.
    Cut,
    /// Connections are closed, and new ones refused: nothing listens there.
    Refused,
    /// Connections stay open and carry nothing.
    Stalled,
    /// Each read is passed on after a pause.
    Slow(Duration),
    /// What comes back is held up; what goes there is carried.
    Deaf,
    /// Every larger read that comes back has a byte changed.
    Corrupt,
}

impl LinkState {
    /// Whether open connections are closed.
    fn closes(self) -> bool {
        matches!(self, LinkState::Cut | LinkState::Refused)
    }
}

#[derive(Debug, Clone, Default)]
struct States {
    between: Map<(Side, Side), LinkState>,
    towards: Map<SocketAddr, LinkState>,
    disconnected: Set<IpAddr>,
    /// How often the open connections towards an address fell silent.
    stalls: Map<SocketAddr, u64>,
}

/// The link of one VM, or towards one address, both ways.
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

/// State of the links between sides.
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

    /// Gives a VM's link a rate in bytes a second, each way.
    pub fn set_vm_rate(&self, vm: IpAddr, up: u64, down: u64) {
        let link = VmLink::new(Some(up), Some(down));
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.insert(vm, link);
    }

    /// Gives the link towards an address a rate in bytes a second, each way, in place of that of its VM.
    /// Connections that were made before the first call aren't bound by it, later calls hold for all.
    pub fn set_rate_towards(&self, addr: SocketAddr, rate: Option<u64>) {
        let mut links = self.towards.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(addr);
        let link = link.or_insert_with(|| VmLink::new(rate, rate));
        link.up.set_rate(rate);
        link.down.set_rate(rate);
    }

    /// Has the connections that are open towards an address carry nothing more, and stay open; new ones
    /// carry.
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

    /// Takes a VM off the network for good.
    pub fn disconnect_vm(&self, vm: IpAddr) {
        self.states.send_modify(|states| {
            states.disconnected.insert(vm);
        });
    }

    /// Brings all links up.
    pub fn heal(&self) {
        self.states
            .send_modify(|states| *states = States::default());
    }

    /// Starts a relay from an address to another.
    pub async fn relay(&self, from: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let mut listener = TcpListener::bind(from).await?;
        let switchboard = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = switchboard.accept(&listener, from, to) => return,
                    () = switchboard.refuses(from, true) => drop(listener),
                }
                switchboard.refuses(from, false).await;
                listener = match TcpListener::bind(from).await {
                    Ok(listener) => listener,
                    Err(e) => panic!("the relay's own address {from} is taken: {e}"),
                };
            }
        });
        Ok(())
    }

    /// Takes connections until that fails.
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
                tokio::spawn(carry(near, to, link, ends));
            }
        }
    }

    /// Waits until new connections to an address are refused, or are no more.
    async fn refuses(&self, from: SocketAddr, refused: bool) {
        let mut states = self.states.subscribe();
        let is = |states: &States| states.towards.get(&from) == Some(&LinkState::Refused);
        if states.wait_for(|s| is(s) == refused).await.is_err() {
            std::future::pending::<()>().await;
        }
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
    caller: IpAddr,
    to: SocketAddr,
    /// How often connections had fallen silent before this one was made.
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

    /// Waits until the state is one that `is` says yes to.
    async fn until(&mut self, is: impl Fn(LinkState) -> bool) {
        while !is(self.state()) {
            if self.states.changed().await.is_err() {
                return;
            }
        }
    }
}

/// What bytes one way have to pass.
struct Way {
    link: Link,
    /// The sender's link up and the receiver's link down.
    over: [Option<Arc<PacedLink>>; 2],
    /// Whether these are answers.
    back: bool,
}

async fn carry(near: TcpStream, to: SocketAddr, link: Link, ends: [Option<VmLink>; 2]) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let up = |end: usize| ends[end].as_ref().map(|l| l.up.clone());
    let down = |end: usize| ends[end].as_ref().map(|l| l.down.clone());
    let there = Way {
        link: link.clone(),
        over: [up(0), down(1)],
        back: false,
    };
    let back = Way {
        link: link.clone(),
        over: [up(1), down(0)],
        back: true,
    };
    let mut cut = link;
    tokio::select! {
        _ = cut.until(LinkState::closes) => {}
        _ = async { tokio::join!(pump(near_rx, far_tx, there), pump(far_rx, near_tx, back)) } => {}
    }
}

/// Carries bytes one way: over the sender's link, then over the receiver's, both at once.
async fn pump(rx: OwnedReadHalf, tx: OwnedWriteHalf, way: Way) {
    let [up, down] = way.over.clone();
    let (near, far) = mpsc::channel(BETWEEN);
    tokio::join!(send(rx, near, way, up), receive(far, tx, down));
}

async fn send(
    mut rx: OwnedReadHalf,
    near: mpsc::Sender<Vec<u8>>,
    mut way: Way,
    up: Option<Arc<PacedLink>>,
) {
    let mut buf = vec![0; BUF];
    while let Ok(n) = rx.read(&mut buf).await {
        if n == 0 {
            break;
        }
        match way.link.state() {
            LinkState::Slow(pause) => tokio::time::sleep(pause).await,
            LinkState::Corrupt if way.back && n > SMALL => buf[n - 1] ^= 1,
            _ => {}
        }
        let back = way.back;
        let carries = |s| s != LinkState::Stalled && !(back && s == LinkState::Deaf);
        way.link.until(carries).await;
        if let Some(up) = &up {
            up.transmit(n).await;
        }
        if near.send(buf[..n].to_vec()).await.is_err() {
            break;
        }
    }
}

async fn receive(
    mut far: mpsc::Receiver<Vec<u8>>,
    mut tx: OwnedWriteHalf,
    down: Option<Arc<PacedLink>>,
) {
    while let Some(buf) = far.recv().await {
        if let Some(down) = &down {
            down.transmit(buf.len()).await;
        }
        if tx.write_all(&buf).await.is_err() {
            return;
        }
    }
    let _ = tx.shutdown().await;
}

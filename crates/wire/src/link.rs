//! A control link: connecting, accepting, and calls to an entry.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use table::{Edition, Patch};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::control_capnp::entry;
use crate::convert;
use crate::counted::{CountedStream, Traffic};
use crate::{AgentInfo, AgentSession, Claim, ClaimOutcome, EntryUpdate, WireError};

/// Maximum size of a message, in words of eight bytes.
const MAX_MESSAGE_WORDS: usize = 4 << 20;

/// Timeout of calls that an entry replies to without waiting for an event.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}

type Network =
    twoparty::VatNetwork<tokio_util::compat::Compat<CountedStream<tokio::net::tcp::OwnedReadHalf>>>;

fn network(stream: TcpStream, side: Side, traffic: &Traffic) -> Box<Network> {
    let _ = stream.set_nodelay(true);
    let (rx, tx) = stream.into_split();
    Box::new(twoparty::VatNetwork::new(
        CountedStream::new(rx, traffic.clone()).compat(),
        CountedStream::new(tx, traffic.clone()).compat_write(),
        side,
        reader_options(),
    ))
}

/// Serves an accepted link until it is closed.
pub async fn accept(
    stream: TcpStream,
    server: entry::Client,
    traffic: &Traffic,
) -> Result<(), WireError> {
    let network = network(stream, Side::Server, traffic);
    RpcSystem::new(network, Some(server.client)).await?;
    Ok(())
}

/// Link to an entry, closed on drop.
#[derive(Debug)]
pub struct Link {
    entry: entry::Client,
    driver: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl std::fmt::Debug for entry::Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("entry::Client")
    }
}

impl Link {
    /// Connects to an entry. Has to run within a `LocalSet`.
    pub async fn connect(
        to: SocketAddr,
        source: Option<IpAddr>,
        traffic: &Traffic,
    ) -> Result<Link, WireError> {
        let connected = tokio::time::timeout(CALL_TIMEOUT, connect_from(to, source)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(WireError::Unreachable(format!("{to}: {e}"))),
            Err(_) => return Err(WireError::Unreachable(format!("{to}: timed out"))),
        };
        let mut rpc = RpcSystem::new(network(stream, Side::Client, traffic), None);
        let client: entry::Client = rpc.bootstrap(Side::Server);
        let driver = tokio::task::spawn_local(async move {
            // An error of the link is returned by the calls on it.
            let _ = rpc.await;
        });
        Ok(Link {
            entry: client,
            driver,
        })
    }

    /// Opens a session as an agent.
    pub async fn join(&self, info: &AgentInfo) -> Result<AgentSession, WireError> {
        let mut req = self.entry.join_request();
        convert::write_info(req.get().init_info(), info);
        let res = with_timeout(req.send().promise).await?;
        let session = res.get()?.get_seat()?;
        Ok(AgentSession::new(session))
    }

    /// Sends an update to the entry and returns its own.
    pub async fn exchange(&self, update: &EntryUpdate) -> Result<EntryUpdate, WireError> {
        let mut req = self.entry.exchange_request();
        convert::write_entry_update(req.get().init_note(), update);
        let res = with_timeout(req.send().promise).await?;
        convert::read_entry_update(res.get()?.get_note()?)
    }

    /// Waits, without a timeout, until the entry has a later revision than `have`, and returns it as a patch.
    pub async fn watch(&self, have: base::Revision) -> Result<Patch, WireError> {
        let mut req = self.entry.watch_request();
        req.get().set_have(have);
        let res = req.send().promise.await?;
        convert::read_patch(res.get()?.get_edition()?)
    }

    /// Sends an edition that the entry lacks.
    pub async fn offer(&self, edition: &Edition) -> Result<(), WireError> {
        let mut req = self.entry.offer_request();
        convert::write_patch(req.get().init_edition(), &Patch::full(edition));
        with_timeout(req.send().promise).await.map(drop)
    }

    /// Asks the entry to write claims on behalf of this one.
    pub async fn claim(
        &self,
        claims: &[Claim],
        timeout: Duration,
    ) -> Result<Vec<ClaimOutcome>, WireError> {
        let mut req = self.entry.claim_request();
        convert::write_claims(req.get().init_claims(claims.len() as u32), claims);
        let res = tokio::time::timeout(timeout, req.send().promise).await;
        let res = res.map_err(|_| WireError::TimedOut)??;
        let list = res.get()?.get_results()?;
        let read = list.iter().map(|c| c.map(convert::read_claim_outcome));
        Ok(read.collect::<Result<_, _>>()?)
    }
}

async fn connect_from(to: SocketAddr, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(to).await;
    };
    let socket = match to.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(to).await
}

/// Awaits a call for at most [`CALL_TIMEOUT`].
pub(crate) async fn with_timeout<T>(
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, WireError> {
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(res) => Ok(res?),
        Err(_) => Err(WireError::TimedOut),
    }
}

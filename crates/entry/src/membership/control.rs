//! Server side of the control links: requests of agents and other entries.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Revision;
use capnp::Error;
use log::{debug, info};
use table::{Patch, Version};
use tokio::net::TcpListener;
use wire::control_capnp::{entry as rpc, seat};
use wire::{EntryUpdate, Freshness, HeartbeatReply, WireError, convert};

use crate::Entry;
use crate::membership::links::{self, apply_patch};
use crate::membership::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "control";

/// Burst of editions that may be pushed over a link.
const PUSH_BURST: f64 = 20.0;

/// Time after which one more edition may be pushed over a link.
const PUSH_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of entry addresses in an update.
const MAX_SAMPLED_ENTRIES: usize = 4;

/// Accepts links for as long as the process runs. Must run in a `LocalSet`.
pub async fn listen(entry: Arc<Entry>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let server: rpc::Client = capnp_rpc::new_client(EntryServer {
            entry: entry.clone(),
        });
        let traffic = entry.control_traffic.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = wire::accept(stream, server, &traffic).await {
                debug!(target: PART, "{PART}: link from {from} closed: {e}");
            }
        });
    }
}

struct EntryServer {
    entry: Arc<Entry>,
}

impl rpc::Server for EntryServer {
    async fn join(
        self: Rc<Self>,
        params: rpc::JoinParams,
        mut results: rpc::JoinResults,
    ) -> Result<(), Error> {
        let info = convert::read_info(params.get()?.get_info()?)?;
        if info.domain != self.entry.cfg.process.domain {
            let own = &self.entry.cfg.process.domain;
            return Err(Error::failed(format!(
                "this entry is in {own}; link to the entries of {}",
                info.domain
            )));
        }
        info!(target: PART, "{PART}: agent {} joined from {}", info.vm, info.listen);
        let upstream = self.entry.fleet.join(info, self.entry.lease());
        let server = SessionServer {
            entry: self.entry.clone(),
            upstream,
            push_limiter: RefCell::new(PushLimiter::new()),
        };
        results.get().set_seat(capnp_rpc::new_client(server));
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: rpc::ExchangeParams,
        mut results: rpc::ExchangeResults,
    ) -> Result<(), Error> {
        let update = convert::read_entry_update(params.get()?.get_note()?)?;
        let to = update.domain.clone();
        self.entry
            .address_book
            .add(update.entries.iter().chain([&update.control]));
        let from = update.control;
        let interval = links::exchange_interval(&self.entry);
        self.entry
            .fleet
            .apply_update(update, self.entry.lease(), interval);
        let own = own_update(&self.entry, &to, Some(from));
        convert::write_entry_update(results.get().init_note(), &own);
        Ok(())
    }

    async fn watch(
        self: Rc<Self>,
        params: rpc::WatchParams,
        mut results: rpc::WatchResults,
    ) -> Result<(), Error> {
        let patch = wait_for_newer(&self.entry, params.get()?.get_have()).await?;
        convert::write_patch(results.get().init_edition(), &patch);
        Ok(())
    }

    async fn offer(
        self: Rc<Self>,
        params: rpc::OfferParams,
        _: rpc::OfferResults,
    ) -> Result<(), Error> {
        let patch = convert::read_patch(params.get()?.get_edition()?)?;
        apply_patch(&self.entry, patch);
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: rpc::ClaimParams,
        mut results: rpc::ClaimResults,
    ) -> Result<(), Error> {
        let claims = convert::read_claims(params.get()?.get_claims()?)?;
        let n = claims.len() as u32;
        let claimed = self.entry.claims.write_batched(claims).await;
        let mut list = results.get().init_results(n);
        for (i, c) in claimed.into_iter().enumerate() {
            list.set(i as u32, convert::write_claim_outcome(c));
        }
        Ok(())
    }
}

/// Session of an agent; closes the agent's link in the fleet when dropped.
struct SessionServer {
    entry: Arc<Entry>,
    upstream: Arc<Upstream>,
    push_limiter: RefCell<PushLimiter>,
}

/// Token bucket for the editions pushed over one link. Once it is empty, a burst of edits is
/// coalesced: the link carries one push per interval rather than one per edit.
struct PushLimiter {
    tokens: f64,
    refilled_at: Instant,
}

impl PushLimiter {
    fn new() -> PushLimiter {
        PushLimiter {
            tokens: PUSH_BURST,
            refilled_at: clock::now(),
        }
    }

    /// Takes a token and returns how long to wait before the push.
    fn reserve(&mut self) -> Duration {
        let earned = clock::since(self.refilled_at).as_secs_f64() / PUSH_INTERVAL.as_secs_f64();
        self.refilled_at = clock::now();
        self.tokens = (self.tokens + earned).min(PUSH_BURST) - 1.0;
        PUSH_INTERVAL.mul_f64((-self.tokens).max(0.0))
    }
}

impl Drop for SessionServer {
    fn drop(&mut self) {
        info!(target: PART, "{PART}: agent {} left", self.upstream.vm());
        self.entry.fleet.link_closed(&self.upstream);
    }
}

impl seat::Server for SessionServer {
    async fn beat(
        self: Rc<Self>,
        params: seat::BeatParams,
        mut results: seat::BeatResults,
    ) -> Result<(), Error> {
        let heartbeat = convert::read_heartbeat(params.get()?.get_beat()?)?;
        let seen = heartbeat.entries_seen;
        self.entry
            .fleet
            .apply_heartbeat(&self.upstream, heartbeat, self.entry.lease());
        let entries_seen = self.entry.fleet.entries_seen();
        let reply = HeartbeatReply {
            freshness: freshness(&self.entry),
            interval: self.entry.heartbeat_interval(),
            leaving: self.entry.fleet.is_listed_draining(self.upstream.vm()),
            entries_seen,
            entries: match seen == entries_seen {
                true => Vec::new(),
                false => domain_entries(&self.entry),
            },
        };
        convert::write_heartbeat_reply(results.get().init_reply(), &reply);
        Ok(())
    }

    async fn watch(
        self: Rc<Self>,
        params: seat::WatchParams,
        mut results: seat::WatchResults,
    ) -> Result<(), Error> {
        let have = params.get()?.get_have();
        wait_for_newer(&self.entry, have).await?;
        let wait = self.push_limiter.borrow_mut().reserve();
        tokio::time::sleep(wait).await;
        let patch = self.entry.active_table.patch_from(have);
        convert::write_patch(results.get().init_edition(), &patch);
        Ok(())
    }

    async fn offer(
        self: Rc<Self>,
        params: seat::OfferParams,
        _: seat::OfferResults,
    ) -> Result<(), Error> {
        let patch = convert::read_patch(params.get()?.get_edition()?)?;
        apply_patch(&self.entry, patch);
        Ok(())
    }

    async fn peers(
        self: Rc<Self>,
        params: seat::PeersParams,
        mut results: seat::PeersResults,
    ) -> Result<(), Error> {
        let text = params.get()?.get_version()?.to_str()?;
        let version =
            Version::parse(text).ok_or_else(|| WireError::InvalidMessage("version".to_owned()))?;
        let peers = self.entry.fleet.peers(&version);
        convert::write_peers(results.get().init_peers(peers.len() as u32), &peers);
        Ok(())
    }
}

/// Waits for an edition newer than the peer's and returns the patch to it.
async fn wait_for_newer(entry: &Entry, have: Revision) -> Result<Patch, Error> {
    let mut edition_rx = entry.active_table.subscribe();
    edition_rx
        .wait_for(|active| active.edition.revision > have)
        .await
        .map_err(|e| Error::failed(e.to_string()))?;
    Ok(entry.active_table.patch_from(have))
}

/// Returns the revision in force and the age of its confirmation. The age of an unconfirmed
/// revision exceeds every hold.
fn freshness(entry: &Entry) -> Freshness {
    Freshness {
        revision: entry.active_table.revision(),
        age: entry
            .active_table
            .confirmation_age()
            .unwrap_or(wire::NEVER_CONFIRMED),
    }
}

/// Builds the update for the entry at `addr` in the failure domain `to`. Without an address, the
/// peer isn't known yet, and the update has no lists.
pub fn own_update(entry: &Entry, to: &str, addr: Option<SocketAddr>) -> EntryUpdate {
    let process = &entry.cfg.process;
    let fleet = &entry.fleet;
    let sibling = to == process.domain;
    let state = fleet.state(to);
    let has_lists = addr.is_some_and(|addr| fleet.acknowledged_state(addr) != state);
    EntryUpdate {
        vm: process.vm.clone(),
        domain: process.domain.clone(),
        control: entry.cfg.advertised_control(),
        freshness: freshness(entry),
        leaving: entry.is_stopping(),
        entries: entry.address_book.sample(MAX_SAMPLED_ENTRIES),
        state,
        applied_state: addr.map_or(0, |addr| fleet.applied_state(addr)),
        has_lists,
        agents: list_if(has_lists && sibling, || fleet.joined_agents()),
        replicas: list_if(has_lists && !sibling, || fleet.live_replicas()),
        rollouts: list_if(has_lists && !sibling, || fleet.rollouts()),
    }
}

/// Returns the list if it is included, else an empty one.
fn list_if<T>(included: bool, list: impl Fn() -> Vec<T>) -> Vec<T> {
    match included {
        true => list(),
        false => Vec::new(),
    }
}

fn domain_entries(entry: &Entry) -> Vec<SocketAddr> {
    let siblings = entry.fleet.siblings().into_iter().map(|e| e.update.control);
    siblings.chain([entry.cfg.advertised_control()]).collect()
}

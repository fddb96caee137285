//! Sends loads, revisions of replicated documents, and releases by datagram.
//!
//! Within a failure domain each gateway sends its requests in flight and the revisions of its replicas;
//! [`decide::fanout`] chooses the receivers. In a large failure domain a leader relays changes. The first gateway of
//! the failure domain sends its sum to other domains. Releases are sent to the loaders of the failure domain as they
//! become known.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::{Map, VmId};
use beacon::{Beacon, Load, LoadChange, LoadUpdate, Msg, batch_messages};
use decide::fanout::{
    FanOut, LEADERS, MAX_UPDATE_INTERVAL, RELAY_INTERVAL, batch_delay, change_fan_out,
    full_update_interval, recheck_interval, should_relay,
};
use decide::load_balancing::TOKENS_PER_REQUEST;
use log::info;

use crate::Cx;
use crate::loads::{MAX_LOADS, largest_loads, receiver_per_domain};

/// Log prefix of this part.
const PART: &str = "tell";

/// Time between two updates to other failure domains, whose links also carry streams and weights. An update for 76
/// engines has 1.6 KB, which takes 0.1 Mbit/s at this interval; sent to each of 13 gateways it would take 1.3 Mbit/s.
const DOMAIN_LOAD_INTERVAL: Duration = Duration::from_millis(125);

/// Number of loads that each such update repeats, the least recently sent ones: each of 204 engines is then repeated
/// within 3 s.
const REPEATED_LOADS: usize = 10;

/// Reason for sending an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trigger {
    /// Requests have begun or ended.
    Load,
    /// A replicated document has changed.
    Document,
    /// The list of peers has changed, or a full update to all gateways is due.
    FullUpdate,
    /// Nothing was sent for a while.
    Heartbeat,
}

/// Sends this gateway's load and the revisions of its replicas to other gateways of the failure domain.
pub(crate) async fn send_updates(cx: Arc<Cx>, beacon: Beacon) {
    let mut documents = cx.mirror.changes();
    let mut peers = cx.peers.clone();
    let mut last_update = clock::now();
    let mut last_full_update = last_update;
    loop {
        let peer_count = near_gateways(&cx, clock::now()).len();
        let due = last_full_update + full_update_interval(peer_count);
        let trigger = tokio::select! {
            Ok(()) = peers.changed() => Trigger::FullUpdate,
            _ = clock::sleep_until(due) => Trigger::FullUpdate,
            _ = clock::sleep_until(last_update + MAX_UPDATE_INTERVAL) => Trigger::Heartbeat,
            Ok(()) = documents.changed() => Trigger::Document,
            _ = cx.admission.load_changed() => {
                let fan_out = select_fan_out(&cx, Trigger::Load, peer_count, clock::now());
                tokio::time::sleep(batch_delay(fan_out)).await;
                Trigger::Load
            }
        };
        let now = clock::now();
        let near = near_gateways(&cx, now);
        let fan_out = select_fan_out(&cx, trigger, near.len(), now);
        let update = load_update(&cx, largest_loads(own_loads(&cx)));
        beacon.send(&Msg::Load(update), receivers(&cx, &near, fan_out));
        last_update = now;
        if fan_out == FanOut::All {
            last_full_update = now;
        }
    }
}

fn select_fan_out(cx: &Cx, trigger: Trigger, others: usize, now: Instant) -> FanOut {
    match trigger {
        Trigger::FullUpdate => FanOut::All,
        // The leaders announce a newer document to all gateways, so the others needn't.
        Trigger::Document if cx.loads.rank(&cx.cfg.node.vm, now) < LEADERS => FanOut::All,
        Trigger::Document | Trigger::Load | Trigger::Heartbeat => {
            change_fan_out(others, cx.loads.is_relayed(now))
        }
    }
}

/// Returns the other gateways of the failure domain and their datagram addresses: those that are listed, and those
/// that were recently seen, since the list lags by a second.
pub(crate) fn near_gateways(cx: &Cx, now: Instant) -> Map<VmId, SocketAddr> {
    let mut near = cx.peers.borrow().near_gateways.clone();
    near.extend(cx.loads.addresses(now));
    near
}

/// Returns the addresses of those that `fan_out` selects.
fn receivers(cx: &Cx, near: &Map<VmId, SocketAddr>, fan_out: FanOut) -> Vec<SocketAddr> {
    match fan_out {
        FanOut::All => near.values().copied().collect(),
        FanOut::Leaders => {
            let leaders = cx.loads.leaders(&cx.cfg.node.vm, LEADERS, clock::now());
            leaders
                .iter()
                .filter_map(|vm| near.get(vm))
                .copied()
                .collect()
        }
    }
}

/// Relays changes of load to all gateways of the failure domain, while [`should_relay`] selects this gateway.
pub(crate) async fn relay_changes(cx: Arc<Cx>, beacon: Beacon) {
    let mut relayed = RelayedLoads::default();
    let mut pause = RELAY_INTERVAL;
    loop {
        tokio::time::sleep(pause).await;
        let now = clock::now();
        let near = near_gateways(&cx, now);
        let rank = cx.loads.rank(&cx.cfg.node.vm, now);
        if !should_relay(near.len(), rank, cx.loads.is_relayed(now)) {
            relayed = RelayedLoads::default();
            pause = recheck_interval(rank);
            continue;
        }
        pause = RELAY_INTERVAL;
        let mut loads = cx.loads.near_loads(now);
        loads.push(own_change(&cx));
        for msg in batch_messages(relayed.changes(loads, now), Msg::LoadChanges) {
            beacon.send(&msg, near.values().copied());
        }
    }
}

fn own_change(cx: &Cx) -> LoadChange {
    LoadChange {
        from: cx.cfg.node.vm.clone(),
        incarnation: cx.incarnation,
        sequence: cx.load_sequence.fetch_add(1, Relaxed),
        loads: largest_loads(own_loads(cx)),
    }
}

/// Loads of each gateway as last relayed, and when a change of it was last relayed.
#[derive(Debug, Default)]
pub struct RelayedLoads {
    loads: Map<VmId, (Vec<Load>, Instant)>,
}

impl RelayedLoads {
    /// Returns the changes since the last call, including an empty one for each unchanged gateway of which nothing
    /// was relayed for [`MAX_UPDATE_INTERVAL`], to show that it is up. Records them as relayed.
    pub fn changes(&mut self, gateways: Vec<LoadChange>, now: Instant) -> Vec<LoadChange> {
        let mut changes = Vec::new();
        for gateway in gateways {
            let LoadChange { from, loads, .. } = &gateway;
            let previous = self.loads.get(from);
            let changed = changed(previous.map_or(&[], |(loads, _)| loads), loads);
            let is_due = previous
                .is_none_or(|(_, at)| now.saturating_duration_since(*at) >= MAX_UPDATE_INTERVAL);
            if is_due || !changed.is_empty() {
                self.loads.insert(from.clone(), (loads.clone(), now));
                changes.push(LoadChange {
                    loads: changed,
                    ..gateway
                });
            }
        }
        changes
    }
}

/// Returns the loads that differ from before, and an idle load for each upstream that had requests in flight and has
/// no load any more. A change of `answered` alone is left to full updates, since it decays all the time.
fn changed(before: &[Load], now: &[Load]) -> Vec<Load> {
    let differs = |load: &&Load| {
        let known = before.iter().find(|b| b.upstream == load.upstream);
        known.is_none_or(|b| {
            (b.requests, b.unread, b.failed) != (load.requests, load.unread, load.failed)
        })
    };
    let is_removed = |b: &&Load| b.requests > 0 && !now.iter().any(|l| l.upstream == b.upstream);
    let removed = before.iter().filter(is_removed).map(idle);
    now.iter().filter(differs).copied().chain(removed).collect()
}

/// Sends the load of the failure domain to gateways of other failure domains, while this gateway ranks first.
pub(crate) async fn send_domain_updates(cx: Arc<Cx>, beacon: Beacon) {
    let mut published = PublishedLoads::default();
    let mut pause = DOMAIN_LOAD_INTERVAL;
    loop {
        tokio::time::sleep(pause).await;
        let rank = cx.loads.rank(&cx.cfg.node.vm, clock::now());
        if rank > 0 {
            published = PublishedLoads::default();
            pause = recheck_interval(rank);
            continue;
        }
        pause = DOMAIN_LOAD_INTERVAL;
        let loads = published.next(cx.loads.domain_loads(&own_loads(&cx)));
        let update = load_update(&cx, loads);
        let to = receiver_per_domain(&cx.peers.borrow().far_gateways, update.sequence);
        beacon.send(&Msg::DomainLoad(update), to);
    }
}

/// Loads of the failure domain as last sent to others, and the round in which each was sent.
#[derive(Debug, Default)]
pub struct PublishedLoads {
    loads: Map<SocketAddr, (Load, u64)>,
    round: u64,
}

impl PublishedLoads {
    /// Returns the loads of the next update, as many as fit: those that differ most from what was last sent, an idle
    /// load for each upstream without one any more, and the least recently sent ones, whose update may have been
    /// lost. Records them as sent.
    pub fn next(&mut self, now: Vec<Load>) -> Vec<Load> {
        self.round += 1;
        let is_removed = |l: &Load| !now.iter().any(|n| n.upstream == l.upstream);
        let published = self.loads.values().map(|(load, _)| *load);
        let removed: Vec<Load> = published.filter(is_removed).map(|l| idle(&l)).collect();
        let all = now.into_iter().chain(removed);
        let (mut changed, mut rest): (Vec<Load>, Vec<Load>) =
            all.partition(|load| self.difference(load) > 0);
        changed.sort_by_key(|load| std::cmp::Reverse(self.difference(load)));
        rest.extend(changed.split_off(changed.len().min(MAX_LOADS - REPEATED_LOADS)));
        rest.retain(|load| self.loads.contains_key(&load.upstream));
        rest.sort_by_key(|load| self.loads.get(&load.upstream).map(|(_, round)| *round));
        changed.extend(rest.into_iter().take(REPEATED_LOADS));
        for load in &changed {
            match load.requests {
                0 if load.failed == 0 => drop(self.loads.remove(&load.upstream)),
                _ => drop(self.loads.insert(load.upstream, (*load, self.round))),
            }
        }
        changed
    }

    /// Returns the difference between a load and what was last sent, in prompt tokens.
    fn difference(&self, load: &Load) -> u64 {
        let published = self
            .loads
            .get(&load.upstream)
            .map(|(published, _)| *published);
        let published = published.unwrap_or_else(|| idle(load));
        let requests = u64::from(published.requests.abs_diff(load.requests));
        requests * TOKENS_PER_REQUEST as u64 + u64::from(published.unread.abs_diff(load.unread))
    }
}

/// Returns the load of an upstream with nothing in flight any more.
fn idle(load: &Load) -> Load {
    Load {
        requests: 0,
        unread: 0,
        failed: 0,
        ..*load
    }
}

fn own_loads(cx: &Cx) -> Vec<Load> {
    let all = cx.upstreams.all();
    let loads = all.iter().map(|u| u.load());
    loads.filter(|l| l.requests > 0 || l.failed > 0).collect()
}

fn load_update(cx: &Cx, loads: Vec<Load>) -> LoadUpdate {
    LoadUpdate {
        from: cx.cfg.node.vm.clone(),
        domain: cx.cfg.node.domain.clone(),
        incarnation: cx.incarnation,
        sequence: cx.load_sequence.fetch_add(1, Relaxed),
        reaches_store: *cx.reaches_store.borrow(),
        configuration: cx.mirror.revision(cx.configuration.name),
        members: cx.mirror.revision(cx.member_list.name),
        upstreams: cx.mirror.revision(cx.upstream_list.name),
        upstreams_age: cx.mirror.age(cx.upstream_list.name).unwrap_or_default(),
        replica_addr: cx.cfg.copies,
        loads,
    }
}

/// Returns an update for a gateway that has just started, so that it learns at once that this one is up and which
/// documents to fetch.
pub(crate) fn hello(cx: &Cx) -> Msg {
    Msg::Load(load_update(cx, largest_loads(own_loads(cx))))
}

/// Sends each release to the loaders of the failure domain as it becomes known. Loaders of other failure domains
/// receive it from gateways there.
pub(crate) async fn send_releases(cx: Arc<Cx>, beacon: Beacon) {
    let mut newest = cx.releases.newest();
    while newest.changed().await.is_ok() {
        let list = newest.borrow_and_update().clone();
        let to = cx.peers.borrow().near_loaders.clone();
        info!(target: PART, "{PART}: event=released revision={} releases={:?} loaders={}", list.revision, list.releases, to.len());
        beacon.send(&Msg::Releases(list), to);
    }
}

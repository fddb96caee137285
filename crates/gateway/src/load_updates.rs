//! What this gateway tells other processes by datagram.
//!
//! Within a failure domain it tells what it has in flight and which documents it holds: [`decide::fanout`]
//! says whom. The first of a failure domain passes changes on, and tells other domains the sum. A release is
//! told to the loaders of the failure domain as it becomes known.

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

/// Time between two notes to other failure domains: their links carry streams and weights too. Of 76 engines
/// a note has 1.6 KB, so one in 125 ms takes 0.1 Mbit/s; to each of 13 gateways it took 1.3.
const DOMAIN_LOAD_INTERVAL: Duration = Duration::from_millis(125);

/// Loads in each such note that were told longest ago: of 204 engines each then comes again within 3 s.
const REFRESHED: usize = 10;

/// Why a note is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    /// Requests have begun or ended.
    Load,
    /// A document has changed.
    Document,
    /// Other processes have come or gone, or all were told nothing for long.
    Due,
    /// Nothing was told for a while.
    StillUp,
}

/// Tells other gateways of the failure domain what is in flight here, and which documents are held.
pub(crate) async fn send_updates(cx: Arc<Cx>, beacon: Beacon) {
    let mut documents = cx.mirror.changes();
    let mut peers = cx.peers.clone();
    let mut told = clock::now();
    let mut told_all = told;
    loop {
        let others = near_gateways(&cx, clock::now()).len();
        let due = told_all + full_update_interval(others);
        let news = tokio::select! {
            Ok(()) = peers.changed() => News::Due,
            _ = clock::sleep_until(due) => News::Due,
            _ = clock::sleep_until(told + MAX_UPDATE_INTERVAL) => News::StillUp,
            Ok(()) = documents.changed() => News::Document,
            _ = cx.admission.load_changed() => {
                let audience = audience(&cx, News::Load, others, clock::now());
                tokio::time::sleep(batch_delay(audience)).await;
                News::Load
            }
        };
        let now = clock::now();
        let near = near_gateways(&cx, now);
        let audience = audience(&cx, news, near.len(), now);
        let note = load_note(&cx, largest_loads(own_loads(&cx)));
        beacon.send(&Msg::Load(note), receivers(&cx, &near, audience));
        told = now;
        if audience == FanOut::All {
            told_all = now;
        }
    }
}

fn audience(cx: &Cx, news: News, others: usize, now: Instant) -> FanOut {
    match news {
        News::Due => FanOut::All,
        // Those that pass changes on tell all of a newer document; the others need not again.
        News::Document if cx.loads.rank(&cx.cfg.node.vm, now) < LEADERS => FanOut::All,
        News::Document | News::Load | News::StillUp => {
            change_fan_out(others, cx.loads.is_relayed(now))
        }
    }
}

/// Other gateways of the failure domain, and where they take datagrams: those that are listed, and those that
/// were heard, since a list is a second behind.
pub(crate) fn near_gateways(cx: &Cx, now: Instant) -> Map<VmId, SocketAddr> {
    let mut near = cx.peers.borrow().near_gateways.clone();
    near.extend(cx.loads.addresses(now));
    near
}

/// Those among them that are told.
fn receivers(cx: &Cx, near: &Map<VmId, SocketAddr>, audience: FanOut) -> Vec<SocketAddr> {
    match audience {
        FanOut::All => near.values().copied().collect(),
        FanOut::Leaders => {
            let first = cx.loads.leaders(&cx.cfg.node.vm, LEADERS, clock::now());
            first
                .iter()
                .filter_map(|vm| near.get(vm))
                .copied()
                .collect()
        }
    }
}

/// Passes changes of load on to all gateways of the failure domain, while that falls to this one.
pub(crate) async fn relay_changes(cx: Arc<Cx>, beacon: Beacon) {
    let mut passed = RelayedLoads::default();
    let mut pause = RELAY_INTERVAL;
    loop {
        tokio::time::sleep(pause).await;
        let now = clock::now();
        let near = near_gateways(&cx, now);
        let rank = cx.loads.rank(&cx.cfg.node.vm, now);
        if !should_relay(near.len(), rank, cx.loads.is_relayed(now)) {
            passed = RelayedLoads::default();
            pause = recheck_interval(rank);
            continue;
        }
        pause = RELAY_INTERVAL;
        let mut loads = cx.loads.near_loads(now);
        loads.push(own_change(&cx));
        for msg in batch_messages(passed.changes(loads, now), Msg::LoadChanges) {
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

/// Loads of each gateway as they were last passed on, and when anything of it was.
#[derive(Debug, Default)]
pub struct RelayedLoads {
    loads: Map<VmId, (Vec<Load>, Instant)>,
}

impl RelayedLoads {
    /// What has changed since, and now and then which gateways are up though nothing of theirs has; notes
    /// what is passed on now.
    pub fn changes(&mut self, gateways: Vec<LoadChange>, now: Instant) -> Vec<LoadChange> {
        let mut changes = Vec::new();
        for gateway in gateways {
            let LoadChange { from, loads, .. } = &gateway;
            let before = self.loads.get(from);
            let changed = changed(before.map_or(&[], |(loads, _)| loads), loads);
            let is_due = before
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

/// Loads that differ from before, and those that are gone, with nothing in flight. Answers alone are left to
/// whole notes: they fade all the time.
fn changed(before: &[Load], now: &[Load]) -> Vec<Load> {
    let differs = |load: &&Load| {
        let known = before.iter().find(|b| b.upstream == load.upstream);
        known.is_none_or(|b| {
            (b.requests, b.unread, b.failed) != (load.requests, load.unread, load.failed)
        })
    };
    let is_gone = |b: &&Load| b.requests > 0 && !now.iter().any(|l| l.upstream == b.upstream);
    let gone = before.iter().filter(is_gone).map(emptied);
    now.iter().filter(differs).copied().chain(gone).collect()
}

/// Tells gateways of other failure domains what this one has in flight, while this gateway is the
/// first of it.
pub(crate) async fn send_domain_updates(cx: Arc<Cx>, beacon: Beacon) {
    let mut told = PublishedLoads::default();
    let mut pause = DOMAIN_LOAD_INTERVAL;
    loop {
        tokio::time::sleep(pause).await;
        let rank = cx.loads.rank(&cx.cfg.node.vm, clock::now());
        if rank > 0 {
            told = PublishedLoads::default();
            pause = recheck_interval(rank);
            continue;
        }
        pause = DOMAIN_LOAD_INTERVAL;
        let loads = told.next(cx.loads.domain_loads(&own_loads(&cx)));
        let note = load_note(&cx, loads);
        let to = receiver_per_domain(&cx.peers.borrow().far_gateways, note.sequence);
        beacon.send(&Msg::DomainLoad(note), to);
    }
}

/// Loads of the failure domain as others were last told, and in which turn.
#[derive(Debug, Default)]
pub struct PublishedLoads {
    loads: Map<SocketAddr, (Load, u64)>,
    turn: u64,
}

impl PublishedLoads {
    /// What others are told next, as much as fits a note: loads that differ most from what they were told,
    /// those that are gone with nothing in flight, and those that were told longest ago, should a note of
    /// theirs have been lost.
    pub fn next(&mut self, now: Vec<Load>) -> Vec<Load> {
        self.turn += 1;
        let is_gone = |l: &Load| !now.iter().any(|n| n.upstream == l.upstream);
        let told = self.loads.values().map(|(load, _)| *load);
        let gone: Vec<Load> = told.filter(is_gone).map(|l| emptied(&l)).collect();
        let all = now.into_iter().chain(gone);
        let (mut changed, mut rest): (Vec<Load>, Vec<Load>) =
            all.partition(|load| self.difference(load) > 0);
        changed.sort_by_key(|load| std::cmp::Reverse(self.difference(load)));
        rest.extend(changed.split_off(changed.len().min(MAX_LOADS - REFRESHED)));
        rest.retain(|load| self.loads.contains_key(&load.upstream));
        rest.sort_by_key(|load| self.loads.get(&load.upstream).map(|(_, turn)| *turn));
        changed.extend(rest.into_iter().take(REFRESHED));
        for load in &changed {
            match load.requests {
                0 if load.failed == 0 => drop(self.loads.remove(&load.upstream)),
                _ => drop(self.loads.insert(load.upstream, (*load, self.turn))),
            }
        }
        changed
    }

    /// How much a load differs from what others were told, in prompt tokens.
    fn difference(&self, load: &Load) -> u64 {
        let told = self.loads.get(&load.upstream).map(|(told, _)| *told);
        let told = told.unwrap_or_else(|| emptied(load));
        let requests = u64::from(told.requests.abs_diff(load.requests));
        requests * TOKENS_PER_REQUEST as u64 + u64::from(told.unread.abs_diff(load.unread))
    }
}

/// A load of which nothing is in flight any more.
fn emptied(load: &Load) -> Load {
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

fn load_note(cx: &Cx, loads: Vec<Load>) -> LoadUpdate {
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

/// A note for a gateway that has just started: it is to know at once who is up, and what to copy.
pub(crate) fn hello(cx: &Cx) -> Msg {
    Msg::Load(load_note(cx, largest_loads(own_loads(cx))))
}

/// Tells the loaders of the failure domain of each release as it becomes known. Those of others hear of it
/// from gateways there.
pub(crate) async fn send_releases(cx: Arc<Cx>, beacon: Beacon) {
    let mut newest = cx.releases.newest();
    while newest.changed().await.is_ok() {
        let list = newest.borrow_and_update().clone();
        let to = cx.peers.borrow().near_loaders.clone();
        info!(target: PART, "{PART}: event=released revision={} releases={:?} loaders={}", list.revision, list.releases, to.len());
        beacon.send(&Msg::Releases(list), to);
    }
}

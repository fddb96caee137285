//! What a gateway does when other processes tell it something by datagram; [`crate::load_updates`] is what it tells.
//!
//! Loads of other gateways are taken into the book; who is told of a newer document copies it. A loader whose
//! note shows that it missed a release is told of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use base::Revision;
use beacon::{Beacon, EngineStatus, Holding, LoadUpdate, Msg, RateLimitUpdate, SuspectUpdate};
use log::{debug, warn};
use mirror::DocName;
use web::{Client, DialOptions};

use crate::announcements::Scope;
use crate::load_updates::hello;
use crate::rate_limit_updates::sync_rate_limits;
use crate::send::record_health;
use crate::suspect_updates::sync_suspects;
use crate::upstream::Health;
use crate::{Cx, ReplicatedDoc};

/// Log prefix of this part.
const PART: &str = "gossip";

/// Time in which the store usually brings what another gateway knows already: watches of the
/// configuration are up to 0.6 s apart.
const STORE_LEAD: Duration = Duration::from_millis(700);

/// Longest wait for another process's copy of a document.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Takes what others tell.
pub(crate) async fn listen(cx: Arc<Cx>, beacon: Beacon) {
    let client = Client::new(DialOptions::with_timeout(COPY_TIMEOUT));
    loop {
        let (msg, from) = beacon.recv().await;
        match msg {
            Msg::Load(note) => hear(&cx, &client, &beacon, note, from),
            Msg::DomainLoad(note) => {
                let to: Vec<_> = cx.peers.borrow().near_gateways.values().copied().collect();
                beacon.send(&Msg::RelayedLoad(note.clone()), to);
                hear_domain(&cx, &client, note);
            }
            Msg::RelayedLoad(note) => hear_domain(&cx, &client, note),
            Msg::LoadChanges(changes) => {
                let own = &cx.cfg.node.vm;
                cx.loads.apply_changes(own, changes, clock::now());
            }
            Msg::Engine(note) => hear_loader(&cx, &beacon, note, from),
            Msg::Suspects(notes) => hear_suspects(&cx, notes, None),
            Msg::FarSuspects(notes) => hear_suspects(&cx, notes, Some(Scope::Near)),
            Msg::RateLimits(updates) => receive_rate_limits(&cx, updates, None),
            Msg::FarRateLimits(updates) => receive_rate_limits(&cx, updates, Some(Scope::Near)),
            Msg::Chunks(_) | Msg::Releases(_) => {}
        }
    }
}

/// Takes what another gateway tells of requests under which upstreams ended; those upstreams are left alone,
/// so that not each gateway finds out by requests that reach nobody.
fn hear_suspects(cx: &Cx, notes: Vec<SuspectUpdate>, pass_on: Option<Scope>) {
    let ended = cx.suspects.receive(notes, pass_on);
    if ended.is_empty() {
        return;
    }
    let all = cx.upstreams.all();
    for upstream in all.iter().filter(|u| ended.contains(&u.incarnation)) {
        record_health(upstream, Health::Unreachable);
    }
}

/// Takes updates of rate limits; a limit that was lifted may make room for a queued request.
fn receive_rate_limits(cx: &Cx, updates: Vec<RateLimitUpdate>, relay_to: Option<Scope>) {
    if cx.feedback.receive(updates, relay_to, clock::now()) {
        cx.admission.slot_freed().notify_one();
    }
}

/// Takes what a loader tells of its engine, and tells it of releases that it has missed.
fn hear_loader(cx: &Cx, beacon: &Beacon, note: EngineStatus, from: SocketAddr) {
    let now = clock::now();
    for Holding { model, version } in &note.holdings {
        if let Some(version) = version {
            cx.releases.observe(model, *version, now);
        }
    }
    if let Some(newer) = cx.releases.newer_than(&note.releases) {
        beacon.send(&Msg::Releases(newer), [from]);
    }
    if cx.upstreams.apply_status(note, now) {
        cx.admission.slot_freed().notify_one();
    }
}

/// Takes what a gateway of the failure domain tells: its load, and which documents it holds.
fn hear(cx: &Arc<Cx>, client: &Client, beacon: &Beacon, note: LoadUpdate, sender: SocketAddr) {
    // That the store confirmed the list goes for this process too.
    if let Some(confirmed) = clock::now().checked_sub(note.upstreams_age) {
        cx.mirror
            .confirm(cx.upstream_list.name, note.upstreams, confirmed);
    }
    let from = note.replica_addr;
    copy_newer(cx, client, |cx| &cx.configuration, note.configuration, from);
    copy_newer(cx, client, |cx| &cx.upstream_list, note.upstreams, from);
    copy_newer(cx, client, |cx| &cx.member_list, note.members, from);
    cx.loads.record_address(&note.from, sender);
    if cx.loads.apply_update(note, clock::now()) {
        beacon.send(&hello(cx), [sender]);
        sync_suspects(cx, beacon, sender);
        sync_rate_limits(cx, beacon, sender);
    }
}

/// Takes what another failure domain tells.
fn hear_domain(cx: &Arc<Cx>, client: &Client, note: LoadUpdate) {
    follow(cx, client, &note);
    cx.loads.apply_domain_update(note, clock::now());
}

/// Copies a document of another gateway of the failure domain where it is newer, unless that is under
/// way: only the first gateways read the store.
fn copy_newer(
    cx: &Arc<Cx>,
    client: &Client,
    followed: fn(&Cx) -> &ReplicatedDoc,
    revision: Revision,
    from: SocketAddr,
) {
    let ReplicatedDoc { name, fetching, .. } = followed(cx);
    let behind = revision > cx.mirror.revision(name);
    if !behind || fetching.swap(true, Relaxed) {
        return;
    }
    let (cx, client) = (cx.clone(), client.clone());
    tokio::spawn(async move {
        let followed = followed(&cx);
        let copied = copy(&cx, &client, followed.name, from).await;
        followed.fetch_failed.store(!copied, Relaxed);
        followed.fetching.store(false, Relaxed);
    });
}

/// Brings the configuration of another failure domain where it is newer, unless that is under way: a note
/// comes every few milliseconds, and each copy takes a part of two links.
fn follow(cx: &Arc<Cx>, client: &Client, note: &LoadUpdate) {
    let wanted = note.configuration;
    let behind = wanted > cx.mirror.revision(cx.configuration.name);
    if !behind || cx.catching_up.swap(true, Relaxed) {
        return;
    }
    let (cx, client, from) = (cx.clone(), client.clone(), note.replica_addr);
    tokio::spawn(async move {
        catch_up(&cx, &client, from, wanted).await;
        cx.catching_up.store(false, Relaxed);
    });
}

/// Takes a newer configuration from another failure domain, unless the own one has it meanwhile.
async fn catch_up(cx: &Cx, client: &Client, from: SocketAddr, wanted: Revision) {
    tokio::time::sleep(STORE_LEAD).await;
    if cx.mirror.revision(cx.configuration.name) < wanted {
        copy(cx, client, cx.configuration.name, from).await;
    }
}

/// Takes another gateway's copy of a document; `false` where none came.
async fn copy(cx: &Cx, client: &Client, name: DocName, from: SocketAddr) -> bool {
    let asked = mirror::fetch(&cx.mirror, name, client, from, COPY_TIMEOUT).await;
    match &asked {
        Ok(newer) => {
            debug!(target: PART, "{PART}: event=copied table={name} from={from} newer={newer}");
        }
        Err(e) => {
            warn!(target: PART, "{PART}: event=not_copied table={name} from={from} why=\"{e}\"");
        }
    }
    asked.is_ok()
}

//! What gateways tell each other and loaders by datagram, and what they do when they are told.
//!
//! Within a failure domain every gateway tells what it has in flight after each change, and which
//! documents it holds; who is told of a newer one copies it. Other domains are told by one gateway. A
//! release is told to loaders as it becomes known, and again to one whose note shows that it missed it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use base::Revision;
use beacon::{Beacon, EngineNote, Holding, Load, LoadNote, Msg};
use log::{debug, info, warn};
use mirror::DocName;
use web::{Client, Dial};

use crate::loads::{largest, relays};
use crate::{Cx, Followed};

/// Log prefix of this part.
const PART: &str = "gossip";

/// Time between a change of what is in flight and the note that tells it; changes meanwhile go into
/// the same note.
const LOAD_DELAY: Duration = Duration::from_millis(15);

/// Longest time between two load notes.
const LOAD_REPEAT: Duration = Duration::from_millis(400);

/// Time between two notes to other failure domains: their links carry streams and weights too. Of 76 engines
/// a note has 1.6 KB, so one in 125 ms takes 0.1 Mbit/s; to each of 13 gateways it took 1.3.
const DOMAIN_LOAD_INTERVAL: Duration = Duration::from_millis(125);

/// Time in which the store usually brings what another gateway knows already: watches of the
/// configuration are up to 0.6 s apart.
const STORE_LEAD: Duration = Duration::from_millis(700);

/// Longest wait for another process's copy of a document.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells other gateways of the failure domain what is in flight here, and which documents.
pub(crate) async fn tell(cx: Arc<Cx>, beacon: Beacon) {
    let mut documents = cx.mirror.changes();
    let mut peers = cx.peers.clone();
    loop {
        tokio::select! {
            Ok(()) = peers.changed() => {}
            _ = cx.admission.changed() => tokio::time::sleep(LOAD_DELAY).await,
            Ok(()) = documents.changed() => {}
            _ = tokio::time::sleep(LOAD_REPEAT) => {}
        }
        let note = load_note(&cx, largest(own_loads(&cx)));
        let to = cx.peers.borrow().near_gateways.clone();
        beacon.send(&Msg::Load(note), to);
    }
}

/// Tells gateways of other failure domains what this one has in flight, while this gateway is the
/// first of it.
pub(crate) async fn tell_domain(cx: Arc<Cx>, beacon: Beacon) {
    loop {
        tokio::time::sleep(DOMAIN_LOAD_INTERVAL).await;
        if cx.loads.rank(&cx.cfg.node.vm, Instant::now()) > 0 {
            continue;
        }
        let note = load_note(&cx, cx.loads.domain(&own_loads(&cx)));
        let to = relays(&cx.peers.borrow().far_gateways, note.number);
        beacon.send(&Msg::DomainLoad(note), to);
    }
}

fn own_loads(cx: &Cx) -> Vec<Load> {
    let all = cx.roster.all();
    let loads = all.iter().map(|u| u.load());
    loads.filter(|l| l.requests > 0 || l.failed > 0).collect()
}

fn load_note(cx: &Cx, loads: Vec<Load>) -> LoadNote {
    LoadNote {
        from: cx.cfg.node.vm.clone(),
        domain: cx.cfg.node.domain.clone(),
        incarnation: cx.incarnation,
        number: cx.notes.fetch_add(1, Relaxed),
        reaches_store: *cx.reaches_store.borrow(),
        configuration: cx.mirror.revision(cx.configuration.name),
        members: cx.mirror.revision(cx.members.name),
        upstreams: cx.mirror.revision(cx.upstreams.name),
        upstreams_age: cx.mirror.age(cx.upstreams.name).unwrap_or_default(),
        copies_at: cx.cfg.copies,
        loads,
    }
}

/// Takes what others tell.
pub(crate) async fn listen(cx: Arc<Cx>, beacon: Beacon) {
    let client = Client::new(Dial::within(COPY_TIMEOUT));
    loop {
        let (msg, from) = beacon.next().await;
        match msg {
            Msg::Load(note) => hear(&cx, &client, &beacon, note, from),
            Msg::DomainLoad(note) => {
                let to = cx.peers.borrow().near_gateways.clone();
                beacon.send(&Msg::RelayedLoad(note.clone()), to);
                hear_domain(&cx, &client, note);
            }
            Msg::RelayedLoad(note) => hear_domain(&cx, &client, note),
            Msg::Engine(note) => hear_loader(&cx, &beacon, note, from),
            Msg::Chunks(_) | Msg::Releases(_) => {}
        }
    }
}

/// Takes what a loader tells of its engine, and tells it of releases that it has missed.
fn hear_loader(cx: &Cx, beacon: &Beacon, note: EngineNote, from: SocketAddr) {
    let now = Instant::now();
    let whole = |h: &Holding| Some((h.model.clone(), h.version?));
    let held: Vec<_> = note.holdings.iter().filter_map(whole).collect();
    for (model, version) in held {
        cx.releases.observe(&model, version, now);
    }
    if let Some(newer) = cx.releases.newer_than(&note.releases) {
        beacon.send(&Msg::Releases(newer), [from]);
    }
    if cx.roster.note(note, now) {
        cx.admission.freed().notify_one();
    }
}

/// Takes what a gateway of the failure domain tells: its load, and which documents it holds.
fn hear(cx: &Arc<Cx>, client: &Client, beacon: &Beacon, note: LoadNote, sender: SocketAddr) {
    // That the store confirmed the list goes for this process too.
    if let Some(confirmed) = Instant::now().checked_sub(note.upstreams_age) {
        cx.mirror
            .confirm(cx.upstreams.name, note.upstreams, confirmed);
    }
    let from = note.copies_at;
    copy_newer(cx, client, |cx| &cx.configuration, note.configuration, from);
    copy_newer(cx, client, |cx| &cx.upstreams, note.upstreams, from);
    copy_newer(cx, client, |cx| &cx.members, note.members, from);
    if cx.loads.take(note, Instant::now()) {
        // One that has started is to know at once who is up, and what to copy.
        let own = load_note(cx, largest(own_loads(cx)));
        beacon.send(&Msg::Load(own), [sender]);
    }
}

/// Takes what another failure domain tells.
fn hear_domain(cx: &Arc<Cx>, client: &Client, note: LoadNote) {
    follow(cx, client, &note);
    cx.loads.take_domain(note, Instant::now());
}

/// Copies a document of another gateway of the failure domain where it is newer, unless that is under
/// way: only the first gateways read the store.
fn copy_newer(
    cx: &Arc<Cx>,
    client: &Client,
    followed: fn(&Cx) -> &Followed,
    revision: Revision,
    from: SocketAddr,
) {
    let Followed { name, copying, .. } = followed(cx);
    let behind = revision > cx.mirror.revision(name);
    if !behind || copying.swap(true, Relaxed) {
        return;
    }
    let (cx, client) = (cx.clone(), client.clone());
    tokio::spawn(async move {
        let followed = followed(&cx);
        let copied = copy(&cx, &client, followed.name, from).await;
        followed.not_copied.store(!copied, Relaxed);
        followed.copying.store(false, Relaxed);
    });
}

/// Brings the configuration of another failure domain where it is newer, unless that is under way: a note
/// comes every few milliseconds, and each copy takes a part of two links.
fn follow(cx: &Arc<Cx>, client: &Client, note: &LoadNote) {
    let wanted = note.configuration;
    let behind = wanted > cx.mirror.revision(cx.configuration.name);
    if !behind || cx.catching_up.swap(true, Relaxed) {
        return;
    }
    let (cx, client, from) = (cx.clone(), client.clone(), note.copies_at);
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
    let asked = mirror::ask(&cx.mirror, name, client, from, COPY_TIMEOUT).await;
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

/// Tells loaders of each release as it becomes known.
pub(crate) async fn release(cx: Arc<Cx>, beacon: Beacon) {
    let mut newest = cx.releases.newest();
    while newest.changed().await.is_ok() {
        let list = newest.borrow_and_update().clone();
        let to = cx.peers.borrow().loader_beacons.clone();
        info!(target: PART, "{PART}: event=released revision={} releases={:?} loaders={}", list.revision, list.releases, to.len());
        beacon.send(&Msg::Releases(list), to);
    }
}

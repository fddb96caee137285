//! Receives datagrams from other processes; [`crate::load_updates`], [`crate::suspect_updates`],
//! [`crate::part_updates`] and [`crate::rate_limit_updates`] send them.
//!
//! Loads of other gateways are stored in [`crate::loads::LoadTable`]. A document that another gateway has in a newer
//! revision is fetched from it. A loader whose status shows that it missed a release is sent the newest releases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use base::StoreRevision;
use beacon::{Beacon, EngineStatus, LoadUpdate, Msg, PaceUpdate, RateLimitUpdate, SuspectUpdate};
use log::{debug, warn};
use mirror::DocName;
use web::{Client, DialOptions};

use crate::announcements::Scope;
use crate::demand_updates::{apply_demand, relay_demand};
use crate::load_updates::hello;
use crate::rate_limit_updates::sync_rate_limits;
use crate::send::record_health;
use crate::suspect_updates::sync_suspects;
use crate::upstream::Health;
use crate::{Cx, ReplicatedDoc};

/// Log prefix of this part.
const PART: &str = "gossip";

/// Time within which the store usually delivers a revision that another gateway already has: watches of the
/// configuration are up to 0.6 s apart.
const STORE_DELAY: Duration = Duration::from_millis(700);

/// Timeout of fetching a replica from another process.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Receives and applies messages.
pub(crate) async fn listen(cx: Arc<Cx>, beacon: Beacon) {
    let client = Client::new(DialOptions::with_timeout(FETCH_TIMEOUT));
    loop {
        let (msg, from) = beacon.recv().await;
        match msg {
            Msg::Load(update) => apply_load(&cx, &client, &beacon, update, from),
            Msg::DomainLoad(update) => {
                let to: Vec<_> = cx.peers.borrow().near_gateways.values().copied().collect();
                beacon.send(&Msg::RelayedLoad(update.clone()), to);
                apply_domain_load(&cx, &client, update);
            }
            Msg::RelayedLoad(update) => apply_domain_load(&cx, &client, update),
            Msg::LoadChanges(changes) => {
                let own = &cx.cfg.node.vm;
                cx.loads.apply_changes(own, changes, clock::now());
            }
            Msg::Engine(status) => apply_engine_status(&cx, &beacon, status, from),
            Msg::Suspects(updates) => apply_suspects(&cx, updates, None),
            Msg::FarSuspects(updates) => apply_suspects(&cx, updates, Some(Scope::Near)),
            Msg::Parts(updates) => cx.suspects.receive_parts(updates, None),
            Msg::FarParts(updates) => cx.suspects.receive_parts(updates, Some(Scope::Near)),
            Msg::RateLimits(updates) => apply_rate_limits(&cx, updates, None),
            Msg::FarRateLimits(updates) => apply_rate_limits(&cx, updates, Some(Scope::Near)),
            Msg::Pace(update) => apply_pace(&cx, update),
            Msg::FarPace(update) => {
                apply_pace(&cx, update);
                let to: Vec<_> = cx.peers.borrow().near_gateways.values().copied().collect();
                beacon.send(&Msg::Pace(update), to);
            }
            Msg::Demand(update) => apply_demand(&cx, update),
            Msg::DomainDemand(update) => relay_demand(&cx, &beacon, update),
            Msg::RelayedDemand(update) => cx.demand.apply_domain_update(update, clock::now()),
            Msg::Chunks(_) | Msg::Releases(_) => {}
        }
    }
}

/// Applies another gateway's updates of suspects. Upstreams that have exited are ejected, so that not every gateway
/// finds out by failed connections.
fn apply_suspects(cx: &Cx, updates: Vec<SuspectUpdate>, relay_to: Option<Scope>) {
    let exited = cx.suspects.receive(updates, relay_to);
    if exited.is_empty() {
        return;
    }
    let all = cx.upstreams.all();
    for upstream in all.iter().filter(|u| exited.contains(&u.incarnation)) {
        record_health(upstream, Health::Unreachable);
    }
}

/// Applies updates of rate limits; a lifted limit may free capacity for a queued request.
fn apply_rate_limits(cx: &Cx, updates: Vec<RateLimitUpdate>, relay_to: Option<Scope>) {
    if cx.feedback.receive(updates, relay_to, clock::now()) {
        cx.admission.slot_freed().notify_one();
    }
}

/// Applies the pace of an engine; one that has become faster may have capacity for a queued request.
fn apply_pace(cx: &Cx, update: PaceUpdate) {
    let Some(upstream) = cx.upstreams.at(&update.upstream) else {
        return;
    };
    if cx.paces.apply(&upstream.service, update, clock::now()) {
        cx.admission.slot_freed().notify_one();
    }
}

/// Applies a loader's status of its engine, and sends the loader the releases that it missed.
fn apply_engine_status(cx: &Cx, beacon: &Beacon, status: EngineStatus, from: SocketAddr) {
    let now = clock::now();
    // A version that the engine alone claims to hold is no release: one corrupt report would end the use of all others.
    cx.releases.observe(&status.verified, now);
    if let Some(newer) = cx.releases.newer_than(&status.releases) {
        beacon.send(&Msg::Releases(newer), [from]);
    }
    if cx.upstreams.apply_status(status, now) {
        cx.admission.slot_freed().notify_one();
    }
}

/// Applies an update of a gateway of the failure domain: its load, and the revisions of its replicas.
fn apply_load(
    cx: &Arc<Cx>,
    client: &Client,
    beacon: &Beacon,
    update: LoadUpdate,
    sender: SocketAddr,
) {
    // A confirmation of the list by the store is valid for this process too.
    let confirmed = clock::now().checked_sub(update.upstreams_age);
    let upstreams = resolve(cx, update.upstreams);
    if let Some((confirmed, upstreams)) = confirmed.zip(upstreams) {
        cx.mirror
            .confirm(cx.upstream_list.name, upstreams, confirmed);
    }
    let from = update.replica_addr;
    fetch_newer(
        cx,
        client,
        |cx| &cx.configuration,
        update.configuration,
        from,
    );
    fetch_newer(cx, client, |cx| &cx.upstream_list, update.upstreams, from);
    fetch_newer(cx, client, |cx| &cx.member_list, update.members, from);
    cx.loads.record_address(&update.from, sender);
    if cx.loads.apply_update(update, clock::now()) {
        beacon.send(&hello(cx), [sender]);
        sync_suspects(cx, beacon, sender);
        sync_rate_limits(cx, beacon, sender);
    }
}

/// Applies an update of another failure domain.
fn apply_domain_load(cx: &Arc<Cx>, client: &Client, update: LoadUpdate) {
    fetch_newer_configuration(cx, client, &update);
    cx.loads.apply_domain_update(update, clock::now());
}

/// Returns a revision announced by another process, with its era; `None` if it holds none, or the era is ambiguous.
fn resolve(cx: &Cx, stated: StoreRevision) -> Option<StoreRevision> {
    match stated == StoreRevision::default() {
        true => None,
        false => cx.mirror.resolve(stated.era, stated.number),
    }
}

/// Fetches a document from another gateway of the failure domain where it is newer, unless a fetch is in progress:
/// only the first gateways by rank read the store.
fn fetch_newer(
    cx: &Arc<Cx>,
    client: &Client,
    doc: fn(&Cx) -> &ReplicatedDoc,
    revision: StoreRevision,
    from: SocketAddr,
) {
    let ReplicatedDoc { name, fetching, .. } = doc(cx);
    let is_behind = resolve(cx, revision) > Some(cx.mirror.revision(name));
    if !is_behind || fetching.swap(true, Relaxed) {
        return;
    }
    let (cx, client) = (cx.clone(), client.clone());
    tokio::spawn(async move {
        let doc = doc(&cx);
        let is_fetched = fetch_replica(&cx, &client, doc.name, from).await;
        doc.fetch_failed.store(!is_fetched, Relaxed);
        doc.fetching.store(false, Relaxed);
    });
}

/// Fetches the configuration from another failure domain where it is newer, unless a fetch is in progress: updates
/// arrive every few milliseconds, and each fetch takes bandwidth of two links.
fn fetch_newer_configuration(cx: &Arc<Cx>, client: &Client, update: &LoadUpdate) {
    let Some(wanted) = resolve(cx, update.configuration) else {
        return;
    };
    let is_behind = wanted > cx.mirror.revision(cx.configuration.name);
    if !is_behind || cx.catching_up.swap(true, Relaxed) {
        return;
    }
    let (cx, client, from) = (cx.clone(), client.clone(), update.replica_addr);
    tokio::spawn(async move {
        fetch_after_delay(&cx, &client, from, wanted).await;
        cx.catching_up.store(false, Relaxed);
    });
}

/// Fetches a newer configuration from another failure domain, unless the own one has it after [`STORE_DELAY`].
async fn fetch_after_delay(cx: &Cx, client: &Client, from: SocketAddr, wanted: StoreRevision) {
    tokio::time::sleep(STORE_DELAY).await;
    if cx.mirror.revision(cx.configuration.name) < wanted {
        fetch_replica(cx, client, cx.configuration.name, from).await;
    }
}

/// Fetches a replica from another gateway; returns `false` where that failed.
async fn fetch_replica(cx: &Cx, client: &Client, name: DocName, from: SocketAddr) -> bool {
    let fetched = mirror::fetch(&cx.mirror, name, client, from, FETCH_TIMEOUT).await;
    match &fetched {
        Ok(newer) => {
            debug!(target: PART, "{PART}: event=copied table={name} from={from} newer={newer}");
        }
        Err(e) => {
            warn!(target: PART, "{PART}: event=not_copied table={name} from={from} why=\"{e}\"");
        }
    }
    fetched.is_ok()
}

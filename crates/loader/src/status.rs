//! Polls the engine's state and publishes it to gateways.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use beacon::{EngineStatus, Member, Msg, Role};
use log::{info, warn};
use rand::seq::IndexedRandom;
use tokio::sync::watch;

use crate::Cx;
use crate::api::EngineState;
use crate::pace::{PaceTracker, poll_pause, publish_pace};

/// Log prefix of this part.
const PART: &str = "engine";

/// Poll interval while a switch is in progress.
const SWITCHING_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Interval of status updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(1000);

/// Time after a change for which all gateways receive updates: they rely on an update for 3 s, and by then the
/// platform's list shows the same. Afterwards only two gateways receive them, which send the loader any releases
/// that it missed. 204 loaders that each updated 149 gateways every second sent 30,000 datagrams a second.
const CHANGE_TIME: Duration = Duration::from_millis(3500);

/// Minimum interval of updates while the engine accepts no requests, which gateways must not miss.
const SWITCHING_UPDATE_INTERVAL: Duration = Duration::from_millis(80);

/// Part of that interval per receiving gateway: at most a hundred datagrams a second are sent.
const SWITCHING_UPDATE_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(10);

/// Interval of those updates to other failure domains, whose links are shared with requests and weights.
const SWITCHING_UPDATE_INTERVAL_FAR: Duration = Duration::from_millis(400);

/// Polls the state and publishes it, until the process ends; `tx` holds the last state read.
pub(crate) async fn publish(cx: Arc<Cx>, tx: watch::Sender<Option<EngineState>>) {
    let mut sequence = 0;
    let mut sent = clock::now();
    let mut sent_far = clock::now();
    let mut sent_plan = None;
    // Whether the engine accepted no requests, what it held and when it started, as last read, and the number of verified
    // claims. Silence since then is no change: an engine that has paused goes on with the same weights.
    let mut last_read = None;
    let mut changed_at = clock::now();
    let mut paces = PaceTracker::new(clock::now());
    loop {
        let polled_at = clock::now();
        let mut switching = false;
        match (cx.api.state)(()).await {
            Ok(state) => {
                publish_pace(&cx, &mut paces, state.pace);
                switching = state.switching || cx.leaving.load(Ordering::Relaxed);
                let verified = cx.verified_claims.load(Ordering::Relaxed);
                let read = Some((
                    switching,
                    state.holdings.clone(),
                    state.start_time,
                    verified,
                ));
                let changed = last_read != read;
                last_read = read;
                let planned = leaves_at(&cx);
                let replanned = std::mem::replace(&mut sent_plan, planned) != planned;
                if changed {
                    info!(target: PART, "{PART}: event=state switching={switching} orders={} holdings={:?} running={} queued={}", state.orders, state.holdings, state.running, state.queued);
                }
                let (interval, interval_far) = match switching {
                    true => (
                        switching_interval(near_gateways(&cx)),
                        SWITCHING_UPDATE_INTERVAL_FAR,
                    ),
                    false => (UPDATE_INTERVAL, UPDATE_INTERVAL),
                };
                let is_new = changed || replanned;
                if is_new || switching || planned.is_some() {
                    changed_at = clock::now();
                }
                let near = is_new || clock::since(sent) >= interval;
                let far = is_new || clock::since(sent_far) >= interval_far;
                if near || far {
                    sequence += 1;
                    let receivers = match clock::since(changed_at) < CHANGE_TIME {
                        true => gateways(&cx, near, far),
                        false => two_gateways(&cx),
                    };
                    send(&cx, sequence, &state, switching, receivers);
                }
                if near {
                    sent = clock::now();
                }
                if far {
                    sent_far = clock::now();
                }
                tx.send_replace(Some(state));
            }
            Err(e) => {
                if tx.send_replace(None).is_some() {
                    warn!(target: PART, "{PART}: event=lost why=\"{e}\"");
                }
            }
        }
        let pause = match switching {
            true => SWITCHING_POLL_INTERVAL,
            false => poll_pause(&cx.cfg, &paces, polled_at, clock::now()),
        };
        tokio::select! {
            _ = tokio::time::sleep(pause) => {}
            _ = cx.poll_engine.notified() => {}
        }
    }
}

fn leaves_at(cx: &Cx) -> Option<Instant> {
    *cx.leaves_at.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the interval of updates to the gateways of the failure domain, by their number, while the engine accepts no
/// requests.
fn switching_interval(gateways: usize) -> Duration {
    let total = SWITCHING_UPDATE_INTERVAL_PER_GATEWAY * u32::try_from(gateways).unwrap_or(u32::MAX);
    total.max(SWITCHING_UPDATE_INTERVAL)
}

fn near_gateways(cx: &Cx) -> usize {
    gateways(cx, true, false).len()
}

/// Returns the datagram addresses of gateways of the own failure domain if `near`, and of the others if `far`.
pub(crate) fn gateways(cx: &Cx, near: bool, far: bool) -> Vec<SocketAddr> {
    let is_receiver = |m: &&Member| match m.domain == cx.cfg.node.domain {
        true => near,
        false => far,
    };
    let members = cx.members.borrow();
    let gateways = members.iter().filter(|m| m.role == Role::Gateway);
    gateways.filter(is_receiver).map(|m| m.beacon).collect()
}

/// Returns a gateway of the own failure domain and one of any domain, since those of the own one may all be behind.
fn two_gateways(cx: &Cx) -> Vec<SocketAddr> {
    let mut rng = rand::rng();
    let (near, all) = (gateways(cx, true, false), gateways(cx, true, true));
    let groups = [near, all].into_iter();
    groups
        .filter_map(|group| group.choose(&mut rng).copied())
        .collect()
}

/// Sends a status update; `switching` states whether the engine accepts no requests.
fn send(cx: &Cx, sequence: u64, state: &EngineState, switching: bool, receivers: Vec<SocketAddr>) {
    let known = cx.known.borrow();
    let status = EngineStatus {
        incarnation: cx.incarnation,
        sequence,
        upstream: cx.cfg.engine,
        switching,
        leaves_in: leaves_at(cx).map(|at| at.saturating_duration_since(clock::now())),
        holdings: state.holdings.clone(),
        running: state.running,
        queued: state.queued,
        start_time: state.start_time,
        releases: known.list.releases.clone(),
        verified: known.verified.releases.clone(),
    };
    drop(known);
    cx.beacon.send(&Msg::Engine(status), receivers);
}

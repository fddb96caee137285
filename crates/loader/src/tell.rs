//! Reads the engine's state and tells gateways.

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

/// Log prefix of this part.
const PART: &str = "engine";

/// Time between two looks while an order is under way.
const SWITCHING_INTERVAL: Duration = Duration::from_millis(40);

/// Notes of a state that is news are repeated this often.
const REPEAT: Duration = Duration::from_millis(1000);

/// Time for which an unchanged state is news: gateways go by a note for 3 s, and by then the platform's list
/// shows the same. Afterwards two gateways are told, which tell the loader of releases that it missed: of
/// 204 loaders that each told 149 gateways every second came 30,000 datagrams a second.
const NEWS_TIME: Duration = Duration::from_millis(3500);

/// Time between two notes while the engine takes no new requests, which gateways must not miss.
const SWITCHING_REPEAT: Duration = Duration::from_millis(80);

/// The same for each gateway that is told, where they are many: at most a hundred datagrams a second.
const SWITCHING_REPEAT_EACH: Duration = Duration::from_millis(10);

/// The same towards other failure domains, whose links are shared with requests and weights.
const SWITCHING_REPEAT_FAR: Duration = Duration::from_millis(400);

/// Reads the state again and again; what was read last is in `tx`.
pub(crate) async fn tell(cx: Arc<Cx>, tx: watch::Sender<Option<EngineState>>) {
    let mut sequence = 0;
    let mut told = clock::now();
    let mut told_far = clock::now();
    let mut told_plan = None;
    let mut news_at = clock::now();
    loop {
        let before = tx.borrow().clone();
        match (cx.api.state)(()).await {
            Ok(mut state) => {
                state.switching |= cx.leaving.load(Ordering::Relaxed);
                let changed = before
                    .as_ref()
                    .is_none_or(|b| b.switching != state.switching || b.holdings != state.holdings);
                let planned = leaves_at(&cx);
                let replanned = std::mem::replace(&mut told_plan, planned) != planned;
                if changed {
                    info!(target: PART, "{PART}: event=state switching={} orders={} holdings={:?} running={} queued={}", state.switching, state.orders, state.holdings, state.running, state.queued);
                }
                let (repeat, repeat_far) = match state.switching {
                    true => (switching_repeat(near_gateways(&cx)), SWITCHING_REPEAT_FAR),
                    false => (REPEAT, REPEAT),
                };
                let news = changed || replanned;
                if news || state.switching || planned.is_some() {
                    news_at = clock::now();
                }
                let near = news || clock::since(told) >= repeat;
                let far = news || clock::since(told_far) >= repeat_far;
                if near || far {
                    sequence += 1;
                    let receivers = match clock::since(news_at) < NEWS_TIME {
                        true => gateways(&cx, near, far),
                        false => any_gateway(&cx),
                    };
                    send(&cx, sequence, &state, receivers);
                }
                if near {
                    told = clock::now();
                }
                if far {
                    told_far = clock::now();
                }
                tx.send_replace(Some(state));
            }
            Err(e) => {
                if before.is_some() {
                    warn!(target: PART, "{PART}: event=lost why=\"{e}\"");
                }
                tx.send_replace(None);
            }
        }
        let switching = tx.borrow().as_ref().is_some_and(|s| s.switching);
        let pause = match switching {
            true => SWITCHING_INTERVAL,
            false => cx.cfg.engine_poll,
        };
        tokio::select! {
            _ = tokio::time::sleep(pause) => {}
            _ = cx.look.notified() => {}
        }
    }
}

fn leaves_at(cx: &Cx) -> Option<Instant> {
    *cx.leaves_at.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time between two notes to so many gateways of the failure domain while the engine takes no new requests.
fn switching_repeat(gateways: usize) -> Duration {
    let each = SWITCHING_REPEAT_EACH * u32::try_from(gateways).unwrap_or(u32::MAX);
    each.max(SWITCHING_REPEAT)
}

fn near_gateways(cx: &Cx) -> usize {
    gateways(cx, true, false).len()
}

/// Where gateways of the own failure domain take datagrams, where `near`, and those of others, where `far`.
fn gateways(cx: &Cx, near: bool, far: bool) -> Vec<SocketAddr> {
    let is_told = |m: &&Member| match m.domain == cx.cfg.node.domain {
        true => near,
        false => far,
    };
    let members = cx.members.borrow();
    let gateways = members.iter().filter(|m| m.role == Role::Gateway);
    gateways.filter(is_told).map(|m| m.beacon).collect()
}

/// One gateway of the own failure domain, and one of any: the own ones may all be behind.
fn any_gateway(cx: &Cx) -> Vec<SocketAddr> {
    let mut rng = rand::rng();
    let (near, all) = (gateways(cx, true, false), gateways(cx, true, true));
    let any = [near, all].into_iter();
    any.filter_map(|among| among.choose(&mut rng).copied())
        .collect()
}

/// Sends a note.
fn send(cx: &Cx, sequence: u64, state: &EngineState, receivers: Vec<SocketAddr>) {
    let note = EngineStatus {
        incarnation: cx.incarnation,
        sequence,
        upstream: cx.cfg.engine,
        switching: state.switching,
        leaves_in: leaves_at(cx).map(|at| at.saturating_duration_since(clock::now())),
        holdings: state.holdings.clone(),
        running: state.running,
        queued: state.queued,
        start_time: state.start_time,
        releases: cx.known.borrow().list.releases.clone(),
    };
    cx.beacon.send(&Msg::Engine(note), receivers);
}

//! Reads the engine's state and tells gateways.

use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use base::DomainName;
use beacon::{EngineNote, Msg, Role};
use log::{info, warn};
use tokio::sync::watch;

use crate::Cx;
use crate::api::EngineState;

/// Log prefix of this part.
const PART: &str = "engine";

/// Time between two looks while an order is under way.
const SWITCHING_INTERVAL: Duration = Duration::from_millis(40);

/// Notes of an unchanged state are sent at least this often.
const REPEAT: Duration = Duration::from_millis(1000);

/// The same while the engine takes no new requests, which gateways must not miss.
const SWITCHING_REPEAT: Duration = Duration::from_millis(80);

/// The same towards other failure domains, whose links are shared with requests and weights.
const SWITCHING_REPEAT_FAR: Duration = Duration::from_millis(400);

/// Reads the state again and again; what was read last is in `tx`.
pub(crate) async fn tell(cx: Arc<Cx>, tx: watch::Sender<Option<EngineState>>) {
    let mut number = 0;
    let mut told = Instant::now();
    let mut told_far = Instant::now();
    let mut told_plan = None;
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
                    true => (SWITCHING_REPEAT, SWITCHING_REPEAT_FAR),
                    false => (REPEAT, REPEAT),
                };
                let news = changed || replanned;
                let near = news || told.elapsed() >= repeat;
                let far = news || told_far.elapsed() >= repeat_far;
                if near || far {
                    number += 1;
                    send(&cx, number, &state, |domain| {
                        match *domain == cx.cfg.node.domain {
                            true => near,
                            false => far,
                        }
                    });
                }
                if near {
                    told = Instant::now();
                }
                if far {
                    told_far = Instant::now();
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

/// Sends a note to the gateways of the failure domains that are to be told.
fn send(cx: &Cx, number: u64, state: &EngineState, is_told: impl Fn(&DomainName) -> bool) {
    let note = EngineNote {
        incarnation: cx.incarnation,
        number,
        upstream: cx.cfg.engine,
        switching: state.switching,
        leaves_in: leaves_at(cx).map(|at| at.saturating_duration_since(Instant::now())),
        holdings: state.holdings.clone(),
        running: state.running,
        queued: state.queued,
        born: state.born,
        releases: cx.known.borrow().list.releases.clone(),
    };
    let members = cx.members.borrow();
    let gateways = members
        .iter()
        .filter(|m| m.role == Role::Gateway && is_told(&m.domain))
        .map(|m| m.beacon);
    cx.beacon.send(&Msg::Engine(note), gateways);
}

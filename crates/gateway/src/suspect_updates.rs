//! Sends updates of suspects to other gateways.
//!
//! Each crash makes an upstream unavailable for seconds, so an update is sent at once to all gateways of the failure
//! domain and to two of each other failure domain, which relay what is new to them. It is sent four times within
//! 1.3 s, since datagrams get lost. A gateway that was partitioned, suspended or has just started catches up from the
//! leader of a failure domain, which repeats the most severe suspects periodically while there are any. While no
//! upstream exits, nothing is sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use beacon::{Beacon, Msg, SuspectUpdate, batch_messages};

use crate::Cx;
use crate::load_updates::near_gateways;
use crate::loads::receiver_per_domain;

/// Time for which updates are batched: all requests in flight at an upstream that exits break off within it.
pub(crate) const BATCH_TIME: Duration = Duration::from_millis(3);

/// Time between two updates in which the leader of a failure domain repeats its suspects.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Number of receivers in each other failure domain.
const FAR_RECEIVERS: u64 = 2;

/// Maximum number of suspects in an update to another failure domain; they fit a datagram. Where a seventh of 12,000
/// engines exits, this bounds the updates between two regions to a calculated 0.8 MB/s.
pub(crate) const MAX_FAR: usize = 15;

/// Maximum number of suspects that are repeated, or sent to a gateway that has just started: two datagrams.
const MAX_REPEATED: usize = 2 * MAX_FAR;

/// Sends pending updates, and repeats the suspects periodically.
pub(crate) async fn send_suspects(cx: Arc<Cx>, beacon: Beacon) {
    let mut sequence = 0;
    let mut last_repeat = clock::now();
    let mut next = None;
    loop {
        wait_until_due(&cx, next, last_repeat + REPEAT_INTERVAL).await;
        let now = clock::now();
        let (due, next_due) = cx.suspects.due(now, MAX_FAR);
        next = next_due.map(|at| at.max(now + BATCH_TIME));
        sequence += 1;
        send(&cx, &beacon, due.near, due.far, SUSPECTS, sequence);
        if now >= last_repeat + REPEAT_INTERVAL {
            last_repeat = now;
            if cx.loads.rank(&cx.cfg.node.vm, now) == 0 {
                let suspects = cx.suspects.most_severe(MAX_REPEATED);
                send(&cx, &beacon, suspects.clone(), suspects, SUSPECTS, sequence);
            }
        }
    }
}

/// Waits until an update may be due. Without suspects no timer runs.
async fn wait_until_due(cx: &Cx, next: Option<Instant>, repeat_at: Instant) {
    let until = match (next, cx.suspects.is_empty()) {
        (Some(next), _) => next.min(repeat_at),
        (None, false) => repeat_at,
        (None, true) => return wait_for_batch(cx).await,
    };
    tokio::select! {
        () = wait_for_batch(cx) => {}
        () = clock::sleep_until(until) => {}
    }
}

async fn wait_for_batch(cx: &Cx) {
    cx.suspects.pending.changed().await;
    tokio::time::sleep(BATCH_TIME).await;
}

/// Kinds of messages that carry updates to gateways of the own failure domain and of others.
pub(crate) struct MessageKinds<T> {
    pub(crate) near: fn(Vec<T>) -> Msg,
    pub(crate) far: fn(Vec<T>) -> Msg,
}

const SUSPECTS: MessageKinds<SuspectUpdate> = MessageKinds {
    near: Msg::Suspects,
    far: Msg::FarSuspects,
};

/// Sends `near` to all gateways of the failure domain, and its subset `far` to a few gateways of each other failure
/// domain, which rotate with `sequence`.
pub(crate) fn send<T: Clone>(
    cx: &Cx,
    beacon: &Beacon,
    near: Vec<T>,
    far: Vec<T>,
    messages: MessageKinds<T>,
    sequence: u64,
) {
    if near.is_empty() {
        return;
    }
    let to: Vec<SocketAddr> = near_gateways(cx, clock::now()).into_values().collect();
    for msg in batch_messages(near, messages.near) {
        beacon.send(&msg, to.iter().copied());
    }
    let to = far_receivers(cx, sequence);
    for msg in batch_messages(far, messages.far) {
        beacon.send(&msg, to.iter().copied());
    }
}

/// Returns the receivers in other failure domains, which rotate with `sequence`.
fn far_receivers(cx: &Cx, sequence: u64) -> Vec<SocketAddr> {
    let domains = cx.peers.borrow().far_gateways.clone();
    let first = sequence * FAR_RECEIVERS;
    let mut to: Vec<SocketAddr> = (first..first + FAR_RECEIVERS)
        .flat_map(|n| receiver_per_domain(&domains, n))
        .collect();
    to.sort_unstable();
    to.dedup();
    to
}

/// Sends the most severe suspects to a gateway that has just started.
pub(crate) fn sync_suspects(cx: &Cx, beacon: &Beacon, new_gateway: SocketAddr) {
    for msg in batch_messages(cx.suspects.most_severe(MAX_REPEATED), Msg::Suspects) {
        beacon.send(&msg, [new_gateway]);
    }
}

//! Tells other gateways of requests under which upstreams ended.
//!
//! Each crash costs an upstream for seconds, so news of it goes at once to all gateways of the failure domain
//! and to two of each other one, which pass on what is news to them; it's told four times within 1.3 s, since
//! datagrams get lost. Who was cut off, suspended or has just started learns from the first gateway of a
//! failure domain, which tells what is known again and again while there is anything. While no upstream ends
//! nothing is sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use beacon::{Beacon, Msg, SuspectUpdate, batch_messages};

use crate::Cx;
use crate::load_updates::near_gateways;
use crate::loads::receiver_per_domain;

/// Time in which news is gathered: what ran at one upstream breaks off within it.
const GATHER_TIME: Duration = Duration::from_millis(3);

/// Time between two times at which the first gateway of a failure domain tells all it knows.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Gateways of each other failure domain that are told.
const FAR_RECEIVERS: u64 = 2;

/// Cases told to another failure domain at once, which fit a datagram. Where a seventh of 12,000 engines ends
/// that bounds them, by reckoning, to 0.8 MB/s between two regions.
const MOST_FAR: usize = 15;

/// Cases told again, and to gateways that start, two datagrams.
const MOST_RENEWED: usize = 2 * MOST_FAR;

/// Tells news, and now and then what is known.
pub(crate) async fn send_suspects(cx: Arc<Cx>, beacon: Beacon) {
    let mut number = 0;
    let mut renewed = clock::now();
    let mut next = None;
    loop {
        wait(&cx, next, renewed + RENEW_INTERVAL).await;
        let now = clock::now();
        let (due, more) = cx.suspects.due(now, MOST_FAR);
        next = more.map(|at| at.max(now + GATHER_TIME));
        number += 1;
        send(&cx, &beacon, due.near, due.far, SUSPECTS, number);
        if now >= renewed + RENEW_INTERVAL {
            renewed = now;
            if cx.loads.rank(&cx.cfg.node.vm, now) == 0 {
                let all = cx.suspects.most_severe(MOST_RENEWED);
                send(&cx, &beacon, all.clone(), all, SUSPECTS, number);
            }
        }
    }
}

/// Waits until there is something to tell. While nothing is known no timer runs.
async fn wait(cx: &Cx, next: Option<Instant>, renewal: Instant) {
    let until = match (next, cx.suspects.is_empty()) {
        (Some(next), _) => next.min(renewal),
        (None, false) => renewal,
        (None, true) => return gathered(cx).await,
    };
    tokio::select! {
        () = gathered(cx) => {}
        () = clock::sleep_until(until) => {}
    }
}

async fn gathered(cx: &Cx) {
    cx.suspects.pending.changed().await;
    tokio::time::sleep(GATHER_TIME).await;
}

/// Messages that hold items for gateways of the own failure domain, and for those of others.
pub(crate) struct MessageKinds<T> {
    pub(crate) near: fn(Vec<T>) -> Msg,
    pub(crate) far: fn(Vec<T>) -> Msg,
}

const SUSPECTS: MessageKinds<SuspectUpdate> = MessageKinds {
    near: Msg::Suspects,
    far: Msg::FarSuspects,
};

/// Sends items to all gateways of the failure domain and some of them to a few of each other one, of which `number`
/// selects others each time. What goes `far` goes `near` too.
pub(crate) fn send<T: Clone>(
    cx: &Cx,
    beacon: &Beacon,
    near: Vec<T>,
    far: Vec<T>,
    messages: MessageKinds<T>,
    number: u64,
) {
    if near.is_empty() {
        return;
    }
    let to: Vec<SocketAddr> = near_gateways(cx, clock::now()).into_values().collect();
    for msg in batch_messages(near, messages.near) {
        beacon.send(&msg, to.iter().copied());
    }
    let to = far_receivers(cx, number);
    for msg in batch_messages(far, messages.far) {
        beacon.send(&msg, to.iter().copied());
    }
}

/// Gateways of other failure domains that are told, others with each `number`.
fn far_receivers(cx: &Cx, number: u64) -> Vec<SocketAddr> {
    let domains = cx.peers.borrow().far_gateways.clone();
    let first = number * FAR_RECEIVERS;
    let mut to: Vec<SocketAddr> = (first..first + FAR_RECEIVERS)
        .flat_map(|n| receiver_per_domain(&domains, n))
        .collect();
    to.sort_unstable();
    to.dedup();
    to
}

/// Tells a gateway that has just started what is known.
pub(crate) fn sync_suspects(cx: &Cx, beacon: &Beacon, starter: SocketAddr) {
    for msg in batch_messages(cx.suspects.most_severe(MOST_RENEWED), Msg::Suspects) {
        beacon.send(&msg, [starter]);
    }
}

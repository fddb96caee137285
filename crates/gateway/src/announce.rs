//! Tells other gateways of the rate limits that upstreams name.
//!
//! A limit that was named, changed or lifted goes at once to all gateways of the failure domain and to two of each
//! other one, which pass it on; it's told four times within 1.3 s, since datagrams get lost. While it holds, the
//! gateways that still send to the upstream say so again every few seconds. While no upstream names a limit
//! nothing is sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use beacon::{Beacon, Msg, RateLimitNote, packed};

use crate::Cx;
use crate::spread::far_receivers;
use crate::tell::near_gateways;

/// Time in which changes are gathered.
const GATHER_TIME: Duration = Duration::from_millis(3);

/// Time between two looks for what can be forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(60);

/// Tells what upstreams say of their limits.
pub(crate) async fn announce(cx: Arc<Cx>, beacon: Beacon) {
    let mut number = 0;
    let mut next = None;
    let mut forgot = clock::now();
    loop {
        wait(&cx, next).await;
        let now = clock::now();
        let due = cx.feedback.due(now);
        next = due.next;
        number += 1;
        send(&cx, &beacon, due.near, due.far, number);
        if now.saturating_duration_since(forgot) >= FORGET_INTERVAL {
            forgot = now;
            cx.feedback.forget(&cx.roster.lives(), now);
        }
    }
}

async fn wait(cx: &Cx, next: Option<Instant>) {
    let until = clock::now() + FORGET_INTERVAL;
    let until = next.map_or(until, |next| next.min(until));
    tokio::select! {
        () = cx.feedback.changed() => tokio::time::sleep(GATHER_TIME).await,
        () = clock::sleep_until(until) => {}
    }
}

fn send(cx: &Cx, beacon: &Beacon, near: Vec<RateLimitNote>, far: Vec<RateLimitNote>, number: u64) {
    if near.is_empty() {
        return;
    }
    let to: Vec<SocketAddr> = near_gateways(cx, clock::now()).into_values().collect();
    for msg in packed(near, Msg::RateLimits) {
        beacon.send(&msg, to.iter().copied());
    }
    let to = far_receivers(cx, number);
    for msg in packed(far, Msg::FarRateLimits) {
        beacon.send(&msg, to.iter().copied());
    }
}

/// Tells a gateway that has just started which limits hold.
pub(crate) fn greet(cx: &Cx, beacon: &Beacon, starter: SocketAddr) {
    for msg in packed(cx.feedback.notes(clock::now()), Msg::RateLimits) {
        beacon.send(&msg, [starter]);
    }
}

//! Sends updates of rate limits to other gateways.
//!
//! A limit that an upstream advertises, changes or lifts is sent at once to all gateways of the failure domain and to
//! two of each other failure domain, which relay it. It is sent four times within 1.3 s, since datagrams get lost.
//! While the limit is in force, the gateways that still send requests to the upstream repeat it every few seconds.
//! Without limits nothing is sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use beacon::{Beacon, Msg, RateLimitUpdate, batch_messages};

use crate::Cx;
use crate::suspect_updates::{MessageKinds, send};

/// Time for which changes are batched.
const BATCH_TIME: Duration = Duration::from_millis(3);

/// Time between two purges of expired feedback.
const PURGE_INTERVAL: Duration = Duration::from_secs(60);

const RATE_LIMITS: MessageKinds<RateLimitUpdate> = MessageKinds {
    near: Msg::RateLimits,
    far: Msg::FarRateLimits,
};

/// Sends pending updates, and purges expired feedback.
pub(crate) async fn send_rate_limits(cx: Arc<Cx>, beacon: Beacon) {
    let mut sequence = 0;
    let mut next = None;
    let mut last_purge = clock::now();
    loop {
        wait_until_due(&cx, next).await;
        let now = clock::now();
        let due = cx.feedback.due(now);
        next = due.next;
        sequence += 1;
        send(&cx, &beacon, due.near, due.far, RATE_LIMITS, sequence);
        if now.saturating_duration_since(last_purge) >= PURGE_INTERVAL {
            last_purge = now;
            cx.feedback.purge(&cx.upstreams.incarnations(), now);
        }
    }
}

async fn wait_until_due(cx: &Cx, next: Option<Instant>) {
    let until = clock::now() + PURGE_INTERVAL;
    let until = next.map_or(until, |next| next.min(until));
    tokio::select! {
        () = cx.feedback.changed() => tokio::time::sleep(BATCH_TIME).await,
        () = clock::sleep_until(until) => {}
    }
}

/// Sends all limits in force to a gateway that has just started.
pub(crate) fn sync_rate_limits(cx: &Cx, beacon: &Beacon, new_gateway: SocketAddr) {
    for msg in batch_messages(cx.feedback.updates(clock::now()), Msg::RateLimits) {
        beacon.send(&msg, [new_gateway]);
    }
}

//! Sends updates of the evidence on parts of prompts to other gateways, like those of suspects, and purges expired
//! evidence. While no upstream exits, nothing is sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use beacon::{Beacon, Msg, PartUpdate};

use crate::Cx;
use crate::suspect_updates::{BATCH_TIME, MAX_FAR, MessageKinds, send};

/// Time between two purges.
const PURGE_INTERVAL: Duration = Duration::from_secs(60);

const PARTS: MessageKinds<PartUpdate> = MessageKinds {
    near: Msg::Parts,
    far: Msg::FarParts,
};

/// Sends pending updates.
pub(crate) async fn send_parts(cx: Arc<Cx>, beacon: Beacon) {
    let mut sequence = 0;
    let mut next = None;
    loop {
        wait_until_due(&cx, next).await;
        let due = cx.suspects.parts.due(clock::now(), MAX_FAR);
        next = due.next;
        sequence += 1;
        send(&cx, &beacon, due.near, due.far, PARTS, sequence);
    }
}

async fn wait_until_due(cx: &Cx, next: Option<Instant>) {
    let until = clock::now() + PURGE_INTERVAL;
    let until = next.map_or(until, |next| next.min(until));
    tokio::select! {
        () = cx.suspects.parts.changed() => tokio::time::sleep(BATCH_TIME).await,
        () = clock::sleep_until(until) => {}
    }
}

//! Sends updates of the evidence on parts of prompts to other gateways, like those of suspects. While no upstream
//! exits, nothing is sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use beacon::{Beacon, Msg, PartUpdate};

use crate::Cx;
use crate::suspect_updates::{MessageKinds, send};

/// Time for which updates are batched.
const BATCH_TIME: Duration = Duration::from_millis(3);

/// Maximum number of updates in a message to another failure domain.
const MAX_FAR: usize = 15;

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

/// Waits until an update may be due. Without pending ones no timer runs.
async fn wait_until_due(cx: &Cx, next: Option<Instant>) {
    let due = async {
        match next {
            Some(next) => clock::sleep_until(next).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = cx.suspects.parts.changed() => tokio::time::sleep(BATCH_TIME).await,
        () = due => {}
    }
}

//! Gets the manifest of a version.
//!
//! All loaders rank each other alike. The first in the order asks the origin, the others ask those that have the
//! manifest; one asks the origin itself when those before it have had time to.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;

use base::rendezvous::rank;
use beacon::Member;
use log::{debug, info};
use rand::RngExt;
use rand::seq::IndexedRandom;
use web::Client;

use crate::Cx;
use crate::api::{Manifest, OriginVersion};
use crate::peers::{ask_manifest, loaders};

/// Log prefix of this part.
const PART: &str = "manifest";

/// Mean pause before a manifest is asked for again.
const MANIFEST_PAUSE: Duration = Duration::from_millis(20);

/// Loaders at the head of the order that others ask.
const MANIFEST_HOLDERS: usize = 2;

/// Time that each loader in the order has for bringing a manifest before the next asks the origin. A
/// manifest of 4 KB is there 30 ms after it was asked for, and after a loss of power those that come
/// first may still be dark.
const MANIFEST_TURN: Duration = Duration::from_millis(50);

/// Time in which a loader sends a manifest of a hundred chunks, 3 KB, over 7.3 Mbit/s.
const MANIFEST_SENT: Duration = Duration::from_millis(4);

/// Time after which the first in the order asks the origin again; the second takes twice as long, and
/// so on. With a hundred loaders that makes ten requests a second of some kilobytes.
const MANIFEST_AGAIN: Duration = Duration::from_millis(500);

/// The manifest: from the origin for the first in the order that all rank alike, from loaders that
/// have it for the rest. Each asks the origin itself when those before it have had time to, and the
/// later it comes the more seldom, so that an origin that was away isn't swamped when it returns.
pub(crate) async fn manifest(cx: &Cx, origin: &OriginVersion, client: &Client) -> Manifest {
    let begun = clock::now();
    let mut drawn_at = None;
    loop {
        let before = before(cx, origin);
        let turn = MANIFEST_TURN * before.len() as u32;
        let again = MANIFEST_AGAIN * (before.len() as u32 + 1);
        let is_turn = match drawn_at {
            None => clock::since(begun) >= turn,
            Some(at) => clock::now() >= at + again,
        };
        let asked = match is_turn {
            true => {
                drawn_at = Some(clock::now());
                (cx.api.manifest)(origin.clone()).await
            }
            false => {
                let holders = manifest_holders(cx, origin, &before);
                spread(loaders(cx).len(), holders.len()).await;
                let from = holders.choose(&mut rand::rng()).copied();
                ask_manifest(client, from.unwrap_or(cx.cfg.chunks), origin).await
            }
        };
        match asked {
            Ok(manifest) => {
                info!(target: PART, "{PART}: event=manifest version={} took={:?}", origin.version, clock::since(begun));
                return manifest;
            }
            Err(e) => {
                debug!(target: PART, "{PART}: event=no_manifest version={} why=\"{e}\"", origin.version);
                let more = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(MANIFEST_PAUSE.mul_f64(0.5 + more)).await;
            }
        }
    }
}

/// Waits for a while at random, so that the loaders which all want a manifest don't ask the few that
/// have it at the same moment: each answer would come as late as the last.
async fn spread(loaders: usize, holders: usize) {
    let share = loaders as f64 / holders.max(1) as f64;
    let more = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(MANIFEST_SENT.mul_f64(share * more)).await;
}

/// Loaders that have a manifest, since they have told what they hold of its version; until any has,
/// the first in the order.
fn manifest_holders(cx: &Cx, origin: &OriginVersion, before: &[Member]) -> Vec<SocketAddr> {
    let peers = cx.peers.lock().unwrap_or_else(PoisonError::into_inner);
    let heard = peers.heard(&origin.model, origin.version, 0, None);
    match heard.is_empty() {
        true => before
            .iter()
            .take(MANIFEST_HOLDERS)
            .map(|m| m.peer_addr)
            .collect(),
        false => heard.into_keys().collect(),
    }
}

/// Loaders that come before this one in the order in which the origin is asked.
fn before(cx: &Cx, origin: &OriginVersion) -> Vec<Member> {
    let key = origin.version.to_le_bytes();
    let own = rank(&key, &cx.cfg.node.vm);
    let mut before: Vec<_> = loaders(cx)
        .into_iter()
        .map(|m| (rank(&key, &m.vm), m))
        .filter(|(rank, _)| *rank < own)
        .collect();
    before.sort_by_key(|(rank, _)| *rank);
    before.into_iter().map(|(_, m)| m).collect()
}

//! Fetches the manifest of a version.
//!
//! All loaders compute the same ranking of each other. The first one requests the manifest from the origin, the
//! others from loaders that have it. Each turns to the origin itself once those ranked before it have had time to.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::time::Duration;

use base::rendezvous::rank;
use beacon::Member;
use catalog::WeightsVersion;
use log::{debug, info, warn};
use rand::RngExt;
use rand::seq::IndexedRandom;
use web::Client;

use crate::Cx;
use crate::api::{ApiError, Manifest, OriginVersion};
use crate::peers::{fetch_manifest, loaders};

/// Log prefix of this part.
const PART: &str = "manifest";

/// Mean pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Number of first-ranked loaders that others request the manifest from while no holder is known.
const DEFAULT_HOLDERS: usize = 2;

/// Time that each loader of the ranking has to fetch the manifest before the next one turns to the origin. A
/// manifest of 4 KB arrives 30 ms after it was requested; after a power failure the first loaders may still be
/// down.
pub(crate) const TIME_PER_RANK: Duration = Duration::from_millis(50);

/// Time to send a manifest of a hundred chunks, 3 KB, over 7.3 Mbit/s.
const SEND_TIME: Duration = Duration::from_millis(4);

/// Pause after which the first-ranked loader retries the origin; the second waits twice as long, and so on. A hundred
/// loaders together make ten requests a second of a few kilobytes.
const ORIGIN_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Fetches the manifest; returns once it has arrived. The lower a loader ranks, the less often it retries the
/// origin, which would otherwise be overloaded when it recovers.
pub(crate) async fn manifest(cx: &Cx, origin: &OriginVersion, client: &Client) -> Manifest {
    let started = clock::now();
    let mut origin_tried = None;
    let mut origin_error = None;
    loop {
        let preceding = preceding(cx, origin.version);
        let delay = TIME_PER_RANK * preceding.len() as u32;
        let retry_pause = ORIGIN_RETRY_PAUSE * (preceding.len() as u32 + 1);
        let from_origin = match origin_tried {
            None => clock::since(started) >= delay,
            Some(at) => clock::now() >= at + retry_pause,
        };
        let fetched = match from_origin {
            true => {
                origin_tried = Some(clock::now());
                (cx.api.manifest)(at_configured_origin(cx, origin)).await
            }
            false => {
                let holders = manifest_holders(cx, origin, &preceding);
                jitter(loaders(cx).len(), holders.len()).await;
                let from = holders.choose(&mut rand::rng()).copied();
                fetch_manifest(client, from.unwrap_or(cx.cfg.chunks), origin).await
            }
        };
        match fetched.and_then(|manifest| check_length(cx, manifest)) {
            Ok(manifest) => {
                info!(target: PART, "{PART}: event=manifest version={} took={:?}", origin.version, clock::since(started));
                return manifest;
            }
            Err(e) => {
                debug!(target: PART, "{PART}: event=no_manifest version={} why=\"{e}\"", origin.version);
                if from_origin {
                    record_origin_failure(origin, &mut origin_error, e.to_string());
                }
                let random = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(RETRY_PAUSE.mul_f64(0.5 + random)).await;
            }
        }
    }
}

/// Returns the version at the address that the configuration states now: the origin may have moved since the fetch has
/// started.
pub(crate) fn at_configured_origin(cx: &Cx, version: &OriginVersion) -> OriginVersion {
    let catalog = cx.catalog.borrow();
    let configured = catalog.as_ref().and_then(|c| c.origin());
    OriginVersion {
        origin: configured.map_or(version.origin, |origin| origin.addr),
        ..version.clone()
    }
}

/// Rejects a manifest with another number of chunks than the configuration states.
pub(crate) fn check_length(cx: &Cx, manifest: Manifest) -> Result<Manifest, ApiError> {
    let catalog = cx.catalog.borrow();
    let engine = catalog.as_ref().and_then(|c| c.engine(&cx.service));
    let expected = engine.map_or(0, |e| e.chunks as usize);
    match manifest.digests.len() {
        0 => Err(ApiError::Failed("the manifest is empty".to_owned())),
        n if expected > 0 && n != expected => Err(ApiError::Failed(format!(
            "the manifest lists {n} chunks instead of {expected}"
        ))),
        _ => Ok(manifest),
    }
}

/// Counts a failed request to the origin, and logs it unless the last one failed for the same reason.
fn record_origin_failure(origin: &OriginVersion, last: &mut Option<String>, why: String) {
    metrics::counter!("driftnotch_origin_manifest_failures_total").increment(1);
    if last.as_ref() != Some(&why) {
        warn!(target: PART, "{PART}: event=origin_failed model={} version={} why=\"{why}\"", origin.model, origin.version);
        *last = Some(why);
    }
}

/// Waits for a random time, so that the loaders that need a manifest don't all request it from its few holders at
/// once, which would delay every response to the time of the last.
async fn jitter(loaders: usize, holders: usize) {
    let share = loaders as f64 / holders.max(1) as f64;
    let random = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(SEND_TIME.mul_f64(share * random)).await;
}

/// Returns the peer addresses of loaders that have the manifest, as they have announced chunks of its version; while
/// there are none, those of the first-ranked loaders.
fn manifest_holders(cx: &Cx, origin: &OriginVersion, preceding: &[Member]) -> Vec<SocketAddr> {
    let peers = cx.peers.lock().unwrap_or_else(PoisonError::into_inner);
    let announced = peers.announced(&origin.model, origin.version, 0, None);
    match announced.is_empty() {
        true => preceding
            .iter()
            .take(DEFAULT_HOLDERS)
            .map(|m| m.peer_addr)
            .collect(),
        false => announced.into_keys().collect(),
    }
}

/// Returns the loaders that rank before this one for a version.
pub(crate) fn preceding(cx: &Cx, version: WeightsVersion) -> Vec<Member> {
    let key = version.to_le_bytes();
    let own = rank(&key, &cx.cfg.node.vm);
    let mut preceding: Vec<_> = loaders(cx)
        .into_iter()
        .map(|m| (rank(&key, &m.vm), m))
        .filter(|(rank, _)| *rank < own)
        .collect();
    preceding.sort_by_key(|(rank, _)| *rank);
    preceding.into_iter().map(|(_, m)| m).collect()
}

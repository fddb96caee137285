//! Verifies versions that are claimed without a proof.
//!
//! An engine may report a version that no known release names: the operators' row may have been overwritten by an
//! older write while no process was left that knew better, or the report may be corrupt. Processes of earlier releases
//! have stored versions of either kind. Taken for a release, a version that was never released would end the use of all
//! others for good, however often it was reported. The origin provides released versions only, so a claim counts once the
//! origin has sent its manifest. While the origin can't be reached, a claim is neither accepted nor rejected.
//!
//! Hundreds of loaders may find the same claim at once. They turn to the origin one after the other, by rank; once one of
//! them has verified the version, gateways announce it, and it is no claim any more.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use base::{Map, Model, Set};
use catalog::{FIRST_VERSION, Release, ReleaseList, WeightsVersion};
use log::{info, warn};
use tokio::sync::watch;

use crate::Cx;
use crate::api::{ApiError, EngineState, OriginVersion};
use crate::manifest::{TIME_PER_RANK, check_length, preceding};

/// Log prefix of this part.
const PART: &str = "claims";

/// Interval of checks. A claim is verified if it is found twice in a row: at a start, engines report a release before it
/// arrives from gateways.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Pause before a claim that wasn't verified is verified again.
const RETRY_PAUSE: Duration = Duration::from_secs(5);

/// A version that is claimed to be released.
type Claim = (Model, WeightsVersion);

/// Verifies claims until the process ends; `state` holds the engine's last state.
pub(crate) async fn verify_claims(cx: Arc<Cx>, state: watch::Receiver<Option<EngineState>>) {
    // When each claim is to be verified.
    let mut due: Map<Claim, Instant> = Map::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let claims = claims(&cx, state.borrow().as_ref());
        due.retain(|claim, _| claims.contains(claim));
        for claim in claims {
            match due.get(&claim) {
                None => {
                    report(&claim);
                    let at = clock::now() + delay_by_rank(&cx, &claim);
                    due.insert(claim, at);
                }
                Some(at) if *at <= clock::now() => {
                    verify(&cx, &claim).await;
                    let at = clock::now() + RETRY_PAUSE + delay_by_rank(&cx, &claim);
                    due.insert(claim, at);
                }
                Some(_) => {}
            }
        }
    }
}

/// Returns the claimed versions of the engine's models that are newer than all known releases.
fn claims(cx: &Cx, state: Option<&EngineState>) -> Set<Claim> {
    let Some(catalog) = cx.catalog.borrow().clone() else {
        return Set::default();
    };
    let models = catalog.models(&cx.service);
    let held = state.into_iter().flat_map(|s| &s.holdings);
    let held = held.filter_map(|h| Some((h.model.clone(), h.version?)));
    let known = cx.known.borrow();
    let stored = known.claimed.releases.iter();
    let stored = stored.map(|r| (r.model.clone(), r.version));
    let is_newer = |(model, version): &Claim| {
        models.contains(model) && *version > known.version(model).max(FIRST_VERSION)
    };
    held.chain(stored).filter(is_newer).collect()
}

/// Returns the time that the loaders ranked before this one have to verify a claim.
fn delay_by_rank(cx: &Cx, (_, version): &Claim) -> Duration {
    TIME_PER_RANK * preceding(cx, *version).len() as u32
}

/// Counts and logs a claim that was found.
fn report((model, version): &Claim) {
    metrics::counter!("driftnotch_unverified_versions_total", "model" => model.clone())
        .increment(1);
    warn!(target: PART, "{PART}: event=unverified model={model} version={version} why=\"no known release names it\"");
}

/// Requests the manifest of a claimed version from the origin, and records the version as released if it arrives.
async fn verify(cx: &Cx, claim: &Claim) {
    let (model, version) = claim.clone();
    if let Err(e) = request_manifest(cx, claim).await {
        return warn!(target: PART, "{PART}: event=not_verified model={model} version={version} why=\"{e}\"");
    }
    info!(target: PART, "{PART}: event=verified model={model} version={version}");
    let list = ReleaseList {
        revision: 0,
        releases: vec![Release { model, version }],
    };
    cx.known
        .send_if_modified(|known| known.merge_verified(&list, clock::now()));
    cx.verified_claims.fetch_add(1, Ordering::Relaxed);
    cx.poll_engine.notify_one();
}

/// Returns an error unless the origin provides a manifest of the claimed version.
async fn request_manifest(cx: &Cx, (model, version): &Claim) -> Result<(), ApiError> {
    let catalog = cx.catalog.borrow().clone();
    let Some(origin) = catalog.as_ref().and_then(|c| c.origin()) else {
        return Err(ApiError::Failed("no origin is configured".to_owned()));
    };
    let version = OriginVersion {
        origin: origin.addr,
        model: model.clone(),
        version: *version,
    };
    let manifest = (cx.api.manifest)(version).await?;
    check_length(cx, manifest).map(drop)
}

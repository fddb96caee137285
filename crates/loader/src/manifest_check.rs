//! Finds and corrects wrong digests in the manifest of a version.
//!
//! A manifest may arrive with wrong digests, and loaders copy it from each other. A chunk never matches a wrong digest,
//! so the digest of a chunk that is held is right. For a chunk that doesn't match, the manifest is requested again:
//!
//! - from the loader that sent the chunk. Its manifest is right about that chunk if it has the chunk's digest, and if
//!   chunks that are held here show that it is of the same version.
//! - from the origin, if a chunk has arrived twice with the same content. Only loaders that fetch the chunk from the
//!   origin get there; the others learn the digest from them, by the way above.

use std::time::{Duration, Instant};

use agent::swarm::Source;
use base::{Map, Set};
use bytes::Bytes;
use log::{debug, info};
use tokio::task::JoinSet;
use web::Client;

use crate::Cx;
use crate::api::{ApiError, ChunkDigest, Manifest, OriginVersion};
use crate::chunk_set::{ChunkSet, chunk_digest};
use crate::manifest::check_length;
use crate::peers::fetch_manifest;

/// Log prefix of this part.
const PART: &str = "fetch";

/// Minimum interval of requests to the origin.
const ORIGIN_INTERVAL: Duration = Duration::from_millis(500);

/// A chunk that doesn't match its digest, and the manifest that was requested for it.
pub(crate) struct Checked {
    /// Index of the chunk.
    pub(crate) i: usize,
    /// Source of the manifest.
    pub(crate) source: Source,
    buf: Bytes,
    manifest: Result<Manifest, ApiError>,
}

/// Checks of the digests of chunks that didn't match.
pub(crate) struct ManifestChecks {
    /// Digests of the content that arrived last, by chunk.
    mismatches: Map<usize, ChunkDigest>,
    /// Chunks with a check in progress.
    in_progress: Set<usize>,
    running: JoinSet<Checked>,
    next_at_origin: Instant,
}

impl ManifestChecks {
    pub(crate) fn new(now: Instant) -> ManifestChecks {
        ManifestChecks {
            mismatches: Map::default(),
            in_progress: Set::default(),
            running: JoinSet::new(),
            next_at_origin: now,
        }
    }

    /// Returns whether the digest of a chunk is being checked.
    pub(crate) fn is_in_progress(&self, i: usize) -> bool {
        self.in_progress.contains(&i)
    }

    /// Returns whether no check is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Records a chunk from a source that didn't match, and returns the source to request the manifest from, if any.
    pub(crate) fn record_mismatch(
        &mut self,
        i: usize,
        buf: &[u8],
        source: Source,
        now: Instant,
    ) -> Option<Source> {
        let digest = chunk_digest(buf);
        let is_repeated = self.mismatches.insert(i, digest) == Some(digest);
        match source {
            Source::Origin if is_repeated && now >= self.next_at_origin => {
                self.next_at_origin = now + ORIGIN_INTERVAL;
                Some(source)
            }
            Source::Origin => None,
            Source::Peer(_) => Some(source),
        }
    }

    /// Requests the manifest for a chunk that didn't match.
    pub(crate) fn start(
        &mut self,
        cx: &Cx,
        client: &Client,
        origin: &OriginVersion,
        (i, buf): (usize, Bytes),
        source: Source,
    ) {
        let (at_origin, client, origin) = (cx.api.manifest.clone(), client.clone(), origin.clone());
        self.in_progress.insert(i);
        self.running.spawn(async move {
            let manifest = match source {
                Source::Origin => at_origin(origin).await,
                Source::Peer(addr) => fetch_manifest(&client, addr, &origin).await,
            };
            Checked {
                i,
                source,
                buf,
                manifest,
            }
        });
    }

    /// Waits for the next check to end; `None` if it failed.
    pub(crate) async fn next(&mut self) -> Option<Checked> {
        match self.running.join_next().await? {
            Ok(checked) => {
                self.in_progress.remove(&checked.i);
                Some(checked)
            }
            Err(_) => {
                self.in_progress.clear();
                None
            }
        }
    }

    /// Applies the outcome of a check; returns whether the chunk matches now.
    pub(crate) fn apply(&mut self, cx: &Cx, set: &ChunkSet, checked: Checked) -> bool {
        let Checked {
            i,
            source,
            buf,
            manifest,
        } = checked;
        let corrected = match (manifest.and_then(|m| check_length(cx, m)), source) {
            (Ok(manifest), Source::Origin) => {
                self.mismatches.remove(&i);
                correct_missing(set, &manifest)
            }
            (Ok(manifest), Source::Peer(_)) => usize::from(correct_one(set, &manifest, i, &buf)),
            (Err(e), _) => {
                debug!(target: PART, "{PART}: event=not_checked chunk={i} version={} source={source:?} why=\"{e}\"", set.version);
                0
            }
        };
        if corrected > 0 {
            info!(target: PART, "{PART}: event=manifest_corrected model={} version={} digests={corrected} chunk={i} source={source:?}", set.model, set.version);
            metrics::counter!("driftnotch_corrected_digests_total").increment(corrected as u64);
        }
        set.put(i, buf)
    }
}

/// Takes over the digests of missing chunks from a manifest of the origin; returns how many differed.
fn correct_missing(set: &ChunkSet, manifest: &Manifest) -> usize {
    if set.missing() < set.len() && !set.confirms(manifest) {
        return 0;
    }
    let digests = manifest.digests.iter().enumerate();
    digests
        .filter(|(i, digest)| set.correct_digest(*i, **digest))
        .count()
}

/// Takes over the digest of a chunk from the manifest of the loader that sent the chunk; returns whether it differed.
fn correct_one(set: &ChunkSet, manifest: &Manifest, i: usize, buf: &[u8]) -> bool {
    let digest = chunk_digest(buf);
    let is_consistent = manifest.digests.get(i) == Some(&digest);
    is_consistent && set.confirms(manifest) && set.correct_digest(i, digest)
}

//! Whether a version of weights that is being fetched is completed before its successor.
//!
//! From the bound of a release on, no older version may begin a request. If a version is dropped for its successor,
//! engines may hold no version that may begin requests until the successor has arrived; if it is completed first, the
//! successor arrives later. Both are predicted, and the way with the shorter time without a version is taken.
//!
//! All inputs are known to all loaders alike, up to the delay of an announcement. A loader that decides differently
//! fetches chunks that others don't need, or later than they do; it never makes an engine serve a version that it may
//! not serve.
//!
//! Expected load: releases follow each other while the origin is unreachable for several seconds.

use std::time::{Duration, Instant};

use catalog::WeightsVersion;

/// Part of the bound that gateways leave unused: a version may begin requests until this time before the bound. A request
/// may be queued at an engine before it begins, and on a narrow link it may arrive a second after it was sent, or even
/// after it was cancelled.
pub const GATEWAY_MARGIN: Duration = Duration::from_millis(1500);

/// Time before the bound at which an engine is ordered to unload an older version: after the last requests have arrived
/// that gateways send in time, unless a link delays them.
pub const UNLOAD_MARGIN: Duration = Duration::from_millis(750);

/// Difference of two gaps that counts as a tie: the time of about one chunk, which the loaders' inputs differ by.
pub const TIE: Duration = Duration::from_millis(50);

/// Shortest time for which a version is worth a switch. Gateways learn of an engine's version after up to 130 ms, and
/// callers expect the first event within 400 ms.
pub const MIN_USEFUL: Duration = Duration::from_millis(500);

/// Maximum ratio of the observed time per chunk to that of the origin's link. A higher one is due to an outage, which
/// says nothing about the rate after it.
const MAX_SLOWDOWN: u32 = 2;

/// Number of chunks from which on the observed time per chunk counts: below it, the delays of the first announcements
/// dominate.
const MIN_OBSERVED: u32 = 8;

/// Fraction of an older version's chunks that loaders must hold together for it to be suspended, not dropped: little of
/// it is left to fetch if its successor turns out to be unavailable.
const MIN_HELD: f64 = 0.75;

/// Time without a new chunk from which on the origin counts as unreachable, not as slow: several times the 45 ms that
/// a chunk takes on the origin's link, and more than the interval of announcements.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// A released version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// Version.
    pub version: WeightsVersion,
    /// When the release became known.
    pub at: Instant,
}

/// Returns the time until which a version may begin requests; `None` if no newer one is released.
pub fn may_begin_until(
    releases: &[Release],
    version: WeightsVersion,
    bound: Duration,
) -> Option<Instant> {
    let expires = expires_at(releases, version, bound)?;
    Some(expires - GATEWAY_MARGIN.min(bound))
}

/// Returns the time from which on an engine should hold a version no longer, whether or not it can load a newer one; `None`
/// if no newer one is released.
pub fn unload_at(
    releases: &[Release],
    version: WeightsVersion,
    bound: Duration,
) -> Option<Instant> {
    let expires = expires_at(releases, version, bound)?;
    Some(expires - UNLOAD_MARGIN.min(bound))
}

/// Returns the bound of the first release after a version.
fn expires_at(releases: &[Release], version: WeightsVersion, bound: Duration) -> Option<Instant> {
    let newer = releases.iter().filter(|r| r.version > version);
    newer.map(|r| r.at + bound).min()
}

/// Returns whether a version was released within the bound of an older one.
pub fn follows_within_bound(
    releases: &[Release],
    older: WeightsVersion,
    newer: WeightsVersion,
    bound: Duration,
) -> bool {
    let at = |version| releases.iter().find(|r| r.version == version).map(|r| r.at);
    match (at(older), at(newer)) {
        (Some(older), Some(newer)) => newer.saturating_duration_since(older) < bound,
        _ => false,
    }
}

/// A version that is being fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Version.
    pub version: WeightsVersion,
    /// Number of chunks.
    pub chunks: usize,
    /// Number of chunks that no loader holds.
    pub missing: usize,
}

/// Rates at which chunks arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Links {
    /// Time in which the origin's link carries a chunk; zero if its rate is unknown.
    pub origin_chunk: Duration,
    /// Time in which a loader's link carries a chunk; zero if its rate is unknown.
    pub loader_chunk: Duration,
    /// Observed time per chunk, see [`ObservedRate`].
    pub observed_chunk: Option<Duration>,
    /// Number of loaders.
    pub loaders: usize,
}

impl Links {
    /// Returns the expected time for each chunk that no loader holds.
    fn time_per_chunk(&self) -> Duration {
        let slowest = self.origin_chunk.max(self.loader_chunk);
        let observed = self.observed_chunk.unwrap_or_default();
        match slowest.is_zero() {
            true => observed,
            false => observed.clamp(slowest, slowest * MAX_SLOWDOWN),
        }
    }

    /// Returns the expected time until the last chunk from the origin is held by all loaders. The number of loaders
    /// that hold it doubles with each transfer.
    fn distribution_time(&self) -> Duration {
        self.loader_chunk * usize::BITS.saturating_sub(self.loaders.leading_zeros())
    }

    /// Returns when all loaders hold a version whose missing chunks are fetched from `start` on.
    pub fn complete_at(&self, start: Instant, missing: usize) -> Instant {
        start + self.fetch_time(missing) + self.distribution_time()
    }

    fn fetch_time(&self, missing: usize) -> Duration {
        self.time_per_chunk() * u32::try_from(missing).unwrap_or(u32::MAX)
    }
}

/// Inputs of the decision between a version in progress and its successor.
#[derive(Debug, Clone, Copy)]
pub struct Inputs<'a> {
    /// Current time; the origin is reachable.
    pub now: Instant,
    /// Newest version that engines hold and serve.
    pub serving: WeightsVersion,
    /// Version in progress.
    pub older: Candidate,
    /// Its successor.
    pub newer: Candidate,
    /// Known releases.
    pub releases: &'a [Release],
    /// Time after a release within which all engines have to hold it.
    pub bound: Duration,
    /// Time from a complete version until an engine serves it.
    pub switch: Duration,
    /// Rates.
    pub links: Links,
}

/// Which of two versions is fetched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The version in progress is completed, its successor is fetched afterwards.
    CompleteOlder,
    /// The version in progress is fetched from the origin only while its successor is stalled.
    SuspendOlder,
    /// The version in progress is dropped.
    DropOlder,
}

impl Decision {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Decision::CompleteOlder => "complete_older",
            Decision::SuspendOlder => "suspend_older",
            Decision::DropOlder => "drop_older",
        }
    }
}

/// Predicted times at which engines serve each version, and the resulting gaps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prediction {
    /// When engines serve the version in progress, if it is completed.
    pub older_ready: Instant,
    /// When engines serve its successor, if the version in progress is completed first.
    pub newer_ready_after: Instant,
    /// When engines serve its successor, if the version in progress is dropped.
    pub newer_ready: Instant,
    /// Total time without a version that may begin requests, if the version in progress is completed first.
    pub gap_completed: Duration,
    /// The same if it is dropped.
    pub gap_dropped: Duration,
}

/// Predicts the outcome of either choice.
pub fn predict(inputs: &Inputs) -> Prediction {
    let Inputs {
        now, switch, links, ..
    } = *inputs;
    let until = |version| may_begin_until(inputs.releases, version, inputs.bound);
    let serving_until = until(inputs.serving);
    let older_until = until(inputs.older.version);
    let older_ready = links.complete_at(now, inputs.older.missing) + switch;
    let newer_ready = links.complete_at(now, inputs.newer.missing) + switch;
    // The origin's link carries the chunks of the successor once it has carried those of the version in progress.
    let newer_start = now + links.fetch_time(inputs.older.missing);
    let newer_ready_after = links.complete_at(newer_start, inputs.newer.missing) + switch;
    let gap_until = |ready, covered_from, covered_until: Option<Instant>| {
        gap(
            now,
            serving_until,
            (covered_from, covered_until.unwrap_or(ready)),
            ready,
        )
    };
    Prediction {
        older_ready,
        newer_ready_after,
        newer_ready,
        gap_completed: gap_until(newer_ready_after, older_ready, older_until),
        gap_dropped: gap_until(newer_ready, newer_ready, Some(newer_ready)),
    }
}

/// Returns the time between `now` and `ready` in which neither the running version, until `serving_until`, nor another
/// one, in the interval `other`, may begin requests.
fn gap(
    now: Instant,
    serving_until: Option<Instant>,
    other: (Instant, Instant),
    ready: Instant,
) -> Duration {
    let start = serving_until.map_or(ready, |until| until.max(now));
    let covered_from = other.0.max(start);
    let covered = other.1.min(ready).saturating_duration_since(covered_from);
    ready
        .saturating_duration_since(start)
        .saturating_sub(covered)
}

/// Decides whether the version in progress is completed before its successor. On a tie it is dropped or suspended, which
/// saves origin bytes, unless loaders hold all its chunks together and it can still be served: completing it then takes
/// nothing from the origin.
pub fn decide(inputs: &Inputs, prediction: &Prediction) -> Decision {
    let is_shorter = prediction.gap_completed + TIE < prediction.gap_dropped;
    let until = may_begin_until(inputs.releases, inputs.older.version, inputs.bound);
    let is_useful = until.is_none_or(|until| prediction.older_ready + MIN_USEFUL < until);
    let is_free = inputs.older.missing == 0 && prediction.gap_completed <= prediction.gap_dropped;
    let difference = prediction.gap_completed.abs_diff(prediction.gap_dropped);
    let max_missing = inputs.older.chunks as f64 * (1.0 - MIN_HELD);
    let is_nearly_held = inputs.older.missing as f64 <= max_missing;
    match is_useful {
        true if is_shorter || is_free => Decision::CompleteOlder,
        true if difference <= TIE && is_nearly_held => Decision::SuspendOlder,
        _ => Decision::DropOlder,
    }
}

/// Inputs of an engine's decision between a complete older version and a newer one that is being fetched.
#[derive(Debug, Clone, Copy)]
pub struct Complete {
    /// Current time.
    pub now: Instant,
    /// Time until which the version that the engine serves may begin requests; `None` if no newer one is released.
    pub held_until: Option<Instant>,
    /// The same for the complete version.
    pub older_until: Option<Instant>,
    /// When this loader is expected to hold the newer version completely; `None` if its fetch is stalled.
    pub newer_complete_at: Option<Instant>,
    /// Time from a complete version until the engine serves it.
    pub switch: Duration,
}

/// Returns whether an engine takes a complete older version instead of waiting for a newer one: between the end of the
/// version that it serves and the arrival of the newer one, the older version would serve for a useful time.
pub fn takes_older(inputs: &Complete) -> bool {
    let Some(held_until) = inputs.held_until else {
        return false;
    };
    let useful_from = held_until.max(inputs.now + inputs.switch);
    let until = inputs.older_until.into_iter();
    let until = until.chain(inputs.newer_complete_at).min();
    until.is_none_or(|until| until.saturating_duration_since(useful_from) >= MIN_USEFUL)
}

/// Observed time per chunk at which the loaders together obtain a version. Pauses while the origin is unreachable
/// don't count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObservedRate {
    last: Option<(Instant, usize)>,
    chunks: u32,
    time: Duration,
}

impl ObservedRate {
    /// Records the number of chunks that any loader holds.
    pub fn record(&mut self, held: usize, now: Instant) {
        match self.last {
            Some((at, before)) if held > before => {
                let elapsed = now.saturating_duration_since(at);
                if elapsed <= MAX_PAUSE {
                    self.time += elapsed;
                    self.chunks += u32::try_from(held - before).unwrap_or(u32::MAX);
                }
                self.last = Some((now, held));
            }
            Some(_) => {}
            None => self.last = Some((now, held)),
        }
    }

    /// Returns the time per chunk, once enough chunks were observed.
    pub fn chunk_time(&self) -> Option<Duration> {
        (self.chunks >= MIN_OBSERVED).then(|| self.time / self.chunks)
    }

    /// Returns the time since the number of chunks has increased.
    pub fn stalled_for(&self, now: Instant) -> Duration {
        let last = self.last.map(|(at, _)| now.saturating_duration_since(at));
        last.unwrap_or_default()
    }
}

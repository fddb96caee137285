//! Decides which of several versions in progress is fetched first; see [`decide::rollout`].

use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use base::Model;
use catalog::{FIRST_VERSION, WeightsVersion};
use decide::rollout::{
    Candidate, Complete, Decision, Inputs, Links, Prediction, Release, decide,
    follows_within_bound, may_begin_until, predict, takes_older, unload_at,
};
use log::info;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::Cx;
use crate::api::EngineState;
use crate::chunk_set::ChunkSet;
use crate::fetch::chunk_time;
use crate::peers::{BYTES_PER_MBIT, loaders};
use crate::precedence::{Access, MAX_STALL, Precedence, Progress};

/// Log prefix of this part.
const PART: &str = "rollout";

/// Time from a complete version until the engine serves it: the notice to gateways and loading take 0.6 s on an engine
/// that runs no requests.
const SWITCH_TIME: Duration = Duration::from_millis(600);

/// Time without a chunk after which the completion of a version can't be predicted.
const STALLED: Duration = Duration::from_millis(300);

/// Fetch of an older version that may still be running.
#[derive(Debug, Clone)]
pub(crate) struct OlderFetch {
    pub(crate) version: WeightsVersion,
    pub(crate) task: AbortHandle,
}

/// Known releases and the bound at a loader.
pub(crate) struct Releases {
    known: Vec<Release>,
    bound: Duration,
}

impl Releases {
    pub(crate) fn of(cx: &Cx, model: &Model) -> Releases {
        let known = cx.known.borrow();
        let of_model = known.since.iter().filter(|((m, _), _)| m == model);
        let release = |((_, version), at): (&(Model, WeightsVersion), &Instant)| Release {
            version: *version,
            at: *at,
        };
        Releases {
            known: of_model.map(release).collect(),
            bound: cx.cfg.node.version_time,
        }
    }

    /// Returns whether the order of two versions is decided by prediction: both releases are known.
    pub(crate) fn compete(&self, older: WeightsVersion, newer: WeightsVersion) -> bool {
        let is_known = |version| self.known.iter().any(|r| r.version == version);
        older < newer && is_known(older) && is_known(newer)
    }

    /// Returns whether a version was released within the bound of an older one.
    pub(crate) fn follows_within_bound(
        &self,
        older: WeightsVersion,
        newer: WeightsVersion,
    ) -> bool {
        follows_within_bound(&self.known, older, newer, self.bound)
    }

    /// Returns whether a version may begin no requests any more, and two releases since compete.
    pub(crate) fn has_expired(&self, held: WeightsVersion, now: Instant) -> bool {
        let competes = self.known.iter().filter(|r| r.version > held).count() >= 2;
        let until = may_begin_until(&self.known, held, self.bound);
        competes && until.is_some_and(|until| until <= now)
    }

    /// Returns whether an engine should hold a version no longer, whether or not it can load a newer one.
    pub(crate) fn should_unload(&self, held: WeightsVersion, now: Instant) -> bool {
        let at = unload_at(&self.known, held, self.bound);
        at.is_some_and(|at| at <= now)
    }
}

/// The older version that is completed before the one being fetched.
pub(crate) struct Predecessor {
    set: Arc<ChunkSet>,
    task: AbortHandle,
    serving: WeightsVersion,
    precedence: Precedence,
}

impl Predecessor {
    /// Returns what its successor may fetch from the origin now. Aborts the fetch of the older version if it isn't worth
    /// completing any more.
    fn access(&mut self, cx: &Cx, newer: &ChunkSet, newer_held: usize) -> Access {
        let now = clock::now();
        let progress = Progress {
            is_finished: self.task.is_finished() || self.set.is_unobtainable(),
            missing: self.set.unavailable(),
            stalled_for: self.set.unavailable_stalled_for(now),
            newer_held,
        };
        match self.precedence.access(&progress, now) {
            Access::DecideAgain => {
                let missing = newer.len().saturating_sub(newer_held);
                let (decision, _) = decide_one(cx, &self.set, newer, missing, self.serving);
                match decision {
                    Decision::CompleteOlder => Access::Wait,
                    Decision::SuspendOlder | Decision::DropOlder => {
                        self.task.abort();
                        Access::Full
                    }
                }
            }
            access => access,
        }
    }
}

/// The successor of a suspended version.
pub(crate) struct Successor {
    set: Arc<ChunkSet>,
    precedence: Precedence,
}

impl Successor {
    /// Returns what the suspended version, of which loaders hold `older_held` chunks, may fetch from the origin now.
    /// Nothing while its successor makes progress, or when loaders hold the successor together.
    fn access(&mut self, older_held: usize) -> Access {
        let now = clock::now();
        let progress = Progress {
            is_finished: false,
            missing: self.set.unavailable(),
            stalled_for: self.set.unavailable_stalled_for(now),
            newer_held: older_held,
        };
        match progress.missing {
            0 => Access::Wait,
            _ => match self.precedence.access(&progress, now) {
                Access::DecideAgain => Access::Wait,
                access => access,
            },
        }
    }
}

/// The version that has precedence over the one being fetched.
pub(crate) enum Preferred {
    Older(Predecessor),
    Newer(Successor),
}

impl Preferred {
    /// Gives a newer version precedence over a suspended one.
    pub(crate) fn successor(set: Arc<ChunkSet>) -> Preferred {
        Preferred::Newer(Successor {
            set,
            precedence: Precedence::default(),
        })
    }

    /// Returns what the other version, of which loaders hold `held` chunks, may fetch from the origin now.
    pub(crate) fn access(&mut self, cx: &Cx, other: &ChunkSet, held: usize) -> Access {
        match self {
            Preferred::Older(older) => older.access(cx, other, held),
            Preferred::Newer(newer) => newer.access(held),
        }
    }

    /// Returns the set of the preferred version.
    pub(crate) fn set(&self) -> &ChunkSet {
        match self {
            Preferred::Older(older) => &older.set,
            Preferred::Newer(newer) => &newer.set,
        }
    }

    /// Returns whether the version has precedence on this VM's link: it is in progress here.
    pub(crate) fn needs_link(&self) -> bool {
        let is_dropped = match self {
            Preferred::Older(older) => older.task.is_finished(),
            Preferred::Newer(_) => false,
        };
        !is_dropped && !self.set().is_complete() && self.set().stalled_for() < MAX_STALL
    }
}

/// Returns the version that engines serve: that of this loader's engine, or the last release before `older` if it holds
/// none.
pub(crate) fn serving_version(
    cx: &Cx,
    state: &watch::Receiver<Option<EngineState>>,
    model: &Model,
    older: WeightsVersion,
) -> WeightsVersion {
    let state = state.borrow();
    let held = state.iter().flat_map(|s| &s.holdings);
    let held = held.filter(|h| h.model == *model).find_map(|h| h.version);
    held.unwrap_or_else(|| {
        let releases = Releases::of(cx, model).known;
        let before = releases.iter().map(|r| r.version).filter(|v| *v < older);
        before.max().unwrap_or(FIRST_VERSION)
    })
}

/// What becomes of older versions in progress.
pub(crate) struct Succession {
    /// Version that is completed first.
    pub(crate) predecessor: Option<Predecessor>,
    /// Fetches to abort once the successor is complete.
    pub(crate) remaining: Vec<AbortHandle>,
}

/// Decides which older version in progress, if any, is completed before a successor whose manifest has arrived. The
/// fetches of all others are suspended or aborted.
pub(crate) fn choose_predecessor(
    cx: &Cx,
    newer: &Arc<ChunkSet>,
    older: Vec<OlderFetch>,
    state: &watch::Receiver<Option<EngineState>>,
) -> Succession {
    let missing = newer.len().saturating_sub(announced_chunks(cx, newer));
    let mut best: Option<(Duration, Predecessor)> = None;
    let mut remaining = Vec::new();
    for OlderFetch { version, task } in older {
        let set = cx.sets.get(&newer.model, version);
        let Some(set) = set.filter(|set| !task.is_finished() && !set.is_unobtainable()) else {
            info!(target: PART, "{PART}: event=older version={version} done={}", task.is_finished());
            task.abort();
            continue;
        };
        let serving = serving_version(cx, state, &newer.model, version);
        let (decision, prediction) = decide_one(cx, &set, newer, missing, serving);
        let gap = prediction.gap_completed;
        let is_best = best.as_ref().is_none_or(|(shortest, _)| gap <= *shortest);
        match decision {
            Decision::CompleteOlder if is_best => {}
            Decision::SuspendOlder => {
                set.set_successor(newer.clone());
                remaining.push(task);
                continue;
            }
            Decision::CompleteOlder | Decision::DropOlder => {
                task.abort();
                continue;
            }
        }
        let chosen = Predecessor {
            set,
            task,
            serving,
            precedence: Precedence::default(),
        };
        if let Some((_, other)) = best.replace((gap, chosen)) {
            other.task.abort();
        }
    }
    let predecessor = best.map(|(_, chosen)| chosen);
    remaining.extend(predecessor.iter().map(|chosen| chosen.task.clone()));
    Succession {
        predecessor,
        remaining,
    }
}

/// Decides between an older version and its successor, which lacks `missing` chunks at all loaders; logs and counts
/// the decision.
fn decide_one(
    cx: &Cx,
    older: &ChunkSet,
    newer: &ChunkSet,
    missing: usize,
    serving: WeightsVersion,
) -> (Decision, Prediction) {
    let releases = Releases::of(cx, &older.model);
    let candidate = |set: &ChunkSet, missing| Candidate {
        version: set.version,
        chunks: set.len(),
        missing,
    };
    let inputs = Inputs {
        now: clock::now(),
        serving,
        older: candidate(older, older.unavailable()),
        newer: candidate(newer, missing),
        releases: &releases.known,
        bound: releases.bound,
        switch: SWITCH_TIME,
        links: links(cx, older.observed_chunk_time()),
    };
    let prediction = predict(&inputs);
    let decision = decide(&inputs, &prediction);
    log_decision(&inputs, &prediction, decision);
    metrics::counter!("driftnotch_rollout_decisions_total", "decision" => decision.name())
        .increment(1);
    (decision, prediction)
}

fn log_decision(inputs: &Inputs, prediction: &Prediction, decision: Decision) {
    let Inputs { now, links, .. } = *inputs;
    let until = |version| {
        let until = may_begin_until(inputs.releases, version, inputs.bound);
        until.map(|until| until.saturating_duration_since(now))
    };
    let after = |at: Instant| at.saturating_duration_since(now);
    info!(
        target: PART,
        "{PART}: event=decided decision={} older={} newer={} serving={} missing_older={} missing_newer={} origin_chunk={:?} loader_chunk={:?} observed_chunk={:?} loaders={} serving_for={:?} older_for={:?} older_in={:?} newer_in={:?} newer_after_older_in={:?} gap_completed={:?} gap_dropped={:?}",
        decision.name(),
        inputs.older.version,
        inputs.newer.version,
        inputs.serving,
        inputs.older.missing,
        inputs.newer.missing,
        links.origin_chunk,
        links.loader_chunk,
        links.observed_chunk,
        links.loaders,
        until(inputs.serving),
        until(inputs.older.version),
        after(prediction.older_ready),
        after(prediction.newer_ready),
        after(prediction.newer_ready_after),
        prediction.gap_completed,
        prediction.gap_dropped,
    );
}

/// Returns whether an engine that serves `held` takes a complete older version instead of waiting for a newer one.
pub(crate) fn takes_older_version(
    cx: &Cx,
    held: WeightsVersion,
    older: &ChunkSet,
    newer: WeightsVersion,
) -> bool {
    let now = clock::now();
    let releases = Releases::of(cx, &older.model);
    let until = |version| may_begin_until(&releases.known, version, releases.bound);
    let links = links(cx, older.observed_chunk_time());
    let complete_at = |set: Arc<ChunkSet>| {
        let (own, missing) = (set.missing(), set.unavailable());
        let is_known = own == 0 || set.stalled_for() < STALLED;
        let by_link = now + links.loader_chunk * u32::try_from(own).unwrap_or(u32::MAX);
        is_known.then(|| links.complete_at(now, missing).max(by_link))
    };
    let newer = cx.sets.get(&older.model, newer);
    takes_older(&Complete {
        now,
        held_until: until(held),
        older_until: until(older.version),
        newer_complete_at: newer.and_then(complete_at),
        switch: SWITCH_TIME,
    })
}

/// Returns the rates at which chunks arrive.
fn links(cx: &Cx, observed_chunk: Option<Duration>) -> Links {
    let catalog = cx.catalog.borrow();
    let engine = catalog.as_ref().and_then(|c| c.engine(&cx.service));
    let bytes = engine.map_or(0, |e| e.chunk_bytes) as f64;
    let rate = cx.cfg.link_mbps * BYTES_PER_MBIT * cx.cfg.weight_share as f64 / 100.0;
    let loader_chunk = match rate > 0.0 {
        true => Duration::from_secs_f64(bytes / rate),
        false => Duration::ZERO,
    };
    drop(catalog);
    Links {
        origin_chunk: chunk_time(cx),
        loader_chunk,
        observed_chunk,
        loaders: loaders(cx).len() + 1,
    }
}

/// Returns the number of chunks of a version that other loaders have announced.
fn announced_chunks(cx: &Cx, set: &ChunkSet) -> usize {
    let peers = cx.peers.lock().unwrap_or_else(PoisonError::into_inner);
    let announced = peers.announced(&set.model, set.version, set.len(), None);
    let is_held = |i: &usize| announced.values().any(|c| c.have.get(*i) == Some(&true));
    (0..set.len()).filter(is_held).count()
}

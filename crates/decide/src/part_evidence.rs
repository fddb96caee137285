//! Evidence that a part of a prompt terminates upstreams.
//!
//! A part of a prompt may terminate every upstream that starts to answer it, in requests that differ in all else, so
//! [`crate::quarantine`] sees a new request each time. The evidence here is keyed by part, and collected by all
//! gateways: the runs of requests that were lost with their upstream, and the parts that have completed since.
//!
//! Expected load: an exit interrupts 8 to 16 requests, each with a few parts. Common parts are in most of them, and
//! also in dozens of requests that complete each second, which clears them. The cause never completes. Three things
//! keep other parts from being blamed:
//!
//! - Only runs that followed each other count: an outage that terminates many upstreams at once proves no more than one
//!   exit, however many of them ran a common part.
//! - An exit that is explained by a blamed part isn't evidence against any other.
//! - If several parts have been at work at the same exits, they are blamed together, and a request is stopped only if it
//!   has all of them; the first one that completes without the others clears its own.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use base::{Fingerprint, Map, Set, UpstreamIncarnation};

use crate::quarantine::{QUARANTINE_THRESHOLD, UpstreamExit};

/// Number of successive exits after which a part is blamed: one more than for a request, since requests with the part
/// aren't kept apart from each other.
pub const BLAME_THRESHOLD: usize = QUARANTINE_THRESHOLD + 1;

/// Maximum number of lost runs retained, the latest.
pub const MAX_RUNS: usize = 512;

/// Run of a request that was lost because its upstream exited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// Request.
    pub request: Fingerprint,
    /// Incarnation that exited.
    pub incarnation: UpstreamIncarnation,
    /// When the request was sent to it.
    pub started: Instant,
    /// Time of the exit.
    pub ended: Instant,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
}

/// Part that terminates upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlamedPart {
    /// Part.
    pub part: Fingerprint,
    /// Exits that prove it, the latest ones that followed each other.
    pub exits: Vec<UpstreamExit>,
}

/// Lost runs, and what has completed since.
#[derive(Debug)]
pub struct PartEvidence {
    hold_time: Duration,
    /// Sorted by their ends.
    runs: Vec<LostRun>,
    /// When a part last completed, for those of lost runs.
    completed: Map<Fingerprint, Instant>,
    blamed: Set<Fingerprint>,
}

/// Time of work on a part at an upstream that exited.
#[derive(Debug, Clone, Copy)]
struct Interval {
    incarnation: UpstreamIncarnation,
    started: Instant,
    ended: Instant,
}

/// Part that may be the cause of exits.
#[derive(Debug)]
struct Candidate {
    part: Fingerprint,
    /// Work on it at each upstream that exited, sorted by its end.
    intervals: Vec<Interval>,
    /// As many of these as possible that followed each other.
    successive: Vec<Interval>,
}

impl Candidate {
    fn incarnations(&self) -> Set<UpstreamIncarnation> {
        self.intervals.iter().map(|i| i.incarnation).collect()
    }

    /// Returns the part with its latest successive exits, of which a quarantine needs as many as of a request.
    fn blamed(&self) -> BlamedPart {
        let first = self.successive.len().saturating_sub(QUARANTINE_THRESHOLD);
        let latest = self.successive.iter().skip(first);
        let exits = latest.map(|interval| UpstreamExit {
            incarnation: interval.incarnation,
            at: interval.ended,
        });
        BlamedPart {
            part: self.part,
            exits: exits.collect(),
        }
    }
}

impl PartEvidence {
    /// Creates a collection without evidence. A lost run counts for `hold_time`, which is at most as long as a blamed part
    /// is quarantined.
    pub fn new(hold_time: Duration) -> PartEvidence {
        PartEvidence {
            hold_time,
            runs: Vec::new(),
            completed: Map::default(),
            blamed: Set::default(),
        }
    }

    /// Returns whether there are no lost runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Adds a lost run; returns whether it is new.
    pub fn add(&mut self, run: LostRun) -> bool {
        let is_same = |r: &LostRun| r.request == run.request && r.incarnation == run.incarnation;
        if run.parts.is_empty() || self.runs.iter().any(is_same) {
            return false;
        }
        let i = self.runs.partition_point(|r| r.ended <= run.ended);
        self.runs.insert(i, run);
        if self.runs.len() > MAX_RUNS {
            self.runs.remove(0);
        }
        true
    }

    /// Records that a request with these parts completed. Returns the parts that this clears of an earlier exit.
    pub fn record_completion(&mut self, parts: &[Fingerprint], at: Instant) -> Vec<Fingerprint> {
        let is_earlier = |run: &LostRun| run.ended <= at;
        let has_earlier = |part: &&Fingerprint| self.runs_with(part).any(is_earlier);
        let cleared: Vec<Fingerprint> = parts.iter().filter(has_earlier).copied().collect();
        for part in &cleared {
            self.completed.insert(*part, at);
            self.blamed.remove(part);
        }
        cleared
    }

    /// Blames parts by the evidence so far; returns those that weren't blamed before.
    pub fn blame(&mut self) -> Vec<BlamedPart> {
        let mut all = Vec::new();
        loop {
            let blamed = self.blame_most_likely();
            if blamed.is_empty() {
                return all;
            }
            all.extend(blamed);
        }
    }

    /// Returns whether a blamed part may not be the cause: another one that the request lacks was at work at the same
    /// exits, or at these and others.
    pub fn is_doubtful(&self, part: &Fingerprint, parts_of_request: &[Fingerprint]) -> bool {
        let own = self.incarnations(part);
        let others = self.blamed.iter().filter(|p| !parts_of_request.contains(p));
        let mut incarnations = others.map(|p| self.incarnations(p));
        !own.is_empty() && incarnations.any(|of_other| own.is_subset(&of_other))
    }

    /// Removes evidence that is too old.
    pub fn expire(&mut self, now: Instant) {
        let hold_time = self.hold_time;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < hold_time;
        self.runs.retain(|run| is_recent(run.ended));
        self.completed.retain(|_, at| is_recent(*at));
        let runs = &self.runs;
        self.blamed
            .retain(|part| runs.iter().any(|run| run.parts.contains(part)));
    }

    /// Returns the lost runs of requests with a part since it last completed.
    fn runs_with(&self, part: &Fingerprint) -> impl Iterator<Item = &LostRun> {
        let completed = self.completed.get(part).copied();
        let since = move |run: &&LostRun| completed.is_none_or(|at| run.ended > at);
        let with_part = self.runs.iter().filter(|run| run.parts.contains(part));
        with_part.filter(since)
    }

    fn incarnations(&self, part: &Fingerprint) -> Set<UpstreamIncarnation> {
        self.runs_with(part).map(|run| run.incarnation).collect()
    }

    /// Blames the part with the most exits, if they prove it, and others with the same exits.
    fn blame_most_likely(&mut self) -> Vec<BlamedPart> {
        let mut candidates = self.candidates();
        candidates.sort_by_key(|c| {
            (
                Reverse(c.intervals.len()),
                Reverse(c.successive.len()),
                c.part,
            )
        });
        let Some(exits) = candidates.first().map(Candidate::incarnations) else {
            return Vec::new();
        };
        let has_same_exits = |c: &&Candidate| c.incarnations() == exits;
        let most_likely = candidates.iter().filter(has_same_exits);
        let blamed: Vec<BlamedPart> = most_likely.map(Candidate::blamed).collect();
        self.blamed.extend(blamed.iter().map(|b| b.part));
        blamed
    }

    /// Returns the parts that were at work at enough successive exits that no blamed part explains.
    fn candidates(&self) -> Vec<Candidate> {
        let blamed = self.blamed.iter();
        let explained: Set<UpstreamIncarnation> =
            blamed.flat_map(|part| self.incarnations(part)).collect();
        let mut runs_by_part: Map<Fingerprint, usize> = Map::default();
        let unexplained = self.runs.iter();
        let unexplained = unexplained.filter(|run| !explained.contains(&run.incarnation));
        for part in unexplained.flat_map(|run| &run.parts) {
            *runs_by_part.entry(*part).or_default() += 1;
        }
        // Intervals are computed for few parts only.
        runs_by_part.retain(|part, n| *n >= BLAME_THRESHOLD && !self.blamed.contains(part));
        let candidates = runs_by_part.into_keys().map(|part| {
            let intervals = self.intervals(&part, &explained);
            let successive = successive(&intervals);
            Candidate {
                part,
                intervals,
                successive,
            }
        });
        candidates
            .filter(|c| c.successive.len() >= BLAME_THRESHOLD)
            .collect()
    }

    /// Returns the work on a part at each upstream that exited for no known reason, sorted by its end.
    fn intervals(&self, part: &Fingerprint, explained: &Set<UpstreamIncarnation>) -> Vec<Interval> {
        let mut intervals: Vec<Interval> = Vec::new();
        for run in self.runs_with(part) {
            let known = intervals
                .iter_mut()
                .find(|i| i.incarnation == run.incarnation);
            match known {
                _ if explained.contains(&run.incarnation) => {}
                Some(known) => known.started = known.started.min(run.started),
                None => intervals.push(Interval {
                    incarnation: run.incarnation,
                    started: run.started,
                    ended: run.ended,
                }),
            }
        }
        intervals
    }
}

/// Returns as many intervals as possible of which each begins after the one before has ended.
fn successive(sorted: &[Interval]) -> Vec<Interval> {
    let mut chosen: Vec<Interval> = Vec::new();
    for interval in sorted {
        if chosen
            .last()
            .is_none_or(|last| interval.started >= last.ended)
        {
            chosen.push(*interval);
        }
    }
    chosen
}

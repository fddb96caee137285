//! Quarantine of requests under which upstreams exit.
//!
//! A request may terminate the process of every upstream that starts to run it. Its caller retries
//! it through any gateway, so the state of a single attempt doesn't help. The state here is keyed by
//! the request's fingerprint and shared by all gateways: the upstream incarnations that exited while
//! they ran the request, whether it has completed since, and where it is on trial now.
//!
//! Expected load: an engine runs 8 to 16 requests at once, and its exit interrupts all of them. One of
//! them is the cause; the others are harmless, and nearly all of them complete at the next upstream.
//! After the first exit all of them are suspects, and each is run again, at one upstream in the whole
//! fleet at a time, away from other suspects. A request that completes is cleared. When the cause
//! makes a second upstream exit, none of the suspects that it met before runs there; the third exit
//! proves it, and it is quarantined. An outage that terminates a seventh of all engines twice leaves a
//! harmless request with at most two exits, if it was running in both.
//!
//! States are merged, not replaced: updates may arrive late, twice, in any order, or not at all, and
//! gateways that received the same updates make the same decisions.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{Fingerprint, Map, UpstreamIncarnation};

/// Number of exits after which a request is quarantined. Two may be chance: of the requests at a
/// seventh of the engines that an outage terminates, a seventh meets the next outage too.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Maximum number of exits retained for a request, the latest. Their count determines how long it is
/// quarantined.
pub const MAX_EXITS: usize = 8;

/// Maximum number of requests with a state. One state takes some 0.5 KB, and when a failure domain of
/// 800 engines goes down, it interrupts 6,400 to 12,800 requests at 20 or so gateways.
pub const MAX_SUSPECTS: usize = 4096;

/// Number of states evicted at once, so that they aren't sorted for each insertion.
const EVICTION_BATCH: usize = MAX_SUSPECTS / 8;

/// Time after an exit in which the request isn't run again, so that updates on it from other gateways
/// arrive: within a few ms in a failure domain, and up to 15 ms between regions. A stream that resumes
/// stalls for this much longer, out of 400 ms that it may stall.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Time after which a trial without updates counts as over, since its gateway may be down. The
/// longest streams take 4 s.
const TRIAL_TIME: Duration = Duration::from_secs(5);

/// Time for which the state of a cleared request is retained: longer than late updates take.
const CLEARED_TIME: Duration = Duration::from_secs(30);

/// Maximum number of doublings of the quarantine time.
const MAX_DOUBLINGS: u32 = (MAX_EXITS - QUARANTINE_THRESHOLD) as u32;

/// Exit of an upstream while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamExit {
    /// Incarnation that exited.
    pub incarnation: UpstreamIncarnation,
    /// Time of the exit.
    pub at: Instant,
}

/// Trial run of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// Number that increases with each trial of the request.
    pub number: u32,
    /// Upstream that runs it; `None` once the trial is over.
    pub upstream: Option<SocketAddr>,
    /// Start time.
    pub started: Instant,
}

/// Shared state of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectState {
    /// Exits since the request last completed, the earliest first.
    pub exits: Vec<UpstreamExit>,
    /// When the request last completed.
    pub completed: Option<Instant>,
    /// Latest trial.
    pub trial: Option<Trial>,
}

/// Decision on a request, the least strict first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Decision {
    /// The request isn't a suspect and may run anywhere.
    Allow,
    /// The request may run on trial.
    Trial(Isolation),
    /// The request may run on trial from this time on.
    WaitUntil(Instant),
    /// The request is already on trial.
    OnTrial,
    /// The request is quarantined until this time.
    Quarantined(Instant),
}

/// Isolation of a suspect from other suspects, the least strict first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Isolation {
    /// Away from other suspects where there is free capacity.
    Preferred,
    /// Only at an upstream without other suspects.
    Required,
}

/// States of all suspects.
#[derive(Debug)]
pub struct Quarantine {
    hold_time: Duration,
    suspects: Map<Fingerprint, SuspectState>,
}

impl Quarantine {
    /// Creates an empty quarantine. A request with [`QUARANTINE_THRESHOLD`] exits is quarantined for
    /// `hold_time`, and for twice as long after each further exit in a trial.
    pub fn new(hold_time: Duration) -> Quarantine {
        Quarantine {
            hold_time,
            suspects: Map::default(),
        }
    }

    /// Returns whether there is no state of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of requests with a state.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the state of a request.
    pub fn suspect(&self, request: &Fingerprint) -> Option<&SuspectState> {
        self.suspects.get(request)
    }

    /// Returns all suspects, the requests with at least one exit, in arbitrary order.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &SuspectState)> {
        let with_exits = self.suspects.iter().filter(|(_, s)| !s.exits.is_empty());
        with_exits.map(|(request, state)| (*request, state))
    }

    /// Returns all suspects, those with the most exits first, and the latest first among equals.
    pub fn most_severe(&self) -> Vec<(Fingerprint, &SuspectState)> {
        let mut all: Vec<_> = self.suspects().collect();
        all.sort_unstable_by_key(|(request, state)| Reverse((severity(state), *request)));
        all
    }

    /// Returns the decision on a request now.
    pub fn decide(&self, request: &Fingerprint, now: Instant) -> Decision {
        let Some(state) = self.suspects.get(request) else {
            return Decision::Allow;
        };
        let Some(last) = state.exits.last() else {
            return Decision::Allow;
        };
        let quarantined_until = state.quarantined_until(self.hold_time);
        let settled = last.at + SETTLE_TIME;
        match quarantined_until {
            Some(until) if now < until => Decision::Quarantined(until),
            _ if state.is_on_trial(now) => Decision::OnTrial,
            _ if now < settled => Decision::WaitUntil(settled),
            _ if state.exits.len() > 1 => Decision::Trial(Isolation::Required),
            _ => Decision::Trial(Isolation::Preferred),
        }
    }

    /// Returns whether a request is quarantined now.
    pub fn is_quarantined(&self, request: &Fingerprint, now: Instant) -> bool {
        matches!(self.decide(request, now), Decision::Quarantined(_))
    }

    /// Returns the upstreams that run suspects on trial.
    pub fn trial_upstreams(&self, now: Instant) -> Vec<SocketAddr> {
        let on_trial = self.suspects.values().filter(|s| s.is_on_trial(now));
        on_trial.filter_map(|s| s.trial?.upstream).collect()
    }

    /// Begins a trial and returns its number, or `None` if the request may not be on trial now.
    pub fn begin_trial(
        &mut self,
        request: &Fingerprint,
        upstream: SocketAddr,
        now: Instant,
    ) -> Option<u32> {
        if !matches!(self.decide(request, now), Decision::Trial(_)) {
            return None;
        }
        let state = self.suspects.get_mut(request)?;
        let number = state.trial.map_or(0, |t| t.number).saturating_add(1);
        state.trial = Some(Trial {
            number,
            upstream: Some(upstream),
            started: now,
        });
        Some(number)
    }

    /// Returns whether a trial is the current one, once trials that other gateways began at the same
    /// time are known.
    pub fn is_current_trial(
        &self,
        request: &Fingerprint,
        number: u32,
        upstream: SocketAddr,
    ) -> bool {
        let trial = self.suspects.get(request).and_then(|s| s.trial);
        trial.is_some_and(|t| t.number == number && t.upstream == Some(upstream))
    }

    /// Ends a trial without a result; returns whether it was the current one.
    pub fn end_trial(&mut self, request: &Fingerprint, number: u32, upstream: SocketAddr) -> bool {
        let was_current = self.is_current_trial(request, number, upstream);
        if let Some(state) = self.suspects.get_mut(request).filter(|_| was_current) {
            state.trial = state.trial.map(Trial::ended);
        }
        was_current
    }

    /// Records that an upstream exited while it ran a request; returns whether that is new.
    pub fn record_exit(
        &mut self,
        request: Fingerprint,
        upstream: SocketAddr,
        exit: UpstreamExit,
    ) -> bool {
        let trial = self.suspects.get(&request).and_then(|s| s.trial);
        let ended = |trial: Trial| match trial.upstream == Some(upstream) {
            true => trial.ended(),
            false => trial,
        };
        let state = SuspectState {
            exits: vec![exit],
            completed: None,
            trial: trial.map(ended),
        };
        self.merge(request, state)
    }

    /// Records that a request completed; returns whether it was a suspect.
    pub fn record_completion(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let Some(state) = self.suspects.get(request).filter(|s| !s.exits.is_empty()) else {
            return false;
        };
        let cleared = SuspectState {
            exits: Vec::new(),
            completed: Some(now),
            trial: state.trial.map(Trial::ended),
        };
        self.merge(*request, cleared)
    }

    /// Merges another gateway's state of a request; returns whether anything in it is new.
    pub fn merge(&mut self, request: Fingerprint, other: SuspectState) -> bool {
        let known = self.suspects.get(&request).cloned().unwrap_or_default();
        let merged = known.clone().merged(other);
        if merged.exits.is_empty() && merged.completed.is_none() {
            return false;
        }
        let is_new = !merged.is_equivalent(&known);
        self.suspects.insert(request, merged);
        self.evict();
        is_new
    }

    /// Removes states that have expired.
    pub fn expire(&mut self, now: Instant) {
        let hold_time = self.hold_time;
        self.suspects
            .retain(|_, state| match (state.exits.last(), state.completed) {
                // Retained for one more hold time after the quarantine, so that one more exit counts
                // with those before.
                (Some(last), _) => {
                    now < state.quarantined_until(hold_time).unwrap_or(last.at) + hold_time
                }
                (None, Some(completed)) => now < completed + CLEARED_TIME,
                (None, None) => false,
            });
    }

    /// Evicts the least important states if there are too many: cleared ones, then those with the
    /// fewest exits, then the oldest.
    fn evict(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let mut all: Vec<_> = self
            .suspects
            .iter()
            .map(|(r, s)| (severity(s), *r))
            .collect();
        all.sort_unstable();
        for (_, request) in all.into_iter().take(EVICTION_BATCH) {
            self.suspects.remove(&request);
        }
    }
}

/// Returns the severity of a state: the number of exits, then the time of the last.
fn severity(state: &SuspectState) -> (usize, Option<Instant>) {
    (state.exits.len(), state.exits.last().map(|exit| exit.at))
}

impl Trial {
    fn ended(self) -> Trial {
        Trial {
            upstream: None,
            ..self
        }
    }
}

impl SuspectState {
    fn is_on_trial(&self, now: Instant) -> bool {
        let is_running = |t: &Trial| now.saturating_duration_since(t.started) < TRIAL_TIME;
        self.trial
            .is_some_and(|t| t.upstream.is_some() && is_running(&t))
    }

    /// Returns the end of the quarantine, or `None` if there are too few exits for one.
    fn quarantined_until(&self, hold_time: Duration) -> Option<Instant> {
        let excess = self.exits.len().checked_sub(QUARANTINE_THRESHOLD)?;
        let doublings = u32::try_from(excess).map_or(MAX_DOUBLINGS, |n| n.min(MAX_DOUBLINGS));
        let last = self.exits.last()?;
        Some(last.at + hold_time * 2_u32.pow(doublings))
    }

    /// Returns whether two states differ at most in times, which are never quite the same: updates
    /// take a while to arrive.
    fn is_equivalent(&self, other: &SuspectState) -> bool {
        let incarnations = |state: &SuspectState| -> Vec<UpstreamIncarnation> {
            state.exits.iter().map(|e| e.incarnation).collect()
        };
        let trial = |state: &SuspectState| state.trial.map(|t| (t.number, t.upstream));
        incarnations(self) == incarnations(other)
            && self.completed.is_some() == other.completed.is_some()
            && trial(self) == trial(other)
    }

    /// Merges the states of two gateways.
    fn merged(self, other: SuspectState) -> SuspectState {
        let completed = self.completed.max(other.completed);
        let mut exits = self.exits;
        for exit in other.exits {
            match exits.iter_mut().find(|e| e.incarnation == exit.incarnation) {
                // An update never dates an exit before it happened, so the earlier time is closer.
                Some(known) => known.at = known.at.min(exit.at),
                None => exits.push(exit),
            }
        }
        exits.retain(|exit| completed.is_none_or(|at| exit.at > at));
        exits.sort_by_key(|exit| (exit.at, exit.incarnation));
        exits.drain(..exits.len().saturating_sub(MAX_EXITS));
        SuspectState {
            exits,
            completed,
            trial: later_trial(self.trial, other.trial),
        }
    }
}

/// Returns the later of two trials. Two trials with the same number began at the same time; one that
/// is over wins, else the one at the lower address, so that all gateways choose the same.
fn later_trial(a: Option<Trial>, b: Option<Trial>) -> Option<Trial> {
    let (Some(a), Some(b)) = (a, b) else {
        return a.or(b);
    };
    let rank = |t: &Trial| (t.number, t.upstream.is_none(), Reverse(t.upstream));
    match rank(&b) > rank(&a) {
        true => Some(b),
        false => Some(a),
    }
}

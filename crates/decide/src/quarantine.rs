//! Requests under which upstreams end.
//!
//! A request may end the process of each upstream that begins it. Its caller comes back with it, through any
//! gateway, so nothing that is known of one attempt helps. What is kept here is known by the request's
//! fingerprint and shared by all gateways: under which lives of upstreams it was at work as they ended, whether
//! it has run to its end since, and where it is being tried now.
//!
//! The load it answers: engines run 8 to 16 requests at once, and each that ends breaks all of them off. One of
//! them did it; the others did no harm and end well at the next upstream, nearly always. So after the first end
//! all of them are suspects, and each is run again, at one place in the whole fleet at a time, away from other
//! suspects. One that runs to its end is cleared. The one that ends a second upstream takes no suspect with it
//! that it met before, a third proves it, and it is held back. An outage that ends a seventh of all engines
//! twice leaves a harmless request with two ends at most, if it was at work in both.
//!
//! Cases are merged, not replaced: news may come late, twice, in any order, or not at all, and gateways that
//! have heard the same decide alike.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{Fingerprint, LifeId, Map};

/// Ends after which a request is held back. Two may be chance: of the requests at a seventh of the engines that
/// an outage ends, a seventh meets the next outage too.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Ends kept of a case, the latest. They tell how long it is held back.
pub const MAX_EXITS: usize = 8;

/// Most cases kept. One takes some 0.5 KB, and a failure domain of 800 engines that ends breaks off 6,400 to
/// 12,800 requests at 20 or so gateways.
pub const MAX_SUSPECTS: usize = 4096;

/// Cases dropped where there are too many, so that they aren't sorted for each.
const EVICTION_BATCH: usize = MAX_SUSPECTS / 8;

/// Time after an end in which the request isn't tried again, so that news of the same request from elsewhere
/// arrives: a few ms within a failure domain, up to 15 between regions. A stream that goes on after it
/// pauses for so much longer, of 400 ms that it may.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Time after which a trial that nothing was heard of counts as over; its gateway may be gone. The longest
/// streams take 4 s.
const TRIAL_TIME: Duration = Duration::from_secs(5);

/// Time for which it is remembered that a request was cleared: longer than news takes that came late.
const CLEARED_TIME: Duration = Duration::from_secs(30);

/// Most doublings of the time for which a request is held back.
const MAX_DOUBLINGS: u32 = (MAX_EXITS - QUARANTINE_THRESHOLD) as u32;

/// An upstream that ended while a request was at work there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamExit {
    /// Life of the upstream that ended.
    pub incarnation: LifeId,
    /// When.
    pub at: Instant,
}

/// A run of a suspect that may show what it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// Grows with each trial of the request.
    pub number: u32,
    /// Where it runs; `None` once it's over.
    pub upstream: Option<SocketAddr>,
    /// When it began.
    pub started: Instant,
}

/// What is known of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectState {
    /// Ends since it last ran to its end, the earliest first.
    pub exits: Vec<UpstreamExit>,
    /// When it last ran to its end.
    pub completed: Option<Instant>,
    /// Its latest trial.
    pub trial: Option<Trial>,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Nothing is held against it.
    Allow,
    /// It may be run, on trial.
    Trial(Isolation),
    /// It may be tried from a moment on.
    WaitUntil(Instant),
    /// It is being tried elsewhere.
    InTrial,
    /// It is held back until a moment.
    Quarantined(Instant),
}

/// How a suspect is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Isolation {
    /// Away from other suspects where there is room.
    Preferred,
    /// Nowhere where another suspect runs.
    Required,
}

/// All suspects.
#[derive(Debug)]
pub struct Quarantine {
    hold_time: Duration,
    suspects: Map<Fingerprint, SuspectState>,
}

impl Quarantine {
    /// No cases yet. A request that has ended [`QUARANTINE_THRESHOLD`] upstreams is held back for `hold_time`, and for
    /// twice as long each time that it ends one more when it's tried again.
    pub fn new(hold_time: Duration) -> Quarantine {
        Quarantine {
            hold_time,
            suspects: Map::default(),
        }
    }

    /// Whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Requests with a case.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// What is known of a request.
    pub fn suspect(&self, request: &Fingerprint) -> Option<&SuspectState> {
        self.suspects.get(request)
    }

    /// All that something is held against, in no order.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &SuspectState)> {
        let open = self
            .suspects
            .iter()
            .filter(|(_, case)| !case.exits.is_empty());
        open.map(|(request, case)| (*request, case))
    }

    /// The same, those with most ends first, the latest first among equals.
    pub fn most_severe(&self) -> Vec<(Fingerprint, &SuspectState)> {
        let mut all: Vec<_> = self.suspects().collect();
        all.sort_unstable_by_key(|(request, case)| Reverse((severity(case), *request)));
        all
    }

    /// What to do with a request now.
    pub fn decide(&self, request: &Fingerprint, now: Instant) -> Decision {
        let Some(case) = self.suspects.get(request) else {
            return Decision::Allow;
        };
        let Some(last) = case.exits.last() else {
            return Decision::Allow;
        };
        let held_until = case.held_until(self.hold_time);
        let settled = last.at + SETTLE_TIME;
        match held_until {
            Some(until) if now < until => Decision::Quarantined(until),
            _ if case.is_tried(now) => Decision::InTrial,
            _ if now < settled => Decision::WaitUntil(settled),
            _ if case.exits.len() > 1 => Decision::Trial(Isolation::Required),
            _ => Decision::Trial(Isolation::Preferred),
        }
    }

    /// Whether a request is held back now.
    pub fn is_quarantined(&self, request: &Fingerprint, now: Instant) -> bool {
        matches!(self.decide(request, now), Decision::Quarantined(_))
    }

    /// Upstreams where suspects are being tried.
    pub fn trial_upstreams(&self, now: Instant) -> Vec<SocketAddr> {
        let tried = self.suspects.values().filter(|case| case.is_tried(now));
        tried.filter_map(|case| case.trial?.upstream).collect()
    }

    /// Begins a trial; its number, or `None` where the request may not be tried now.
    pub fn begin_trial(
        &mut self,
        request: &Fingerprint,
        upstream: SocketAddr,
        now: Instant,
    ) -> Option<u32> {
        if !matches!(self.decide(request, now), Decision::Trial(_)) {
            return None;
        }
        let case = self.suspects.get_mut(request)?;
        let number = case.trial.map_or(0, |t| t.number).saturating_add(1);
        case.trial = Some(Trial {
            number,
            upstream: Some(upstream),
            started: now,
        });
        Some(number)
    }

    /// Whether a trial is the one under way, once others that began at the same moment are known of.
    pub fn is_current_trial(
        &self,
        request: &Fingerprint,
        number: u32,
        upstream: SocketAddr,
    ) -> bool {
        let trial = self.suspects.get(request).and_then(|c| c.trial);
        trial.is_some_and(|t| t.number == number && t.upstream == Some(upstream))
    }

    /// Ends a trial that showed nothing; `true` where it was under way.
    pub fn end_trial(&mut self, request: &Fingerprint, number: u32, upstream: SocketAddr) -> bool {
        let was_under_way = self.is_current_trial(request, number, upstream);
        if let Some(case) = self.suspects.get_mut(request).filter(|_| was_under_way) {
            case.trial = case.trial.map(Trial::over);
        }
        was_under_way
    }

    /// Notes that an upstream ended while a request was at work there; `true` where that is news.
    pub fn record_exit(
        &mut self,
        request: Fingerprint,
        upstream: SocketAddr,
        exit: UpstreamExit,
    ) -> bool {
        let trial = self.suspects.get(&request).and_then(|c| c.trial);
        let over = |trial: Trial| match trial.upstream == Some(upstream) {
            true => trial.over(),
            false => trial,
        };
        let case = SuspectState {
            exits: vec![exit],
            completed: None,
            trial: trial.map(over),
        };
        self.merge(request, case)
    }

    /// Notes that a request ran to its end; `true` where something was held against it.
    pub fn record_completion(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let Some(case) = self.suspects.get(request).filter(|c| !c.exits.is_empty()) else {
            return false;
        };
        let cleared = SuspectState {
            exits: Vec::new(),
            completed: Some(now),
            trial: case.trial.map(Trial::over),
        };
        self.merge(*request, cleared)
    }

    /// Takes what another gateway knows of a request; `true` where anything of it is news.
    pub fn merge(&mut self, request: Fingerprint, other: SuspectState) -> bool {
        let known = self.suspects.get(&request).cloned().unwrap_or_default();
        let merged = known.clone().merged(other);
        if merged.exits.is_empty() && merged.completed.is_none() {
            return false;
        }
        let is_news = !merged.is_like(&known);
        self.suspects.insert(request, merged);
        self.evict();
        is_news
    }

    /// Forgets cases that are over.
    pub fn expire(&mut self, now: Instant) {
        let hold_time = self.hold_time;
        self.suspects
            .retain(|_, case| match (case.exits.last(), case.completed) {
                // As long again as it was held back, so that one more end counts with those before.
                (Some(last), _) => now < case.held_until(hold_time).unwrap_or(last.at) + hold_time,
                (None, Some(completed)) => now < completed + CLEARED_TIME,
                (None, None) => false,
            });
    }

    /// Drops the cases whose loss does least harm where there are too many: those that are cleared, then those
    /// with the fewest ends, then the oldest.
    fn evict(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let mut all: Vec<_> = self
            .suspects
            .iter()
            .map(|(r, c)| (severity(c), *r))
            .collect();
        all.sort_unstable();
        for (_, request) in all.into_iter().take(EVICTION_BATCH) {
            self.suspects.remove(&request);
        }
    }
}

/// What weighs a case against others.
fn severity(case: &SuspectState) -> (usize, Option<Instant>) {
    (case.exits.len(), case.exits.last().map(|exit| exit.at))
}

impl Trial {
    fn over(self) -> Trial {
        Trial {
            upstream: None,
            ..self
        }
    }
}

impl SuspectState {
    fn is_tried(&self, now: Instant) -> bool {
        let lasts = |t: &Trial| now.saturating_duration_since(t.started) < TRIAL_TIME;
        self.trial
            .is_some_and(|t| t.upstream.is_some() && lasts(&t))
    }

    /// Until when it is held back, if it is.
    fn held_until(&self, hold_time: Duration) -> Option<Instant> {
        let more = self.exits.len().checked_sub(QUARANTINE_THRESHOLD)?;
        let doublings = u32::try_from(more).map_or(MAX_DOUBLINGS, |n| n.min(MAX_DOUBLINGS));
        let last = self.exits.last()?;
        Some(last.at + hold_time * 2_u32.pow(doublings))
    }

    /// Whether two differ by times alone, which are never quite the same: news takes a while.
    fn is_like(&self, other: &SuspectState) -> bool {
        let lives = |case: &SuspectState| -> Vec<LifeId> {
            case.exits.iter().map(|e| e.incarnation).collect()
        };
        let trial = |case: &SuspectState| case.trial.map(|t| (t.number, t.upstream));
        lives(self) == lives(other)
            && self.completed.is_some() == other.completed.is_some()
            && trial(self) == trial(other)
    }

    /// What two gateways know of a request, put together.
    fn merged(self, other: SuspectState) -> SuspectState {
        let completed = self.completed.max(other.completed);
        let mut exits = self.exits;
        for exit in other.exits {
            match exits.iter_mut().find(|e| e.incarnation == exit.incarnation) {
                // News of an end is never older than the end itself, so the earlier time is nearer to it.
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
            trial: later(self.trial, other.trial),
        }
    }
}

/// The later of two trials. Of two with the same number, which began in one moment, one that is over, else that
/// at the lower address, so that all gateways choose the same.
fn later(a: Option<Trial>, b: Option<Trial>) -> Option<Trial> {
    let (Some(a), Some(b)) = (a, b) else {
        return a.or(b);
    };
    let rank = |t: &Trial| (t.number, t.upstream.is_none(), Reverse(t.upstream));
    match rank(&b) > rank(&a) {
        true => Some(b),
        false => Some(a),
    }
}

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
pub const MOST_ENDS: usize = 3;

/// Ends kept of a case, the latest. They tell how long it is held back.
pub const KEPT_ENDS: usize = 8;

/// Most cases kept. One takes some 0.5 KB, and a failure domain of 800 engines that ends breaks off 6,400 to
/// 12,800 requests at 20 or so gateways.
pub const MOST_CASES: usize = 4096;

/// Cases dropped where there are too many, so that they aren't sorted for each.
const DROPPED_AT_ONCE: usize = MOST_CASES / 8;

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
const MOST_DOUBLINGS: u32 = (KEPT_ENDS - MOST_ENDS) as u32;

/// An upstream that ended while a request was at work there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Life of the upstream that ended.
    pub life: LifeId,
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
    pub at: Instant,
}

/// What is known of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Case {
    /// Ends since it last ran to its end, the earliest first.
    pub ends: Vec<End>,
    /// When it last ran to its end.
    pub finished: Option<Instant>,
    /// Its latest trial.
    pub trial: Option<Trial>,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Free,
    /// It may be run, on trial.
    Try(Care),
    /// It may be tried from a moment on.
    Later(Instant),
    /// It is being tried elsewhere.
    Tried,
    /// It is held back until a moment.
    Held(Instant),
}

/// How a suspect is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Care {
    /// Away from other suspects where there is room.
    Preferably,
    /// Nowhere where another suspect runs.
    Strictly,
}

/// All cases.
#[derive(Debug)]
pub struct Quarantine {
    hold_time: Duration,
    cases: Map<Fingerprint, Case>,
}

impl Quarantine {
    /// No cases yet. A request that has ended [`MOST_ENDS`] upstreams is held back for `hold_time`, and for
    /// twice as long each time that it ends one more when it's tried again.
    pub fn new(hold_time: Duration) -> Quarantine {
        Quarantine {
            hold_time,
            cases: Map::default(),
        }
    }

    /// Whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Requests with a case.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// What is known of a request.
    pub fn case(&self, request: &Fingerprint) -> Option<&Case> {
        self.cases.get(request)
    }

    /// All that something is held against, in no order.
    pub fn open(&self) -> impl Iterator<Item = (Fingerprint, &Case)> {
        let open = self.cases.iter().filter(|(_, case)| !case.ends.is_empty());
        open.map(|(request, case)| (*request, case))
    }

    /// The same, those with most ends first, the latest first among equals.
    pub fn gravest(&self) -> Vec<(Fingerprint, &Case)> {
        let mut all: Vec<_> = self.open().collect();
        all.sort_unstable_by_key(|(request, case)| Reverse((gravity(case), *request)));
        all
    }

    /// What to do with a request now.
    pub fn verdict(&self, request: &Fingerprint, now: Instant) -> Verdict {
        let Some(case) = self.cases.get(request) else {
            return Verdict::Free;
        };
        let Some(last) = case.ends.last() else {
            return Verdict::Free;
        };
        let held_until = case.held_until(self.hold_time);
        let settled = last.at + SETTLE_TIME;
        match held_until {
            Some(until) if now < until => Verdict::Held(until),
            _ if case.is_tried(now) => Verdict::Tried,
            _ if now < settled => Verdict::Later(settled),
            _ if case.ends.len() > 1 => Verdict::Try(Care::Strictly),
            _ => Verdict::Try(Care::Preferably),
        }
    }

    /// Whether a request is held back now.
    pub fn is_held(&self, request: &Fingerprint, now: Instant) -> bool {
        matches!(self.verdict(request, now), Verdict::Held(_))
    }

    /// Upstreams where suspects are being tried.
    pub fn trials(&self, now: Instant) -> Vec<SocketAddr> {
        let tried = self.cases.values().filter(|case| case.is_tried(now));
        tried.filter_map(|case| case.trial?.upstream).collect()
    }

    /// Begins a trial; its number, or `None` where the request may not be tried now.
    pub fn begin(
        &mut self,
        request: &Fingerprint,
        upstream: SocketAddr,
        now: Instant,
    ) -> Option<u32> {
        if !matches!(self.verdict(request, now), Verdict::Try(_)) {
            return None;
        }
        let case = self.cases.get_mut(request)?;
        let number = case.trial.map_or(0, |t| t.number).saturating_add(1);
        case.trial = Some(Trial {
            number,
            upstream: Some(upstream),
            at: now,
        });
        Some(number)
    }

    /// Whether a trial is the one under way, once others that began at the same moment are known of.
    pub fn is_under_way(&self, request: &Fingerprint, number: u32, upstream: SocketAddr) -> bool {
        let trial = self.cases.get(request).and_then(|c| c.trial);
        trial.is_some_and(|t| t.number == number && t.upstream == Some(upstream))
    }

    /// Ends a trial that showed nothing; `true` where it was under way.
    pub fn release(&mut self, request: &Fingerprint, number: u32, upstream: SocketAddr) -> bool {
        let was_under_way = self.is_under_way(request, number, upstream);
        if let Some(case) = self.cases.get_mut(request).filter(|_| was_under_way) {
            case.trial = case.trial.map(Trial::over);
        }
        was_under_way
    }

    /// Notes that an upstream ended while a request was at work there; `true` where that is news.
    pub fn ended(&mut self, request: Fingerprint, upstream: SocketAddr, end: End) -> bool {
        let trial = self.cases.get(&request).and_then(|c| c.trial);
        let over = |trial: Trial| match trial.upstream == Some(upstream) {
            true => trial.over(),
            false => trial,
        };
        let case = Case {
            ends: vec![end],
            finished: None,
            trial: trial.map(over),
        };
        self.merge(request, case)
    }

    /// Notes that a request ran to its end; `true` where something was held against it.
    pub fn finished(&mut self, request: &Fingerprint, now: Instant) -> bool {
        let Some(case) = self.cases.get(request).filter(|c| !c.ends.is_empty()) else {
            return false;
        };
        let cleared = Case {
            ends: Vec::new(),
            finished: Some(now),
            trial: case.trial.map(Trial::over),
        };
        self.merge(*request, cleared)
    }

    /// Takes what another gateway knows of a request; `true` where anything of it is news.
    pub fn merge(&mut self, request: Fingerprint, other: Case) -> bool {
        let known = self.cases.get(&request).cloned().unwrap_or_default();
        let merged = known.clone().merged(other);
        if merged.ends.is_empty() && merged.finished.is_none() {
            return false;
        }
        let is_news = !merged.is_like(&known);
        self.cases.insert(request, merged);
        self.drop_least();
        is_news
    }

    /// Forgets cases that are over.
    pub fn forget(&mut self, now: Instant) {
        let hold_time = self.hold_time;
        self.cases
            .retain(|_, case| match (case.ends.last(), case.finished) {
                // As long again as it was held back, so that one more end counts with those before.
                (Some(last), _) => now < case.held_until(hold_time).unwrap_or(last.at) + hold_time,
                (None, Some(finished)) => now < finished + CLEARED_TIME,
                (None, None) => false,
            });
    }

    /// Drops the cases whose loss does least harm where there are too many: those that are cleared, then those
    /// with the fewest ends, then the oldest.
    fn drop_least(&mut self) {
        if self.cases.len() <= MOST_CASES {
            return;
        }
        let mut all: Vec<_> = self.cases.iter().map(|(r, c)| (gravity(c), *r)).collect();
        all.sort_unstable();
        for (_, request) in all.into_iter().take(DROPPED_AT_ONCE) {
            self.cases.remove(&request);
        }
    }
}

/// What weighs a case against others.
fn gravity(case: &Case) -> (usize, Option<Instant>) {
    (case.ends.len(), case.ends.last().map(|end| end.at))
}

impl Trial {
    fn over(self) -> Trial {
        Trial {
            upstream: None,
            ..self
        }
    }
}

impl Case {
    fn is_tried(&self, now: Instant) -> bool {
        let lasts = |t: &Trial| now.saturating_duration_since(t.at) < TRIAL_TIME;
        self.trial
            .is_some_and(|t| t.upstream.is_some() && lasts(&t))
    }

    /// Until when it is held back, if it is.
    fn held_until(&self, hold_time: Duration) -> Option<Instant> {
        let more = self.ends.len().checked_sub(MOST_ENDS)?;
        let doublings = u32::try_from(more).map_or(MOST_DOUBLINGS, |n| n.min(MOST_DOUBLINGS));
        let last = self.ends.last()?;
        Some(last.at + hold_time * 2_u32.pow(doublings))
    }

    /// Whether two differ by times alone, which are never quite the same: news takes a while.
    fn is_like(&self, other: &Case) -> bool {
        let lives = |case: &Case| -> Vec<LifeId> { case.ends.iter().map(|e| e.life).collect() };
        let trial = |case: &Case| case.trial.map(|t| (t.number, t.upstream));
        lives(self) == lives(other)
            && self.finished.is_some() == other.finished.is_some()
            && trial(self) == trial(other)
    }

    /// What two gateways know of a request, put together.
    fn merged(self, other: Case) -> Case {
        let finished = self.finished.max(other.finished);
        let mut ends = self.ends;
        for end in other.ends {
            match ends.iter_mut().find(|e| e.life == end.life) {
                // News of an end is never older than the end itself, so the earlier time is nearer to it.
                Some(known) => known.at = known.at.min(end.at),
                None => ends.push(end),
            }
        }
        ends.retain(|end| finished.is_none_or(|at| end.at > at));
        ends.sort_by_key(|end| (end.at, end.life));
        ends.drain(..ends.len().saturating_sub(KEPT_ENDS));
        Case {
            ends,
            finished,
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

//! One upstream: what the platform lists of it, what its loader tells, and what is in flight.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Fingerprint, LifeId, Model, Revision};
use beacon::{EngineStatus, Holding, Load};
use catalog::{ServiceName, StartTime, WeightsVersion};

use decide::outlier_detection::{OutcomeCounts, OutcomeTracker};
use tokio::sync::Notify;

use crate::suspects::TrialGuard;

/// Incarnation of an upstream, as the platform names it.
pub type InstanceId = String;

/// How long a loader's note goes before what the platform lists, in which a change shows up to
/// three seconds later.
const NOTE_TIME: Duration = Duration::from_secs(3);

/// First pause after a failed connection, or a row of failed or rejected requests.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Failed or rejected requests in a row after which an upstream is left alone for a while.
const FAILURES_IN_A_ROW: u32 = 3;

/// An upstream as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedUpstream {
    /// Incarnation.
    pub instance: InstanceId,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Address.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Time for which it stays cold.
    pub cold_for: Duration,
    /// Weights it holds whole.
    pub holdings: Vec<Holding>,
    /// Revision of its entry; grows with each of its heartbeats.
    pub revision: Revision,
    /// Start of its life, where it tells it: it may start again under its id.
    pub start_time: Option<StartTime>,
}

impl ListedUpstream {
    /// Whether something other than what each heartbeat changes differs.
    pub fn differs_from(&self, other: &ListedUpstream) -> bool {
        *self
            != ListedUpstream {
                revision: self.revision,
                cold_for: self.cold_for,
                ..other.clone()
            }
    }
}

/// Whether a life ended before another began; `false` where either isn't known.
pub fn is_stale(born: Option<StartTime>, later: Option<StartTime>) -> bool {
    matches!((born, later), (Some(born), Some(later)) if born < later)
}

fn incarnation(instance: &str, born: Option<StartTime>) -> LifeId {
    let born = born.map_or(0, |born| born.wrapping_add(1));
    Fingerprint::of(&[instance.as_bytes(), &born.to_le_bytes()]).short()
}

/// How sending to an upstream went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answered.
    Answered,
    /// It answered with a failure of its own, or not whole.
    Failed,
    /// It rejected the request.
    Refused,
    /// No connection came about.
    Unreachable,
    /// Another incarnation or another service has its address.
    Replaced,
}

#[derive(Debug)]
struct State {
    listed: ListedUpstream,
    note: Option<(EngineStatus, Instant)>,
    requests: u32,
    unread: u64,
    failures: u32,
    pauses: u32,
    paused_until: Option<Instant>,
    outcomes: OutcomeTracker,
    /// Until when it is cold, by what it last said of itself.
    cold_until: Option<Instant>,
    /// Set where it may have turned cold meanwhile: an entry counts only from a later revision on.
    cold_unless_after: Option<Revision>,
    /// When this gateway last chose it.
    chosen: Option<Instant>,
}

impl State {
    fn is_cold(&self, now: Instant) -> bool {
        self.cold_unless_after.is_some() || self.cold_until.is_some_and(|until| now < until)
    }

    /// Takes what a newer entry says of how long it stays cold.
    fn relist_cold(&mut self, listed: &ListedUpstream, now: Instant) {
        if listed.revision <= self.listed.revision {
            return;
        }
        self.cold_until = (!listed.cold_for.is_zero()).then(|| now + listed.cold_for);
        let after = self.cold_unless_after;
        self.cold_unless_after = after.filter(|after| listed.revision <= *after);
    }

    fn serves(&self, model: &Model, now: Instant) -> Option<WeightsVersion> {
        let holdings = match self.fresh_note(now) {
            Some((note, _)) if note.switching => return None,
            Some((note, _)) => &note.holdings,
            None => &self.listed.holdings,
        };
        let held = holdings.iter().find(|h| h.model == *model)?;
        held.version
    }

    fn leaves_in(&self, now: Instant) -> Option<Duration> {
        let (note, at) = self.fresh_note(now)?;
        let leaves_at = *at + note.leaves_in?;
        Some(leaves_at.saturating_duration_since(now))
    }

    /// The loader's note and when it came, while it goes before what the platform lists.
    fn fresh_note(&self, now: Instant) -> Option<&(EngineStatus, Instant)> {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < NOTE_TIME;
        self.note.as_ref().filter(|(_, at)| fresh(at))
    }
}

/// How an upstream stands at a moment; load is this gateway's part.
#[derive(Debug, Clone, Copy)]
pub struct Snapshot {
    /// Whether it takes no new work.
    pub draining: bool,
    /// Version of the model that it can serve.
    pub serving_version: Option<WeightsVersion>,
    /// Whether it is left alone for now.
    pub is_ejected: bool,
    /// Requests it works on at once.
    pub slots: u32,
    /// Requests in flight.
    pub requests: u32,
    /// Their prompt tokens that aren't read yet.
    pub unread: u64,
    /// Requests that lately failed there, not faded yet.
    pub max_failed: f64,
    /// Time until it is to leave service for new weights, as its loader has told.
    pub leaves_in: Option<Duration>,
    /// Whether it is cold, or may be.
    pub is_cold: bool,
    /// When this gateway last chose it.
    pub last_chosen: Option<Instant>,
}

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Incarnation.
    pub instance: InstanceId,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Address.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Start of its life, where it is known.
    pub start_time: Option<StartTime>,
    /// The same number for this life at all gateways.
    pub incarnation: LifeId,
    state: Mutex<State>,
}

impl Upstream {
    /// An upstream that was just listed.
    pub fn new(listed: ListedUpstream) -> Upstream {
        let now = clock::now();
        let cold_until = (!listed.cold_for.is_zero()).then(|| now + listed.cold_for);
        Upstream {
            instance: listed.instance.clone(),
            service: listed.service.clone(),
            addr: listed.addr,
            domain: listed.domain.clone(),
            start_time: listed.start_time,
            incarnation: incarnation(&listed.instance, listed.start_time),
            state: Mutex::new(State {
                listed,
                note: None,
                requests: 0,
                unread: 0,
                failures: 0,
                pauses: 0,
                paused_until: None,
                outcomes: OutcomeTracker::new(now),
                cold_until,
                cold_unless_after: None,
                chosen: None,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what the platform lists now; `true` where it differs.
    pub fn update_listing(&self, listed: ListedUpstream) -> bool {
        let mut state = self.state();
        let differs = state.listed.differs_from(&listed);
        state.relist_cold(&listed, clock::now());
        state.listed = listed;
        differs
    }

    /// The life that follows this one under the same id. Of this one nothing is kept: what it held, ran and
    /// how it fared went with it; only a note that its loader sent of the new life holds on.
    pub fn next_incarnation(&self, listed: ListedUpstream) -> Upstream {
        let next = Upstream::new(listed);
        let note = self.state().note.take();
        next.state().note = note.filter(|(note, _)| note.start_time == next.start_time);
        next
    }

    /// Takes a loader's note, unless a newer one is known or it is of a former life; `true` where it changes
    /// what the upstream can serve.
    pub fn update_status(&self, note: EngineStatus, now: Instant) -> bool {
        if is_stale(note.start_time, self.start_time) {
            return false;
        }
        let mut state = self.state();
        // Incarnations come from the time of day, which may have been set back on the loader's VM.
        let newer = state.note.as_ref().is_none_or(|(known, at)| {
            let later = (note.incarnation, note.sequence) > (known.incarnation, known.sequence);
            later || now.saturating_duration_since(*at) >= NOTE_TIME
        });
        if !newer {
            return false;
        }
        let changes = state.note.as_ref().is_none_or(|(known, _)| {
            known.switching != note.switching || known.holdings != note.holdings
        });
        state.note = Some((note, now));
        changes
    }

    /// Whether it takes no new work.
    pub fn is_draining(&self) -> bool {
        self.state().listed.draining
    }

    /// Version of a model that it can serve now; `None` where it holds none whole, or changes it.
    pub fn serving_version(&self, model: &Model) -> Option<WeightsVersion> {
        self.state().serves(model, clock::now())
    }

    /// Time until it is to leave service for new weights, as its loader has told.
    pub fn leaves_in(&self, now: Instant) -> Option<Duration> {
        self.state().leaves_in(now)
    }

    /// How it stands for a choice, under one lock: a choice looks at all upstreams of a service.
    pub fn snapshot(&self, model: Option<&Model>, now: Instant) -> Snapshot {
        let state = self.state();
        Snapshot {
            draining: state.listed.draining,
            serving_version: model.and_then(|model| state.serves(model, now)),
            is_ejected: state.paused_until.is_some_and(|until| until > now),
            slots: state.listed.slots.max(1),
            requests: state.requests,
            unread: state.unread,
            max_failed: state.outcomes.max_failed(),
            leaves_in: state.leaves_in(now),
            is_cold: state.is_cold(now),
            last_chosen: state.chosen,
        }
    }

    /// How this gateway's requests lately ended there.
    pub fn outcome_counts(&self, now: Instant) -> OutcomeCounts {
        self.state().outcomes.counts(now)
    }

    /// Takes what it answered of how long it stays cold.
    pub fn observe_cold(&self, cold_for: Duration) {
        let mut state = self.state();
        state.cold_until = (!cold_for.is_zero()).then(|| clock::now() + cold_for);
    }

    /// Notes that it may have turned cold: it counts as cold until an entry of a later revision says otherwise.
    pub fn mark_possibly_cold(&self, revision: Revision) {
        let mut state = self.state();
        let since = revision.max(state.listed.revision);
        state.cold_unless_after = Some(since);
    }

    /// This gateway's part of its load.
    pub fn load(&self) -> Load {
        let state = self.state();
        let counts = state.outcomes.counts(clock::now());
        Load {
            upstream: self.addr,
            requests: state.requests.min(u32::from(u16::MAX)) as u16,
            unread: state.unread.min(u64::from(u32::MAX)) as u32,
            // Casts of floats saturate.
            failed: counts.failed.round() as u16,
            answered: counts.answered.round() as u16,
        }
    }

    /// Whether it is left alone for now.
    pub fn is_ejected(&self) -> bool {
        let until = self.state().paused_until;
        until.is_some_and(|until| until > clock::now())
    }

    /// Notes how sending went; `true` where the upstream is left alone from now on.
    pub fn record_health(&self, health: Health) -> bool {
        let now = clock::now();
        let mut state = self.state();
        match health {
            Health::Answered => {
                state.outcomes.record_answer(now);
                state.failures = 0;
                state.pauses = 0;
                state.paused_until = None;
                return false;
            }
            Health::Failed | Health::Refused => state.failures += 1,
            Health::Unreachable => {
                state.failures = FAILURES_IN_A_ROW;
                // Down for longer than a pause: it starts again, which an entry of before doesn't tell.
                if state.pauses > 0 {
                    state.cold_unless_after = Some(state.listed.revision);
                }
            }
            Health::Replaced => {
                // Its entry lapses by itself within this time.
                state.paused_until = Some(clock::now() + LONGEST_PAUSE);
                return true;
            }
        }
        state.outcomes.record_failure(now);
        if state.failures < FAILURES_IN_A_ROW {
            return false;
        }
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(state.pauses);
        // It is alive, and may have room at any moment.
        if health != Health::Refused {
            state.pauses += 1;
        }
        state.paused_until = Some(clock::now() + pause.min(LONGEST_PAUSE));
        true
    }
}

/// What is told when requests begin and end.
#[derive(Debug, Clone)]
pub struct SlotNotifier {
    /// A slot was freed.
    pub slot_freed: Arc<Notify>,
    /// What is in flight has changed.
    pub load_changed: Arc<Notify>,
}

/// A request counted at an upstream until it is dropped.
#[derive(Debug)]
pub struct Slot {
    upstream: Arc<Upstream>,
    /// Version of the weights that was chosen with it.
    pub version: Option<WeightsVersion>,
    unread: u64,
    told: SlotNotifier,
    /// Held while it is a suspect's.
    pub(crate) trial: Option<TrialGuard>,
}

impl Slot {
    /// Counts a request with a prompt of `unread` tokens.
    pub fn acquire(
        upstream: Arc<Upstream>,
        version: Option<WeightsVersion>,
        unread: u64,
        told: SlotNotifier,
    ) -> Slot {
        let mut state = upstream.state();
        state.requests += 1;
        state.unread += unread;
        state.chosen = Some(clock::now());
        drop(state);
        told.load_changed.notify_one();
        Slot {
            upstream,
            version,
            unread,
            told,
            trial: None,
        }
    }

    /// The upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Notes that the prompt has been read: the first event came.
    pub fn record_first_event(&mut self) {
        if self.unread == 0 {
            return;
        }
        let mut state = self.upstream.state();
        state.unread = state.unread.saturating_sub(self.unread);
        self.unread = 0;
        self.told.load_changed.notify_one();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.record_first_event();
        let mut state = self.upstream.state();
        state.requests = state.requests.saturating_sub(1);
        drop(state);
        self.told.slot_freed.notify_one();
        self.told.load_changed.notify_one();
    }
}

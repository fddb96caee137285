//! State of an upstream: its entry in the platform's list, the status sent by its loader, and its requests in flight.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Fingerprint, Model, StoreRevision, UpstreamIncarnation};
use beacon::{EngineStatus, Holding, Load};
use catalog::{ServiceName, StartTime, WeightsVersion};
use decide::outlier_detection::{OutcomeCounts, OutcomeTracker};
use decide::restore::{self, Statement};
use tokio::sync::Notify;

use crate::suspects::TrialGuard;

/// Id of an upstream in the platform's list; a restarted upstream may have the same one.
pub type InstanceId = String;

/// Time for which a loader's status takes precedence over the platform's list, where a change appears up to three
/// seconds later.
const STATUS_TIME: Duration = Duration::from_secs(3);

/// First ejection time after a failed connection, or consecutive failed or rejected requests.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Maximum ejection time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Time for which an upstream that is silent on all of its requests gets others only if there is no other upstream,
/// unless bytes arrive from it before.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// Number of consecutive failed or rejected requests after which an upstream is ejected for a while.
const EJECTION_THRESHOLD: u32 = 3;

/// Entry of an upstream in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedUpstream {
    /// Id in the platform's list.
    pub instance: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
    /// Time for which it stays cold.
    pub cold_for: Duration,
    /// Weights that it holds completely.
    pub holdings: Vec<Holding>,
    /// Revision of the entry; grows with each heartbeat.
    pub revision: StoreRevision,
    /// Start time of the process, if stated; it may restart under the same id.
    pub start_time: Option<StartTime>,
    /// Number of heartbeats since then.
    pub heartbeats: u64,
}

impl ListedUpstream {
    /// Returns whether the entry was restored from a backup and was written before another one of the same id.
    fn is_outdated_by(&self, known: &ListedUpstream) -> bool {
        self.revision.era > known.revision.era
            && restore::is_outdated(self.statement(), known.statement())
    }

    /// Returns whether the entry was restored from a backup and is of an upstream whose entry was removed since.
    pub(crate) fn is_removed_by(&self, removed: &ListedUpstream) -> bool {
        self.revision.era > removed.revision.era
            && restore::is_removed(self.statement(), removed.statement())
    }

    fn statement(&self) -> Statement {
        Statement {
            start_time: self.start_time,
            heartbeats: self.heartbeats,
            draining: self.draining,
        }
    }

    /// Returns whether the entries differ, apart from the fields that change with each heartbeat.
    pub fn differs_from(&self, other: &ListedUpstream) -> bool {
        *self
            != ListedUpstream {
                revision: self.revision,
                heartbeats: self.heartbeats,
                cold_for: self.cold_for,
                ..other.clone()
            }
    }
}

/// Returns whether `start_time` is of an earlier incarnation than the one that started at `later`; `false` if either
/// isn't known.
pub fn is_stale(start_time: Option<StartTime>, later: Option<StartTime>) -> bool {
    matches!((start_time, later), (Some(start), Some(later)) if start < later)
}

fn incarnation(instance: &str, start_time: Option<StartTime>) -> UpstreamIncarnation {
    let start_time = start_time.map_or(0, |start| start.wrapping_add(1));
    Fingerprint::of(&[instance.as_bytes(), &start_time.to_le_bytes()]).short()
}

/// Result of a request to an upstream, for outlier detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The upstream responded.
    Answered,
    /// The upstream responded with a server error, or its response was lost.
    Failed,
    /// The upstream rejected the request.
    Refused,
    /// No connection could be established.
    Unreachable,
    /// Another instance or another service has its address.
    Replaced,
}

#[derive(Debug)]
struct State {
    listed: ListedUpstream,
    status: Option<(EngineStatus, Instant)>,
    requests: u32,
    unread: u64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Until when it counts as silent.
    silent_until: Option<Instant>,
    /// Failures recorded because it was silent, which are withdrawn when bytes arrive from it again.
    silent_failures: u32,
    /// When bytes last arrived from it, on any request.
    last_activity: Instant,
    outcomes: OutcomeTracker,
    /// Until when it is cold, as last stated in a response or an entry.
    cold_until: Option<Instant>,
    /// Set if it may have turned cold: it counts as cold until an entry of a later revision states otherwise.
    cold_unless_after: Option<StoreRevision>,
    /// When this gateway last chose it.
    last_chosen: Option<Instant>,
}

impl State {
    fn is_ejected(&self, now: Instant) -> bool {
        let is_later = |until: Option<Instant>| until.is_some_and(|until| until > now);
        is_later(self.ejected_until) || is_later(self.silent_until)
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.cold_unless_after.is_some() || self.cold_until.is_some_and(|until| now < until)
    }

    /// Updates how long it stays cold from a newer entry.
    fn update_cold(&mut self, listed: &ListedUpstream, now: Instant) {
        if listed.revision <= self.listed.revision {
            return;
        }
        self.cold_until = (!listed.cold_for.is_zero()).then(|| now + listed.cold_for);
        let after = self.cold_unless_after;
        self.cold_unless_after = after.filter(|after| listed.revision <= *after);
    }

    fn serving_version(&self, model: &Model, now: Instant) -> Option<WeightsVersion> {
        let holdings = match self.fresh_status(now) {
            Some((status, _)) if status.switching => return None,
            Some((status, _)) => &status.holdings,
            None => &self.listed.holdings,
        };
        let held = holdings.iter().find(|h| h.model == *model)?;
        held.version
    }

    fn leaves_in(&self, now: Instant) -> Option<Duration> {
        let (status, at) = self.fresh_status(now)?;
        let leaves_at = *at + status.leaves_in?;
        Some(leaves_at.saturating_duration_since(now))
    }

    /// Returns the loader's status and when it was received, while it takes precedence over the platform's list.
    fn fresh_status(&self, now: Instant) -> Option<&(EngineStatus, Instant)> {
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < STATUS_TIME;
        self.status.as_ref().filter(|(_, at)| is_fresh(at))
    }
}

/// State of an upstream at one moment; its load is that of this gateway alone.
#[derive(Debug, Clone, Copy)]
pub struct Snapshot {
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
    /// Version of the model that it can serve now.
    pub serving_version: Option<WeightsVersion>,
    /// Whether it is ejected.
    pub is_ejected: bool,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of these requests that aren't read yet.
    pub unread: u64,
    /// Recently failed requests, without the decay since the last failure.
    pub max_failed: f64,
    /// Time until it leaves service for new weights, as its loader stated.
    pub leaves_in: Option<Duration>,
    /// Whether it is cold, or may be cold.
    pub is_cold: bool,
    /// When this gateway last chose it.
    pub last_chosen: Option<Instant>,
}

/// Upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Id in the platform's list.
    pub instance: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Start time of the process, if known.
    pub start_time: Option<StartTime>,
    /// Incarnation: the same number at all gateways, and another one after each restart.
    pub incarnation: UpstreamIncarnation,
    state: Mutex<State>,
}

impl Upstream {
    /// Creates an upstream that has just been listed.
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
                status: None,
                requests: 0,
                unread: 0,
                consecutive_failures: 0,
                ejections: 0,
                ejected_until: None,
                silent_until: None,
                silent_failures: 0,
                last_activity: now,
                outcomes: OutcomeTracker::new(now),
                cold_until,
                cold_unless_after: None,
                last_chosen: None,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the entry.
    pub(crate) fn listed(&self) -> ListedUpstream {
        self.state().listed.clone()
    }

    /// Returns whether a restored entry was written before the known one.
    pub(crate) fn has_newer_entry_than(&self, listed: &ListedUpstream) -> bool {
        listed.is_outdated_by(&self.state().listed)
    }

    /// Replaces the entry. Returns whether it differs.
    pub fn update_listing(&self, listed: ListedUpstream) -> bool {
        let mut state = self.state();
        let differs = state.listed.differs_from(&listed);
        state.update_cold(&listed, clock::now());
        state.listed = listed;
        differs
    }

    /// Returns the incarnation that follows this one under the same id. Holdings, requests and outcomes of this one
    /// aren't retained; only a status that the loader sent of the new incarnation is.
    pub fn next_incarnation(&self, listed: ListedUpstream) -> Upstream {
        let next = Upstream::new(listed);
        let previous = self.state().status.take();
        next.state().status = previous.filter(|(status, _)| status.start_time == next.start_time);
        next
    }

    /// Stores a loader's status, unless a newer one is known or it is of a stale incarnation. Returns whether it
    /// changes what the upstream can serve.
    pub fn update_status(&self, status: EngineStatus, now: Instant) -> bool {
        if is_stale(status.start_time, self.start_time) {
            return false;
        }
        let mut state = self.state();
        // Incarnations derive from the time of day, which may have been set back on the loader's VM.
        let is_newer = state.status.as_ref().is_none_or(|(known, at)| {
            let is_later =
                (status.incarnation, status.sequence) > (known.incarnation, known.sequence);
            is_later || now.saturating_duration_since(*at) >= STATUS_TIME
        });
        if !is_newer {
            return false;
        }
        let is_changed = state.status.as_ref().is_none_or(|(known, _)| {
            known.switching != status.switching || known.holdings != status.holdings
        });
        state.status = Some((status, now));
        is_changed
    }

    /// Returns whether its entry states that it is draining.
    pub fn is_draining(&self) -> bool {
        self.state().listed.draining
    }

    /// Returns the version of a model that it can serve now; `None` if it holds none completely, or is switching.
    pub fn serving_version(&self, model: &Model) -> Option<WeightsVersion> {
        self.state().serving_version(model, clock::now())
    }

    /// Returns the time until it leaves service for new weights, as its loader stated.
    pub fn leaves_in(&self, now: Instant) -> Option<Duration> {
        self.state().leaves_in(now)
    }

    /// Returns a snapshot, taken under one lock: load balancing reads all upstreams of a service.
    pub fn snapshot(&self, model: Option<&Model>, now: Instant) -> Snapshot {
        let state = self.state();
        Snapshot {
            draining: state.listed.draining,
            serving_version: model.and_then(|model| state.serving_version(model, now)),
            is_ejected: state.is_ejected(now),
            slots: state.listed.slots.max(1),
            requests: state.requests,
            unread: state.unread,
            max_failed: state.outcomes.max_failed(),
            leaves_in: state.leaves_in(now),
            is_cold: state.is_cold(now),
            last_chosen: state.last_chosen,
        }
    }

    /// Returns the outcomes of this gateway's recent requests.
    pub fn outcome_counts(&self, now: Instant) -> OutcomeCounts {
        self.state().outcomes.counts(now)
    }

    /// Records how long it stays cold, as stated in a response.
    pub fn observe_cold(&self, cold_for: Duration) {
        let mut state = self.state();
        state.cold_until = (!cold_for.is_zero()).then(|| clock::now() + cold_for);
    }

    /// Records that it may have turned cold: it counts as cold until an entry of a later revision states otherwise.
    pub fn mark_possibly_cold(&self, revision: StoreRevision) {
        let mut state = self.state();
        let since = revision.max(state.listed.revision);
        state.cold_unless_after = Some(since);
    }

    /// Returns this gateway's part of its load.
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

    /// Returns whether it is ejected.
    pub fn is_ejected(&self) -> bool {
        self.state().is_ejected(clock::now())
    }

    /// Records that bytes arrived from it. If it was silent, it was only paused, and has failed no request.
    pub(crate) fn record_activity(&self, now: Instant) {
        let mut state = self.state();
        state.last_activity = now;
        state.silent_until = None;
        let silent_failures = std::mem::take(&mut state.silent_failures);
        if silent_failures > 0 {
            state.outcomes.withdraw_failures(silent_failures, now);
            state.consecutive_failures = 0;
            state.ejections = 0;
            state.ejected_until = None;
        }
    }

    /// Returns the time since bytes last arrived from it.
    pub(crate) fn since_activity(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.state().last_activity)
    }

    /// Records that it is silent on all of its requests, which counts as a failure until bytes arrive from it again. Returns
    /// whether it is avoided only from now on.
    pub(crate) fn record_silence(&self, now: Instant) -> bool {
        let mut state = self.state();
        let was_avoided = state.is_ejected(now);
        state.silent_until = Some(now + SILENCE_TIME);
        state.silent_failures += 1;
        drop(state);
        self.record_health(Health::Failed);
        !was_avoided
    }

    /// Records the result of a request. Returns whether the upstream is ejected from now on.
    pub fn record_health(&self, health: Health) -> bool {
        let now = clock::now();
        let mut state = self.state();
        match health {
            Health::Answered => {
                state.outcomes.record_answer(now);
                state.consecutive_failures = 0;
                state.ejections = 0;
                state.ejected_until = None;
                return false;
            }
            Health::Failed | Health::Refused => state.consecutive_failures += 1,
            Health::Unreachable => {
                state.consecutive_failures = EJECTION_THRESHOLD;
                // It was down for longer than an ejection, so it is restarting, which an earlier entry doesn't show.
                if state.ejections > 0 {
                    state.cold_unless_after = Some(state.listed.revision);
                }
            }
            Health::Replaced => {
                // The entry expires within this time.
                state.ejected_until = Some(clock::now() + MAX_EJECTION_TIME);
                return true;
            }
        }
        state.outcomes.record_failure(now);
        if state.consecutive_failures < EJECTION_THRESHOLD {
            return false;
        }
        let ejection_time = BASE_EJECTION_TIME * 2_u32.saturating_pow(state.ejections);
        // An upstream that rejects requests is alive, and may have free capacity at any moment.
        if health != Health::Refused {
            state.ejections += 1;
        }
        state.ejected_until = Some(clock::now() + ejection_time.min(MAX_EJECTION_TIME));
        true
    }
}

/// Notifiers that a slot informs when its request begins and ends.
#[derive(Debug, Clone)]
pub struct SlotNotifier {
    /// Notified when a slot is freed.
    pub slot_freed: Arc<Notify>,
    /// Notified when the load in flight has changed.
    pub load_changed: Arc<Notify>,
}

/// Slot at an upstream: counts a request as in flight until dropped.
#[derive(Debug)]
pub struct Slot {
    upstream: Arc<Upstream>,
    /// Version of the weights that was chosen with the upstream.
    pub version: Option<WeightsVersion>,
    unread: u64,
    notifier: SlotNotifier,
    /// Trial in progress, if the request is a suspect.
    pub(crate) trial: Option<TrialGuard>,
}

impl Slot {
    /// Acquires a slot for a request with a prompt of `unread` tokens.
    pub fn acquire(
        upstream: Arc<Upstream>,
        version: Option<WeightsVersion>,
        unread: u64,
        notifier: SlotNotifier,
    ) -> Slot {
        let mut state = upstream.state();
        state.requests += 1;
        state.unread += unread;
        state.last_chosen = Some(clock::now());
        drop(state);
        notifier.load_changed.notify_one();
        Slot {
            upstream,
            version,
            unread,
            notifier,
            trial: None,
        }
    }

    /// Returns the upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Records that the first event arrived, so the prompt has been read.
    pub fn record_first_event(&mut self) {
        if self.unread == 0 {
            return;
        }
        let mut state = self.upstream.state();
        state.unread = state.unread.saturating_sub(self.unread);
        self.unread = 0;
        self.notifier.load_changed.notify_one();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.record_first_event();
        let mut state = self.upstream.state();
        state.requests = state.requests.saturating_sub(1);
        drop(state);
        self.notifier.slot_freed.notify_one();
        self.notifier.load_changed.notify_one();
    }
}

//! What upstreams say of themselves in their answers.
//!
//! It is kept by incarnation, apart from the upstream itself, since it holds on while an entry is missing from
//! the platform's list and comes back. What follows from it is decided by [`decide::rate_limit`],
//! [`decide::draining`] and [`decide::back_off`]; other gateways are told of rate limits by [`crate::announce`].

use std::fmt::Debug;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{LifeId, Map, Set};
use beacon::RateLimitNote;
use decide::back_off;
use decide::rate_limit::RateLimit;
use log::{info, warn};
use tokio::sync::Notify;

use crate::call::{Advertised, Reply};
use crate::news::Reach;
use crate::rate_limits::{Due, RateLimits};
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "feedback";

/// Time for which is remembered what an upstream that isn't listed has said.
const UNLISTED_TIME: Duration = Duration::from_secs(600);

/// Name of a header in logs.
type HeaderName = &'static str;

/// What upstreams have said, by incarnation; those left out have said nothing.
#[derive(Debug, Default)]
pub struct Feedback {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    rate_limits: RateLimits,
    /// Upstreams that leave, and when they first said so.
    leaving: Map<LifeId, Instant>,
    /// Upstreams that want no requests of this gateway, and until when.
    back_offs: Map<LifeId, Instant>,
    /// Headers whose value was ignored, and when it first was.
    ignored: Map<(LifeId, HeaderName), Instant>,
}

impl Feedback {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what the head of an upstream's answer says to a request that was sent at a moment.
    pub fn observe(&self, upstream: &Upstream, reply: &Reply, sent: Instant, now: Instant) {
        let mut state = self.state();
        state.ignore(upstream, "rate_limit", &reply.rate_limit, now);
        state.ignore(upstream, "leaving", &reply.leaving, now);
        state.ignore(upstream, "back_off", &reply.back_off, now);
        state.observe_leaving(upstream, &reply.leaving, now);
        state.observe_back_off(upstream, &reply.back_off, now);
        let State { rate_limits, .. } = &mut *state;
        let has_news = rate_limits.observe(upstream, &reply.rate_limit, sent, now);
        drop(state);
        if has_news {
            self.changed.notify_one();
        }
    }

    /// Takes what another gateway tells of rate limits; what is news is passed on where `pass_on` says so. Returns
    /// whether a limit was lifted.
    pub fn hear(&self, notes: Vec<RateLimitNote>, pass_on: Option<Reach>, now: Instant) -> bool {
        let mut state = self.state();
        let mut is_lifted = false;
        for note in notes {
            is_lifted |= state.rate_limits.hear(note, pass_on, now);
        }
        drop(state);
        self.changed.notify_one();
        is_lifted
    }

    /// What upstreams have said, which stays as it is while this is held.
    pub fn current(&self) -> Current<'_> {
        Current(self.state())
    }

    /// Waits until there may be something to tell.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the messages to other gateways that are due.
    pub fn due(&self, now: Instant) -> Due {
        self.state().rate_limits.due(now)
    }

    /// All rate limits that hold, for a gateway that has just started.
    pub(crate) fn notes(&self, now: Instant) -> Vec<RateLimitNote> {
        self.state().rate_limits.notes(now)
    }

    /// Forgets what can't matter any more, by which upstreams are listed.
    pub fn forget(&self, listed: &Set<LifeId>, now: Instant) {
        let State {
            rate_limits,
            leaving,
            back_offs,
            ignored,
        } = &mut *self.state();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNLISTED_TIME;
        rate_limits.forget(listed, UNLISTED_TIME, now);
        leaving.retain(|life, at| listed.contains(life) || is_recent(at));
        back_offs.retain(|_, until| *until > now);
        ignored.retain(|_, at| is_recent(at));
    }
}

impl State {
    /// Logs a value that isn't one, once for a while.
    fn ignore<T: Debug>(
        &mut self,
        upstream: &Upstream,
        header: HeaderName,
        value: &Advertised<T>,
        now: Instant,
    ) {
        let Advertised::Invalid(value) = value else {
            return;
        };
        if self.ignored.insert((upstream.life, header), now).is_none() {
            warn!(target: PART, "{PART}: event=ignored upstream={} addr={} header={header} value={value}", upstream.instance, upstream.addr);
        }
    }

    fn observe_leaving(&mut self, upstream: &Upstream, leaving: &Advertised<bool>, now: Instant) {
        if *leaving != Advertised::Value(true) || self.leaving.contains_key(&upstream.life) {
            return;
        }
        self.leaving.insert(upstream.life, now);
        info!(target: PART, "{PART}: event=leaving upstream={} addr={} listed_leaving={}", upstream.instance, upstream.addr, upstream.is_leaving());
    }

    fn observe_back_off(
        &mut self,
        upstream: &Upstream,
        back_off: &Advertised<Duration>,
        now: Instant,
    ) {
        let Advertised::Value(time) = back_off else {
            return;
        };
        let known = self.back_offs.get(&upstream.life).copied();
        let until = back_off::until(known, *time, now);
        self.back_offs.insert(upstream.life, until);
        if known.is_none_or(|known| known <= now) {
            info!(target: PART, "{PART}: event=back_off upstream={} addr={} for={time:?}", upstream.instance, upstream.addr);
            metrics::counter!("driftnotch_back_offs_total").increment(1);
        }
    }
}

/// What upstreams have said.
#[derive(Debug)]
pub struct Current<'a>(MutexGuard<'a, State>);

impl Current<'_> {
    /// The rate limit of an upstream.
    pub fn rate_limit(&self, life: LifeId) -> Option<RateLimit> {
        self.0.rate_limits.of(life)
    }

    /// How many upstreams limit their rate.
    pub(crate) fn rate_limited(&self) -> usize {
        self.0.rate_limits.count()
    }

    /// Until when an upstream wants no requests of this gateway; past where it may be sent one.
    pub fn backs_off_until(&self, life: LifeId) -> Option<Instant> {
        self.0.back_offs.get(&life).copied()
    }

    /// Whether an upstream has said that it leaves.
    pub fn leaves(&self, life: LifeId) -> bool {
        self.0.leaving.contains_key(&life)
    }

    /// How many upstreams have said that they leave.
    pub(crate) fn leaving(&self) -> usize {
        self.0.leaving.len()
    }
}

//! Feedback of upstreams in the headers of their answers: rate limits, drains and back-offs.
//!
//! It is kept by incarnation and apart from [`Upstream`], since it outlasts an entry that is missing from the
//! platform's list for a while. What follows from it is decided by [`decide::rate_limit`], [`decide::draining`] and
//! [`decide::back_off`]; [`crate::rate_limit_updates`] sends rate limits to other gateways.

use std::fmt::Debug;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, Set, UpstreamIncarnation};
use beacon::RateLimitUpdate;
use decide::back_off;
use decide::rate_limit::RateLimit;
use log::{info, warn};
use tokio::sync::Notify;

use crate::announcements::Scope;
use crate::rate_limits::DueRateLimits;
use crate::rate_limits::RateLimits;
use crate::request::Advertised;
use crate::request::ResponseMetadata;
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "feedback";

/// Time for which the feedback of an upstream that isn't listed is kept.
const UNLISTED_TIME: Duration = Duration::from_secs(600);

/// Name of a header in logs.
type HeaderName = &'static str;

/// Feedback of all upstreams.
#[derive(Debug, Default)]
pub struct Feedback {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    rate_limits: RateLimits,
    /// Upstreams that are draining, and when they first said so.
    draining: Map<UpstreamIncarnation, Instant>,
    /// Ends of back-offs that upstreams asked of this gateway.
    back_offs: Map<UpstreamIncarnation, Instant>,
    /// Headers with an invalid value, and when they were last ignored.
    ignored: Map<(UpstreamIncarnation, HeaderName), Instant>,
}

impl Feedback {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the head of an upstream's answer to a request that was sent at `sent`.
    pub fn observe(
        &self,
        upstream: &Upstream,
        reply: &ResponseMetadata,
        sent: Instant,
        now: Instant,
    ) {
        let mut state = self.state();
        state.ignore(upstream, "rate_limit", &reply.rate_limit, now);
        state.ignore(upstream, "draining", &reply.draining, now);
        state.ignore(upstream, "back_off", &reply.back_off, now);
        state.observe_draining(upstream, &reply.draining, now);
        state.observe_back_off(upstream, &reply.back_off, now);
        let State { rate_limits, .. } = &mut *state;
        let is_pending = rate_limits.observe(upstream, &reply.rate_limit, sent, now);
        drop(state);
        if is_pending {
            self.changed.notify_one();
        }
    }

    /// Takes updates of another gateway, and relays those to `relay_to` that are newer than what is known. Returns
    /// whether a limit was lifted.
    pub fn receive(
        &self,
        updates: Vec<RateLimitUpdate>,
        relay_to: Option<Scope>,
        now: Instant,
    ) -> bool {
        let mut state = self.state();
        let mut is_lifted = false;
        for update in updates {
            is_lifted |= state.rate_limits.receive(update, relay_to, now);
        }
        drop(state);
        if relay_to.is_some() {
            self.changed.notify_one();
        }
        is_lifted
    }

    /// The feedback as it is now, locked while this is held.
    pub fn current(&self) -> Current<'_> {
        Current(self.state())
    }

    /// Waits until updates may be pending.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the updates to other gateways that are due.
    pub fn due(&self, now: Instant) -> DueRateLimits {
        self.state().rate_limits.due(now)
    }

    /// All rate limits that hold, for a gateway that has just started.
    pub(crate) fn updates(&self, now: Instant) -> Vec<RateLimitUpdate> {
        self.state().rate_limits.updates(now)
    }

    /// Drops the feedback of upstreams that ended, and what has expired.
    pub fn purge(&self, listed: &Set<UpstreamIncarnation>, now: Instant) {
        let State {
            rate_limits,
            draining,
            back_offs,
            ignored,
        } = &mut *self.state();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNLISTED_TIME;
        rate_limits.forget(listed, UNLISTED_TIME, now);
        draining.retain(|life, at| listed.contains(life) || is_recent(at));
        back_offs.retain(|_, until| *until > now);
        ignored.retain(|_, at| is_recent(at));
    }
}

impl State {
    /// Logs an invalid value, once per header and upstream for a while.
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
        if self
            .ignored
            .insert((upstream.incarnation, header), now)
            .is_none()
        {
            warn!(target: PART, "{PART}: event=ignored upstream={} addr={} header={header} value={value}", upstream.instance, upstream.addr);
        }
    }

    fn observe_draining(&mut self, upstream: &Upstream, header: &Advertised<bool>, now: Instant) {
        if *header != Advertised::Value(true) || self.draining.contains_key(&upstream.incarnation) {
            return;
        }
        self.draining.insert(upstream.incarnation, now);
        info!(target: PART, "{PART}: event=draining upstream={} addr={} listed={}", upstream.instance, upstream.addr, upstream.is_draining());
    }

    fn observe_back_off(
        &mut self,
        upstream: &Upstream,
        header: &Advertised<Duration>,
        now: Instant,
    ) {
        let Advertised::Value(time) = header else {
            return;
        };
        let known = self.back_offs.get(&upstream.incarnation).copied();
        let until = back_off::until(known, *time, now);
        self.back_offs.insert(upstream.incarnation, until);
        if known.is_none_or(|known| known <= now) {
            info!(target: PART, "{PART}: event=back_off upstream={} addr={} for={time:?}", upstream.instance, upstream.addr);
            metrics::counter!("driftnotch_back_offs_total").increment(1);
        }
    }
}

/// The feedback at a moment.
#[derive(Debug)]
pub struct Current<'a>(MutexGuard<'a, State>);

impl Current<'_> {
    /// The rate limit of an upstream.
    pub fn rate_limit(&self, life: UpstreamIncarnation) -> Option<RateLimit> {
        self.0.rate_limits.of(life)
    }

    /// How many upstreams limit their rate.
    pub(crate) fn rate_limited(&self) -> usize {
        self.0.rate_limits.count()
    }

    /// End of the back-off that an upstream asked of this gateway; it may be over.
    pub fn back_off_until(&self, life: UpstreamIncarnation) -> Option<Instant> {
        self.0.back_offs.get(&life).copied()
    }

    /// Whether an answer of an upstream said that it is draining.
    pub fn is_draining(&self, life: UpstreamIncarnation) -> bool {
        self.0.draining.contains_key(&life)
    }

    /// How many upstreams said that they are draining.
    pub(crate) fn draining(&self) -> usize {
        self.0.draining.len()
    }
}

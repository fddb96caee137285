//! Feedback of upstreams in the headers of their responses: rate limits, drains and back-offs.
//!
//! It is stored by incarnation and separately from [`Upstream`], since it outlives an entry that is missing from the
//! platform's list for a while. [`decide::rate_limit`], [`decide::draining`] and [`decide::back_off`] decide on its
//! effects; `crate::rate_limit_updates` sends rate limits to other gateways.

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
use crate::rate_limits::{DueRateLimits, RateLimits};
use crate::request::{Advertised, ResponseMetadata};
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "feedback";

/// Time for which the feedback of an upstream that isn't listed is retained.
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
    /// Upstreams that are draining, and when they first advertised it.
    draining: Map<UpstreamIncarnation, Instant>,
    /// Ends of back-offs that upstreams requested of this gateway.
    back_offs: Map<UpstreamIncarnation, Instant>,
    /// Headers with an invalid value, and when they were last ignored.
    ignored: Map<(UpstreamIncarnation, HeaderName), Instant>,
}

impl Feedback {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the head of an upstream's response to a request that was sent at `sent`.
    pub fn observe(
        &self,
        upstream: &Upstream,
        response: &ResponseMetadata,
        sent: Instant,
        now: Instant,
    ) {
        let mut state = self.state();
        state.log_invalid(upstream, "rate_limit", &response.rate_limit, now);
        state.log_invalid(upstream, "draining", &response.draining, now);
        state.log_invalid(upstream, "back_off", &response.back_off, now);
        state.observe_draining(upstream, &response.draining, now);
        state.observe_back_off(upstream, &response.back_off, now);
        let State { rate_limits, .. } = &mut *state;
        let is_pending = rate_limits.observe(upstream, &response.rate_limit, sent, now);
        drop(state);
        if is_pending {
            self.changed.notify_one();
        }
    }

    /// Applies updates of another gateway, and relays those that are newer than the known limits to `relay_to`.
    /// Returns whether a limit was lifted.
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

    /// Locks the feedback and returns a view of it.
    pub fn current(&self) -> FeedbackView<'_> {
        FeedbackView(self.state())
    }

    /// Waits until updates may be pending.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the updates to other gateways that are due, and schedules their repetitions.
    pub fn due(&self, now: Instant) -> DueRateLimits {
        self.state().rate_limits.due(now)
    }

    /// Returns the rate limits in force, for a gateway that has just started.
    pub(crate) fn updates(&self, now: Instant) -> Vec<RateLimitUpdate> {
        self.state().rate_limits.updates(now)
    }

    /// Drops expired feedback, and after `UNLISTED_TIME` that of upstreams that aren't listed.
    pub fn purge(&self, listed: &Set<UpstreamIncarnation>, now: Instant) {
        let State {
            rate_limits,
            draining,
            back_offs,
            ignored,
        } = &mut *self.state();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNLISTED_TIME;
        rate_limits.purge(listed, UNLISTED_TIME, now);
        draining.retain(|incarnation, at| listed.contains(incarnation) || is_recent(at));
        back_offs.retain(|_, until| *until > now);
        ignored.retain(|_, at| is_recent(at));
    }
}

impl State {
    /// Logs an invalid value, once per header and upstream until [`Feedback::purge`] forgets it.
    fn log_invalid<T: Debug>(
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

/// Locked view of the feedback.
#[derive(Debug)]
pub struct FeedbackView<'a>(MutexGuard<'a, State>);

impl FeedbackView<'_> {
    /// Returns the rate limit of an upstream.
    pub fn rate_limit(&self, incarnation: UpstreamIncarnation) -> Option<RateLimit> {
        self.0.rate_limits.get(incarnation)
    }

    /// Returns the number of upstreams that limit their rate.
    pub(crate) fn rate_limited(&self) -> usize {
        self.0.rate_limits.count()
    }

    /// Returns the end of the back-off that an upstream requested of this gateway; it may be in the past.
    pub fn back_off_until(&self, incarnation: UpstreamIncarnation) -> Option<Instant> {
        self.0.back_offs.get(&incarnation).copied()
    }

    /// Returns whether an upstream has advertised that it is draining.
    pub fn is_draining(&self, incarnation: UpstreamIncarnation) -> bool {
        self.0.draining.contains_key(&incarnation)
    }

    /// Returns the number of upstreams that have advertised that they are draining.
    pub(crate) fn draining(&self) -> usize {
        self.0.draining.len()
    }
}

//! Rate limits that upstreams advertise, and pending updates of them to other gateways.

use std::time::{Duration, Instant};

use base::{Map, Set, UpstreamIncarnation};
use beacon::RateLimitUpdate;
use decide::rate_limit::RateLimit;
use log::info;

use crate::announcements::{Announcement, Scope};
use crate::request::Advertised;
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "feedback";

/// Time after which an update is repeated although the limit is unchanged.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which a lifted limit is retained, so that an older update doesn't restore it.
const LIFTED_TIME: Duration = Duration::from_secs(60);

/// Rate limit of one upstream.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    /// Requests in 1,000 s, as in updates; `None` once the limit is lifted.
    per_1000_s: Option<u64>,
    /// When the latest response arrived that advertised or lifted it.
    at: Instant,
    /// When an update was last sent or received.
    last_update: Instant,
    /// Schedule of the update that this gateway has to send.
    pending: Option<Announcement>,
}

/// Updates that are due.
#[derive(Debug, Default)]
pub struct DueRateLimits {
    /// For gateways of the own failure domain.
    pub near: Vec<RateLimitUpdate>,
    /// For other failure domains.
    pub far: Vec<RateLimitUpdate>,
    /// When the next update is due.
    pub next: Option<Instant>,
}

/// Limits by incarnation of the upstream; an upstream without an entry has none.
#[derive(Debug, Default)]
pub(crate) struct RateLimits {
    known: Map<UpstreamIncarnation, KnownLimit>,
}

impl RateLimits {
    /// Returns the limit of an upstream.
    pub(crate) fn get(&self, incarnation: UpstreamIncarnation) -> Option<RateLimit> {
        let known = self.known.get(&incarnation)?;
        let per_1000_s = known.per_1000_s?;
        Some(RateLimit {
            rate: per_1000_s as f64 / 1000.0,
            advertised: known.at,
        })
    }

    /// Returns the number of upstreams that limit their rate.
    pub(crate) fn count(&self) -> usize {
        self.known
            .values()
            .filter(|k| k.per_1000_s.is_some())
            .count()
    }

    /// Records the header of a response to a request that was sent at `sent`. Returns whether an update is pending.
    pub(crate) fn observe(
        &mut self,
        upstream: &Upstream,
        header: &Advertised<f64>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let known = self.known.get(&upstream.incarnation).copied();
        let is_later = |k: KnownLimit| k.per_1000_s.is_some() && sent > k.at;
        let per_1000_s = match header {
            // Casts of floats saturate.
            Advertised::Value(rate) => Some((rate * 1000.0) as u64),
            // A response that was in flight when the limit was advertised doesn't lift it.
            Advertised::Absent if known.is_some_and(is_later) => None,
            Advertised::Absent | Advertised::Invalid(_) => return false,
        };
        let is_changed = known.is_none_or(|k| k.per_1000_s != per_1000_s);
        let is_due =
            known.is_none_or(|k| now.saturating_duration_since(k.last_update) >= REFRESH_INTERVAL);
        let pending = match known.and_then(|k| k.pending) {
            _ if is_changed => Some(Announcement::repeated(now, Scope::Everywhere)),
            None if is_due => Some(Announcement::once(now, Scope::Everywhere)),
            pending => pending,
        };
        let known = KnownLimit {
            per_1000_s,
            at: now,
            last_update: known.map_or(now, |k| k.last_update),
            pending,
        };
        self.known.insert(upstream.incarnation, known);
        if is_changed {
            log_change(upstream, header);
        }
        pending.is_some()
    }

    /// Applies an update of another gateway, and relays it to `relay_to` where it is newer than the known limit.
    /// Returns whether the limit was lifted.
    pub(crate) fn receive(
        &mut self,
        update: RateLimitUpdate,
        relay_to: Option<Scope>,
        now: Instant,
    ) -> bool {
        let known = self.known.get(&update.incarnation).copied();
        // The clock may not reach that far back.
        let at = now.checked_sub(update.ago).unwrap_or(now);
        if known.is_some_and(|k| k.at >= at) {
            return false;
        }
        let was_limited = known.is_some_and(|k| k.per_1000_s.is_some());
        let known = KnownLimit {
            per_1000_s: update.per_1000_s,
            at,
            last_update: now,
            pending: relay_to.map(|scope| Announcement::once(now, scope)),
        };
        self.known.insert(update.incarnation, known);
        was_limited && update.per_1000_s.is_none()
    }

    /// Returns the updates that are due, and schedules their repetitions.
    pub(crate) fn due(&mut self, now: Instant) -> DueRateLimits {
        let mut due = DueRateLimits::default();
        for (incarnation, known) in &mut self.known {
            let Some(pending) = known.pending else {
                continue;
            };
            if pending.due <= now {
                let update = known.update(*incarnation, now);
                due.near.push(update);
                if pending.scope == Scope::Everywhere {
                    due.far.push(update);
                }
                known.last_update = now;
                known.pending = pending.next(now);
            }
            let next = known.pending.map(|p| p.due);
            due.next = due.next.into_iter().chain(next).min();
        }
        due
    }

    /// Returns the limits in force, for a gateway that has just started.
    pub(crate) fn updates(&self, now: Instant) -> Vec<RateLimitUpdate> {
        let limits = self
            .known
            .iter()
            .filter(|(_, known)| known.per_1000_s.is_some());
        limits
            .map(|(incarnation, known)| known.update(*incarnation, now))
            .collect()
    }

    /// Drops limits that were lifted [`LIFTED_TIME`] ago, and after `unlisted_time` those of upstreams that aren't
    /// listed.
    pub(crate) fn purge(
        &mut self,
        listed: &Set<UpstreamIncarnation>,
        unlisted_time: Duration,
        now: Instant,
    ) {
        self.known.retain(|incarnation, known| {
            let age = now.saturating_duration_since(known.at);
            match known.per_1000_s {
                None => age < LIFTED_TIME,
                Some(_) => listed.contains(incarnation) || age < unlisted_time,
            }
        });
    }
}

impl KnownLimit {
    fn update(&self, incarnation: UpstreamIncarnation, now: Instant) -> RateLimitUpdate {
        RateLimitUpdate {
            incarnation,
            per_1000_s: self.per_1000_s,
            ago: now.saturating_duration_since(self.at),
        }
    }
}

fn log_change(upstream: &Upstream, header: &Advertised<f64>) {
    let (instance, addr) = (&upstream.instance, upstream.addr);
    match header {
        Advertised::Value(rate) => {
            info!(target: PART, "{PART}: event=rate_limited upstream={instance} addr={addr} rate={rate}");
        }
        Advertised::Absent | Advertised::Invalid(_) => {
            info!(target: PART, "{PART}: event=rate_limit_lifted upstream={instance} addr={addr}");
        }
    }
}

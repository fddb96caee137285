//! Rate limits that upstreams name, and what other gateways are still to be told of them.

use std::time::{Duration, Instant};

use base::{LifeId, Map, Set};
use beacon::RateLimitNote;
use decide::rate_limit::RateLimit;
use log::info;

use crate::call::Advertised;
use crate::news::{ROUNDS, Reach};
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "feedback";

/// Time after which other gateways are told again that a limit still holds.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which a lifted limit is remembered, so that an older message doesn't bring it back.
const LIFTED_TIME: Duration = Duration::from_secs(60);

/// What one upstream has said.
#[derive(Debug, Clone, Copy)]
struct Said {
    /// Requests in 1,000 s, as they travel; `None` where it names no limit any more.
    per_1000_s: Option<u64>,
    /// When the answer came that said so.
    at: Instant,
    /// When gateways were last told, by this one or another.
    told: Instant,
    /// What this gateway is still to tell.
    untold: Option<Untold>,
}

/// A message that is due.
#[derive(Debug, Clone, Copy)]
struct Untold {
    due: Instant,
    /// Times that it was sent.
    rounds: usize,
    reach: Reach,
}

/// Messages that are due now.
#[derive(Debug, Default)]
pub struct Due {
    /// To gateways of the failure domain.
    pub near: Vec<RateLimitNote>,
    /// To other failure domains.
    pub far: Vec<RateLimitNote>,
    /// When more are.
    pub next: Option<Instant>,
}

/// Limits by incarnation; those left out have named none.
#[derive(Debug, Default)]
pub(crate) struct RateLimits {
    said: Map<LifeId, Said>,
}

impl RateLimits {
    /// The limit of an upstream.
    pub(crate) fn of(&self, life: LifeId) -> Option<RateLimit> {
        let said = self.said.get(&life)?;
        let per_1000_s = said.per_1000_s?;
        Some(RateLimit {
            rate: per_1000_s as f64 / 1000.0,
            named: said.at,
        })
    }

    /// How many upstreams limit their rate.
    pub(crate) fn count(&self) -> usize {
        self.said
            .values()
            .filter(|s| s.per_1000_s.is_some())
            .count()
    }

    /// Takes what an answer says to a request that was sent at a moment. Returns whether there is something to tell
    /// other gateways.
    pub(crate) fn observe(
        &mut self,
        upstream: &Upstream,
        named: &Advertised<f64>,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let known = self.said.get(&upstream.life).copied();
        let is_later = |k: Said| k.per_1000_s.is_some() && sent > k.at;
        let per_1000_s = match named {
            // Casts of floats saturate.
            Advertised::Value(rate) => Some((rate * 1000.0) as u64),
            // An answer that was on its way when the limit was named doesn't lift it.
            Advertised::Absent if known.is_some_and(is_later) => None,
            Advertised::Absent | Advertised::Invalid(_) => return false,
        };
        let is_news = known.is_none_or(|k| k.per_1000_s != per_1000_s);
        let is_due =
            known.is_none_or(|k| now.saturating_duration_since(k.told) >= REFRESH_INTERVAL);
        let untold = match known.and_then(|k| k.untold) {
            _ if is_news => Some(Untold::new(now, 0, Reach::Everywhere)),
            None if is_due => Some(Untold::new(now, ROUNDS.len(), Reach::Everywhere)),
            untold => untold,
        };
        let said = Said {
            per_1000_s,
            at: now,
            told: known.map_or(now, |k| k.told),
            untold,
        };
        self.said.insert(upstream.life, said);
        if is_news {
            log_change(upstream, named);
        }
        untold.is_some()
    }

    /// Takes what another gateway tells; what is news is passed on where `pass_on` says so. Returns whether the
    /// limit was lifted.
    pub(crate) fn hear(
        &mut self,
        note: RateLimitNote,
        pass_on: Option<Reach>,
        now: Instant,
    ) -> bool {
        let known = self.said.get(&note.life).copied();
        // What is older than this clock tells was as long ago as it can tell.
        let at = now.checked_sub(note.ago).unwrap_or(now);
        if known.is_some_and(|k| k.at >= at) {
            return false;
        }
        let said = Said {
            per_1000_s: note.per_1000_s,
            at,
            told: now,
            untold: pass_on.map(|reach| Untold::new(now, ROUNDS.len(), reach)),
        };
        self.said.insert(note.life, said);
        note.per_1000_s.is_none() && known.is_some_and(|k| k.per_1000_s.is_some())
    }

    /// Takes the messages that are due.
    pub(crate) fn due(&mut self, now: Instant) -> Due {
        let mut due = Due::default();
        for (life, said) in &mut self.said {
            let Some(untold) = said.untold else {
                continue;
            };
            if untold.due <= now {
                let note = said.note(*life, now);
                due.near.push(note);
                if untold.reach == Reach::Everywhere {
                    due.far.push(note);
                }
                said.told = now;
                said.untold = untold.next(now);
            }
            let next = said.untold.map(|u| u.due);
            due.next = due.next.into_iter().chain(next).min();
        }
        due
    }

    /// All limits that hold, for a gateway that has just started.
    pub(crate) fn notes(&self, now: Instant) -> Vec<RateLimitNote> {
        let limits = self
            .said
            .iter()
            .filter(|(_, said)| said.per_1000_s.is_some());
        limits.map(|(life, said)| said.note(*life, now)).collect()
    }

    /// Forgets what can't matter any more: limits that were lifted, and after `unlisted_time` those of upstreams
    /// that aren't listed.
    pub(crate) fn forget(&mut self, listed: &Set<LifeId>, unlisted_time: Duration, now: Instant) {
        self.said.retain(|life, said| {
            let age = now.saturating_duration_since(said.at);
            match said.per_1000_s {
                None => age < LIFTED_TIME,
                Some(_) => listed.contains(life) || age < unlisted_time,
            }
        });
    }
}

impl Untold {
    fn new(due: Instant, rounds: usize, reach: Reach) -> Untold {
        Untold { due, rounds, reach }
    }

    /// The next time that the same is sent, in case that a datagram was lost.
    fn next(self, now: Instant) -> Option<Untold> {
        let pause = ROUNDS.get(self.rounds)?;
        Some(Untold::new(now + *pause, self.rounds + 1, self.reach))
    }
}

impl Said {
    fn note(&self, life: LifeId, now: Instant) -> RateLimitNote {
        RateLimitNote {
            life,
            per_1000_s: self.per_1000_s,
            ago: now.saturating_duration_since(self.at),
        }
    }
}

fn log_change(upstream: &Upstream, named: &Advertised<f64>) {
    let (instance, addr) = (&upstream.instance, upstream.addr);
    match named {
        Advertised::Value(rate) => {
            info!(target: PART, "{PART}: event=rate_limited upstream={instance} addr={addr} rate={rate}");
        }
        Advertised::Absent | Advertised::Invalid(_) => {
            info!(target: PART, "{PART}: event=rate_limit_lifted upstream={instance} addr={addr}");
        }
    }
}

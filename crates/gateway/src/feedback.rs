//! What upstreams say of themselves in their answers.
//!
//! It is kept by incarnation, apart from the upstream itself, since it holds on while an entry is missing from
//! the platform's list and comes back. What follows from it is decided by [`decide::rate_limit`]; other gateways
//! are told by [`crate::announce`].

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{LifeId, Map, Set};
use beacon::RateLimitNote;
use decide::rate_limit::RateLimit;
use log::{info, warn};
use tokio::sync::Notify;

use crate::call::{Advertised, Reply};
use crate::news::{ROUNDS, Reach};
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "feedback";

/// Time after which other gateways are told again that a limit still holds.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which a lifted limit is remembered, so that an older message doesn't bring it back.
const LIFTED_TIME: Duration = Duration::from_secs(60);

/// Time for which a limit of an upstream that isn't listed is remembered.
const UNLISTED_TIME: Duration = Duration::from_secs(600);

/// What one upstream has said.
#[derive(Debug, Clone, Copy)]
struct Said {
    /// Requests a second; `None` where it names no limit any more.
    rate: Option<f64>,
    /// When the answer came that said so.
    at: Instant,
    /// When gateways were last told, by this one or another.
    told: Instant,
    /// What this gateway is still to tell.
    untold: Option<Untold>,
    /// Whether its last header was no value.
    is_invalid: bool,
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

/// What upstreams have said, by incarnation; those left out have said nothing.
#[derive(Debug, Default)]
pub struct Feedback {
    said: Mutex<Map<LifeId, Said>>,
    changed: Notify,
}

impl Feedback {
    fn said(&self) -> MutexGuard<'_, Map<LifeId, Said>> {
        self.said.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what the head of an upstream's answer to a request says that was sent at a moment.
    pub fn observe(&self, upstream: &Upstream, reply: &Reply, sent: Instant, now: Instant) {
        let mut all = self.said();
        let known = all.get(&upstream.life).copied();
        let rate = match &reply.rate_limit {
            Advertised::Value(rate) => Some(*rate),
            Advertised::Absent => {
                // An answer that was on its way when the limit was named doesn't lift it.
                let is_later = |said: &Said| said.rate.is_some() && sent > said.at;
                if !known.as_ref().is_some_and(is_later) {
                    return;
                }
                None
            }
            Advertised::Invalid(value) => {
                let said = all.entry(upstream.life).or_insert(Said::nothing(now));
                if !std::mem::replace(&mut said.is_invalid, true) {
                    warn!(target: PART, "{PART}: event=ignored upstream={} addr={} header=rate_limit value={value}", upstream.instance, upstream.addr);
                }
                return;
            }
        };
        let is_news = known.is_none_or(|k| k.rate != rate);
        let is_due =
            known.is_none_or(|k| now.saturating_duration_since(k.told) >= REFRESH_INTERVAL);
        let untold = match known.and_then(|k| k.untold) {
            _ if is_news => Some(Untold::new(now, 0, Reach::Everywhere)),
            None if is_due => Some(Untold::new(now, ROUNDS.len(), Reach::Everywhere)),
            untold => untold,
        };
        let said = Said {
            rate,
            at: now,
            told: known.map_or(now, |k| k.told),
            untold,
            is_invalid: false,
        };
        all.insert(upstream.life, said);
        drop(all);
        if is_news {
            log_change(upstream, rate);
        }
        self.changed.notify_one();
    }

    /// Takes what another gateway tells; what is news is passed on where `pass_on` says so. Returns whether a
    /// limit was lifted.
    pub fn hear(&self, notes: Vec<RateLimitNote>, pass_on: Option<Reach>, now: Instant) -> bool {
        let mut all = self.said();
        let mut is_lifted = false;
        for note in notes {
            let known = all.get(&note.life).copied();
            // What is older than this clock tells was as long ago as it can tell.
            let at = now.checked_sub(note.ago).unwrap_or(now);
            if known.is_some_and(|k| k.at >= at) {
                continue;
            }
            let rate = note.per_1000_s.map(|n| n as f64 / 1000.0);
            is_lifted |= rate.is_none() && known.is_some_and(|k| k.rate.is_some());
            let said = Said {
                rate,
                at,
                told: now,
                untold: pass_on.map(|reach| Untold::new(now, ROUNDS.len(), reach)),
                is_invalid: false,
            };
            all.insert(note.life, said);
        }
        drop(all);
        self.changed.notify_one();
        is_lifted
    }

    /// Limits that hold, which stay as they are while this is held.
    pub fn limits(&self) -> Limits<'_> {
        Limits(self.said())
    }

    /// How many upstreams limit their rate.
    pub(crate) fn rate_limited(&self) -> usize {
        let said = self.said();
        said.values().filter(|s| s.rate.is_some()).count()
    }

    /// Waits until there may be something to tell.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the messages that are due.
    pub fn due(&self, now: Instant) -> Due {
        let mut all = self.said();
        let mut due = Due::default();
        for (life, said) in all.iter_mut() {
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

    /// All that is known, for a gateway that has just started.
    pub fn notes(&self, now: Instant) -> Vec<RateLimitNote> {
        let all = self.said();
        let limits = all.iter().filter(|(_, said)| said.rate.is_some());
        limits.map(|(life, said)| said.note(*life, now)).collect()
    }

    /// Forgets what can't matter any more, by which upstreams are listed.
    pub fn forget(&self, listed: &Set<LifeId>, now: Instant) {
        self.said().retain(|life, said| {
            let age = now.saturating_duration_since(said.at);
            match said.rate {
                None => age < LIFTED_TIME,
                Some(_) => listed.contains(life) || age < UNLISTED_TIME,
            }
        });
    }
}

/// Limits that hold.
#[derive(Debug)]
pub struct Limits<'a>(MutexGuard<'a, Map<LifeId, Said>>);

impl Limits<'_> {
    /// The limit of an upstream.
    pub fn of(&self, life: LifeId) -> Option<RateLimit> {
        let said = self.0.get(&life)?;
        let named = said.at;
        said.rate.map(|rate| RateLimit { rate, named })
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
    fn nothing(now: Instant) -> Said {
        Said {
            rate: None,
            at: now,
            told: now,
            untold: None,
            is_invalid: false,
        }
    }

    fn note(&self, life: LifeId, now: Instant) -> RateLimitNote {
        RateLimitNote {
            life,
            // Casts of floats saturate.
            per_1000_s: self.rate.map(|rate| (rate * 1000.0) as u64),
            ago: now.saturating_duration_since(self.at),
        }
    }
}

fn log_change(upstream: &Upstream, rate: Option<f64>) {
    let (instance, addr) = (&upstream.instance, upstream.addr);
    match rate {
        Some(rate) => {
            info!(target: PART, "{PART}: event=rate_limited upstream={instance} addr={addr} rate={rate}");
        }
        None => {
            info!(target: PART, "{PART}: event=rate_limit_lifted upstream={instance} addr={addr}");
        }
    }
}

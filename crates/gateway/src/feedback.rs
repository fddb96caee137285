//! What upstreams say of themselves in their answers.
//!
//! It is kept by incarnation, apart from the upstream itself, since it holds on while an entry is missing from
//! the platform's list and comes back.

use std::sync::{Mutex, MutexGuard, PoisonError};

use base::{LifeId, Map};
use log::{info, warn};

use crate::call::{Advertised, Reply};
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "feedback";

/// What one upstream has said.
#[derive(Debug, Default, Clone, PartialEq)]
struct Said {
    rate_limit: Option<f64>,
    /// Whether its last header of this kind was no value.
    is_invalid: bool,
}

/// What upstreams have said, by incarnation; those left out have said nothing.
#[derive(Debug, Default)]
pub struct Feedback {
    said: Mutex<Map<LifeId, Said>>,
}

impl Feedback {
    fn said(&self) -> MutexGuard<'_, Map<LifeId, Said>> {
        self.said.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what the head of an upstream's answer says.
    pub(crate) fn observe(&self, upstream: &Upstream, reply: &Reply) {
        let mut said = self.said();
        let before = said.get(&upstream.life).cloned().unwrap_or_default();
        let now = match &reply.rate_limit {
            Advertised::Absent => Said::default(),
            Advertised::Value(rate) => Said {
                rate_limit: Some(*rate),
                is_invalid: false,
            },
            Advertised::Invalid(_) => Said {
                is_invalid: true,
                ..before.clone()
            },
        };
        if now == before {
            return;
        }
        log_change(upstream, reply, &before, &now);
        match now == Said::default() {
            true => said.remove(&upstream.life),
            false => said.insert(upstream.life, now),
        };
    }

    /// How many upstreams limit their rate.
    pub(crate) fn rate_limited(&self) -> usize {
        let said = self.said();
        said.values().filter(|s| s.rate_limit.is_some()).count()
    }
}

fn log_change(upstream: &Upstream, reply: &Reply, before: &Said, now: &Said) {
    let (instance, addr) = (&upstream.instance, upstream.addr);
    match (&reply.rate_limit, now.rate_limit) {
        (Advertised::Invalid(value), _) => {
            warn!(target: PART, "{PART}: event=ignored upstream={instance} addr={addr} header=rate_limit value={value}");
        }
        (_, Some(rate)) => {
            info!(target: PART, "{PART}: event=rate_limited upstream={instance} addr={addr} rate={rate}");
        }
        (_, None) if before.rate_limit.is_some() => {
            info!(target: PART, "{PART}: event=rate_limit_lifted upstream={instance} addr={addr}");
        }
        (_, None) => {}
    }
}

//! Upstreams that are known, kept in step with the platform's list.
//!
//! An upstream that is missing from a list is gone, with one exception: after the store was away,
//! entries that lapsed meanwhile come back within `return_time` of its return, so until then those
//! that are missing are kept as they were.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Map};
use beacon::EngineNote;
use log::info;

use crate::upstream::{InstanceId, Listed, Upstream};

/// Log prefix of this part.
const PART: &str = "roster";

#[derive(Debug, Default)]
struct State {
    known: bool,
    upstreams: Map<InstanceId, Arc<Upstream>>,
    /// Until when missing entries are kept.
    keep_missing: Option<Instant>,
}

/// Upstreams.
#[derive(Debug)]
pub struct Roster {
    /// The own failure domain.
    pub domain: DomainName,
    return_time: Duration,
    state: Mutex<State>,
}

impl Roster {
    /// An empty roster.
    pub fn new(domain: DomainName, return_time: Duration) -> Roster {
        Roster {
            domain,
            return_time,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a list has ever come.
    pub fn is_known(&self) -> bool {
        self.state().known
    }

    /// Notes that the store is back after it was away.
    pub fn store_returned(&self) {
        self.state().keep_missing = Some(Instant::now() + self.return_time);
    }

    /// Takes a whole list; `true` where anything changed.
    pub fn list(&self, all: Vec<Listed>) -> bool {
        let mut state = self.state();
        state.known = true;
        let keeps = state
            .keep_missing
            .is_some_and(|until| until > Instant::now());
        let mut before = std::mem::take(&mut state.upstreams);
        let mut changed = false;
        for listed in all {
            let id = listed.instance.clone();
            let upstream = match before.remove(&id) {
                Some(known) => {
                    let leaving = listed.leaving;
                    let differs = known.relist(listed);
                    if differs {
                        info!(target: PART, "{PART}: event=changed upstream={id} addr={} leaving={leaving}", known.addr);
                    }
                    changed |= differs;
                    known
                }
                None => {
                    info!(target: PART, "{PART}: event=listed upstream={id} service={} addr={} domain={}", listed.service, listed.addr, listed.domain);
                    changed = true;
                    Arc::new(Upstream::new(listed))
                }
            };
            state.upstreams.insert(id, upstream);
        }
        for (id, missing) in before {
            info!(target: PART, "{PART}: event=missing upstream={id} addr={} kept={keeps}", missing.addr);
            changed = true;
            if keeps {
                state.upstreams.insert(id, missing);
            }
        }
        changed
    }

    /// Takes a loader's note; `true` where it changes what an upstream can serve.
    pub fn note(&self, note: EngineNote) -> bool {
        let state = self.state();
        let at = |u: &&Arc<Upstream>| u.addr == note.upstream;
        let Some(upstream) = state.upstreams.values().find(at).cloned() else {
            return false;
        };
        drop(state);
        upstream.note(note)
    }

    /// Upstreams of a service that take new work.
    pub fn of(&self, service: &str) -> Vec<Arc<Upstream>> {
        let state = self.state();
        let usable = |u: &&Arc<Upstream>| u.service == service && !u.is_leaving();
        state.upstreams.values().filter(usable).cloned().collect()
    }

    /// All upstreams.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        self.state().upstreams.values().cloned().collect()
    }
}

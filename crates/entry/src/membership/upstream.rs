//! An upstream VM as an entry sees it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Incarnation, Map, Model, Revision, VmId};
use table::Version;
use wire::{AgentInfo, Heartbeat, Holding};

/// An upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Who its agent is.
    pub info: AgentInfo,
    running: AtomicU32,
    condition: Mutex<Condition>,
}

/// What changes of it.
#[derive(Debug)]
struct Condition {
    holdings: Vec<Holding>,
    live_since: Map<(Model, Version), Instant>,
    leaving: bool,
    lease_until: Instant,
    reported: u32,
    revision: Revision,
    failures: u64,
    ejected_until: Option<Instant>,
}

impl Upstream {
    /// An upstream whose agent joined just now.
    pub fn new(info: AgentInfo, lease: Duration) -> Upstream {
        Upstream {
            info,
            running: AtomicU32::new(0),
            condition: Mutex::new(Condition {
                holdings: Vec::new(),
                live_since: Map::default(),
                leaving: false,
                lease_until: clock::now() + lease,
                reported: 0,
                revision: 0,
                failures: 0,
                ejected_until: None,
            }),
        }
    }

    fn condition(&self) -> MutexGuard<'_, Condition> {
        self.condition
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a heartbeat; says whether versions, or whether it is leaving, changed.
    pub fn beat(&self, beat: Heartbeat, lease: Duration) -> bool {
        let mut c = self.condition();
        let now = clock::now();
        c.lease_until = now + lease;
        c.reported = beat.running;
        c.revision = beat.revision;
        let was_leaving = c.leaving;
        c.leaving |= beat.leaving;
        let leaves = c.leaving != was_leaving;
        if beat.same_holdings {
            return leaves;
        }
        let told = |holdings: &[Holding]| -> Vec<(Model, Version, bool)> {
            let holdings = holdings.iter();
            holdings
                .map(|h| (h.model.clone(), h.version.clone(), h.live))
                .collect()
        };
        let changed = told(&c.holdings) != told(&beat.holdings);
        c.holdings = beat.holdings;
        let live: Vec<(Model, Version)> = c
            .holdings
            .iter()
            .filter(|h| h.live)
            .map(|h| (h.model.clone(), h.version.clone()))
            .collect();
        c.live_since.retain(|key, _| live.contains(key));
        for key in live {
            c.live_since.entry(key).or_insert(now);
        }
        changed || leaves
    }

    /// The last heartbeat, as a sibling is told of it.
    pub fn last_beat(&self) -> Heartbeat {
        let c = self.condition();
        Heartbeat {
            revision: c.revision,
            running: c.reported,
            leaving: c.leaving,
            holdings: c.holdings.clone(),
            entries_seen: 0,
            same_holdings: false,
        }
    }

    /// Notes that others still hear of it.
    pub fn renew(&self, lease: Duration) {
        let mut c = self.condition();
        c.lease_until = c.lease_until.max(clock::now() + lease);
    }

    /// Notes that another domain's entries tell of a version live there.
    pub fn seen_live(&self, model: &str, version: &Version, lease: Duration) {
        let mut c = self.condition();
        let now = clock::now();
        c.lease_until = now + lease;
        let key = (model.to_owned(), version.clone());
        c.live_since.entry(key).or_insert(now);
    }

    /// Whether its lease has not run out.
    pub fn leased(&self) -> bool {
        self.condition().lease_until >= clock::now()
    }

    /// Notes that it takes no new work.
    pub fn mark_leaving(&self) {
        self.condition().leaving = true;
    }

    /// Notes that a version is not live there after all.
    pub fn mark_not_live(&self, model: &str, version: &Version) {
        let key = (model.to_owned(), version.clone());
        self.condition().live_since.remove(&key);
    }

    /// Whether it is about to go.
    pub fn leaving(&self) -> bool {
        self.condition().leaving
    }

    /// Since when a version has been live there, where requests may be sent for it now.
    pub fn live_since(&self, model: &str, version: &Version) -> Option<Instant> {
        let c = self.condition();
        if c.leaving || c.lease_until < clock::now() {
            return None;
        }
        let key = (model.to_owned(), version.clone());
        c.live_since.get(&key).copied()
    }

    /// Whether it is left alone after failures.
    pub fn ejected(&self) -> bool {
        self.condition()
            .ejected_until
            .is_some_and(|until| until > clock::now())
    }

    /// Notes a failure; leaves it alone for a while after several in a row.
    pub fn failed(&self, eject_after: u64, eject_time: Duration) {
        let mut c = self.condition();
        c.failures += 1;
        if c.failures >= eject_after {
            c.ejected_until = Some(clock::now() + eject_time);
        }
    }

    /// Notes an answer, and the load the agent carried back on it.
    pub fn answered(&self, load: Option<u32>) {
        let mut c = self.condition();
        c.failures = 0;
        c.ejected_until = None;
        if let Some(load) = load {
            c.reported = load;
        }
    }

    /// Requests of this entry running there.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Load to compare upstreams by: the larger of our own count and the last report.
    pub fn load(&self) -> u32 {
        self.running().max(self.condition().reported)
    }

    /// Load as it was last reported.
    pub fn reported(&self) -> u32 {
        self.condition().reported
    }

    /// Versions it fetches, holds or has live.
    pub fn holdings(&self) -> Vec<Holding> {
        self.condition().holdings.clone()
    }

    /// Revision of the table its agent serves by, as of its last heartbeat.
    pub fn revision(&self) -> Revision {
        self.condition().revision
    }

    /// Its id.
    pub fn vm(&self) -> &VmId {
        &self.info.vm
    }

    /// Its failure domain.
    pub fn domain(&self) -> &DomainName {
        &self.info.domain
    }

    /// Where its agent takes requests.
    pub fn listen(&self) -> SocketAddr {
        self.info.listen
    }

    /// Its agent's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.info.incarnation
    }
}

/// A place among the requests running at an upstream, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    /// Upstream.
    pub upstream: Arc<Upstream>,
}

impl Slot {
    /// Takes a slot if fewer than `limit` are taken.
    pub fn take(upstream: &Arc<Upstream>, limit: u32) -> Option<Slot> {
        upstream
            .running
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                (n < limit).then_some(n + 1)
            })
            .ok()
            .map(|_| Slot {
                upstream: upstream.clone(),
            })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.upstream.running.fetch_sub(1, Ordering::Relaxed);
    }
}

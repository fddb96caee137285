//! Paces of engines as their loaders published them, and the highest one lately of each service.
//!
//! A pace that isn't repeated expires, so an engine whose loader has died counts as normal. Entries exist only for
//! addresses that were listed when their loader published a pace; each update drops those older than [`WORST_TIME`].

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Incarnation, Map};
use beacon::{NORMAL_PACE, PaceUpdate};
use catalog::ServiceName;

/// Time after which a pace expires; loaders repeat it every second while it isn't normal.
const PACE_TIME: Duration = Duration::from_secs(3);

/// Time for which the highest pace of an engine counts as one that any engine of its service may have next. With slow
/// periods of 600 ms, 15% of the time, a service of two engines has none in 10 s with a probability of 0.004.
const WORST_TIME: Duration = Duration::from_secs(10);

/// Pace of one engine.
#[derive(Debug, Clone, Copy)]
struct KnownPace {
    incarnation: Incarnation,
    sequence: u64,
    pace: u32,
    received: Instant,
    /// Highest pace within [`WORST_TIME`], and when it was last received.
    worst: (u32, Instant),
}

impl KnownPace {
    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) < PACE_TIME
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.worst.1) < WORST_TIME
    }

    /// Returns whether an update is newer. Within an incarnation the sequence decides also after the pace has expired,
    /// since a gateway that was frozen relays what it received before. The clock by which loaders choose their
    /// incarnation may have been set back, so an expired pace is replaced by that of any other incarnation.
    fn is_replaced_by(&self, update: &PaceUpdate, now: Instant) -> bool {
        match update.incarnation == self.incarnation {
            true => update.sequence > self.sequence,
            false => update.incarnation > self.incarnation || !self.is_current(now),
        }
    }
}

/// Paces of the engines of one service at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServicePaces {
    paces: Map<SocketAddr, f64>,
    /// Highest pace lately of any engine of the service; at least 1.
    pub worst: f64,
}

impl ServicePaces {
    /// Returns the pace of an engine; 1 if none is known.
    pub fn get(&self, upstream: &SocketAddr) -> f64 {
        self.paces.get(upstream).copied().unwrap_or(1.0)
    }

    /// Returns the number of engines that are slower than normal.
    pub fn slow(&self) -> usize {
        self.paces.values().filter(|pace| **pace > 1.0).count()
    }
}

/// Table of paces.
#[derive(Debug, Default)]
pub struct PaceTable {
    known: Mutex<Map<ServiceName, Map<SocketAddr, KnownPace>>>,
}

impl PaceTable {
    fn known(&self) -> MutexGuard<'_, Map<ServiceName, Map<SocketAddr, KnownPace>>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an update, unless a newer one is known. Returns whether the engine has become faster, which may free
    /// capacity.
    pub fn apply(&self, service: &ServiceName, update: PaceUpdate, now: Instant) -> bool {
        let mut all = self.known();
        all.retain(|_, known| {
            known.retain(|_, pace| pace.is_current(now) || pace.is_recent(now));
            !known.is_empty()
        });
        let known = all.entry(service.clone()).or_default();
        let before = known.get(&update.upstream).copied();
        let current = before.filter(|known| known.is_current(now));
        if before.is_some_and(|known| !known.is_replaced_by(&update, now)) {
            return false;
        }
        let worst = before
            .filter(|known| known.is_recent(now) && known.worst.0 > update.pace)
            .map_or((update.pace, now), |known| known.worst);
        let pace = KnownPace {
            incarnation: update.incarnation,
            sequence: update.sequence,
            pace: update.pace,
            received: now,
            worst,
        };
        known.insert(update.upstream, pace);
        current.is_some_and(|known| update.pace < known.pace)
    }

    /// Returns the paces of a service; `None` if no engine of it had another than the normal pace lately.
    pub fn current(&self, service: &str, now: Instant) -> Option<ServicePaces> {
        let all = self.known();
        let known = all.get(service)?;
        let recent = known.values().filter(|pace| pace.is_recent(now));
        let worst = recent.map(|pace| pace.worst.0).max().unwrap_or(NORMAL_PACE);
        let current = known.iter().filter(|(_, pace)| pace.is_current(now));
        let paces: Map<SocketAddr, f64> = current
            .filter(|(_, known)| known.pace != NORMAL_PACE)
            .map(|(upstream, known)| (*upstream, ratio(known.pace)))
            .collect();
        let is_uneven = worst > NORMAL_PACE || !paces.is_empty();
        is_uneven.then(|| ServicePaces {
            paces,
            worst: ratio(worst).max(1.0),
        })
    }

    /// Returns the number of engines that are slower than normal.
    pub(crate) fn slow_engines(&self, now: Instant) -> usize {
        let services: Vec<ServiceName> = self.known().keys().cloned().collect();
        let paces = services.iter().filter_map(|s| self.current(s, now));
        paces.map(|paces| paces.slow()).sum()
    }
}

fn ratio(pace: u32) -> f64 {
    f64::from(pace) / f64::from(NORMAL_PACE)
}

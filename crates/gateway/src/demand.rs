//! Demand for services: that of this gateway, and what other gateways and failure domains report.
//!
//! Each gateway observes its arrivals over a second and sends the demand to the leaders of its failure domain. The
//! first gateway adds it up and sends the sum to its own failure domain and to one gateway of each other, which relays
//! it (see [`crate::demand_updates`]). All gateways plan by the same sums, also by that of their own failure domain.
//!
//! State is bounded by the number of gateways of the failure domain, and by the services that fit a datagram.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Map, VmId};
use beacon::{Demand, DemandUpdate, MAX_DATAGRAM, Msg};
use catalog::{Service, ServiceName};
use decide::load_balancing::TOKEN_TIME;

use crate::Cx;
use crate::request::RoutedRequest;

/// Time after which an update expires, as for loads.
const UPDATE_TTL: Duration = Duration::from_millis(1500);

/// Length of a bucket in which arrivals are counted.
const BUCKET: Duration = Duration::from_millis(125);

/// Number of complete buckets over which demand is observed: one second.
const BUCKETS: usize = 8;

/// Bytes of a streamed token: an event of 5 to 7 tokens has 200 to 280 bytes with its framing and packet header. An
/// estimate, not a measurement.
const TOKEN_BYTES: u64 = 40;

/// Bytes of the heads of a request and its response. An estimate, not a measurement.
const HEAD_BYTES: u64 = 1500;

/// Demand that one request adds.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Expected seconds in a slot.
    pub slot_seconds: f64,
    /// Bytes of the request and its expected response.
    pub bytes: u64,
    /// Failure domains in which it may not run.
    pub barred: Vec<DomainName>,
}

/// Arrivals in one bucket.
#[derive(Debug, Clone, Default)]
struct Bucket {
    number: u64,
    slot_seconds: f64,
    bytes: u64,
    barred: BTreeMap<DomainName, f64>,
}

/// An update, and when it arrived.
#[derive(Debug)]
struct Received {
    update: DemandUpdate,
    at: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// When the first arrival was recorded, from which buckets are numbered.
    origin: Option<Instant>,
    /// Arrivals at this gateway, by service. A bucket is reused after a second.
    arrivals: Map<ServiceName, [Bucket; BUCKETS + 1]>,
    /// Demand of other gateways of the failure domain.
    near: Map<VmId, Received>,
    /// Demand of failure domains, including the own one.
    domains: Map<DomainName, Received>,
}

/// Demand of this gateway, of others, and of failure domains.
#[derive(Debug, Default)]
pub struct DemandTable {
    state: Mutex<State>,
}

impl DemandTable {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the arrival of a request.
    pub fn record_arrival(&self, service: &ServiceName, arrival: Arrival, now: Instant) {
        let mut state = self.state();
        let number = state.bucket_number(now);
        if !state.arrivals.contains_key(service) {
            state.arrivals.insert(service.clone(), Default::default());
        }
        let buckets = state.arrivals.get_mut(service);
        let index = usize::try_from(number).unwrap_or_default() % (BUCKETS + 1);
        let Some(bucket) = buckets.and_then(|buckets| buckets.get_mut(index)) else {
            return;
        };
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket.slot_seconds += arrival.slot_seconds;
        bucket.bytes += arrival.bytes;
        for domain in arrival.barred {
            *bucket.barred.entry(domain).or_default() += arrival.slot_seconds;
        }
    }

    /// Returns the demand of this gateway in the last second, sorted by service. Services without any are omitted and
    /// forgotten.
    pub fn own_demand(&self, now: Instant) -> Vec<Demand> {
        let mut state = self.state();
        let current = state.bucket_number(now);
        let is_recent = |b: &&Bucket| b.number < current && b.number + BUCKETS as u64 >= current;
        let is_in_use = |b: &Bucket| b.number + BUCKETS as u64 >= current && b.slot_seconds > 0.0;
        state.arrivals.retain(|_, all| all.iter().any(is_in_use));
        let demands = state.arrivals.iter().map(|(service, buckets)| {
            let mut sum = Bucket::default();
            for bucket in buckets.iter().filter(is_recent) {
                sum.slot_seconds += bucket.slot_seconds;
                sum.bytes += bucket.bytes;
                for (domain, barred) in &bucket.barred {
                    *sum.barred.entry(domain.clone()).or_default() += barred;
                }
            }
            sum.into_demand(service)
        });
        let mut demands: Vec<Demand> = demands.filter(|d| d.millislots > 0).collect();
        demands.sort_by(|a, b| a.service.cmp(&b.service));
        demands
    }

    /// Applies an update of a gateway of the own failure domain, unless a newer one is known.
    pub fn apply_update(&self, update: DemandUpdate, now: Instant) {
        let mut state = self.state();
        state.sweep(now);
        let key = update.from.clone();
        replace_older(&mut state.near, key, update, now);
    }

    /// Applies the sum of a failure domain, unless a newer one of the same gateway is known. The sum of another gateway
    /// replaces it.
    pub fn apply_domain_update(&self, update: DemandUpdate, now: Instant) {
        let mut state = self.state();
        state.sweep(now);
        let key = update.domain.clone();
        replace_older(&mut state.domains, key, update, now);
    }

    /// Returns the sum of the own failure domain, including the `own` demand of this gateway, sorted by service.
    pub fn domain_sum(&self, own: &[Demand], now: Instant) -> Vec<Demand> {
        let state = self.state();
        let near = state.near.values().filter(|r| !r.is_expired(now));
        let all = near.flat_map(|r| &r.update.demands).chain(own);
        let mut sums: BTreeMap<&ServiceName, Demand> = BTreeMap::new();
        for demand in all {
            match sums.get_mut(&demand.service) {
                Some(sum) => add(sum, demand),
                None => drop(sums.insert(&demand.service, demand.clone())),
            }
        }
        sums.into_values().collect()
    }

    /// Returns the demand for a service of each failure domain whose sum is known. It is zero where a sum omits the
    /// service.
    pub fn by_domain(&self, service: &str, now: Instant) -> Vec<(DomainName, Demand)> {
        let state = self.state();
        let known = state.domains.values().filter(|r| !r.is_expired(now));
        let demand = |r: &Received| {
            let listed = r.update.demands.iter().find(|d| d.service == service);
            let demand = listed.cloned().unwrap_or_else(|| Demand {
                service: service.to_owned(),
                millislots: 0,
                bytes: 0,
                barred: Vec::new(),
            });
            (r.update.domain.clone(), demand)
        };
        known.map(demand).collect()
    }
}

impl State {
    /// Returns the number of a bucket; the first is 1, since buckets that were never used have 0.
    fn bucket_number(&mut self, now: Instant) -> u64 {
        let origin = *self.origin.get_or_insert(now);
        let elapsed = now.saturating_duration_since(origin).as_millis() / BUCKET.as_millis();
        u64::try_from(elapsed).unwrap_or(u64::MAX - 1) + 1
    }

    fn sweep(&mut self, now: Instant) {
        self.near.retain(|_, r| !r.is_expired(now));
        self.domains.retain(|_, r| !r.is_expired(now));
    }
}

impl Received {
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= UPDATE_TTL
    }

    /// Returns whether an update replaces this one: it is a later one of the same sender, or of another sender.
    fn is_superseded_by(&self, update: &DemandUpdate) -> bool {
        let version = |u: &DemandUpdate| (u.incarnation, u.sequence);
        update.from != self.update.from || version(update) > version(&self.update)
    }
}

impl Bucket {
    /// Returns the arrivals of a second as demand.
    fn into_demand(self, service: &ServiceName) -> Demand {
        let barred = self.barred.into_iter();
        Demand {
            service: service.clone(),
            millislots: millislots(self.slot_seconds),
            bytes: u32::try_from(self.bytes).unwrap_or(u32::MAX),
            barred: barred.map(|(d, part)| (d, millislots(part))).collect(),
        }
    }
}

fn millislots(slots: f64) -> u32 {
    // Casts of floats saturate.
    (slots * 1000.0).round() as u32
}

/// Stores an update, unless one is known that it doesn't supersede.
fn replace_older<K: Eq + std::hash::Hash>(
    known: &mut Map<K, Received>,
    key: K,
    update: DemandUpdate,
    now: Instant,
) {
    if known.get(&key).is_none_or(|r| r.is_superseded_by(&update)) {
        known.insert(key, Received { update, at: now });
    }
}

fn add(sum: &mut Demand, demand: &Demand) {
    sum.millislots = sum.millislots.saturating_add(demand.millislots);
    sum.bytes = sum.bytes.saturating_add(demand.bytes);
    for (domain, part) in &demand.barred {
        match sum.barred.iter_mut().find(|(d, _)| d == domain) {
            Some((_, barred)) => *barred = barred.saturating_add(*part),
            None => sum.barred.push((domain.clone(), *part)),
        }
    }
}

/// Drops the smallest demands until the update fits a datagram.
pub fn fit(mut update: DemandUpdate) -> DemandUpdate {
    let fits = |update: &DemandUpdate| {
        let buf = beacon::encode(&Msg::DomainDemand(update.clone()));
        buf.is_ok_and(|buf| buf.len() <= MAX_DATAGRAM)
    };
    while !update.demands.is_empty() && !fits(&update) {
        let smallest = update.demands.iter().map(|d| d.millislots).min();
        let i = update
            .demands
            .iter()
            .position(|d| Some(d.millislots) == smallest);
        update.demands.remove(i.unwrap_or_default());
    }
    update
}

/// Records the demand of a request for an engine. Plain services have no plan.
pub(crate) fn record_arrival(cx: &Cx, req: &RoutedRequest, service: &Service) {
    let Some(engine) = service.engine.as_ref().filter(|_| cx.cfg.domain_shares) else {
        return;
    };
    let metadata = &req.metadata;
    let tokens = metadata.expected_tokens.unwrap_or(metadata.max_tokens);
    let prompt_time = engine.prompt_time(metadata.prompt_tokens);
    let is_barred = |domain: &&DomainName| {
        **domain != cx.cfg.node.domain && !req.can_run_in(&cx.cfg.domains, domain)
    };
    let arrival = Arrival {
        slot_seconds: prompt_time.as_secs_f64() + TOKEN_TIME.as_secs_f64() * tokens as f64,
        bytes: HEAD_BYTES + req.body.len() as u64 + TOKEN_BYTES.saturating_mul(tokens),
        barred: cx.cfg.domains.names().filter(is_barred).cloned().collect(),
    };
    cx.demand.record_arrival(&req.service, arrival, req.arrived);
}

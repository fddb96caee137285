//! Planned shares of the own failure domain's demand for others, by [`decide::domain_shares`].
//!
//! Each gateway updates its plans from the sums of all failure domains that it knows, including its own, and the
//! capacity of listed upstreams. A failure domain whose sum has expired is left out, so a partitioned one neither
//! sends nor receives. A gateway that has just started plans nothing until it knows the sums.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{DomainName, Map, Model, Set};
use beacon::Demand;
use catalog::{Service, ServiceName};
use decide::domain_shares::{DomainState, LinkBound, Plan, UPDATE_INTERVAL, target};
use decide::draining::{DrainState, accepts_requests};
use log::info;

use crate::Cx;
use crate::request::RoutedRequest;
use crate::upstream::Upstream;

/// Log prefix of this part.
const PART: &str = "shares";

/// Smallest change of a share since the last log line that is logged.
const LOGGED_CHANGE: f64 = 0.1;

/// Minimum time between two log lines, and between two updates of metrics.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Shares of the own failure domain's demand, by receiving domain.
pub type OutgoingShares = Vec<(DomainName, f64)>;

/// Plans in force, by service. Services without a plan are omitted.
#[derive(Debug, Default)]
pub struct DomainPlans {
    outgoing: Mutex<Map<ServiceName, Arc<OutgoingShares>>>,
}

impl DomainPlans {
    fn lock(&self) -> MutexGuard<'_, Map<ServiceName, Arc<OutgoingShares>>> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the shares of a service.
    pub fn replace(&self, service: &ServiceName, shares: OutgoingShares) {
        let mut outgoing = self.lock();
        match shares.is_empty() {
            true => drop(outgoing.remove(service)),
            false => drop(outgoing.insert(service.clone(), Arc::new(shares))),
        }
    }

    /// Returns the shares of a service.
    pub fn outgoing(&self, service: &ServiceName) -> OutgoingShares {
        let outgoing = self.lock();
        outgoing
            .get(service)
            .map(|shares| shares.to_vec())
            .unwrap_or_default()
    }

    /// Returns the failure domain that a request is sent to by plan; `None` for the own one. The draw depends on the
    /// request alone, so a queued request keeps its target. A request that has been tried there returns to its own
    /// failure domain.
    pub(crate) fn target(
        &self,
        cx: &Cx,
        req: &RoutedRequest,
        tried: &[Arc<Upstream>],
    ) -> Option<DomainName> {
        let shares = self.lock().get(&req.service).cloned()?;
        let id = (&req.metadata.attempt_id, req.arrived);
        let draw = cx.draw(id);
        let is_allowed = |domain: &str| req.can_run_in(&cx.cfg.domains, domain);
        let target = target(&shares, draw, is_allowed)?;
        let is_tried = tried.iter().any(|upstream| upstream.domain == *target);
        (!is_tried).then(|| target.clone())
    }
}

/// Plan of a service and what was last reported of it.
#[derive(Debug, Default)]
struct Planned {
    plan: Plan,
    logged: Plan,
    logged_at: Option<Instant>,
    measured_at: Option<Instant>,
    /// Pairs of domains whose share was published as a metric.
    published: Set<(DomainName, DomainName)>,
}

/// Updates the plans periodically.
pub(crate) async fn update_plans(cx: Arc<Cx>) {
    if !cx.cfg.domain_shares {
        return;
    }
    let mut plans: Map<ServiceName, Planned> = Map::default();
    loop {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        let Some(catalog) = cx.catalog.borrow().clone() else {
            continue;
        };
        let services: Vec<&Arc<Service>> =
            catalog.services().filter(|s| s.engine.is_some()).collect();
        plans.retain(|name, _| {
            let is_known = services.iter().any(|s| s.name == *name);
            if !is_known {
                cx.plans.replace(name, Vec::new());
            }
            is_known
        });
        for service in services {
            let planned = plans.entry(service.name.clone()).or_default();
            update_plan(&cx, service, planned, clock::now());
        }
    }
}

fn update_plan(cx: &Cx, service: &Service, planned: &mut Planned, now: Instant) {
    let domains = domain_states(cx, service, now);
    planned.plan.update(&domains, link_bound(cx), now);
    let own = &cx.cfg.node.domain;
    let shares = planned.plan.shares();
    let outgoing = shares.iter().filter(|s| s.from == *own);
    let outgoing = outgoing.map(|s| (s.to.clone(), s.share)).collect();
    cx.plans.replace(&service.name, outgoing);
    planned.log(&service.name, now);
    planned.set_gauges(&service.name, &domains, now);
}

impl Planned {
    /// Logs the plan if it has changed by more than [`LOGGED_CHANGE`].
    fn log(&mut self, service: &ServiceName, now: Instant) {
        let has_changed = self.plan.difference(&self.logged) > LOGGED_CHANGE;
        if !has_changed || !is_due(self.logged_at, now) {
            return;
        }
        let share = |s: decide::domain_shares::Share| format!("{}>{}:{:.2}", s.from, s.to, s.share);
        let shares: Vec<String> = self.plan.shares().into_iter().map(share).collect();
        info!(target: PART, "{PART}: event=planned service={service} shares=\"{}\"", shares.join(" "));
        self.logged = self.plan.clone();
        self.logged_at = Some(now);
    }

    fn set_gauges(&mut self, service: &ServiceName, domains: &[DomainState], now: Instant) {
        if !is_due(self.measured_at, now) {
            return;
        }
        self.measured_at = Some(now);
        for domain in domains {
            metrics::gauge!("driftnotch_domain_demand_slots", "service" => service.clone(), "domain" => domain.name.clone())
                .set(domain.demand);
            metrics::gauge!("driftnotch_domain_capacity_slots", "service" => service.clone(), "domain" => domain.name.clone())
                .set(domain.capacity);
        }
        let shares = self.plan.shares();
        self.published
            .extend(shares.into_iter().map(|s| (s.from, s.to)));
        for (from, to) in &self.published {
            metrics::gauge!("driftnotch_domain_share", "service" => service.clone(), "from" => from.clone(), "to" => to.clone())
                .set(self.plan.share(from, to));
        }
    }
}

fn is_due(last: Option<Instant>, now: Instant) -> bool {
    last.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL)
}

/// Returns the bound on what leaves a failure domain, by the settings.
fn link_bound(cx: &Cx) -> LinkBound {
    match cx.cfg.region_link_mbps {
        mbps if mbps > 0.0 => LinkBound::Bytes(mbps * 1e6 / 8.0 * cx.cfg.link_share),
        _ => LinkBound::Unknown,
    }
}

/// Returns demand and capacity of each failure domain whose sum is known.
fn domain_states(cx: &Cx, service: &Service, now: Instant) -> Vec<DomainState> {
    let capacity = capacity(cx, service, now);
    let state = |(name, demand): (DomainName, Demand)| DomainState {
        region: cx.cfg.domains.region(&name).cloned(),
        demand: slots(demand.millislots),
        barred: demand
            .barred
            .into_iter()
            .map(|(d, part)| (d, slots(part)))
            .collect(),
        bytes: f64::from(demand.bytes),
        capacity: f64::from(capacity.get(&name).copied().unwrap_or_default()),
        name,
    };
    let known = cx.demand.by_domain(&service.name, now);
    known.into_iter().map(state).collect()
}

fn slots(millislots: u32) -> f64 {
    f64::from(millislots) / 1000.0
}

/// Returns the slots of each failure domain whose upstreams accept requests and hold a version that may begin
/// requests. Drained domains and cold upstreams have none. Ejections are left out: they differ between gateways.
fn capacity(cx: &Cx, service: &Service, now: Instant) -> Map<DomainName, u32> {
    let drained = cx.drains.current();
    let feedback = cx.feedback.current();
    let models = service.engine.as_ref().map_or(&[][..], |e| &e.models);
    let models: Vec<Option<&Model>> = match models.is_empty() {
        true => vec![None],
        false => models.iter().map(Some).collect(),
    };
    let mut capacity: Map<DomainName, u32> = Map::default();
    let entries = cx.upstreams.entries(&service.name);
    for entry in entries.iter().filter(|e| e.is_current(now)) {
        let upstream = &entry.upstream;
        let usable = models.iter().find_map(|model| {
            let snapshot = upstream.snapshot(*model, now);
            let state = DrainState {
                listed: snapshot.draining,
                advertised: feedback.is_draining(upstream.incarnation),
            };
            let is_cold = snapshot.is_cold && service.cold_rate.is_some();
            let oldest_allowed = model.map(|model| cx.releases.oldest_allowed(model, now));
            let has_version = oldest_allowed
                .is_none_or(|oldest| snapshot.serving_version.is_some_and(|v| v >= oldest));
            let is_usable = accepts_requests(state) && !is_cold && has_version;
            is_usable.then_some(snapshot.slots)
        });
        if let Some(slots) = usable.filter(|_| !drained.contains_key(&upstream.domain)) {
            *capacity.entry(upstream.domain.clone()).or_default() += slots;
        }
    }
    capacity
}

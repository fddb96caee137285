//! Free capacity of the services whose requests are admitted by priority, as last observed by this gateway.
//!
//! One entry for each such service of the configuration, with the usage of each workspace by priority.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Map, Workspace};
use catalog::{ServiceName, Urgency};
use decide::fairness::Shares;
use decide::priority::{Pool, Rank, Shortage};
use log::info;

/// Log prefix of this part.
const PART: &str = "admission";

/// State of a service.
#[derive(Debug, Default)]
struct Observed {
    pool: Pool,
    ranks: Rank,
    shortage: Shortage,
    /// Usage of workspaces, by urgency.
    shares: Map<Urgency, Shares>,
    /// Most urgent rank that is refused, as last logged.
    logged: Option<Rank>,
}

/// Pools by service.
#[derive(Debug, Default)]
pub struct Pools {
    services: Mutex<Map<ServiceName, Observed>>,
}

impl Pools {
    fn services(&self) -> MutexGuard<'_, Map<ServiceName, Observed>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a function with the state of a service.
    fn with<T>(&self, service: &ServiceName, f: impl FnOnce(&mut Observed) -> T) -> T {
        let mut services = self.services();
        if !services.contains_key(service) {
            services.insert(service.clone(), Observed::default());
        }
        f(services.get_mut(service).expect("it was inserted"))
    }

    /// Records a workspace's request of a service and priority. Returns whether the workspace is over its share.
    pub fn arrive(
        &self,
        (service, urgency): (&ServiceName, Urgency),
        workspace: &Workspace,
        cost: f64,
        now: Instant,
    ) -> bool {
        self.with(service, |observed| {
            let shares = observed.shares.entry(urgency).or_default();
            shares.arrive(workspace, cost, now)
        })
    }

    /// Records that a workspace's request was admitted.
    pub fn admit(
        &self,
        (service, urgency): (&ServiceName, Urgency),
        workspace: &Workspace,
        cost: f64,
        now: Instant,
    ) {
        self.with(service, |observed| {
            let shares = observed.shares.entry(urgency).or_default();
            shares.admit(workspace, cost, now);
        });
    }

    /// Records the state of a pool. Returns whether it has been below the reserve of a rank for at least `time`.
    pub fn observe(
        &self,
        service: &ServiceName,
        pool: &Pool,
        (rank, ranks): (Rank, Rank),
        time: Duration,
        now: Instant,
    ) -> bool {
        self.with(service, |observed| {
            (observed.pool, observed.ranks) = (*pool, ranks);
            observed.shortage.observe(pool, ranks, now);
            observed.shortage.lasts(rank, time, now)
        })
    }

    /// Updates the gauges, and logs the most urgent rank that is refused if it has changed. Called once a second.
    pub(crate) fn report(&self) {
        for (service, observed) in self.services().iter_mut() {
            let (pool, ranks) = (&observed.pool, observed.ranks);
            let refused = pool.first_refused(ranks);
            let from = f64::from(refused.unwrap_or(ranks));
            metrics::gauge!("driftnotch_pool_free_fraction", "service" => service.clone())
                .set(pool.free_fraction());
            metrics::gauge!("driftnotch_refused_from_rank", "service" => service.clone()).set(from);
            if refused != observed.logged {
                observed.logged = refused;
                info!(
                    target: PART,
                    "{PART}: event=refused_from_rank service={service} rank={from} ranks={ranks} free={:.1} slots={}",
                    pool.free, pool.slots,
                );
            }
        }
    }
}

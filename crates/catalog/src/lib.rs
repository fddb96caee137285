//! Configuration by operators: routes, services, workspaces and request limits.
//!
//! A [`Catalog`] is one immutable, shared revision of the configuration. A process only ever replaces it by a
//! newer one, as a whole, so a request sees a single revision throughout.

mod engine;
mod priorities;
mod route;

use std::sync::Arc;
use std::time::Duration;

use base::{Map, Model, Place, Revision, Workspace};

use serde::{Deserialize, Serialize};

pub use engine::{Engine, Iteration, Origin};
pub use priorities::{Priorities, Urgency, urgency};
pub use route::{Route, RouteKind, Share};

/// Name of a service.
pub type ServiceName = String;

/// Secret by which callers authenticate as members of a workspace.
pub type ApiKey = String;

/// Start time of an upstream as Unix time in milliseconds; distinguishes incarnations under the same id.
pub type StartTime = u64;

/// Version of a model's weights; increases with each release.
pub type WeightsVersion = u64;

/// Version that engines hold from the start if none was released.
pub const FIRST_VERSION: WeightsVersion = 1;

/// Newest released version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Model.
    pub model: Model,
    /// Version.
    pub version: WeightsVersion,
}

/// Newest release of each released model.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseList {
    /// Revision; increases with each release.
    pub revision: Revision,
    /// Releases, one per model.
    pub releases: Vec<Release>,
}

impl ReleaseList {
    /// Merges another list and returns whether the version of any model increased. The higher version of each model
    /// wins regardless of revisions, since a write whose response was lost may take effect again after a newer one.
    pub fn merge(&mut self, other: &ReleaseList) -> bool {
        self.revision = self.revision.max(other.revision);
        let mut raised = false;
        for release in &other.releases {
            raised |= self.raise(release);
        }
        raised
    }

    fn raise(&mut self, release: &Release) -> bool {
        match self.releases.iter_mut().find(|r| r.model == release.model) {
            Some(known) if known.version >= release.version => return false,
            Some(known) => known.version = release.version,
            None => self.releases.push(release.clone()),
        }
        true
    }

    /// Returns the version of a model; `None` if none was released.
    pub fn version(&self, model: &str) -> Option<WeightsVersion> {
        let of_model = self.releases.iter().find(|r| r.model == model);
        of_model.map(|r| r.version)
    }

    /// Returns the releases with higher versions than in another list.
    pub fn ahead_of<'a>(&'a self, other: &'a [Release]) -> impl Iterator<Item = &'a Release> {
        let behind = |r: &&Release| {
            let known = other.iter().find(|o| o.model == r.model);
            known.is_none_or(|o| o.version < r.version)
        };
        self.releases.iter().filter(behind)
    }

    /// Returns whether any model has a higher version than in another list.
    pub fn is_ahead_of(&self, other: &[Release]) -> bool {
        self.ahead_of(other).next().is_some()
    }
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout of a request head from its first byte.
    pub head_time: Duration,
    /// Idle timeout of a connection.
    pub idle_time: Duration,
}

/// A service that routes refer to.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Models that its upstreams run; `None` for a service without models.
    pub engine: Option<Engine>,
    /// Origin of weights, if the service is one.
    pub origin: Option<Origin>,
    /// Requests per second that a cold upstream can handle; `None` if its upstreams are never cold.
    pub cold_rate: Option<f64>,
    /// Priorities of its requests; set by [`Catalog::new`].
    pub priorities: Priorities,
}

/// Rules for requests of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspacePolicy {
    /// Name of the workspace, which is sent to upstreams.
    pub workspace: Workspace,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Places where requests may run; empty for anywhere.
    pub allowed_places: Vec<Place>,
}

/// Access control for callers.
#[derive(Debug, Clone)]
pub enum Access {
    /// No workspaces are configured and no key is needed.
    Open,
    /// Callers need one of these keys, except on public routes.
    Keys(Map<ApiKey, Arc<WorkspacePolicy>>),
}

/// One revision of the configuration.
#[derive(Debug)]
pub struct Catalog {
    /// Revision; larger ones are newer.
    pub revision: Revision,
    /// Request limits.
    pub limits: RequestLimits,
    /// Access control.
    pub access: Access,
    by_host: Map<String, Vec<Arc<Route>>>,
    services: Map<ServiceName, Arc<Service>>,
    gap_objectives: Map<ServiceName, Duration>,
}

impl Catalog {
    /// Creates a catalog.
    pub fn new(
        revision: Revision,
        routes: Vec<Route>,
        services: Vec<Service>,
        access: Access,
        limits: RequestLimits,
    ) -> Catalog {
        let gap_objectives = gap_objectives(&routes);
        let priorities = |service: &Service| Priorities::of(&service.name, &routes, &access);
        let services = services
            .into_iter()
            .map(|s| Service {
                priorities: priorities(&s),
                ..s
            })
            .map(|s| (s.name.clone(), Arc::new(s)))
            .collect();
        let mut by_host: Map<String, Vec<Arc<Route>>> = Map::default();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Catalog {
            revision,
            limits,
            access,
            by_host,
            services,
            gap_objectives,
        }
    }

    /// Returns the smallest objective for the pause between two events of the streams that a service runs.
    pub fn gap_objective(&self, service: &str) -> Option<Duration> {
        self.gap_objectives.get(service).copied()
    }

    /// Returns the route of a host with the longest prefix of a path, if any.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the engine of a service.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.service(service).and_then(|s| s.engine.as_ref())
    }

    /// Returns the origin of weights.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.values().find_map(|s| s.origin.as_ref())
    }

    /// Returns the models that the upstreams of a service run.
    pub fn models(&self, service: &str) -> &[Model] {
        self.engine(service).map_or(&[], |e| &e.models)
    }
}

/// Returns the smallest gap objective of the stream routes of each service.
fn gap_objectives(routes: &[Route]) -> Map<ServiceName, Duration> {
    let mut smallest: Map<ServiceName, Duration> = Map::default();
    for route in routes.iter().filter(|r| r.kind.is_stream()) {
        let Some(gap) = route.gap_objective else {
            continue;
        };
        for share in &route.shares {
            let known = smallest.entry(share.service.clone()).or_insert(gap);
            *known = gap.min(*known);
        }
    }
    smallest
}

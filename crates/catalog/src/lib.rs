//! What operators have configured: routes, services, workspaces and request limits.
//!
//! A [`Catalog`] is one revision of that, immutable and shared. A process replaces it as a whole by
//! a newer one and never goes back, so a request sees one revision from its head to its answer.

mod engine;
mod route;

use std::sync::Arc;
use std::time::Duration;

use base::{Map, Model, Place, Revision, Workspace};

use serde::{Deserialize, Serialize};

pub use engine::{Engine, Origin};
pub use route::{Route, RouteKind, Share};

/// Name of a service that routes lead to.
pub type ServiceName = String;

/// Secret that callers send to show which workspace they belong to.
pub type ApiKey = String;

/// Start of an upstream's life, as Unix time in milliseconds; tells two lives under one id apart.
pub type StartTime = u64;

/// Version of a model's weights; grows with each release.
pub type WeightsVersion = u64;

/// Version that engines hold from their start where none was released.
pub const FIRST_VERSION: WeightsVersion = 1;

/// Newest version of a model that was released.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Model.
    pub model: Model,
    /// Version.
    pub version: WeightsVersion,
}

/// Newest releases of all models that have one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseList {
    /// Grows with each release.
    pub revision: Revision,
    /// Releases.
    pub releases: Vec<Release>,
}

impl ReleaseList {
    /// Takes another list: of each model the higher version stays, whatever the revisions, since a write whose
    /// answer was lost may take effect again after a newer one. `true` where any version is higher now.
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

    /// Version of a model; `None` where none was released.
    pub fn version(&self, model: &str) -> Option<WeightsVersion> {
        let of_model = self.releases.iter().find(|r| r.model == model);
        of_model.map(|r| r.version)
    }

    /// Versions that are higher than those of another list.
    pub fn ahead_of<'a>(&'a self, other: &'a [Release]) -> impl Iterator<Item = &'a Release> {
        let behind = |r: &&Release| {
            let known = other.iter().find(|o| o.model == r.model);
            known.is_none_or(|o| o.version < r.version)
        };
        self.releases.iter().filter(behind)
    }

    /// Whether it has a higher version of any model than another list.
    pub fn is_ahead_of(&self, other: &[Release]) -> bool {
        self.ahead_of(other).next().is_some()
    }
}

/// Bounds of what a caller may send, and how slowly.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest rest of an open connection.
    pub idle_time: Duration,
}

/// A service that routes lead to.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// How its upstreams run models; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Where its weights are drawn from; `None` where it isn't an origin.
    pub origin: Option<Origin>,
    /// Requests a second that a cold upstream bears; `None` where upstreams are never cold.
    pub cold_rate: Option<f64>,
}

/// A caller's workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspacePolicy {
    /// Name that upstreams are told.
    pub workspace: Workspace,
    /// Rank of its requests in place of the route's, 0 being the most urgent.
    pub priority: Option<u8>,
    /// Places where its requests may run; empty for anywhere.
    pub allowed_places: Vec<Place>,
}

/// Who may call.
#[derive(Debug, Clone)]
pub enum Access {
    /// No workspaces are configured; nobody needs a key.
    Open,
    /// Callers show one of these keys, but on public routes.
    Keys(Map<ApiKey, Arc<WorkspacePolicy>>),
}

/// One revision of the configuration.
#[derive(Debug)]
pub struct Catalog {
    /// Revision; larger ones are newer.
    pub revision: Revision,
    /// Limits.
    pub limits: RequestLimits,
    /// Who may call.
    pub access: Access,
    by_host: Map<String, Vec<Arc<Route>>>,
    services: Map<ServiceName, Arc<Service>>,
}

impl Catalog {
    /// A catalog of routes and services.
    pub fn new(
        revision: Revision,
        routes: Vec<Route>,
        services: Vec<Service>,
        access: Access,
        limits: RequestLimits,
    ) -> Catalog {
        let mut by_host: Map<String, Vec<Arc<Route>>> = Map::default();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|s| (s.name.clone(), Arc::new(s)))
            .collect();
        Catalog {
            revision,
            limits,
            access,
            by_host,
            services,
        }
    }

    /// The route with the longest prefix that begins the path; `None` where there is none.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.values().find_map(|s| s.origin.as_ref())
    }

    /// Models that the upstreams of a service run.
    pub fn models(&self, service: &str) -> &[Model] {
        let engine = self.service(service).and_then(|s| s.engine.as_ref());
        engine.map_or(&[], |e| &e.models)
    }
}

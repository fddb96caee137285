//! Priorities of the requests of a service.

use std::time::Duration;

use crate::{Access, Route};

/// Priority of a request, 0 being the most urgent: that of its workspace, or else of its route, then that of its route.
/// Where all workspaces have the same priority, requests are thus ordered by route.
pub type Urgency = (u8, u8);

/// Returns the urgency of a workspace's requests on a route.
pub fn urgency(route: &Route, workspace: Option<u8>) -> Urgency {
    (workspace.unwrap_or(route.priority), route.priority)
}

/// Distinct urgencies of the requests of a service, and the objectives that they have to meet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Priorities {
    /// Distinct urgencies in ascending order.
    distinct: Vec<Urgency>,
    /// Shortest objective of the requests of each of these urgencies.
    shortest: Vec<Duration>,
    /// Whether routes differ in priority.
    routes_differ: bool,
}

impl Priorities {
    /// Returns the urgencies of the requests that routes send to a service.
    pub fn of(service: &str, routes: &[Route], access: &Access) -> Priorities {
        let workspaces = workspace_priorities(access);
        let sends = |r: &&Route| r.shares.iter().any(|s| s.service == service);
        let of_service: Vec<&Route> = routes.iter().filter(sends).collect();
        let mut all: Vec<(Urgency, Duration)> = of_service
            .iter()
            .flat_map(|r| workspaces.iter().map(|w| (urgency(r, *w), r.objective)))
            .collect();
        // The shortest objective of an urgency comes first and is retained.
        all.sort_unstable();
        all.dedup_by_key(|(urgency, _)| *urgency);
        let (distinct, shortest) = all.into_iter().unzip();
        let first = of_service.first().map(|r| r.priority);
        Priorities {
            distinct,
            shortest,
            routes_differ: of_service.iter().any(|r| Some(r.priority) != first),
        }
    }

    /// Returns the distinct urgencies in ascending order.
    pub fn distinct(&self) -> &[Urgency] {
        &self.distinct
    }

    /// Returns whether routes differ in priority.
    pub fn differ(&self) -> bool {
        self.routes_differ
    }

    /// Returns the most urgent one.
    pub fn most_urgent(&self) -> Urgency {
        self.distinct.first().copied().unwrap_or_default()
    }

    /// Returns an objective, or the shortest objective of the more urgent requests if that is shorter.
    pub fn bound_objective(&self, urgency: Urgency, objective: Duration) -> Duration {
        let all = self.distinct.iter().zip(&self.shortest);
        let more_urgent = all.filter(|(u, _)| **u < urgency);
        more_urgent.map(|(_, o)| *o).fold(objective, Duration::min)
    }
}

/// Returns the distinct priorities of workspaces; `None` for those without one of their own.
fn workspace_priorities(access: &Access) -> Vec<Option<u8>> {
    let Access::Keys(keys) = access else {
        return vec![None];
    };
    let mut priorities: Vec<Option<u8>> = keys.values().map(|w| w.priority).collect();
    if priorities.is_empty() {
        priorities.push(None);
    }
    priorities.sort_unstable();
    priorities.dedup();
    priorities
}

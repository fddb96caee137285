//! Priorities of the routes of a service.

use std::time::Duration;

use crate::Route;

/// Distinct priorities of the routes of a service, and the objectives that they have to meet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Priorities {
    /// Distinct priorities in ascending order; 0 is the most urgent.
    distinct: Vec<u8>,
    /// Shortest objective of the routes of each of these priorities.
    shortest: Vec<Duration>,
}

impl Priorities {
    /// Returns the priorities of the routes that send requests to a service.
    pub fn of(service: &str, routes: &[Route]) -> Priorities {
        let mut of_service: Vec<(u8, Duration)> = routes
            .iter()
            .filter(|r| r.shares.iter().any(|s| s.service == service))
            .map(|r| (r.priority, r.objective))
            .collect();
        // The shortest objective of a priority comes first and is retained.
        of_service.sort_unstable();
        of_service.dedup_by_key(|(priority, _)| *priority);
        let (distinct, shortest) = of_service.into_iter().unzip();
        Priorities { distinct, shortest }
    }

    /// Returns the distinct priorities in ascending order.
    pub fn distinct(&self) -> &[u8] {
        &self.distinct
    }

    /// Returns whether routes differ in priority.
    pub fn differ(&self) -> bool {
        self.distinct.len() > 1
    }

    /// Returns the most urgent priority.
    pub fn most_urgent(&self) -> u8 {
        self.distinct.first().copied().unwrap_or_default()
    }

    /// Returns an objective, or the shortest objective of the routes that are more urgent than `priority` if that is
    /// shorter.
    pub fn bound_objective(&self, priority: u8, objective: Duration) -> Duration {
        let all = self.distinct.iter().zip(&self.shortest);
        let more_urgent = all.filter(|(p, _)| **p < priority);
        more_urgent.map(|(_, o)| *o).fold(objective, Duration::min)
    }
}

//! What is known of the speed of a service's engines, for the choice of a request's upstream by
//! [`decide::engine_model`].

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::Service;
use decide::engine_model::{EngineModel, EngineRequirements, PacedRequirements};
use decide::load_balancing::{Candidate, Requirements};

use crate::Cx;
use crate::paces::ServicePaces;
use crate::request::RoutedRequest;

/// Requirements of a request, and the paces of its service's engines.
#[derive(Debug)]
pub(crate) struct Speeds {
    requirements: EngineRequirements,
    paces: Option<ServicePaces>,
}

impl Speeds {
    /// Returns the current state for a request with requirements regardless of pace.
    pub(crate) fn new(
        cx: &Cx,
        req: &RoutedRequest,
        service: &Service,
        base: Requirements,
        now: Instant,
    ) -> Speeds {
        let paces = match cx.cfg.speed_aware {
            true => cx.paces.current(&req.service, now),
            false => None,
        };
        let model = service.engine.as_ref().and_then(EngineModel::new);
        let requirements = match (&paces, model) {
            (Some(paces), Some(model)) => EngineRequirements::Uneven(PacedRequirements {
                base,
                model,
                prompt: req.metadata.prompt_tokens,
                remaining: remaining(req, now),
                gap_objective: gap_objective(cx, req),
                worst_pace: paces.worst,
            }),
            _ => EngineRequirements::Even(base),
        };
        Speeds {
            requirements,
            paces,
        }
    }

    /// Returns the cost of an upstream; `None` if it is full.
    pub(crate) fn cost(&self, upstream: &SocketAddr, candidate: &Candidate) -> Option<f64> {
        self.requirements.cost(candidate, self.pace(upstream))
    }

    /// Returns the number of requests like this one that an upstream has capacity for.
    pub(crate) fn free_capacity(&self, upstream: &SocketAddr, candidate: &Candidate) -> f64 {
        let pace = self.pace(upstream);
        self.requirements.free_capacity(candidate, pace)
    }

    /// Returns the upper limit of the random part of a cost.
    pub(crate) fn jitter(&self) -> f64 {
        self.requirements.jitter()
    }

    fn pace(&self, upstream: &SocketAddr) -> f64 {
        self.paces.as_ref().map_or(1.0, |paces| paces.get(upstream))
    }
}

/// Returns the time left for the first event of a request. Its objective counts from the caller's first attempt.
fn remaining(req: &RoutedRequest, now: Instant) -> Duration {
    let waited = now.saturating_duration_since(req.arrived);
    let objective = req.route.objective;
    objective.saturating_sub(req.attempt_age.saturating_add(waited))
}

fn gap_objective(cx: &Cx, req: &RoutedRequest) -> Option<Duration> {
    let catalog = cx.catalog.borrow();
    catalog.as_ref().and_then(|c| c.gap_objective(&req.service))
}

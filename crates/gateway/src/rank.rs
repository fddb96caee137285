//! Rank and standing by which a request is admitted.

use std::time::Instant;

use catalog::{Service, Urgency};
use decide::DeadlineClass;
use decide::fairness;
use decide::priority::{self, Rank, Standing};

use crate::Cx;
use crate::request::{AttemptId, RoutedRequest};

/// Returns the rank of a request; `None` if requests of its service aren't admitted by priority. `attempt` identifies
/// the request, so that its rank doesn't depend on when it is computed.
pub(crate) fn of(
    cx: &Cx,
    service: &Service,
    class: DeadlineClass,
    urgency: Urgency,
    attempt: (&AttemptId, Instant),
) -> Option<Rank> {
    let priorities = &service.priorities;
    if !cx.cfg.priority_admission || service.engine.is_none() || !priorities.differ() {
        return None;
    }
    // The hash has a random seed: a caller can't choose an attempt id that counts as most urgent.
    let urgency = match priority::is_promoted(cx.draw(attempt), cx.cfg.min_share) {
        true => priorities.most_urgent(),
        false => urgency,
    };
    Some(priority::rank(class, urgency, priorities.distinct()))
}

/// Returns the standing of a request that gets a slot after some attempts, and records its first one. Once admitted it
/// counts as most urgent, since a refusal would waste what it has taken already.
pub(crate) fn standing(cx: &Cx, req: &RoutedRequest, attempts: usize) -> Option<Standing> {
    let rank = req.rank?;
    if attempts > 0 {
        return Some(Standing::ADMITTED);
    }
    let now = clock::now();
    let is_over_share = req.workspace.as_ref().is_some_and(|w| {
        let shares = (&req.service, req.urgency());
        cx.pools.arrive(shares, &w.workspace, cost(req), now)
    });
    Some(Standing {
        rank,
        is_over_share,
    })
}

/// Records that a request was admitted after some attempts.
pub(crate) fn record_admitted(cx: &Cx, req: &RoutedRequest, attempts: usize) {
    let workspace = req.workspace.as_ref().filter(|_| attempts == 0);
    if let (Some(_), Some(w)) = (req.rank, workspace) {
        let shares = (&req.service, req.urgency());
        cx.pools
            .admit(shares, &w.workspace, cost(req), clock::now());
    }
}

fn cost(req: &RoutedRequest) -> f64 {
    fairness::cost(req.metadata.prompt_tokens, req.expected_tokens())
}

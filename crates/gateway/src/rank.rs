//! Rank by which a request is admitted.

use std::hash::BuildHasher;
use std::time::Instant;

use catalog::Service;
use decide::DeadlineClass;
use decide::priority::{self, Rank};

use crate::Cx;
use crate::request::AttemptId;

/// Returns the rank of a request; `None` if requests of its service aren't admitted by priority. `attempt` identifies
/// the request, so that its rank doesn't depend on when it is computed.
pub(crate) fn of(
    cx: &Cx,
    service: &Service,
    class: DeadlineClass,
    priority: u8,
    attempt: (&AttemptId, Instant),
) -> Option<Rank> {
    let priorities = &service.priorities;
    if !cx.cfg.priority_admission || service.engine.is_none() || !priorities.differ() {
        return None;
    }
    // The hash has a random seed: a caller can't choose an attempt id that counts as most urgent.
    let hash = cx.random_state.hash_one(attempt) >> 32;
    let draw = hash as f64 / f64::from(u32::MAX);
    let priority = match priority::is_promoted(draw, cx.cfg.min_share) {
        true => priorities.most_urgent(),
        false => priority,
    };
    Some(priority::rank(class, priority, priorities.distinct()))
}

//! Data residency: failure domains in which a request may run.
//!
//! A route and a workspace may each list allowed places. A request runs only in a failure domain that
//! lies within an allowed place of every non-empty list. A failure domain of unknown region lies in
//! no place. The gateway that the caller reached forwards the body directly to the upstream, so the
//! rule for the upstream covers every process that receives the body.

use base::{Domains, Place};

/// Returns whether a request may run in a failure domain, given the allowed places of its route and
/// its workspace. An empty list allows every place.
pub fn is_allowed(domains: &Domains, domain: &str, route: &[Place], workspace: &[Place]) -> bool {
    let allows = |places: &[Place]| {
        places.is_empty() || places.iter().any(|place| domains.is_within(domain, place))
    };
    allows(route) && allows(workspace)
}

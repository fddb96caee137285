//! Which gateways send to an upstream that may get only a few requests a second.
//!
//! Gateways can't agree on each request, so few of them send to such an upstream at all: those of its failure
//! domain that a rendezvous hash ranks first. Each paces its requests by itself, without knowing those of the others.

use base::rendezvous;

/// Rank of a gateway among itself and the `others` of an upstream's failure domain; 0 is the first to send.
pub fn rank<'a>(upstream: &str, own: &str, others: impl IntoIterator<Item = &'a String>) -> usize {
    let rank = |vm: &str| rendezvous::rank(upstream.as_bytes(), vm);
    let own = rank(own);
    others.into_iter().filter(|vm| rank(vm) < own).count()
}

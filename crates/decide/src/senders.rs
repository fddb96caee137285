//! Gateways that send to an upstream limited to a few requests a second.
//!
//! Gateways can't coordinate each request, so only a few of them send to such an upstream: those of
//! its failure domain that a rendezvous hash ranks first. Each paces its own requests without
//! knowledge of the others'.

use base::rendezvous;

/// Returns the rank of a gateway among itself and the `others` of an upstream's failure domain; 0 is
/// the first sender.
pub fn rank<'a>(upstream: &str, own: &str, others: impl IntoIterator<Item = &'a String>) -> usize {
    let rank = |vm: &str| rendezvous::rank(upstream.as_bytes(), vm);
    let own = rank(own);
    others.into_iter().filter(|vm| rank(vm) < own).count()
}

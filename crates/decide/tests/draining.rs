//! Upstreams that are draining.

use decide::draining::{DrainState, accepts_requests};

#[test]
fn the_first_announcement_of_a_drain_ends_new_requests() {
    let accepts = |listed, advertised| accepts_requests(DrainState { listed, advertised });

    assert!(accepts(false, false));
    assert!(!accepts(true, false));
    assert!(!accepts(false, true));
    assert!(!accepts(true, true));
}

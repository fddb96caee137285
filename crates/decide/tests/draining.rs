//! Draining upstreams.

use decide::draining::{DrainState, accepts_requests};

#[test]
fn first_drain_announcement_stops_new_requests() {
    let accepts = |listed, advertised| accepts_requests(DrainState { listed, advertised });

    assert!(accepts(false, false));
    assert!(!accepts(true, false));
    assert!(!accepts(false, true));
    assert!(!accepts(true, true));
}

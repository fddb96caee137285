//! Upstreams that leave.

use decide::draining::{Leaving, takes_new};

#[test]
fn whichever_says_first_that_an_upstream_leaves_ends_new_requests() {
    let takes = |listed, said| takes_new(Leaving { listed, said });

    assert!(takes(false, false));
    assert!(!takes(true, false));
    assert!(!takes(false, true));
    assert!(!takes(true, true));
}

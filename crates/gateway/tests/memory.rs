//! Memory of bodies in flight.

use gateway::memory::BodyMemory;

const BUDGET: u64 = 1000;

#[test]
fn share_is_free_again_once_its_bytes_are_dropped() {
    let memory = BodyMemory::new(BUDGET);
    let mut share = memory.share();
    assert!(share.resize(300));
    let body = share.hold(vec![0; 300]);
    let sent = body.slice(10..20);

    drop(body);

    assert_eq!(memory.used(), 300, "a part of it is still in use");
    drop(sent);
    assert_eq!(memory.used(), 0);
}

#[test]
fn share_grows_to_half_of_what_others_leave() {
    let memory = BodyMemory::new(BUDGET);
    let (mut first, mut second) = (memory.share(), memory.share());

    assert!(first.resize(500));
    assert!(!first.resize(501));
    assert!(second.resize(250));
    assert!(!second.resize(251));
}

#[test]
fn share_that_is_over_its_part_may_shrink() {
    let memory = BodyMemory::new(BUDGET);
    let (mut first, mut second) = (memory.share(), memory.share());
    assert!(first.resize(500));
    assert!(second.resize(200));

    assert!(first.resize(450));

    assert_eq!(memory.used(), 650);
}

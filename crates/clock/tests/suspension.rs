//! A suspended VM. The clock of the whole process jumps, so there is one test.

use std::time::Duration;

#[test]
fn what_was_learned_before_a_suspension_is_as_old_as_it_took() {
    let learned = clock::now();
    let due = learned + Duration::from_secs(30);

    clock::jump(Duration::from_secs(60));

    assert!(clock::since(learned) >= Duration::from_secs(60));
    assert_eq!(clock::until(due), Duration::ZERO);
}

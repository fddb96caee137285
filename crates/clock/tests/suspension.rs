//! Clock after a suspension. The only test of its process, since it advances the clock of the whole process.

use std::time::Duration;

#[test]
fn ages_and_deadlines_count_the_time_of_a_suspension() {
    let start = clock::now();
    let deadline = start + Duration::from_secs(30);

    clock::jump(Duration::from_secs(60));

    assert!(clock::since(start) >= Duration::from_secs(60));
    assert_eq!(clock::until(deadline), Duration::ZERO);
}

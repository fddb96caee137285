//! Shares of the memory for bodies.

use decide::memory::max_body_bytes;
use proptest::prelude::*;

const MIB: u64 = 1 << 20;

const BUDGET: u64 = 96 * MIB;

/// Grows bodies in turn, as far as they may; returns what each of them holds.
fn grow_all(bodies: usize, step: u64) -> Vec<u64> {
    let mut held = vec![0; bodies];
    loop {
        let mut has_grown = false;
        for i in 0..bodies {
            let others = held.iter().sum::<u64>() - held[i];
            if held[i] + step <= max_body_bytes(BUDGET, others) {
                held[i] += step;
                has_grown = true;
            }
        }
        if !has_grown {
            return held;
        }
    }
}

#[test]
fn single_body_takes_half_of_the_budget() {
    assert_eq!(max_body_bytes(BUDGET, 0), BUDGET / 2);
}

#[test]
fn bodies_without_an_end_leave_memory_to_a_small_one() {
    let held: u64 = grow_all(20, 64 << 10).iter().sum();

    assert!(max_body_bytes(BUDGET, held) >= MIB, "{held}");
}

proptest! {
    #![proptest_config(cases::cases(200))]

    /// Guards against bodies that are each within their limit and together exceed the memory.
    #[test]
    fn bodies_never_exceed_the_budget(bodies in 1_usize..80, step in 1_u64..8) {
        let held = grow_all(bodies, step * MIB / 4);

        prop_assert!(held.iter().sum::<u64>() <= BUDGET);
    }
}

//! Readers of the store in failure domains of several sizes.

use std::time::Duration;

use decide::readers::{effective_rank, initial_replica_wait, list_read_age, retry_delay};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const INTERVAL: Duration = Duration::from_millis(900);

/// Time after which a read that gets no answer is given up.
const TIMEOUT: Duration = Duration::from_millis(700);

const SPAN: Duration = Duration::from_secs(10);

/// Reads of a failure domain in [`SPAN`], while the list gets older and each read fails.
fn failing_reads(gateways: usize) -> usize {
    let mut rng = StdRng::seed_from_u64(11);
    let mut reads = 0;
    for rank in 0..gateways {
        let mut at = list_read_age(INTERVAL, rank);
        let mut failures = 0;
        while at < SPAN {
            reads += 1;
            failures += 1;
            at += TIMEOUT + retry_delay(rank, failures, rng.random_range(0.0..1.0));
        }
    }
    reads
}

/// Most reads that begin within a second, while no copy comes.
fn busiest_second(begins: impl Iterator<Item = Duration>) -> usize {
    let begins: Vec<Duration> = begins.collect();
    let within = |from: &Duration| {
        let until = *from + Duration::from_secs(1);
        begins
            .iter()
            .filter(|at| (*from..until).contains(at))
            .count()
    };
    begins.iter().map(within).max().unwrap_or(0)
}

/// Before, each gateway from the third on read at the same age and again every 1.1 s: 4 times as many gateways made
/// 4 times as many reads.
#[test]
fn reads_of_a_list_that_nobody_gets_grow_slower_than_the_gateways() {
    let (n, quadruple) = (failing_reads(30), failing_reads(120));

    let power = (quadruple as f64 / n as f64).ln() / 4_f64.ln();
    assert!(power <= 0.5, "{n} and {quadruple} reads, power {power:.2}");
}

#[test]
fn gateways_that_start_begin_to_read_at_a_fixed_pace() {
    let begins = |gateways| busiest_second((0..gateways).map(initial_replica_wait));
    let due = |gateways| busiest_second((0..gateways).map(|rank| list_read_age(INTERVAL, rank)));

    assert_eq!(begins(30), begins(121));
    assert_eq!(due(30), due(121));
}

#[test]
fn the_first_readers_try_again_sooner_than_the_others() {
    assert!(retry_delay(0, 9, 1.0) <= Duration::from_secs(2));
    assert!(retry_delay(5, 9, 0.0) >= Duration::from_secs(4));
    assert_eq!(retry_delay(0, 1, 0.0), retry_delay(5, 1, 0.0));
}

#[test]
fn a_gateway_that_cannot_copy_the_list_reads_it_before_its_turn() {
    let due = |rank, copy_failed| list_read_age(INTERVAL, effective_rank(rank, copy_failed));

    assert!(due(80, false) > Duration::from_secs(20));
    assert_eq!(due(80, true), due(2, false));
    assert_eq!(due(0, true), due(0, false));
}

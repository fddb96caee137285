//! Readers of the store in failure domains of several sizes.

use std::time::Duration;

use decide::readers::{effective_rank, initial_replica_wait, list_read_age, retry_delay};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const INTERVAL: Duration = Duration::from_millis(900);

/// Timeout of a read.
const TIMEOUT: Duration = Duration::from_millis(700);

const SPAN: Duration = Duration::from_secs(10);

/// Returns the number of reads of a failure domain in [`SPAN`] while every read of the list fails.
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

/// Returns the maximum number of reads that start within a second while no replica arrives.
fn busiest_second(starts: impl Iterator<Item = Duration>) -> usize {
    let starts: Vec<Duration> = starts.collect();
    let within = |from: &Duration| {
        let until = *from + Duration::from_secs(1);
        starts
            .iter()
            .filter(|at| (*from..until).contains(at))
            .count()
    };
    starts.iter().map(within).max().unwrap_or(0)
}

/// If every gateway from the third on read at the same age and retried every 1.1 s, 4 times as many
/// gateways would make 4 times as many reads.
#[test]
fn failing_list_reads_grow_slower_than_gateways() {
    let (reads, quadruple) = (failing_reads(30), failing_reads(120));

    let power = (quadruple as f64 / reads as f64).ln() / 4_f64.ln();
    assert!(
        power <= 0.5,
        "{reads} and {quadruple} reads, power {power:.2}"
    );
}

#[test]
fn starting_gateways_read_at_a_fixed_pace() {
    let initial = |gateways| busiest_second((0..gateways).map(initial_replica_wait));
    let list = |gateways| busiest_second((0..gateways).map(|rank| list_read_age(INTERVAL, rank)));

    assert_eq!(initial(30), initial(121));
    assert_eq!(list(30), list(121));
}

#[test]
fn first_readers_retry_sooner_than_others() {
    assert!(retry_delay(0, 9, 1.0) <= Duration::from_secs(2));
    assert!(retry_delay(5, 9, 0.0) >= Duration::from_secs(4));
    assert_eq!(retry_delay(0, 1, 0.0), retry_delay(5, 1, 0.0));
}

#[test]
fn gateway_reads_list_early_when_replication_fails() {
    let read_age = |rank, has_failed| list_read_age(INTERVAL, effective_rank(rank, has_failed));

    assert!(read_age(80, false) > Duration::from_secs(20));
    assert_eq!(read_age(80, true), read_age(2, false));
    assert_eq!(read_age(0, true), read_age(0, false));
}

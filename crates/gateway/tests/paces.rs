//! Paces of engines as loaders publish them: lost, stale, out of order, of an earlier incarnation.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beacon::PaceUpdate;
use gateway::paces::PaceTable;

const MS: Duration = Duration::from_millis(1);

fn engine() -> SocketAddr {
    ([127, 0, 0, 1], 9000).into()
}

fn update(incarnation: u64, sequence: u64, pace: u32) -> PaceUpdate {
    PaceUpdate {
        upstream: engine(),
        incarnation,
        sequence,
        pace,
    }
}

/// Applies updates that arrive at times in ms.
fn table(start: Instant, received: &[(u32, PaceUpdate)]) -> PaceTable {
    let table = PaceTable::default();
    for (ms, update) in received {
        table.apply(&"llm".to_owned(), *update, start + MS * *ms);
    }
    table
}

/// Returns the pace of the engine and the worst one of the service; `None` if the service counts as even.
fn paces(table: &PaceTable, at: Instant) -> Option<(f64, f64)> {
    let paces = table.current("llm", at)?;
    Some((paces.get(&engine()), paces.worst))
}

#[test]
fn service_without_another_pace_counts_as_even() {
    let start = Instant::now();

    assert_eq!(paces(&PaceTable::default(), start), None);
    assert_eq!(
        paces(&table(start, &[(0, update(1, 1, 1000))]), start),
        None
    );
}

#[test]
fn pace_is_current_until_its_end_is_published_and_the_worst_one_for_10_s() {
    let start = Instant::now();
    let table = table(start, &[(0, update(1, 1, 2500)), (600, update(1, 2, 1000))]);

    assert_eq!(paces(&table, start + MS * 600), Some((1.0, 2.5)));
    assert_eq!(paces(&table, start + MS * 9_990), Some((1.0, 2.5)));
    assert_eq!(paces(&table, start + MS * 10_010), None);
}

/// Guards against an engine that is avoided for good because its loader died while it was slow.
#[test]
fn engine_whose_loader_has_died_counts_as_normal_after_3_s() {
    let start = Instant::now();
    let table = table(start, &[(0, update(1, 1, 2500))]);

    assert_eq!(paces(&table, start + MS * 2_990), Some((2.5, 2.5)));
    assert_eq!(paces(&table, start + MS * 3_010), Some((1.0, 2.5)));
}

#[test]
fn lost_update_is_made_up_for_by_the_next() {
    let start = Instant::now();
    let table = table(
        start,
        &[(0, update(1, 1, 2500)), (1_000, update(1, 9, 2500))],
    );

    assert_eq!(paces(&table, start + MS * 3_500), Some((2.5, 2.5)));
}

/// Guards against a relayed datagram that arrives after a newer one, or after one of a restarted loader.
#[test]
fn update_out_of_order_or_of_an_earlier_incarnation_is_ignored() {
    let start = Instant::now();
    for stale in [update(2, 4, 2500), update(2, 5, 2500), update(1, 90, 2500)] {
        let table = table(start, &[(0, update(2, 5, 1500)), (10, stale)]);

        assert_eq!(
            paces(&table, start + MS * 20),
            Some((1.5, 1.5)),
            "{stale:?}"
        );
    }
}

/// Guards against a gateway that was frozen and relays the start of a slow period after its end has expired.
#[test]
fn update_out_of_order_is_ignored_after_the_newer_pace_has_expired() {
    let start = Instant::now();
    let table = table(
        start,
        &[
            (0, update(1, 1, 2500)),
            (600, update(1, 4, 1000)),
            (4_000, update(1, 2, 2500)),
        ],
    );

    assert_eq!(paces(&table, start + MS * 4_010), Some((1.0, 2.5)));
}

/// Guards against a loader whose clock was set back, which starts with a lower incarnation.
#[test]
fn restarted_loader_with_a_lower_incarnation_is_accepted_once_the_pace_has_expired() {
    let start = Instant::now();
    let table = table(
        start,
        &[(0, update(9, 5, 1500)), (3_100, update(2, 1, 2500))],
    );

    assert_eq!(paces(&table, start + MS * 3_200), Some((2.5, 2.5)));
}

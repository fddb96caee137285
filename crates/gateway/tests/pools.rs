//! Pools of services whose requests are admitted by priority.

use std::time::{Duration, Instant};

use decide::priority::Pool;
use gateway::pools::Pools;

const QUEUE_TIME: Duration = Duration::from_millis(40);

/// Guards against the shortage of one service, or of one rank, causing refusals at once of another.
#[test]
fn shortage_is_observed_by_service_and_rank() {
    let (pools, start) = (Pools::default(), Instant::now());
    let [llm, other] = ["llm", "other"].map(str::to_owned);
    let pool = Pool {
        slots: 12.0,
        idle: 12.0,
        free: 1.0,
    };
    let observe = |service, rank, ms| {
        let now = start + Duration::from_millis(ms);
        pools.observe(service, &pool, (rank, 6), QUEUE_TIME, now)
    };

    assert!(!observe(&llm, 2, 0), "the shortage is new");
    assert!(observe(&llm, 2, 50));
    assert!(!observe(&llm, 0, 50), "the most urgent rank has no reserve");
    assert!(!observe(&other, 2, 50));
}

/// Guards against usage on a route of another priority counting against a workspace.
#[test]
fn shares_are_by_service_and_priority() {
    let (pools, now) = (Pools::default(), Instant::now());
    let [llm, other] = ["llm", "other"].map(str::to_owned);
    let [large, small] = ["large", "small"].map(str::to_owned);
    for _ in 0..10 {
        pools.arrive((&llm, (0, 0)), &large, 1_000.0, now);
        pools.admit((&llm, (0, 0)), &large, 1_000.0, now);
    }
    pools.arrive((&llm, (0, 0)), &small, 5_000.0, now);

    assert!(pools.arrive((&llm, (0, 0)), &large, 1_000.0, now));
    assert!(!pools.arrive((&llm, (0, 0)), &small, 1_000.0, now));
    assert!(!pools.arrive((&llm, (1, 1)), &large, 1_000.0, now));
    assert!(!pools.arrive((&other, (0, 0)), &large, 1_000.0, now));
}

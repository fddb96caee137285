//! Demand of gateways and failure domains: observation, exchange, expiry, and plans from it.

use std::time::{Duration, Instant};

use base::DomainName;
use beacon::{Demand, DemandUpdate, MAX_DATAGRAM, Msg};
use decide::domain_shares::{DomainState, LinkBound, Plan, UPDATE_INTERVAL};
use gateway::demand::{Arrival, DemandTable, fit};
use gateway::domain_plans::DomainPlans;

const SERVICE: &str = "llm";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn demand(slots: u32) -> Demand {
    Demand {
        service: SERVICE.to_owned(),
        millislots: slots * 1000,
        bytes: slots * 5000,
        barred: Vec::new(),
    }
}

fn update(from: &str, domain: &str, sequence: u64, slots: u32) -> DemandUpdate {
    DemandUpdate {
        from: from.to_owned(),
        domain: domain.to_owned(),
        incarnation: 5,
        sequence,
        demands: vec![demand(slots)],
    }
}

fn arrival(seconds: f64, barred: &[&str]) -> Arrival {
    Arrival {
        slot_seconds: seconds,
        bytes: 1000,
        barred: barred.iter().map(|d| (*d).to_owned()).collect(),
    }
}

/// Returns the demand of each failure domain, in slots, sorted by domain.
fn slots(table: &DemandTable, now: Instant) -> Vec<(DomainName, u32)> {
    let known = table.by_domain(SERVICE, now).into_iter();
    let mut slots: Vec<_> = known
        .map(|(d, demand)| (d, demand.millislots / 1000))
        .collect();
    slots.sort();
    slots
}

/// Returns what a gateway plans by the sums it knows, each domain having 100 slots.
fn update_plan(plan: &mut Plan, table: &DemandTable, now: Instant) {
    let state = |(name, slots): (DomainName, u32)| DomainState {
        region: None,
        demand: f64::from(slots),
        barred: base::Map::default(),
        bytes: 0.0,
        capacity: 100.0,
        name,
    };
    let known: Vec<DomainState> = slots(table, now).into_iter().map(state).collect();
    plan.update(&known, LinkBound::Unknown, now);
}

#[test]
fn demand_is_the_work_that_arrived_in_the_last_second() {
    let table = DemandTable::default();
    let start = Instant::now();
    for n in 0..20 {
        let at = start + ms(100) * n;
        table.record_arrival(&SERVICE.to_owned(), arrival(0.5, &["natal"]), at);
        table.record_arrival(&SERVICE.to_owned(), arrival(1.5, &[]), at);
    }

    let own = table.own_demand(start + ms(2000));
    let later = table.own_demand(start + ms(4000));

    let [demand] = &own[..] else {
        panic!("{own:?}");
    };
    assert_eq!((demand.millislots, demand.bytes), (20_000, 20_000));
    assert_eq!(demand.barred, [("natal".to_owned(), 5_000)]);
    assert_eq!(later, []);
}

#[test]
fn sum_of_the_domain_adds_gateways_and_barred_demand() {
    let table = DemandTable::default();
    let now = Instant::now();
    let barred = Demand {
        barred: vec![("natal".to_owned(), 1000)],
        ..demand(4)
    };
    let with_barred = DemandUpdate {
        demands: vec![barred.clone()],
        ..update("c", "recife", 1, 0)
    };
    table.apply_update(update("b", "recife", 1, 3), now);
    table.apply_update(with_barred, now);

    let sum = table.domain_sum(&[barred], now);

    assert_eq!((sum[0].millislots, sum[0].bytes), (11_000, 55_000));
    assert_eq!(sum[0].barred, [("natal".to_owned(), 2000)]);
}

#[test]
fn demand_of_a_gateway_that_is_gone_expires() {
    let table = DemandTable::default();
    let now = Instant::now();
    table.apply_update(update("b", "recife", 1, 3), now);

    let before = table.domain_sum(&[], now + ms(1499));
    let after = table.domain_sum(&[], now + ms(1500));

    assert_eq!((before.len(), after.len()), (1, 0));
}

#[test]
fn older_and_repeated_updates_are_ignored() {
    let table = DemandTable::default();
    let now = Instant::now();
    table.apply_update(update("b", "recife", 7, 7), now);
    table.apply_domain_update(update("x", "natal", 7, 70), now);

    table.apply_update(update("b", "recife", 6, 6), now + ms(100));
    table.apply_domain_update(update("x", "natal", 6, 60), now + ms(100));
    let out_of_order = slots(&table, now + ms(100));
    // A duplicate doesn't renew an update whose sender may be gone.
    table.apply_update(update("b", "recife", 7, 7), now + ms(1000));
    table.apply_domain_update(update("x", "natal", 7, 70), now + ms(1000));

    assert_eq!(out_of_order, [("natal".to_owned(), 70)]);
    assert_eq!(table.domain_sum(&[], now + ms(1400))[0].millislots, 7000);
    assert_eq!(slots(&table, now + ms(1500)), []);
    assert!(table.domain_sum(&[], now + ms(1500)).is_empty());
}

#[test]
fn older_update_is_applied_once_the_newer_one_has_expired() {
    // Incarnations derive from the wall clock, which may have been set back on the sender's VM.
    let table = DemandTable::default();
    let now = Instant::now();
    table.apply_domain_update(update("x", "natal", 7, 70), now);

    table.apply_domain_update(update("x", "natal", 1, 10), now + ms(1500));

    assert_eq!(slots(&table, now + ms(1500)), [("natal".to_owned(), 10)]);
}

#[test]
fn sum_of_another_gateway_replaces_the_previous_one() {
    let table = DemandTable::default();
    let now = Instant::now();
    table.apply_domain_update(update("y", "natal", 90, 70), now);

    table.apply_domain_update(update("x", "natal", 1, 20), now);

    assert_eq!(slots(&table, now), [("natal".to_owned(), 20)]);
}

#[test]
fn partitioned_domain_leaves_the_plan_and_returns() {
    let table = DemandTable::default();
    let start = Instant::now();
    let mut plan = Plan::default();
    let mut shares = Vec::new();
    // The sums of one domain don't arrive between 4 and 10 s.
    for n in 0..112_u64 {
        let at = ms(125) * n as u32;
        let now = start + at;
        table.apply_domain_update(update("a", "recife", n + 1, 90), now);
        if !(ms(4000)..ms(10_000)).contains(&at) {
            table.apply_domain_update(update("x", "natal", n + 1, 30), now);
        }
        update_plan(&mut plan, &table, now);
        shares.push((at, plan.share("recife", "natal")));
    }

    let share = |from: u64, to: u64| {
        let period = shares
            .iter()
            .filter(|(at, _)| (ms(from)..ms(to)).contains(at));
        period.map(|(_, share)| *share).collect::<Vec<f64>>()
    };
    assert!(share(3000, 4000).iter().all(|s| (0.2..0.4).contains(s)));
    assert!(share(5500, 10_000).iter().all(|s| *s == 0.0));
    assert!(share(13_000, 14_000).iter().all(|s| (0.2..0.4).contains(s)));
}

#[test]
fn gateway_that_has_just_started_plans_nothing_until_it_knows_the_sums() {
    let table = DemandTable::default();
    let start = Instant::now();
    let mut plan = Plan::default();

    update_plan(&mut plan, &table, start);
    let without_sums = plan.shares();
    table.apply_domain_update(update("a", "recife", 900, 90), start);
    update_plan(&mut plan, &table, start + UPDATE_INTERVAL);
    let with_own_sum = plan.shares();
    table.apply_domain_update(update("x", "natal", 900, 30), start);
    update_plan(&mut plan, &table, start + UPDATE_INTERVAL * 2);

    assert_eq!(without_sums, []);
    assert_eq!(with_own_sum, []);
    assert!(plan.share("recife", "natal") > 0.0);
}

#[test]
fn demand_that_does_not_fit_a_datagram_keeps_the_largest_services() {
    let named = |n: u32| Demand {
        service: format!("service-with-a-long-name-{n}"),
        ..demand(n)
    };
    let many = DemandUpdate {
        demands: (1..100).map(named).collect(),
        ..update("front-rec-a-12", "recife", 1, 0)
    };

    let fitted = fit(many);

    let buf = beacon::encode(&Msg::RelayedDemand(fitted.clone())).expect("a datagram");
    assert!(
        buf.len() <= MAX_DATAGRAM && fitted.demands.len() > 20,
        "{}",
        buf.len()
    );
    assert!(fitted.demands.iter().any(|d| d.millislots == 99_000));
}

#[test]
fn services_without_shares_have_no_plan() {
    // Guards against a lasting plan of a service that is no longer uneven.
    let plans = DomainPlans::default();
    let service = SERVICE.to_owned();
    plans.replace(&service, vec![("natal".to_owned(), 0.3)]);
    let before = plans.outgoing(&service);

    plans.replace(&service, Vec::new());

    assert_eq!(before, [("natal".to_owned(), 0.3)]);
    assert_eq!(plans.outgoing(&service), []);
}

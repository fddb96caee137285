//! Receivers of load changes in a failure domain, and the resulting number of datagrams.

use decide::fanout::{
    FanOut, LEADERS, RELAY_INTERVAL, change_fan_out, full_update_interval, should_relay,
};

/// Changes a second of a busy gateway: 7 requests, each of which starts, is read and completes.
const CHANGES: f64 = 20.0;

/// Returns the datagrams a second of all gateways of a failure domain.
fn datagrams(gateways: usize, is_relayed: bool) -> f64 {
    let others = gateways - 1;
    let receivers = match change_fan_out(others, is_relayed) {
        FanOut::All => others,
        FanOut::Leaders => LEADERS,
    };
    let changes = gateways as f64 * CHANGES * receivers as f64;
    let full_updates = (gateways * others) as f64 / full_update_interval(others).as_secs_f64();
    let relays = (0..gateways).filter(|rank| should_relay(others, *rank, is_relayed));
    let relayed = (relays.count() * others) as f64 / RELAY_INTERVAL.as_secs_f64();
    changes + full_updates + relayed
}

#[test]
fn small_failure_domain_sends_changes_directly() {
    assert_eq!(change_fan_out(12, true), FanOut::All);
    assert!((0..13).all(|rank| !should_relay(12, rank, false)));
}

#[test]
fn first_leader_relays_and_second_takes_over() {
    let others = 29;

    assert_eq!(change_fan_out(others, true), FanOut::Leaders);
    assert!(should_relay(others, 0, true) && !should_relay(others, 1, true));
    assert!(should_relay(others, 1, false));
    assert!(!should_relay(others, LEADERS, false), "only leaders relay");
}

#[test]
fn changes_go_to_all_gateways_while_no_leader_relays() {
    assert_eq!(change_fan_out(29, false), FanOut::All);
}

/// When each of 30 gateways sends to all others, they send 17,400 changes and 2,175 full updates a
/// second.
#[test]
fn relaying_cuts_datagrams_of_thirty_gateways_to_a_fifth() {
    let direct = datagrams(30, false);
    let relayed = datagrams(30, true);

    assert!(relayed < direct / 5.0, "{relayed} of {direct}");
}

/// With a fixed interval each gateway sends 92 full updates a second at 121 gateways, and 38 at 50.
#[test]
fn full_updates_per_gateway_do_not_grow_with_failure_domain() {
    let updates =
        |gateways: usize| (gateways - 1) as f64 / full_update_interval(gateways - 1).as_secs_f64();

    assert!(
        updates(121) <= updates(51) * 1.01,
        "{} and {}",
        updates(121),
        updates(51)
    );
    assert!(
        updates(484) <= updates(121) * 1.01,
        "{} and {}",
        updates(484),
        updates(121)
    );
}

//! Who in a failure domain is told of a change of load, and how many datagrams that makes.

use decide::fanout::{
    FanOut, LEADERS, RELAY_INTERVAL, change_fan_out, full_update_interval, should_relay,
};

/// Changes of a busy gateway in a second: 7 requests, each of which begins, is read and ends.
const CHANGES: f64 = 20.0;

/// Datagrams a second of all gateways of a failure domain.
fn datagrams(gateways: usize, is_relayed: bool) -> f64 {
    let others = gateways - 1;
    let told = match change_fan_out(others, is_relayed) {
        FanOut::All => others,
        FanOut::Leaders => LEADERS,
    };
    let changes = gateways as f64 * CHANGES * told as f64;
    let notes = (gateways * others) as f64 / full_update_interval(others).as_secs_f64();
    let relays = (0..gateways).filter(|rank| should_relay(others, *rank, is_relayed));
    let passed_on = (relays.count() * others) as f64 / RELAY_INTERVAL.as_secs_f64();
    changes + notes + passed_on
}

#[test]
fn few_gateways_tell_each_other_at_once() {
    assert_eq!(change_fan_out(12, true), FanOut::All);
    assert!((0..13).all(|rank| !should_relay(12, rank, false)));
}

#[test]
fn of_many_gateways_the_first_passes_changes_on_and_the_second_where_it_is_lost() {
    let others = 29;

    assert_eq!(change_fan_out(others, true), FanOut::Leaders);
    assert!(should_relay(others, 0, true) && !should_relay(others, 1, true));
    assert!(should_relay(others, 1, false));
    assert!(
        !should_relay(others, LEADERS, false),
        "only those that are told can"
    );
}

#[test]
fn while_nobody_passes_changes_on_all_are_told() {
    assert_eq!(change_fan_out(29, false), FanOut::All);
}

/// All telling all was 17,400 changes and 2,175 whole notes a second at 30 gateways.
#[test]
fn thirty_gateways_send_a_fifth_of_what_all_telling_all_would() {
    let all_told = datagrams(30, false);
    let passed_on = datagrams(30, true);

    assert!(passed_on < all_told / 5.0, "{passed_on} of {all_told}");
}

/// With a fixed interval each gateway sent 92 whole notes a second at 121 gateways, and 38 at 50.
#[test]
fn a_gateway_sends_no_more_whole_notes_in_a_larger_failure_domain() {
    let notes =
        |gateways: usize| (gateways - 1) as f64 / full_update_interval(gateways - 1).as_secs_f64();

    assert!(
        notes(121) <= notes(51) * 1.01,
        "{} and {}",
        notes(121),
        notes(51)
    );
    assert!(
        notes(484) <= notes(121) * 1.01,
        "{} and {}",
        notes(484),
        notes(121)
    );
}

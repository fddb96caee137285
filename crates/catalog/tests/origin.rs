//! Transfer times of the origin's link.

use std::time::Duration;

use catalog::Origin;

fn origin(link_mbps: f64) -> Origin {
    Origin {
        addr: ([127, 0, 0, 1], 9000).into(),
        max_connections: 48,
        link_mbps,
    }
}

#[test]
fn transfer_time_follows_the_link_rate() {
    let time = origin(8.0).transfer_time(25_000);

    assert_eq!(time, Duration::from_millis(25));
}

#[test]
fn transfer_time_is_zero_for_an_unknown_link_rate() {
    assert_eq!(origin(0.0).transfer_time(25_000), Duration::ZERO);
}

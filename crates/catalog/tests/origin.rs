//! How long the origin's link takes.

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
fn a_link_carries_bytes_at_its_rate() {
    let time = origin(8.0).transfer_time(25_000);

    assert_eq!(time, Duration::from_millis(25));
}

#[test]
fn a_link_whose_rate_is_not_known_delays_nothing() {
    assert_eq!(origin(0.0).transfer_time(25_000), Duration::ZERO);
}

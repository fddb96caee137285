//! Whether a gateway tries an engine now, given that other gateways see the same load.
//!
//! Other gateways learn of a request a moment after it is sent. Until then, every gateway that has a
//! queued request sees the same engine as empty. With few gateways this has little effect; of 149
//! that wait for the first engine in service, each sends it a prompt, and the last first event comes
//! seconds late. A gateway therefore tries an engine only in some periods, drawn anew for each engine
//! and period, with a probability at which all gateways together send about as many requests as the
//! engine has capacity for.

use std::time::Duration;

/// Mean number of requests sent for each one that fits, if every gateway has one queued. With 1,
/// freed slots would stay empty too often.
const ATTEMPTS_PER_SLOT: f64 = 2.0;

/// Mean number of requests for engines of the own failure domain while a request has just arrived:
/// in so short a time one gateway in five has one. With [`ATTEMPTS_PER_SLOT`], 150 of 1,800 callers
/// in 2 s near full load were served late that are in time with this.
const ARRIVAL_ATTEMPTS_PER_SLOT: f64 = 8.0;

/// Time until a request is known to the other gateways of the failure domain.
const NEAR_DRAW_PERIOD: Duration = Duration::from_millis(25);

/// Time until a request is known to gateways of other failure domains: a sum is sent every 125 ms and
/// relayed once.
const FAR_DRAW_PERIOD: Duration = Duration::from_millis(130);

/// Returns the period for which a draw for an engine holds.
pub fn draw_period(is_far: bool) -> Duration {
    match is_far {
        true => FAR_DRAW_PERIOD,
        false => NEAR_DRAW_PERIOD,
    }
}

/// Returns whether one of `gateways` gateways tries an engine with free capacity for
/// `free_capacity` requests, for a random `draw` in 0..1. `has_waited` states whether the request has
/// found no free capacity before.
pub fn should_try(
    free_capacity: f64,
    gateways: usize,
    is_far: bool,
    has_waited: bool,
    draw: f64,
) -> bool {
    let attempts = match is_far || has_waited {
        true => ATTEMPTS_PER_SLOT,
        false => ARRIVAL_ATTEMPTS_PER_SLOT,
    };
    draw * (gateways as f64) < attempts * free_capacity
}

//! Whether a gateway tries an engine now, where other gateways know the same of it.
//!
//! What one gateway sends, the others know a moment later. Until then each that has a request waiting finds
//! the same engine empty. With few gateways that does little; of 149 that wait for the first engine in service
//! each sends it a prompt, and the last first event comes seconds late. So a gateway tries an engine in only
//! some of these moments, drawn for each engine and moment anew: as seldom as it takes for all gateways together
//! to send about what there is room for.

use std::time::Duration;

/// Requests that are sent on average for each that there is room for, if every gateway has one waiting. With 1
/// freed slots would stand empty for a moment too often.
const TRIES: f64 = 2.0;

/// The same for engines of the own failure domain while a request has just arrived: in so short a moment one
/// gateway in five has one. With [`TRIES`] 150 of 1,800 callers in 2 s were served late near full load that
/// are in time with this.
const TRIES_AT_ONCE: f64 = 8.0;

/// Time in which what a gateway has sent isn't known to others of its failure domain.
const NEAR_MOMENT: Duration = Duration::from_millis(25);

/// The same to those of other failure domains: a sum is told each 125 ms and passed on once.
const FAR_MOMENT: Duration = Duration::from_millis(130);

/// How long a draw for an engine holds.
pub fn draw_period(is_far: bool) -> Duration {
    match is_far {
        true => FAR_MOMENT,
        false => NEAR_MOMENT,
    }
}

/// Whether an engine with room for so many requests is tried by one of so many gateways that may, for a draw
/// in 0..1; `waits` says whether the request has found no room before.
pub fn should_try(
    free_capacity: f64,
    gateways: usize,
    is_far: bool,
    has_waited: bool,
    draw: f64,
) -> bool {
    let tries = match is_far || has_waited {
        true => TRIES,
        false => TRIES_AT_ONCE,
    };
    draw * (gateways as f64) < tries * free_capacity
}

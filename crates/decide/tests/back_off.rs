//! Back-offs that upstreams request.

use std::time::{Duration, Instant};

use decide::back_off::{next_send, until};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn overlapping_back_off_extends_and_never_shortens() {
    let now = Instant::now();

    let first = until(None, 5 * SECOND, now);
    let shorter = until(Some(first), SECOND, now + SECOND);
    let longer = until(Some(first), 5 * SECOND, now + SECOND);

    assert_eq!(first, now + 5 * SECOND);
    assert_eq!(shorter, first);
    assert_eq!(longer, now + 6 * SECOND);
}

#[test]
fn next_send_respects_back_off_and_rate_limit() {
    let now = Instant::now();
    let (sooner, later) = (Some(now), Some(now + SECOND));

    assert_eq!(next_send(sooner, later), later);
    assert_eq!(next_send(later, sooner), later);
    assert_eq!(next_send(later, None), later);
    assert_eq!(next_send(None, None), None);
}

const UPSTREAMS: usize = 12;

/// Number of upstreams, the first ones, that reject everything at once.
const REJECTING: usize = 4;

/// Returns the number of callers whose request was rejected by two upstreams, of 1,700 that arrive
/// over 10 s. Each request takes a second and goes to the upstream with the least in flight.
fn refused_callers(respects_back_off: bool) -> usize {
    let start = Instant::now();
    let mut running: Vec<Vec<Instant>> = vec![Vec::new(); UPSTREAMS];
    let mut back_offs: Vec<Option<Instant>> = vec![None; UPSTREAMS];
    let mut refused = 0;
    for caller in 0..1700 {
        let now = start + Duration::from_secs_f64(f64::from(caller) / 170.0);
        running.iter_mut().for_each(|r| r.retain(|end| *end > now));
        let mut tried = Vec::new();
        while tried.len() < 2 {
            let is_candidate = |i: &usize| {
                let backs_off = back_offs[*i].is_some_and(|until| until > now);
                !(tried.contains(i) || respects_back_off && backs_off)
            };
            let least_loaded = (0..UPSTREAMS)
                .filter(is_candidate)
                .min_by_key(|i| running[*i].len());
            let Some(i) = least_loaded else {
                break;
            };
            tried.push(i);
            if i >= REJECTING {
                running[i].push(now + SECOND);
                break;
            }
            back_offs[i] = Some(until(back_offs[i], 3 * SECOND, now));
        }
        refused += usize::from(tried.iter().all(|i| *i < REJECTING));
    }
    refused
}

#[test]
fn back_off_diverts_callers_from_rejecting_upstreams() {
    let (without, with) = (refused_callers(false), refused_callers(true));

    assert!(without > 1_600, "{without}");
    assert!(with <= 10, "{with}");
}

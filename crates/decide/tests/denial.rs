//! When a denial is certain, and what callers of what doesn't exist cost.

use std::time::{Duration, Instant};

use decide::denial::{Decision, DenialPolicy};

const CONFIG_TIME: Duration = Duration::from_secs(2);

const MS: Duration = Duration::from_millis(1);

fn denials() -> (DenialPolicy, Instant) {
    (DenialPolicy::new(CONFIG_TIME), Instant::now())
}

#[test]
fn a_copy_denies_only_while_a_change_may_still_be_on_its_way() {
    let (denials, now) = denials();

    assert_eq!(denials.decide(Duration::ZERO, now), Decision::Deny);
    assert_eq!(denials.decide(denials.max_age(), now), Decision::Deny);
    assert_eq!(
        denials.decide(denials.max_age() + MS, now),
        Decision::Confirm
    );
    assert!(denials.max_age() < CONFIG_TIME);
}

#[test]
fn after_a_failed_confirmation_requests_are_refused_at_once_for_a_while() {
    let (mut denials, now) = denials();

    denials.record_failure(now);

    assert_eq!(denials.decide(CONFIG_TIME, now + MS), Decision::Refuse);
    assert_eq!(denials.decide(Duration::ZERO, now + MS), Decision::Deny);
    assert_eq!(
        denials.decide(CONFIG_TIME, now + CONFIG_TIME),
        Decision::Confirm
    );
}

/// A minute of 1,000 requests a second for routes that don't exist, where a confirmation takes 15 ms.
#[test]
fn many_denials_cost_one_confirmation_at_a_time() {
    let (denials, begun) = denials();
    let took = 15 * MS;
    let mut confirmed = begun;
    let mut asked: Option<Instant> = None;
    let (mut calls, mut waited) = (0, 0);

    for n in 0..60_000 {
        let now = begun + n * MS;
        if let Some(since) = asked.take_if(|since| now >= *since + took) {
            confirmed = since;
        }
        let age = now.saturating_duration_since(confirmed);
        if denials.decide(age, now) == Decision::Confirm {
            waited += 1;
            if asked.is_none() {
                asked = Some(now);
                calls += 1;
            }
        }
    }

    let most = 60_000 / denials.max_age().as_millis() as u32;
    assert!(calls <= most, "{calls} calls, at most {most}");
    assert!(waited <= calls * 16, "{waited} requests waited for them");
}

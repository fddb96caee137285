//! When a replica may deny, and the cost of requests for unknown routes.

use std::time::{Duration, Instant};

use decide::denial::{Decision, DenialPolicy};

const CONFIG_TIME: Duration = Duration::from_secs(2);

const MS: Duration = Duration::from_millis(1);

fn policy() -> (DenialPolicy, Instant) {
    (DenialPolicy::new(CONFIG_TIME), Instant::now())
}

#[test]
fn replica_denies_only_with_recent_confirmation() {
    let (policy, now) = policy();

    assert_eq!(policy.decide(Duration::ZERO, now), Decision::Deny);
    assert_eq!(policy.decide(policy.max_age(), now), Decision::Deny);
    assert_eq!(policy.decide(policy.max_age() + MS, now), Decision::Confirm);
    assert!(policy.max_age() < CONFIG_TIME);
}

#[test]
fn requests_are_refused_at_once_after_failed_confirmation() {
    let (mut policy, now) = policy();

    policy.record_failure(now);

    assert_eq!(policy.decide(CONFIG_TIME, now + MS), Decision::Refuse);
    assert_eq!(policy.decide(Duration::ZERO, now + MS), Decision::Deny);
    assert_eq!(
        policy.decide(CONFIG_TIME, now + CONFIG_TIME),
        Decision::Confirm
    );
}

/// One minute of 1,000 requests a second for unknown routes, where a confirmation takes 15 ms.
#[test]
fn many_denials_share_one_confirmation_at_a_time() {
    let (policy, start) = policy();
    let latency = 15 * MS;
    let mut confirmed = start;
    let mut pending: Option<Instant> = None;
    let (mut calls, mut waited) = (0, 0);

    for n in 0..60_000 {
        let now = start + n * MS;
        if let Some(since) = pending.take_if(|since| now >= *since + latency) {
            confirmed = since;
        }
        let age = now.saturating_duration_since(confirmed);
        if policy.decide(age, now) == Decision::Confirm {
            waited += 1;
            if pending.is_none() {
                pending = Some(now);
                calls += 1;
            }
        }
    }

    let max = 60_000 / policy.max_age().as_millis() as u32;
    assert!(calls <= max, "{calls} calls, at most {max}");
    assert!(waited <= calls * 16, "{waited} requests waited for them");
}

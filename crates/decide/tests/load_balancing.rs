//! Choice of upstreams by cost, and full upstreams.

use std::time::Duration;

use decide::DeadlineClass;
use decide::load_balancing::{Candidate, Requirements};

fn requirements(deadline_class: DeadlineClass) -> Requirements {
    Requirements {
        deadline_class,
        objective: Duration::from_millis(400),
        prompt_rate: Some(30_000.0),
        expected_tokens: 120,
        is_only_gateway: false,
    }
}

fn idle() -> Candidate {
    Candidate {
        slots: 16,
        requests: 0,
        unread: 0,
        own_unread: 0,
        is_far: false,
        leaves_in: None,
    }
}

fn running(requests: u32) -> Candidate {
    Candidate { requests, ..idle() }
}

#[test]
fn least_loaded_wins_then_own_failure_domain() {
    let requirements = requirements(DeadlineClass::OnTime);
    let far = Candidate {
        is_far: true,
        ..running(3)
    };

    let cost = |candidate| requirements.cost(&candidate).expect("free capacity");

    assert!(cost(running(3)) < cost(running(4)));
    assert!(cost(running(4)) < cost(far));
    assert!(cost(far) < cost(running(8)));
}

#[test]
fn engine_is_full_by_slots_or_unread_prompts() {
    let requirements = requirements(DeadlineClass::OnTime);
    let unread = |unread| Candidate { unread, ..idle() };
    let own = Candidate {
        own_unread: 1,
        unread: 1,
        ..idle()
    };

    assert!(requirements.cost(&running(15)).is_some());
    assert!(requirements.cost(&running(16)).is_none());
    assert!(requirements.cost(&unread(2_900)).is_some());
    assert!(requirements.cost(&unread(3_100)).is_none());
    assert!(requirements.cost(&own).is_none());
    assert!(
        Requirements {
            is_only_gateway: true,
            ..requirements
        }
        .cost(&own)
        .is_some()
    );
}

#[test]
fn late_requests_leave_slots_for_on_time_requests() {
    let (on_time, late) = (
        requirements(DeadlineClass::OnTime),
        requirements(DeadlineClass::Late),
    );

    assert!(late.cost(&running(13)).is_some());
    assert!(late.cost(&running(14)).is_none());
    assert!(on_time.cost(&running(14)).is_some());
}

#[test]
fn plain_service_accepts_twice_its_slots_from_late_requests_too() {
    let plain = Requirements {
        prompt_rate: None,
        ..requirements(DeadlineClass::Late)
    };
    let with = |requests| Candidate {
        slots: 6,
        ..running(requests)
    };

    assert!(plain.cost(&with(11)).is_some());
    assert!(plain.cost(&with(12)).is_none());
}

#[test]
fn engine_that_leaves_before_completion_comes_last() {
    let requirements = requirements(DeadlineClass::OnTime);
    let leaving = Candidate {
        leaves_in: Some(Duration::from_millis(500)),
        ..running(2)
    };
    let later = Candidate {
        leaves_in: Some(Duration::from_secs(5)),
        ..running(2)
    };

    assert!(requirements.cost(&leaving) > requirements.cost(&running(5)));
    assert_eq!(requirements.cost(&later), requirements.cost(&running(2)));
}

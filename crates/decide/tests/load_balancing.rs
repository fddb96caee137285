//! Which upstream a request goes to, and which is full.

use std::time::Duration;

use decide::DeadlineClass;
use decide::load_balancing::{Candidate, Requirements};

fn ask(deadline_class: DeadlineClass) -> Requirements {
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
fn the_least_loaded_goes_first_then_the_own_failure_domain() {
    let ask = ask(DeadlineClass::OnTime);
    let far = Candidate {
        is_far: true,
        ..running(3)
    };

    let weight = |candidate| ask.cost(&candidate).expect("room");

    assert!(weight(running(3)) < weight(running(4)));
    assert!(weight(running(4)) < weight(far));
    assert!(weight(far) < weight(running(8)));
}

#[test]
fn an_engine_is_full_by_its_slots_or_by_prompts_that_wait_to_be_read() {
    let ask = ask(DeadlineClass::OnTime);
    let unread = |unread| Candidate { unread, ..idle() };
    let own = Candidate {
        own_unread: 1,
        unread: 1,
        ..idle()
    };

    assert!(ask.cost(&running(15)).is_some());
    assert!(ask.cost(&running(16)).is_none());
    assert!(ask.cost(&unread(2_900)).is_some());
    assert!(ask.cost(&unread(3_100)).is_none());
    assert!(ask.cost(&own).is_none());
    assert!(
        Requirements {
            is_only_gateway: true,
            ..ask
        }
        .cost(&own)
        .is_some()
    );
}

#[test]
fn late_requests_leave_slots_for_those_that_can_be_in_time() {
    let (timely, late) = (ask(DeadlineClass::OnTime), ask(DeadlineClass::Late));

    assert!(late.cost(&running(13)).is_some());
    assert!(late.cost(&running(14)).is_none());
    assert!(timely.cost(&running(14)).is_some());
}

#[test]
fn a_plain_service_takes_twice_its_slots_from_late_requests_too() {
    let plain = Requirements {
        prompt_rate: None,
        ..ask(DeadlineClass::Late)
    };
    let with = |requests| Candidate {
        slots: 6,
        ..running(requests)
    };

    assert!(plain.cost(&with(11)).is_some());
    assert!(plain.cost(&with(12)).is_none());
}

#[test]
fn an_engine_that_leaves_before_the_request_would_end_comes_last() {
    let ask = ask(DeadlineClass::OnTime);
    let leaving = Candidate {
        leaves_in: Some(Duration::from_millis(500)),
        ..running(2)
    };
    let later = Candidate {
        leaves_in: Some(Duration::from_secs(5)),
        ..running(2)
    };

    assert!(ask.cost(&leaving) > ask.cost(&running(5)));
    assert_eq!(ask.cost(&later), ask.cost(&running(2)));
}

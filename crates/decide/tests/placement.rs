//! Which upstream a request goes to, and which is full.

use std::time::Duration;

use decide::Standing;
use decide::placement::{Ask, Candidate};

fn ask(standing: Standing) -> Ask {
    Ask {
        standing,
        objective: Duration::from_millis(400),
        prompt_rate: Some(30_000.0),
        tokens: 120,
        alone: false,
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
    let ask = ask(Standing::Timely);
    let far = Candidate {
        is_far: true,
        ..running(3)
    };

    let weight = |candidate| ask.weight(&candidate).expect("room");

    assert!(weight(running(3)) < weight(running(4)));
    assert!(weight(running(4)) < weight(far));
    assert!(weight(far) < weight(running(8)));
}

#[test]
fn an_engine_is_full_by_its_slots_or_by_prompts_that_wait_to_be_read() {
    let ask = ask(Standing::Timely);
    let unread = |unread| Candidate { unread, ..idle() };
    let own = Candidate {
        own_unread: 1,
        unread: 1,
        ..idle()
    };

    assert!(ask.weight(&running(15)).is_some());
    assert!(ask.weight(&running(16)).is_none());
    assert!(ask.weight(&unread(2_900)).is_some());
    assert!(ask.weight(&unread(3_100)).is_none());
    assert!(ask.weight(&own).is_none());
    assert!(Ask { alone: true, ..ask }.weight(&own).is_some());
}

#[test]
fn late_requests_leave_slots_for_those_that_can_be_in_time() {
    let (timely, late) = (ask(Standing::Timely), ask(Standing::Late));

    assert!(late.weight(&running(13)).is_some());
    assert!(late.weight(&running(14)).is_none());
    assert!(timely.weight(&running(14)).is_some());
}

#[test]
fn a_plain_service_takes_twice_its_slots_from_late_requests_too() {
    let plain = Ask {
        prompt_rate: None,
        ..ask(Standing::Late)
    };
    let with = |requests| Candidate {
        slots: 6,
        ..running(requests)
    };

    assert!(plain.weight(&with(11)).is_some());
    assert!(plain.weight(&with(12)).is_none());
}

#[test]
fn an_engine_that_leaves_before_the_request_would_end_comes_last() {
    let ask = ask(Standing::Timely);
    let leaving = Candidate {
        leaves_in: Some(Duration::from_millis(500)),
        ..running(2)
    };
    let later = Candidate {
        leaves_in: Some(Duration::from_secs(5)),
        ..running(2)
    };

    assert!(ask.weight(&leaving) > ask.weight(&running(5)));
    assert_eq!(ask.weight(&later), ask.weight(&running(2)));
}

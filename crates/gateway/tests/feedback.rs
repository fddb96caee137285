//! Feedback of upstreams in their responses, and its updates between gateways.

use std::time::{Duration, Instant};

use base::StoreRevision;
use beacon::RateLimitUpdate;
use gateway::announcements::Scope;
use gateway::feedback::Feedback;
use gateway::request::{Advertised, ResponseMetadata};
use gateway::upstream::{ListedUpstream, Upstream};

fn upstream() -> Upstream {
    Upstream::new(ListedUpstream {
        instance: "i-0".to_owned(),
        service: "llm".to_owned(),
        addr: ([127, 0, 0, 1], 9000).into(),
        domain: "recife".to_owned(),
        slots: 16,
        draining: false,
        cold_for: Duration::ZERO,
        holdings: Vec::new(),
        revision: StoreRevision::new(None, 1),
        start_time: None,
        heartbeats: 1,
    })
}

fn advertising(rate_limit: Advertised<f64>) -> ResponseMetadata {
    ResponseMetadata {
        rate_limit,
        ..ResponseMetadata::default()
    }
}

fn update(upstream: &Upstream, per_1000_s: Option<u64>, ago: Duration) -> RateLimitUpdate {
    RateLimitUpdate {
        incarnation: upstream.incarnation,
        per_1000_s,
        ago,
    }
}

fn rate(feedback: &Feedback, upstream: &Upstream) -> Option<f64> {
    let limit = feedback.current().rate_limit(upstream.incarnation);
    limit.map(|l| l.rate)
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn response_to_earlier_request_does_not_lift_rate_limit() {
    let (feedback, upstream, start) = (Feedback::default(), upstream(), Instant::now());
    feedback.observe(
        &upstream,
        &advertising(Advertised::Value(2.0)),
        start,
        start + SECOND,
    );

    feedback.observe(
        &upstream,
        &advertising(Advertised::Absent),
        start,
        start + 2 * SECOND,
    );
    assert_eq!(rate(&feedback, &upstream), Some(2.0));

    let later = start + 2 * SECOND;
    feedback.observe(
        &upstream,
        &advertising(Advertised::Absent),
        later,
        later + SECOND,
    );
    assert_eq!(rate(&feedback, &upstream), None);
}

#[test]
fn invalid_value_keeps_rate_limit() {
    let (feedback, upstream, start) = (Feedback::default(), upstream(), Instant::now());
    feedback.observe(
        &upstream,
        &advertising(Advertised::Value(2.0)),
        start,
        start,
    );

    let invalid = Advertised::Invalid("many".to_owned());
    feedback.observe(
        &upstream,
        &advertising(invalid),
        start + SECOND,
        start + SECOND,
    );

    assert_eq!(rate(&feedback, &upstream), Some(2.0));
}

#[test]
fn update_of_later_response_wins() {
    let (feedback, upstream, now) = (Feedback::default(), upstream(), Instant::now());
    let now = now + 10 * SECOND;

    feedback.receive(vec![update(&upstream, None, SECOND)], None, now);
    feedback.receive(vec![update(&upstream, Some(3000), 2 * SECOND)], None, now);
    assert_eq!(rate(&feedback, &upstream), None);

    feedback.receive(
        vec![update(&upstream, Some(3000), Duration::ZERO)],
        None,
        now,
    );
    assert_eq!(rate(&feedback, &upstream), Some(3.0));
}

#[test]
fn new_rate_limit_is_sent_everywhere_four_times() {
    let (feedback, upstream, start) = (Feedback::default(), upstream(), Instant::now());
    feedback.observe(
        &upstream,
        &advertising(Advertised::Value(2.0)),
        start,
        start,
    );

    let mut sent = Vec::new();
    let mut next = Some(start);
    while let Some(at) = next {
        let due = feedback.due(at);
        assert_eq!(due.near, due.far);
        sent.extend(due.near);
        next = due.next;
    }

    let rates: Vec<_> = sent.iter().map(|u| u.per_1000_s).collect();
    assert_eq!(rates, [Some(2000); 4]);
}

#[test]
fn readvertised_limit_equals_limit_received_in_thousandths() {
    let (feedback, upstream, start) = (Feedback::default(), upstream(), Instant::now());
    feedback.receive(
        vec![update(&upstream, Some(1333), Duration::ZERO)],
        None,
        start,
    );

    let response = advertising(Advertised::Value(4.0 / 3.0));
    feedback.observe(&upstream, &response, start, start + SECOND);

    assert!(feedback.due(start + SECOND).near.is_empty());
}

#[test]
fn update_of_another_domain_is_relayed_once_within_own_domain() {
    let (feedback, upstream, now) = (Feedback::default(), upstream(), Instant::now());
    let updates = vec![update(&upstream, Some(2000), Duration::ZERO)];

    feedback.receive(updates.clone(), Some(Scope::Near), now);
    let first = feedback.due(now);
    feedback.receive(updates, Some(Scope::Near), now);
    let second = feedback.due(now);

    assert_eq!((first.near.len(), first.far.len()), (1, 0));
    assert!(second.near.is_empty());
}

#[test]
fn purge_retains_limits_of_listed_upstreams() {
    let (feedback, upstream, start) = (Feedback::default(), upstream(), Instant::now());
    feedback.observe(
        &upstream,
        &advertising(Advertised::Value(2.0)),
        start,
        start,
    );
    let later = start + 3600 * SECOND;

    feedback.purge(&[upstream.incarnation].into_iter().collect(), later);
    assert_eq!(rate(&feedback, &upstream), Some(2.0));

    feedback.purge(&base::Set::default(), later);
    assert_eq!(rate(&feedback, &upstream), None);
}

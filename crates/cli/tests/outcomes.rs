//! What callers are told, under kills, freezes, cuts and lost answers.

mod common;

use base::Outcome;
use common::{Sent, Shape, World, row, until};
use http_body_util::BodyExt;
use lab::caller::RequestSpec;
use lab::standin::fault::Faults;
use lab::standin::relay::LinkState;

const MODEL: &str = "changelog";

async fn ready_world(shape: Shape) -> World {
    let replicas = usize::from(shape.engines) * shape.domains;
    let places = ["recife", "fortaleza", "salvador"][..shape.domains].join(";");
    let world = World::start(shape).await;
    let version = world.publish(1, 200_000);
    world.apply(&[row(MODEL, version, &places)]).await;
    world.ready(MODEL, &version.to_string(), replicas).await;
    world
}

fn keyed(marker: &str) -> RequestSpec {
    RequestSpec {
        key: Some(format!("key-{marker}")),
        mark_unsafe: true,
        ..RequestSpec::completion(MODEL, marker)
    }
}

fn slow(ask: RequestSpec) -> RequestSpec {
    RequestSpec { tokens: 400, ..ask }
}

/// Waits until a marker runs somewhere; the VM.
async fn runs_at(world: &World, marker: &str) -> String {
    let found = || {
        let mut engines = world.engines.iter();
        let at = engines.find(|(_, e)| e.ledger().iter().any(|r| r.marker == marker));
        at.map(|(vm, _)| vm.clone())
    };
    until("the request to run", async || found().is_some()).await;
    found().expect("it runs")
}

#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_request_gets_its_own_whole_answer() {
    let world = ready_world(Shape::default()).await;
    let mut sent = Vec::new();
    for i in 0..40 {
        let plain = RequestSpec::completion(MODEL, &format!("whole{i}"));
        let ask = match i % 4 {
            0 => plain,
            1 => RequestSpec {
                stream: true,
                ..plain
            },
            2 => RequestSpec {
                mark_unsafe: true,
                ..plain
            },
            _ => keyed(&format!("whole{i}")),
        };
        sent.push(world.send(i % 2, &ask).await);
    }
    world.check(&sent);
    assert!(
        sent.iter().all(|s| s.reply.outcome == Some(Outcome::Done)),
        "{sent:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_with_the_same_key_gets_the_recorded_answer_from_any_entry() {
    let world = ready_world(Shape {
        domains: 2,
        ..Shape::default()
    })
    .await;
    let ask = keyed("resent");
    let first = world.send(0, &ask).await;
    let again = world.send(1, &ask).await;
    let elsewhere = world.send(2, &ask).await;
    for s in [&first, &again, &elsewhere] {
        assert_eq!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
    }
    assert!(!first.reply.replayed && again.reply.replayed && elsewhere.reply.replayed);
    assert_eq!(first.reply.body, elsewhere.reply.body);
    assert_eq!(world.runs("resent"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused() {
    let world = ready_world(Shape::default()).await;
    let first = world.send(0, &keyed("one")).await;
    let other = RequestSpec {
        key: Some("key-one".into()),
        ..keyed("two")
    };
    let second = world.send(1, &other).await;
    assert_eq!(first.reply.outcome, Some(Outcome::Done));
    assert_eq!(
        (second.reply.status, second.reply.code.as_str()),
        (422, "key_reused")
    );
    assert_eq!(world.runs("two"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn resends_at_the_same_moment_run_once() {
    let world = ready_world(Shape::default()).await;
    let mut sent: Vec<Sent> = Vec::new();
    for i in 0..10 {
        let ask = keyed(&format!("race{i}"));
        let (a, b, c) = tokio::join!(
            world.send(0, &ask),
            world.send(1, &ask),
            world.send(0, &ask)
        );
        sent.extend([a, b, c]);
    }
    world.check(&sent);
    for i in 0..10 {
        assert_eq!(world.runs(&format!("race{i}")), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_in_mid_request_leaves_an_unsafe_one_unknown_and_a_safe_one_done() {
    let mut world = ready_world(Shape::default()).await;
    let (unsafe_ask, safe_ask) = (
        slow(keyed("killed")),
        slow(RequestSpec::completion(MODEL, "saved")),
    );
    let entry = world.entry(0).listen;
    let client = world.client.clone();
    let (u, s) = (unsafe_ask.clone(), safe_ask.clone());
    let c = client.clone();
    let unsafe_task = tokio::spawn(async move { lab::caller::send(&c, entry, &u).await });
    let safe_task = tokio::spawn(async move { lab::caller::send(&client, entry, &s).await });
    let vm = runs_at(&world, "killed").await;
    runs_at(&world, "saved").await;
    world.kill(&vm);
    let reply = unsafe_task.await.expect("answered");
    assert_eq!(reply.outcome, Some(Outcome::Unknown), "{reply:?}");
    let safe = safe_task.await.expect("answered");
    assert_eq!(
        safe.outcome,
        Some(Outcome::Done),
        "{safe:?} {}",
        world.log("recife-entry-1")
    );
    let again = world.send(1, &unsafe_ask).await;
    assert_eq!(again.reply.code, "key_unknown", "{again:?}");
    world.check(&[
        Sent {
            ask: safe_ask,
            reply: safe,
        },
        again,
    ]);
    assert_eq!(world.runs("killed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_in_mid_request_loses_nothing_for_a_caller_with_a_key() {
    let mut world = ready_world(Shape::default()).await;
    let ask = slow(keyed("orphan"));
    let (client, entry, a) = (world.client.clone(), world.entry(0), ask.clone());
    let task = tokio::spawn(async move { lab::caller::send(&client, entry.listen, &a).await });
    runs_at(&world, "orphan").await;
    world.kill(&world.entry(0).vm);
    let reply = task.await.expect("ended");
    assert_eq!(reply.outcome, None, "the connection broke");
    let running = world.send(1, &ask).await;
    let told = [Some(Outcome::Unknown), Some(Outcome::Done)];
    assert!(told.contains(&running.reply.outcome), "{running:?}");
    until("the recorded answer", async || {
        world.send(1, &ask).await.reply.outcome == Some(Outcome::Done)
    })
    .await;
    assert_eq!(world.runs("orphan"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_was_lost_is_settled_by_reading_it_back() {
    let world = ready_world(Shape::default()).await;
    let faults = Faults {
        lose_writes: 1,
        ..Faults::default()
    };
    world.platform.table.faults.set(faults);
    let s = world.send(0, &keyed("lostclaim")).await;
    assert_eq!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
    world.check(&[s]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_was_dropped_is_not_run_and_runs_when_sent_again() {
    let world = ready_world(Shape::default()).await;
    let faults = Faults {
        drop_writes: 1,
        ..Faults::default()
    };
    world.platform.table.faults.set(faults);
    let s = world.send(0, &keyed("dropped")).await;
    assert_eq!(s.reply.outcome, Some(Outcome::NotRun), "{s:?}");
    assert!(s.reply.retry_after.is_some());
    assert_eq!(world.runs("dropped"), 0);
    let again = world.send(1, &keyed("dropped")).await;
    assert_eq!(again.reply.outcome, Some(Outcome::Done), "{again:?}");
    assert_eq!(world.runs("dropped"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_platform_outage_safe_requests_and_those_without_a_key_are_served() {
    let world = ready_world(Shape::default()).await;
    world.platform.table.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    let safe = world.send(0, &RequestSpec::completion(MODEL, "safe")).await;
    let once = RequestSpec {
        mark_unsafe: true,
        ..RequestSpec::completion(MODEL, "once")
    };
    let once = world.send(1, &once).await;
    let keyed = world.send(0, &keyed("refused")).await;
    assert_eq!(safe.reply.outcome, Some(Outcome::Done), "{safe:?}");
    assert_eq!(once.reply.outcome, Some(Outcome::Done), "{once:?}");
    assert_eq!(keyed.reply.code, "no_claim", "{keyed:?}");
    assert!(keyed.reply.retry_after.is_some());
    world.check(&[safe, once, keyed]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_that_thaws_runs_nothing_that_was_given_up_on() {
    let lines = vec!["attempt_timeout: 500ms".to_owned()];
    let world = ready_world(Shape {
        engines: 1,
        entry_lines: lines,
        ..Shape::default()
    })
    .await;
    let vm = world.upstream(0).vm;
    world.signal(&vm, "STOP");
    let mut sent = Vec::new();
    for i in 0..3 {
        sent.push(world.send(i % 2, &keyed(&format!("frozen{i}"))).await);
    }
    for s in &sent {
        assert_ne!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
    }
    world.signal(&vm, "CONT");
    until("the agent to serve again", async || {
        world
            .send(0, &RequestSpec::completion(MODEL, "thawed"))
            .await
            .reply
            .outcome
            == Some(Outcome::Done)
    })
    .await;
    world.check(&sent);
}

/// Begins a long stream, and gives the rest of its body once the first events have come.
async fn begun_stream(world: &World, marker: &str) -> hyper::body::Incoming {
    let body = format!(
        "{{\"model\":\"{MODEL}\",\"prompt\":\"{marker}\",\"stream\":true,\"max_tokens\":2000}}"
    );
    let req = hyper::Request::builder()
        .method("POST")
        .uri("/v1/completions")
        .header(base::header::DEADLINE, "2000")
        .body(web::full(body))
        .expect("a request");
    let to = world.entry(0).listen;
    let res = world
        .client
        .send(to, req, common::PATIENCE)
        .await
        .expect("a head");
    assert_eq!(
        web::header(res.headers(), base::header::OUTCOME),
        Some("unknown")
    );
    let mut body = res.into_body();
    let first = body.frame().await.expect("a frame").expect("whole");
    assert!(first.into_data().expect("data").starts_with(b"data: "));
    body
}

/// What a caller that is cut off in mid stream must read: whole events, no `[DONE]`, and last of
/// all an outcome that says unknown.
async fn ends_unknown(body: hyper::body::Incoming) {
    let rest = web::read_body(body, 1 << 20, common::PATIENCE)
        .await
        .expect("an end");
    let text = String::from_utf8_lossy(&rest).into_owned();
    assert!(!text.contains("[DONE]"), "{text}");
    let mut events: Vec<&str> = text.trim_end().split("\n\n").collect();
    let last = events.pop().expect("a last event");
    assert!(
        last.starts_with("event: outcome\ndata: {\"outcome\":\"unknown\""),
        "{last}"
    );
    let whole = |event: &&str| event.starts_with("data: {") && event.ends_with('}');
    assert!(events.iter().all(whole), "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_that_stalls_in_mid_stream_is_never_passed_off_as_a_whole_answer() {
    let world = ready_world(Shape {
        engines: 1,
        ..Shape::default()
    })
    .await;
    let body = begun_stream(&world, "stalled").await;
    world
        .board
        .set(world.side(0), world.side(0), LinkState::Stalled);
    ends_unknown(body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_in_mid_stream_is_never_passed_off_as_a_whole_answer() {
    let mut world = ready_world(Shape {
        engines: 1,
        ..Shape::default()
    })
    .await;
    let body = begun_stream(&world, "killed").await;
    world.kill(&world.upstream(0).vm);
    ends_unknown(body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_ends_a_safe_run_and_not_an_unsafe_one() {
    let world = ready_world(Shape::default()).await;
    let hang_up = async |ask: RequestSpec| {
        let (client, entry, marker) = (world.client.clone(), world.entry(0), ask.marker.clone());
        let task =
            tokio::spawn(async move { lab::caller::send(&client, entry.listen, &ask).await });
        runs_at(&world, &marker).await;
        task.abort();
    };
    hang_up(slow(RequestSpec::completion(MODEL, "hungsafe"))).await;
    hang_up(slow(keyed("hungkeyed"))).await;
    let running = || {
        world
            .engines
            .values()
            .map(|e| e.state().running)
            .sum::<u32>()
    };
    until("all runs to end", async || running() == 0).await;
    let runs: Vec<_> = world.engines.values().flat_map(|e| e.ledger()).collect();
    let ended = |marker: &str| runs.iter().any(|r| r.marker == marker && r.ended);
    assert!(!ended("hungsafe"), "a safe run is cancelled");
    assert!(ended("hungkeyed"), "an unsafe run goes on and is recorded");
    let again = world.send(1, &slow(keyed("hungkeyed"))).await;
    assert_eq!(again.reply.outcome, Some(Outcome::Done), "{again:?}");
    assert_eq!(world.runs("hungkeyed"), 1);
}

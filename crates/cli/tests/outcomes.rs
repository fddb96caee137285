//! Outcomes that callers are told, under killed and frozen processes, cut links and lost responses.

mod common;

use std::time::Duration;

use base::Outcome;
use common::{Cluster, ClusterSpec, Sent, row, wait_for};
use http_body_util::BodyExt;
use lab::caller::RequestSpec;
use lab::standin::fault::Faults;
use lab::standin::relay::LinkState;

const MODEL: &str = "changelog";

async fn ready_cluster(spec: ClusterSpec) -> Cluster {
    let replicas = usize::from(spec.engines) * spec.domains;
    let places = ["recife", "fortaleza", "salvador"][..spec.domains].join(";");
    let cluster = Cluster::start(spec).await;
    let version = cluster.publish(1, 200_000);
    cluster.apply(&[row(MODEL, version, &places)]).await;
    cluster
        .wait_ready(MODEL, &version.to_string(), replicas)
        .await;
    cluster
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

/// Waits until a request runs at an engine; returns the engine's VM.
async fn wait_running(cluster: &Cluster, marker: &str) -> String {
    let found = || {
        let mut engines = cluster.engines.iter();
        let at = engines.find(|(_, e)| e.ledger().iter().any(|r| r.marker == marker));
        at.map(|(vm, _)| vm.clone())
    };
    wait_for("the request to run", async || found().is_some()).await;
    found().expect("the request runs")
}

#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_request_gets_its_own_complete_response() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
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
        sent.push(cluster.send(i % 2, &ask).await);
    }
    cluster.check_outcomes(&sent);
    assert!(
        sent.iter().all(|s| s.reply.outcome == Some(Outcome::Done)),
        "{sent:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn resend_with_the_same_key_gets_the_recorded_response_from_any_entry() {
    let cluster = ready_cluster(ClusterSpec {
        domains: 2,
        ..ClusterSpec::default()
    })
    .await;
    let ask = keyed("resent");
    let first = cluster.send(0, &ask).await;
    let resent = cluster.send(1, &ask).await;
    let elsewhere = cluster.send(2, &ask).await;
    for s in [&first, &resent, &elsewhere] {
        assert_eq!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
    }
    assert!(!first.reply.replayed && resent.reply.replayed && elsewhere.reply.replayed);
    assert_eq!(first.reply.body, elsewhere.reply.body);
    assert_eq!(cluster.run_count("resent"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_a_key_with_a_different_body() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    let first = cluster.send(0, &keyed("one")).await;
    let other = RequestSpec {
        key: Some("key-one".into()),
        ..keyed("two")
    };
    let second = cluster.send(1, &other).await;
    assert_eq!(first.reply.outcome, Some(Outcome::Done));
    assert_eq!(
        (second.reply.status, second.reply.code.as_str()),
        (422, "key_reused")
    );
    assert_eq!(cluster.run_count("two"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_resends_run_once() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    let mut sent: Vec<Sent> = Vec::new();
    for i in 0..10 {
        let ask = keyed(&format!("race{i}"));
        let (a, b, c) = tokio::join!(
            cluster.send(0, &ask),
            cluster.send(1, &ask),
            cluster.send(0, &ask)
        );
        sent.extend([a, b, c]);
    }
    cluster.check_outcomes(&sent);
    for i in 0..10 {
        assert_eq!(cluster.run_count(&format!("race{i}")), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_during_requests_leaves_the_unsafe_one_unknown_and_the_safe_one_done() {
    let mut cluster = ready_cluster(ClusterSpec::default()).await;
    let (unsafe_ask, safe_ask) = (
        slow(keyed("killed")),
        slow(RequestSpec::completion(MODEL, "saved")),
    );
    let entry = cluster.entry(0).listen;
    let client = cluster.client.clone();
    let (u, s) = (unsafe_ask.clone(), safe_ask.clone());
    let c = client.clone();
    let unsafe_task = tokio::spawn(async move { lab::caller::send(&c, entry, &u).await });
    let safe_task = tokio::spawn(async move { lab::caller::send(&client, entry, &s).await });
    let vm = wait_running(&cluster, "killed").await;
    wait_running(&cluster, "saved").await;
    cluster.kill(&vm);
    let reply = unsafe_task.await.expect("a response");
    assert_eq!(reply.outcome, Some(Outcome::Unknown), "{reply:?}");
    let safe = safe_task.await.expect("a response");
    assert_eq!(
        safe.outcome,
        Some(Outcome::Done),
        "{safe:?} {}",
        cluster.log("recife-entry-1")
    );
    let again = cluster.send(1, &unsafe_ask).await;
    assert_eq!(again.reply.code, "key_unknown", "{again:?}");
    cluster.check_outcomes(&[
        Sent {
            ask: safe_ask,
            reply: safe,
        },
        again,
    ]);
    assert_eq!(cluster.run_count("killed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn response_is_replayed_by_key_after_the_entry_is_killed() {
    let mut cluster = ready_cluster(ClusterSpec::default()).await;
    let ask = slow(keyed("orphan"));
    let (client, entry, a) = (cluster.client.clone(), cluster.entry(0), ask.clone());
    let task = tokio::spawn(async move { lab::caller::send(&client, entry.listen, &a).await });
    wait_running(&cluster, "orphan").await;
    cluster.kill(&cluster.entry(0).vm);
    let reply = task.await.expect("the caller completes");
    assert_eq!(reply.outcome, None, "the connection broke");
    let running = cluster.send(1, &ask).await;
    let permitted = [Some(Outcome::Unknown), Some(Outcome::Done)];
    assert!(permitted.contains(&running.reply.outcome), "{running:?}");
    wait_for("the recorded response", async || {
        cluster.send(1, &ask).await.reply.outcome == Some(Outcome::Done)
    })
    .await;
    assert_eq!(cluster.run_count("orphan"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_with_a_lost_response_is_resolved_by_reading_it_back() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    let faults = Faults {
        lose_writes: 1,
        ..Faults::default()
    };
    cluster.platform.table.faults.set(faults);
    let s = cluster.send(0, &keyed("lostclaim")).await;
    assert_eq!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
    cluster.check_outcomes(&[s]);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_a_dropped_claim_is_not_run_and_runs_on_resend() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    let faults = Faults {
        drop_writes: 1,
        ..Faults::default()
    };
    cluster.platform.table.faults.set(faults);
    let s = cluster.send(0, &keyed("dropped")).await;
    assert_eq!(s.reply.outcome, Some(Outcome::NotRun), "{s:?}");
    assert!(s.reply.retry_after.is_some());
    assert_eq!(cluster.run_count("dropped"), 0);
    let again = cluster.send(1, &keyed("dropped")).await;
    assert_eq!(again.reply.outcome, Some(Outcome::Done), "{again:?}");
    assert_eq!(cluster.run_count("dropped"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_refuses_only_requests_with_a_key() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    cluster.platform.table.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    let safe = cluster
        .send(0, &RequestSpec::completion(MODEL, "safe"))
        .await;
    let once = RequestSpec {
        mark_unsafe: true,
        ..RequestSpec::completion(MODEL, "once")
    };
    let once = cluster.send(1, &once).await;
    let keyed = cluster.send(0, &keyed("refused")).await;
    assert_eq!(safe.reply.outcome, Some(Outcome::Done), "{safe:?}");
    assert_eq!(once.reply.outcome, Some(Outcome::Done), "{once:?}");
    assert_eq!(keyed.reply.code, "no_claim", "{keyed:?}");
    assert!(keyed.reply.retry_after.is_some());
    cluster.check_outcomes(&[safe, once, keyed]);
}

#[tokio::test(flavor = "multi_thread")]
async fn thawed_agent_runs_no_abandoned_request() {
    let lines = vec!["attempt_timeout: 500ms".to_owned()];
    let cluster = ready_cluster(ClusterSpec {
        engines: 1,
        entry_lines: lines,
        ..ClusterSpec::default()
    })
    .await;
    let vm = cluster.upstream(0).vm;
    cluster.signal(&vm, "STOP");
    let mut sent = Vec::new();
    for i in 0..3 {
        // The entry asks the agent what became of the request until this deadline.
        let ask = RequestSpec {
            deadline: Duration::from_secs(2),
            ..keyed(&format!("frozen{i}"))
        };
        sent.push(cluster.send(i % 2, &ask).await);
    }
    for s in &sent {
        assert_ne!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
    }
    cluster.signal(&vm, "CONT");
    wait_for("the agent to serve again", async || {
        cluster
            .send(0, &RequestSpec::completion(MODEL, "thawed"))
            .await
            .reply
            .outcome
            == Some(Outcome::Done)
    })
    .await;
    cluster.check_outcomes(&sent);
}

/// Guards against telling a caller that the outcome of its earlier request is unknown, while the agent that recorded the
/// response only pauses and the caller has time left.
#[tokio::test(flavor = "multi_thread")]
async fn recorded_response_is_replayed_after_a_pause_of_its_agent() {
    let cluster = ready_cluster(ClusterSpec {
        engines: 1,
        ..ClusterSpec::default()
    })
    .await;
    let ask = keyed("paused");
    let first = cluster.send(0, &ask).await;
    let vm = cluster.upstream(0).vm;

    cluster.signal(&vm, "STOP");
    let resume = async {
        tokio::time::sleep(Duration::from_millis(1300)).await;
        cluster.signal(&vm, "CONT");
    };
    let (resent, ()) = tokio::join!(cluster.send(1, &ask), resume);

    assert_eq!(first.reply.outcome, Some(Outcome::Done), "{first:?}");
    assert_eq!(resent.reply.outcome, Some(Outcome::Done), "{resent:?}");
    assert!(resent.reply.replayed);
    assert_eq!(cluster.run_count("paused"), 1);
}

/// Guards against giving up a request that nobody else may run, because its upstream is silent for longer than
/// `attempt_timeout`.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_run_once_is_not_given_up_while_its_upstream_is_silent() {
    let cluster = ready_cluster(ClusterSpec {
        entry_lines: vec!["attempt_timeout: 200ms".to_owned()],
        ..ClusterSpec::default()
    })
    .await;
    let unkeyed = RequestSpec {
        mark_unsafe: true,
        ..RequestSpec::completion(MODEL, "silentonce")
    };

    let keyed = cluster.send(0, &slow(keyed("silentkeyed"))).await;
    let unkeyed = cluster.send(1, &slow(unkeyed)).await;

    assert_eq!(keyed.reply.outcome, Some(Outcome::Done), "{keyed:?}");
    assert_eq!(unkeyed.reply.outcome, Some(Outcome::Done), "{unkeyed:?}");
    assert_eq!(cluster.run_count("silentkeyed"), 1);
    assert_eq!(cluster.run_count("silentonce"), 1);
}

/// Guards against giving up a silent upstream that would have answered: before another one has, or although there is no
/// other one.
#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_is_not_given_up_before_another_one_responds() {
    for engines in [1, 2] {
        let cluster = ready_cluster(ClusterSpec {
            engines,
            entry_lines: vec!["attempt_timeout: 200ms".to_owned()],
            ..ClusterSpec::default()
        })
        .await;

        let sent = cluster
            .send(0, &slow(RequestSpec::completion(MODEL, "silent")))
            .await;

        assert_eq!(sent.reply.outcome, Some(Outcome::Done), "{sent:?}");
        cluster.check_outcomes(&[sent]);
    }
}

/// Guards against waiting for a hung upstream until the deadline while another one is free.
#[tokio::test(flavor = "multi_thread")]
async fn request_to_a_hung_upstream_is_answered_by_another_one() {
    let cluster = ready_cluster(ClusterSpec {
        entry_lines: vec!["attempt_timeout: 200ms".to_owned()],
        agent_lines: vec!["engine_timeout: 30s".to_owned()],
        ..ClusterSpec::default()
    })
    .await;
    let hung = cluster.engines.values().next().expect("an engine");
    hung.faults.set(Faults {
        hang: true,
        ..Faults::default()
    });

    let mut sent = Vec::new();
    for i in 0..6 {
        let ask = RequestSpec::completion(MODEL, &format!("hung{i}"));
        sent.push(cluster.send(i % 2, &ask).await);
    }

    for s in &sent {
        assert_eq!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
    }
    cluster.check_outcomes(&sent);
}

/// Starts a long stream; returns the rest of its body once the first frame has arrived.
async fn start_stream(cluster: &Cluster, marker: &str) -> hyper::body::Incoming {
    let body = format!(
        "{{\"model\":\"{MODEL}\",\"prompt\":\"{marker}\",\"stream\":true,\"max_tokens\":2000}}"
    );
    let req = hyper::Request::builder()
        .method("POST")
        .uri("/v1/completions")
        .header(base::header::DEADLINE, "2000")
        .body(web::full(body))
        .expect("a request");
    let to = cluster.entry(0).listen;
    let res = cluster
        .client
        .send(to, req, common::TIMEOUT)
        .await
        .expect("a response head");
    assert_eq!(
        web::header(res.headers(), base::header::OUTCOME),
        Some("unknown")
    );
    let mut body = res.into_body();
    let first = body
        .frame()
        .await
        .expect("a frame")
        .expect("a complete frame");
    assert!(first.into_data().expect("data").starts_with(b"data: "));
    body
}

/// Asserts that an interrupted stream has only complete events, no `[DONE]`, and a last event with the outcome
/// `unknown`.
async fn assert_ends_unknown(body: hyper::body::Incoming) {
    let rest = web::read_body(body, 1 << 20, common::TIMEOUT)
        .await
        .expect("an end of the stream");
    let text = String::from_utf8_lossy(&rest).into_owned();
    assert!(!text.contains("[DONE]"), "{text}");
    let mut events: Vec<&str> = text.trim_end().split("\n\n").collect();
    let last = events.pop().expect("a last event");
    assert!(
        last.starts_with("event: outcome\ndata: {\"outcome\":\"unknown\""),
        "{last}"
    );
    let is_complete = |event: &&str| event.starts_with("data: {") && event.ends_with('}');
    assert!(events.iter().all(is_complete), "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_over_a_stalled_link_ends_with_outcome_unknown() {
    let cluster = ready_cluster(ClusterSpec {
        engines: 1,
        ..ClusterSpec::default()
    })
    .await;
    let body = start_stream(&cluster, "stalled").await;
    cluster
        .board
        .set(cluster.side(0), cluster.side(0), LinkState::Stalled);
    assert_ends_unknown(body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_killed_agent_ends_with_outcome_unknown() {
    let mut cluster = ready_cluster(ClusterSpec {
        engines: 1,
        ..ClusterSpec::default()
    })
    .await;
    let body = start_stream(&cluster, "killed").await;
    cluster.kill(&cluster.upstream(0).vm);
    assert_ends_unknown(body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_safe_requests_only() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    let disconnect = async |ask: RequestSpec| {
        let (client, entry, marker) =
            (cluster.client.clone(), cluster.entry(0), ask.marker.clone());
        let task =
            tokio::spawn(async move { lab::caller::send(&client, entry.listen, &ask).await });
        wait_running(&cluster, &marker).await;
        task.abort();
    };
    disconnect(slow(RequestSpec::completion(MODEL, "hungsafe"))).await;
    disconnect(slow(keyed("hungkeyed"))).await;
    let running = || {
        cluster
            .engines
            .values()
            .map(|e| e.state().running)
            .sum::<u32>()
    };
    wait_for("all requests to complete", async || running() == 0).await;
    let runs: Vec<_> = cluster.engines.values().flat_map(|e| e.ledger()).collect();
    let completed = |marker: &str| runs.iter().any(|r| r.marker == marker && r.ended);
    assert!(!completed("hungsafe"), "a safe request is cancelled");
    assert!(
        completed("hungkeyed"),
        "an unsafe request completes and is recorded"
    );
    let again = cluster.send(1, &slow(keyed("hungkeyed"))).await;
    assert_eq!(again.reply.outcome, Some(Outcome::Done), "{again:?}");
    assert_eq!(cluster.run_count("hungkeyed"), 1);
}

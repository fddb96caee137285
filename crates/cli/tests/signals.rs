//! Signal handling: SIGHUP reloads the log settings, a repeated SIGTERM changes nothing, and SIGINT during a planned
//! stop exits at once.

mod common;

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

use base::Outcome;
use common::Cluster;
use common::ClusterSpec;
use common::row;
use common::wait_for;
use lab::caller::RequestSpec;

const MODEL: &str = "changelog";

async fn ready_cluster() -> Cluster {
    let spec = ClusterSpec {
        engines: 1,
        agent_lines: vec!["stop_notice: 20s".to_owned()],
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec).await;
    let version = cluster.publish(1, 100_000);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster.wait_ready(MODEL, &version.to_string(), 1).await;
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn sighup_reloads_log_settings_and_ignores_invalid_ones() {
    let cluster = ready_cluster().await;
    let vm = cluster.entry(0).vm;
    cluster.add_settings(&vm, "log_format: json");
    cluster.signal(&vm, "HUP");
    let reloaded = async || {
        cluster
            .log(&vm)
            .contains("the log settings were read again")
    };
    wait_for("the log settings to be reloaded", reloaded).await;
    let json = |line: &str| serde_json::from_str::<serde_json::Value>(line).is_ok();
    assert!(
        cluster.log(&vm).lines().last().is_some_and(json),
        "log lines are JSON after the reload"
    );
    cluster.add_settings(&vm, "log_level: loud");
    cluster.signal(&vm, "HUP");
    let rejected = async || cluster.log(&vm).contains("logs stay as they are");
    wait_for("the invalid settings to be rejected", rejected).await;
    let s = cluster
        .send(0, &RequestSpec::completion(MODEL, "still"))
        .await;
    assert_eq!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn sigint_during_a_planned_stop_exits_without_waiting_for_the_stop_notice() {
    let mut cluster = ready_cluster().await;
    let vm = cluster.upstream(0).vm;
    cluster.signal(&vm, "TERM");
    wait_for("the planned stop to begin", async || {
        cluster.log(&vm).contains("stopping")
    })
    .await;
    cluster.signal(&vm, "INT");
    assert_eq!(
        cluster.wait_exit(&vm).await,
        Some(1),
        "the process exits before `stop_notice` has passed"
    );
    assert!(cluster.log(&vm).contains("ended by SIGINT"));
}

/// Guards against a platform that repeats SIGTERM while a process drains, which would cut the requests in flight.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_sigterm_cuts_no_request_and_the_process_still_ends() {
    let mut cluster = ready_cluster().await;
    let vm = cluster.entry(0).vm;
    let request = RequestSpec {
        tokens: 1000,
        stream: true,
        ..RequestSpec::completion(MODEL, "long")
    };
    let stopping = async {
        wait_for("the request to run", async || {
            cluster.run_count("long") == 1
        })
        .await;
        cluster.signal(&vm, "TERM");
        wait_for("the planned stop to begin", async || {
            cluster.log(&vm).contains("stopping")
        })
        .await;
        for repeated in 1..=3 {
            cluster.signal(&vm, "TERM");
            wait_for("the repeated signal to be handled", async || {
                let log = cluster.log(&vm);
                log.matches("SIGTERM during a planned stop").count() == repeated
            })
            .await;
        }
    };

    let is_done = AtomicBool::new(false);
    let sending = async {
        let sent = cluster.send(0, &request).await;
        is_done.store(true, Relaxed);
        sent
    };
    let stopping = async {
        stopping.await;
        assert!(!is_done.load(Relaxed), "the request outlasts the signals");
    };
    let (sent, ()) = tokio::join!(sending, stopping);

    assert_eq!(sent.reply.outcome, Some(Outcome::Done), "{sent:?}");
    assert_eq!(cluster.wait_exit(&vm).await, Some(0));
}

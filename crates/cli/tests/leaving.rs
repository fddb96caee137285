//! Upstreams that leave, and planned stops of agents and entries.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base::Outcome;
use common::Cluster;
use common::ClusterSpec;
use common::Sent;
use common::row;
use common::wait_for;
use lab::caller::RequestSpec;
use lab::layout::Layout;
use lab::standin::relay::LinkState;
use store::MemberState;

const MODEL: &str = "changelog";

async fn ready_cluster(spec: ClusterSpec) -> Cluster {
    let replicas = usize::from(spec.engines);
    let cluster = Cluster::start(spec).await;
    let version = cluster.publish(1, 200_000);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster
        .wait_ready(MODEL, &version.to_string(), replicas)
        .await;
    cluster
}

/// Returns whether an entry reports an upstream as leaving.
async fn is_seen_leaving(cluster: &Cluster, entry: usize, vm: &str) -> bool {
    let status = cluster.status(&cluster.entry(entry)).await;
    status.is_some_and(|s| s.upstreams.iter().any(|u| u.vm == vm && u.leaving))
}

/// Sends requests, and asserts that all are done and that none ran on the leaving upstream.
async fn assert_served_elsewhere(cluster: &Cluster, vm: &str) {
    let before = cluster.engines[vm].ledger().len();
    let mut sent = Vec::new();
    for i in 0..30 {
        sent.push(
            cluster
                .send(i % 2, &RequestSpec::completion(MODEL, &format!("new{i}")))
                .await,
        );
    }
    assert!(
        sent.iter().all(|s| s.reply.outcome == Some(Outcome::Done)),
        "{sent:?}"
    );
    assert_eq!(
        cluster.engines[vm].ledger().len(),
        before,
        "no new request ran on {vm}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_agent_announces_to_the_entries_that_it_leaves() {
    let lines = vec!["stop_notice: 20s".to_owned()];
    let cluster = ready_cluster(ClusterSpec {
        agent_lines: lines,
        ..ClusterSpec::default()
    })
    .await;
    let vm = cluster.upstream(0).vm;
    // No request is sent before, hence no refusal reports it, and the platform's list doesn't either.
    cluster.signal(&vm, "TERM");
    for entry in 0..2 {
        wait_for("the entry to see the upstream leave", async || {
            is_seen_leaving(&cluster, entry, &vm).await
        })
        .await;
    }
    assert_served_elsewhere(&cluster, &vm).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_list_alone_reports_a_leaving_upstream() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    let vm = cluster.upstream(0).vm;
    // A frozen agent neither announces that it leaves nor refuses requests, and its lease hasn't expired.
    cluster.signal(&vm, "STOP");
    let mut members = cluster.layout.members();
    let leaving = members.iter_mut().find(|m| m.vm == vm).expect("listed");
    leaving.state = MemberState::Leaving;
    cluster.platform.set_members(&members);
    for entry in 0..2 {
        wait_for("the entry to read the list", async || {
            is_seen_leaving(&cluster, entry, &vm).await
        })
        .await;
    }
    assert_served_elsewhere(&cluster, &vm).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_agent_refuses_requests_of_entries_that_do_not_know() {
    let lines = vec!["stop_notice: 20s".to_owned()];
    let cluster = ready_cluster(ClusterSpec {
        agent_lines: lines,
        ..ClusterSpec::default()
    })
    .await;
    let vm = cluster.upstream(0).vm;
    for entry in 0..2 {
        let control = cluster.entry(entry).control;
        cluster.board.set_towards(control, LinkState::Stalled);
    }
    cluster.signal(&vm, "TERM");
    wait_for("the agent to handle the signal", async || {
        cluster.log(&vm).contains("stopping")
    })
    .await;
    for entry in 0..2 {
        assert!(
            !is_seen_leaving(&cluster, entry, &vm).await,
            "the entry doesn't know yet"
        );
    }
    assert_served_elsewhere(&cluster, &vm).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn outdated_platform_list_does_not_restore_a_leaving_upstream() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    let vm = cluster.upstream(0).vm;
    let live = cluster.layout.members();
    let mut leaving = live.clone();
    leaving
        .iter_mut()
        .filter(|m| m.vm == vm)
        .for_each(|m| m.state = MemberState::Leaving);
    cluster.platform.set_members(&leaving);
    let notified = || {
        cluster
            .log(&vm)
            .contains("the platform lists this VM as leaving")
    };
    wait_for("the agent to read the list", async || notified()).await;
    cluster.platform.set_members(&live);
    assert_served_elsewhere(&cluster, &vm).await;
    assert!(is_seen_leaving(&cluster, 0, &vm).await);
}

/// Runs callers until `stop` is set; returns their requests. Each caller rotates over the entries, like a
/// balancer.
async fn callers(client: web::Client, layout: Layout, stop: Arc<AtomicBool>) -> Vec<Sent> {
    let entries = layout.entry_vms();
    let tasks: Vec<_> = (0..6)
        .map(|n| {
            let (client, stop, entries) = (client.clone(), stop.clone(), entries.clone());
            tokio::spawn(async move {
                let mut sent: Vec<Sent> = Vec::new();
                let mut i = n;
                while !stop.load(Ordering::Relaxed) {
                    i += 1;
                    let plain = RequestSpec::completion(MODEL, &format!("rolling-{n}-{i}"));
                    let ask = match i % 3 {
                        0 => RequestSpec {
                            stream: true,
                            tokens: 400,
                            ..plain
                        },
                        1 => RequestSpec {
                            mark_unsafe: true,
                            tokens: 300,
                            ..plain
                        },
                        _ => RequestSpec {
                            key: Some(plain.marker.clone()),
                            tokens: 20,
                            ..plain
                        },
                    };
                    let entry = entries[i % entries.len()].listen;
                    let reply = lab::caller::send(&client, entry, &ask).await;
                    sent.push(Sent { ask, reply });
                }
                sent
            })
        })
        .collect();
    let mut sent = Vec::new();
    for task in tasks {
        sent.extend(task.await.expect("a caller"));
    }
    sent
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restarts_of_agents_and_entries_interrupt_no_request() {
    let mut cluster = ready_cluster(ClusterSpec {
        engines: 3,
        ..ClusterSpec::default()
    })
    .await;
    let version = cluster
        .engines
        .values()
        .next()
        .expect("an engine")
        .state()
        .loaded[0]
        .to_string();
    let stop = Arc::new(AtomicBool::new(false));
    let agents: Vec<String> = cluster
        .layout
        .upstream_vms()
        .into_iter()
        .map(|u| u.vm)
        .collect();
    let entries: Vec<String> = cluster
        .layout
        .entry_vms()
        .into_iter()
        .map(|e| e.vm)
        .collect();
    let (client, layout) = (cluster.client.clone(), cluster.layout.clone());
    let load = tokio::spawn(callers(client, layout, stop.clone()));
    for vm in agents.iter().chain(&entries).chain(&agents) {
        cluster.signal(vm, "TERM");
        assert_eq!(
            cluster.wait_exit(vm).await,
            Some(0),
            "{vm} completes its planned stop"
        );
        cluster.start_vm(vm);
        cluster.wait_ready(MODEL, &version, 3).await;
    }
    stop.store(true, Ordering::Relaxed);
    let sent = load.await.expect("callers");
    cluster.check_outcomes(&sent);
    let connection_refused =
        |s: &&Sent| s.reply.status == 0 && s.reply.outcome == Some(Outcome::NotRun);
    let done = |s: &&Sent| s.reply.outcome == Some(Outcome::Done);
    let other: Vec<_> = sent
        .iter()
        .filter(|s| !done(s) && !connection_refused(s))
        .collect();
    println!(
        "{} requests, {} at a stopped entry's closed port",
        sent.len(),
        sent.iter().filter(connection_refused).count()
    );
    assert!(other.is_empty(), "interrupted: {other:?}");
    assert!(sent.iter().filter(done).count() > 50);
}

//! Upstreams that leave, and planned stops.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base::Outcome;
use common::{Cluster, ClusterSpec, Sent, row, wait_for};
use lab::caller::Ask;
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

async fn leaving_seen(cluster: &Cluster, entry: usize, vm: &str) -> bool {
    let status = cluster.status(&cluster.entry(entry)).await;
    status.is_some_and(|s| s.upstreams.iter().any(|u| u.vm == vm && u.leaving))
}

/// Sends requests and expects each to be done by another upstream than the one that leaves.
async fn served_elsewhere(cluster: &Cluster, vm: &str) {
    let before = cluster.engines[vm].ledger().len();
    let mut sent = Vec::new();
    for i in 0..30 {
        sent.push(
            cluster
                .send(i % 2, &Ask::completion(MODEL, &format!("new{i}")))
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
        "no new work went to {vm}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_stops_tells_the_entries_itself() {
    let lines = vec!["stop_notice: 20s".to_owned()];
    let cluster = ready_cluster(ClusterSpec {
        agent_lines: lines,
        ..ClusterSpec::default()
    })
    .await;
    let vm = cluster.upstream(0).vm;
    // No request is sent before it is seen, so no refusal tells; the platform's list says nothing.
    cluster.signal(&vm, "TERM");
    for entry in 0..2 {
        wait_for("the entry to see it leave", async || {
            leaving_seen(&cluster, entry, &vm).await
        })
        .await;
    }
    served_elsewhere(&cluster, &vm).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platforms_list_alone_tells_of_an_upstream_that_leaves() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    let vm = cluster.upstream(0).vm;
    // A frozen agent neither tells nor refuses, and its lease has not run out.
    cluster.signal(&vm, "STOP");
    let mut members = cluster.layout.members();
    let leaver = members.iter_mut().find(|m| m.vm == vm).expect("listed");
    leaver.state = MemberState::Leaving;
    cluster.platform.set_members(&members);
    for entry in 0..2 {
        wait_for("the entry to read the list", async || {
            leaving_seen(&cluster, entry, &vm).await
        })
        .await;
    }
    served_elsewhere(&cluster, &vm).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_refuses_for_certain_when_nothing_else_tells() {
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
    wait_for("the agent to have taken the signal", async || {
        cluster.log(&vm).contains("stopping")
    })
    .await;
    for entry in 0..2 {
        assert!(
            !leaving_seen(&cluster, entry, &vm).await,
            "nobody has told the entry"
        );
    }
    served_elsewhere(&cluster, &vm).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_goes_back_in_time_brings_no_leaver_back() {
    let cluster = ready_cluster(ClusterSpec::default()).await;
    let vm = cluster.upstream(0).vm;
    let live = cluster.layout.members();
    let mut leaving = live.clone();
    leaving
        .iter_mut()
        .filter(|m| m.vm == vm)
        .for_each(|m| m.state = MemberState::Leaving);
    cluster.platform.set_members(&leaving);
    let told = || {
        cluster
            .log(&vm)
            .contains("the platform lists this VM as leaving")
    };
    wait_for("the agent to be told", async || told()).await;
    cluster.platform.set_members(&live);
    served_elsewhere(&cluster, &vm).await;
    assert!(leaving_seen(&cluster, 0, &vm).await);
}

/// Callers that go on until told to stop, each like a balancer: what meets a closed port is sent
/// to another entry.
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
                    let plain = Ask::completion(MODEL, &format!("rolling-{n}-{i}"));
                    let ask = match i % 3 {
                        0 => Ask {
                            stream: true,
                            tokens: 400,
                            ..plain
                        },
                        1 => Ask {
                            mark_unsafe: true,
                            tokens: 300,
                            ..plain
                        },
                        _ => Ask {
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
async fn rolling_restarts_of_all_agents_and_entries_cut_off_no_request() {
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
    let calling = tokio::spawn(callers(client, layout, stop.clone()));
    for vm in agents.iter().chain(&entries).chain(&agents) {
        cluster.signal(vm, "TERM");
        assert_eq!(
            cluster.wait_exit(vm).await,
            Some(0),
            "{vm} stops as planned"
        );
        cluster.start_vm(vm);
        cluster.wait_ready(MODEL, &version, 3).await;
    }
    stop.store(true, Ordering::Relaxed);
    let sent = calling.await.expect("callers");
    cluster.check_outcomes(&sent);
    let refused = |s: &&Sent| s.reply.status == 0 && s.reply.outcome == Some(Outcome::NotRun);
    let done = |s: &&Sent| s.reply.outcome == Some(Outcome::Done);
    let other: Vec<_> = sent.iter().filter(|s| !done(s) && !refused(s)).collect();
    println!(
        "{} requests, {} at a stopped entry's closed port",
        sent.len(),
        sent.iter().filter(refused).count()
    );
    assert!(other.is_empty(), "cut off: {other:?}");
    assert!(sent.iter().filter(done).count() > 50);
}

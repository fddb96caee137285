//! Upstreams that leave, and planned stops.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base::Outcome;
use common::{Sent, Shape, World, row, until};
use lab::caller::RequestSpec;
use lab::layout::Layout;
use lab::standin::relay::LinkState;
use store::MemberState;

const MODEL: &str = "changelog";

async fn ready_world(shape: Shape) -> World {
    let replicas = usize::from(shape.engines);
    let world = World::start(shape).await;
    let version = world.publish(1, 200_000);
    world.apply(&[row(MODEL, version, "recife")]).await;
    world.ready(MODEL, &version.to_string(), replicas).await;
    world
}

async fn leaving_seen(world: &World, entry: usize, vm: &str) -> bool {
    let status = world.status(&world.entry(entry)).await;
    status.is_some_and(|s| s.upstreams.iter().any(|u| u.vm == vm && u.leaving))
}

/// Sends requests and expects each to be done by another upstream than the one that leaves.
async fn served_elsewhere(world: &World, vm: &str) {
    let before = world.engines[vm].ledger().len();
    let mut sent = Vec::new();
    for i in 0..30 {
        sent.push(
            world
                .send(i % 2, &RequestSpec::completion(MODEL, &format!("new{i}")))
                .await,
        );
    }
    assert!(
        sent.iter().all(|s| s.reply.outcome == Some(Outcome::Done)),
        "{sent:?}"
    );
    assert_eq!(
        world.engines[vm].ledger().len(),
        before,
        "no new work went to {vm}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_stops_tells_the_entries_itself() {
    let lines = vec!["stop_notice: 20s".to_owned()];
    let world = ready_world(Shape {
        agent_lines: lines,
        ..Shape::default()
    })
    .await;
    let vm = world.upstream(0).vm;
    // No request is sent before it is seen, so no refusal tells; the platform's list says nothing.
    world.signal(&vm, "TERM");
    for entry in 0..2 {
        until("the entry to see it leave", async || {
            leaving_seen(&world, entry, &vm).await
        })
        .await;
    }
    served_elsewhere(&world, &vm).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platforms_list_alone_tells_of_an_upstream_that_leaves() {
    let world = ready_world(Shape::default()).await;
    let vm = world.upstream(0).vm;
    // A frozen agent neither tells nor refuses, and its lease has not run out.
    world.signal(&vm, "STOP");
    let mut members = world.layout.members();
    let leaver = members.iter_mut().find(|m| m.vm == vm).expect("listed");
    leaver.state = MemberState::Leaving;
    world.platform.set_members(&members);
    for entry in 0..2 {
        until("the entry to read the list", async || {
            leaving_seen(&world, entry, &vm).await
        })
        .await;
    }
    served_elsewhere(&world, &vm).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_refuses_for_certain_when_nothing_else_tells() {
    let lines = vec!["stop_notice: 20s".to_owned()];
    let world = ready_world(Shape {
        agent_lines: lines,
        ..Shape::default()
    })
    .await;
    let vm = world.upstream(0).vm;
    for entry in 0..2 {
        let control = world.entry(entry).control;
        world.board.set_towards(control, LinkState::Stalled);
    }
    world.signal(&vm, "TERM");
    until("the agent to have taken the signal", async || {
        world.log(&vm).contains("stopping")
    })
    .await;
    for entry in 0..2 {
        assert!(
            !leaving_seen(&world, entry, &vm).await,
            "nobody has told the entry"
        );
    }
    served_elsewhere(&world, &vm).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_list_that_goes_back_in_time_brings_no_leaver_back() {
    let world = ready_world(Shape::default()).await;
    let vm = world.upstream(0).vm;
    let live = world.layout.members();
    let mut leaving = live.clone();
    leaving
        .iter_mut()
        .filter(|m| m.vm == vm)
        .for_each(|m| m.state = MemberState::Leaving);
    world.platform.set_members(&leaving);
    let told = || {
        world
            .log(&vm)
            .contains("the platform lists this VM as leaving")
    };
    until("the agent to be told", async || told()).await;
    world.platform.set_members(&live);
    served_elsewhere(&world, &vm).await;
    assert!(leaving_seen(&world, 0, &vm).await);
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
async fn rolling_restarts_of_all_agents_and_entries_cut_off_no_request() {
    let mut world = ready_world(Shape {
        engines: 3,
        ..Shape::default()
    })
    .await;
    let version = world
        .engines
        .values()
        .next()
        .expect("an engine")
        .state()
        .loaded[0]
        .to_string();
    let stop = Arc::new(AtomicBool::new(false));
    let agents: Vec<String> = world
        .layout
        .upstream_vms()
        .into_iter()
        .map(|u| u.vm)
        .collect();
    let entries: Vec<String> = world.layout.entry_vms().into_iter().map(|e| e.vm).collect();
    let (client, layout) = (world.client.clone(), world.layout.clone());
    let calling = tokio::spawn(callers(client, layout, stop.clone()));
    for vm in agents.iter().chain(&entries).chain(&agents) {
        world.signal(vm, "TERM");
        assert_eq!(world.ended(vm).await, Some(0), "{vm} stops as planned");
        world.start_vm(vm);
        world.ready(MODEL, &version, 3).await;
    }
    stop.store(true, Ordering::Relaxed);
    let sent = calling.await.expect("callers");
    world.check(&sent);
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

//! Whole weights in permitted places, under corruption, cuts, restarts and changes of mind.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base::Outcome;
use common::{Sent, Shape, World, row, until};
use lab::caller::RequestSpec;
use lab::standin::fault::Faults;
use lab::standin::relay::LinkState;

const MODEL: &str = "changelog";
const BYTES: usize = 1_500_000;

/// Versions that any engine ever ran requests with.
fn versions_run(world: &World) -> BTreeSet<String> {
    let runs = world.engines.values().flat_map(|e| e.ledger());
    runs.map(|r| r.version.to_string()).collect()
}

/// Callers at all entries until told to stop; what they sent.
struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<Vec<Sent>>>,
}

impl Load {
    fn start(world: &World, name: &str) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let entries = world.layout.entry_vms();
        let tasks = entries
            .into_iter()
            .map(|e| {
                let (client, stop) = (world.client.clone(), stop.clone());
                let name = format!("{name}-{}", e.vm);
                tokio::spawn(async move {
                    let mut sent = Vec::new();
                    while !stop.load(Ordering::Relaxed) {
                        let i = sent.len();
                        let plain = RequestSpec::completion(MODEL, &format!("{name}-{i}"));
                        let ask = RequestSpec {
                            stream: i % 2 == 0,
                            ..plain
                        };
                        let reply = lab::caller::send(&client, e.listen, &ask).await;
                        sent.push(Sent { ask, reply });
                    }
                    sent
                })
            })
            .collect();
        Load { stop, tasks }
    }

    async fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        let mut sent = Vec::new();
        for task in self.tasks {
            sent.extend(task.await.expect("a caller"));
        }
        sent
    }
}

fn done(sent: &[Sent]) -> usize {
    let done = |s: &&Sent| s.reply.outcome == Some(Outcome::Done);
    sent.iter().filter(done).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn corrupt_and_truncated_chunks_cost_a_refetch_and_never_go_live() {
    let world = World::start(Shape::default()).await;
    let version = world.publish(1, BYTES);
    let faults = Faults {
        corrupt: 5,
        truncate: 5,
        ..Faults::default()
    };
    world.platform.origin.faults.set(faults);
    world.apply(&[row(MODEL, version, "recife")]).await;
    world.ready(MODEL, &version.to_string(), 2).await;
    let left = world.platform.origin.faults.get();
    assert_eq!((left.corrupt, left.truncate), (0, 0), "all faults were met");
    let s = world
        .send(0, &RequestSpec::completion(MODEL, "clean"))
        .await;
    assert_eq!(s.reply.version, version.to_string());
    world.check(&[s]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_to_another_version_and_back_mixes_nothing_and_loses_no_request() {
    let world = World::start(Shape {
        engines: 3,
        ..Shape::default()
    })
    .await;
    let (a, b) = (world.publish(1, BYTES), world.publish(2, BYTES));
    world.apply(&[row(MODEL, a, "recife")]).await;
    world.ready(MODEL, &a.to_string(), 3).await;
    let load = Load::start(&world, "aba");
    world.apply(&[row(MODEL, b, "recife")]).await;
    world.apply(&[row(MODEL, a, "recife")]).await;
    world.apply(&[row(MODEL, b, "recife")]).await;
    world.ready(MODEL, &b.to_string(), 3).await;
    let sent = load.stop().await;
    world.check(&sent);
    for s in sent
        .iter()
        .filter(|s| s.reply.outcome == Some(Outcome::Done))
    {
        let runs: Vec<_> = world.engines.values().flat_map(|e| e.ledger()).collect();
        let run = runs
            .iter()
            .rfind(|r| r.marker == s.ask.marker)
            .expect("it ran");
        assert_eq!(
            run.version.to_string(),
            s.reply.version,
            "the version told is the one it ran with"
        );
    }
    let known = BTreeSet::from([a.to_string(), b.to_string()]);
    assert!(versions_run(&world).is_subset(&known));
    assert!(done(&sent) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_restarts_empty_serves_nothing_until_it_is_whole_again() {
    let world = World::start(Shape {
        engines: 1,
        ..Shape::default()
    })
    .await;
    let version = world.publish(1, BYTES);
    world.apply(&[row(MODEL, version, "recife")]).await;
    world.ready(MODEL, &version.to_string(), 1).await;
    let load = Load::start(&world, "empty");
    let engine = world.engines.values().next().expect("one engine").clone();
    for _ in 0..3 {
        engine.restart();
        until("the engine to be whole again", async || {
            engine.state().loaded.contains(&version)
        })
        .await;
    }
    let sent = load.stop().await;
    world.check(&sent);
    world.ready(MODEL, &version.to_string(), 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_dies_and_comes_back_goes_on_with_what_the_engine_has() {
    let mut world = World::start(Shape::default()).await;
    let version = world.publish(1, BYTES);
    world.apply(&[row(MODEL, version, "recife")]).await;
    world.ready(MODEL, &version.to_string(), 2).await;
    let before = world.platform.origin.weights.stats().bytes;
    let vm = world.upstream(0).vm;
    world.kill(&vm);
    world.start_vm(&vm);
    world.ready(MODEL, &version.to_string(), 2).await;
    assert_eq!(
        world.platform.origin.weights.stats().bytes,
        before,
        "nothing was drawn again"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_in_mid_transfer_ends_it_after_its_restart() {
    let mut world = World::start(Shape::default()).await;
    let version = world.publish(1, 20 * BYTES);
    let slow = Faults {
        delay_ms: 30,
        ..Faults::default()
    };
    world.platform.origin.faults.set(slow);
    world.apply(&[row(MODEL, version, "recife")]).await;
    let vm = world.upstream(0).vm;
    let staged = || {
        world.engines[&vm]
            .state()
            .staged
            .iter()
            .map(|s| s.chunks.len())
            .sum::<usize>()
    };
    until("the transfer to be under way", async || staged() > 3).await;
    world.kill(&vm);
    assert!(
        world.engines[&vm].state().loaded.is_empty(),
        "it was cut in mid transfer"
    );
    world.platform.origin.faults.set(Faults::default());
    world.start_vm(&vm);
    world.ready(MODEL, &version.to_string(), 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_origin_down_after_one_copy_the_others_take_it_from_peers() {
    let mut world = World::start(Shape {
        engines: 3,
        ..Shape::default()
    })
    .await;
    let late: Vec<String> = (1..3).map(|i| world.upstream(i).vm).collect();
    late.iter().for_each(|vm| world.kill(vm));
    let version = world.publish(1, BYTES);
    world.apply(&[row(MODEL, version, "recife")]).await;
    world.ready(MODEL, &version.to_string(), 1).await;
    world.platform.origin.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    world.platform.objects.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    late.iter().for_each(|vm| world.start_vm(vm));
    world.ready(MODEL, &version.to_string(), 3).await;
    assert_eq!(world.platform.origin.weights.stats().bytes, BYTES as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newer_version_in_mid_transfer_drops_the_old_one() {
    let world = World::start(Shape {
        engines: 1,
        ..Shape::default()
    })
    .await;
    let (old, new) = (world.publish(1, 40 * BYTES), world.publish(2, BYTES));
    let slow = Faults {
        delay_ms: 30,
        ..Faults::default()
    };
    world.platform.origin.faults.set(slow);
    world.apply(&[row(MODEL, old, "recife")]).await;
    let engine = world.engines.values().next().expect("one engine");
    until("the old transfer to be under way", async || {
        !engine.state().staged.is_empty()
    })
    .await;
    world.apply(&[row(MODEL, new, "recife")]).await;
    world.ready(MODEL, &new.to_string(), 1).await;
    assert!(!engine.state().loaded.contains(&old));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_place_withdrawn_drops_its_weights_and_refuses_at_once() {
    let world = World::start(Shape {
        domains: 2,
        ..Shape::default()
    })
    .await;
    let version = world.publish(1, BYTES);
    world
        .apply(&[row(MODEL, version, "recife;fortaleza")])
        .await;
    world.ready(MODEL, &version.to_string(), 4).await;
    let edition = world.apply(&[row(MODEL, version, "recife")]).await;
    world.in_force(edition.revision).await;
    let before = versions_and_runs(&world, "fortaleza");
    for i in 0..10 {
        let here = world
            .send(0, &RequestSpec::completion(MODEL, &format!("here{i}")))
            .await;
        let there = world
            .send(2, &RequestSpec::completion(MODEL, &format!("there{i}")))
            .await;
        assert_eq!(here.reply.ran_in, "recife");
        assert_eq!(
            (there.reply.status, there.reply.code.as_str()),
            (421, "outside_place")
        );
        world.check(&[here, there]);
    }
    assert_eq!(
        versions_and_runs(&world, "fortaleza"),
        before,
        "nothing ran there any more"
    );
    let gone = || {
        let engines = world
            .engines
            .iter()
            .filter(|(vm, _)| vm.starts_with("fortaleza"));
        engines.clone().all(|(_, e)| e.state().loaded.is_empty())
    };
    until("the weights to be dropped", async || gone()).await;
}

fn versions_and_runs(world: &World, domain: &str) -> usize {
    let engines = world
        .engines
        .iter()
        .filter(|(vm, _)| vm.starts_with(domain));
    engines.map(|(_, e)| e.ledger().len()).sum()
}

/// With one of the two guards off, the other holds, and says so by its own code.
async fn one_guard_holds(entry_line: &str, agent_line: &str, code: &str) {
    let shape = Shape {
        domains: 2,
        entry_lines: vec![entry_line.to_owned(), "retry_budget: 100".to_owned()],
        agent_lines: vec![agent_line.to_owned()],
        ..Shape::default()
    };
    let world = World::start(shape).await;
    let version = world.publish(1, BYTES);
    world.apply(&[row(MODEL, version, "recife")]).await;
    let ready = async || {
        world
            .send(0, &RequestSpec::completion(MODEL, "probe"))
            .await
            .reply
            .outcome
            == Some(Outcome::Done)
    };
    until("the permitted place to serve", ready).await;
    let known = async || {
        let status = world.status(&world.entry(2)).await;
        let open = tokio::net::TcpStream::connect(world.entry(2).listen)
            .await
            .is_ok();
        open && status.is_some_and(|s| s.remote.len() == 2)
    };
    until("the other place to know of its replicas", known).await;
    for i in 0..10 {
        let s = world
            .send(2, &RequestSpec::completion(MODEL, &format!("outside{i}")))
            .await;
        assert_eq!(s.reply.outcome, Some(Outcome::NotRun), "{s:?}");
        assert_eq!(s.reply.code, code, "{s:?}");
        assert_eq!(world.runs(&s.ask.marker), 0);
    }
    assert_eq!(versions_and_runs(&world, "fortaleza"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_entries_guard_off_the_agents_keep_requests_in_their_place() {
    one_guard_holds("check_places: false", "check_places: true", "all_refused").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_agents_guard_off_the_entries_keep_requests_in_their_place() {
    one_guard_holds("check_places: true", "check_places: false", "outside_place").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn weights_go_to_no_agent_of_a_place_that_is_not_permitted() {
    let world = World::start(Shape {
        domains: 2,
        ..Shape::default()
    })
    .await;
    let version = world.publish(1, BYTES);
    world.apply(&[row(MODEL, version, "recife")]).await;
    let live = || {
        let engines = world
            .engines
            .iter()
            .filter(|(vm, _)| vm.starts_with("recife"));
        engines
            .clone()
            .all(|(_, e)| e.state().loaded.contains(&version))
    };
    until("the permitted place to hold the weights", async || live()).await;
    let peer = world.layout.listen_addr(world.upstream(0).peer);
    for (domain, status) in [("recife", 200), ("fortaleza", 403), ("", 403)] {
        let req = hyper::Request::builder()
            .uri(format!("/chunk/{version}/0"))
            .header(base::header::DOMAIN, domain)
            .body(web::empty())
            .expect("a request");
        let res = world
            .client
            .send(peer, req, common::PATIENCE)
            .await
            .expect("answered");
        assert_eq!(res.status().as_u16(), status, "asked from {domain:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_ends_though_a_domain_is_cut_off_for_a_while() {
    let world = World::start(Shape {
        domains: 2,
        engines: 2,
        agent_lines: vec!["origin_patience: 1s".to_owned()],
        ..Shape::default()
    })
    .await;
    let version = world.publish(1, 10 * BYTES);
    world.platform.origin.faults.set(Faults {
        delay_ms: 10,
        ..Faults::default()
    });
    world
        .apply(&[row(MODEL, version, "recife;fortaleza")])
        .await;
    let begun = || world.engines.values().any(|e| !e.state().staged.is_empty());
    until("the rollout to be under way", async || begun()).await;
    world
        .board
        .set(world.side(0), world.side(1), LinkState::Cut);
    let there = || {
        let engines = world
            .engines
            .iter()
            .filter(|(vm, _)| vm.starts_with("fortaleza"));
        engines
            .clone()
            .all(|(_, e)| e.state().loaded.contains(&version))
    };
    until("the domain that is cut off to be ready", async || there()).await;
    world.board.heal();
    world.ready(MODEL, &version.to_string(), 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_fenced_out_by_a_later_one_gives_no_more_orders() {
    for enforces_fencing in [true, false] {
        let shape = Shape {
            engines: 1,
            agent_lines: vec![format!("fencing: {enforces_fencing}")],
            behaviour: lab::standin::engine::Behaviour {
                enforces_fencing,
                ..Default::default()
            },
            ..Shape::default()
        };
        let mut world = World::start(shape).await;
        let (a, b) = (world.publish(1, BYTES), world.publish(2, BYTES));
        world.apply(&[row(MODEL, a, "recife")]).await;
        world.ready(MODEL, &a.to_string(), 1).await;
        let vm = world.upstream(0).vm;
        world.signal(&vm, "STOP");
        let second = second_agent(&world);
        world.start_vm(&second);
        world.apply(&[row(MODEL, b, "recife")]).await;
        let engine = world.engines[&vm].clone();
        let switched = || engine.state().loaded == vec![b];
        until("the later agent to bring the new version in", async || {
            switched()
        })
        .await;
        world.signal(&vm, "CONT");
        until("the earlier agent to give way", async || {
            world.log(&vm).contains("another agent runs this VM")
        })
        .await;
        world.apply(&[row(MODEL, a, "recife")]).await;
        until(
            "the later agent to bring the old version back",
            async || engine.state().loaded == vec![a],
        )
        .await;
        let s = world
            .send(0, &RequestSpec::completion(MODEL, "after"))
            .await;
        world.check(&[s]);
    }
}

/// Settings of a second agent for the first upstream, on addresses of its own.
fn second_agent(world: &World) -> String {
    let first = world.upstream(0);
    let text =
        std::fs::read_to_string(world.path(&format!("{}.yaml", first.vm))).expect("settings");
    let other = |s: String, port: u16| {
        let from = std::net::SocketAddr::new(first.listen.ip(), port);
        let to = std::net::SocketAddr::new(first.listen.ip(), port + 40);
        s.replace(&from.to_string(), &to.to_string())
    };
    let text = [18180, 18181, 8182].into_iter().fold(text, other);
    let advertised = |l: &&str| !l.contains("_advertised");
    let text: Vec<&str> = text.lines().filter(advertised).collect();
    world.write(&format!("{}-b.yaml", first.vm), &text.join("\n"));
    format!("{}-b", first.vm)
}

//! Weights are complete and only in permitted places, under corrupt chunks, cut links, restarts and reverted
//! edits.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use base::Outcome;
use common::Cluster;
use common::ClusterSpec;
use common::Sent;
use common::row;
use common::wait_for;
use lab::caller::RequestSpec;
use lab::standin::fault::Faults;
use lab::standin::relay::LinkState;

const MODEL: &str = "changelog";
const BYTES: usize = 1_500_000;

/// Returns the versions with which engines have run requests.
fn versions_run(cluster: &Cluster) -> BTreeSet<String> {
    let runs = cluster.engines.values().flat_map(|e| e.ledger());
    runs.map(|r| r.version.to_string()).collect()
}

/// Callers that send requests to all entries until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<Vec<Sent>>>,
}

impl Load {
    fn start(cluster: &Cluster, name: &str) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let entries = cluster.layout.entry_vms();
        let tasks = entries
            .into_iter()
            .map(|e| {
                let (client, stop) = (cluster.client.clone(), stop.clone());
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

    /// Stops the callers; returns their requests.
    async fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        let mut sent = Vec::new();
        for task in self.tasks {
            sent.extend(task.await.expect("a caller"));
        }
        sent
    }
}

/// Returns the number of requests with the outcome `done`.
fn count_done(sent: &[Sent]) -> usize {
    let is_done = |s: &&Sent| s.reply.outcome == Some(Outcome::Done);
    sent.iter().filter(is_done).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn corrupt_and_truncated_chunks_are_fetched_again_and_never_go_live() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let version = cluster.publish(1, BYTES);
    let faults = Faults {
        corrupt: 5,
        truncate: 5,
        ..Faults::default()
    };
    cluster.platform.origin.faults.set(faults);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster.wait_ready(MODEL, &version.to_string(), 2).await;
    let remaining = cluster.platform.origin.faults.get();
    assert_eq!(
        (remaining.corrupt, remaining.truncate),
        (0, 0),
        "all faults occurred"
    );
    let s = cluster
        .send(0, &RequestSpec::completion(MODEL, "clean"))
        .await;
    assert_eq!(s.reply.version, version.to_string());
    cluster.check_outcomes(&[s]);
}

#[tokio::test(flavor = "multi_thread")]
async fn switching_versions_under_load_mixes_no_versions_and_loses_no_request() {
    let cluster = Cluster::start(ClusterSpec {
        engines: 3,
        ..ClusterSpec::default()
    })
    .await;
    let (a, b) = (cluster.publish(1, BYTES), cluster.publish(2, BYTES));
    cluster.apply(&[row(MODEL, a, "recife")]).await;
    cluster.wait_ready(MODEL, &a.to_string(), 3).await;
    let load = Load::start(&cluster, "aba");
    cluster.apply(&[row(MODEL, b, "recife")]).await;
    cluster.apply(&[row(MODEL, a, "recife")]).await;
    cluster.apply(&[row(MODEL, b, "recife")]).await;
    cluster.wait_ready(MODEL, &b.to_string(), 3).await;
    let sent = load.stop().await;
    cluster.check_outcomes(&sent);
    for s in sent
        .iter()
        .filter(|s| s.reply.outcome == Some(Outcome::Done))
    {
        let runs: Vec<_> = cluster.engines.values().flat_map(|e| e.ledger()).collect();
        let run = runs
            .iter()
            .rfind(|r| r.marker == s.ask.marker)
            .expect("a run in the ledger");
        assert_eq!(
            run.version.to_string(),
            s.reply.version,
            "the reported version is the one that the request ran with"
        );
    }
    let known = BTreeSet::from([a.to_string(), b.to_string()]);
    assert!(versions_run(&cluster).is_subset(&known));
    assert!(count_done(&sent) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_engine_serves_nothing_until_its_weights_are_complete() {
    let cluster = Cluster::start(ClusterSpec {
        engines: 1,
        ..ClusterSpec::default()
    })
    .await;
    let version = cluster.publish(1, BYTES);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster.wait_ready(MODEL, &version.to_string(), 1).await;
    let load = Load::start(&cluster, "empty");
    let engine = cluster.engines.values().next().expect("one engine").clone();
    for _ in 0..3 {
        engine.restart();
        wait_for("the engine's weights to be complete again", async || {
            engine.state().loaded.contains(&version)
        })
        .await;
    }
    let sent = load.stop().await;
    cluster.check_outcomes(&sent);
    cluster.wait_ready(MODEL, &version.to_string(), 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_agent_keeps_the_weights_loaded_in_the_engine() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    let version = cluster.publish(1, BYTES);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster.wait_ready(MODEL, &version.to_string(), 2).await;
    let before = cluster.platform.origin.weights.stats().bytes;
    let vm = cluster.upstream(0).vm;
    cluster.kill(&vm);
    cluster.start_vm(&vm);
    cluster.wait_ready(MODEL, &version.to_string(), 2).await;
    assert_eq!(
        cluster.platform.origin.weights.stats().bytes,
        before,
        "nothing was fetched from the origin again"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_during_a_transfer_completes_it_after_its_restart() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    let version = cluster.publish(1, 20 * BYTES);
    let slow = Faults {
        delay_ms: 30,
        ..Faults::default()
    };
    cluster.platform.origin.faults.set(slow);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    let vm = cluster.upstream(0).vm;
    let staged = || {
        cluster.engines[&vm]
            .state()
            .staged
            .iter()
            .map(|s| s.chunks.len())
            .sum::<usize>()
    };
    wait_for("the transfer to be under way", async || staged() > 3).await;
    cluster.kill(&vm);
    assert!(
        cluster.engines[&vm].state().loaded.is_empty(),
        "the agent was killed during the transfer"
    );
    cluster.platform.origin.faults.set(Faults::default());
    cluster.start_vm(&vm);
    cluster.wait_ready(MODEL, &version.to_string(), 2).await;
}

/// Guards against a transfer that never ends: chunks that were staged before the restart are missing, and the engine
/// refuses to load the version.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_restarts_while_its_state_cant_be_read_gets_its_weights() {
    let cluster = Cluster::start(ClusterSpec {
        engines: 1,
        ..ClusterSpec::default()
    })
    .await;
    let version = cluster.publish(1, 20 * BYTES);
    cluster.platform.origin.faults.set(Faults {
        delay_ms: 30,
        ..Faults::default()
    });
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    let vm = cluster.upstream(0).vm;
    let engine = cluster.engines[&vm].clone();
    wait_for("the transfer to be under way", async || {
        engine.staged_chunks(&version) > 3
    })
    .await;

    engine.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    wait_for("the agent to miss the engine's state", async || {
        cluster.log(&vm).contains("the engine refused (503")
    })
    .await;
    engine.restart();
    engine.faults.set(Faults::default());
    cluster.platform.origin.faults.set(Faults::default());

    cluster.wait_ready(MODEL, &version.to_string(), 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_fetch_from_a_peer_while_the_origin_is_down() {
    let mut cluster = Cluster::start(ClusterSpec {
        engines: 3,
        ..ClusterSpec::default()
    })
    .await;
    let late: Vec<String> = (1..3).map(|i| cluster.upstream(i).vm).collect();
    late.iter().for_each(|vm| cluster.kill(vm));
    let version = cluster.publish(1, BYTES);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster.wait_ready(MODEL, &version.to_string(), 1).await;
    cluster.platform.origin.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    cluster.platform.objects.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    late.iter().for_each(|vm| cluster.start_vm(vm));
    cluster.wait_ready(MODEL, &version.to_string(), 3).await;
    assert_eq!(cluster.platform.origin.weights.stats().bytes, BYTES as u64);
}

#[tokio::test(flavor = "multi_thread")]
async fn newer_version_cancels_the_transfer_of_the_old_one() {
    let cluster = Cluster::start(ClusterSpec {
        engines: 1,
        ..ClusterSpec::default()
    })
    .await;
    let (old, new) = (cluster.publish(1, 40 * BYTES), cluster.publish(2, BYTES));
    let slow = Faults {
        delay_ms: 30,
        ..Faults::default()
    };
    cluster.platform.origin.faults.set(slow);
    cluster.apply(&[row(MODEL, old, "recife")]).await;
    let engine = cluster.engines.values().next().expect("one engine");
    wait_for("the old transfer to be under way", async || {
        !engine.state().staged.is_empty()
    })
    .await;
    cluster.apply(&[row(MODEL, new, "recife")]).await;
    cluster.wait_ready(MODEL, &new.to_string(), 1).await;
    assert!(!engine.state().loaded.contains(&old));
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_place_drops_its_weights_and_refuses_requests() {
    let cluster = Cluster::start(ClusterSpec {
        domains: 2,
        ..ClusterSpec::default()
    })
    .await;
    let version = cluster.publish(1, BYTES);
    cluster
        .apply(&[row(MODEL, version, "recife;fortaleza")])
        .await;
    cluster.wait_ready(MODEL, &version.to_string(), 4).await;
    let edition = cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster.wait_in_force(edition.revision).await;
    let before = runs_in(&cluster, "fortaleza");
    for i in 0..10 {
        let here = cluster
            .send(0, &RequestSpec::completion(MODEL, &format!("here{i}")))
            .await;
        let there = cluster
            .send(2, &RequestSpec::completion(MODEL, &format!("there{i}")))
            .await;
        assert_eq!(here.reply.ran_in, "recife");
        assert_eq!(
            (there.reply.status, there.reply.code.as_str()),
            (421, "outside_place")
        );
        cluster.check_outcomes(&[here, there]);
    }
    assert_eq!(
        runs_in(&cluster, "fortaleza"),
        before,
        "no further request ran in the withdrawn place"
    );
    let dropped = || {
        let engines = cluster
            .engines
            .iter()
            .filter(|(vm, _)| vm.starts_with("fortaleza"));
        engines.clone().all(|(_, e)| e.state().loaded.is_empty())
    };
    wait_for("the weights to be dropped", async || dropped()).await;
}

/// Returns the number of requests that ran at the engines of a failure domain.
fn runs_in(cluster: &Cluster, domain: &str) -> usize {
    let engines = cluster
        .engines
        .iter()
        .filter(|(vm, _)| vm.starts_with(domain));
    engines.map(|(_, e)| e.ledger().len()).sum()
}

/// Asserts that with one of the two checks of places off, the other refuses requests outside of their place, with
/// its own code.
async fn assert_one_check_suffices(entry_line: &str, agent_line: &str, code: &str) {
    let spec = ClusterSpec {
        domains: 2,
        entry_lines: vec![entry_line.to_owned(), "retry_budget: 100".to_owned()],
        agent_lines: vec![agent_line.to_owned()],
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec).await;
    let version = cluster.publish(1, BYTES);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    let ready = async || {
        cluster
            .send(0, &RequestSpec::completion(MODEL, "probe"))
            .await
            .reply
            .outcome
            == Some(Outcome::Done)
    };
    wait_for("the permitted place to serve", ready).await;
    let known = async || {
        let status = cluster.status(&cluster.entry(2)).await;
        let open = tokio::net::TcpStream::connect(cluster.entry(2).listen)
            .await
            .is_ok();
        open && status.is_some_and(|s| s.remote.len() == 2)
    };
    wait_for("the other place to learn of the replicas", known).await;
    for i in 0..10 {
        let s = cluster
            .send(2, &RequestSpec::completion(MODEL, &format!("outside{i}")))
            .await;
        assert_eq!(s.reply.outcome, Some(Outcome::NotRun), "{s:?}");
        assert_eq!(s.reply.code, code, "{s:?}");
        assert_eq!(cluster.run_count(&s.ask.marker), 0);
    }
    assert_eq!(runs_in(&cluster, "fortaleza"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_keep_requests_in_their_place_without_the_check_of_entries() {
    assert_one_check_suffices("check_places: false", "check_places: true", "all_refused").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_keep_requests_in_their_place_without_the_check_of_agents() {
    assert_one_check_suffices("check_places: true", "check_places: false", "outside_place").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_outside_permitted_places_get_no_weights() {
    let cluster = Cluster::start(ClusterSpec {
        domains: 2,
        ..ClusterSpec::default()
    })
    .await;
    let version = cluster.publish(1, BYTES);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    let live = || {
        let engines = cluster
            .engines
            .iter()
            .filter(|(vm, _)| vm.starts_with("recife"));
        engines
            .clone()
            .all(|(_, e)| e.state().loaded.contains(&version))
    };
    wait_for("the permitted place to load the weights", async || live()).await;
    let peer = cluster.layout.listen_addr(cluster.upstream(0).peer);
    for (domain, status) in [("recife", 200), ("fortaleza", 403), ("", 403)] {
        let req = hyper::Request::builder()
            .uri(format!("/chunk/{version}/0"))
            .header(base::header::DOMAIN, domain)
            .body(web::empty())
            .expect("a request");
        let res = cluster
            .client
            .send(peer, req, common::TIMEOUT)
            .await
            .expect("a response");
        assert_eq!(res.status().as_u16(), status, "requested from {domain:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_completes_while_a_domain_is_cut_off() {
    let cluster = Cluster::start(ClusterSpec {
        domains: 2,
        engines: 2,
        agent_lines: vec!["origin_patience: 1s".to_owned()],
        ..ClusterSpec::default()
    })
    .await;
    let version = cluster.publish(1, 10 * BYTES);
    cluster.platform.origin.faults.set(Faults {
        delay_ms: 10,
        ..Faults::default()
    });
    cluster
        .apply(&[row(MODEL, version, "recife;fortaleza")])
        .await;
    let started = || {
        cluster
            .engines
            .values()
            .any(|e| !e.state().staged.is_empty())
    };
    wait_for("the rollout to be under way", async || started()).await;
    cluster
        .board
        .set(cluster.side(0), cluster.side(1), LinkState::Cut);
    let loaded_in_fortaleza = || {
        let engines = cluster
            .engines
            .iter()
            .filter(|(vm, _)| vm.starts_with("fortaleza"));
        engines
            .clone()
            .all(|(_, e)| e.state().loaded.contains(&version))
    };
    wait_for("the domain that is cut off to be ready", async || {
        loaded_in_fortaleza()
    })
    .await;
    cluster.board.heal();
    cluster.wait_ready(MODEL, &version.to_string(), 4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_fenced_out_by_a_later_one_sends_no_more_orders() {
    for enforces_fencing in [true, false] {
        let spec = ClusterSpec {
            engines: 1,
            agent_lines: vec![format!("fencing: {enforces_fencing}")],
            behaviour: lab::standin::engine::Behaviour {
                enforces_fencing,
                ..Default::default()
            },
            ..ClusterSpec::default()
        };
        let mut cluster = Cluster::start(spec).await;
        let (a, b) = (cluster.publish(1, BYTES), cluster.publish(2, BYTES));
        cluster.apply(&[row(MODEL, a, "recife")]).await;
        cluster.wait_ready(MODEL, &a.to_string(), 1).await;
        let vm = cluster.upstream(0).vm;
        cluster.signal(&vm, "STOP");
        let second = second_agent(&cluster);
        cluster.start_vm(&second);
        cluster.apply(&[row(MODEL, b, "recife")]).await;
        let engine = cluster.engines[&vm].clone();
        let switched = || engine.state().loaded == vec![b];
        wait_for("the later agent to load the new version", async || {
            switched()
        })
        .await;
        cluster.signal(&vm, "CONT");
        wait_for("the earlier agent to detect the later one", async || {
            cluster.log(&vm).contains("another agent runs this VM")
        })
        .await;
        cluster.apply(&[row(MODEL, a, "recife")]).await;
        wait_for(
            "the later agent to load the old version again",
            async || engine.state().loaded == vec![a],
        )
        .await;
        let s = cluster
            .send(0, &RequestSpec::completion(MODEL, "after"))
            .await;
        cluster.check_outcomes(&[s]);
    }
}

/// Writes the settings of a second agent for the first upstream, with its own addresses; returns the agent's name.
fn second_agent(cluster: &Cluster) -> String {
    let first = cluster.upstream(0);
    let text =
        std::fs::read_to_string(cluster.path(&format!("{}.yaml", first.vm))).expect("settings");
    let move_port = |s: String, port: u16| {
        let from = std::net::SocketAddr::new(first.listen.ip(), port);
        let to = std::net::SocketAddr::new(first.listen.ip(), port + 40);
        s.replace(&from.to_string(), &to.to_string())
    };
    let text = [18180, 18181, 8182].into_iter().fold(text, move_port);
    let not_advertised = |l: &&str| !l.contains("_advertised");
    let text: Vec<&str> = text.lines().filter(not_advertised).collect();
    cluster.write(&format!("{}-b.yaml", first.vm), &text.join("\n"));
    format!("{}-b", first.vm)
}

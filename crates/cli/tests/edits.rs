//! Edits of the table: accepted once, in force everywhere, never reverted.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use base::Outcome;
use common::{Shape, World, csv, row, until};
use lab::caller::RequestSpec;
use lab::standin::fault::Faults;
use store::PlatformError;

const MODEL: &str = "changelog";
const VERSION: &str = "service";

fn rows(priority: usize) -> Vec<String> {
    vec![format!(
        "{MODEL},{VERSION},recife,100,,{},serve",
        priority % 10
    )]
}

async fn domains(n: usize) -> World {
    World::start(Shape {
        domains: n,
        engines: 1,
        ..Shape::default()
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_at_once_one_wins_and_the_other_exits_with_3() {
    let world = World::without_processes(Shape::default()).await;
    for round in 0..10 {
        let a = world.write("a.csv", &csv(&rows(round)));
        let b = world.write("b.csv", &csv(&rows(round + 5)));
        let base = round.to_string();
        let apply = |author: &'static str, file: std::path::PathBuf| {
            let args = [
                "table",
                "apply",
                file.to_str().expect("a path"),
                "--base",
                &base,
            ]
            .map(str::to_owned);
            let settings = world.path(&format!("{author}.yaml"));
            std::thread::spawn(move || {
                common::driftnotch()
                    .args(args)
                    .arg("--settings")
                    .arg(settings)
                    .output()
                    .expect("runs")
            })
        };
        let (a, b) = (apply("ana", a), apply("bruno", b));
        let outputs = [a.join().expect("ended"), b.join().expect("ended")];
        let mut codes = outputs.each_ref().map(|o| o.status.code().expect("a code"));
        codes.sort_unstable();
        assert_eq!(codes, [0, 3], "round {round}: {outputs:?}");
        let loser = outputs
            .iter()
            .find(|o| o.status.code() == Some(3))
            .expect("one lost");
        let told = String::from_utf8_lossy(&loser.stderr);
        assert!(
            told.contains("priority from") || told.contains("add"),
            "told what changed: {told}"
        );
    }
    let current = world
        .tables()
        .current(None)
        .await
        .expect("readable")
        .expect("there");
    assert_eq!(current.edition.revision, 10, "one accepted edit a round");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_whose_answer_was_lost_is_accepted_if_it_took_effect_and_never_refused() {
    let world = World::without_processes(Shape::default()).await;
    world.platform.table.faults.set(Faults {
        lose_writes: 1,
        ..Faults::default()
    });
    let edition = world.apply(&rows(1)).await;
    assert_eq!(edition.revision, 1);
    let tables = world.tables();
    let current = tables
        .current(None)
        .await
        .expect("readable")
        .expect("there");
    assert_eq!(current.edition.edit, edition.edit);
    world.platform.table.faults.set(Faults {
        drop_writes: 1,
        ..Faults::default()
    });
    let dropped = tables.apply(&current, csv(&rows(2)), "test").await;
    assert!(
        matches!(dropped, Err(PlatformError::ResponseLost(_))),
        "not known: {dropped:?}"
    );
    let after = tables
        .current(None)
        .await
        .expect("readable")
        .expect("there");
    assert_eq!(after.edition.revision, 1, "nor did it take effect");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_edit_is_in_force_in_every_domain_and_the_times_are_told() {
    let world = domains(3).await;
    world.in_force(0).await;
    let mut times = Vec::new();
    for i in 0..10 {
        let edition = world.apply(&rows(i)).await;
        let accepted = Instant::now();
        world.in_force(edition.revision).await;
        times.push(accepted.elapsed());
    }
    times.sort_unstable();
    println!("in force after: {times:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_cut_from_the_platform_learns_of_an_edit_from_its_neighbours() {
    let world = domains(2).await;
    let first = world.apply(&rows(1)).await;
    world.in_force(first.revision).await;
    world.cut_platform(0);
    let second = world.apply(&rows(2)).await;
    world.in_force(second.revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_cut_from_all_serves_until_the_hold_runs_out_and_status_says_what_is_not_known() {
    let shape = Shape {
        domains: 2,
        engines: 1,
        ..Shape::default()
    };
    let world = World::start(shape).await;
    let version = world.publish(1, 100_000);
    let held =
        |model: &str, hold: &str| format!("{model},{version},recife;fortaleza,100,,5,{hold}");
    let rows = [held("brief", "1500ms"), held("steady", "serve")];
    world.apply(&rows).await;
    world.ready("brief", &version.to_string(), 2).await;
    let ask =
        |model: &str| RequestSpec::completion(model, &format!("cut{:x}", rand::random::<u32>()));
    assert_eq!(
        world.send(0, &ask("brief")).await.reply.outcome,
        Some(Outcome::Done)
    );
    world.cut_platform(0);
    world.cut_neighbours(0);
    let lapsed = async || world.send(0, &ask("brief")).await.reply.code == "hold_lapsed";
    until("the hold to run out", lapsed).await;
    let steady = world.send(0, &ask("steady")).await;
    assert_eq!(steady.reply.outcome, Some(Outcome::Done), "{steady:?}");
    let elsewhere = world.send(2, &ask("brief")).await;
    assert_eq!(
        elsewhere.reply.outcome,
        Some(Outcome::Done),
        "{elsewhere:?}"
    );
    let edition = world.apply(&[held("brief", "1500ms")]).await;
    let fortaleza = async || {
        world
            .status(&world.entry(2))
            .await
            .is_some_and(|s| s.revision == edition.revision)
    };
    until("the other domain to have the edit", fortaleza).await;
    let out = world.operate("ana", &["table", "status", "--json"]);
    let status: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON");
    let by_name = |name: &str| {
        let domains = status["domains"].as_array().expect("a list").clone();
        domains
            .into_iter()
            .find(|d| d["domain"] == name)
            .expect("listed")
    };
    assert_eq!(by_name("recife")["in_force"], false, "{status}");
    assert_eq!(by_name("fortaleza")["in_force"], true, "{status}");
    world.board.heal();
    world.in_force(edition.revision).await;
    let back = async || world.send(0, &ask("brief")).await.reply.outcome == Some(Outcome::Done);
    until("the healed domain to serve again", back).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_process_ever_goes_back_in_revision() {
    let world = domains(2).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = world
        .layout
        .entry_vms()
        .into_iter()
        .map(|e| {
            let (client, stop) = (world.client.clone(), stop.clone());
            tokio::spawn(async move {
                let mut last = 0;
                while !stop.load(Ordering::Relaxed) {
                    let req = hyper::Request::builder()
                        .uri("/status")
                        .body(web::empty())
                        .expect("a request");
                    let Ok(res) = client.send(e.admin, req, Duration::from_secs(2)).await else {
                        continue;
                    };
                    let Ok(buf) =
                        web::read_body(res.into_body(), 1 << 20, Duration::from_secs(2)).await
                    else {
                        continue;
                    };
                    let status: entry::admin::Status =
                        serde_json::from_slice(&buf).expect("a status");
                    assert!(
                        status.revision >= last,
                        "{} went from {last} to {}",
                        e.vm,
                        status.revision
                    );
                    last = status.revision;
                }
                last
            })
        })
        .collect();
    for i in 0..20 {
        match i % 5 {
            1 => world.cut_platform(0),
            2 => world.platform.table.faults.set(Faults {
                delay_ms: 150,
                ..Faults::default()
            }),
            3 => world.cut_neighbours(1),
            _ => {
                world.board.heal();
                world.platform.table.faults.set(Faults::default());
            }
        }
        world.apply(&rows(i)).await;
    }
    world.board.heal();
    world.platform.table.faults.set(Faults::default());
    world.in_force(20).await;
    stop.store(true, Ordering::Relaxed);
    for watcher in watchers {
        assert_eq!(watcher.await.expect("never back"), 20);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_restarts_in_an_outage_learns_the_edition_from_its_agents() {
    let shape = Shape {
        entries: 1,
        ..Shape::default()
    };
    let mut world = World::start(shape).await;
    let edition = world.apply(&[row(MODEL, VERSION, "recife")]).await;
    world.in_force(edition.revision).await;
    let agents = async || {
        let status = world.status(&world.entry(0)).await;
        status
            .is_some_and(|s| s.upstreams.len() == 2 && s.upstreams.iter().all(|u| u.revision == 1))
    };
    until("both agents to have the edition", agents).await;
    world.platform.table.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    let vm = world.entry(0).vm;
    world.kill(&vm);
    world.start_vm(&vm);
    world.in_force(edition.revision).await;
}

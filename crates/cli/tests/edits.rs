//! Edits of the table: each is accepted once, comes into force everywhere, and is never reverted.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use base::Outcome;
use common::Cluster;
use common::ClusterSpec;
use common::csv;
use common::row;
use common::wait_for;
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

/// Starts a cluster of failure domains with one engine each.
async fn start_domains(n: usize) -> Cluster {
    Cluster::start(ClusterSpec {
        domains: n,
        engines: 1,
        ..ClusterSpec::default()
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_edits_is_accepted_and_the_other_exits_with_3() {
    let cluster = Cluster::without_processes(ClusterSpec::default()).await;
    for round in 0..10 {
        let a = cluster.write("a.csv", &csv(&rows(round)));
        let b = cluster.write("b.csv", &csv(&rows(round + 5)));
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
            let settings = cluster.path(&format!("{author}.yaml"));
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
        let rejected = outputs
            .iter()
            .find(|o| o.status.code() == Some(3))
            .expect("one edit was rejected");
        let message = String::from_utf8_lossy(&rejected.stderr);
        assert!(
            message.contains("priority from") || message.contains("add"),
            "the message names the changes: {message}"
        );
    }
    let current = cluster
        .tables()
        .current(None)
        .await
        .expect("readable")
        .expect("an edition");
    assert_eq!(
        current.edition.revision, 10,
        "one edit is accepted per round"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_with_a_lost_response_is_accepted_if_it_took_effect_and_unknown_otherwise() {
    let cluster = Cluster::without_processes(ClusterSpec::default()).await;
    cluster.platform.table.faults.set(Faults {
        lose_writes: 1,
        ..Faults::default()
    });
    let edition = cluster.apply(&rows(1)).await;
    assert_eq!(edition.revision, 1);
    let tables = cluster.tables();
    let current = tables
        .current(None)
        .await
        .expect("readable")
        .expect("an edition");
    assert_eq!(current.edition.edit, edition.edit);
    cluster.platform.table.faults.set(Faults {
        drop_writes: 1,
        ..Faults::default()
    });
    let dropped = tables.apply(&current, csv(&rows(2)), "test").await;
    assert!(
        matches!(dropped, Err(PlatformError::ResponseLost(_))),
        "unknown outcome: {dropped:?}"
    );
    let after = tables
        .current(None)
        .await
        .expect("readable")
        .expect("an edition");
    assert_eq!(
        after.edition.revision, 1,
        "the dropped edit did not take effect"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_edit_comes_into_force_in_every_domain() {
    let cluster = start_domains(3).await;
    cluster.wait_in_force(0).await;
    let mut times = Vec::new();
    for i in 0..10 {
        let edition = cluster.apply(&rows(i)).await;
        let accepted = Instant::now();
        cluster.wait_in_force(edition.revision).await;
        times.push(accepted.elapsed());
    }
    times.sort_unstable();
    println!("in force after: {times:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn domain_without_the_platform_receives_edits_from_other_domains() {
    let cluster = start_domains(2).await;
    let first = cluster.apply(&rows(1)).await;
    cluster.wait_in_force(first.revision).await;
    cluster.cut_platform(0);
    let second = cluster.apply(&rows(2)).await;
    cluster.wait_in_force(second.revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_domain_serves_until_the_hold_expires_and_status_reports_it_as_unknown() {
    let spec = ClusterSpec {
        domains: 2,
        engines: 1,
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec).await;
    let version = cluster.publish(1, 100_000);
    let row_with_hold =
        |model: &str, hold: &str| format!("{model},{version},recife;fortaleza,100,,5,{hold}");
    let rows = [
        row_with_hold("brief", "1500ms"),
        row_with_hold("steady", "serve"),
    ];
    cluster.apply(&rows).await;
    cluster.wait_ready("brief", &version.to_string(), 2).await;
    let ask =
        |model: &str| RequestSpec::completion(model, &format!("cut{:x}", rand::random::<u32>()));
    assert_eq!(
        cluster.send(0, &ask("brief")).await.reply.outcome,
        Some(Outcome::Done)
    );
    cluster.cut_platform(0);
    cluster.cut_neighbours(0);
    let lapsed = async || cluster.send(0, &ask("brief")).await.reply.code == "hold_lapsed";
    wait_for("the hold to expire", lapsed).await;
    let steady = cluster.send(0, &ask("steady")).await;
    assert_eq!(steady.reply.outcome, Some(Outcome::Done), "{steady:?}");
    let elsewhere = cluster.send(2, &ask("brief")).await;
    assert_eq!(
        elsewhere.reply.outcome,
        Some(Outcome::Done),
        "{elsewhere:?}"
    );
    let edition = cluster.apply(&[row_with_hold("brief", "1500ms")]).await;
    let fortaleza = async || {
        cluster
            .status(&cluster.entry(2))
            .await
            .is_some_and(|s| s.revision == edition.revision)
    };
    wait_for("the other domain to receive the edit", fortaleza).await;
    let out = cluster.run_command("ana", &["table", "status", "--json"]);
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
    cluster.board.heal();
    cluster.wait_in_force(edition.revision).await;
    let recovered =
        async || cluster.send(0, &ask("brief")).await.reply.outcome == Some(Outcome::Done);
    wait_for("the healed domain to serve again", recovered).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn revision_of_an_entry_never_decreases() {
    let cluster = start_domains(2).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = cluster
        .layout
        .entry_vms()
        .into_iter()
        .map(|e| {
            let (client, stop) = (cluster.client.clone(), stop.clone());
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
                        "{} went back from revision {last} to {}",
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
            1 => cluster.cut_platform(0),
            2 => cluster.platform.table.faults.set(Faults {
                delay_ms: 150,
                ..Faults::default()
            }),
            3 => cluster.cut_neighbours(1),
            _ => {
                cluster.board.heal();
                cluster.platform.table.faults.set(Faults::default());
            }
        }
        cluster.apply(&rows(i)).await;
    }
    cluster.board.heal();
    cluster.platform.table.faults.set(Faults::default());
    cluster.wait_in_force(20).await;
    stop.store(true, Ordering::Relaxed);
    for watcher in watchers {
        assert_eq!(watcher.await.expect("the revision never decreases"), 20);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_restarted_in_a_platform_outage_receives_the_edition_from_its_agents() {
    let spec = ClusterSpec {
        entries: 1,
        ..ClusterSpec::default()
    };
    let mut cluster = Cluster::start(spec).await;
    let edition = cluster.apply(&[row(MODEL, VERSION, "recife")]).await;
    cluster.wait_in_force(edition.revision).await;
    let agents = async || {
        let status = cluster.status(&cluster.entry(0)).await;
        status
            .is_some_and(|s| s.upstreams.len() == 2 && s.upstreams.iter().all(|u| u.revision == 1))
    };
    wait_for("both agents to receive the edition", agents).await;
    cluster.platform.table.faults.set(Faults {
        down: true,
        ..Faults::default()
    });
    let vm = cluster.entry(0).vm;
    cluster.kill(&vm);
    cluster.start_vm(&vm);
    cluster.wait_in_force(edition.revision).await;
}

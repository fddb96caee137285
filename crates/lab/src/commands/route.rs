//! Compares policies of choosing an upstream, under load and faults, on real entries and agents.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use base::Outcome;
use lab::caller::{Reply, RequestSpec, send};
use lab::deployment::{Deployment, Plan};
use lab::standin::engine::Behaviour;
use lab::standin::fault::Faults;
use pico_args::Arguments;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::task::JoinSet;
use web::{Client, DialOptions};

use super::{duration, finish};
use crate::LabError;

/// Policies, the shipped one first.
const POLICIES: [&str; 5] = ["prefix", "two", "random", "round-robin", "least-reported"];

const MODEL: &str = "changelog";

/// Upstreams and entries of the one failure domain.
const VMS: usize = 6;
const ENTRIES: u8 = 2;

/// Requests an engine runs at once, and time of its tokens.
const SLOTS: u32 = 8;
const TOKEN: Duration = Duration::from_millis(5);

/// Tokens of an answer.
const TOKENS: u32 = 16;

/// Different prompt prefixes; more than one engine caches.
const PREFIXES: usize = 96;

/// Time before requests are counted.
const WARM_UP: Duration = Duration::from_secs(2);

/// How much slower the slow upstream is.
const SLOW: f64 = 5.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Slow,
    Dead,
    Lag,
    Flap,
    Cut,
}

#[derive(Serialize)]
struct Row {
    policy: &'static str,
    fault: String,
    load: f64,
    sent: usize,
    goodput_s: f64,
    first_p50_ms: f64,
    first_p95_ms: f64,
    first_p99_ms: f64,
    refused: usize,
    unknown: usize,
    wrong: usize,
    prefix_hits: f64,
}

pub async fn run(mut args: Arguments) -> Result<(), LabError> {
    let json = args.contains("--json");
    let policy: String = args.opt_value_from_str("--policy")?.unwrap_or("all".into());
    let load: f64 = args.opt_value_from_str("--load")?.unwrap_or(0.8);
    let fault = fault(args.opt_value_from_str("--fault")?)?;
    let seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let span = duration(&mut args, "--span")?.unwrap_or(Duration::from_secs(8));
    let net: u8 = args.opt_value_from_str("--net")?.unwrap_or(82);
    finish(args)?;
    let chosen: Vec<&'static str> = POLICIES
        .into_iter()
        .filter(|p| policy == "all" || policy == *p)
        .collect();
    if chosen.is_empty() {
        let all = POLICIES.join(", ");
        return Err(LabError::Usage(format!(
            "there is no policy {policy:?}; use {all}, all"
        )));
    }
    let mut rows = Vec::new();
    for (i, policy) in chosen.into_iter().enumerate() {
        rows.push(measure(policy, fault, load, seed, span, net + i as u8).await?);
    }
    match json {
        true => println!("{}", serde_json::to_string(&rows).expect("plain data")),
        false => print(&rows),
    }
    Ok(())
}

fn fault(name: Option<String>) -> Result<Fault, LabError> {
    match name.as_deref() {
        None | Some("none") => Ok(Fault::None),
        Some("slow") => Ok(Fault::Slow),
        Some("dead") => Ok(Fault::Dead),
        Some("lag") => Ok(Fault::Lag),
        Some("flap") => Ok(Fault::Flap),
        Some("cut") => Ok(Fault::Cut),
        Some(other) => Err(LabError::Usage(format!("there is no fault {other:?}"))),
    }
}

/// Requests a second that all engines together can carry, with half of the prefixes cached.
fn capacity() -> f64 {
    let batch = 1.0 + f64::from(SLOTS - 1) * 0.05;
    let one = TOKEN.as_secs_f64() * (5.5 + f64::from(TOKENS - 1) * batch);
    f64::from(SLOTS) / one * VMS as f64
}

async fn measure(
    policy: &'static str,
    fault: Fault,
    load: f64,
    seed: u64,
    span: Duration,
    net: u8,
) -> Result<Row, LabError> {
    let failed = |e: lab::deployment::DeployError| LabError::Failed(e.to_string());
    let heartbeat = if fault == Fault::Lag { "3s" } else { "250ms" };
    let entry_lines = [
        format!("policy: {policy}"),
        "table_poll: 200ms".to_owned(),
        format!("heartbeat: {heartbeat}"),
        "control_budget: 1GiB".to_owned(),
        "slow_start: 0ms".to_owned(),
        "attempt_timeout: 3s".to_owned(),
        format!("upstream_running: {}", SLOTS / u32::from(ENTRIES) + 2),
    ];
    let plan = Plan {
        net,
        domains: 1,
        entries: ENTRIES,
        vms: VMS,
        entry_lines: entry_lines.to_vec(),
        agent_lines: vec!["engine_poll: 100ms".into(), format!("max_running: {SLOTS}")],
        behaviour: Behaviour {
            token: TOKEN,
            slots: SLOTS,
            ..Behaviour::default()
        },
        rates: None,
    };
    let deployment = Deployment::start(&plan).await.map_err(failed)?;
    let version = deployment
        .publish(seed, 64 << 10, 64 << 10)
        .map_err(failed)?;
    deployment
        .apply(&[(MODEL, version)])
        .await
        .map_err(failed)?;
    deployment
        .wait_until_loaded(version, &[])
        .await
        .map_err(failed)?;
    deployment.wait_until_live(MODEL).await.map_err(failed)?;
    let over = Arc::new(AtomicBool::new(false));
    cause(&deployment, fault, over.clone());
    let rate = capacity() * load;
    let hits = |d: &Deployment| d.engines.iter().map(|e| e.engine.cache_hits()).sum::<u64>();
    call_for(&deployment, rate, WARM_UP, seed, "warm").await;
    let (hits_before, begun) = (hits(&deployment), Instant::now());
    let replies = call_for(&deployment, rate, span, seed + 1, "real").await;
    let took = begun.elapsed().as_secs_f64();
    over.store(true, Ordering::Relaxed);
    let hits = hits(&deployment) - hits_before;
    Ok(row(policy, fault, load, &replies, took, hits))
}

/// Causes the fault for as long as the measurement runs.
fn cause(deployment: &Deployment, fault: Fault, over: Arc<AtomicBool>) {
    let victim = deployment.engines[0].clone();
    match fault {
        Fault::None | Fault::Lag => {}
        Fault::Slow => victim.engine.slow_down(SLOW),
        Fault::Dead => deployment.switchboard.disconnect_vm(victim.ip()),
        Fault::Cut => deployment.platform.table.faults.set(Faults {
            down: true,
            ..Faults::default()
        }),
        Fault::Flap => drop(tokio::spawn(async move {
            let mut down = false;
            while !over.load(Ordering::Relaxed) {
                down = !down;
                victim.engine.faults.set(Faults {
                    down,
                    ..Faults::default()
                });
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
        })),
    }
}

/// Streams at a steady rate over all entries, with prompts of few prefixes.
async fn call_for(
    deployment: &Deployment,
    rate: f64,
    span: Duration,
    seed: u64,
    name: &str,
) -> Vec<(RequestSpec, Reply)> {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let entries: Vec<_> = deployment
        .layout
        .entry_vms()
        .iter()
        .map(|e| e.listen)
        .collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let mut calls = JoinSet::new();
    for i in 0..(rate * span.as_secs_f64()) as usize {
        tokio::time::sleep_until((begun + Duration::from_secs_f64(i as f64 / rate)).into()).await;
        // Prefixes are asked for unevenly: the low numbers more often.
        let prefix = (PREFIXES as f64 * rng.random::<f64>().powi(2)) as usize;
        let ask = RequestSpec {
            stream: true,
            tokens: TOKENS,
            deadline: Duration::from_secs(5),
            ..RequestSpec::completion(MODEL, &format!("{name}-prefix-{prefix:04}"))
        };
        let (client, entry) = (client.clone(), entries[i % entries.len()]);
        calls.spawn(async move { (ask.clone(), send(&client, entry, &ask).await) });
    }
    let mut replies = Vec::new();
    while let Some(Ok(reply)) = calls.join_next().await {
        replies.push(reply);
    }
    replies
}

fn row(
    policy: &'static str,
    fault: Fault,
    load: f64,
    replies: &[(RequestSpec, Reply)],
    took: f64,
    hits: u64,
) -> Row {
    let with = |o: Outcome| replies.iter().filter(|(_, r)| r.outcome == Some(o)).count();
    let wrong = replies
        .iter()
        .filter(|(ask, r)| r.mismatch(ask).is_some())
        .count();
    let done = with(Outcome::Done) - wrong;
    let mut first: Vec<f64> = replies
        .iter()
        .filter(|(_, r)| r.outcome == Some(Outcome::Done))
        .map(|(_, r)| r.first_byte.as_secs_f64() * 1e3)
        .collect();
    first.sort_by(f64::total_cmp);
    let at = |q: f64| {
        let i = (first.len().max(1) - 1) as f64 * q;
        first.get(i as usize).copied().unwrap_or(f64::NAN)
    };
    Row {
        policy,
        fault: format!("{fault:?}").to_lowercase(),
        load,
        sent: replies.len(),
        goodput_s: done as f64 / took,
        first_p50_ms: at(0.5),
        first_p95_ms: at(0.95),
        first_p99_ms: at(0.99),
        refused: with(Outcome::NotRun),
        unknown: replies.len() - with(Outcome::Done) - with(Outcome::NotRun),
        wrong,
        prefix_hits: hits as f64 / replies.len().max(1) as f64,
    }
}

fn print(rows: &[Row]) {
    println!(
        "| policy | fault | load | sent | goodput/s | first p50 | p95 | p99 ms | refused | unknown | prefix hits |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for r in rows {
        println!(
            "| {} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {} | {} | {:.0}% |",
            r.policy,
            r.fault,
            r.load,
            r.sent,
            r.goodput_s,
            r.first_p50_ms,
            r.first_p95_ms,
            r.first_p99_ms,
            r.refused,
            r.unknown,
            r.prefix_hits * 100.0
        );
    }
}

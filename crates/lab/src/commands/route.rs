//! Compares load-balancing policies under load and faults, with the real code of entries and agents.

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

/// Load-balancing policies, the default one first.
const POLICIES: [&str; 5] = ["prefix", "two", "random", "round-robin", "least-reported"];

const MODEL: &str = "changelog";

/// Number of upstreams and of entries in the only failure domain.
const VMS: usize = 6;
const ENTRIES: u8 = 2;

/// Maximum number of concurrent requests of an engine, and its time per token.
const SLOTS: u32 = 8;
const TOKEN_TIME: Duration = Duration::from_millis(5);

/// Number of tokens of a response.
const TOKENS: u32 = 16;

/// Number of distinct prompt prefixes, more than fit into the cache of one engine.
const PREFIXES: usize = 96;

/// Warm-up time, in which requests are not counted.
const WARM_UP_TIME: Duration = Duration::from_secs(2);

/// Factor by which the slow upstream is slower.
const SLOWDOWN: f64 = 5.0;

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
    let fault = parse_fault(args.opt_value_from_str("--fault")?)?;
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
        true => println!("{}", serde_json::to_string(&rows).expect("rows serialize")),
        false => print(&rows),
    }
    Ok(())
}

fn parse_fault(name: Option<String>) -> Result<Fault, LabError> {
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

/// Returns the requests per second that all engines can serve together if half of the prompts have
/// a cached prefix.
fn capacity_rps() -> f64 {
    let batch_factor = 1.0 + f64::from(SLOTS - 1) * 0.05;
    let request_s = TOKEN_TIME.as_secs_f64() * (5.5 + f64::from(TOKENS - 1) * batch_factor);
    f64::from(SLOTS) / request_s * VMS as f64
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
            token: TOKEN_TIME,
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
    let done = Arc::new(AtomicBool::new(false));
    inject_fault(&deployment, fault, done.clone());
    let rate = capacity_rps() * load;
    let hits = |d: &Deployment| d.engines.iter().map(|e| e.engine.cache_hits()).sum::<u64>();
    send_streams(&deployment, rate, WARM_UP_TIME, seed, "warm").await;
    let (hits_before, start) = (hits(&deployment), Instant::now());
    let replies = send_streams(&deployment, rate, span, seed + 1, "real").await;
    let elapsed_s = start.elapsed().as_secs_f64();
    done.store(true, Ordering::Relaxed);
    let hits = hits(&deployment) - hits_before;
    Ok(to_row(policy, fault, load, &replies, elapsed_s, hits))
}

/// Injects the fault for the rest of the measurement; a flapping upstream flaps until `done` is set.
fn inject_fault(deployment: &Deployment, fault: Fault, done: Arc<AtomicBool>) {
    let victim = deployment.engines[0].clone();
    match fault {
        Fault::None | Fault::Lag => {}
        Fault::Slow => victim.engine.slow_down(SLOWDOWN),
        Fault::Dead => deployment.switchboard.disconnect_vm(victim.ip()),
        Fault::Cut => deployment.platform.table.faults.set(Faults {
            down: true,
            ..Faults::default()
        }),
        Fault::Flap => drop(tokio::spawn(async move {
            let mut down = false;
            while !done.load(Ordering::Relaxed) {
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

/// Sends streamed requests at a steady rate, spread over all entries, with prompts that share
/// prefixes.
async fn send_streams(
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
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for i in 0..(rate * span.as_secs_f64()) as usize {
        tokio::time::sleep_until((start + Duration::from_secs_f64(i as f64 / rate)).into()).await;
        // The distribution of prefixes is skewed: low numbers are more frequent.
        let prefix = (PREFIXES as f64 * rng.random::<f64>().powi(2)) as usize;
        let spec = RequestSpec {
            stream: true,
            tokens: TOKENS,
            deadline: Duration::from_secs(5),
            ..RequestSpec::completion(MODEL, &format!("{name}-prefix-{prefix:04}"))
        };
        let (client, entry) = (client.clone(), entries[i % entries.len()]);
        calls.spawn(async move { (spec.clone(), send(&client, entry, &spec).await) });
    }
    let mut replies = Vec::new();
    while let Some(Ok(reply)) = calls.join_next().await {
        replies.push(reply);
    }
    replies
}

fn to_row(
    policy: &'static str,
    fault: Fault,
    load: f64,
    replies: &[(RequestSpec, Reply)],
    elapsed_s: f64,
    hits: u64,
) -> Row {
    let count = |o: Outcome| replies.iter().filter(|(_, r)| r.outcome == Some(o)).count();
    let wrong = replies
        .iter()
        .filter(|(spec, r)| r.mismatch(spec).is_some())
        .count();
    let done = count(Outcome::Done) - wrong;
    let mut first_ms: Vec<f64> = replies
        .iter()
        .filter(|(_, r)| r.outcome == Some(Outcome::Done))
        .map(|(_, r)| r.first_byte.as_secs_f64() * 1e3)
        .collect();
    first_ms.sort_by(f64::total_cmp);
    let quantile_ms = |q: f64| {
        let i = (first_ms.len().max(1) - 1) as f64 * q;
        first_ms.get(i as usize).copied().unwrap_or(f64::NAN)
    };
    Row {
        policy,
        fault: format!("{fault:?}").to_lowercase(),
        load,
        sent: replies.len(),
        goodput_s: done as f64 / elapsed_s,
        first_p50_ms: quantile_ms(0.5),
        first_p95_ms: quantile_ms(0.95),
        first_p99_ms: quantile_ms(0.99),
        refused: count(Outcome::NotRun),
        unknown: replies.len() - count(Outcome::Done) - count(Outcome::NotRun),
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

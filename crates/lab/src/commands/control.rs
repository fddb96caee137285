//! Measures the cost of the control plane: agents without upstreams keep links to running entries
//! while edits are applied; bytes, CPU time and memory of both sides are reported.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agent::Agent;
use agent::links;
use agent::run::new_agent;
use lab::layout::Layout;
use pico_args::Arguments;
use serde::Serialize;
use settings::{AgentCfg, Settings};
use store::{Kv, Tables};
use table::Version;
use tokio::sync::mpsc;
use web::{Client, DialOptions, read_body};
use wire::Holding;

use super::finish;
use crate::LabError;

/// Number of threads that run the agents.
const AGENT_THREADS: usize = 2;

/// Maximum wait for agents to join or for a revision to be in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Serialize)]
struct Report {
    entries: u8,
    agents: usize,
    rows: usize,
    edits_per_s: f64,
    seconds: f64,
    /// Bytes per second received and sent by one entry.
    entry_bytes_s: f64,
    /// Share of one core used by one entry.
    entry_core: f64,
    /// Memory of one entry, in MiB.
    entry_mib: f64,
    /// Bytes per second received and sent by one agent.
    agent_bytes_s: f64,
    /// Share of one core used by the links of one agent.
    agent_core: f64,
    /// Memory of the links and the state of one agent, in KiB.
    agent_kib: f64,
    /// Time until an edit was in force at all agents: median and maximum.
    in_force_p50_ms: Option<f64>,
    in_force_max_ms: Option<f64>,
}

/// Total resource usage of the processes of all entries since their start.
#[derive(Debug, Clone, Copy, Default)]
struct ResourceUsage {
    cpu_s: f64,
    bytes: f64,
    memory: f64,
}

pub async fn run(mut args: Arguments) -> Result<(), LabError> {
    let json = args.contains("--json");
    let net = args.value_from_str("--net")?;
    let entries: u8 = args.opt_value_from_str("--entries")?.unwrap_or(2);
    let agents: usize = args.opt_value_from_str("--agents")?.unwrap_or(50);
    let rows: usize = args.opt_value_from_str("--rows")?.unwrap_or(10);
    let edits: f64 = args.opt_value_from_str("--edits")?.unwrap_or(0.0);
    let seconds: f64 = args.opt_value_from_str("--seconds")?.unwrap_or(10.0);
    finish(args)?;
    let mut layout = Layout::cajueiro(net, 1, entries, 1, 0);
    layout.domains.truncate(1);
    let tables = Tables::new(Kv::new(
        layout.platform().table,
        DialOptions::with_timeout(Duration::from_secs(2)),
    ));
    apply(&tables, rows, 0).await?;
    let memory_before = process_memory();
    let fleet = start_agents(&layout, agents)?;
    wait_for_revision(&fleet, revision(&tables).await?).await?;
    wait_for_agents(&layout, agents).await?;
    let agent_memory = (process_memory() - memory_before) / agents as f64;
    let before = (
        entry_usage(&layout).await?,
        agent_cpu(),
        agent_bytes(&fleet),
    );
    let start = Instant::now();
    let times = apply_edits(&tables, &fleet, rows, edits, seconds).await?;
    let elapsed_s = start.elapsed().as_secs_f64();
    let after = (
        entry_usage(&layout).await?,
        agent_cpu(),
        agent_bytes(&fleet),
    );
    let per_entry = |a: f64, b: f64| (b - a) / elapsed_s / f64::from(entries);
    let per_agent = |a: f64, b: f64| (b - a) / elapsed_s / agents as f64;
    let quantile = |q: f64| times.get(((times.len().max(1) - 1) as f64 * q) as usize);
    let ms = |d: &Duration| d.as_secs_f64() * 1e3;
    let report = Report {
        entries,
        agents,
        rows,
        edits_per_s: times.len() as f64 / elapsed_s,
        seconds: elapsed_s,
        entry_bytes_s: per_entry(before.0.bytes, after.0.bytes),
        entry_core: per_entry(before.0.cpu_s, after.0.cpu_s),
        entry_mib: after.0.memory / f64::from(entries) / f64::from(1 << 20),
        agent_bytes_s: per_agent(before.2, after.2),
        agent_core: per_agent(before.1, after.1),
        agent_kib: agent_memory / 1024.0,
        in_force_p50_ms: quantile(0.5).map(ms),
        in_force_max_ms: quantile(1.0).map(ms),
    };
    match json {
        true => println!(
            "{}",
            serde_json::to_string(&report).expect("a report serializes")
        ),
        false => println!(
            "{}",
            serde_json::to_string_pretty(&report).expect("a report serializes")
        ),
    }
    Ok(())
}

/// Starts agents without upstreams on a few threads; each reports a live version.
fn start_agents(layout: &Layout, n: usize) -> Result<Vec<Arc<Agent>>, LabError> {
    let mut fleet = Vec::new();
    let mut unstarted = Vec::new();
    for i in 0..n {
        let (tx, jobs) = mpsc::channel(1);
        let agent =
            new_agent(agent_cfg(layout, i)?, tx).map_err(|e| LabError::Failed(e.to_string()))?;
        agent.holdings.send_replace(vec![Holding {
            model: "row0".into(),
            version: Version::Service,
            live: true,
            permille: 1000,
        }]);
        fleet.push(agent.clone());
        unstarted.push((agent, jobs));
    }
    for t in 0..AGENT_THREADS {
        let thread_agents: Vec<_> = unstarted
            .drain(..unstarted.len() / (AGENT_THREADS - t))
            .collect();
        wire::thread::spawn(format!("agents-{t}"), move || async move {
            let links = thread_agents
                .into_iter()
                .map(|(agent, jobs)| links::maintain(agent, jobs));
            futures_util::future::join_all(links).await;
        })?;
    }
    Ok(fleet)
}

fn agent_cfg(layout: &Layout, i: usize) -> Result<AgentCfg, LabError> {
    let mut vm = layout.upstream_vms().remove(0);
    vm.vm = format!("{}-{i}", vm.vm);
    vm.listen.set_port(20_000 + i as u16);
    vm.service = true;
    let text = layout.agent_settings(&vm, &[]);
    match settings::check(&text) {
        Ok(Settings::Agent(cfg)) => Ok(*cfg),
        Ok(_) => Err(LabError::Failed("the settings are not for an agent".into())),
        Err(errors) => Err(LabError::Failed(format!("{errors:?}"))),
    }
}

async fn revision(tables: &Tables) -> Result<u64, LabError> {
    let current = tables.current(None).await;
    let current = current.map_err(|e| LabError::Failed(e.to_string()))?;
    Ok(current.map_or(0, |c| c.edition.revision))
}

/// Applies a table of `rows` rows in its state after `n` edits of one row each; returns its revision.
async fn apply(tables: &Tables, rows: usize, n: usize) -> Result<u64, LabError> {
    let mut csv = "model,version,places,share,limits,priority,hold\n".to_owned();
    for i in 0..rows {
        let edits_of_row = (n + rows - 1 - i) / rows;
        let priority = edits_of_row % 10;
        csv += &format!("row{i},service,recife,100,rps=100;workspace-rps=10,{priority},30s\n");
    }
    let failed = |e: store::PlatformError| LabError::Failed(e.to_string());
    let current = tables.current(None).await.map_err(failed)?;
    let current = current.ok_or_else(|| LabError::Failed("no table".into()))?;
    let edition = tables.apply(&current, csv, "lab").await.map_err(failed)?;
    Ok(edition.revision)
}

/// Applies edits at a rate for a number of seconds; returns the times until each was in force at all
/// agents, sorted.
async fn apply_edits(
    tables: &Tables,
    fleet: &[Arc<Agent>],
    rows: usize,
    rate: f64,
    seconds: f64,
) -> Result<Vec<Duration>, LabError> {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let mut times = Vec::new();
    while rate > 0.0 && Instant::now() < end {
        let next = Instant::now() + Duration::from_secs_f64(1.0 / rate);
        let revision = apply(tables, rows, times.len() + 1).await?;
        let accepted = Instant::now();
        wait_for_revision(fleet, revision).await?;
        times.push(accepted.elapsed());
        tokio::time::sleep_until(next.min(end).into()).await;
    }
    tokio::time::sleep_until(end.into()).await;
    times.sort_unstable();
    Ok(times)
}

async fn wait_for_revision(fleet: &[Arc<Agent>], revision: u64) -> Result<(), LabError> {
    let start = Instant::now();
    while !fleet.iter().all(|a| a.active_table.revision() >= revision) {
        if start.elapsed() > WAIT_TIMEOUT {
            return Err(LabError::Failed(format!(
                "revision {revision} is not in force everywhere"
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Waits until all agents have joined every entry.
async fn wait_for_agents(layout: &Layout, agents: usize) -> Result<(), LabError> {
    let start = Instant::now();
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    for e in layout.entry_vms() {
        loop {
            let status: Option<entry::admin::Status> =
                lab::caller::get_json(&client, e.admin, "/status").await;
            if status.is_some_and(|s| s.upstreams.len() >= agents) {
                break;
            }
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(LabError::Failed(format!("not all agents joined {}", e.vm)));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    // Waits for two heartbeats at the interval now in effect.
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(())
}

fn agent_bytes(fleet: &[Arc<Agent>]) -> f64 {
    let bytes = |a: &Arc<Agent>| {
        let (received, sent) = a.traffic.bytes();
        (received + sent) as f64
    };
    fleet.iter().map(bytes).sum()
}

/// Returns the resource usage of all entries, read from their metrics.
async fn entry_usage(layout: &Layout) -> Result<ResourceUsage, LabError> {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let mut sum = ResourceUsage::default();
    for e in layout.entry_vms() {
        let req = hyper::Request::builder().uri("/metrics").body(web::empty());
        let req = req.map_err(|e| LabError::Failed(e.to_string()))?;
        let timeout = Duration::from_secs(5);
        let failed = |cause: String| LabError::Failed(format!("{}: {cause}", e.vm));
        let res = client.send(e.admin, req, timeout).await;
        let res = res.map_err(|e| failed(e.to_string()))?;
        let buf = read_body(res.into_body(), 64 << 20, timeout).await;
        let text = buf.map_err(|e| failed(e.to_string()))?;
        let text = String::from_utf8_lossy(&text).into_owned();
        sum.cpu_s += sum_metric(&text, "process_cpu_seconds_total");
        sum.memory += sum_metric(&text, "process_resident_memory_bytes");
        sum.bytes += sum_metric(&text, "driftnotch_control_bytes_total");
    }
    Ok(sum)
}

/// Returns the sum of a metric over all its labels.
fn sum_metric(text: &str, name: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit_once(' '))
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .sum()
}

/// Returns the CPU seconds used by the threads that run the agents.
fn agent_cpu() -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    tasks
        .filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok())
        .filter_map(|stat| {
            let (name, rest) = stat.rsplit_once(')')?;
            let fields: Vec<&str> = rest.split_whitespace().collect();
            let ticks: f64 =
                fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
            name.contains("(agents-").then_some(ticks / 100.0)
        })
        .sum()
}

/// Returns the resident memory of this process, in bytes.
fn process_memory() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<f64> = statm.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    pages.unwrap_or(0.0) * 4096.0
}

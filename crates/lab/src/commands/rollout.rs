//! Measures a rollout with the real code of agents, on rate-limited links that also serve live
//! requests, and compares it with the lower bound and with naive distribution.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use base::Digest;
use lab::caller::{RequestSpec, send};
use lab::deployment::{Deployment, Plan, WAIT_TIMEOUT};
use lab::standin::engine::Behaviour;
use lab::standin::fault::Faults;
use lab::standin::relay::LinkState;
use pico_args::Arguments;
use serde::Serialize;
use tokio::task::JoinSet;
use web::{Client, DialOptions};

use super::{duration, finish};
use crate::LabError;

/// Copies of the weights that the link of the origin, and that of each VM, can transmit in the
/// time of `--span`.
const ORIGIN_LINK_COPIES: f64 = 4.0;
const VM_LINK_COPIES: f64 = 2.0;

/// Live requests per second at each entry.
const LIVE_RATE_PER_S: f64 = 25.0;

/// Time for which live requests are measured without a rollout.
const BASELINE_TIME: Duration = Duration::from_secs(4);

/// Naive distribution is measured with this fraction of the weights, and its time multiplied: only
/// the link of the origin limits it, which makes its time proportional to the size.
const NAIVE_FRACTION: usize = 8;

/// Model called by live requests, and the model that is rolled out.
const LIVE_MODEL: &str = "live";
const ROLLOUT_MODEL: &str = "big";

/// Fault injected during the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Kill,
    Stall,
    Corrupt,
    Cut,
    OriginDown,
    Newer,
}

#[derive(Debug)]
struct Options {
    vms: usize,
    domains: usize,
    size: usize,
    chunk: u32,
    span: Duration,
    copies: String,
    agent_lines: Vec<String>,
    fault: Fault,
    seed: u64,
    net: u8,
    naive: bool,
    json: bool,
}

#[derive(Serialize)]
struct Report {
    vms: usize,
    domains: usize,
    size: usize,
    fault: String,
    copies: String,
    ready_s: f64,
    ready_p50_s: f64,
    bound_s: f64,
    ratio: f64,
    origin_copies: f64,
    naive_ready_s: Option<f64>,
    naive_origin_copies: Option<f64>,
    live_p99_ms_quiet: f64,
    live_p99_ms_rollout: f64,
    live_not_done: usize,
    verified: bool,
}

/// A deployment on which a rollout is measured.
struct Bench {
    deployment: Deployment,
    vm_rate: u64,
    origin_rate: u64,
}

pub async fn run(mut args: Arguments) -> Result<(), LabError> {
    let options = Options {
        json: args.contains("--json"),
        naive: !args.contains("--no-naive"),
        vms: args.opt_value_from_str("--vms")?.unwrap_or(12),
        domains: args.opt_value_from_str("--domains")?.unwrap_or(3),
        size: args.opt_value_from_str("--size")?.unwrap_or(32 << 20),
        chunk: args.opt_value_from_str("--chunk")?.unwrap_or(128 << 10),
        span: duration(&mut args, "--span")?.unwrap_or(Duration::from_secs(16)),
        copies: args
            .opt_value_from_str("--origin-copies")?
            .unwrap_or("fleet".into()),
        agent_lines: args.values_from_str("--set")?,
        fault: parse_fault(args.opt_value_from_str("--fault")?)?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        net: args.opt_value_from_str("--net")?.unwrap_or(80),
    };
    finish(args)?;
    let bench = Bench::start(&options).await?;
    let report = bench.measure(&options).await?;
    match options.json {
        true => println!(
            "{}",
            serde_json::to_string(&report).expect("a report serializes")
        ),
        false => println!(
            "{}",
            serde_json::to_string_pretty(&report).expect("a report serializes")
        ),
    }
    match report.verified {
        true => Ok(()),
        false => Err(LabError::Failed("not all weights were verified".into())),
    }
}

fn parse_fault(name: Option<String>) -> Result<Fault, LabError> {
    match name.as_deref() {
        None | Some("none") => Ok(Fault::None),
        Some("kill") => Ok(Fault::Kill),
        Some("stall") => Ok(Fault::Stall),
        Some("corrupt") => Ok(Fault::Corrupt),
        Some("cut") => Ok(Fault::Cut),
        Some("origin-down") => Ok(Fault::OriginDown),
        Some("newer") => Ok(Fault::Newer),
        Some(other) => Err(LabError::Usage(format!("there is no fault {other:?}"))),
    }
}

fn failed(e: impl std::fmt::Display) -> LabError {
    LabError::Failed(e.to_string())
}

impl Bench {
    async fn start(options: &Options) -> Result<Bench, LabError> {
        let rate = |copies: f64| (options.size as f64 * copies / options.span.as_secs_f64()) as u64;
        let (origin_rate, vm_rate) = (rate(ORIGIN_LINK_COPIES), rate(VM_LINK_COPIES));
        let entry_lines = [
            "table_poll: 100ms",
            "heartbeat: 250ms",
            "control_budget: 1GiB",
        ];
        let mut agent_lines = vec![
            format!("chunk_memory: {}B", (options.size * 3).max(16 << 20)),
            format!("origin_copies: {}", options.copies),
            "engine_poll: 100ms".to_owned(),
            "engine_slots: 4".to_owned(),
            format!("link_rate: {vm_rate}B"),
        ];
        agent_lines.extend(options.agent_lines.clone());
        let plan = Plan {
            net: options.net,
            domains: options.domains,
            entries: 1,
            vms: options.vms,
            entry_lines: entry_lines.map(str::to_owned).to_vec(),
            agent_lines,
            behaviour: Behaviour::default(),
            rates: Some((vm_rate, origin_rate)),
        };
        Ok(Bench {
            deployment: Deployment::start(&plan).await.map_err(failed)?,
            vm_rate,
            origin_rate,
        })
    }

    fn publish(&self, options: &Options, seed: u64, size: usize) -> Result<Digest, LabError> {
        let seed = options.seed * 100 + seed;
        self.deployment
            .publish(seed, size, options.chunk)
            .map_err(failed)
    }

    async fn apply(&self, rows: &[(&str, Digest)]) -> Result<(), LabError> {
        self.deployment.apply(rows).await.map_err(failed)
    }

    async fn wait_until_loaded(
        &self,
        version: Digest,
        lost: &[IpAddr],
    ) -> Result<Vec<Duration>, LabError> {
        self.deployment
            .wait_until_loaded(version, lost)
            .await
            .map_err(failed)
    }

    async fn measure(&self, options: &Options) -> Result<Report, LabError> {
        let live_version = self.publish(options, 0, 64 << 10)?;
        self.apply(&[(LIVE_MODEL, live_version)]).await?;
        self.wait_until_loaded(live_version, &[]).await?;
        self.deployment
            .wait_until_live(LIVE_MODEL)
            .await
            .map_err(failed)?;
        let baseline = self.measure_live_for(BASELINE_TIME).await;
        let mut version = self.publish(options, 1, options.size)?;
        let before = self.deployment.platform.origin.weights.stats().bytes;
        let rollout_done = Arc::new(AtomicBool::new(false));
        let live = self.send_live_until(rollout_done.clone());
        let start = Instant::now();
        self.apply(&[(LIVE_MODEL, live_version), (ROLLOUT_MODEL, version)])
            .await?;
        let mut lost = Vec::new();
        if options.fault != Fault::None {
            self.wait_until_started(options, version).await?;
            lost = self
                .inject_fault(options, live_version, &mut version)
                .await?;
        }
        let times = self.wait_until_loaded(version, &lost).await?;
        let ready = start.elapsed();
        rollout_done.store(true, Ordering::Relaxed);
        let rollout = live.await.map_err(failed)?;
        let origin_bytes = self.deployment.platform.origin.weights.stats().bytes - before;
        let naive = match options.naive {
            true => Some(self.measure_naive(options).await?),
            false => None,
        };
        let remaining = self
            .deployment
            .engines
            .iter()
            .filter(|e| !lost.contains(&e.ip()));
        let verified = remaining.clone().all(|e| e.engine.has_loaded(&version));
        let offset = ready.saturating_sub(times.last().copied().unwrap_or_default());
        let p50 = times.get(times.len() / 2).copied().unwrap_or_default() + offset;
        let bound = self.lower_bound_s(options);
        Ok(Report {
            vms: options.vms,
            domains: options.domains,
            size: options.size,
            fault: format!("{:?}", options.fault).to_lowercase(),
            copies: options.copies.clone(),
            ready_s: ready.as_secs_f64(),
            ready_p50_s: p50.as_secs_f64(),
            bound_s: bound,
            ratio: ready.as_secs_f64() / bound,
            origin_copies: origin_bytes as f64 / options.size as f64,
            naive_ready_s: naive.map(|(s, _)| s),
            naive_origin_copies: naive.map(|(_, copies)| copies),
            live_p99_ms_quiet: p99_ms(&baseline.latencies),
            live_p99_ms_rollout: p99_ms(&rollout.latencies),
            live_not_done: baseline.not_done + rollout.not_done,
            verified,
        })
    }

    /// Returns the lower bound of a rollout, in seconds:
    /// `max(S/u_origin, S/d_vm, N*S/(u_origin + sum u_vm))`.
    fn lower_bound_s(&self, options: &Options) -> f64 {
        let (s, n) = (options.size as f64, options.vms as f64);
        let (origin, vm) = (self.origin_rate as f64, self.vm_rate as f64);
        (s / origin).max(s / vm).max(n * s / (origin + n * vm))
    }

    /// Waits until a third of all chunks is staged on average.
    async fn wait_until_started(&self, options: &Options, version: Digest) -> Result<(), LabError> {
        let start = Instant::now();
        let chunks = options.size.div_ceil(options.chunk as usize);
        let mean_staged = || {
            let staged = self
                .deployment
                .engines
                .iter()
                .map(|e| e.engine.staged_chunks(&version));
            staged.sum::<usize>() / self.deployment.engines.len()
        };
        while mean_staged() < chunks / 3 {
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(failed("the rollout does not start"));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Injects the fault; returns the VMs lost to it.
    async fn inject_fault(
        &self,
        options: &Options,
        live_version: Digest,
        version: &mut Digest,
    ) -> Result<Vec<IpAddr>, LabError> {
        let victim = self.deployment.layout.upstream_vms().remove(0);
        match options.fault {
            Fault::None => {}
            Fault::Kill => {
                self.deployment
                    .switchboard
                    .disconnect_vm(victim.listen.ip());
                return Ok(vec![victim.listen.ip()]);
            }
            Fault::Stall => self
                .deployment
                .switchboard
                .set_towards(victim.peer, LinkState::Stalled),
            Fault::Corrupt => {
                self.deployment
                    .switchboard
                    .set_towards(victim.peer, LinkState::Corrupt);
                self.deployment.platform.origin.faults.set(Faults {
                    corrupt: 3,
                    ..Faults::default()
                });
            }
            Fault::Cut => self.cut_first_domain_for(options.span / 8),
            Fault::OriginDown => {
                while self.deployment.platform.origin.weights.stats().bytes < options.size as u64 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                self.deployment.platform.origin.faults.set(Faults {
                    down: true,
                    ..Faults::default()
                });
            }
            Fault::Newer => {
                *version = self.publish(options, 2, options.size)?;
                self.apply(&[(LIVE_MODEL, live_version), (ROLLOUT_MODEL, *version)])
                    .await?;
            }
        }
        Ok(Vec::new())
    }

    /// Cuts the links between the first failure domain and the others for `span`.
    fn cut_first_domain_for(&self, span: Duration) {
        let side = |d: usize| self.deployment.layout.base + d as u8;
        for other in 1..self.deployment.layout.domains.len() {
            self.deployment
                .switchboard
                .set(side(0), side(other), LinkState::Cut);
        }
        let switchboard = self.deployment.switchboard.clone();
        tokio::spawn(async move {
            tokio::time::sleep(span).await;
            switchboard.heal();
        });
    }

    /// Measures naive distribution, in which every VM fetches all weights from the origin; returns its
    /// time in seconds, scaled to the full size, and the copies sent by the origin.
    async fn measure_naive(&self, options: &Options) -> Result<(f64, f64), LabError> {
        let size = (options.size / NAIVE_FRACTION).max(options.chunk as usize);
        self.deployment
            .platform
            .origin
            .faults
            .set(Faults::default());
        let version = self.publish(options, 3, size)?;
        let before = self.deployment.platform.origin.weights.stats().bytes;
        let start = Instant::now();
        let mut pulls = JoinSet::new();
        for e in &self.deployment.engines {
            let dial_options = DialOptions {
                timeout: WAIT_TIMEOUT,
                keep_alive: true,
                source: Some(e.ip()),
            };
            let origin = store::Origin::new(self.deployment.layout.platform().origin, dial_options);
            let chunk = options.chunk as usize;
            pulls.spawn(async move {
                for first in (0..size).step_by(chunk) {
                    let end = (first + chunk).min(size);
                    origin.range(version, first as u64, end as u64).await?;
                }
                Ok::<_, store::PlatformError>(())
            });
        }
        while let Some(result) = pulls.join_next().await {
            result.map_err(failed)?.map_err(failed)?;
        }
        let origin_bytes = self.deployment.platform.origin.weights.stats().bytes - before;
        let elapsed_s = start.elapsed().as_secs_f64() * options.size as f64 / size as f64;
        Ok((elapsed_s, origin_bytes as f64 / size as f64))
    }

    async fn measure_live_for(&self, span: Duration) -> Live {
        let stop = Arc::new(AtomicBool::new(false));
        let live = self.send_live_until(stop.clone());
        tokio::time::sleep(span).await;
        stop.store(true, Ordering::Relaxed);
        live.await.unwrap_or_default()
    }

    /// Sends live requests to all entries at a steady rate until `stop` is set.
    fn send_live_until(&self, stop: Arc<AtomicBool>) -> tokio::task::JoinHandle<Live> {
        let entries: Vec<SocketAddr> = self
            .deployment
            .layout
            .entry_vms()
            .iter()
            .map(|e| e.listen)
            .collect();
        tokio::spawn(async move {
            let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
            let mut sent = JoinSet::new();
            let mut tick = tokio::time::interval(Duration::from_secs_f64(1.0 / LIVE_RATE_PER_S));
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                tick.tick().await;
                for entry in entries.clone() {
                    let client = client.clone();
                    let spec = RequestSpec::completion(LIVE_MODEL, &format!("live{n}"));
                    n += 1;
                    sent.spawn(async move { (send(&client, entry, &spec).await, spec) });
                }
            }
            let mut live = Live::default();
            while let Some(Ok((reply, spec))) = sent.join_next().await {
                let is_correct =
                    reply.outcome == Some(base::Outcome::Done) && reply.mismatch(&spec).is_none();
                match is_correct {
                    true => live.latencies.push(reply.elapsed),
                    false => live.not_done += 1,
                }
            }
            live.latencies.sort_unstable();
            live
        })
    }
}

/// Latencies of the live requests that were done correctly, and the number of the others.
#[derive(Debug, Default)]
struct Live {
    latencies: Vec<Duration>,
    not_done: usize,
}

/// Returns the 99th percentile in milliseconds.
fn p99_ms(sorted: &[Duration]) -> f64 {
    let i = (sorted.len().max(1) - 1) * 99 / 100;
    sorted.get(i).map_or(f64::NAN, |d| d.as_secs_f64() * 1e3)
}

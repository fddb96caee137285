//! Measures a rollout: real agents' code over links paced to the brief's proportions, with live
//! requests on the same links, against the lower bound and the naive way.

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

/// Copies that the origin's link, and each VM's, carries in the span.
const ORIGIN_COPIES: f64 = 4.0;
const VM_COPIES: f64 = 2.0;

/// Requests a second at each entry.
const LIVE_RATE: f64 = 25.0;

/// Time that live requests are measured without a rollout.
const QUIET: Duration = Duration::from_secs(4);

/// The naive way is run with this part of the weights, and its time multiplied: it is bound by the
/// origin's link alone, so its time is in proportion.
const NAIVE_PART: usize = 8;

/// Model that live requests call, and the one that is rolled out.
const LIVE: &str = "live";
const BIG: &str = "big";

/// What fails on the way.
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
    lines: Vec<String>,
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

/// A rollout on a deployment.
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
        lines: args.values_from_str("--set")?,
        fault: fault(args.opt_value_from_str("--fault")?)?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        net: args.opt_value_from_str("--net")?.unwrap_or(80),
    };
    finish(args)?;
    let bench = Bench::start(&options).await?;
    let report = bench.measure(&options).await?;
    match options.json {
        true => println!("{}", serde_json::to_string(&report).expect("plain data")),
        false => println!(
            "{}",
            serde_json::to_string_pretty(&report).expect("plain data")
        ),
    }
    match report.verified {
        true => Ok(()),
        false => Err(LabError::Failed("not all weights were verified".into())),
    }
}

fn fault(name: Option<String>) -> Result<Fault, LabError> {
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
    async fn start(o: &Options) -> Result<Bench, LabError> {
        let rate = |copies: f64| (o.size as f64 * copies / o.span.as_secs_f64()) as u64;
        let (origin_rate, vm_rate) = (rate(ORIGIN_COPIES), rate(VM_COPIES));
        let entry_lines = [
            "table_poll: 100ms",
            "heartbeat: 250ms",
            "control_budget: 1GiB",
        ];
        let mut agent_lines = vec![
            format!("chunk_memory: {}B", (o.size * 3).max(16 << 20)),
            format!("origin_copies: {}", o.copies),
            "engine_poll: 100ms".to_owned(),
            "engine_slots: 4".to_owned(),
            format!("link_rate: {vm_rate}B"),
        ];
        agent_lines.extend(o.lines.clone());
        let plan = Plan {
            net: o.net,
            domains: o.domains,
            entries: 1,
            vms: o.vms,
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

    fn publish(&self, o: &Options, seed: u64, size: usize) -> Result<Digest, LabError> {
        let seed = o.seed * 100 + seed;
        self.deployment.publish(seed, size, o.chunk).map_err(failed)
    }

    async fn apply(&self, rows: &[(&str, Digest)]) -> Result<(), LabError> {
        self.deployment.apply(rows).await.map_err(failed)
    }

    async fn loaded(&self, version: Digest, lost: &[IpAddr]) -> Result<Vec<Duration>, LabError> {
        self.deployment
            .wait_until_loaded(version, lost)
            .await
            .map_err(failed)
    }

    async fn measure(&self, o: &Options) -> Result<Report, LabError> {
        let small = self.publish(o, 0, 64 << 10)?;
        self.apply(&[(LIVE, small)]).await?;
        self.loaded(small, &[]).await?;
        self.deployment
            .wait_until_live(LIVE)
            .await
            .map_err(failed)?;
        let quiet = self.live_for(QUIET).await;
        let mut version = self.publish(o, 1, o.size)?;
        let before = self.deployment.platform.origin.weights.stats().bytes;
        let rollout_over = Arc::new(AtomicBool::new(false));
        let live = self.live_until(rollout_over.clone());
        let begun = Instant::now();
        self.apply(&[(LIVE, small), (BIG, version)]).await?;
        let mut lost = Vec::new();
        if o.fault != Fault::None {
            self.half_way(o, version).await?;
            lost = self.cause(o, small, &mut version).await?;
        }
        let times = self.loaded(version, &lost).await?;
        let ready = begun.elapsed();
        rollout_over.store(true, Ordering::Relaxed);
        let during = live.await.map_err(failed)?;
        let drawn = self.deployment.platform.origin.weights.stats().bytes - before;
        let naive = match o.naive {
            true => Some(self.naive(o).await?),
            false => None,
        };
        let kept = self
            .deployment
            .engines
            .iter()
            .filter(|e| !lost.contains(&e.ip()));
        let verified = kept.clone().all(|e| e.engine.has_loaded(&version));
        let offset = ready.saturating_sub(times.last().copied().unwrap_or_default());
        let p50 = times.get(times.len() / 2).copied().unwrap_or_default() + offset;
        let bound = self.bound(o);
        Ok(Report {
            vms: o.vms,
            domains: o.domains,
            size: o.size,
            fault: format!("{:?}", o.fault).to_lowercase(),
            copies: o.copies.clone(),
            ready_s: ready.as_secs_f64(),
            ready_p50_s: p50.as_secs_f64(),
            bound_s: bound,
            ratio: ready.as_secs_f64() / bound,
            origin_copies: drawn as f64 / o.size as f64,
            naive_ready_s: naive.map(|(s, _)| s),
            naive_origin_copies: naive.map(|(_, copies)| copies),
            live_p99_ms_quiet: p99(&quiet.took),
            live_p99_ms_rollout: p99(&during.took),
            live_not_done: quiet.not_done + during.not_done,
            verified,
        })
    }

    /// `max(S/u_origin, S/d_vm, N*S/(u_origin + sum u_vm))`, in seconds.
    fn bound(&self, o: &Options) -> f64 {
        let (s, n) = (o.size as f64, o.vms as f64);
        let (origin, vm) = (self.origin_rate as f64, self.vm_rate as f64);
        (s / origin).max(s / vm).max(n * s / (origin + n * vm))
    }

    async fn half_way(&self, o: &Options, version: Digest) -> Result<(), LabError> {
        let begun = Instant::now();
        let chunks = o.size.div_ceil(o.chunk as usize);
        let mean = || {
            let staged = self
                .deployment
                .engines
                .iter()
                .map(|e| e.engine.staged_chunks(&version));
            staged.sum::<usize>() / self.deployment.engines.len()
        };
        while mean() < chunks / 3 {
            if begun.elapsed() > WAIT_TIMEOUT {
                return Err(failed("the rollout doesn't begin"));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Causes the fault; returns VMs that are lost by it.
    async fn cause(
        &self,
        o: &Options,
        small: Digest,
        version: &mut Digest,
    ) -> Result<Vec<IpAddr>, LabError> {
        let victim = self.deployment.layout.upstream_vms().remove(0);
        match o.fault {
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
            Fault::Cut => self.cut_for(o.span / 8),
            Fault::OriginDown => {
                while self.deployment.platform.origin.weights.stats().bytes < o.size as u64 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                self.deployment.platform.origin.faults.set(Faults {
                    down: true,
                    ..Faults::default()
                });
            }
            Fault::Newer => {
                *version = self.publish(o, 2, o.size)?;
                self.apply(&[(LIVE, small), (BIG, *version)]).await?;
            }
        }
        Ok(Vec::new())
    }

    /// Cuts the first failure domain off from the others for a while.
    fn cut_for(&self, span: Duration) {
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

    /// The naive way: every VM draws all of the weights from the origin.
    async fn naive(&self, o: &Options) -> Result<(f64, f64), LabError> {
        let size = (o.size / NAIVE_PART).max(o.chunk as usize);
        self.deployment
            .platform
            .origin
            .faults
            .set(Faults::default());
        let version = self.publish(o, 3, size)?;
        let before = self.deployment.platform.origin.weights.stats().bytes;
        let begun = Instant::now();
        let mut pulls = JoinSet::new();
        for e in &self.deployment.engines {
            let dial = DialOptions {
                timeout: WAIT_TIMEOUT,
                keep_alive: true,
                source: Some(e.ip()),
            };
            let origin = store::Origin::new(self.deployment.layout.platform().origin, dial);
            let chunk = o.chunk as usize;
            pulls.spawn(async move {
                for first in (0..size).step_by(chunk) {
                    let end = (first + chunk).min(size);
                    origin.range(version, first as u64, end as u64).await?;
                }
                Ok::<_, store::PlatformError>(())
            });
        }
        while let Some(pulled) = pulls.join_next().await {
            pulled.map_err(failed)?.map_err(failed)?;
        }
        let drawn = self.deployment.platform.origin.weights.stats().bytes - before;
        let took = begun.elapsed().as_secs_f64() * o.size as f64 / size as f64;
        Ok((took, drawn as f64 / size as f64))
    }

    async fn live_for(&self, span: Duration) -> Live {
        let over = Arc::new(AtomicBool::new(false));
        let live = self.live_until(over.clone());
        tokio::time::sleep(span).await;
        over.store(true, Ordering::Relaxed);
        live.await.unwrap_or_default()
    }

    /// Live requests at all entries, at a steady rate, until told that it is over.
    fn live_until(&self, over: Arc<AtomicBool>) -> tokio::task::JoinHandle<Live> {
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
            let mut tick = tokio::time::interval(Duration::from_secs_f64(1.0 / LIVE_RATE));
            let mut n = 0;
            while !over.load(Ordering::Relaxed) {
                tick.tick().await;
                for entry in entries.clone() {
                    let client = client.clone();
                    let ask = RequestSpec::completion(LIVE, &format!("live{n}"));
                    n += 1;
                    sent.spawn(async move { (send(&client, entry, &ask).await, ask) });
                }
            }
            let mut live = Live::default();
            while let Some(Ok((reply, ask))) = sent.join_next().await {
                let whole =
                    reply.outcome == Some(base::Outcome::Done) && reply.mismatch(&ask).is_none();
                match whole {
                    true => live.took.push(reply.elapsed),
                    false => live.not_done += 1,
                }
            }
            live.took.sort_unstable();
            live
        })
    }
}

/// What became of live requests.
#[derive(Debug, Default)]
struct Live {
    took: Vec<Duration>,
    not_done: usize,
}

fn p99(sorted: &[Duration]) -> f64 {
    let i = (sorted.len().max(1) - 1) * 99 / 100;
    sorted.get(i).map_or(f64::NAN, |d| d.as_secs_f64() * 1e3)
}

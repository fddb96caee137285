//! A deployment in the current process: the real code of entries and agents, stand-ins for the
//! systems around them, and relays on all links.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Digest;
use bytes::Bytes;
use displaydoc::Display;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use settings::Settings;
use store::{Kv, Tables};
use tokio::sync::watch;
use web::{Client, DialOptions};
use weights::Manifest;

use crate::caller::{RequestSpec, send};
use crate::layout::{Layout, UpstreamVm};
use crate::standin::engine::{Behaviour, Engine};
use crate::standin::platform::Platform;
use crate::standin::relay::Switchboard;

/// Maximum wait for a deployment to reach a state.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(300);

/// Error of a deployment.
#[derive(Debug, Display)]
pub enum DeployError {
    /// {0}
    Io(std::io::Error),
    /// {0}
    Failed(String),
}

impl std::error::Error for DeployError {}

impl From<std::io::Error> for DeployError {
    fn from(e: std::io::Error) -> DeployError {
        DeployError::Io(e)
    }
}

fn failed(e: impl std::fmt::Display) -> DeployError {
    DeployError::Failed(e.to_string())
}

/// Size and settings of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Second octet of its addresses.
    pub net: u8,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of entries in each failure domain.
    pub entries: u8,
    /// Total number of upstream VMs.
    pub vms: usize,
    /// Additional lines of the settings of entries.
    pub entry_lines: Vec<String>,
    /// Additional lines of the settings of agents.
    pub agent_lines: Vec<String>,
    /// Behaviour of all engines.
    pub behaviour: Behaviour,
    /// Rates of the links of each VM and of the origin, in bytes per second; `None` is unlimited.
    pub rates: Option<(u64, u64)>,
}

/// An upstream VM with its engine.
#[derive(Debug, Clone)]
pub struct EngineVm {
    /// VM.
    pub vm: UpstreamVm,
    /// Engine.
    pub engine: Engine,
}

impl EngineVm {
    /// Returns the address of the VM.
    pub fn ip(&self) -> IpAddr {
        self.vm.listen.ip()
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Addresses of its VMs.
    pub layout: Layout,
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Switchboard of all links.
    pub switchboard: Switchboard,
    /// Upstream VMs with their engines.
    pub engines: Vec<EngineVm>,
    _stop: watch::Sender<bool>,
}

impl Deployment {
    /// Starts the stand-ins, the relays, the entries and the agents.
    pub async fn start(plan: &Plan) -> Result<Deployment, DeployError> {
        let per_domain = plan.vms.div_ceil(plan.domains) as u8;
        let mut layout = Layout::cajueiro(plan.net, 1, plan.entries, per_domain, 0);
        layout.domains.truncate(plan.domains);
        layout.relayed = true;
        let (stop_tx, stop) = watch::channel(false);
        let platform = Platform::start(layout.platform_listen_addrs(), None, stop.clone()).await?;
        platform.set_members(&layout.members());
        let switchboard = Switchboard::default();
        let platform_addrs = layout.platform();
        for addr in [
            platform_addrs.table,
            platform_addrs.objects,
            platform_addrs.members,
            platform_addrs.origin,
        ] {
            switchboard.relay(addr, layout.listen_addr(addr)).await?;
        }
        if let Some((_, origin)) = plan.rates {
            switchboard.set_vm_rate(platform_addrs.origin.ip(), origin, origin);
        }
        let mut deployment = Deployment {
            layout,
            platform,
            switchboard,
            engines: Vec::new(),
            _stop: stop_tx,
        };
        deployment.start_entries(plan, &stop).await?;
        deployment.start_agents(plan, &stop).await?;
        Ok(deployment)
    }

    async fn start_entries(&self, plan: &Plan, stop: &web::StopSignal) -> Result<(), DeployError> {
        for e in self.layout.entry_vms() {
            let bound = self.layout.listen_addr(e.control);
            self.switchboard.relay(e.control, bound).await?;
            let text = self.layout.entry_settings(&e, &plan.entry_lines);
            match settings::check(&text) {
                Ok(Settings::Entry(cfg)) => {
                    tokio::spawn(entry::run(*cfg, stop.clone(), Arc::new(String::new)));
                }
                other => return Err(failed(format!("the entry's settings: {other:?}"))),
            }
        }
        Ok(())
    }

    async fn start_agents(
        &mut self,
        plan: &Plan,
        stop: &web::StopSignal,
    ) -> Result<(), DeployError> {
        for vm in self.layout.upstream_vms().into_iter().take(plan.vms) {
            if let Some((rate, _)) = plan.rates {
                self.switchboard.set_vm_rate(vm.listen.ip(), rate, rate);
            }
            for addr in [vm.listen, vm.peer] {
                self.switchboard
                    .relay(addr, self.layout.listen_addr(addr))
                    .await?;
            }
            let engine = Engine::start(vm.upstream, plan.behaviour, stop.clone()).await?;
            let text = self.layout.agent_settings(&vm, &plan.agent_lines);
            match settings::check(&text) {
                Ok(Settings::Agent(cfg)) => {
                    tokio::spawn(agent::run(*cfg, stop.clone(), Arc::new(String::new)));
                }
                other => return Err(failed(format!("the agent's settings: {other:?}"))),
            }
            self.engines.push(EngineVm { vm, engine });
        }
        Ok(())
    }

    /// Publishes weights generated from a seed and returns their version.
    pub fn publish(&self, seed: u64, size: usize, chunk: u32) -> Result<Digest, DeployError> {
        let mut weights = vec![0u8; size];
        StdRng::seed_from_u64(seed).fill(&mut weights[..]);
        let manifest = Manifest::from_reader(weights.as_slice(), chunk).map_err(failed)?;
        let version = manifest.digest();
        let key = format!("objects/manifest/{version}");
        let buf = Bytes::from(manifest.encode());
        self.platform.objects.store.put(&key, buf, None);
        self.platform.origin.weights.put(version, 0, &weights);
        Ok(version)
    }

    /// Applies a table of these rows, each allowed in all failure domains.
    pub async fn apply(&self, rows: &[(&str, Digest)]) -> Result<(), DeployError> {
        let table = self.layout.platform_listen_addrs().table;
        let tables = Tables::new(Kv::new(
            table,
            DialOptions::with_timeout(Duration::from_secs(2)),
        ));
        let places: Vec<String> = self.layout.domains.iter().map(|(d, _)| d.clone()).collect();
        let places = places.join(";");
        let mut csv = "model,version,places,share,limits,priority,hold\n".to_owned();
        for (model, version) in rows {
            csv += &format!("{model},{version},{places},100,,5,serve\n");
        }
        let current = tables.current(None).await.map_err(failed)?;
        let current = current.ok_or_else(|| failed("no table"))?;
        tables.apply(&current, csv, "lab").await.map_err(failed)?;
        Ok(())
    }

    /// Waits until a version is loaded on all VMs except the lost ones; returns the times, sorted.
    pub async fn wait_until_loaded(
        &self,
        version: Digest,
        lost: &[IpAddr],
    ) -> Result<Vec<Duration>, DeployError> {
        let start = Instant::now();
        let mut pending: Vec<&EngineVm> = self.engines.iter().collect();
        pending.retain(|e| !lost.contains(&e.ip()));
        let mut times = Vec::new();
        while !pending.is_empty() {
            pending.retain(|e| {
                let loaded = e.engine.has_loaded(&version);
                if loaded {
                    times.push(start.elapsed());
                }
                !loaded
            });
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(failed(format!("{} VMs are not ready", pending.len())));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(times)
    }

    /// Waits until all entries serve a model with status 200.
    pub async fn wait_until_live(&self, model: &str) -> Result<(), DeployError> {
        let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
        let start = Instant::now();
        for e in self.layout.entry_vms() {
            while send(&client, e.listen, &RequestSpec::completion(model, "probe"))
                .await
                .status
                != 200
            {
                if start.elapsed() > WAIT_TIMEOUT {
                    return Err(failed(format!("{} doesn't serve", e.vm)));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

//! A deployment for tests: the real binary as entries and agents, stand-ins in process, relays on
//! all links between failure domains and to the platform.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::Write;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use base::{Digest, Outcome};
use bytes::Bytes;
use entry::admin::Status;
use lab::caller::{Reply, RequestSpec, send};
use lab::layout::{EntryVm, Layout, UpstreamVm};
use lab::standin::engine::{Behaviour, Engine};
use lab::standin::platform::Platform;
use lab::standin::relay::{LinkState, Side, Switchboard};
use lab::standin::service::PlainService;
use store::{Kv, Tables};
use table::Edition;
use tempfile::TempDir;
use tokio::sync::watch;
use web::{Client, DialOptions};
use weights::Manifest;

/// Longest wait for anything that must happen.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Lines of each log that a failing test shows.
const LOG_LINES: usize = 12;

/// Third numbers of addresses that one deployment takes.
const SIDES: u8 = 8;

/// The binary under test.
pub fn driftnotch() -> Command {
    Command::new(env!("CARGO_BIN_EXE_driftnotch"))
}

/// A number of loopback addresses that no other test process uses: who binds its lock has it.
fn net() -> u8 {
    static NET: OnceLock<(u8, UdpSocket)> = OnceLock::new();
    let (net, _lock) = NET.get_or_init(|| {
        (100..250)
            .find_map(|net| {
                let lock = UdpSocket::bind((std::net::Ipv4Addr::new(127, net, 255, 254), 9));
                lock.ok().map(|lock| (net, lock))
            })
            .expect("a free net")
    });
    *net
}

/// Addresses for the next deployment. Those still held by processes that outlived a test run that
/// was killed are passed over.
fn next_base() -> u8 {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let free = |base: &u8| {
        (0..SIDES).all(|side| {
            let vms = [11, 12, 13, 101, 102, 103].map(|host| (host, [18081, 18180, 8082, 8182]));
            vms.into_iter().all(|(host, ports)| {
                let ip = std::net::Ipv4Addr::new(127, net(), base + side, host);
                ports
                    .into_iter()
                    .all(|port| std::net::TcpStream::connect((ip, port)).is_err())
            })
        })
    };
    (0..60)
        .map(|_| 1 + SIDES * (NEXT.fetch_add(1, Ordering::Relaxed) % 30))
        .find(free)
        .expect("free addresses")
}

/// What a deployment looks like.
#[derive(Debug, Clone)]
pub struct Shape {
    pub domains: usize,
    pub entries: u8,
    pub engines: u8,
    pub services: u8,
    pub entry_lines: Vec<String>,
    pub agent_lines: Vec<String>,
    pub behaviour: Behaviour,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            domains: 1,
            entries: 2,
            engines: 2,
            services: 0,
            entry_lines: Vec::new(),
            agent_lines: Vec::new(),
            behaviour: Behaviour::default(),
        }
    }
}

/// A request with what came back.
#[derive(Debug, Clone)]
pub struct Sent {
    pub ask: RequestSpec,
    pub reply: Reply,
}

/// A running deployment; everything ends when it is dropped.
pub struct World {
    pub layout: Layout,
    pub platform: Platform,
    pub engines: BTreeMap<String, Engine>,
    pub services: BTreeMap<String, PlainService>,
    pub board: Switchboard,
    pub client: Client,
    shape: Shape,
    dir: TempDir,
    children: BTreeMap<String, Child>,
    _stop: watch::Sender<bool>,
}

impl Drop for World {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl World {
    /// Starts a deployment, all processes of it.
    pub async fn start(shape: Shape) -> World {
        let mut world = World::without_processes(shape).await;
        for e in world.layout.entry_vms() {
            world.start_vm(&e.vm);
        }
        for u in world.layout.upstream_vms() {
            world.start_vm(&u.vm);
        }
        world
    }

    /// Starts the stand-ins and relays, and writes the settings.
    pub async fn without_processes(shape: Shape) -> World {
        let mut layout = Layout::cajueiro(
            net(),
            next_base(),
            shape.entries,
            shape.engines,
            shape.services,
        );
        layout.domains.truncate(shape.domains);
        layout.relayed = true;
        let (stop_tx, stop) = watch::channel(false);
        let platform = Platform::start(layout.platform_listen_addrs(), None, stop.clone())
            .await
            .expect("the platform starts");
        platform.set_members(&layout.members());
        let board = Switchboard::default();
        let p = layout.platform();
        let mut known = vec![p.table, p.objects, p.members, p.origin];
        known.extend(layout.entry_vms().iter().map(|e| e.control));
        known.extend(
            layout
                .upstream_vms()
                .iter()
                .flat_map(|u| [u.listen, u.peer]),
        );
        for addr in known {
            board
                .relay(addr, layout.listen_addr(addr))
                .await
                .expect("a relay starts");
        }
        let mut engines = BTreeMap::new();
        let mut services = BTreeMap::new();
        for u in layout.upstream_vms() {
            if u.service {
                let service = PlainService::start(u.upstream, stop.clone()).await;
                services.insert(u.vm, service.expect("the service starts"));
            } else {
                let engine = Engine::start(u.upstream, shape.behaviour, stop.clone()).await;
                engines.insert(u.vm, engine.expect("the engine starts"));
            }
        }
        let world = World {
            layout,
            platform,
            engines,
            services,
            board,
            client: Client::new(DialOptions::with_timeout(Duration::from_secs(1))),
            shape,
            dir: tempfile::tempdir().expect("a directory"),
            children: BTreeMap::new(),
            _stop: stop_tx,
        };
        world.write_settings();
        world
    }

    fn write_settings(&self) {
        let quick = ["stop_notice: 300ms", "drain_timeout: 20s"].map(str::to_owned);
        for e in self.layout.entry_vms() {
            let mut lines = quick.to_vec();
            lines.extend(
                [
                    "table_poll: 100ms",
                    "members_poll: 100ms",
                    "heartbeat: 100ms",
                    "lease_beats: 20",
                ]
                .map(str::to_owned),
            );
            lines.extend(self.shape.entry_lines.clone());
            let lines = last_of_each(lines);
            self.write(
                &format!("{}.yaml", e.vm),
                &self.layout.entry_settings(&e, &lines),
            );
        }
        for u in self.layout.upstream_vms() {
            let mut lines = quick.to_vec();
            lines.push("engine_poll: 50ms".to_owned());
            lines.extend(self.shape.agent_lines.clone());
            if u.service {
                lines.push("models: [registry]".to_owned());
            }
            let lines = last_of_each(lines);
            self.write(
                &format!("{}.yaml", u.vm),
                &self.layout.agent_settings(&u, &lines),
            );
        }
        self.write("ana.yaml", &self.layout.operator_settings("ana"));
        self.write("bruno.yaml", &self.layout.operator_settings("bruno"));
    }

    /// Writes a file into the deployment's directory.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        let mut f = std::fs::File::create(&path).expect("a file");
        f.write_all(text.as_bytes()).expect("written");
        path
    }

    /// Adds lines to a VM's settings before it is started again.
    pub fn add_settings(&self, vm: &str, lines: &str) {
        let path = self.path(&format!("{vm}.yaml"));
        let text = std::fs::read_to_string(&path).expect("settings");
        std::fs::write(path, text + lines + "\n").expect("written");
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Starts the process of a VM.
    pub fn start_vm(&mut self, vm: &str) {
        let role = if vm.contains("-entry-") {
            "entry"
        } else {
            "agent"
        };
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(&format!("{vm}.log")))
            .expect("a log");
        let child = driftnotch()
            .args([role, "--settings"])
            .arg(self.path(&format!("{vm}.yaml")))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        self.children.insert(vm.to_owned(), child);
    }

    /// What a VM's process has logged.
    pub fn log(&self, vm: &str) -> String {
        std::fs::read_to_string(self.path(&format!("{vm}.log"))).unwrap_or_default()
    }

    /// Kills a VM's process.
    pub fn kill(&mut self, vm: &str) {
        let mut child = self.children.remove(vm).expect("it runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
    }

    /// Sends a signal by name.
    pub fn signal(&self, vm: &str, name: &str) {
        let pid = self.children[vm].id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until a VM's process has ended by itself; its exit code.
    pub async fn ended(&mut self, vm: &str) -> Option<i32> {
        let begun = Instant::now();
        loop {
            let child = self.children.get_mut(vm).expect("it was started");
            if let Some(status) = child.try_wait().expect("a child") {
                self.children.remove(vm);
                return status.code();
            }
            assert!(begun.elapsed() < PATIENCE, "{vm} does not end");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub fn entry(&self, i: usize) -> EntryVm {
        self.layout.entry_vms()[i].clone()
    }

    pub fn upstream(&self, i: usize) -> UpstreamVm {
        self.layout.upstream_vms()[i].clone()
    }

    pub fn side(&self, domain: usize) -> Side {
        self.layout.base + domain as u8
    }

    pub fn platform_side(&self) -> Side {
        self.side(self.layout.domains.len())
    }

    /// Cuts a failure domain off from the platform.
    pub fn cut_platform(&self, domain: usize) {
        self.board
            .set(self.side(domain), self.platform_side(), LinkState::Cut);
    }

    /// Cuts a failure domain off from all others.
    pub fn cut_neighbours(&self, domain: usize) {
        for other in (0..self.layout.domains.len()).filter(|o| *o != domain) {
            self.board
                .set(self.side(domain), self.side(other), LinkState::Cut);
        }
    }

    /// Publishes weights made from a seed.
    pub fn publish(&self, seed: u8, bytes: usize) -> Digest {
        let chunk = 64 << 10;
        let weights: Vec<u8> = (0..bytes).map(|i| (i / 7 % 251) as u8 ^ seed).collect();
        let manifest = Manifest::from_reader(weights.as_slice(), chunk).expect("a manifest");
        let version = manifest.digest();
        let key = format!("objects/manifest/{version}");
        let buf = Bytes::from(manifest.encode());
        self.platform.objects.store.put(&key, buf, None);
        self.platform.origin.weights.put(version, 0, &weights);
        version
    }

    pub fn tables(&self) -> Tables {
        // Past the relays: the operator's own link is not what is cut.
        let addr = self.layout.platform_listen_addrs().table;
        Tables::new(Kv::new(
            addr,
            DialOptions::with_timeout(Duration::from_secs(2)),
        ))
    }

    /// Puts rows in force, whatever was before.
    pub async fn apply(&self, rows: &[String]) -> Edition {
        let tables = self.tables();
        let current = tables
            .current(None)
            .await
            .expect("readable")
            .expect("asked anew");
        tables
            .apply(&current, csv(rows), "test")
            .await
            .expect("accepted")
    }

    /// Waits until a model's version is live on so many upstreams, the same number in each failure
    /// domain, as every entry of that domain sees it.
    pub async fn ready(&self, model: &str, version: &str, replicas: usize) {
        let all_ready = async || {
            let mut live = std::collections::BTreeSet::new();
            let mut seen_by_all = true;
            for e in self.running_entries() {
                let open = tokio::net::TcpStream::connect(e.listen).await.is_ok();
                let Some(status) = self.status(&e).await.filter(|_| open) else {
                    return false;
                };
                let up = |h: &entry::admin::HoldingStatus| {
                    h.live && h.model == model && h.version == version
                };
                let upstreams = status.upstreams.into_iter().filter(|u| !u.leaving);
                let here: Vec<String> = upstreams
                    .filter(|u| u.holdings.iter().any(up))
                    .map(|u| u.vm)
                    .collect();
                seen_by_all &= here.len() == replicas / self.shape.domains;
                live.extend(here);
            }
            seen_by_all && live.len() == replicas
        };
        if !comes(all_ready).await {
            let logs = self.last_logs();
            panic!("waited in vain for {replicas} replicas of {model} {version}{logs}");
        }
    }

    /// What all VMs have logged last, for a test that fails.
    pub fn last_logs(&self) -> String {
        let entries = self.layout.entry_vms().into_iter().map(|e| e.vm);
        let upstreams = self.layout.upstream_vms().into_iter().map(|u| u.vm);
        entries
            .chain(upstreams)
            .map(|vm| {
                let log = self.log(&vm);
                let lines: Vec<&str> = log.lines().collect();
                let last = lines[lines.len().saturating_sub(LOG_LINES)..].join("\n");
                format!("\n--- {vm}\n{last}")
            })
            .collect()
    }

    /// Entries whose process was started and not killed.
    fn running_entries(&self) -> Vec<EntryVm> {
        let mut entries = self.layout.entry_vms();
        entries.retain(|e| self.children.contains_key(&e.vm));
        entries
    }

    /// Waits until all running entries serve by a revision, and all their agents.
    pub async fn in_force(&self, revision: u64) {
        until(&format!("revision {revision} in force"), async || {
            for e in self.running_entries() {
                match self.status(&e).await {
                    None => return false,
                    Some(s) if s.revision < revision => return false,
                    Some(s) if s.upstreams.iter().any(|u| u.revision < revision) => return false,
                    _ => {}
                }
            }
            true
        })
        .await;
    }

    pub async fn status(&self, e: &EntryVm) -> Option<Status> {
        lab::caller::get_json(&self.client, e.admin, "/status").await
    }

    /// Sends a request to an entry.
    pub async fn send(&self, entry: usize, ask: &RequestSpec) -> Sent {
        let reply = send(&self.client, self.entry(entry).listen, ask).await;
        let ask = ask.clone();
        Sent { ask, reply }
    }

    /// How often a marker ran, by the ledgers of all engines and services.
    pub fn runs(&self, marker: &str) -> usize {
        let engines = self.engines.values().flat_map(|e| e.ledger());
        let services = self.services.values().flat_map(|s| s.ledger());
        engines.filter(|run| run.marker == marker).count()
            + services.filter(|call| call.body == marker).count()
    }

    /// Holds what callers were told against the ledgers.
    pub fn check(&self, sent: &[Sent]) {
        for s in sent {
            let marker = &s.ask.marker;
            let runs = self.runs(marker);
            assert_eq!(s.reply.mismatch(&s.ask), None, "a whole answer of its own");
            let once = s.ask.mark_unsafe || s.ask.key.is_some();
            assert!(!once || runs <= 1, "{marker} ran {runs} times");
            let alone = sent.iter().filter(|o| o.ask.marker == *marker).count() == 1;
            match s.reply.outcome {
                Some(Outcome::Done) => assert!(runs > 0, "{marker} is done yet never ran"),
                Some(Outcome::NotRun) if alone => {
                    assert_eq!(runs, 0, "{marker} is not-run yet ran: {:?}", s.reply);
                }
                _ => {}
            }
        }
    }

    /// Runs an operator's command.
    pub fn operate(&self, author: &str, args: &[&str]) -> Output {
        driftnotch()
            .args(args)
            .arg("--settings")
            .arg(self.path(&format!("{author}.yaml")))
            .output()
            .expect("the binary runs")
    }
}

/// Where a field is set twice, the later line counts.
fn last_of_each(lines: Vec<String>) -> Vec<String> {
    let mut kept: BTreeMap<String, String> = BTreeMap::new();
    for line in lines {
        let name = line.split(':').next().unwrap_or_default().to_owned();
        kept.insert(name, line);
    }
    kept.into_values().collect()
}

/// A table of rows.
pub fn csv(rows: &[String]) -> String {
    let head = "model,version,places,share,limits,priority,hold";
    format!("{head}\n{}\n", rows.join("\n"))
}

/// A row of a model in places, with all of the traffic and no limits.
pub fn row(model: &str, version: impl ToString, places: &str) -> String {
    format!("{model},{},{places},100,,5,serve", version.to_string())
}

/// Waits until something is so.
pub async fn until(what: &str, is: impl AsyncFn() -> bool) {
    assert!(comes(is).await, "waited in vain for {what}");
}

/// Whether something comes to be so within the patience.
async fn comes(is: impl AsyncFn() -> bool) -> bool {
    let begun = Instant::now();
    while !is().await {
        if begun.elapsed() > PATIENCE {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    true
}

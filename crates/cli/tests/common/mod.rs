//! A cluster for tests: entries and agents run as processes of the real binary, platform, engines and services
//! as stand-ins in the test's process. Relays carry all links between failure domains and to the platform.
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

/// Timeout for every condition that a test waits for.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Number of lines of each log that a failing test prints.
const LOG_TAIL_LINES: usize = 12;

/// Number of values of an address's third octet that one cluster uses.
const SIDES_PER_CLUSTER: u8 = 8;

/// Returns a command that runs the binary under test.
pub fn driftnotch() -> Command {
    Command::new(env!("CARGO_BIN_EXE_driftnotch"))
}

/// Returns the second octet of loopback addresses that no other test process uses. A test process reserves an
/// octet by binding a UDP socket in its range.
fn net_number() -> u8 {
    static NET: OnceLock<(u8, UdpSocket)> = OnceLock::new();
    let (net, _lock) = NET.get_or_init(|| {
        (100..250)
            .find_map(|net| {
                let lock = UdpSocket::bind((std::net::Ipv4Addr::new(127, net, 255, 254), 9));
                lock.ok().map(|lock| (net, lock))
            })
            .expect("a free range of loopback addresses")
    });
    *net
}

/// Returns the third octet at which the next cluster's addresses begin. Skips addresses on which processes
/// that survived a killed test run still listen.
fn next_free_base() -> u8 {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let is_free = |base: &u8| {
        (0..SIDES_PER_CLUSTER).all(|side| {
            let vms = [11, 12, 13, 101, 102, 103].map(|host| (host, [18081, 18180, 8082, 8182]));
            vms.into_iter().all(|(host, ports)| {
                let ip = std::net::Ipv4Addr::new(127, net_number(), base + side, host);
                ports
                    .into_iter()
                    .all(|port| std::net::TcpStream::connect((ip, port)).is_err())
            })
        })
    };
    (0..60)
        .map(|_| 1 + SIDES_PER_CLUSTER * (NEXT.fetch_add(1, Ordering::Relaxed) % 30))
        .find(is_free)
        .expect("free addresses for a cluster")
}

/// Size and settings of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    pub domains: usize,
    pub entries: u8,
    pub engines: u8,
    pub services: u8,
    pub entry_lines: Vec<String>,
    pub agent_lines: Vec<String>,
    pub behaviour: Behaviour,
}

impl Default for ClusterSpec {
    fn default() -> ClusterSpec {
        ClusterSpec {
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

/// A request with its response.
#[derive(Debug, Clone)]
pub struct Sent {
    pub ask: RequestSpec,
    pub reply: Reply,
}

/// A running cluster; dropping it kills the processes and stops the stand-ins.
pub struct Cluster {
    pub layout: Layout,
    pub platform: Platform,
    pub engines: BTreeMap<String, Engine>,
    pub services: BTreeMap<String, PlainService>,
    pub board: Switchboard,
    pub client: Client,
    spec: ClusterSpec,
    dir: TempDir,
    children: BTreeMap<String, Child>,
    _stop: watch::Sender<bool>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Cluster {
    /// Starts a cluster with all of its processes.
    pub async fn start(spec: ClusterSpec) -> Cluster {
        let mut cluster = Cluster::without_processes(spec).await;
        for e in cluster.layout.entry_vms() {
            cluster.start_vm(&e.vm);
        }
        for u in cluster.layout.upstream_vms() {
            cluster.start_vm(&u.vm);
        }
        cluster
    }

    /// Starts the stand-ins and relays, and writes the settings, without starting a process.
    pub async fn without_processes(spec: ClusterSpec) -> Cluster {
        let mut layout = Layout::cajueiro(
            net_number(),
            next_free_base(),
            spec.entries,
            spec.engines,
            spec.services,
        );
        layout.domains.truncate(spec.domains);
        layout.relayed = true;
        let (stop_tx, stop) = watch::channel(false);
        let platform = Platform::start(layout.platform_listen_addrs(), None, stop.clone())
            .await
            .expect("the platform starts");
        platform.set_members(&layout.members());
        let board = Switchboard::default();
        let p = layout.platform();
        let mut relayed = vec![p.table, p.objects, p.members, p.origin];
        relayed.extend(layout.entry_vms().iter().map(|e| e.control));
        relayed.extend(
            layout
                .upstream_vms()
                .iter()
                .flat_map(|u| [u.listen, u.peer]),
        );
        for addr in relayed {
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
                let engine = Engine::start(u.upstream, spec.behaviour, stop.clone()).await;
                engines.insert(u.vm, engine.expect("the engine starts"));
            }
        }
        let cluster = Cluster {
            layout,
            platform,
            engines,
            services,
            board,
            client: Client::new(DialOptions::with_timeout(Duration::from_secs(1))),
            spec,
            dir: tempfile::tempdir().expect("a directory"),
            children: BTreeMap::new(),
            _stop: stop_tx,
        };
        cluster.write_settings();
        cluster
    }

    fn write_settings(&self) {
        let stop_settings = ["stop_notice: 300ms", "drain_timeout: 20s"].map(str::to_owned);
        for e in self.layout.entry_vms() {
            let mut lines = stop_settings.to_vec();
            lines.extend(
                [
                    "table_poll: 100ms",
                    "members_poll: 100ms",
                    "heartbeat: 100ms",
                    "lease_beats: 20",
                ]
                .map(str::to_owned),
            );
            lines.extend(self.spec.entry_lines.clone());
            let lines = dedup_settings(lines);
            self.write(
                &format!("{}.yaml", e.vm),
                &self.layout.entry_settings(&e, &lines),
            );
        }
        for u in self.layout.upstream_vms() {
            let mut lines = stop_settings.to_vec();
            lines.push("engine_poll: 50ms".to_owned());
            lines.extend(self.spec.agent_lines.clone());
            if u.service {
                lines.push("models: [registry]".to_owned());
            }
            let lines = dedup_settings(lines);
            self.write(
                &format!("{}.yaml", u.vm),
                &self.layout.agent_settings(&u, &lines),
            );
        }
        self.write("ana.yaml", &self.layout.operator_settings("ana"));
        self.write("bruno.yaml", &self.layout.operator_settings("bruno"));
    }

    /// Writes a file into the cluster's directory, and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        let mut f = std::fs::File::create(&path).expect("a file");
        f.write_all(text.as_bytes()).expect("written");
        path
    }

    /// Appends lines to a VM's settings, for its next start or reload.
    pub fn add_settings(&self, vm: &str, lines: &str) {
        let path = self.path(&format!("{vm}.yaml"));
        let text = std::fs::read_to_string(&path).expect("settings");
        std::fs::write(path, text + lines + "\n").expect("written");
    }

    /// Returns the path of a file in the cluster's directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Starts the process of a VM, an entry or an agent by the VM's name.
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

    /// Returns what a VM's processes have logged.
    pub fn log(&self, vm: &str) -> String {
        std::fs::read_to_string(self.path(&format!("{vm}.log"))).unwrap_or_default()
    }

    /// Kills a VM's process.
    pub fn kill(&mut self, vm: &str) {
        let mut child = self.children.remove(vm).expect("the VM's process runs");
        child.kill().expect("killed");
        child.wait().expect("the process exits");
    }

    /// Sends a signal, by its name, to a VM's process.
    pub fn signal(&self, vm: &str, name: &str) {
        let pid = self.children[vm].id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until a VM's process exits by itself; returns its exit code.
    pub async fn wait_exit(&mut self, vm: &str) -> Option<i32> {
        let started = Instant::now();
        loop {
            let child = self
                .children
                .get_mut(vm)
                .expect("the VM's process was started");
            if let Some(status) = child.try_wait().expect("a child") {
                self.children.remove(vm);
                return status.code();
            }
            assert!(started.elapsed() < TIMEOUT, "{vm} does not exit");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the entry VM with an index.
    pub fn entry(&self, i: usize) -> EntryVm {
        self.layout.entry_vms()[i].clone()
    }

    /// Returns the upstream VM with an index.
    pub fn upstream(&self, i: usize) -> UpstreamVm {
        self.layout.upstream_vms()[i].clone()
    }

    /// Returns the relays' side of a failure domain.
    pub fn side(&self, domain: usize) -> Side {
        self.layout.base + domain as u8
    }

    /// Returns the relays' side of the platform.
    pub fn platform_side(&self) -> Side {
        self.side(self.layout.domains.len())
    }

    /// Cuts the link between a failure domain and the platform.
    pub fn cut_platform(&self, domain: usize) {
        self.board
            .set(self.side(domain), self.platform_side(), LinkState::Cut);
    }

    /// Cuts the links between a failure domain and all others.
    pub fn cut_neighbours(&self, domain: usize) {
        for other in (0..self.layout.domains.len()).filter(|o| *o != domain) {
            self.board
                .set(self.side(domain), self.side(other), LinkState::Cut);
        }
    }

    /// Publishes weights generated from a seed; returns their version.
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

    /// Returns a client for the platform's table.
    pub fn tables(&self) -> Tables {
        // Bypasses the relays: the operator's link stays up while others are cut.
        let addr = self.layout.platform_listen_addrs().table;
        Tables::new(Kv::new(
            addr,
            DialOptions::with_timeout(Duration::from_secs(2)),
        ))
    }

    /// Applies rows on top of the current edition; returns the new edition.
    pub async fn apply(&self, rows: &[String]) -> Edition {
        let tables = self.tables();
        let current = tables
            .current(None)
            .await
            .expect("readable")
            .expect("an edition");
        tables
            .apply(&current, csv(rows), "test")
            .await
            .expect("accepted")
    }

    /// Waits until a model's version is live on `replicas` upstreams, the same number in each failure domain,
    /// as reported by every entry of that domain.
    pub async fn wait_ready(&self, model: &str, version: &str, replicas: usize) {
        let all_ready = async || {
            let mut live = std::collections::BTreeSet::new();
            let mut reported_by_all = true;
            for e in self.running_entries() {
                let open = tokio::net::TcpStream::connect(e.listen).await.is_ok();
                let Some(status) = self.status(&e).await.filter(|_| open) else {
                    return false;
                };
                let up = |h: &entry::admin::HoldingStatus| {
                    h.live && h.model == model && h.version == version
                };
                let upstreams = status.upstreams.into_iter().filter(|u| !u.leaving);
                let replicas_here: Vec<String> = upstreams
                    .filter(|u| u.holdings.iter().any(up))
                    .map(|u| u.vm)
                    .collect();
                reported_by_all &= replicas_here.len() == replicas / self.spec.domains;
                live.extend(replicas_here);
            }
            reported_by_all && live.len() == replicas
        };
        if !becomes_true(all_ready).await {
            let logs = self.log_tails();
            panic!("timed out waiting for {replicas} replicas of {model} {version}{logs}");
        }
    }

    /// Returns the last lines of all VMs' logs.
    pub fn log_tails(&self) -> String {
        let entries = self.layout.entry_vms().into_iter().map(|e| e.vm);
        let upstreams = self.layout.upstream_vms().into_iter().map(|u| u.vm);
        entries
            .chain(upstreams)
            .map(|vm| {
                let log = self.log(&vm);
                let lines: Vec<&str> = log.lines().collect();
                let last = lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n");
                format!("\n--- {vm}\n{last}")
            })
            .collect()
    }

    /// Returns the entries whose process was started and not killed.
    fn running_entries(&self) -> Vec<EntryVm> {
        let mut entries = self.layout.entry_vms();
        entries.retain(|e| self.children.contains_key(&e.vm));
        entries
    }

    /// Waits until all running entries and their agents serve by at least a revision.
    pub async fn wait_in_force(&self, revision: u64) {
        wait_for(&format!("revision {revision} to be in force"), async || {
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

    /// Returns the status that an entry reports; `None` where it doesn't respond.
    pub async fn status(&self, e: &EntryVm) -> Option<Status> {
        lab::caller::get_json(&self.client, e.admin, "/status").await
    }

    /// Sends a request to an entry.
    pub async fn send(&self, entry: usize, ask: &RequestSpec) -> Sent {
        let reply = send(&self.client, self.entry(entry).listen, ask).await;
        let ask = ask.clone();
        Sent { ask, reply }
    }

    /// Returns how often a marker ran, according to the ledgers of all engines and services.
    pub fn run_count(&self, marker: &str) -> usize {
        let engines = self.engines.values().flat_map(|e| e.ledger());
        let services = self.services.values().flat_map(|s| s.ledger());
        engines.filter(|run| run.marker == marker).count()
            + services.filter(|call| call.body == marker).count()
    }

    /// Asserts that the outcomes reported to callers agree with the ledgers of engines and services.
    pub fn check_outcomes(&self, sent: &[Sent]) {
        for s in sent {
            let marker = &s.ask.marker;
            let runs = self.run_count(marker);
            assert_eq!(
                s.reply.mismatch(&s.ask),
                None,
                "a complete response to this request"
            );
            let at_most_once = s.ask.mark_unsafe || s.ask.key.is_some();
            assert!(!at_most_once || runs <= 1, "{marker} ran {runs} times");
            let sent_once = sent.iter().filter(|o| o.ask.marker == *marker).count() == 1;
            match s.reply.outcome {
                Some(Outcome::Done) => assert!(runs > 0, "{marker} is done but never ran"),
                Some(Outcome::NotRun) if sent_once => {
                    assert_eq!(runs, 0, "{marker} is not-run but ran: {:?}", s.reply);
                }
                _ => {}
            }
        }
    }

    /// Runs a command with an operator's settings.
    pub fn run_command(&self, author: &str, args: &[&str]) -> Output {
        driftnotch()
            .args(args)
            .arg("--settings")
            .arg(self.path(&format!("{author}.yaml")))
            .output()
            .expect("the binary runs")
    }
}

/// Keeps the last line of each field.
fn dedup_settings(lines: Vec<String>) -> Vec<String> {
    let mut by_name: BTreeMap<String, String> = BTreeMap::new();
    for line in lines {
        let name = line.split(':').next().unwrap_or_default().to_owned();
        by_name.insert(name, line);
    }
    by_name.into_values().collect()
}

/// Returns the CSV text of a table of rows.
pub fn csv(rows: &[String]) -> String {
    let head = "model,version,places,share,limits,priority,hold";
    format!("{head}\n{}\n", rows.join("\n"))
}

/// Returns a row that places a model, with all of its traffic and without limits.
pub fn row(model: &str, version: impl ToString, places: &str) -> String {
    format!("{model},{},{places},100,,5,serve", version.to_string())
}

/// Waits until a condition holds; panics after [`TIMEOUT`].
pub async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    assert!(
        becomes_true(condition).await,
        "timed out waiting for {what}"
    );
}

/// Returns whether a condition comes to hold within [`TIMEOUT`].
async fn becomes_true(condition: impl AsyncFn() -> bool) -> bool {
    let started = Instant::now();
    while !condition().await {
        if started.elapsed() > TIMEOUT {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    true
}

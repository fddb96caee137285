//! Stateful fuzzing of a whole cluster under faults. The ledgers of the engines are the oracle for the outcomes
//! that callers are told.
//!
//! A longer run: `PROPTEST_CASES=100 cargo test -p driftnotch --test fuzz -- --nocapture`.

mod common;

use std::time::Duration;

use base::{Digest, Outcome};
use common::Cluster;
use common::ClusterSpec;
use common::Sent;
use common::row;
use common::wait_for;
use lab::caller::RequestSpec;
use lab::standin::fault::Faults;
use lab::standin::relay::LinkState;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

const MODEL: &str = "changelog";
const ENTRIES: usize = 2;
const AGENTS: usize = 3;

/// Number of requests that one step sends.
const REQUESTS_PER_STEP: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    Send(usize),
    Resend(usize, usize),
    WaitForResponses,
    KillAgent(usize),
    KillEntry(usize),
    Start,
    Freeze(usize),
    Thaw,
    EmptyEngine(usize),
    TableDown(bool),
    LoseWrites(u32),
    DropWrites(u32),
    CutPlatform(bool),
    Edit(bool),
}

/// Reference state: the VMs that are dead or frozen, which restricts the choice of steps.
#[derive(Debug, Clone, Default)]
struct VmStates {
    dead: Vec<String>,
    frozen: Vec<usize>,
}

impl ReferenceStateMachine for VmStates {
    type State = VmStates;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<VmStates> {
        Just(VmStates::default()).boxed()
    }

    fn transitions(_: &VmStates) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..ENTRIES).prop_map(Step::Send),
            4 => (0..ENTRIES, 0..100usize).prop_map(|(e, n)| Step::Resend(e, n)),
            3 => Just(Step::WaitForResponses),
            1 => (0..AGENTS).prop_map(Step::KillAgent),
            1 => (0..ENTRIES).prop_map(Step::KillEntry),
            2 => Just(Step::Start),
            1 => (0..AGENTS).prop_map(Step::Freeze),
            2 => Just(Step::Thaw),
            1 => (0..AGENTS).prop_map(Step::EmptyEngine),
            1 => any::<bool>().prop_map(Step::TableDown),
            1 => (1..4u32).prop_map(Step::LoseWrites),
            1 => (1..4u32).prop_map(Step::DropWrites),
            1 => any::<bool>().prop_map(Step::CutPlatform),
            1 => any::<bool>().prop_map(Step::Edit),
        ]
        .boxed()
    }

    fn preconditions(vms: &VmStates, step: &Step) -> bool {
        match step {
            Step::KillAgent(i) => !vms.dead.contains(&agent(*i)) && !vms.frozen.contains(i),
            Step::KillEntry(i) => !vms.dead.contains(&entry(*i)),
            Step::Freeze(i) => !vms.dead.contains(&agent(*i)) && !vms.frozen.contains(i),
            _ => true,
        }
    }

    fn apply(mut vms: VmStates, step: &Step) -> VmStates {
        match step {
            Step::KillAgent(i) => vms.dead.push(agent(*i)),
            Step::KillEntry(i) => vms.dead.push(entry(*i)),
            Step::Start => vms.dead.clear(),
            Step::Freeze(i) => vms.frozen.push(*i),
            Step::Thaw => vms.frozen.clear(),
            _ => {}
        }
        vms
    }
}

fn agent(i: usize) -> String {
    format!("recife-engine-{}", i + 1)
}

fn entry(i: usize) -> String {
    format!("recife-entry-{}", i + 1)
}

/// System under test: the cluster, with the requests sent so far.
struct Sut {
    runtime: Runtime,
    cluster: Cluster,
    versions: [Digest; 2],
    requests: Vec<RequestSpec>,
    pending: Vec<JoinHandle<Sent>>,
    sent: Vec<Sent>,
    dead: Vec<String>,
    frozen: Vec<String>,
    edited: bool,
}

impl Sut {
    fn send(&mut self, entry: usize, ask: RequestSpec) {
        let (client, to) = (
            self.cluster.client.clone(),
            self.cluster.entry(entry).listen,
        );
        self.pending.push(self.runtime.spawn(async move {
            let reply = lab::caller::send(&client, to, &ask).await;
            Sent { ask, reply }
        }));
    }

    /// Sends new requests of all kinds to an entry.
    fn send_batch(&mut self, entry: usize) {
        for _ in 0..REQUESTS_PER_STEP {
            let n = self.requests.len();
            let plain = RequestSpec {
                tokens: 3 + (n % 5) as u32 * 10,
                deadline: Duration::from_secs(3),
                ..RequestSpec::completion(MODEL, &format!("fuzz{n}"))
            };
            let ask = match n % 4 {
                0 => plain,
                1 => RequestSpec {
                    stream: true,
                    ..plain
                },
                2 => RequestSpec {
                    mark_unsafe: true,
                    ..plain
                },
                _ => RequestSpec {
                    key: Some(format!("key{n}")),
                    mark_unsafe: true,
                    ..plain
                },
            };
            self.requests.push(ask.clone());
            self.send(entry, ask);
        }
    }

    /// Resends a request that has a key, as a caller does after a lost response.
    fn resend(&mut self, entry: usize, n: usize) {
        let with_key: Vec<RequestSpec> = self
            .requests
            .iter()
            .filter(|a| a.key.is_some())
            .cloned()
            .collect();
        if let Some(ask) = with_key.get(n % with_key.len().max(1)) {
            self.send(entry, ask.clone());
        }
    }

    /// Waits for the responses to all pending requests.
    fn wait_for_responses(&mut self) {
        for task in self.pending.drain(..) {
            self.sent
                .push(self.runtime.block_on(task).expect("a caller"));
        }
    }

    fn set_faults(&self, change: impl Fn(&mut Faults)) {
        let mut faults = self.cluster.platform.table.faults.get();
        change(&mut faults);
        self.cluster.platform.table.faults.set(faults);
    }

    fn start_dead_vms(&mut self) {
        for vm in std::mem::take(&mut self.dead) {
            self.cluster.start_vm(&vm);
        }
    }

    fn thaw_frozen_agents(&mut self) {
        for vm in std::mem::take(&mut self.frozen) {
            self.cluster.signal(&vm, "CONT");
        }
    }

    /// Applies an edit that places the first or the second version.
    fn edit(&mut self, second: bool) {
        let version = self.versions[usize::from(second)];
        let cluster = &self.cluster;
        // An edit may fail under a fault of the table; the last accepted edition then stays in force.
        self.runtime.block_on(async {
            let tables = cluster.tables();
            if let Ok(Some(current)) = tables.current(None).await {
                let csv = common::csv(&[row(MODEL, version, "recife")]);
                let _ = tables.apply(&current, csv, "fuzz").await;
            }
        });
        self.edited = true;
    }
}

struct ClusterTest;

impl StateMachineTest for ClusterTest {
    type SystemUnderTest = Sut;
    type Reference = VmStates;

    fn init_test(_: &VmStates) -> Sut {
        let runtime = Runtime::new().expect("a runtime");
        let (cluster, versions) = runtime.block_on(async {
            let lines = vec![
                "attempt_timeout: 1s".to_owned(),
                "platform_timeout: 500ms".to_owned(),
            ];
            let spec = ClusterSpec {
                entries: ENTRIES as u8,
                engines: AGENTS as u8,
                entry_lines: lines,
                ..ClusterSpec::default()
            };
            let cluster = Cluster::start(spec).await;
            let versions = [cluster.publish(1, 200_000), cluster.publish(2, 200_000)];
            cluster.apply(&[row(MODEL, versions[0], "recife")]).await;
            cluster
                .wait_ready(MODEL, &versions[0].to_string(), AGENTS)
                .await;
            (cluster, versions)
        });
        Sut {
            runtime,
            cluster,
            versions,
            requests: Vec::new(),
            pending: Vec::new(),
            sent: Vec::new(),
            dead: Vec::new(),
            frozen: Vec::new(),
            edited: false,
        }
    }

    fn apply(mut sut: Sut, _: &VmStates, step: Step) -> Sut {
        match step {
            Step::Send(entry) => sut.send_batch(entry),
            Step::Resend(entry, n) => sut.resend(entry, n),
            Step::WaitForResponses => sut.wait_for_responses(),
            Step::KillAgent(i) => {
                sut.cluster.kill(&agent(i));
                sut.dead.push(agent(i));
            }
            Step::KillEntry(i) => {
                sut.cluster.kill(&entry(i));
                sut.dead.push(entry(i));
            }
            Step::Start => sut.start_dead_vms(),
            Step::Freeze(i) => {
                sut.cluster.signal(&agent(i), "STOP");
                sut.frozen.push(agent(i));
            }
            Step::Thaw => sut.thaw_frozen_agents(),
            Step::EmptyEngine(i) => sut.cluster.engines[&agent(i)].restart(),
            Step::TableDown(down) => sut.set_faults(|f| f.down = down),
            Step::LoseWrites(n) => sut.set_faults(|f| f.lose_writes = n),
            Step::DropWrites(n) => sut.set_faults(|f| f.drop_writes = n),
            Step::CutPlatform(true) => sut.cluster.cut_platform(0),
            Step::CutPlatform(false) => sut.cluster.board.set(
                sut.cluster.side(0),
                sut.cluster.platform_side(),
                LinkState::Up,
            ),
            Step::Edit(second) => sut.edit(second),
        }
        sut
    }

    fn check_invariants(sut: &Sut, _: &VmStates) {
        sut.cluster.check_outcomes(&sut.sent);
    }

    /// Removes all faults, waits for all responses, and asserts that the outcomes agree with the ledgers and that
    /// the cluster serves again.
    fn teardown(mut sut: Sut, _: VmStates) {
        sut.thaw_frozen_agents();
        sut.start_dead_vms();
        sut.set_faults(|f| *f = Faults::default());
        sut.cluster.board.heal();
        sut.wait_for_responses();
        sut.cluster.check_outcomes(&sut.sent);
        let count = |o: Outcome| {
            sut.sent
                .iter()
                .filter(|s| s.reply.outcome == Some(o))
                .count()
        };
        println!(
            "{} requests: {} done, {} not-run, {} unknown, {} without a response",
            sut.sent.len(),
            count(Outcome::Done),
            count(Outcome::NotRun),
            count(Outcome::Unknown),
            sut.sent
                .iter()
                .filter(|s| s.reply.outcome.is_none())
                .count(),
        );
        let cluster = &sut.cluster;
        sut.runtime
            .block_on(wait_for("the healed cluster to serve", async || {
                let ask =
                    RequestSpec::completion(MODEL, &format!("healed{:x}", rand::random::<u64>()));
                cluster.send(0, &ask).await.reply.outcome == Some(Outcome::Done)
            }));
    }
}

prop_state_machine! {
    #![proptest_config(proptest::test_runner::Config { max_shrink_iters: 20, ..cases::cases(4) })]

    #[test]
    fn outcomes_agree_with_the_ledgers_under_all_faults(sequential 10..40 => ClusterTest);
}

//! Stateful fuzzing of a whole deployment against a simple oracle: the ledgers of the engines.
//!
//! A longer run: `PROPTEST_CASES=100 cargo test -p driftnotch --test fuzz -- --nocapture`.

mod common;

use std::time::Duration;

use base::{Digest, Outcome};
use common::{Sent, Shape, World, row, until};
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

/// Requests sent by one step.
const AT_ONCE: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    Send(usize),
    Resend(usize, usize),
    Settle,
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

/// Which VMs are up, as far as the choice of steps needs to know.
#[derive(Debug, Clone, Default)]
struct Ups {
    dead: Vec<String>,
    frozen: Vec<usize>,
}

impl ReferenceStateMachine for Ups {
    type State = Ups;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Ups> {
        Just(Ups::default()).boxed()
    }

    fn transitions(_: &Ups) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..ENTRIES).prop_map(Step::Send),
            4 => (0..ENTRIES, 0..100usize).prop_map(|(e, n)| Step::Resend(e, n)),
            3 => Just(Step::Settle),
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

    fn preconditions(ups: &Ups, step: &Step) -> bool {
        match step {
            Step::KillAgent(i) => !ups.dead.contains(&agent(*i)) && !ups.frozen.contains(i),
            Step::KillEntry(i) => !ups.dead.contains(&entry(*i)),
            Step::Freeze(i) => !ups.dead.contains(&agent(*i)) && !ups.frozen.contains(i),
            _ => true,
        }
    }

    fn apply(mut ups: Ups, step: &Step) -> Ups {
        match step {
            Step::KillAgent(i) => ups.dead.push(agent(*i)),
            Step::KillEntry(i) => ups.dead.push(entry(*i)),
            Step::Start => ups.dead.clear(),
            Step::Freeze(i) => ups.frozen.push(*i),
            Step::Thaw => ups.frozen.clear(),
            _ => {}
        }
        ups
    }
}

fn agent(i: usize) -> String {
    format!("recife-engine-{}", i + 1)
}

fn entry(i: usize) -> String {
    format!("recife-entry-{}", i + 1)
}

struct Sut {
    runtime: Runtime,
    world: World,
    versions: [Digest; 2],
    asked: Vec<RequestSpec>,
    pending: Vec<JoinHandle<Sent>>,
    sent: Vec<Sent>,
    dead: Vec<String>,
    frozen: Vec<String>,
    edited: bool,
}

impl Sut {
    fn send(&mut self, entry: usize, ask: RequestSpec) {
        let (client, to) = (self.world.client.clone(), self.world.entry(entry).listen);
        self.pending.push(self.runtime.spawn(async move {
            let reply = lab::caller::send(&client, to, &ask).await;
            Sent { ask, reply }
        }));
    }

    fn send_some(&mut self, entry: usize) {
        for _ in 0..AT_ONCE {
            let n = self.asked.len();
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
            self.asked.push(ask.clone());
            self.send(entry, ask);
        }
    }

    /// Sends one of the requests with a key again, as a caller would that lost its answer.
    fn resend(&mut self, entry: usize, n: usize) {
        let keyed: Vec<RequestSpec> = self
            .asked
            .iter()
            .filter(|a| a.key.is_some())
            .cloned()
            .collect();
        if let Some(ask) = keyed.get(n % keyed.len().max(1)) {
            self.send(entry, ask.clone());
        }
    }

    fn settle(&mut self) {
        for task in self.pending.drain(..) {
            self.sent
                .push(self.runtime.block_on(task).expect("a caller"));
        }
    }

    fn set_faults(&self, change: impl Fn(&mut Faults)) {
        let mut faults = self.world.platform.table.faults.get();
        change(&mut faults);
        self.world.platform.table.faults.set(faults);
    }

    fn start_dead(&mut self) {
        for vm in std::mem::take(&mut self.dead) {
            self.world.start_vm(&vm);
        }
    }

    fn thaw_frozen(&mut self) {
        for vm in std::mem::take(&mut self.frozen) {
            self.world.signal(&vm, "CONT");
        }
    }

    fn edit(&mut self, second: bool) {
        let version = self.versions[usize::from(second)];
        let world = &self.world;
        // Under a fault of the table an edit may fail; what then holds is the last accepted one.
        self.runtime.block_on(async {
            let tables = world.tables();
            if let Ok(Some(current)) = tables.current(None).await {
                let csv = common::csv(&[row(MODEL, version, "recife")]);
                let _ = tables.apply(&current, csv, "fuzz").await;
            }
        });
        self.edited = true;
    }
}

struct Deployment;

impl StateMachineTest for Deployment {
    type SystemUnderTest = Sut;
    type Reference = Ups;

    fn init_test(_: &Ups) -> Sut {
        let runtime = Runtime::new().expect("a runtime");
        let (world, versions) = runtime.block_on(async {
            let lines = vec![
                "attempt_timeout: 1s".to_owned(),
                "platform_timeout: 500ms".to_owned(),
            ];
            let shape = Shape {
                entries: ENTRIES as u8,
                engines: AGENTS as u8,
                entry_lines: lines,
                ..Shape::default()
            };
            let world = World::start(shape).await;
            let versions = [world.publish(1, 200_000), world.publish(2, 200_000)];
            world.apply(&[row(MODEL, versions[0], "recife")]).await;
            world.ready(MODEL, &versions[0].to_string(), AGENTS).await;
            (world, versions)
        });
        Sut {
            runtime,
            world,
            versions,
            asked: Vec::new(),
            pending: Vec::new(),
            sent: Vec::new(),
            dead: Vec::new(),
            frozen: Vec::new(),
            edited: false,
        }
    }

    fn apply(mut sut: Sut, _: &Ups, step: Step) -> Sut {
        match step {
            Step::Send(entry) => sut.send_some(entry),
            Step::Resend(entry, n) => sut.resend(entry, n),
            Step::Settle => sut.settle(),
            Step::KillAgent(i) => {
                sut.world.kill(&agent(i));
                sut.dead.push(agent(i));
            }
            Step::KillEntry(i) => {
                sut.world.kill(&entry(i));
                sut.dead.push(entry(i));
            }
            Step::Start => sut.start_dead(),
            Step::Freeze(i) => {
                sut.world.signal(&agent(i), "STOP");
                sut.frozen.push(agent(i));
            }
            Step::Thaw => sut.thaw_frozen(),
            Step::EmptyEngine(i) => sut.world.engines[&agent(i)].restart(),
            Step::TableDown(down) => sut.set_faults(|f| f.down = down),
            Step::LoseWrites(n) => sut.set_faults(|f| f.lose_writes = n),
            Step::DropWrites(n) => sut.set_faults(|f| f.drop_writes = n),
            Step::CutPlatform(true) => sut.world.cut_platform(0),
            Step::CutPlatform(false) => {
                sut.world
                    .board
                    .set(sut.world.side(0), sut.world.platform_side(), LinkState::Up)
            }
            Step::Edit(second) => sut.edit(second),
        }
        sut
    }

    fn check_invariants(sut: &Sut, _: &Ups) {
        sut.world.check(&sut.sent);
    }

    /// Everything heals, all callers get their answers, and what they were told is held against
    /// the ledgers; then the deployment serves again.
    fn teardown(mut sut: Sut, _: Ups) {
        sut.thaw_frozen();
        sut.start_dead();
        sut.set_faults(|f| *f = Faults::default());
        sut.world.board.heal();
        sut.settle();
        sut.world.check(&sut.sent);
        let told = |o: Outcome| {
            sut.sent
                .iter()
                .filter(|s| s.reply.outcome == Some(o))
                .count()
        };
        println!(
            "{} requests: {} done, {} not-run, {} unknown, {} without an answer",
            sut.sent.len(),
            told(Outcome::Done),
            told(Outcome::NotRun),
            told(Outcome::Unknown),
            sut.sent
                .iter()
                .filter(|s| s.reply.outcome.is_none())
                .count(),
        );
        let world = &sut.world;
        sut.runtime
            .block_on(until("the healed deployment to serve", async || {
                let ask =
                    RequestSpec::completion(MODEL, &format!("healed{:x}", rand::random::<u64>()));
                world.send(0, &ask).await.reply.outcome == Some(Outcome::Done)
            }));
    }
}

prop_state_machine! {
    #![proptest_config(proptest::test_runner::Config { max_shrink_iters: 20, ..cases::cases(4) })]

    #[test]
    fn what_callers_are_told_is_true_whatever_fails(sequential 10..40 => Deployment);
}

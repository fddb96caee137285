//! A part of a prompt under which engines exit, and outages, in fleets of several sizes.
//!
//! Load: engines run eight harmless requests each, of 1.5 s, with a common first part and a rarer second one. Five
//! requests a second have a fatal second part; an engine starts them after 0.3 s and exits 50 ms later, for 4 s. Evidence
//! reaches the other gateways after 20 ms.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashSet};
use std::time::{Duration, Instant};

use base::Fingerprint;
use decide::part_evidence::{LostRun, PartEvidence};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const FATAL: u64 = 0;
const FIRST_PARTS: u64 = 60;
const SECOND_PARTS: u64 = 1000;
const SLOTS: usize = 8;

/// Times in milliseconds.
const RUN_TIME: u64 = 1500;
const EXIT_DELAY: u64 = 350;
const FATAL_INTERVAL: u64 = 200;
const DOWN_TIME: u64 = 4000;
const UPDATE_DELAY: u64 = 20;
const END: u64 = 15_000;

/// Time after the fifth exit from which at most three fatal requests may be sent.
const SETTLE_TIME: u64 = 3000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Harmless,
    Fatal,
    /// End of the run with this number.
    End(usize),
    /// Exit of an engine.
    Exit(usize),
    Start(usize),
    /// Arrival of an update at the gateways other than its sender.
    Update(usize),
}

#[derive(Debug, Clone)]
struct Run {
    gateway: usize,
    engine: usize,
    parts: [u64; 2],
    started: u64,
}

#[derive(Debug, Clone)]
enum Update {
    Lost(LostRun),
    Completed(Vec<Fingerprint>, u64),
}

struct Fleet {
    start: Instant,
    rng: StdRng,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    gateways: Vec<PartEvidence>,
    blamed: Vec<HashSet<Fingerprint>>,
    /// Runs in progress and whether the engine is up, by engine.
    engines: Vec<(BTreeSet<usize>, bool)>,
    incarnations: Vec<u64>,
    runs: Vec<Run>,
    updates: Vec<(usize, Update)>,
    /// Times at which fatal requests were sent, and of the exits that they caused.
    fatal_sent: Vec<u64>,
    fatal_exits: Vec<u64>,
    harmless: usize,
    refused: usize,
}

fn part(n: u64) -> Fingerprint {
    Fingerprint::of(&[&n.to_le_bytes()])
}

impl Fleet {
    fn new(gateways: usize, engines: usize, seed: u64) -> Fleet {
        let evidence = || PartEvidence::new(Duration::from_secs(600));
        Fleet {
            start: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            gateways: (0..gateways).map(|_| evidence()).collect(),
            blamed: vec![HashSet::new(); gateways],
            engines: vec![(BTreeSet::new(), true); engines],
            incarnations: (0..engines as u64).collect(),
            runs: Vec::new(),
            updates: Vec::new(),
            fatal_sent: Vec::new(),
            fatal_exits: Vec::new(),
            harmless: 0,
            refused: 0,
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        let n = self.events.len();
        self.events.push(Reverse((at, n, event)));
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn play(mut self) -> Fleet {
        self.schedule(0, Event::Harmless);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                _ if now > END => break,
                Event::Harmless => {
                    let second = self.rng.random_range(1..SECOND_PARTS);
                    self.send(now, second);
                    let interval = RUN_TIME / (self.engines.len() * SLOTS * 3 / 4) as u64;
                    self.schedule(now + interval.max(1), event);
                }
                Event::Fatal => {
                    self.send(now, FATAL);
                    self.schedule(now + FATAL_INTERVAL, event);
                }
                Event::End(run) => self.end(now, run),
                Event::Exit(engine) => self.exit(now, engine),
                Event::Start(engine) => self.engines[engine].1 = true,
                Event::Update(i) => self.update(i),
            }
        }
        self
    }

    /// Sends a request with a first part, some of which are more common, and this second part.
    fn send(&mut self, now: u64, second: u64) {
        let first = self.rng.random_range(0.0..1.0_f64).powi(2) * FIRST_PARTS as f64;
        let parts = [SECOND_PARTS + first as u64, second];
        let gateway = self.rng.random_range(0..self.gateways.len());
        self.harmless += usize::from(second != FATAL);
        if self.is_refused(gateway, parts) {
            self.refused += usize::from(second != FATAL);
            return;
        }
        let free = |(runs, is_up): &(BTreeSet<usize>, bool)| *is_up && runs.len() < SLOTS;
        let first = self.rng.random_range(0..self.engines.len());
        let engines = (0..self.engines.len()).map(|i| (first + i) % self.engines.len());
        let Some(engine) = engines.into_iter().find(|i| free(&self.engines[*i])) else {
            return;
        };
        let run = self.runs.len();
        self.engines[engine].0.insert(run);
        self.runs.push(Run {
            gateway,
            engine,
            parts,
            started: now,
        });
        match second {
            FATAL => {
                self.fatal_sent.push(now);
                self.schedule(now + EXIT_DELAY, Event::End(run));
            }
            _ => self.schedule(now + RUN_TIME, Event::End(run)),
        }
    }

    fn is_refused(&self, gateway: usize, parts: [u64; 2]) -> bool {
        let parts = parts.map(part);
        let (evidence, blamed) = (&self.gateways[gateway], &self.blamed[gateway]);
        let mut blamed = parts.iter().filter(|p| blamed.contains(*p));
        blamed.any(|p| !evidence.is_doubtful(p, &parts))
    }

    fn end(&mut self, now: u64, run: usize) {
        let Run {
            gateway,
            engine,
            parts,
            ..
        } = self.runs[run];
        match parts {
            _ if !self.engines[engine].0.contains(&run) => {}
            [_, FATAL] => {
                self.fatal_exits.push(now);
                self.exit(now, engine);
            }
            parts => {
                self.engines[engine].0.remove(&run);
                let at = self.at(now);
                let cleared = self.gateways[gateway].record_completion(&parts.map(part), at);
                self.clear(gateway, &cleared);
                if !cleared.is_empty() {
                    self.announce(now, gateway, Update::Completed(cleared, now));
                }
            }
        }
    }

    fn exit(&mut self, now: u64, engine: usize) {
        let runs = std::mem::take(&mut self.engines[engine].0);
        self.engines[engine].1 = false;
        self.schedule(now + DOWN_TIME, Event::Start(engine));
        let incarnation = self.incarnations[engine];
        self.incarnations[engine] += self.engines.len() as u64;
        for n in runs {
            let run = self.runs[n].clone();
            let lost = LostRun {
                request: part(u64::MAX - n as u64),
                incarnation,
                started: self.at(run.started),
                ended: self.at(now),
                parts: run.parts.map(part).to_vec(),
            };
            self.add(run.gateway, lost.clone());
            self.announce(now, run.gateway, Update::Lost(lost));
        }
    }

    fn add(&mut self, gateway: usize, lost: LostRun) {
        self.gateways[gateway].add(lost);
        let blamed = self.gateways[gateway].blame();
        self.blamed[gateway].extend(blamed.iter().map(|b| b.part));
    }

    fn clear(&mut self, gateway: usize, cleared: &[Fingerprint]) {
        self.blamed[gateway].retain(|p| !cleared.contains(p));
    }

    fn announce(&mut self, now: u64, gateway: usize, update: Update) {
        self.updates.push((gateway, update));
        self.schedule(now + UPDATE_DELAY, Event::Update(self.updates.len() - 1));
    }

    fn update(&mut self, i: usize) {
        let (from, update) = self.updates[i].clone();
        for gateway in (0..self.gateways.len()).filter(|g| *g != from) {
            match &update {
                Update::Lost(run) => self.add(gateway, run.clone()),
                Update::Completed(parts, ms) => {
                    let at = self.at(*ms);
                    let cleared = self.gateways[gateway].record_completion(parts, at);
                    self.clear(gateway, &cleared);
                }
            }
        }
    }
}

/// Sizes of fleets: gateways and engines.
const SIZES: [(usize, usize); 3] = [(2, 6), (7, 20), (20, 100)];

const SEEDS: u64 = 3;

#[test]
fn few_fatal_requests_are_sent_in_a_fleet_of_any_size() {
    for (gateways, engines) in SIZES {
        for seed in 1..=SEEDS {
            let mut fleet = Fleet::new(gateways, engines, seed);
            fleet.schedule(4000, Event::Fatal);

            let fleet = fleet.play();

            let what = format!("{gateways} gateways, seed {seed}");
            let last = fleet
                .fatal_exits
                .iter()
                .take(5)
                .next_back()
                .expect("an exit");
            let late = fleet
                .fatal_sent
                .iter()
                .filter(|at| **at > last + SETTLE_TIME);
            let late = late.count();
            println!(
                "{what}: {} exits, {late} late, {} of {} refused",
                fleet.fatal_exits.len(),
                fleet.refused,
                fleet.harmless
            );
            assert!(late <= 3, "{what}: {late} sent late");
            assert!(
                fleet.refused * 100 <= fleet.harmless,
                "{what}: {} refused",
                fleet.refused
            );
        }
    }
}

#[test]
fn outages_do_not_blame_common_parts() {
    for (gateways, engines) in SIZES {
        for gap in [0, 100, 1000] {
            for seed in 1..=SEEDS {
                let mut fleet = Fleet::new(gateways, engines, seed);
                for (at, n) in [4000, 10_000]
                    .into_iter()
                    .flat_map(|at| (0..engines.div_ceil(4)).map(move |n| (at, n)))
                {
                    fleet.schedule(at + gap * (n as u64).min(5), Event::Exit(n));
                }

                let fleet = fleet.play();

                let what = format!("{gateways} gateways, gap {gap} ms, seed {seed}");
                println!("{what}: {} of {} refused", fleet.refused, fleet.harmless);
                assert_eq!(fleet.refused, 0, "{what}");
            }
        }
    }
}

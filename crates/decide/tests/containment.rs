//! A request under which engines exit, in fleets of several sizes, with delayed and lost updates
//! between gateways.
//!
//! Load: engines run eight harmless requests each, of 1.5 s. Two callers repeat the deadly request, each
//! at any gateway. An engine starts it after 0.3 s and exits 50 ms later, for 4 s, which interrupts all
//! of its requests. Gateways follow the rules of [`decide::quarantine`] and send updates as in a fleet:
//! after 3 ms, four times within 1.3 s, to all of their failure domain and to two gateways of each
//! other one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{Fingerprint, UpstreamIncarnation};
use decide::quarantine::{Decision, Isolation, Quarantine, SuspectState, UpstreamExit};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Maximum number of engines in the whole fleet that may exit under one request, by the users'
/// objective.
const MAX_EXITED: usize = 4;

/// Fraction of updates that are lost.
const LOSS: f64 = 0.1;

const HOLD_TIME: Duration = Duration::from_secs(600);
const GATHER_TIME: Duration = ms(3);
const ANNOUNCE_TIME: Duration = ms(20);
const IN_TRIAL_WAIT: Duration = ms(60);
const RECHECK: Duration = ms(5);
const JITTER_MS: u64 = 40;
const ROUNDS: [Duration; 4] = [ms(0), ms(60), ms(310), ms(1310)];

const START_AFTER: Duration = ms(300);
const EXIT_AFTER: Duration = ms(50);
const DOWNTIME: Duration = ms(4000);
const HARMLESS_TIME: Duration = ms(1500);
const SLOTS: usize = 8;
const MAX_ATTEMPTS: u32 = 2;
const SPAN: Duration = ms(6000);
const DEADLY: u64 = 0;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn fingerprint(request: u64) -> Fingerprint {
    Fingerprint::of(&[&request.to_le_bytes()])
}

fn addr(engine: usize) -> SocketAddr {
    let [a, b] = u16::try_from(engine)
        .expect("engines have ports")
        .to_be_bytes();
    ([10, 0, a, b], 9000).into()
}

/// Attempt of a request at a gateway.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: u64,
    gateway: usize,
    sent: u32,
    /// Until when it waits for a trial elsewhere.
    wait_until: Instant,
}

#[derive(Debug, Clone)]
enum Event {
    /// The gateway decides whether an attempt may be sent.
    Decide(Attempt),
    /// A trial was announced and may start.
    Announced(Attempt, usize, u32),
    /// A request completes or makes its engine exit, unless the engine has exited before.
    Completes(Attempt, usize, UpstreamIncarnation),
    /// A fraction of all engines exits.
    Outage(f64),
    /// A gateway sends its update on a request.
    Send(usize, u64, bool),
    /// An update arrives, to be relayed if it came from another failure domain.
    Receive(usize, u64, SuspectState, bool),
}

struct Engine {
    incarnation: UpstreamIncarnation,
    up_from: Instant,
    running: Vec<Attempt>,
}

struct Fleet {
    now: Instant,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled: base::Map<u64, Event>,
    last_number: u64,
    gateways: Vec<Quarantine>,
    domains: usize,
    engines: Vec<Engine>,
    last_incarnation: UpstreamIncarnation,
    exits: usize,
    quarantined: Vec<u64>,
    quarantine_refusals: usize,
}

impl Fleet {
    fn new(gateways: usize, engines: usize, domains: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let engine = |n: usize| Engine {
            incarnation: n as UpstreamIncarnation,
            up_from: now,
            running: Vec::new(),
        };
        Fleet {
            now,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            scheduled: base::Map::default(),
            last_number: 1,
            gateways: (0..gateways).map(|_| Quarantine::new(HOLD_TIME)).collect(),
            domains,
            engines: (0..engines).map(engine).collect(),
            last_incarnation: engines as UpstreamIncarnation,
            exits: 0,
            quarantined: Vec::new(),
            quarantine_refusals: 0,
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.last_number += 1;
        self.events
            .push(Reverse((self.now + time, self.last_number)));
        self.scheduled.insert(self.last_number, event);
    }

    fn arrive(&mut self, request: u64, within: Duration) {
        let wait = self.rng.random_range(0.0..1.0);
        let gateway = self.rng.random_range(0..self.gateways.len());
        let at = self.now + within.mul_f64(wait);
        let attempt = Attempt {
            request,
            gateway,
            sent: 0,
            wait_until: at + IN_TRIAL_WAIT,
        };
        self.schedule(at - self.now, Event::Decide(attempt));
    }

    /// Runs the simulation with the deadly request.
    fn run_deadly(&mut self) {
        for caller in 0..2 {
            self.arrive(DEADLY, ms(200 * (caller + 1)));
        }
        self.run();
    }

    fn run(&mut self) {
        let end = self.now + SPAN;
        for request in 1..=(self.engines.len() * SLOTS) as u64 {
            self.arrive(request, HARMLESS_TIME);
        }
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            let event = self
                .scheduled
                .remove(&number)
                .expect("an event for each entry");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Decide(attempt) => self.decide(attempt),
            Event::Announced(attempt, engine, number) => {
                let quarantine = &self.gateways[attempt.gateway];
                let request = fingerprint(attempt.request);
                match quarantine.is_current_trial(&request, number, addr(engine)) {
                    true => self.send(attempt, engine),
                    false => self.give_up(attempt),
                }
            }
            Event::Completes(attempt, engine, incarnation)
                if self.engines[engine].incarnation == incarnation =>
            {
                self.complete(attempt, engine);
            }
            Event::Completes(..) => {}
            Event::Outage(fraction) => self.outage(fraction),
            Event::Send(gateway, request, far) => self.send_update(gateway, request, far),
            Event::Receive(gateway, request, state, relay) => {
                let is_new = self.gateways[gateway].merge(fingerprint(request), state);
                if is_new && relay {
                    self.announce_update(gateway, request, false);
                }
            }
        }
    }

    /// Applies the decision of the attempt's gateway.
    fn decide(&mut self, attempt: Attempt) {
        let request = fingerprint(attempt.request);
        let decision = self.gateways[attempt.gateway].decide(&request, self.now);
        match decision {
            Decision::Allow => match self.pick(&[]) {
                Some(engine) => self.send(attempt, engine),
                None => self.give_up(attempt),
            },
            Decision::Trial(isolation) => self.announce(attempt, isolation),
            Decision::WaitUntil(at) => {
                let jitter = ms(self.rng.random_range(0..JITTER_MS));
                self.schedule(at - self.now + jitter, Event::Decide(attempt));
            }
            Decision::OnTrial if self.now < attempt.wait_until => {
                self.schedule(RECHECK, Event::Decide(attempt));
            }
            Decision::OnTrial => self.give_up(attempt),
            Decision::Quarantined(_) => {
                if attempt.request != DEADLY {
                    self.quarantined.push(attempt.request);
                }
                self.quarantine_refusals += 1;
                self.give_up(attempt);
            }
        }
    }

    fn announce(&mut self, attempt: Attempt, isolation: Isolation) {
        let quarantine = &self.gateways[attempt.gateway];
        let trials = quarantine.trial_upstreams(self.now);
        let apart = self.pick(&trials);
        let engine = match isolation {
            Isolation::Preferred => apart.or_else(|| self.pick(&[])),
            Isolation::Required => apart,
        };
        let request = fingerprint(attempt.request);
        let begun = engine.and_then(|engine| {
            let quarantine = &mut self.gateways[attempt.gateway];
            let number = quarantine.begin_trial(&request, addr(engine), self.now)?;
            Some((engine, number))
        });
        match begun {
            Some((engine, number)) => {
                self.announce_update(attempt.gateway, attempt.request, true);
                self.schedule(ANNOUNCE_TIME, Event::Announced(attempt, engine, number));
            }
            None => self.give_up(attempt),
        }
    }

    /// Picks an engine that is up, the less loaded of two.
    fn pick(&mut self, apart: &[SocketAddr]) -> Option<usize> {
        let up = |e: usize| self.engines[e].up_from <= self.now && !apart.contains(&addr(e));
        let draws: Vec<usize> = (0..20)
            .map(|_| self.rng.random_range(0..self.engines.len()))
            .collect();
        let two = draws.into_iter().filter(|e| up(*e)).take(2);
        two.min_by_key(|e| self.engines[*e].running.len())
    }

    fn send(&mut self, attempt: Attempt, engine: usize) {
        let attempt = Attempt {
            sent: attempt.sent + 1,
            ..attempt
        };
        let Engine {
            incarnation,
            up_from,
            running,
        } = &mut self.engines[engine];
        if *up_from > self.now {
            // The engine exited while the trial was announced; nothing was sent.
            return self.give_up(attempt);
        }
        running.push(attempt);
        let incarnation = *incarnation;
        let time = match attempt.request {
            DEADLY => START_AFTER + EXIT_AFTER,
            _ => HARMLESS_TIME,
        };
        self.schedule(time, Event::Completes(attempt, engine, incarnation));
    }

    fn complete(&mut self, attempt: Attempt, engine: usize) {
        if attempt.request == DEADLY {
            return self.engine_exits(engine);
        }
        self.engines[engine]
            .running
            .retain(|a| a.request != attempt.request);
        let quarantine = &mut self.gateways[attempt.gateway];
        if quarantine.record_completion(&fingerprint(attempt.request), self.now) {
            self.announce_update(attempt.gateway, attempt.request, true);
        }
        self.last_number += 1;
        let next = self.last_number + 1_000_000;
        self.arrive(next, ms(100));
    }

    fn outage(&mut self, fraction: f64) {
        for engine in 0..self.engines.len() {
            if self.rng.random_bool(fraction) && self.engines[engine].up_from <= self.now {
                self.engine_exits(engine);
            }
        }
    }

    fn engine_exits(&mut self, engine: usize) {
        self.exits += 1;
        self.last_incarnation += 1;
        let (now, last) = (self.now, self.last_incarnation);
        let exited = &mut self.engines[engine];
        let exit = UpstreamExit {
            incarnation: std::mem::replace(&mut exited.incarnation, last),
            at: now,
        };
        exited.up_from = now + DOWNTIME;
        for attempt in std::mem::take(&mut exited.running) {
            let quarantine = &mut self.gateways[attempt.gateway];
            quarantine.record_exit(fingerprint(attempt.request), addr(engine), exit);
            self.announce_update(attempt.gateway, attempt.request, true);
            match attempt.sent < MAX_ATTEMPTS {
                true => self.schedule(Duration::ZERO, Event::Decide(attempt)),
                false => self.give_up(attempt),
            }
        }
    }

    /// Answers the caller, which retries after a while.
    fn give_up(&mut self, attempt: Attempt) {
        let within = match attempt.request {
            DEADLY => ms(300),
            _ => ms(1500),
        };
        self.arrive(attempt.request, within);
    }

    fn announce_update(&mut self, gateway: usize, request: u64, far: bool) {
        for round in ROUNDS {
            self.schedule(GATHER_TIME + round, Event::Send(gateway, request, far));
        }
    }

    /// Sends a gateway's state of a request.
    fn send_update(&mut self, gateway: usize, request: u64, far: bool) {
        let Some(state) = self.gateways[gateway]
            .suspect(&fingerprint(request))
            .cloned()
        else {
            return;
        };
        let (domains, all) = (self.domains, self.gateways.len());
        let domain = gateway % domains;
        let near = (domain..all).step_by(domains).filter(|g| *g != gateway);
        let mut to: Vec<(usize, bool)> = near.map(|g| (g, false)).collect();
        if far {
            for other in (0..domains).filter(|d| *d != domain) {
                let of_domain = (all - other).div_ceil(domains);
                for _ in 0..2 {
                    let n = self.rng.random_range(0..of_domain);
                    to.push((other + n * domains, true));
                }
            }
        }
        for (to, is_far) in to {
            if self.rng.random_bool(LOSS) {
                continue;
            }
            let latency = match is_far {
                true => ms(self.rng.random_range(2..15)),
                false => ms(1),
            };
            self.schedule(latency, Event::Receive(to, request, state.clone(), is_far));
        }
    }
}

/// Numbers of gateways, engines and failure domains.
const SIZES: [(usize, usize, usize); 3] = [(7, 12, 3), (45, 120, 3), (330, 1200, 15)];

#[test]
fn few_engines_exit_under_one_request_in_a_fleet_of_any_size() {
    for (gateways, engines, domains) in SIZES {
        let seeds = 20;
        let mut max = 0;
        for seed in 0..seeds {
            let mut fleet = Fleet::new(gateways, engines, domains, seed);

            fleet.run_deadly();

            max = fleet.exits.max(max);
            assert!(
                fleet.quarantine_refusals > 0,
                "seed {seed}: the deadly request was never quarantined"
            );
            assert!(
                (1..=MAX_EXITED).contains(&fleet.exits),
                "seed {seed}, {gateways} gateways: {} engines exited",
                fleet.exits
            );
            assert!(
                fleet.quarantined.is_empty(),
                "seed {seed}: quarantined: {:?}",
                fleet.quarantined
            );
        }
        println!(
            "{gateways} gateways, {engines} engines: {max} exited at most, seeds 0 to {seeds}"
        );
    }
}

/// Fraction of all engines that an outage terminates.
const OUTAGE: f64 = 0.15;

#[test]
fn two_outages_do_not_quarantine_harmless_requests() {
    let (gateways, engines, domains) = SIZES[1];
    let mut requests = 0;
    for (seed, gap) in (0..1500).step_by(100).enumerate() {
        let mut fleet = Fleet::new(gateways, engines, domains, seed as u64);
        fleet.schedule(ms(2000), Event::Outage(OUTAGE));
        fleet.schedule(ms(2000 + gap), Event::Outage(OUTAGE));

        fleet.run();

        requests += engines * SLOTS;
        assert!(
            fleet.exits > engines / 10,
            "seed {seed}: {} exited",
            fleet.exits
        );
        assert!(
            fleet.quarantined.is_empty(),
            "seed {seed}: quarantined: {:?}",
            fleet.quarantined
        );
    }
    println!("{requests} requests and their successors, none quarantined");
}

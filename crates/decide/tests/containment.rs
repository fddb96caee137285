//! A request under which engines end, in fleets of several sizes, with news between gateways that takes a while
//! and gets lost.
//!
//! The load: engines run eight harmless requests each, of 1.5 s. Two callers send the deadly request again and
//! again, each at any gateway; an engine begins it after 0.3 s and ends 50 ms later, for 4 s, and all that it
//! runs breaks off. Gateways keep the rules of [`decide::quarantine`] and tell each other as they do in a fleet:
//! after 3 ms, four times within 1.3 s, to all of their failure domain and to two gateways of each other one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{Fingerprint, LifeId};
use decide::quarantine::{Decision, Isolation, Quarantine, SuspectState, UpstreamExit};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Engines that may end under one request in the whole fleet, by the users' aim.
const MOST_ENDED: usize = 4;

/// Part of the news that gets lost.
const LOST: f64 = 0.1;

const HOLD_TIME: Duration = Duration::from_secs(600);
const GATHER_TIME: Duration = ms(3);
const ANNOUNCE_TIME: Duration = ms(20);
const TRIED_WAIT: Duration = ms(60);
const RECHECK: Duration = ms(5);
const SPREAD_MS: u64 = 40;
const ROUNDS: [Duration; 4] = [ms(0), ms(60), ms(310), ms(1310)];

const BEGINS_AFTER: Duration = ms(300);
const ENDS_AFTER: Duration = ms(50);
const AWAY: Duration = ms(4000);
const HARMLESS_TIME: Duration = ms(1500);
const RUN_AT_ONCE: usize = 8;
const MOST_ATTEMPTS: u32 = 2;
const PLAYED: Duration = ms(6000);
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

/// An attempt at a gateway.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    request: u64,
    gateway: usize,
    sent: u32,
    /// Until when it waits for a trial elsewhere.
    patience: Instant,
}

#[derive(Debug, Clone)]
enum Event {
    /// An attempt looks whether it may be sent.
    Look(Attempt),
    /// A trial was announced a moment ago.
    Announced(Attempt, usize, u32),
    /// A run comes to its end, unless its engine has ended.
    Ends(Attempt, usize, LifeId),
    /// A part of all engines ends.
    Outage(f64),
    /// News of a request leaves a gateway.
    Tell(usize, u64, bool),
    /// News arrives; to be passed on where it came from another failure domain.
    Hear(usize, u64, SuspectState, bool),
}

struct Engine {
    life: LifeId,
    up_from: Instant,
    running: Vec<Attempt>,
}

struct Fleet {
    now: Instant,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    due: base::Map<u64, Event>,
    numbers: u64,
    gateways: Vec<Quarantine>,
    domains: usize,
    engines: Vec<Engine>,
    lives: LifeId,
    ended: usize,
    held: Vec<u64>,
    refused_for_good: usize,
}

impl Fleet {
    fn new(gateways: usize, engines: usize, domains: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let engine = |n: usize| Engine {
            life: n as LifeId,
            up_from: now,
            running: Vec::new(),
        };
        Fleet {
            now,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            due: base::Map::default(),
            numbers: 1,
            gateways: (0..gateways).map(|_| Quarantine::new(HOLD_TIME)).collect(),
            domains,
            engines: (0..engines).map(engine).collect(),
            lives: engines as LifeId,
            ended: 0,
            held: Vec::new(),
            refused_for_good: 0,
        }
    }

    fn after(&mut self, time: Duration, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse((self.now + time, self.numbers)));
        self.due.insert(self.numbers, event);
    }

    fn arrive(&mut self, request: u64, within: Duration) {
        let wait = self.rng.random_range(0.0..1.0);
        let gateway = self.rng.random_range(0..self.gateways.len());
        let at = self.now + within.mul_f64(wait);
        let attempt = Attempt {
            request,
            gateway,
            sent: 0,
            patience: at + TRIED_WAIT,
        };
        self.after(at - self.now, Event::Look(attempt));
    }

    /// The same, with the deadly request.
    fn play_deadly(&mut self) {
        for caller in 0..2 {
            self.arrive(DEADLY, ms(200 * (caller + 1)));
        }
        self.play();
    }

    fn play(&mut self) {
        let end = self.now + PLAYED;
        for request in 1..=(self.engines.len() * RUN_AT_ONCE) as u64 {
            self.arrive(request, HARMLESS_TIME);
        }
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            let event = self.due.remove(&number).expect("an event for each moment");
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Look(attempt) => self.look(attempt),
            Event::Announced(attempt, engine, number) => {
                let quarantine = &self.gateways[attempt.gateway];
                let request = fingerprint(attempt.request);
                match quarantine.is_current_trial(&request, number, addr(engine)) {
                    true => self.send(attempt, engine),
                    false => self.give_up(attempt),
                }
            }
            Event::Ends(attempt, engine, life) if self.engines[engine].life == life => {
                self.end(attempt, engine);
            }
            Event::Ends(..) => {}
            Event::Outage(part) => self.outage(part),
            Event::Tell(gateway, request, far) => self.tell(gateway, request, far),
            Event::Hear(gateway, request, case, pass_on) => {
                let is_news = self.gateways[gateway].merge(fingerprint(request), case);
                if is_news && pass_on {
                    self.news(gateway, request, false);
                }
            }
        }
    }

    /// What a gateway does with an attempt that may be sent now or not.
    fn look(&mut self, attempt: Attempt) {
        let request = fingerprint(attempt.request);
        let verdict = self.gateways[attempt.gateway].decide(&request, self.now);
        match verdict {
            Decision::Allow => match self.pick(&[]) {
                Some(engine) => self.send(attempt, engine),
                None => self.give_up(attempt),
            },
            Decision::Trial(care) => self.announce(attempt, care),
            Decision::WaitUntil(at) => {
                let more = ms(self.rng.random_range(0..SPREAD_MS));
                self.after(at - self.now + more, Event::Look(attempt));
            }
            Decision::InTrial if self.now < attempt.patience => {
                self.after(RECHECK, Event::Look(attempt));
            }
            Decision::InTrial => self.give_up(attempt),
            Decision::Quarantined(_) => {
                if attempt.request != DEADLY {
                    self.held.push(attempt.request);
                }
                self.refused_for_good += 1;
                self.give_up(attempt);
            }
        }
    }

    fn announce(&mut self, attempt: Attempt, care: Isolation) {
        let quarantine = &self.gateways[attempt.gateway];
        let trials = quarantine.trial_upstreams(self.now);
        let apart = self.pick(&trials);
        let engine = match care {
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
                self.news(attempt.gateway, attempt.request, true);
                self.after(ANNOUNCE_TIME, Event::Announced(attempt, engine, number));
            }
            None => self.give_up(attempt),
        }
    }

    /// An engine that is up, the one with the least in flight of two.
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
            life,
            up_from,
            running,
        } = &mut self.engines[engine];
        if *up_from > self.now {
            // It ended while the trial was announced; nothing was sent.
            return self.give_up(attempt);
        }
        running.push(attempt);
        let life = *life;
        let time = match attempt.request {
            DEADLY => BEGINS_AFTER + ENDS_AFTER,
            _ => HARMLESS_TIME,
        };
        self.after(time, Event::Ends(attempt, engine, life));
    }

    fn end(&mut self, attempt: Attempt, engine: usize) {
        if attempt.request == DEADLY {
            return self.engine_ends(engine);
        }
        self.engines[engine]
            .running
            .retain(|a| a.request != attempt.request);
        let quarantine = &mut self.gateways[attempt.gateway];
        if quarantine.record_completion(&fingerprint(attempt.request), self.now) {
            self.news(attempt.gateway, attempt.request, true);
        }
        self.numbers += 1;
        let next = self.numbers + 1_000_000;
        self.arrive(next, ms(100));
    }

    fn outage(&mut self, part: f64) {
        for engine in 0..self.engines.len() {
            if self.rng.random_bool(part) && self.engines[engine].up_from <= self.now {
                self.engine_ends(engine);
            }
        }
    }

    fn engine_ends(&mut self, engine: usize) {
        self.ended += 1;
        self.lives += 1;
        let (now, lives) = (self.now, self.lives);
        let ended = &mut self.engines[engine];
        let exit = UpstreamExit {
            incarnation: std::mem::replace(&mut ended.life, lives),
            at: now,
        };
        ended.up_from = now + AWAY;
        for attempt in std::mem::take(&mut ended.running) {
            let quarantine = &mut self.gateways[attempt.gateway];
            quarantine.record_exit(fingerprint(attempt.request), addr(engine), exit);
            self.news(attempt.gateway, attempt.request, true);
            match attempt.sent < MOST_ATTEMPTS {
                true => self.after(Duration::ZERO, Event::Look(attempt)),
                false => self.give_up(attempt),
            }
        }
    }

    /// The caller has its answer, and is back after a while.
    fn give_up(&mut self, attempt: Attempt) {
        let within = match attempt.request {
            DEADLY => ms(300),
            _ => ms(1500),
        };
        self.arrive(attempt.request, within);
    }

    fn news(&mut self, gateway: usize, request: u64, far: bool) {
        for round in ROUNDS {
            self.after(GATHER_TIME + round, Event::Tell(gateway, request, far));
        }
    }

    /// Sends what a gateway knows of a request.
    fn tell(&mut self, gateway: usize, request: u64, far: bool) {
        let Some(case) = self.gateways[gateway]
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
            if self.rng.random_bool(LOST) {
                continue;
            }
            let way = match is_far {
                true => ms(self.rng.random_range(2..15)),
                false => ms(1),
            };
            self.after(way, Event::Hear(to, request, case.clone(), is_far));
        }
    }
}

/// Gateways, engines and failure domains.
const SIZES: [(usize, usize, usize); 3] = [(7, 12, 3), (45, 120, 3), (330, 1200, 15)];

#[test]
fn few_engines_end_under_one_request_in_a_fleet_of_any_size() {
    for (gateways, engines, domains) in SIZES {
        let seeds = 20;
        let mut most = 0;
        for seed in 0..seeds {
            let mut fleet = Fleet::new(gateways, engines, domains, seed);

            fleet.play_deadly();

            most = fleet.ended.max(most);
            assert!(
                fleet.refused_for_good > 0,
                "seed {seed}: it comes again and again"
            );
            assert!(
                (1..=MOST_ENDED).contains(&fleet.ended),
                "seed {seed}, {gateways} gateways: {} engines ended",
                fleet.ended
            );
            assert!(
                fleet.held.is_empty(),
                "seed {seed}: held back: {:?}",
                fleet.held
            );
        }
        println!(
            "{gateways} gateways, {engines} engines: {most} ended at most, seeds 0 to {seeds}"
        );
    }
}

/// Part of all engines that an outage ends.
const OUTAGE: f64 = 0.15;

#[test]
fn no_harmless_request_is_held_back_for_outages_that_end_many_engines_twice() {
    let (gateways, engines, domains) = SIZES[1];
    let mut requests = 0;
    for (seed, apart) in (0..1500).step_by(100).enumerate() {
        let mut fleet = Fleet::new(gateways, engines, domains, seed as u64);
        fleet.after(ms(2000), Event::Outage(OUTAGE));
        fleet.after(ms(2000 + apart), Event::Outage(OUTAGE));

        fleet.play();

        requests += engines * RUN_AT_ONCE;
        assert!(
            fleet.ended > engines / 10,
            "seed {seed}: {} ended",
            fleet.ended
        );
        assert!(
            fleet.held.is_empty(),
            "seed {seed}: held back: {:?}",
            fleet.held
        );
    }
    println!("{requests} requests and those that followed them, none held back");
}

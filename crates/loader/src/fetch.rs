//! Brings the chunks of a version that are missing.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use agent::swarm::{Rule, Source, Swarm};
use base::{Digest, Map, Set as HashSet};
use log::{debug, info, warn};
use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;
use web::Client;
use wire::Peer;

use crate::Cx;
use crate::api::OriginVersion;
use crate::bring::{Fetched, NoChunk, bring};
use crate::order::Order;
use crate::peers::{Heard, Reach, announce, loaders};
use crate::present::Present;
use crate::said::Said;
use crate::sets::Set;

/// Log prefix of this part.
const PART: &str = "fetch";

/// Most chunks drawn from the origin at once by one loader: one travels while the next is asked for.
const ORIGIN_FETCHES: usize = 2;

/// Part of the origin's connections that is used; some are still held by loaders that are gone.
const ORIGIN_USE: f64 = 0.7;

/// Time between two looks at what has become available, and between two announcements.
const TICK: Duration = Duration::from_millis(40);

/// Shortest time between two looks at what others have said.
const LEARN_PAUSE: Duration = Duration::from_millis(10);

/// Time after the beginning in which loaders are counted on that said nothing yet.
pub(crate) const SETTLED: Duration = Duration::from_millis(400);

/// Pause after the origin failed, so that it isn't asked in a tight loop, where up to
/// [`ORIGIN_PAUSE_LOADERS`] loaders do so; where there are more, it grows with them.
const ORIGIN_PAUSE: Duration = Duration::from_millis(200);

/// Time for which nothing is drawn from the origin until the engine can be read back: both start with their
/// VMs, and a whole fleet that doesn't wait draws a version that its engines hold.
const ENGINE_WAIT: Duration = Duration::from_secs(3);

/// Loaders that may each ask an origin that is away five times a second.
const ORIGIN_PAUSE_LOADERS: usize = 16;

/// Fetch of one version.
pub(crate) struct Fetch {
    pub(crate) cx: Arc<Cx>,
    pub(crate) set: Arc<Set>,
    origin: OriginVersion,
    client: Client,
    pub(crate) swarm: Swarm,
    pub(crate) rule: Rule,
    in_flight: HashSet<usize>,
    from_origin: usize,
    origin_fetches: usize,
    order: Order,
    /// Whether the origin failed when it was last asked, and nothing has come from it since.
    origin_away: bool,
    /// Chunks that any loader held when it failed.
    held_before: usize,
    origin_rests_until: Instant,
    pub(crate) begun: Instant,
    progress: Instant,
    /// When it was last looked at what others have said.
    learned: Instant,
    /// Other loaders of the failure domain.
    pub(crate) near: usize,
    pub(crate) counts: Counts,
}

/// How chunks came, for the log.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) origin: u32,
    near: u32,
    far: u32,
    busy: u32,
    failed: u32,
}

/// Brings all chunks of a set; returns when it is whole.
pub(crate) async fn fetch(cx: Arc<Cx>, set: Arc<Set>, origin: OriginVersion, client: Client) {
    let now = clock::now();
    let rule = rule(&cx);
    let origin_fetches = origin_fetches(&cx);
    let order = Order::new(chunk_time(&cx), &vec![false; set.len()], now);
    let mut fetch = Fetch {
        set,
        origin,
        client,
        swarm: Swarm::default(),
        rule,
        in_flight: HashSet::default(),
        from_origin: 0,
        origin_fetches,
        order,
        origin_away: false,
        held_before: 0,
        origin_rests_until: now,
        begun: now,
        progress: now,
        learned: now,
        near: 0,
        counts: Counts::default(),
        cx,
    };
    announce(&fetch.cx, &fetch.set, true, Reach::NearAndSome);
    let mut fetching = JoinSet::new();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut said = Said::new(&fetch, now);
    while !fetch.set.is_whole() {
        fetch.start(&mut fetching);
        tokio::select! {
            Some(fetched) = fetching.join_next(), if !fetching.is_empty() => match fetched {
                Ok(fetched) => {
                    fetch.took(fetched);
                    said.say_to_takers(&fetch);
                }
                Err(e) => warn!(target: PART, "{PART}: event=task_failed why=\"{e}\""),
            },
            () = heard(&fetch.cx, fetch.learned) => fetch.learn_newest(),
            _ = ticks.tick() => {
                fetch.learn();
                said.say(&fetch);
            }
        }
    }
    announce(&fetch.cx, &fetch.set, false, Reach::NearAndSome);
    info!(target: PART, "{PART}: event=whole model={} version={} took={:?} {:?}", fetch.set.model, fetch.set.version, clock::since(fetch.begun), fetch.counts);
}

/// Waits until another loader has said something, and at least a while after what was said before that
/// was taken.
async fn heard(cx: &Cx, learned: Instant) {
    cx.heard.notified().await;
    clock::sleep_until(learned + LEARN_PAUSE).await;
}

/// Chunks that this loader may draw at once, so that all together stay within the connections that
/// the origin takes.
fn origin_fetches(cx: &Cx) -> usize {
    let catalog = cx.catalog.borrow();
    let origin = catalog.as_ref().and_then(|c| c.origin().cloned());
    let most = origin.map_or(0.0, |o| f64::from(o.max_connections));
    let part = most * ORIGIN_USE / (loaders(cx).len() + 1) as f64;
    (part as usize).clamp(1, ORIGIN_FETCHES)
}

/// Time in which the origin's link carries a chunk; zero where its rate isn't known.
fn chunk_time(cx: &Cx) -> Duration {
    let catalog = cx.catalog.borrow();
    let origin = catalog.as_ref().and_then(|c| c.origin());
    let service = catalog.as_ref().and_then(|c| c.service(&cx.service));
    let engine = service.and_then(|s| s.engine.as_ref());
    match (origin, engine) {
        (Some(origin), Some(engine)) => origin.transfer_time(engine.chunk_bytes),
        _ => Duration::ZERO,
    }
}

fn rule(cx: &Cx) -> Rule {
    let mut permitted: Vec<_> = loaders(cx).into_iter().map(|m| m.domain).collect();
    permitted.push(cx.cfg.node.domain.clone());
    permitted.sort();
    permitted.dedup();
    Rule {
        vm: cx.cfg.node.vm.clone(),
        domain: cx.cfg.node.domain.clone(),
        permitted,
        settle: cx.cfg.settle_time,
        per_domain: false,
        few_sources: true,
        patience: cx.cfg.origin_patience,
        bad_chunks: cx.cfg.bad_chunks,
        bad_time: cx.cfg.bad_time,
    }
}

impl Fetch {
    /// Takes what other loaders have said since it was last looked at.
    fn learn_newest(&mut self) {
        let since = std::mem::replace(&mut self.learned, clock::now());
        for (addr, heard) in self.heard_since(Some(since)) {
            self.swarm.set_have(addr, heard.have);
        }
    }

    /// Takes all that other loaders have said. Those that bring the version too say so again and
    /// again; one that has fallen silent is not counted on, and what fell to it falls to others.
    fn learn(&mut self) {
        self.learned = clock::now();
        let heard = self.heard_since(None);
        let members = loaders(&self.cx);
        let own = &self.rule.domain;
        self.near = members.iter().filter(|m| m.domain == *own).count();
        let present = Present::new(&members, &heard, own, self.near);
        let settled = clock::since(self.begun) > SETTLED;
        let peers = members
            .iter()
            .map(|m| Peer {
                leaving: !present.is_present(m, settled),
                vm: m.vm.clone(),
                domain: m.domain.clone(),
                addr: m.peer_addr,
            })
            .collect();
        self.swarm.set_peers(&self.cx.cfg.node.vm, peers);
        for (addr, heard) in heard {
            self.swarm.set_have(addr, heard.have);
        }
        let held = self.held();
        self.set.set_obtainable(held);
        if self.origin_away && held > self.held_before {
            self.origin_is_back();
        }
    }

    fn heard_since(&self, since: Option<Instant>) -> Map<SocketAddr, Heard> {
        let known = self.cx.peers.lock().unwrap_or_else(PoisonError::into_inner);
        known.heard(&self.set.model, self.set.version, self.set.len(), since)
    }

    /// Chunks that this loader or another holds.
    fn held(&self) -> usize {
        self.is_held().iter().filter(|held| **held).count()
    }

    fn is_held(&self) -> Vec<bool> {
        let own = self.set.have();
        let held = |(i, own): (usize, &bool)| *own || self.swarm.is_held(i);
        own.iter().enumerate().map(held).collect()
    }

    /// Has what is left drawn in order again, from now on. All loaders learn of the first chunk that
    /// comes, so they begin at about the same moment.
    fn origin_is_back(&mut self) {
        let now = clock::now();
        self.origin_away = false;
        self.origin_rests_until = now;
        self.progress = now;
        self.order = Order::new(self.order.chunk_time, &self.is_held(), now);
        info!(target: PART, "{PART}: event=origin_back version={} held={}", self.set.version, self.held());
    }

    /// Starts as many chunks as may be brought at once, the most urgent first.
    fn start(&mut self, fetching: &mut JoinSet<Fetched>) {
        if !self.cx.window.has_room(self.in_flight.len()) {
            return;
        }
        let (waited, stalled) = (clock::since(self.begun), clock::since(self.progress));
        let have = self.set.have();
        let choosing = self.swarm.choosing(&self.rule, waited, stalled);
        let mut ready: Vec<_> = (0..have.len())
            .filter(|i| !have[*i] && !self.in_flight.contains(i))
            .filter_map(|i| {
                let digest = Digest::from_slice(&self.set.manifest.digests[i]).ok()?;
                let choice = choosing.choose(i, &digest)?;
                Some((choice.urgency, i, choice.source))
            })
            .collect();
        ready.shuffle(&mut rand::rng());
        ready.sort_by_key(|(urgency, ..)| *urgency);
        for (_, i, source) in ready {
            if !self.cx.window.has_room(self.in_flight.len()) {
                return;
            }
            match source {
                Source::Origin => {
                    if self.origin_rests()
                        || !self.order.is_due(i, clock::now())
                        || self.from_origin >= self.origin_fetches
                    {
                        continue;
                    }
                    self.from_origin += 1;
                }
                Source::Peer(addr) => {
                    if !self.swarm.may_begin(addr, &self.rule, stalled) {
                        continue;
                    }
                    self.swarm.begun(addr);
                }
            }
            self.in_flight.insert(i);
            let (cx, set) = (self.cx.clone(), self.set.clone());
            let (origin, client) = (self.origin.clone(), self.client.clone());
            let in_flight = self.cx.window.begin();
            fetching.spawn(async move {
                let begun = clock::now();
                let result = bring(&cx, &set, origin, &client, i, source).await;
                drop(in_flight);
                let took = clock::since(begun);
                Fetched {
                    i,
                    source,
                    took,
                    result,
                }
            });
        }
    }

    /// Whether nothing is drawn from the origin now.
    fn origin_rests(&self) -> bool {
        let may_lie_there = !self.set.is_read_back() && clock::since(self.begun) < ENGINE_WAIT;
        may_lie_there || clock::now() < self.origin_rests_until
    }

    fn origin_pause(&self) -> Duration {
        let loaders = self.swarm.peers().len() + 1;
        let more = (loaders as f64 / ORIGIN_PAUSE_LOADERS as f64).max(1.0);
        ORIGIN_PAUSE.mul_f64(more * rand::rng().random_range(0.5..1.5))
    }

    fn is_near(&self, addr: SocketAddr) -> bool {
        let near = |p: &&Peer| p.addr == addr && p.domain == self.rule.domain;
        self.swarm.peers().iter().any(|p| near(&p))
    }

    fn took(&mut self, fetched: Fetched) {
        let Fetched {
            i,
            source,
            took,
            result,
        } = fetched;
        self.cx.window.took(took);
        self.in_flight.remove(&i);
        match source {
            Source::Origin => self.from_origin -= 1,
            Source::Peer(addr) => self.swarm.ended(addr),
        }
        let good = result.as_ref().map(|buf| self.set.put(i, buf.clone()));
        match (good, source) {
            (Ok(true), Source::Peer(addr)) => {
                self.progress = clock::now();
                match self.is_near(addr) {
                    true => self.counts.near += 1,
                    false => self.counts.far += 1,
                }
            }
            (Ok(true), Source::Origin) => {
                self.counts.origin += 1;
                if self.origin_away {
                    self.origin_is_back();
                }
                metrics::counter!("driftnotch_origin_chunks_total").increment(1);
            }
            (Ok(false), source) => {
                warn!(target: PART, "{PART}: event=bad_chunk chunk={i} version={} source={source:?}", self.set.version);
                metrics::counter!("driftnotch_bad_chunks_total").increment(1);
                if let Source::Peer(addr) = source {
                    self.swarm.bad(addr, &self.rule);
                }
            }
            (Err(NoChunk::Busy), Source::Peer(addr)) => {
                self.counts.busy += 1;
                self.swarm.busy(addr);
            }
            (Err(NoChunk::Absent), Source::Peer(addr)) => self.swarm.lacks(addr),
            (Err(NoChunk::Failed(e)), Source::Peer(addr)) => {
                debug!(target: PART, "{PART}: event=no_chunk chunk={i} peer={addr} why=\"{e}\"");
                self.counts.failed += 1;
                self.swarm.silent(addr);
            }
            (Err(e), Source::Origin) => {
                if let NoChunk::Failed(e) = e {
                    debug!(target: PART, "{PART}: event=no_chunk chunk={i} source=origin why=\"{e}\"");
                }
                self.counts.failed += 1;
                let now = clock::now();
                if !self.origin_away {
                    self.origin_away = true;
                    self.held_before = self.held();
                }
                // It fails those whose turn it is as well; they are not to be stepped in for.
                self.progress = now;
                self.origin_rests_until = now + self.origin_pause();
            }
        }
    }
}

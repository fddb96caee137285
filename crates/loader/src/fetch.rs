//! Fetches the missing chunks of a version.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use agent::swarm::{Source, SourcePolicy, Swarm};
use base::{Digest, Map, Set as HashSet};
use bytes::Bytes;
use log::{debug, info, warn};
use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;
use web::Client;
use wire::Peer;

use crate::Cx;
use crate::announcer::Announcer;
use crate::api::{ApiError, OriginVersion};
use crate::chunk::{ChunkError, Fetched, fetch_chunk};
use crate::chunk_set::ChunkSet;
use crate::manifest::at_configured_origin;
use crate::manifest_check::{Checked, ManifestChecks};
use crate::peers::{PeerChunks, Scope, announce, loaders};
use crate::precedence::{Access, MAX_STALL};
use crate::presence::Presence;
use crate::schedule::OriginSchedule;
use crate::succession::{Predecessor, Preferred};

/// Log prefix of this part.
const PART: &str = "fetch";

/// Maximum number of chunks that one loader fetches from the origin at once: one is in transit while the next is
/// requested.
const MAX_ORIGIN_FETCHES: usize = 2;

/// Fraction of the origin's connections that is used; some are still occupied by loaders that have exited.
const ORIGIN_USE: f64 = 0.7;

/// Interval of checks for chunks that have become available and for announcements that are due.
const TICK: Duration = Duration::from_millis(40);

/// Minimum time between two reads of other loaders' announcements.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(10);

/// Time after the start of a fetch for which loaders without an announcement count as present.
pub(crate) const GRACE_TIME: Duration = Duration::from_millis(400);

/// Mean back-off after a failed request to the origin, for up to [`ORIGIN_BACK_OFF_LOADERS`] loaders; it grows in
/// proportion if there are more.
const ORIGIN_BACK_OFF: Duration = Duration::from_millis(200);

/// Maximum time to wait for chunks staged at the engine to be read back before fetching from the origin. Loader and
/// engine start together with their VM; without the wait, a whole fleet would fetch a version that its engines
/// hold.
const ENGINE_WAIT: Duration = Duration::from_secs(3);

/// Number of loaders that may each request from an unreachable origin five times a second.
const ORIGIN_BACK_OFF_LOADERS: usize = 16;

/// A fetch of one version.
pub(crate) struct Fetch {
    pub(crate) cx: Arc<Cx>,
    pub(crate) set: Arc<ChunkSet>,
    origin: OriginVersion,
    client: Client,
    pub(crate) swarm: Swarm,
    pub(crate) policy: SourcePolicy,
    in_flight: HashSet<usize>,
    /// Chunks in flight from the origin.
    from_origin: usize,
    max_origin_fetches: usize,
    schedule: OriginSchedule,
    /// Whether the version was released within the bound of an older one that was in progress.
    competes: bool,
    /// Version that has precedence over this one.
    preferred: Option<Preferred>,
    /// What may be fetched from the origin, see [`Preferred::access`].
    access: Access,
    /// Whether the last request to the origin failed, and no chunk has been fetched from it since.
    origin_unreachable: bool,
    /// Number of chunks that any loader held when the origin failed.
    available_at_failure: usize,
    origin_back_off_until: Instant,
    pub(crate) started: Instant,
    last_progress: Instant,
    /// Last time that other loaders' announcements were read.
    last_read: Instant,
    /// Number of other loaders in the failure domain.
    pub(crate) near_loaders: usize,
    pub(crate) counts: Counts,
    checks: ManifestChecks,
}

/// Outcomes of chunk fetches by source, for the log.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) origin: u32,
    near: u32,
    far: u32,
    busy: u32,
    failed: u32,
}

/// Fetches all chunks of a set; returns once it is complete. `competes` states whether the version was released within the
/// bound of an older one that was in progress, `predecessor` which older version is completed first.
pub(crate) async fn fetch(
    cx: Arc<Cx>,
    set: Arc<ChunkSet>,
    origin: OriginVersion,
    client: Client,
    competes: bool,
    predecessor: Option<Predecessor>,
) {
    let now = clock::now();
    let policy = policy(&cx);
    let max_origin_fetches = max_origin_fetches(&cx);
    let schedule = OriginSchedule::new(chunk_time(&cx), &vec![false; set.len()], now);
    let mut fetch = Fetch {
        set,
        origin,
        client,
        swarm: Swarm::default(),
        policy,
        in_flight: HashSet::default(),
        from_origin: 0,
        max_origin_fetches,
        schedule,
        competes,
        access: match predecessor {
            Some(_) => Access::Wait,
            None => Access::Full,
        },
        preferred: predecessor.map(Preferred::Older),
        origin_unreachable: false,
        available_at_failure: 0,
        origin_back_off_until: now,
        started: now,
        last_progress: now,
        last_read: now,
        near_loaders: 0,
        counts: Counts::default(),
        checks: ManifestChecks::new(now),
        cx,
    };
    announce(&fetch.cx, &fetch.set, true, Scope::NearAndSample);
    let mut fetching = JoinSet::new();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut announcer = Announcer::new(&fetch, now);
    while !fetch.set.is_complete() {
        fetch.start(&mut fetching);
        tokio::select! {
            Some(fetched) = fetching.join_next(), if !fetching.is_empty() => match fetched {
                Ok(fetched) => {
                    fetch.handle(fetched);
                    announcer.announce_to_receivers(&fetch);
                }
                Err(e) => warn!(target: PART, "{PART}: event=task_failed why=\"{e}\""),
            },
            checked = fetch.checks.next(), if !fetch.checks.is_idle() => match checked {
                Some(checked) => {
                    fetch.handle_checked(checked);
                    announcer.announce_to_receivers(&fetch);
                }
                None => warn!(target: PART, "{PART}: event=check_failed version={}", fetch.set.version),
            },
            () = announced(&fetch.cx, fetch.last_read) => fetch.read_new_announcements(),
            _ = ticks.tick() => {
                fetch.read_announcements();
                announcer.announce_if_due(&fetch);
            }
        }
    }
    announce(&fetch.cx, &fetch.set, false, Scope::NearAndSample);
    info!(target: PART, "{PART}: event=whole model={} version={} took={:?} {:?}", fetch.set.model, fetch.set.version, clock::since(fetch.started), fetch.counts);
}

/// Waits for an announcement of another loader, and for at least [`MIN_READ_INTERVAL`] since the last read.
async fn announced(cx: &Cx, last_read: Instant) {
    cx.announced.notified().await;
    clock::sleep_until(last_read + MIN_READ_INTERVAL).await;
}

/// Returns how many chunks this loader may fetch from the origin at once, so that all loaders together stay within
/// the connections that the origin accepts.
fn max_origin_fetches(cx: &Cx) -> usize {
    let catalog = cx.catalog.borrow();
    let origin = catalog.as_ref().and_then(|c| c.origin().cloned());
    let max = origin.map_or(0.0, |o| f64::from(o.max_connections));
    let share = max * ORIGIN_USE / (loaders(cx).len() + 1) as f64;
    (share as usize).clamp(1, MAX_ORIGIN_FETCHES)
}

/// Returns the time in which the origin's link carries a chunk; zero if its rate is unknown.
pub(crate) fn chunk_time(cx: &Cx) -> Duration {
    let catalog = cx.catalog.borrow();
    let origin = catalog.as_ref().and_then(|c| c.origin());
    let engine = catalog.as_ref().and_then(|c| c.engine(&cx.service));
    match (origin, engine) {
        (Some(origin), Some(engine)) => origin.transfer_time(engine.chunk_bytes),
        _ => Duration::ZERO,
    }
}

fn policy(cx: &Cx) -> SourcePolicy {
    let mut permitted: Vec<_> = loaders(cx).into_iter().map(|m| m.domain).collect();
    permitted.push(cx.cfg.node.domain.clone());
    permitted.sort();
    permitted.dedup();
    SourcePolicy {
        vm: cx.cfg.node.vm.clone(),
        domain: cx.cfg.node.domain.clone(),
        permitted,
        settle_time: cx.cfg.settle_time,
        copy_per_domain: false,
        limit_sources: true,
        origin_wait: cx.cfg.origin_patience,
        max_bad_chunks: cx.cfg.bad_chunks,
        ban_time: cx.cfg.bad_time,
    }
}

impl Fetch {
    /// Applies the announcements received since the last read.
    fn read_new_announcements(&mut self) {
        let since = std::mem::replace(&mut self.last_read, clock::now());
        for (addr, chunks) in self.announced(Some(since)) {
            self.swarm.set_have(addr, chunks.have);
        }
    }

    /// Applies all announcements and the member list. Loaders that fetch the version too repeat their announcements;
    /// others take over from one that has become unresponsive.
    fn read_announcements(&mut self) {
        self.last_read = clock::now();
        let announced = self.announced(None);
        let members = loaders(&self.cx);
        let own = &self.policy.domain;
        self.near_loaders = members.iter().filter(|m| m.domain == *own).count();
        let presence = Presence::new(&members, &announced, own, self.near_loaders);
        let grace_over = clock::since(self.started) > GRACE_TIME;
        let peers = members
            .iter()
            .map(|m| Peer {
                leaving: !presence.is_present(m, grace_over),
                vm: m.vm.clone(),
                domain: m.domain.clone(),
                addr: m.peer_addr,
            })
            .collect();
        self.swarm.set_peers(&self.cx.cfg.node.vm, peers);
        for (addr, chunks) in announced {
            self.swarm.set_have(addr, chunks.have);
        }
        let available = self.available();
        self.set.set_available(available);
        if self.competes && self.access == Access::Full {
            self.schedule.advance(available, clock::now());
        }
        if self.origin_unreachable && available > self.available_at_failure {
            self.resume_origin();
        }
        self.update_access(available);
    }

    /// Updates what may be fetched from the origin while another version has precedence.
    fn update_access(&mut self, available: usize) {
        if let Some(newer) = self.set.take_successor() {
            self.preferred = Some(Preferred::successor(newer));
            self.access = Access::Wait;
        }
        let Some(preferred) = &mut self.preferred else {
            return;
        };
        let access = match self.access {
            Access::Full => Access::Full,
            _ => preferred.access(&self.cx, &self.set, available),
        };
        let now = clock::now();
        if access != Access::Full {
            // Waiting isn't a stall, after which this loader would take over the chunks of others.
            self.last_progress = now;
        }
        if access != self.access {
            let other = preferred.set();
            info!(target: PART, "{PART}: event=origin_access version={} access={access:?} preferred={} missing={}", self.set.version, other.version, other.unavailable());
            let chunk_time = match access {
                Access::Full => chunk_time(&self.cx),
                _ => MAX_STALL,
            };
            self.access = access;
            self.schedule = OriginSchedule::new(chunk_time, &self.available_chunks(), now);
        }
        let needs_link = self.preferred.as_ref().is_some_and(Preferred::needs_link);
        if access == Access::Full && !needs_link {
            self.preferred = None;
        }
    }

    /// Returns whether another chunk may be requested.
    fn has_capacity(&self) -> bool {
        let own = self.in_flight.len();
        match self.preferred.as_ref().is_some_and(Preferred::needs_link) {
            true => self.cx.window.has_spare_capacity(own),
            false => self.cx.window.has_capacity(own),
        }
    }

    fn announced(&self, since: Option<Instant>) -> Map<SocketAddr, PeerChunks> {
        let peers = self.cx.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.announced(&self.set.model, self.set.version, self.set.len(), since)
    }

    /// Returns the number of chunks that this loader or another holds.
    fn available(&self) -> usize {
        self.available_chunks().iter().filter(|held| **held).count()
    }

    fn available_chunks(&self) -> Vec<bool> {
        let own = self.set.have();
        let held = |(i, own): (usize, &bool)| *own || self.swarm.is_held(i);
        own.iter().enumerate().map(held).collect()
    }

    /// Schedules the remaining chunks anew, starting now, since the origin has recovered. All loaders receive the announcement
    /// of the first chunk, so they start at about the same time.
    fn resume_origin(&mut self) {
        let now = clock::now();
        self.origin_unreachable = false;
        self.origin_back_off_until = now;
        self.last_progress = now;
        self.schedule =
            OriginSchedule::new(self.schedule.chunk_time, &self.available_chunks(), now);
        info!(target: PART, "{PART}: event=origin_back version={} held={}", self.set.version, self.available());
    }

    /// Starts as many chunk fetches as the window permits, the most urgent first.
    fn start(&mut self, fetching: &mut JoinSet<Fetched>) {
        if !self.has_capacity() {
            return;
        }
        let (waited, stalled) = (clock::since(self.started), clock::since(self.last_progress));
        let have = self.set.have();
        let selector = self.swarm.selector(&self.policy, waited, stalled);
        let mut ready: Vec<_> = (0..have.len())
            .filter(|i| !have[*i] && !self.in_flight.contains(i))
            .filter(|i| !self.checks.is_in_progress(*i))
            .filter_map(|i| {
                let digest = Digest::from_slice(&self.set.digest(i)?).ok()?;
                let choice = selector.choose(i, &digest)?;
                Some((choice.urgency, i, choice.source))
            })
            .collect();
        ready.shuffle(&mut rand::rng());
        ready.sort_by_key(|(urgency, ..)| *urgency);
        for (_, i, source) in ready {
            if !self.has_capacity() {
                return;
            }
            match source {
                Source::Origin => {
                    if self.is_origin_paused()
                        || !self.schedule.is_due(i, clock::now())
                        || self.from_origin >= self.max_origin_fetches
                    {
                        continue;
                    }
                    self.from_origin += 1;
                }
                Source::Peer(addr) => {
                    if !self.swarm.can_start(addr, &self.policy, stalled) {
                        continue;
                    }
                    self.swarm.record_started(addr);
                }
            }
            self.in_flight.insert(i);
            let (cx, set) = (self.cx.clone(), self.set.clone());
            let origin = at_configured_origin(&self.cx, &self.origin);
            let client = self.client.clone();
            let in_flight = self.cx.window.begin();
            fetching.spawn(async move {
                let started = clock::now();
                let result = fetch_chunk(&cx, &set, origin, &client, i, source).await;
                drop(in_flight);
                let elapsed = clock::since(started);
                Fetched {
                    i,
                    source,
                    elapsed,
                    result,
                }
            });
        }
    }

    /// Returns whether no chunks may be fetched from the origin now.
    fn is_origin_paused(&self) -> bool {
        let may_be_staged = !self.set.is_read_back() && clock::since(self.started) < ENGINE_WAIT;
        let must_wait = !matches!(self.access, Access::Full | Access::Probe);
        must_wait || may_be_staged || clock::now() < self.origin_back_off_until
    }

    fn origin_back_off(&self) -> Duration {
        let loaders = self.swarm.peers().len() + 1;
        let factor = (loaders as f64 / ORIGIN_BACK_OFF_LOADERS as f64).max(1.0);
        ORIGIN_BACK_OFF.mul_f64(factor * rand::rng().random_range(0.5..1.5))
    }

    /// Records whether the origin still provides the version, if a failed request to it says so.
    fn record_origin_error(&self, e: &ApiError) {
        let withdrawn = matches!(e, ApiError::Gone(_));
        if withdrawn && self.set.set_withdrawn(true) {
            info!(target: PART, "{PART}: event=withdrawn model={} version={} missing={}", self.set.model, self.set.version, self.set.unavailable());
        }
    }

    fn is_near(&self, addr: SocketAddr) -> bool {
        let near = |p: &&Peer| p.addr == addr && p.domain == self.policy.domain;
        self.swarm.peers().iter().any(|p| near(&p))
    }

    /// Handles a chunk that matches its digest.
    fn handle_chunk(&mut self, source: Source) {
        match source {
            Source::Peer(addr) => {
                self.last_progress = clock::now();
                match self.is_near(addr) {
                    true => self.counts.near += 1,
                    false => self.counts.far += 1,
                }
            }
            Source::Origin => {
                self.counts.origin += 1;
                self.set.set_withdrawn(false);
                if self.origin_unreachable {
                    self.resume_origin();
                }
                metrics::counter!("driftnotch_origin_chunks_total").increment(1);
            }
        }
    }

    /// Handles a chunk that doesn't match its digest: either of them may be wrong.
    fn handle_mismatch(&mut self, i: usize, buf: Bytes, source: Source) {
        match self.checks.record_mismatch(i, &buf, source, clock::now()) {
            Some(at) => {
                let (chunk, origin) = ((i, buf), at_configured_origin(&self.cx, &self.origin));
                self.checks
                    .start(&self.cx, &self.client, &origin, chunk, at);
            }
            None => self.record_bad_chunk(i, source),
        }
    }

    /// Handles the end of a check of a digest.
    fn handle_checked(&mut self, checked: Checked) {
        let (i, source) = (checked.i, checked.source);
        match self.checks.apply(&self.cx, &self.set, checked) {
            true => self.handle_chunk(source),
            false => self.record_bad_chunk(i, source),
        }
    }

    fn record_bad_chunk(&mut self, i: usize, source: Source) {
        warn!(target: PART, "{PART}: event=bad_chunk chunk={i} version={} source={source:?}", self.set.version);
        metrics::counter!("driftnotch_bad_chunks_total").increment(1);
        if let Source::Peer(addr) = source {
            self.swarm.record_bad_chunk(addr, &self.policy);
        }
    }

    /// Handles the outcome of a chunk fetch.
    fn handle(&mut self, fetched: Fetched) {
        let Fetched {
            i,
            source,
            elapsed,
            result,
        } = fetched;
        self.cx.window.record_latency(elapsed);
        self.in_flight.remove(&i);
        match source {
            Source::Origin => self.from_origin -= 1,
            Source::Peer(addr) => self.swarm.record_completed(addr),
        }
        let is_valid = result
            .as_ref()
            .is_ok_and(|buf| self.set.put(i, buf.clone()));
        match (result, source) {
            (Ok(_), source) if is_valid => self.handle_chunk(source),
            (Ok(buf), source) => self.handle_mismatch(i, buf, source),
            (Err(ChunkError::Busy), Source::Peer(addr)) => {
                self.counts.busy += 1;
                self.swarm.record_busy(addr);
            }
            (Err(ChunkError::Absent), Source::Peer(addr)) => self.swarm.record_absent(addr),
            (Err(ChunkError::Failed(e)), Source::Peer(addr)) => {
                debug!(target: PART, "{PART}: event=no_chunk chunk={i} peer={addr} why=\"{e}\"");
                self.counts.failed += 1;
                self.swarm.record_unresponsive(addr);
            }
            (Err(e), Source::Origin) => {
                if let ChunkError::Failed(e) = e {
                    debug!(target: PART, "{PART}: event=no_chunk chunk={i} source=origin why=\"{e}\"");
                    self.record_origin_error(&e);
                }
                self.counts.failed += 1;
                let now = clock::now();
                if !self.origin_unreachable {
                    self.origin_unreachable = true;
                    self.available_at_failure = self.available();
                }
                // The origin fails other loaders as well. Counting this as progress keeps this loader from taking
                // over their chunks.
                self.last_progress = now;
                self.origin_back_off_until = now + self.origin_back_off();
            }
        }
    }
}

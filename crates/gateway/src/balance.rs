//! Chooses the upstream of a request by the cost that [`decide::load_balancing`] computes for each candidate, or
//! [`decide::engine_model`] for engines of varying speed.
//!
//! A candidate is in a place where the request may run and in no drained failure domain, accepts new requests, holds a
//! version that may begin requests, and hasn't been tried yet. Ejected upstreams and those that fail most of their
//! requests are chosen only if there is no healthy one. Cold upstreams get requests by [`decide::slow_start`], those
//! that advertise a rate limit by [`decide::rate_limit`], those that ask for a back-off by [`decide::back_off`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use catalog::{Service, WeightsVersion};
use decide::DeadlineClass;
use decide::back_off::next_send;
use decide::contention::{draw_period, should_try};
use decide::draining::{DrainState, accepts_requests};
use decide::load_balancing::{Candidate, Requirements};
use decide::outlier_detection::OutcomeCounts;
use decide::priority::{Pool, Standing, ranks};
use decide::queue::max_wait;
use decide::rate_limit::RateLimit;
use decide::senders;
use decide::slow_start::{Limit, is_due, is_sender};
use rand::RngExt;

use crate::Cx;
use crate::loads::PeerLoad;
use crate::request::RoutedRequest;
use crate::speed::Speeds;
use crate::upstream::{Snapshot, Upstream};

/// Result of choosing an upstream.
#[derive(Debug)]
pub(crate) enum Pick {
    /// An upstream with free capacity, and the version that would run the request; `None` for a plain service.
    Chosen(Arc<Upstream>, Option<WeightsVersion>),
    /// There are upstreams, but none has free capacity.
    Full,
    /// The free capacity is reserved for requests that come first.
    Reserved {
        /// Whether it has been for the time for which the request may be queued.
        lasts: bool,
    },
    /// There are upstreams, but none may be sent a request before this time.
    NotBefore(Instant),
    /// There is no upstream.
    NoUpstream,
}

/// Candidate with its cost and version.
type Priced = (f64, Arc<Upstream>, Option<WeightsVersion>);

/// State of a search through the upstreams of a service.
#[derive(Default)]
struct Search {
    /// Whether any upstream may run the request.
    has_candidate: bool,
    /// Earliest time at which an upstream that must wait may be sent a request.
    not_before: Option<Instant>,
    /// Whether any upstream that may run the request is healthy.
    has_healthy: bool,
    /// Cheapest candidates with free capacity.
    cheapest: Cheapest,
    /// Cheapest of those that are cold or rate-limited, and so not part of the pool.
    paced: Cheapest,
    /// Capacity of all candidates of the pool; added up only if requests are admitted by priority.
    pool: Pool,
    /// Capacity of the healthy candidates of the pool.
    pool_healthy: Pool,
}

/// Cheapest candidates of a search.
#[derive(Default)]
struct Cheapest {
    healthy: Option<Priced>,
    any: Option<Priced>,
}

impl Cheapest {
    fn offer(
        &mut self,
        cost: f64,
        upstream: &Arc<Upstream>,
        version: Option<WeightsVersion>,
        is_healthy: bool,
    ) {
        let is_cheaper =
            |found: &Option<Priced>| found.as_ref().is_none_or(|(min, ..)| cost < *min);
        if is_cheaper(&self.any) {
            self.any = Some((cost, upstream.clone(), version));
        }
        if is_healthy && is_cheaper(&self.healthy) {
            self.healthy = Some((cost, upstream.clone(), version));
        }
    }

    /// Returns the choice; an unhealthy upstream is chosen only if there is no healthy one.
    fn choose(self, has_healthy: bool) -> Option<Priced> {
        match has_healthy {
            true => self.healthy,
            false => self.any,
        }
    }
}

/// Chooses an upstream that isn't among `tried`, and whose address isn't among `excluded`; `has_waited` states whether
/// none had free capacity before. `standing` is set where requests are admitted by priority.
pub(crate) fn pick(
    cx: &Cx,
    req: &RoutedRequest,
    service: &Service,
    tried: &[Arc<Upstream>],
    excluded: &[SocketAddr],
    has_waited: bool,
    standing: Option<Standing>,
) -> Pick {
    let now = clock::now();
    let speeds = Speeds::new(cx, req, service, requirements(cx, req, service), now);
    let model = service.engine.as_ref().and(req.metadata.model.as_ref());
    let oldest_allowed = model.map_or(0, |model| cx.releases.oldest_allowed(model, now));
    let (near_gateways, all_gateways) = (cx.near_gateways(), cx.gateways());
    let entries = cx.upstreams.entries(&req.service);
    let drained = cx.drains.current();
    let peer_loads = cx.loads.peer_loads();
    let feedback = cx.feedback.current();
    let target = cx.plans.target(cx, req, tried);
    let target = target.as_ref().unwrap_or(&cx.upstreams.domain);
    let mut rng = rand::rng();
    let mut search = Search::default();
    for entry in entries.iter().filter(|e| e.is_current(now)) {
        let upstream = &entry.upstream;
        let is_allowed = req.can_run_in(&cx.cfg.domains, &upstream.domain);
        if !is_allowed || drained.contains_key(&upstream.domain) {
            continue;
        }
        let snapshot = upstream.snapshot(model, now);
        let has_version = model.is_none()
            || snapshot
                .serving_version
                .is_some_and(|version| version >= oldest_allowed);
        let drain_state = DrainState {
            listed: snapshot.draining,
            advertised: feedback.is_draining(upstream.incarnation),
        };
        if !accepts_requests(drain_state)
            || !has_version
            || tried.iter().any(|t| t.instance == upstream.instance)
        {
            continue;
        }
        let peer_load = peer_loads.get(&upstream.addr);
        let is_healthy = !snapshot.is_ejected && !is_failing(upstream, &snapshot, peer_load, now);
        let is_far = upstream.domain != cx.upstreams.domain;
        let slow_start = match service.cold_rate.filter(|_| snapshot.is_cold) {
            None => SlowStart::Warm,
            Some(rate) => slow_start_state(cx, upstream, &snapshot, rate, now),
        };
        if slow_start == SlowStart::NotSender {
            continue;
        }
        let limit = feedback.rate_limit(upstream.incarnation);
        let next_by_rate =
            limit.and_then(|limit| next_by_rate_limit(cx, upstream, &snapshot, &limit));
        let next = next_send(feedback.back_off_until(upstream.incarnation), next_by_rate);
        if let Some(next) = next.filter(|next| *next > now) {
            search.defer(next);
            continue;
        }
        search.has_candidate = true;
        if slow_start == SlowStart::NotDue || excluded.contains(&upstream.addr) {
            continue;
        }
        search.has_healthy |= is_healthy;
        let is_target = upstream.domain == *target;
        let candidate = candidate(&snapshot, peer_load, !is_target);
        let gateways = match is_far {
            true => all_gateways,
            false => near_gateways,
        };
        let draw = draw(cx, upstream, is_far, now);
        // Only a few gateways send to a cold or rate-limited upstream, and these pace their requests.
        let is_contended = slow_start == SlowStart::Warm && limit.is_none();
        let free_capacity = speeds.free_capacity(&upstream.addr, &candidate);
        if standing.is_some() && is_contended {
            let idle = speeds.free_capacity(&upstream.addr, &idle(&candidate));
            search.add_to_pool(candidate.slots, idle, free_capacity, is_healthy);
        }
        // Only the planned share of requests tries a far target, about as many as arrive at near gateways in the time
        // until a request is known.
        let is_unplanned = is_far && !is_target;
        if is_contended && !should_try(free_capacity, gateways, is_unplanned, has_waited, draw) {
            continue;
        }
        if let Some(cost) = speeds.cost(&upstream.addr, &candidate) {
            let cost = cost + rng.random_range(0.0..speeds.jitter());
            let version = snapshot.serving_version;
            search.cheapest.offer(cost, upstream, version, is_healthy);
            if !is_contended {
                search.paced.offer(cost, upstream, version, is_healthy);
            }
        }
    }
    drop((peer_loads, feedback));
    match standing.and_then(|standing| reserved(cx, req, service, &search, standing, now)) {
        Some(lasts) => search.finish_reserved(lasts),
        None => search.finish(),
    }
}

/// Returns `None` if a request is admitted, or else whether the shortage has lasted for as long as it may be queued.
fn reserved(
    cx: &Cx,
    req: &RoutedRequest,
    service: &Service,
    search: &Search,
    standing: Standing,
    now: Instant,
) -> Option<bool> {
    let pool = search.pool();
    let ranks = ranks(service.priorities.distinct());
    let max_wait = max_wait(req.bound_objective);
    let lasts = cx
        .pools
        .observe(&req.service, pool, (standing.rank, ranks), max_wait, now);
    (!pool.admits_standing(standing)).then_some(lasts)
}

impl Search {
    /// Records an upstream that may be sent requests from `at` on.
    fn defer(&mut self, at: Instant) {
        self.not_before = Some(self.not_before.map_or(at, |next| next.min(at)));
    }

    fn add_to_pool(&mut self, slots: u32, idle: f64, free: f64, is_healthy: bool) {
        self.pool.add(slots, idle, free);
        if is_healthy {
            self.pool_healthy.add(slots, idle, free);
        }
    }

    /// Returns the capacity of the candidates that may be chosen.
    fn pool(&self) -> &Pool {
        match self.has_healthy {
            true => &self.pool_healthy,
            false => &self.pool,
        }
    }

    /// Returns the result for a request that must leave the pool to more urgent ones: it may still be sent to an
    /// upstream outside of the pool, which limits the rate of requests itself.
    fn finish_reserved(self, lasts: bool) -> Pick {
        match self.paced.choose(self.has_healthy) {
            Some((_, upstream, version)) => Pick::Chosen(upstream, version),
            None => Pick::Reserved { lasts },
        }
    }

    /// Returns the result.
    fn finish(self) -> Pick {
        let found = self.cheapest.choose(self.has_healthy);
        match (found, self.not_before) {
            (Some((_, upstream, version)), _) => Pick::Chosen(upstream, version),
            (None, _) if self.has_candidate => Pick::Full,
            (None, Some(next)) => Pick::NotBefore(next),
            (None, None) => Pick::NoUpstream,
        }
    }
}

/// Slow-start state of an upstream, for this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlowStart {
    /// The upstream isn't cold.
    Warm,
    /// The upstream is cold, and this gateway may send a request now.
    Due,
    /// The upstream is cold, and this gateway may send a request later.
    NotDue,
    /// The upstream is cold, and only other gateways send requests.
    NotSender,
}

/// Returns the slow-start state of a cold upstream that handles `rate` requests a second.
fn slow_start_state(
    cx: &Cx,
    upstream: &Upstream,
    snapshot: &Snapshot,
    rate: f64,
    now: Instant,
) -> SlowStart {
    let limit = Limit {
        rate,
        overage: cx.cfg.cold_overage,
        slack: cx.cfg.cold_slack,
    };
    let Some(interval) = limit.interval() else {
        return SlowStart::NotSender;
    };
    match sender_rank(cx, upstream).is_some_and(is_sender) {
        false => SlowStart::NotSender,
        true if is_due(snapshot.last_chosen, interval, now) => SlowStart::Due,
        true => SlowStart::NotDue,
    }
}

/// Returns when this gateway may next send to an upstream with a rate limit; `None` for at once.
fn next_by_rate_limit(
    cx: &Cx,
    upstream: &Upstream,
    snapshot: &Snapshot,
    limit: &RateLimit,
) -> Option<Instant> {
    match sender_rank(cx, upstream) {
        Some(rank) => limit.next(rank, cx.near_gateways(), snapshot.last_chosen),
        // All other gateways rank before this one.
        None => {
            let all = cx.gateways();
            limit.next(all, all, snapshot.last_chosen)
        }
    }
}

/// Returns the rank of this gateway among the senders of an upstream. `None` if the upstream is in another failure
/// domain, or this gateway isn't listed, so that others don't include it in their ranks.
fn sender_rank(cx: &Cx, upstream: &Upstream) -> Option<usize> {
    let peers = cx.peers.borrow();
    let others = peers.near_gateways.keys();
    let may_rank = upstream.domain == cx.upstreams.domain && peers.includes_self;
    may_rank.then(|| senders::rank(&upstream.addr.to_string(), &cx.cfg.node.vm, others))
}

/// Returns whether an upstream fails most of the requests that all gateways send to it.
fn is_failing(upstream: &Upstream, snapshot: &Snapshot, peer_load: PeerLoad, now: Instant) -> bool {
    // Few upstreams fail at all; the decay of counts is computed for these only.
    if !OutcomeCounts::may_be_failing(peer_load.outcomes.failed + snapshot.max_failed) {
        return false;
    }
    let own = upstream.outcome_counts(now);
    let counts = OutcomeCounts {
        failed: peer_load.outcomes.failed + own.failed,
        answered: peer_load.outcomes.answered + own.answered,
    };
    counts.is_failing()
}

/// Returns a draw in 0..1 for an upstream. It stays the same for as long as other gateways don't know what this one
/// sends.
fn draw(cx: &Cx, upstream: &Upstream, is_far: bool, now: Instant) -> f64 {
    let since_start = now.saturating_duration_since(cx.started);
    let period = since_start.as_millis() / draw_period(is_far).as_millis();
    cx.draw((upstream.addr, period))
}

fn requirements(cx: &Cx, req: &RoutedRequest, service: &Service) -> Requirements {
    Requirements {
        // The pooled reserve stands in for that of each engine.
        deadline_class: req
            .rank
            .map_or(req.deadline_class, |_| DeadlineClass::OnTime),
        objective: req.bound_objective,
        prompt_rate: service.engine.as_ref().map(|e| e.prompt_rate),
        expected_tokens: req.expected_tokens(),
        is_only_gateway: cx.gateways() == 1,
    }
}

/// Returns the state of a candidate without load.
fn idle(candidate: &Candidate) -> Candidate {
    Candidate {
        requests: 0,
        unread: 0,
        ..*candidate
    }
}

fn candidate(snapshot: &Snapshot, peer_load: PeerLoad, is_far: bool) -> Candidate {
    Candidate {
        slots: snapshot.slots,
        requests: snapshot.requests + peer_load.requests,
        unread: snapshot.unread + peer_load.unread,
        own_unread: snapshot.unread,
        is_far,
        leaves_in: snapshot.leaves_in,
    }
}

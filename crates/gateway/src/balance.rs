//! Chooses the upstream of a request, by [`decide::load_balancing`].
//!
//! Candidates are where the request may run, in no drained failure domain, take new work, hold a version that
//! may begin requests, weren't tried yet, and don't fail most of what they get. Cold ones get requests by
//! [`decide::slow_start`], those that advertise a rate limit by [`decide::rate_limit`], those that ask
//! for a back-off by [`decide::back_off`].

use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use catalog::{Service, WeightsVersion};
use decide::back_off::next_send;
use decide::contention::{draw_period, should_try};
use decide::draining::{DrainState, accepts_requests};
use decide::load_balancing::{Candidate, JITTER, Requirements};
use decide::outlier_detection::OutcomeCounts;
use decide::rate_limit::RateLimit;
use decide::senders;
use decide::slow_start::{Limit, is_due, is_sender};
use rand::RngExt;

use crate::Cx;
use crate::loads::PeerLoad;
use crate::request::RoutedRequest;
use crate::upstream::Snapshot;
use crate::upstream::Upstream;

/// What became of a choice.
#[derive(Debug)]
pub(crate) enum Pick {
    /// An upstream with room, and the version that would run the request; `None` for a plain service.
    Chosen(Arc<Upstream>, Option<WeightsVersion>),
    /// There are upstreams, but none has room.
    Full,
    /// There are upstreams, but none may be sent a request before a moment.
    NotBefore(Instant),
    /// There is no upstream.
    Nobody,
}

/// An upstream that a choice has come to, with its weight.
type Found = (f64, Arc<Upstream>, Option<WeightsVersion>);

/// What a walk over the upstreams of a service has found so far.
#[derive(Default)]
struct Search {
    /// Whether any may run the request.
    fits: bool,
    /// Earliest time at which one may be sent to that may not be now.
    next: Option<Instant>,
    /// Whether any that may run the request doesn't fail most of what it gets.
    sound: bool,
    /// Lightest with room among the sound ones.
    lightest_sound: Option<Found>,
    /// Lightest with room among all.
    lightest: Option<Found>,
}

/// Chooses an upstream that isn't among `tried`, nor at one of the addresses of `apart`; `waits` says whether
/// none had room before.
pub(crate) fn pick(
    cx: &Cx,
    job: &RoutedRequest,
    service: &Service,
    tried: &[Arc<Upstream>],
    apart: &[SocketAddr],
    waits: bool,
) -> Pick {
    let now = clock::now();
    let ask = ask(cx, job, service);
    let model = service.engine.as_ref().and(job.metadata.model.as_ref());
    let oldest = model.map_or(0, |model| cx.releases.oldest_allowed(model, now));
    let (near_gateways, all_gateways) = (cx.near_gateways(), cx.gateways());
    let entries = cx.registry.entries(&job.service);
    let drained = cx.drains.current();
    let sums = cx.loads.peer_loads();
    let feedback = cx.feedback.current();
    let mut rng = rand::rng();
    let mut search = Search::default();
    for entry in entries.iter().filter(|e| e.is_current(now)) {
        let upstream = &entry.upstream;
        let is_allowed = job.can_run_in(&cx.cfg.domains, &upstream.domain);
        if !is_allowed || drained.contains_key(&upstream.domain) {
            continue;
        }
        let view = upstream.snapshot(model, now);
        let runs = model.is_none()
            || view
                .serving_version
                .is_some_and(|version| version >= oldest);
        let drain = DrainState {
            listed: view.draining,
            advertised: feedback.is_draining(upstream.incarnation),
        };
        if !accepts_requests(drain)
            || !runs
            || tried.iter().any(|t| t.instance == upstream.instance)
        {
            continue;
        }
        let others = sums.get(&upstream.addr);
        let sound = !view.is_ejected && !is_failing(upstream, &view, others, now);
        let is_far = upstream.domain != cx.registry.domain;
        let warmth = match service.cold_rate.filter(|_| view.is_cold) {
            None => Warmth::Warm,
            Some(rate) => cold(cx, upstream, &view, rate, now),
        };
        if warmth == Warmth::OthersSend {
            continue;
        }
        let limit = feedback.rate_limit(upstream.incarnation);
        let by_rate = limit.and_then(|limit| next_by_rate(cx, upstream, &view, &limit));
        let next = next_send(feedback.back_off_until(upstream.incarnation), by_rate);
        if let Some(next) = next.filter(|next| *next > now) {
            search.not_before(next);
            continue;
        }
        search.fits = true;
        if warmth == Warmth::NotDue || apart.contains(&upstream.addr) {
            continue;
        }
        search.sound |= sound;
        let candidate = candidate(&view, others, is_far);
        let gateways = match is_far {
            true => all_gateways,
            false => near_gateways,
        };
        let draw = draw(cx, upstream, is_far, now);
        // Few gateways send to a cold or limited one at all, and at a pace.
        let is_contended = warmth == Warmth::Warm && limit.is_none();
        if is_contended && !should_try(ask.free_capacity(&candidate), gateways, is_far, waits, draw)
        {
            continue;
        }
        if let Some(weight) = ask.cost(&candidate) {
            let weight = weight + rng.random_range(0.0..JITTER);
            search.offer(weight, upstream, view.serving_version, sound);
        }
    }
    search.end()
}

impl Search {
    /// Notes an upstream that may be sent to from `at` on.
    fn not_before(&mut self, at: Instant) {
        self.next = Some(self.next.map_or(at, |next| next.min(at)));
    }

    fn offer(
        &mut self,
        weight: f64,
        upstream: &Arc<Upstream>,
        version: Option<WeightsVersion>,
        sound: bool,
    ) {
        let lighter =
            |found: &Option<Found>| found.as_ref().is_none_or(|(least, ..)| weight < *least);
        if lighter(&self.lightest) {
            self.lightest = Some((weight, upstream.clone(), version));
        }
        if sound && lighter(&self.lightest_sound) {
            self.lightest_sound = Some((weight, upstream.clone(), version));
        }
    }

    /// Those that fail are chosen only where there is no other.
    fn end(self) -> Pick {
        let found = match self.sound {
            true => self.lightest_sound,
            false => self.lightest,
        };
        match (found, self.next) {
            (Some((_, upstream, version)), _) => Pick::Chosen(upstream, version),
            (None, _) if self.fits => Pick::Full,
            (None, Some(next)) => Pick::NotBefore(next),
            (None, None) => Pick::Nobody,
        }
    }
}

/// What slow start says of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Warmth {
    /// It isn't cold.
    Warm,
    /// It is cold, and this gateway may send a request now.
    Due,
    /// It is cold, and this gateway may send a request later.
    NotDue,
    /// It is cold, and only other gateways send requests.
    OthersSend,
}

/// Returns whether this gateway may send a request to a cold upstream that bears so many a second.
fn cold(cx: &Cx, upstream: &Upstream, view: &Snapshot, rate: f64, now: Instant) -> Warmth {
    let limit = Limit {
        rate,
        overage: cx.cfg.cold_overage,
        slack: cx.cfg.cold_slack,
    };
    let Some(interval) = limit.interval() else {
        return Warmth::OthersSend;
    };
    match sender_rank(cx, upstream).is_some_and(is_sender) {
        false => Warmth::OthersSend,
        true if is_due(view.last_chosen, interval, now) => Warmth::Due,
        true => Warmth::NotDue,
    }
}

/// When this gateway may next send to an upstream with a rate limit; `None` for at once.
fn next_by_rate(
    cx: &Cx,
    upstream: &Upstream,
    view: &Snapshot,
    limit: &RateLimit,
) -> Option<Instant> {
    match sender_rank(cx, upstream) {
        Some(rank) => limit.next(rank, cx.near_gateways(), view.last_chosen),
        // Other gateways all go first.
        None => {
            let all = cx.gateways();
            limit.next(all, all, view.last_chosen)
        }
    }
}

/// Rank of this gateway among the senders of an upstream. `None` where it is in another failure domain, or isn't
/// listed, so that others don't count with it.
fn sender_rank(cx: &Cx, upstream: &Upstream) -> Option<usize> {
    let peers = cx.peers.borrow();
    let others = peers.near_gateways.keys();
    let may_rank = upstream.domain == cx.registry.domain && peers.includes_self;
    may_rank.then(|| senders::rank(&upstream.addr.to_string(), &cx.cfg.node.vm, others))
}

/// Whether an upstream fails most of what all gateways send there.
fn is_failing(upstream: &Upstream, view: &Snapshot, others: PeerLoad, now: Instant) -> bool {
    // Few fail at all; only of these it matters what has faded.
    if !OutcomeCounts::may_be_failing(others.outcomes.failed + view.max_failed) {
        return false;
    }
    let own = upstream.outcome_counts(now);
    let ended = OutcomeCounts {
        failed: others.outcomes.failed + own.failed,
        answered: others.outcomes.answered + own.answered,
    };
    ended.is_failing()
}

/// A draw in 0..1 for an upstream, which holds for as long as other gateways don't know what this one sends.
fn draw(cx: &Cx, upstream: &Upstream, is_far: bool, now: Instant) -> f64 {
    let since_start = now.saturating_duration_since(cx.started);
    let moment = since_start.as_millis() / draw_period(is_far).as_millis();
    // The upper half of the hash, so that it is exact as a float.
    let hash = cx.random_state.hash_one((upstream.addr, moment)) >> 32;
    hash as f64 / f64::from(u32::MAX)
}

fn ask(cx: &Cx, job: &RoutedRequest, service: &Service) -> Requirements {
    let expected_tokens = job
        .metadata
        .expected_tokens
        .unwrap_or(job.metadata.max_tokens);
    Requirements {
        deadline_class: job.deadline_class,
        objective: job.route.objective,
        prompt_rate: service.engine.as_ref().map(|e| e.prompt_rate),
        expected_tokens,
        is_only_gateway: cx.gateways() == 1,
    }
}

fn candidate(view: &Snapshot, others: PeerLoad, is_far: bool) -> Candidate {
    Candidate {
        slots: view.slots,
        requests: view.requests + others.requests,
        unread: view.unread + others.unread,
        own_unread: view.unread,
        is_far,
        leaves_in: view.leaves_in,
    }
}

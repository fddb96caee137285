//! Chooses the upstream of a request.
//!
//! Candidates take new work, hold a version that may begin requests, weren't tried yet, and don't fail
//! most of what they get. An upstream is full when as many requests run there as it has slots,
//! counting those of other gateways as they last told, or when so many prompts wait to be read that
//! the first event would come too late. Of those with room the one with the least in flight is taken;
//! the own failure domain goes first among equals, and an engine that is to leave service before the
//! request would end comes last.

pub mod load;
pub mod outcomes;

use std::sync::Arc;
use std::time::{Duration, Instant};

use beacon::Load;
use catalog::{Engine, Service};
use rand::RngExt;

use crate::Cx;
use crate::call::Job;
use crate::upstream::{Slot, Upstream};

/// Prompt tokens that weigh as much as one running request.
const TOKENS_PER_REQUEST: f64 = 700.0;

/// Weight of crossing into another failure domain, in requests: the bytes of a stream between
/// regions cost some 2% of its worth.
const OTHER_DOMAIN: f64 = 2.5;

/// Random part of a weight, in requests, so that gateways that know the same don't all choose the
/// same upstream.
const JITTER: f64 = 0.3;

/// Part of the objective that prompts ahead may take.
const UNREAD_PART: f64 = 0.25;

/// Weight of each second that a request is expected to run after its engine is to leave service for
/// new weights, in requests: the engine has to end it first, with all of its other slots empty.
const OVERRUN: f64 = 4.0;

/// Time in which an engine with a full batch makes one token.
const TOKEN_TIME: Duration = Duration::from_millis(12);

/// Requests that a plain service may have in flight, against its slots.
const PLAIN_FILL: f64 = 2.0;

/// What became of a choice.
#[derive(Debug)]
pub enum Pick {
    /// An upstream with room.
    Chosen(Slot),
    /// There are upstreams, but none has room.
    Full,
    /// There is no upstream.
    Nobody,
}

/// Chooses an upstream that isn't among `tried`.
pub fn pick(cx: &Cx, job: &Job, service: &Service, tried: &[Arc<Upstream>]) -> Pick {
    let now = Instant::now();
    let all = cx.roster.of(&job.service, now);
    let fits: Vec<(Arc<Upstream>, Option<u64>)> = all
        .into_iter()
        .filter(|u| !tried.iter().any(|t| t.instance == u.instance))
        .filter_map(|u| {
            let version = version(cx, job, service, &u, now)?;
            Some((u, version))
        })
        .collect();
    let sound: Vec<_> = fits
        .iter()
        .filter(|(u, _)| !u.is_paused() && !is_failing(cx, u))
        .collect();
    let candidates: Vec<_> = match sound.is_empty() {
        true => fits.iter().collect(),
        false => sound,
    };
    if candidates.is_empty() {
        return Pick::Nobody;
    }
    let mut rng = rand::rng();
    let lightest = candidates
        .into_iter()
        .filter_map(|(u, version)| {
            let weight = weight(cx, job, service, u)?;
            Some((weight + rng.random_range(0.0..JITTER), u, *version))
        })
        .min_by(|(a, ..), (b, ..)| a.total_cmp(b));
    match lightest {
        Some((_, u, version)) => {
            let unread = match service.engine {
                Some(_) => job.call.prompt_tokens,
                None => 0,
            };
            let told = cx.admission.told();
            Pick::Chosen(Slot::take(u.clone(), version, unread, told))
        }
        None => Pick::Full,
    }
}

/// Version that would run the request, `Some(None)` for a plain service; `None` where the upstream
/// may not run it.
fn version(
    cx: &Cx,
    job: &Job,
    service: &Service,
    upstream: &Upstream,
    now: Instant,
) -> Option<Option<u64>> {
    match (&service.engine, &job.call.model) {
        (Some(_), Some(model)) => {
            let version = upstream.serves(model)?;
            (version >= cx.releases.oldest(model, now)).then_some(Some(version))
        }
        _ => Some(None),
    }
}

/// Whether a gateway that isn't alone has a prompt at the engine that isn't read yet. Several
/// gateways may find an engine empty at the same moment; with one prompt each it isn't swamped.
fn reads_own(cx: &Cx, own: &Load) -> bool {
    own.unread > 0 && cx.gateways() > 1
}

/// Whether an upstream fails most of what all gateways send there.
fn is_failing(cx: &Cx, upstream: &Upstream) -> bool {
    let own = upstream.load();
    let mut ended = cx.loads.others(&upstream.addr).ended;
    ended.failed += f64::from(own.failed);
    ended.answered += f64::from(own.answered);
    ended.is_failing()
}

/// What is in flight, in requests; `None` where the upstream is full.
fn weight(cx: &Cx, job: &Job, service: &Service, upstream: &Upstream) -> Option<f64> {
    let own = upstream.load();
    let others = cx.loads.others(&upstream.addr);
    let requests = u32::from(own.requests) + others.requests;
    let unread = u64::from(own.unread) + others.unread;
    let full = match &service.engine {
        Some(engine) => {
            requests >= upstream.slots()
                || waits_long(engine, unread, job.route.objective)
                || reads_own(cx, &own)
        }
        None => f64::from(requests) >= f64::from(upstream.slots()) * PLAIN_FILL,
    };
    let far = match upstream.domain == cx.roster.domain {
        true => 0.0,
        false => OTHER_DOMAIN,
    };
    let overrun = OVERRUN * overrun(job, upstream).as_secs_f64();
    (!full).then_some(f64::from(requests) + unread as f64 / TOKENS_PER_REQUEST + far + overrun)
}

/// How long a request is expected to run after its engine is to leave service.
fn overrun(job: &Job, upstream: &Upstream) -> Duration {
    let Some(left) = upstream.leaves_in(Instant::now()) else {
        return Duration::ZERO;
    };
    let tokens = job.call.expected_tokens.unwrap_or(job.call.max_tokens);
    let runs = TOKEN_TIME * u32::try_from(tokens).unwrap_or(u32::MAX);
    runs.saturating_sub(left)
}

fn waits_long(engine: &Engine, unread: u64, objective: Duration) -> bool {
    engine.prompt_time(unread) > objective.mul_f64(UNREAD_PART)
}

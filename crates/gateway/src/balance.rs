//! Chooses the upstream of a request, by [`decide::placement`].
//!
//! Candidates take new work, hold a version that may begin requests, weren't tried yet, and don't fail
//! most of what they get.

use std::sync::Arc;
use std::time::Instant;

use beacon::Load;
use catalog::{Service, WeightsVersion};
use decide::placement::{Ask, Candidate, JITTER};
use rand::RngExt;

use crate::Cx;
use crate::call::Job;
use crate::upstream::Upstream;

/// What became of a choice.
#[derive(Debug)]
pub(crate) enum Pick {
    /// An upstream with room, and the version that would run the request; `None` for a plain service.
    Chosen(Arc<Upstream>, Option<WeightsVersion>),
    /// There are upstreams, but none has room.
    Full,
    /// There is no upstream.
    Nobody,
}

/// Chooses an upstream that isn't among `tried`.
pub(crate) fn pick(cx: &Cx, job: &Job, service: &Service, tried: &[Arc<Upstream>]) -> Pick {
    let now = Instant::now();
    let all = cx.roster.of(&job.service, now);
    let fits: Vec<(Arc<Upstream>, Option<WeightsVersion>)> = all
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
    let ask = ask(cx, job, service);
    let mut rng = rand::rng();
    let lightest = candidates
        .into_iter()
        .filter_map(|(u, version)| {
            let weight = ask.weight(&candidate(cx, u, now))?;
            Some((weight + rng.random_range(0.0..JITTER), u, *version))
        })
        .min_by(|(a, ..), (b, ..)| a.total_cmp(b));
    match lightest {
        Some((_, u, version)) => Pick::Chosen(u.clone(), version),
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
) -> Option<Option<WeightsVersion>> {
    match (&service.engine, &job.call.model) {
        (Some(_), Some(model)) => {
            let version = upstream.serves(model)?;
            (version >= cx.releases.oldest(model, now)).then_some(Some(version))
        }
        _ => Some(None),
    }
}

/// Whether an upstream fails most of what all gateways send there.
fn is_failing(cx: &Cx, upstream: &Upstream) -> bool {
    let own = upstream.load();
    let mut ended = cx.loads.others(&upstream.addr).ended;
    ended.failed += f64::from(own.failed);
    ended.answered += f64::from(own.answered);
    ended.is_failing()
}

fn ask(cx: &Cx, job: &Job, service: &Service) -> Ask {
    let tokens = job.call.expected_tokens.unwrap_or(job.call.max_tokens);
    Ask {
        standing: job.standing,
        objective: job.route.objective,
        prompt_rate: service.engine.as_ref().map(|e| e.prompt_rate),
        tokens,
        alone: cx.gateways() == 1,
    }
}

fn candidate(cx: &Cx, upstream: &Upstream, now: Instant) -> Candidate {
    let own: Load = upstream.load();
    let others = cx.loads.others(&upstream.addr);
    Candidate {
        slots: upstream.slots(),
        requests: u32::from(own.requests) + others.requests,
        unread: u64::from(own.unread) + others.unread,
        own_unread: u64::from(own.unread),
        is_far: upstream.domain != cx.roster.domain,
        leaves_in: upstream.leaves_in(now),
    }
}

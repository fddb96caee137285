//! Planned share of each failure domain's demand for the other failure domains.
//!
//! Callers may be spread over failure domains in other proportions than engines. Without a plan, a
//! gateway learns that its domain is short of capacity only when its engines are full; the requests
//! that have queued by then are late. The plan is derived from demand and capacity alone, neither of
//! which depends on where requests run, so it has no feedback loop. It is computed by water-filling:
//! demand moves from the domains with the highest utilization to those with the lowest until all are
//! equal, or a bound is reached. Gateways with the same inputs compute the same plan, and a gateway
//! that starts later converges to it.
//!
//! It handles any load of up to a few dozen domains; state is one share per pair of domains.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use base::{DomainName, Map, RegionName};

/// Time between two updates of a plan.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(125);

/// Ratio of the highest to the lowest utilization above which a plan takes effect. Below it, engines
/// of the own domain have free capacity for the surplus.
const MIN_RATIO: f64 = 1.25;

/// Ratio from which on the plan equalizes completely. In between it is scaled, so that it doesn't jump
/// while the ratio fluctuates about [`MIN_RATIO`].
const FULL_RATIO: f64 = 1.3125;

/// Highest utilization below which there is no plan: with less than a third of its slots in use a
/// domain serves bursts of three times its demand itself, and links are kept free.
const MIN_UTILIZATION: f64 = 0.3;

/// Maximum share of a domain's demand that leaves it where the rate of the link isn't known.
const MAX_LEAVING: f64 = 0.5;

/// Number of parts in which demand is moved. Utilizations are equal to within about one part, 0.2% of
/// the demand.
const PARTS: f64 = 512.0;

/// Largest change of a share in one update. A plan that moves a third of a domain's demand is in
/// force after 0.9 s, within the 3 s of a short burst; requests that were sent by the previous
/// plan are known to all gateways before the next update.
const MAX_STEP: f64 = 0.05;

/// Part of a difference of 1 from the target that is followed in one update; of smaller differences a
/// proportionally smaller part. Demand is observed over about a second, so that it fluctuates by some 7%
/// at the request rates of one domain, and targets by 0.05: such differences are followed with a time
/// constant of 1.7 s, and one of 0.2 by full steps.
const GAIN: f64 = 1.5;

/// Smallest part of a difference that is followed, so that the plans of gateways with different
/// histories converge.
const MIN_GAIN: f64 = 0.02;

/// Time constant with which observed demand is smoothed. With less, plans follow the fluctuations of
/// random arrivals; with more, they lag behind a burst.
const SMOOTHING: Duration = Duration::from_millis(500);

/// Shares below this are 0.
const MIN_SHARE: f64 = 0.001;

/// Demand and capacity of a failure domain for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainState {
    /// Name.
    pub name: DomainName,
    /// Region; domains of one region are connected without a bound. `None` if unknown.
    pub region: Option<RegionName>,
    /// Slots that its requests need: requests per second, each weighted by its seconds in a slot.
    pub demand: f64,
    /// Part of the demand that may not run in another domain, by that domain.
    pub barred: Map<DomainName, f64>,
    /// Bytes per second of its requests and their responses.
    pub bytes: f64,
    /// Slots that accept requests; 0 for a domain that is drained, cold or unreachable.
    pub capacity: f64,
}

impl DomainState {
    fn utilization(&self, load: f64) -> f64 {
        match self.capacity > 0.0 {
            true => load / self.capacity,
            false if load > 0.0 => f64::INFINITY,
            false => 0.0,
        }
    }

    /// Returns the demand that may run in another domain.
    fn movable(&self, to: &str) -> f64 {
        let barred = self.barred.get(to).copied().unwrap_or_default();
        (self.demand - barred).max(0.0)
    }

    /// Returns whether the link between this domain and another is bounded.
    fn is_linked_to(&self, other: &DomainState) -> bool {
        self.region.is_none() || self.region != other.region
    }
}

/// Bound on what leaves a domain over links between regions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkBound {
    /// Bytes per second between each two regions, in both directions together.
    Bytes(f64),
    /// The rate of the links is unknown; at most half of a domain's demand leaves, unless the domain
    /// has no capacity.
    Unknown,
}

/// Share of a domain's demand that runs in another domain. Of the requests that may run there, this
/// share is sent there.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// Domain of the gateways.
    pub from: DomainName,
    /// Domain of the upstreams.
    pub to: DomainName,
    /// Fraction in 0..=1. The fractions of a domain add up to at most 1.
    pub share: f64,
}

/// Returns the target shares, sorted by domains; empty if demand is even enough.
pub fn domain_shares(domains: &[DomainState], link: LinkBound) -> Vec<Share> {
    let mut domains: Vec<&DomainState> = domains.iter().collect();
    domains.sort_by(|a, b| a.name.cmp(&b.name));
    let strength = strength(&domains);
    if strength <= 0.0 {
        return Vec::new();
    }
    let mut filling = Filling::new(&domains, link);
    while filling.move_part() {}
    filling.shares(strength)
}

/// Returns the fraction of the equalizing plan that takes effect.
fn strength(domains: &[&DomainState]) -> f64 {
    let capacity: f64 = domains.iter().map(|d| d.capacity).sum();
    if capacity <= 0.0 {
        return 0.0;
    }
    let utilizations = domains
        .iter()
        .filter(|d| d.capacity > 0.0 || d.demand > 0.0);
    let utilizations = utilizations.map(|d| d.utilization(d.demand));
    let (min, max) = utilizations.fold((f64::INFINITY, 0.0_f64), |(min, max), u| {
        (min.min(u), max.max(u))
    });
    match max {
        _ if max < MIN_UTILIZATION => 0.0,
        _ if min <= 0.0 || max.is_infinite() => 1.0,
        _ => ((max / min - MIN_RATIO) / (FULL_RATIO - MIN_RATIO)).clamp(0.0, 1.0),
    }
}

/// State of the water-filling.
struct Filling<'a> {
    domains: &'a [&'a DomainState],
    link: LinkBound,
    /// Demand moved in one step.
    part: f64,
    /// Mean utilization: domains above it send, domains below it receive.
    mean: f64,
    /// Demand that runs in each domain.
    loads: Vec<f64>,
    /// Moved demand, by sender and receiver.
    flows: Vec<Vec<f64>>,
}

impl<'a> Filling<'a> {
    fn new(domains: &'a [&'a DomainState], link: LinkBound) -> Filling<'a> {
        let demand: f64 = domains.iter().map(|d| d.demand).sum();
        let capacity: f64 = domains.iter().map(|d| d.capacity).sum();
        Filling {
            domains,
            link,
            part: demand / PARTS,
            mean: demand / capacity,
            loads: domains.iter().map(|d| d.demand).collect(),
            flows: vec![vec![0.0; domains.len()]; domains.len()],
        }
    }

    /// Moves one part between the two domains whose utilizations differ most; returns `false` if no
    /// move makes them more equal.
    fn move_part(&mut self) -> bool {
        let pairs = (0..self.domains.len())
            .flat_map(|from| (0..self.domains.len()).map(move |to| (from, to)));
        let candidates = pairs.filter(|&(from, to)| self.may_move(from, to));
        let best = candidates.max_by(|&a, &b| self.compare(a, b));
        let Some((from, to)) = best else {
            return false;
        };
        self.loads[from] -= self.part;
        self.loads[to] += self.part;
        self.flows[from][to] += self.part;
        true
    }

    fn utilization(&self, i: usize) -> f64 {
        self.domains[i].utilization(self.loads[i])
    }

    /// Orders moves by the difference of utilization, then by the receiver's and by the order of domains.
    fn compare(&self, a: (usize, usize), b: (usize, usize)) -> Ordering {
        let difference = |(from, to)| self.utilization(from) - self.utilization(to);
        let by_difference = difference(a).total_cmp(&difference(b));
        let by_receiver = || self.utilization(b.1).total_cmp(&self.utilization(a.1));
        let by_load = || self.loads[a.0].total_cmp(&self.loads[b.0]);
        let by_order = || b.cmp(&a);
        by_difference
            .then_with(by_receiver)
            .then_with(by_load)
            .then_with(by_order)
    }

    fn may_move(&self, from: usize, to: usize) -> bool {
        let (sender, receiver) = (self.domains[from], self.domains[to]);
        let is_sender = sender.utilization(sender.demand) > self.mean;
        let is_receiver =
            receiver.capacity > 0.0 && receiver.utilization(receiver.demand) < self.mean;
        if !is_sender || !is_receiver || self.loads[from] < self.part {
            return false;
        }
        let after_from = sender.utilization(self.loads[from] - self.part);
        let after_to = receiver.utilization(self.loads[to] + self.part);
        let is_more_equal = after_from >= after_to || sender.capacity <= 0.0;
        is_more_equal && self.is_within_regions(from, to) && self.is_within_link(from, to)
    }

    /// Returns whether the part may run there: the shares of a domain may not exceed 1, each being a
    /// fraction of the demand that may run in the receiver.
    fn is_within_regions(&self, from: usize, to: usize) -> bool {
        let sender = self.domains[from];
        let movable = sender.movable(&self.domains[to].name);
        movable > 0.0 && self.leaving(from) + self.part / movable <= 1.0 + f64::EPSILON
    }

    /// Returns the sum of a domain's shares.
    fn leaving(&self, from: usize) -> f64 {
        let flows = self.flows[from].iter().zip(self.domains);
        let moved = flows.filter(|(flow, _)| **flow > 0.0);
        moved
            .map(|(flow, to)| flow / self.domains[from].movable(&to.name))
            .sum()
    }

    fn is_within_link(&self, from: usize, to: usize) -> bool {
        let (sender, receiver) = (self.domains[from], self.domains[to]);
        if !sender.is_linked_to(receiver) {
            return true;
        }
        match self.link {
            LinkBound::Bytes(max) => self.link_bytes(from, to) + self.part * bytes(sender) <= max,
            LinkBound::Unknown if sender.capacity <= 0.0 => true,
            LinkBound::Unknown => {
                let leaving: f64 = self.flows[from].iter().sum();
                leaving + self.part <= sender.demand * MAX_LEAVING
            }
        }
    }

    /// Returns the bytes per second between the regions of two domains, in both directions.
    fn link_bytes(&self, from: usize, to: usize) -> f64 {
        let is_same = |a: usize, b: usize| a == b || !self.domains[a].is_linked_to(self.domains[b]);
        let mut sum = 0.0;
        for (i, flows) in self.flows.iter().enumerate() {
            for (j, flow) in flows.iter().enumerate() {
                let is_link =
                    is_same(i, from) && is_same(j, to) || is_same(i, to) && is_same(j, from);
                if is_link {
                    sum += flow * bytes(self.domains[i]);
                }
            }
        }
        sum
    }

    fn shares(&self, strength: f64) -> Vec<Share> {
        let mut shares = Vec::new();
        for (from, flows) in self.domains.iter().zip(&self.flows) {
            for (to, flow) in self.domains.iter().zip(flows) {
                if *flow > 0.0 {
                    shares.push(Share {
                        from: from.name.clone(),
                        to: to.name.clone(),
                        share: (strength * flow / from.movable(&to.name)).min(1.0),
                    });
                }
            }
        }
        shares
    }
}

/// Returns the bytes per slot in use and second.
fn bytes(domain: &DomainState) -> f64 {
    match domain.demand > 0.0 {
        true => domain.bytes / domain.demand,
        false => 0.0,
    }
}

/// Sender and receiver.
type Pair = (DomainName, DomainName);

/// Plan for one service, which follows the target shares by bounded steps.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    shares: Map<Pair, f64>,
    /// Smoothed demand, bytes and barred demand of each domain.
    smoothed: Map<DomainName, DomainState>,
    updated: Option<Instant>,
}

impl Plan {
    /// Updates the plan from the domains whose demand is known. Call it every [`UPDATE_INTERVAL`].
    pub fn update(&mut self, domains: &[DomainState], link: LinkBound, now: Instant) {
        let elapsed = self
            .updated
            .map_or(UPDATE_INTERVAL, |at| now.saturating_duration_since(at));
        self.updated = Some(now);
        let steps = (elapsed.as_secs_f64() / UPDATE_INTERVAL.as_secs_f64()).min(4.0);
        self.smooth(domains, elapsed);
        let domains: Vec<DomainState> = self.smoothed.values().cloned().collect();
        let target = domain_shares(&domains, link);
        let target = target.into_iter().map(|s| ((s.from, s.to), s.share));
        self.step(&target.collect(), steps);
        let smoothed = &self.smoothed;
        let has_capacity = |name: &str| smoothed.get(name).is_some_and(|d| d.capacity > 0.0);
        self.shares.retain(|(from, to), share| {
            *share >= MIN_SHARE && smoothed.contains_key(from) && has_capacity(to)
        });
        if let LinkBound::Bytes(max) = link {
            self.limit_links(max);
        }
    }

    /// Scales the shares down whose links would carry more than `max` bytes per second: demand may have
    /// risen faster than shares fall by bounded steps.
    fn limit_links(&mut self, max: f64) {
        let mut sums: Map<(&str, &str), f64> = Map::default();
        for share in &self.shares() {
            if let Some((link, bytes)) =
                link_bytes(&self.smoothed, &share.from, &share.to, share.share)
            {
                *sums.entry(link).or_default() += bytes;
            }
        }
        for ((from, to), share) in &mut self.shares {
            let link = link_bytes(&self.smoothed, from, to, *share);
            let sum = link.and_then(|(link, _)| sums.get(&link));
            if let Some(sum) = sum.filter(|sum| **sum > max) {
                *share *= max / sum;
            }
        }
    }

    /// Smooths the demand of each domain. A domain that becomes known starts at its observed demand.
    fn smooth(&mut self, domains: &[DomainState], elapsed: Duration) {
        let gain = 1.0 - (-elapsed.as_secs_f64() / SMOOTHING.as_secs_f64()).exp();
        let mut previous = std::mem::take(&mut self.smoothed);
        for domain in domains {
            let mut next = domain.clone();
            if let Some(known) = previous.remove(&domain.name) {
                let mix = |old: f64, new: f64| old + gain * (new - old);
                next.demand = mix(known.demand, domain.demand);
                next.bytes = mix(known.bytes, domain.bytes);
                next.barred = known.barred;
                for to in domain.barred.keys() {
                    next.barred.entry(to.clone()).or_default();
                }
                for (to, barred) in &mut next.barred {
                    let new = domain.barred.get(to).copied().unwrap_or_default();
                    *barred = mix(*barred, new);
                }
                next.barred.retain(|_, barred| *barred > MIN_SHARE);
            }
            self.smoothed.insert(next.name.clone(), next);
        }
    }

    /// Moves the shares of each domain towards the target. The new shares lie between the previous ones
    /// and the target, so they keep every bound that both keep.
    fn step(&mut self, target: &Map<Pair, f64>, steps: f64) {
        for pair in target.keys() {
            self.shares.entry(pair.clone()).or_default();
        }
        let difference =
            |pair: &Pair, share: f64| target.get(pair).copied().unwrap_or_default() - share;
        let differences = self.shares.iter().map(|(p, s)| difference(p, *s).abs());
        let largest = differences.fold(0.0, f64::max);
        let max_gain = MAX_STEP / largest.max(MAX_STEP);
        let gain = (GAIN * largest).clamp(MIN_GAIN, max_gain) * steps;
        for (pair, share) in &mut self.shares {
            *share += gain.min(1.0) * difference(pair, *share);
        }
    }

    /// Returns the share of a domain's demand that runs in another.
    pub fn share(&self, from: &str, to: &str) -> f64 {
        let pair = (from.to_owned(), to.to_owned());
        self.shares.get(&pair).copied().unwrap_or_default()
    }

    /// Returns all shares, sorted by domains.
    pub fn shares(&self) -> Vec<Share> {
        let share = |((from, to), share): (&Pair, &f64)| Share {
            from: from.clone(),
            to: to.clone(),
            share: *share,
        };
        let mut shares: Vec<Share> = self.shares.iter().map(share).collect();
        shares.sort_by(|a, b| (&a.from, &a.to).cmp(&(&b.from, &b.to)));
        shares
    }

    /// Returns the largest difference between a share of this plan and of another.
    pub fn difference(&self, other: &Plan) -> f64 {
        let pairs = self.shares.keys().chain(other.shares.keys());
        let share = |plan: &Plan, pair| plan.shares.get(pair).copied().unwrap_or_default();
        pairs
            .map(|pair| (share(self, pair) - share(other, pair)).abs())
            .fold(0.0, f64::max)
    }
}

/// Returns the link between the regions of two domains and the bytes per second that a share puts on it;
/// `None` if they are in one region. A domain of unknown region is a region of its own.
fn link_bytes<'a>(
    domains: &'a Map<DomainName, DomainState>,
    from: &str,
    to: &str,
    share: f64,
) -> Option<((&'a str, &'a str), f64)> {
    let (sender, receiver) = (domains.get(from)?, domains.get(to)?);
    if !sender.is_linked_to(receiver) {
        return None;
    }
    let region = |d: &'a DomainState| d.region.as_deref().unwrap_or(&d.name);
    let (a, b) = (region(sender), region(receiver));
    let flow = share * sender.movable(to);
    Some(((a.min(b), a.max(b)), flow * bytes(sender)))
}

/// Returns the domain for a request with a random `draw` in 0..1 among the shares of its own domain;
/// `None` for the own domain. A request that isn't allowed in the drawn domain stays.
pub fn target(
    shares: &[(DomainName, f64)],
    draw: f64,
    is_allowed: impl Fn(&str) -> bool,
) -> Option<&DomainName> {
    let mut left = draw;
    for (to, share) in shares {
        left -= share;
        if left < 0.0 {
            return Some(to).filter(|to| is_allowed(to));
        }
    }
    None
}

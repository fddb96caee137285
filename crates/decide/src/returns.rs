//! Schedule of the retries of refused callers.
//!
//! A refused caller retries once, at another gateway, after the delay that it was told, but no later
//! than after a third of its remaining time. It is late by then, and late requests get only the
//! capacity that on-time requests leave. A gateway gives a caller one of its buckets, of 100 ms over
//! 4 s, if capacity is expected then, earlier ones to more urgent callers. All other callers are told
//! the longest delay, after which a burst of a second or two is over.
//!
//! Expected capacity is the rate at which late requests were served here, plus the growth of the
//! pool's free slots. While no warm upstream is in service, it is the rate of those that are cold or
//! about to serve, without the requests that are served before. Nothing is scheduled while late
//! requests are being refused, and no trickle serves to probe for capacity: callers that were told the
//! longest delay retry as well, and their results update the rates. A new gateway promises nothing,
//! since it doesn't know who was refused before.
//!
//! Retries arrive at other gateways; each gateway schedules its share of the pool, so the schedules
//! agree on average. A retry is known only by the estimate of its age ([`crate::attempt_age`]) and by
//! its [`Phase`], from which any gateway computes the longest delay that the caller may have been told.
//! A retry at another age is out of turn and gets a slot only while many are free. While capacity is
//! being promised, all ages from the shortest delay on are in turn, since other gateways' promises aren't
//! known. A retry within 3% of the timeout, or of a route where more than a tenth of the timeouts are
//! shorter than the longest, can't be told from a first attempt.
//!
//! Expected load: 5 to 25 requests a second at a gateway, and 1.3 to 2.1 times as many in overload.
//! State is bounded by [`MAX_BYTES`], 1,280 bytes, for each service with engines.

use std::time::{Duration, Instant};

use base::Fingerprint;

use crate::DeadlineClass;
use crate::load_balancing::TOKEN_TIME;
use crate::retry_after::{Reason, delay_range, min_busy_delay};

/// Length of a bucket. The head of a retry travels for up to 8 ms, and a request is queued for up to
/// 80 ms.
pub const BUCKET: Duration = Duration::from_millis(100);

/// Number of buckets: 4 s, which covers the longest delay and the bucket that has just ended.
pub const BUCKETS: usize = 40;

/// Number of ranks that are told apart; less urgent requests share the last one.
pub const RANKS: usize = 4;

/// Upper bound of the bytes of one schedule.
pub const MAX_BYTES: usize = 1280;

/// Time constant of the rates of late and refused requests, which must follow the end of a burst
/// within the shortest delay.
const LATE_RATE_TIME: Duration = Duration::from_secs(1);

/// Time constant of the rate of on-time requests: at 5 requests a second, a rate over 1 s would be off
/// by half.
const ON_TIME_RATE_TIME: Duration = Duration::from_secs(4);

/// Time after a start in which callers that were refused before may return, and in which the ages of
/// attempts aren't reliable yet where callers' timeouts differ.
const LEARNING_TIME: Duration = Duration::from_secs(2);

/// Minimum time over which a rate is computed, so that the first request of a new gateway doesn't count
/// as hundreds a second.
const MIN_RATE_AGE: Duration = Duration::from_millis(500);

/// Fraction of the expected capacity that is scheduled. With 0.8, 67 of 69 promises after an outage of 3 s
/// are kept instead of 41 of 41.
const SCHEDULED_FRACTION: f64 = 0.6;

/// Buckets over which promises are bounded together: at less than one late request a second, the
/// bound of a single bucket would be rounded up to one.
const BOUND_BUCKETS: u32 = 20;

/// Fraction of the late requests that must have been served recently for a retry to be promised.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Length of the last part of the range, over which callers without a promise are spread. Over 100 ms
/// a step in load returns as a step, and at 1.7 times the capacity 0.8% fewer callers are in time.
const UNPROMISED_SPREAD: Duration = Duration::from_millis(300);

/// Time by which a retry may seem to be early: timeouts are stated in whole milliseconds, and the head of
/// a first attempt travels for up to 8 ms.
const MAX_EARLINESS: Duration = Duration::from_millis(50);

/// Time by which a retry after a promised delay may be late.
const MAX_LATENESS: Duration = Duration::from_millis(250);

/// Time by which a retry after the longest delay may be late, which includes the time for which its first
/// attempt was queued. A caller that retries more often than it was told is in turn for this time and
/// [`MAX_EARLINESS`] only, so it shouldn't be longer than needed.
const MAX_DECLINED_LATENESS: Duration = Duration::from_millis(100);

/// Fraction of the warm slots that requests out of turn leave free: twice the reserve of late requests,
/// so that more attempts don't find more slots.
const OUT_OF_TURN_RESERVE: f64 = 0.25;

/// Late requests that must have been served recently while upstreams are in service: with fewer, one
/// refusal would bring the fraction below [`MIN_SERVED_SHARE`]. Of promises made on the evidence of a few,
/// at the capacity, one in ten is kept.
const MIN_SERVED: f64 = 9.0;

/// Weight of one observation in the trend of free capacity, at one observation a bucket: the sums of
/// other failure domains change every 130 ms.
const TREND_WEIGHT: f64 = 0.3;

/// Fraction of its remaining time that a caller waits at most before it retries.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// Position of a caller in the spread of the longest delay, in 0..1. It is the same for all attempts of a
/// request and at all gateways.
pub type Phase = f64;

/// Returns the phase of a request's caller.
pub fn phase(request: &Fingerprint) -> Phase {
    // The mantissa of a double has 53 bits.
    (request.short() >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the longest delay that a caller is told.
fn longest_delay(reason: Reason, phase: Phase) -> Duration {
    let longest = *delay_range(reason).end();
    longest.saturating_sub(UNPROMISED_SPREAD.mul_f64(phase))
}

/// Returns the rank of a request by its priority, 0 being the most urgent.
pub fn rank(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}

/// Returns the requests a second that an upstream can serve, for requests that are expected to generate
/// `expected_tokens`; `cold_rate` is set for a cold upstream.
pub fn upstream_rate(slots: u32, expected_tokens: u64, cold_rate: Option<f64>) -> f64 {
    let run_time = TOKEN_TIME.as_secs_f64() * expected_tokens.max(1) as f64;
    let rate = f64::from(slots) / run_time;
    cold_rate.map_or(rate, |cold| rate.min(cold))
}

/// Delays that a caller may be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DelayRange {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Shortest delay, if the schedule expects room then.
    pub shortest: Duration,
    /// Longest delay.
    pub longest: Duration,
    /// Time after which the caller retries if the delay is longer.
    pub max_wait: Duration,
}

impl DelayRange {
    /// Returns the delays for a refusal of a caller that has `remaining` left.
    ///
    /// A free bucket may be told from the shortest delay of [`Reason::Busy`] on for either reason. A
    /// retry that comes sooner couldn't be told from a first attempt where callers' timeouts differ.
    pub fn new(reason: Reason, remaining: Duration) -> DelayRange {
        DelayRange {
            reason,
            shortest: min_busy_delay(),
            longest: *delay_range(reason).end(),
            max_wait: remaining.mul_f64(MAX_WAIT_FRACTION),
        }
    }
}

/// Delay that a refused caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// Delay after which to retry.
    pub delay: Duration,
    /// Whether capacity is expected then.
    pub is_expected: bool,
}

/// Result of a late request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateOutcome {
    /// It got a slot.
    Served,
    /// It was refused.
    Refused,
    /// It found no upstream. That says nothing about what late requests get, unless it was promised capacity.
    NoUpstream,
}

/// State of the upstreams of a service, from the load sums.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Pool {
    /// Slots of warm upstreams in service.
    pub slots: f64,
    /// Free slots of these.
    pub free: f64,
    /// Requests a second that the other listed upstreams can serve, which are cold or about to serve.
    pub returning_rate: f64,
    /// Number of gateways that share them.
    pub gateways: usize,
}

/// Events a second, with exponentially decaying weights.
#[derive(Debug, Clone, Copy)]
struct Rate {
    /// Time constant.
    time: Duration,
    started: Instant,
    updated: Instant,
    count: f64,
}

impl Rate {
    fn new(time: Duration, now: Instant) -> Rate {
        Rate {
            time,
            started: now,
            updated: now,
            count: 0.0,
        }
    }

    fn record(&mut self, now: Instant) {
        self.count = self.count(now) + 1.0;
        self.updated = now;
    }

    fn count(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.count * (-elapsed.div_duration_f64(self.time)).exp()
    }

    /// Returns an upper bound of the rate, by two standard deviations of its count.
    fn max_per_second(&self, now: Instant) -> f64 {
        let count = self.count(now);
        self.per_second(now) * (count + 2.0 * count.sqrt() + 1.0) / count.max(1.0)
    }

    /// Returns the rate; weights that lie before the start aren't counted as time without events.
    fn per_second(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.started)
            .max(MIN_RATE_AGE);
        let observed = 1.0 - (-age.div_duration_f64(self.time)).exp();
        self.count(now) / (self.time.as_secs_f64() * observed)
    }
}

/// Promises for one bucket.
#[derive(Debug, Default, Clone, Copy)]
struct Bucket {
    /// Number of the bucket since the start of the schedule; wraps after 13 years.
    number: u32,
    /// Retries that were given this bucket, by rank.
    scheduled: [u16; RANKS],
    /// Those of them that were promised capacity.
    promised: u16,
    /// Retries of callers that were told the longest delay.
    declined: u16,
    /// Promises that a late request has met or missed.
    settled: u16,
}

impl Bucket {
    fn scheduled(&self) -> u16 {
        self.scheduled.iter().sum()
    }

    fn expected(&self) -> u32 {
        u32::from(self.scheduled()) + u32::from(self.declined)
    }
}

/// Schedule of one service at one gateway.
#[derive(Debug, Clone)]
pub struct ReturnSchedule {
    started: Instant,
    buckets: [Bucket; BUCKETS],
    /// Requests that are served before the retries promised here: on-time ones, and late ones while
    /// the gateway doesn't know how many were refused before it started.
    ahead: Rate,
    late_served: Rate,
    late_refused: Rate,
    /// Refused callers by rank.
    refused: [Rate; RANKS],
    pool: Pool,
    observed: Option<Instant>,
    /// Growth of the free slots, in slots a second.
    trend: f64,
    /// When a caller was last refused for lack of an upstream.
    no_upstream_at: Option<Instant>,
}

impl ReturnSchedule {
    /// Creates a schedule without promises.
    pub fn new(now: Instant) -> ReturnSchedule {
        ReturnSchedule {
            started: now,
            buckets: [Bucket::default(); BUCKETS],
            ahead: Rate::new(ON_TIME_RATE_TIME, now),
            late_served: Rate::new(LATE_RATE_TIME, now),
            late_refused: Rate::new(LATE_RATE_TIME, now),
            refused: [Rate::new(LATE_RATE_TIME, now); RANKS],
            pool: Pool::default(),
            observed: None,
            trend: 0.0,
            no_upstream_at: None,
        }
    }

    /// Records that a request arrived.
    pub fn record_arrival(&mut self, class: DeadlineClass, now: Instant) {
        if class == DeadlineClass::OnTime || self.is_new(now) {
            self.ahead.record(now);
        }
    }

    /// Returns whether callers that were refused before the start may still return.
    fn is_new(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < LEARNING_TIME
    }

    /// Records the result of a late request. Returns whether it is counted against a promise.
    pub fn record_late(&mut self, outcome: LateOutcome, now: Instant) -> bool {
        let is_promised = self.settle(now);
        match outcome {
            LateOutcome::Served => self.late_served.record(now),
            LateOutcome::NoUpstream if !is_promised => {}
            LateOutcome::Refused | LateOutcome::NoUpstream => self.late_refused.record(now),
        }
        is_promised
    }

    /// Settles an open promise for now; returns whether there was one.
    fn settle(&mut self, now: Instant) -> bool {
        let number = self.number(now);
        // A request that was queued ends in the bucket after its own.
        for number in [number.saturating_sub(1), number] {
            let bucket = self.bucket(number);
            if bucket.settled < bucket.promised {
                bucket.settled += 1;
                return true;
            }
        }
        false
    }

    /// Returns whether the pool was last observed in an earlier bucket.
    pub fn is_pool_outdated(&self, now: Instant) -> bool {
        self.observed
            .is_none_or(|at| now.saturating_duration_since(at) >= BUCKET)
    }

    /// Records the state of the upstreams.
    pub fn observe_pool(&mut self, pool: Pool, now: Instant) {
        if let Some(at) = self.observed {
            let elapsed = now.saturating_duration_since(at).max(BUCKET);
            let growth = (pool.free - self.pool.free) / elapsed.as_secs_f64();
            self.trend += TREND_WEIGHT * (growth - self.trend);
        }
        self.pool = pool;
        self.observed = Some(now);
    }

    /// Returns the delay for a refused caller of a rank.
    pub fn promise(
        &mut self,
        now: Instant,
        rank: usize,
        range: DelayRange,
        phase: Phase,
    ) -> Promise {
        let rank = rank.min(RANKS - 1);
        self.record_refusal(range, now);
        self.refused[rank].record(now);
        let first = self.number(now + range.shortest) + 1;
        let last = self.number(now + range.longest.min(range.max_wait));
        // The first buckets are left to more urgent callers.
        let skipped = last.saturating_sub(first) * rank as u32 / RANKS as u32;
        let found = (first + skipped..last).find(|number| self.has_room(*number, rank, now));
        let Some(number) = found else {
            return self.decline(now, range, phase);
        };
        // A new gateway's estimates serve to use capacity early, but not to promise it.
        let is_expected = !self.is_new(now);
        let bucket = self.bucket(number);
        bucket.scheduled[rank] += 1;
        bucket.promised += u16::from(is_expected);
        let at = self.started + BUCKET * number + BUCKET.mul_f64(phase);
        Promise {
            delay: at.saturating_duration_since(now),
            is_expected,
        }
    }

    /// Returns the longest delay, for a caller for whom no capacity is expected.
    pub fn decline(&mut self, now: Instant, range: DelayRange, phase: Phase) -> Promise {
        self.record_refusal(range, now);
        let delay = longest_delay(range.reason, phase);
        let number = self.number(now + delay.min(range.max_wait));
        let bucket = self.bucket(number);
        bucket.declined = bucket.declined.saturating_add(1);
        Promise {
            delay,
            is_expected: false,
        }
    }

    fn record_refusal(&mut self, range: DelayRange, now: Instant) {
        if range.reason == Reason::NoUpstream {
            self.no_upstream_at = Some(now);
        }
    }

    /// Returns the maximum number of retries that are given one bucket.
    pub fn bucket_bound(&self, now: Instant) -> u16 {
        (SCHEDULED_FRACTION * self.expected_rate(now) * BUCKET.as_secs_f64()).ceil() as u16
    }

    /// Returns the number of retries that were given the bucket at a time.
    pub fn scheduled_at(&self, at: Instant) -> u16 {
        self.get(self.number(at)).map_or(0, Bucket::scheduled)
    }

    /// Returns whether a request retries out of turn, given the time since its first attempt and its remaining time.
    /// While no caller is expected back, none does.
    pub fn is_out_of_turn(
        &self,
        attempt_age: Duration,
        remaining: Duration,
        phase: Phase,
        now: Instant,
    ) -> bool {
        if attempt_age.is_zero() || !self.is_expecting(|b| b.expected() > 0, now) {
            return false;
        }
        let is_outage = |at| now.saturating_duration_since(at) < BUCKET * BUCKETS as u32;
        let reasons = match self.no_upstream_at.is_some_and(is_outage) {
            true => &[Reason::Busy, Reason::NoUpstream][..],
            false => &[Reason::Busy],
        };
        let max_wait = (attempt_age + remaining).mul_f64(MAX_WAIT_FRACTION);
        // Other gateways schedule much as this one does.
        let is_scheduling = self.is_expecting(|b| b.scheduled() > 0, now);
        let is_in_turn = |reason: &Reason| {
            let longest = longest_delay(*reason, phase).min(max_wait);
            let (earliest, latest) = match is_scheduling {
                true => (
                    min_busy_delay().min(max_wait),
                    *delay_range(*reason).end() + MAX_LATENESS,
                ),
                false => (longest, longest + MAX_DECLINED_LATENESS),
            };
            attempt_age + MAX_EARLINESS >= earliest && attempt_age <= latest
        };
        !reasons.iter().any(is_in_turn)
    }

    /// Returns whether a request that retries out of turn may take a slot now: none is kept for a retry that waited,
    /// and the pool has free slots beside those that late requests compete for.
    pub fn may_serve_out_of_turn(&self, now: Instant) -> bool {
        let bucket = self.get(self.number(now));
        let has_open_promise = bucket.is_some_and(|b| b.settled < b.promised);
        !has_open_promise && self.pool.free >= OUT_OF_TURN_RESERVE * self.pool.slots
    }

    /// Returns whether any current bucket has a count.
    fn is_expecting(&self, has_count: fn(&Bucket) -> bool, now: Instant) -> bool {
        let earliest = self.number(now).saturating_sub(BUCKETS as u32);
        let mut recent = self.buckets.iter().filter(|b| b.number >= earliest);
        recent.any(has_count)
    }

    /// Returns the late requests a second that this gateway's share of the pool is expected to serve.
    fn expected_rate(&self, now: Instant) -> f64 {
        let gateways = self.pool.gateways.max(1) as f64;
        let (served, refused) = (self.late_served.count(now), self.late_refused.count(now));
        if served < MIN_SERVED_SHARE * (served + refused) {
            return 0.0;
        }
        let returning = self.pool.returning_rate / gateways;
        match self.pool.slots > 0.0 {
            false => (returning - self.ahead.max_per_second(now)).max(0.0),
            true if self.is_new(now) || served < MIN_SERVED => 0.0,
            true => {
                let served = self.late_served.per_second(now);
                // The trend may be of a single step, so it no more than doubles the observed rate.
                served + (self.trend.max(0.0) / gateways).min(served)
            }
        }
    }

    /// Returns whether a promise to a caller of a rank fits into a bucket. Expected capacity is left to
    /// the more urgent callers that are being refused.
    fn has_room(&self, number: u32, rank: usize, now: Instant) -> bool {
        let more_urgent: f64 = self.refused[..rank].iter().map(|r| r.per_second(now)).sum();
        let rate = SCHEDULED_FRACTION * self.expected_rate(now) - more_urgent;
        let period = BUCKET.as_secs_f64();
        let near = number.saturating_sub(BOUND_BUCKETS / 2)..number + BOUND_BUCKETS / 2;
        let total: u32 = near.map(|n| self.get(n).map_or(0, Bucket::expected)).sum();
        f64::from(total) + 1.0 <= rate * period * BOUND_BUCKETS as f64
            && f64::from(self.get(number).map_or(0, Bucket::expected)) < (rate * period).ceil()
    }

    fn number(&self, at: Instant) -> u32 {
        let elapsed = at.saturating_duration_since(self.started);
        (elapsed.as_millis() / BUCKET.as_millis()) as u32
    }

    fn get(&self, number: u32) -> Option<&Bucket> {
        let bucket = &self.buckets[slot(number)];
        (bucket.number == number).then_some(bucket)
    }

    /// Returns a bucket, emptied if it was last used for an earlier time.
    fn bucket(&mut self, number: u32) -> &mut Bucket {
        let bucket = &mut self.buckets[slot(number)];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}

fn slot(number: u32) -> usize {
    (number % BUCKETS as u32) as usize
}

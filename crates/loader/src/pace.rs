//! Pace of the engine: the factor by which its work takes longer than normal, and when gateways are told of it.
//!
//! Load: an engine that is slow for 600 ms at a time changes its pace less than once a second, and a slow period is
//! over before a second update would be due. A change is therefore sent at once, and again twice within 250 ms in
//! case datagrams are lost. Where changes follow each other faster, updates are limited to five a second. An engine that always has the normal pace is polled as often as without this module, and
//! nothing is sent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{DomainName, Map};
use beacon::{Msg, NORMAL_PACE, PaceUpdate, Role};
use log::{debug, info};
use settings::LoaderCfg;

use crate::Cx;
use crate::status::gateways;

/// Log prefix of this part.
const PART: &str = "engine";

/// Time since the pace last differed from the normal one for which the engine counts as one of varying speed. Slow
/// periods that are more than this apart are found by the regular polls.
const UNEVEN_TIME: Duration = Duration::from_secs(30);

/// Interval of updates while the pace isn't normal. Gateways forget a pace after 3 s, so two updates may be lost.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Delays of the repetitions of a change, in case datagrams are lost. The later one is well within the 600 ms for
/// which an engine stays slow.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(250)];

/// Minimum time after an update for which a further change isn't sent at once but repeated later: an engine whose pace
/// changes at each poll sends at most five updates a second.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of the summary in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(60);

/// Step to which paces are rounded, in thousandths. Smaller differences change no decision of a gateway, and an engine
/// whose pace fluctuates by less sends nothing.
const STEP: f64 = 50.0;

/// Range of usable paces.
const RANGE: std::ops::RangeInclusive<f64> = 0.05..=100.0;

/// Factor by which the work of an engine takes longer than normal, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace(u32);

impl Pace {
    /// Pace of an engine at its normal speed.
    pub const NORMAL: Pace = Pace(NORMAL_PACE);

    /// Returns the pace that an engine reports; the normal one if it reports none, or none within [`RANGE`].
    pub fn from_report(reported: Option<f64>) -> Pace {
        let usable = reported.filter(|pace| RANGE.contains(pace));
        usable.map_or(Pace::NORMAL, |pace| {
            Pace(((pace * f64::from(NORMAL_PACE) / STEP).round() * STEP) as u32)
        })
    }

    /// Returns the pace in thousandths.
    pub fn thousandths(self) -> u32 {
        self.0
    }
}

/// Observed paces of the engine.
#[derive(Debug)]
pub struct PaceTracker {
    pace: Pace,
    /// When the pace was last observed to differ from the normal one.
    uneven_at: Option<Instant>,
    changed_at: Instant,
    /// Index of the next delay in [`REPEAT_DELAYS`].
    repetition: usize,
    last_update: Option<Instant>,
    sequence: u64,
    changes: u32,
    last_summary: Instant,
}

impl PaceTracker {
    /// Creates the state of an engine with the normal pace.
    pub fn new(now: Instant) -> PaceTracker {
        PaceTracker {
            pace: Pace::NORMAL,
            uneven_at: None,
            changed_at: now,
            repetition: REPEAT_DELAYS.len(),
            last_update: None,
            sequence: 0,
            changes: 0,
            last_summary: now,
        }
    }

    /// Records an observed pace. Returns the sequence number of the update that is due, if one is.
    pub fn observe(&mut self, pace: Pace, now: Instant) -> Option<u64> {
        if pace != Pace::NORMAL {
            self.uneven_at = Some(now);
        }
        let is_changed = std::mem::replace(&mut self.pace, pace) != pace;
        if is_changed {
            self.changed_at = now;
            self.repetition = 0;
            self.changes += 1;
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        let is_repetition_due = REPEAT_DELAYS
            .get(self.repetition)
            .is_some_and(|delay| since(self.changed_at) >= *delay);
        if is_repetition_due && !is_changed {
            self.repetition += 1;
        }
        let is_update_due = pace != Pace::NORMAL
            && self
                .last_update
                .is_none_or(|at| since(at) >= UPDATE_INTERVAL);
        let is_change_due = is_changed
            && self
                .last_update
                .is_none_or(|at| since(at) >= MIN_CHANGE_INTERVAL);
        if !(is_change_due || is_repetition_due || is_update_due) {
            return None;
        }
        self.last_update = Some(now);
        self.sequence += 1;
        Some(self.sequence)
    }

    /// Returns whether the engine is one of varying speed.
    pub fn is_uneven(&self, now: Instant) -> bool {
        self.uneven_at
            .is_some_and(|at| now.saturating_duration_since(at) < UNEVEN_TIME)
    }

    /// Returns the number of changes since the last summary, if a summary with any changes is due.
    fn summary(&mut self, now: Instant) -> Option<u32> {
        if now.saturating_duration_since(self.last_summary) < SUMMARY_INTERVAL {
            return None;
        }
        self.last_summary = now;
        Some(std::mem::take(&mut self.changes)).filter(|changes| *changes > 0)
    }
}

/// Returns the pause until the next poll of an engine that was last polled at `polled_at`. Polls of an engine of
/// varying speed are at a fixed interval, which includes the time that a poll takes.
pub fn poll_pause(
    cfg: &LoaderCfg,
    paces: &PaceTracker,
    polled_at: Instant,
    now: Instant,
) -> Duration {
    match paces.is_uneven(now) {
        true => {
            let interval = cfg.engine_poll_uneven.min(cfg.engine_poll);
            interval.saturating_sub(now.saturating_duration_since(polled_at))
        }
        false => cfg.engine_poll,
    }
}

/// Records the pace that the engine reports, and publishes it where an update is due: to all gateways of the failure
/// domain and to one of each other failure domain.
pub(crate) fn publish_pace(cx: &Cx, paces: &mut PaceTracker, pace: Pace) {
    let (now, before) = (clock::now(), paces.pace);
    let due = paces.observe(pace, now);
    if pace != before {
        debug!(target: PART, "{PART}: event=pace engine={} pace={} before={}", cx.cfg.engine, ratio(pace), ratio(before));
        metrics::gauge!("driftnotch_engine_pace").set(ratio(pace));
    }
    if let Some(changes) = paces.summary(now) {
        info!(target: PART, "{PART}: event=pace_summary engine={} pace={} changes={changes}", cx.cfg.engine, ratio(pace));
    }
    let Some(sequence) = due else {
        return;
    };
    let update = PaceUpdate {
        upstream: cx.cfg.engine,
        incarnation: cx.incarnation,
        sequence,
        pace: pace.thousandths(),
    };
    cx.beacon
        .send(&Msg::Pace(update), gateways(cx, true, false));
    cx.beacon
        .send(&Msg::FarPace(update), far_receivers(cx, sequence));
}

fn ratio(pace: Pace) -> f64 {
    f64::from(pace.thousandths()) / f64::from(NORMAL_PACE)
}

/// Returns a gateway of each other failure domain, which rotates with `sequence`, so that a frozen one costs one update.
fn far_receivers(cx: &Cx, sequence: u64) -> Vec<SocketAddr> {
    let members = cx.members.borrow();
    let own = &cx.cfg.node.domain;
    let gateways = members.iter().filter(|m| m.role == Role::Gateway);
    let mut by_domain: Map<&DomainName, Vec<SocketAddr>> = Map::default();
    for gateway in gateways.filter(|m| m.domain != *own) {
        by_domain
            .entry(&gateway.domain)
            .or_default()
            .push(gateway.beacon);
    }
    let choose = |of_domain: &Vec<SocketAddr>| {
        let i = sequence % of_domain.len() as u64;
        of_domain[i as usize]
    };
    by_domain.values().map(choose).collect()
}

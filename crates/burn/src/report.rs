//! Report of error budgets and burn rates.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{Counts, EntryHistory, HISTORY_MINUTES};

/// Fast window, in minutes.
pub const FAST_WINDOW: u64 = 60;

/// Slow window, in minutes. It is also the period of the budget, since VMs retain counts no longer.
pub const SLOW_WINDOW: u64 = HISTORY_MINUTES;

/// Service-level objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// Target for good events, in thousandths.
    pub per_mille: u64,
}

/// Objectives of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Objectives {
    /// Requests with a complete response.
    pub available: Objective,
    /// Responses whose time to first token is within the bound.
    pub first_token: Objective,
    /// Streams whose time between tokens is within the bound.
    pub between_tokens: Objective,
}

/// Figures of one objective for one failure domain, row or workspace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Kind of group: `domain`, `row` or `workspace`.
    pub by: &'static str,
    /// Name of the group.
    pub name: String,
    /// Objective.
    pub objective: &'static str,
    /// Events in the slow window.
    pub events: u64,
    /// Bad events among them.
    pub bad: u64,
    /// Remaining fraction of the budget: 1 if unused, negative if overspent.
    pub budget_left: f64,
    /// Burn rate over the fast window.
    pub fast_burn: f64,
    /// Burn rate over the slow window.
    pub slow_burn: f64,
}

/// Error budgets of all groups and objectives.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Lines, ordered by kind and name of the group, then by objective.
    pub lines: Vec<Line>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Windows {
    fast: Counts,
    slow: Counts,
}

impl Objective {
    /// Returns the burn rate, which is the fraction of bad events over the allowed fraction; 0 without events.
    pub fn burn(self, events: u64, bad: u64) -> f64 {
        let allowed = (1000 - self.per_mille.min(1000)) as f64 / 1000.0;
        match (events, bad) {
            (0, _) | (_, 0) => 0.0,
            _ if allowed == 0.0 => f64::INFINITY,
            (events, bad) => bad as f64 / events as f64 / allowed,
        }
    }
}

impl Report {
    /// Computes the report from the counts of all entries.
    pub fn new(entries: &[EntryHistory], objectives: &Objectives) -> Report {
        let mut groups: BTreeMap<(&'static str, &str), Windows> = BTreeMap::new();
        for entry in entries {
            for series in &entry.series {
                let names = [
                    ("domain", entry.domain.as_str()),
                    ("row", series.row.as_str()),
                    ("workspace", series.workspace.as_str()),
                ];
                for name in names.into_iter().filter(|(_, name)| !name.is_empty()) {
                    let windows = groups.entry(name).or_default();
                    series
                        .minutes
                        .iter()
                        .for_each(|(age, c)| windows.add(*age, c));
                }
            }
        }
        let lines = groups
            .into_iter()
            .flat_map(|((by, name), windows)| windows.lines(by, name, objectives))
            .collect();
        Report { lines }
    }
}

impl Windows {
    fn add(&mut self, age: u64, counts: &Counts) {
        if age < FAST_WINDOW {
            self.fast.add(counts);
        }
        if age < SLOW_WINDOW {
            self.slow.add(counts);
        }
    }

    fn lines(self, by: &'static str, name: &str, objectives: &Objectives) -> [Line; 3] {
        let line = |objective, target: Objective, of: fn(&Counts) -> (u64, u64)| {
            let (events, bad) = of(&self.slow);
            let (fast_events, fast_bad) = of(&self.fast);
            let slow_burn = target.burn(events, bad);
            Line {
                by,
                name: name.to_owned(),
                objective,
                events,
                bad,
                budget_left: 1.0 - slow_burn,
                fast_burn: target.burn(fast_events, fast_bad),
                slow_burn,
            }
        };
        [
            line("available", objectives.available, |c| (c.ended, c.unserved)),
            line("first token", objectives.first_token, |c| {
                (c.first, c.first_late)
            }),
            line("between tokens", objectives.between_tokens, |c| {
                (c.streams, c.streams_slow)
            }),
        ]
    }
}

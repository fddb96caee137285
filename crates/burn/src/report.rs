//! The report.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{Counts, EntryHistory, HISTORY_MINUTES};

/// Fast window, in minutes.
pub const FAST_WINDOW: u64 = 60;

/// Slow window, in minutes; also the period the budget is for, as VMs keep nothing longer.
pub const SLOW_WINDOW: u64 = HISTORY_MINUTES;

/// An objective: so many of 1000 must be good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// Good ones in 1000.
    pub per_mille: u64,
}

/// Objectives of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Objectives {
    /// Requests with a whole answer.
    pub available: Objective,
    /// First tokens within their bound.
    pub first_token: Objective,
    /// Streams within the bound between tokens.
    pub between_tokens: Objective,
}

/// Figures of one objective for one failure domain, row or workspace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// `domain`, `row` or `workspace`.
    pub by: &'static str,
    /// Its name.
    pub name: String,
    /// Objective.
    pub objective: &'static str,
    /// Events in the slow window.
    pub events: u64,
    /// Of these, bad ones.
    pub bad: u64,
    /// Share of the budget left, from 1 to below 0.
    pub budget_left: f64,
    /// Burn over the fast window.
    pub fast_burn: f64,
    /// Burn over the slow window.
    pub slow_burn: f64,
}

/// The report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Lines, by what they are for, then by name and objective.
    pub lines: Vec<Line>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Windows {
    fast: Counts,
    slow: Counts,
}

impl Objective {
    /// Burn: the bad share over the share that may be bad. 0 where nothing happened.
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
    /// Works the report out from what all entries told.
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

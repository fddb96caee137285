//! Counts by the minute, for each row and workspace.

use std::collections::VecDeque;

use base::Map;
use serde::{Deserialize, Serialize};

use crate::{Counts, Event};

/// Minutes kept.
pub const HISTORY_MINUTES: u64 = 360;

/// Series kept; events of further rows and workspaces go to one series named `other`.
const MAX_SERIES: usize = 1000;

/// Name of what is beyond that.
const OTHER: &str = "other";

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    row: String,
    workspace: String,
}

#[derive(Debug)]
struct Minute {
    minute: u64,
    counts: Counts,
}

/// Counts of one entry.
#[derive(Debug, Default)]
pub struct History {
    series: Map<Key, VecDeque<Minute>>,
}

/// Counts of one row and workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Row.
    pub row: String,
    /// Workspace.
    pub workspace: String,
    /// Pairs of a minute's age and its counts.
    pub minutes: Vec<(u64, Counts)>,
}

/// Counts of one entry, as it tells them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHistory {
    /// Failure domain.
    pub domain: String,
    /// Series.
    pub series: Vec<Series>,
}

impl History {
    /// Counts an event in a minute since the start.
    pub fn record(&mut self, minute: u64, row: &str, workspace: &str, event: Event) {
        let key = |row: &str, workspace: &str| Key {
            row: row.to_owned(),
            workspace: workspace.to_owned(),
        };
        let mut k = key(row, workspace);
        if self.series.len() >= MAX_SERIES && !self.series.contains_key(&k) {
            k = key(OTHER, OTHER);
        }
        let minutes = self.series.entry(k).or_default();
        if minutes.back().is_none_or(|m| m.minute < minute) {
            let counts = Counts::default();
            minutes.push_back(Minute { minute, counts });
        }
        if let Some(last) = minutes.back_mut() {
            last.counts.record(event);
        }
        while minutes
            .front()
            .is_some_and(|m| m.minute + HISTORY_MINUTES <= minute)
        {
            minutes.pop_front();
        }
    }

    /// All series as seen in a minute since the start; empty ones are dropped.
    pub fn snapshot(&mut self, now: u64) -> Vec<Series> {
        self.series.retain(|_, minutes| {
            minutes
                .back()
                .is_some_and(|m| m.minute + HISTORY_MINUTES > now)
        });
        self.series
            .iter()
            .map(|(key, minutes)| Series {
                row: key.row.clone(),
                workspace: key.workspace.clone(),
                minutes: minutes
                    .iter()
                    .filter(|m| m.minute + HISTORY_MINUTES > now)
                    .map(|m| (now.saturating_sub(m.minute), m.counts))
                    .collect(),
            })
            .collect()
    }
}

//! Counts per minute, row and workspace.

use std::collections::VecDeque;

use base::Map;
use serde::{Deserialize, Serialize};

use crate::{Counts, Event};

/// Retention in minutes.
pub const HISTORY_MINUTES: u64 = 360;

/// Maximum number of series; events of further rows and workspaces go to one series named `other`.
const MAX_SERIES: usize = 1000;

/// Row and workspace of the series for all events over [`MAX_SERIES`].
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

/// Counts of an entry.
#[derive(Debug, Default)]
pub struct History {
    series: Map<Key, VecDeque<Minute>>,
}

/// Counts of a row and workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Row.
    pub row: String,
    /// Workspace.
    pub workspace: String,
    /// Age in minutes and counts of each minute.
    pub minutes: Vec<(u64, Counts)>,
}

/// Counts of an entry, as sent to the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHistory {
    /// Failure domain.
    pub domain: String,
    /// Series.
    pub series: Vec<Series>,
}

impl History {
    /// Records an event in a minute, numbered from the start of the process.
    pub fn record(&mut self, minute: u64, row: &str, workspace: &str, event: Event) {
        let key = |row: &str, workspace: &str| Key {
            row: row.to_owned(),
            workspace: workspace.to_owned(),
        };
        let mut series = key(row, workspace);
        if self.series.len() >= MAX_SERIES && !self.series.contains_key(&series) {
            series = key(OTHER, OTHER);
        }
        let minutes = self.series.entry(series).or_default();
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

    /// Returns all series as of a minute, numbered from the start of the process, and removes expired ones.
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

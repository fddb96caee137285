//! Metrics of an entry, and the event counts of its error-budget burn.
//!
//! docs/OPERATING.md lists the metrics and what to do when they rise.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Outcome, Set};
use burn::{EntryHistory, Event, History};

/// Maximum number of workspaces with their own label; further ones share one.
const MAX_WORKSPACE_LABELS: usize = 200;

/// Label shared by the further workspaces.
const OTHER_WORKSPACES: &str = "other";

/// Latency bounds that burn events are counted by.
#[derive(Debug, Clone, Copy)]
pub struct BurnBounds {
    /// Bound on the time to the first token.
    pub first_token: Duration,
    /// Bound on the mean time between tokens.
    pub between_tokens: Duration,
}

/// Labels of a request: its row and its workspace.
#[derive(Debug, Clone)]
pub struct Labels {
    row: String,
    workspace: String,
}

/// Metrics with bounded labels.
#[derive(Debug)]
pub struct Telemetry {
    bounds: BurnBounds,
    started_at: Instant,
    workspaces: Mutex<Set<String>>,
    history: Mutex<History>,
}

impl Telemetry {
    /// Creates metrics whose history starts now.
    pub fn new(bounds: BurnBounds) -> Telemetry {
        Telemetry {
            bounds,
            started_at: clock::now(),
            workspaces: Mutex::default(),
            history: Mutex::default(),
        }
    }

    /// Returns the labels of a request; an empty row stands for none.
    pub fn labels(&self, row: String, workspace: &str) -> Labels {
        let mut known = self
            .workspaces
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let has_label = known.contains(workspace)
            || known.len() < MAX_WORKSPACE_LABELS && known.insert(workspace.to_owned());
        Labels {
            row,
            workspace: if has_label {
                workspace
            } else {
                OTHER_WORKSPACES
            }
            .to_owned(),
        }
    }

    /// Counts a completed request. A request that failed through a caller's error doesn't count
    /// towards the burn.
    pub fn record_completed(
        &self,
        labels: &Labels,
        outcome: Outcome,
        code: &str,
        caller_error: bool,
    ) {
        metrics::counter!(
            "driftnotch_requests_total",
            "row" => labels.row.clone(),
            "workspace" => labels.workspace.clone(),
            "outcome" => outcome.as_str(),
            "code" => code.to_owned(),
        )
        .increment(1);
        if !caller_error {
            let served = outcome == Outcome::Done;
            self.record_event(labels, Event::Completed { served });
        }
    }

    /// Records the time to the first token.
    pub fn record_first_token(&self, labels: &Labels, elapsed: Duration) {
        metrics::histogram!(
            "driftnotch_first_token_seconds",
            "row" => labels.row.clone(),
            "workspace" => labels.workspace.clone(),
        )
        .record(elapsed.as_secs_f64());
        let late = elapsed > self.bounds.first_token;
        self.record_event(labels, Event::FirstToken { late });
    }

    /// Records the mean time between the tokens of a stream.
    pub fn record_token_gap(&self, labels: &Labels, mean_gap: Duration) {
        metrics::histogram!("driftnotch_between_tokens_seconds", "row" => labels.row.clone())
            .record(mean_gap.as_secs_f64());
        let slow = mean_gap > self.bounds.between_tokens;
        self.record_event(labels, Event::Stream { slow });
    }

    /// Returns the event counts by minute.
    pub fn history(&self, domain: &str) -> EntryHistory {
        EntryHistory {
            domain: domain.to_owned(),
            series: self.lock().snapshot(self.minute()),
        }
    }

    fn record_event(&self, labels: &Labels, event: Event) {
        self.lock()
            .record(self.minute(), &labels.row, &labels.workspace, event);
    }

    fn minute(&self) -> u64 {
        clock::since(self.started_at).as_secs() / 60
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

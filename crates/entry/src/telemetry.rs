//! Metrics of an entry, and the counts of its service-level burn.
//!
//! docs/OPERATING.md lists the metrics with what to do when they rise.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::{Outcome, Set};
use burn::{EntryHistory, Event, History};

/// Workspaces with a label of their own; all others share one.
const MAX_WORKSPACES: usize = 200;

/// Label of workspaces beyond that.
const OTHER: &str = "other";

/// Bounds that the burn is counted by.
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
    begun: Instant,
    workspaces: Mutex<Set<String>>,
    history: Mutex<History>,
}

impl Telemetry {
    /// Metrics that start now.
    pub fn new(bounds: BurnBounds) -> Telemetry {
        Telemetry {
            bounds,
            begun: clock::now(),
            workspaces: Mutex::default(),
            history: Mutex::default(),
        }
    }

    /// Labels of a request; a row of `""` stands for none.
    pub fn labels(&self, row: String, workspace: &str) -> Labels {
        let mut known = self
            .workspaces
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let named = known.contains(workspace)
            || known.len() < MAX_WORKSPACES && known.insert(workspace.to_owned());
        Labels {
            row,
            workspace: if named { workspace } else { OTHER }.to_owned(),
        }
    }

    /// Counts a request that came to its end. One that ended by its caller's own fault is no
    /// event of the burn.
    pub fn ended(&self, labels: &Labels, outcome: Outcome, code: &str, own_fault: bool) {
        metrics::counter!(
            "driftnotch_requests_total",
            "row" => labels.row.clone(),
            "workspace" => labels.workspace.clone(),
            "outcome" => outcome.as_str(),
            "code" => code.to_owned(),
        )
        .increment(1);
        if !own_fault {
            let served = outcome == Outcome::Done;
            self.note(labels, Event::Completed { served });
        }
    }

    /// Notes the time to the first token.
    pub fn first_token(&self, labels: &Labels, after: Duration) {
        metrics::histogram!(
            "driftnotch_first_token_seconds",
            "row" => labels.row.clone(),
            "workspace" => labels.workspace.clone(),
        )
        .record(after.as_secs_f64());
        let late = after > self.bounds.first_token;
        self.note(labels, Event::FirstToken { late });
    }

    /// Notes the mean time between the tokens of a stream.
    pub fn between_tokens(&self, labels: &Labels, mean: Duration) {
        metrics::histogram!("driftnotch_between_tokens_seconds", "row" => labels.row.clone())
            .record(mean.as_secs_f64());
        let slow = mean > self.bounds.between_tokens;
        self.note(labels, Event::Stream { slow });
    }

    /// The counts by the minute.
    pub fn history(&self, domain: &str) -> EntryHistory {
        EntryHistory {
            domain: domain.to_owned(),
            series: self.lock().snapshot(self.minute()),
        }
    }

    fn note(&self, labels: &Labels, event: Event) {
        self.lock()
            .record(self.minute(), &labels.row, &labels.workspace, event);
    }

    fn minute(&self) -> u64 {
        clock::since(self.begun).as_secs() / 60
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

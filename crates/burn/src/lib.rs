//! Error budgets of service-level objectives and their burn rates.
//!
//! Each entry counts requests per minute, row and workspace ([`History`]). The operator's command
//! collects the counts of all entries and computes, for each objective and each failure domain, row
//! and workspace, the remaining budget and the burn rate over a fast and a slow window ([`Report`]).
//! A burn rate of 1 spends the budget exactly within its period.

pub mod counts;
pub mod history;
pub mod report;

pub use counts::{Counts, Event};
pub use history::{EntryHistory, HISTORY_MINUTES, History, Series};
pub use report::{FAST_WINDOW, Line, Objective, Objectives, Report, SLOW_WINDOW};

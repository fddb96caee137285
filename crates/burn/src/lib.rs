//! Service-level burn: how much of an error budget is used, and how fast.
//!
//! Each entry keeps counts by the minute, for each row and workspace ([`History`]). The operator's
//! command collects them from all entries and works out, for each objective and each failure
//! domain, row and workspace, the share that was good, the budget left and the burn over a fast
//! and a slow window ([`Report`]). A burn of 1 uses the budget up exactly within its period.

pub mod counts;
pub mod history;
pub mod report;

pub use counts::{Counts, Event};
pub use history::{EntryHistory, HISTORY_MINUTES, History, Series};
pub use report::{FAST_WINDOW, Line, Objective, Objectives, Report, SLOW_WINDOW};

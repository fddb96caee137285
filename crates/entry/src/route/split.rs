//! Traffic split between the versions of a model, by the shares of their rows.
//!
//! The split is a smooth weighted round robin: over any sequence of requests, the count of each
//! version stays within one of its exact share. It needs neither randomness nor a time window.

use std::sync::{Mutex, PoisonError};

use base::{Map, Model};
use table::{Row, Version};

/// Credits of each version, by model, for the weighted round robin.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    credits: Mutex<Map<Model, Map<Version, i64>>>,
}

impl TrafficSplit {
    /// Returns the row of the next request; `None` if no row has a share.
    pub fn next_row<'a>(&self, rows: &[&'a Row]) -> Option<&'a Row> {
        let mut credits = self.credits.lock().unwrap_or_else(PoisonError::into_inner);
        let model = &rows.first()?.model;
        let credits = credits.entry(model.clone()).or_default();
        credits.retain(|version, _| rows.iter().any(|row| row.version == *version));
        let total: i64 = rows.iter().map(|row| i64::from(row.share)).sum();
        for row in rows {
            *credits.entry(row.version.clone()).or_default() += i64::from(row.share);
        }
        let chosen = rows
            .iter()
            .filter(|row| row.share > 0)
            .max_by_key(|row| credits[&row.version])?;
        *credits.get_mut(&chosen.version)? -= total;
        Some(chosen)
    }
}

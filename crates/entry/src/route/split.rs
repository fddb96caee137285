//! Splits a model's traffic over its versions by the shares of their rows.
//!
//! Smooth weighted round robin: over any run of requests each version's count stays within one of
//! its share, so the split needs no randomness and no memory of time.

use std::sync::{Mutex, PoisonError};

use base::{Map, Model};
use table::{Row, Version};

/// Credits of each version, by model.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    credits: Mutex<Map<Model, Map<Version, i64>>>,
}

impl TrafficSplit {
    /// The row the next request goes to; `None` where no row has a share.
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

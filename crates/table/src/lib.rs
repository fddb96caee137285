//! The table of models and services, which operators keep in version control.
//!
//! A row has a model or plain service, its version, the places in which it may run, its share of the
//! traffic, its limits, its priority, and how long a place that is cut off from the platform may
//! continue to serve it. The table is a CSV file; [`Table::parse`] reports all of its faults, with line and
//! remedy.

pub mod active;
pub mod diff;
pub mod edition;
pub mod fault;
pub mod limits;
pub mod parse;
pub mod patch;
pub mod row;

pub use active::{ActiveEdition, ActiveTable, PatchError};
pub use diff::{Change, diff};
pub use edition::Edition;
pub use fault::Fault;
pub use limits::Limits;
pub use patch::Patch;
pub use row::{Hold, Row, Version};

use base::Domains;

/// Table, with its rows in the order of the file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    /// All rows.
    pub rows: Vec<Row>,
}

impl Table {
    /// Returns the rows of a model that permit a failure domain.
    pub fn permitted_rows<'a>(
        &'a self,
        model: &'a str,
        domain: &'a str,
        domains: &'a Domains,
    ) -> impl Iterator<Item = &'a Row> {
        self.rows
            .iter()
            .filter(move |row| row.model == model && row.permits(domain, domains))
    }

    /// Returns the row of a model and version that permits a failure domain.
    pub fn find(
        &self,
        model: &str,
        version: &Version,
        domain: &str,
        domains: &Domains,
    ) -> Option<&Row> {
        self.rows
            .iter()
            .filter(|row| row.model == model && row.version == *version)
            .find(|row| row.permits(domain, domains))
    }

    /// Returns whether the model has a row.
    pub fn has_model(&self, model: &str) -> bool {
        self.rows.iter().any(|row| row.model == model)
    }

    /// Returns whether the weights of a version may be stored in a failure domain.
    pub fn permits_weights(&self, version: &Version, domain: &str, domains: &Domains) -> bool {
        self.rows
            .iter()
            .any(|row| row.version == *version && row.permits(domain, domains))
    }
}

//! An accepted edit, as it lies in the platform's table service.

use base::Revision;
use serde::{Deserialize, Serialize};

/// One revision of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edition {
    /// Revision; 0 before the first edit.
    pub revision: Revision,
    /// Random id of the edit, by which its writer knows its own write again.
    pub edit: String,
    /// Who edited.
    pub author: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The table as CSV.
    pub csv: String,
}

impl Edition {
    /// The empty table that is in force before the first edit.
    pub fn initial() -> Edition {
        Edition {
            revision: 0,
            edit: String::new(),
            author: String::new(),
            at_ms: 0,
            csv: crate::Table::default().to_csv(),
        }
    }
}

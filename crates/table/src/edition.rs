//! Editions: accepted edits, as stored in the platform's table service.

use base::Revision;
use serde::{Deserialize, Serialize};

/// A revision of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edition {
    /// Revision; 0 before the first edit.
    pub revision: Revision,
    /// Random id of the edit, by which its writer recognizes its own write.
    pub edit: String,
    /// Author of the edit.
    pub author: String,
    /// Time of the edit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The table as CSV.
    pub csv: String,
}

impl Edition {
    /// Returns the empty table, which is the current edition before the first edit.
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

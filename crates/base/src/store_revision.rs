//! Revisions of the platform's store across restores.
//!
//! A store that is restored from a backup assigns revisions a second time. Its era, the number of its restores,
//! tells them apart.

use std::fmt;

use crate::{Era, Revision};

/// Revision of the platform's store. Every revision of an era is newer than all revisions of earlier eras.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Era of the store; `None` if it is unknown.
    pub era: Option<Era>,
    /// Number within the era; 0 for none.
    pub number: Revision,
}

impl StoreRevision {
    /// Creates a revision.
    pub fn new(era: Option<Era>, number: Revision) -> StoreRevision {
        StoreRevision { era, number }
    }

    /// Returns whether the store was restored since an earlier revision.
    pub fn is_restored_since(&self, earlier: StoreRevision) -> bool {
        earlier.era.is_some() && self.era > earlier.era
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Some(era) => write!(f, "{}@{era}", self.number),
            None => write!(f, "{}", self.number),
        }
    }
}

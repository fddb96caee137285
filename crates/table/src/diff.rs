//! Differences between two tables, in readable form.

use std::fmt;

use crate::{Row, Table};

/// Change from one table to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An added row.
    Added(Row),
    /// A removed row.
    Removed(Row),
    /// A row before and after a change of its cells.
    Altered(Row, Row),
}

impl Change {
    /// Returns whether the change revokes a permission.
    pub fn narrows(&self) -> bool {
        match self {
            Change::Added(_) => false,
            Change::Removed(_) => true,
            Change::Altered(before, after) => {
                before.places.iter().any(|p| !after.places.contains(p))
            }
        }
    }
}

/// Returns the changes from `before` to `after`; empty if their rows are the same.
pub fn diff(before: &Table, after: &Table) -> Vec<Change> {
    let mut removed: Vec<&Row> = before.rows.iter().collect();
    let mut changes = Vec::new();
    let mut added = Vec::new();
    for row in &after.rows {
        match removed.iter().position(|old| *old == row) {
            Some(i) => drop(removed.swap_remove(i)),
            None => added.push(row),
        }
    }
    for row in added {
        let same_version = |old: &&Row| old.model == row.model && old.version == row.version;
        match removed.iter().position(same_version) {
            Some(i) => changes.push(Change::Altered(removed.swap_remove(i).clone(), row.clone())),
            None => changes.push(Change::Added(row.clone())),
        }
    }
    changes.extend(removed.into_iter().cloned().map(Change::Removed));
    changes
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(row) => write!(
                f,
                "add {}: may run in {}, share {}%, limits {}, priority {}, hold {}",
                row.name(),
                row.places_text(),
                row.share,
                or_none(&row.limits.to_string()),
                row.priority,
                row.hold
            ),
            Change::Removed(row) => {
                write!(
                    f,
                    "remove {}: no longer runs in {}",
                    row.name(),
                    row.places_text()
                )
            }
            Change::Altered(before, after) => {
                write!(
                    f,
                    "alter {}: {}",
                    after.name(),
                    describe_cells(before, after)
                )
            }
        }
    }
}

fn describe_cells(before: &Row, after: &Row) -> String {
    let cells = [
        ("places", before.places_text(), after.places_text()),
        ("share", before.share.to_string(), after.share.to_string()),
        (
            "limits",
            before.limits.to_string(),
            after.limits.to_string(),
        ),
        (
            "priority",
            before.priority.to_string(),
            after.priority.to_string(),
        ),
        ("hold", before.hold.to_string(), after.hold.to_string()),
    ];
    let changed: Vec<String> = cells
        .into_iter()
        .filter(|(_, a, b)| a != b)
        .map(|(name, a, b)| format!("{name} from {} to {}", or_none(&a), or_none(&b)))
        .collect();
    changed.join(", ")
}

fn or_none(s: &str) -> &str {
    match s {
        "" => "none",
        s => s,
    }
}

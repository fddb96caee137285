//! What an edit changes, in plain words.

use std::fmt;

use crate::{Row, Table};

/// One change from a table to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A new row.
    Added(Row),
    /// A row that is gone.
    Removed(Row),
    /// A row whose cells differ: before, after.
    Altered(Row, Row),
}

impl Change {
    /// Whether something permitted before is permitted no longer.
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

/// Changes that lead from `before` to `after`; empty where both say the same.
pub fn diff(before: &Table, after: &Table) -> Vec<Change> {
    let mut gone: Vec<&Row> = before.rows.iter().collect();
    let mut changes = Vec::new();
    let mut fresh = Vec::new();
    for row in &after.rows {
        match gone.iter().position(|old| *old == row) {
            Some(i) => drop(gone.swap_remove(i)),
            None => fresh.push(row),
        }
    }
    for row in fresh {
        let twin = |old: &&Row| old.model == row.model && old.version == row.version;
        match gone.iter().position(twin) {
            Some(i) => changes.push(Change::Altered(gone.swap_remove(i).clone(), row.clone())),
            None => changes.push(Change::Added(row.clone())),
        }
    }
    changes.extend(gone.into_iter().cloned().map(Change::Removed));
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
                write!(f, "alter {}: {}", after.name(), altered(before, after))
            }
        }
    }
}

fn altered(before: &Row, after: &Row) -> String {
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

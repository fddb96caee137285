//! Printing, in one place.

use std::io::Write;

use serde::Serialize;

use crate::error::Error;

/// Prints a line. A reader that has gone away is no failure.
pub fn line(text: impl AsRef<str>) -> Result<(), Error> {
    let _ = writeln!(std::io::stdout(), "{}", text.as_ref());
    Ok(())
}

/// Prints a value as JSON.
pub fn json(value: &impl Serialize) -> Result<(), Error> {
    line(serde_json::to_string_pretty(value).expect("plain data"))
}

/// Prints rows in columns as wide as their cells.
pub fn columns(head: &[&str], rows: &[Vec<String>]) -> Result<(), Error> {
    let widths: Vec<usize> = (0..head.len())
        .map(|i| {
            let cells = rows.iter().map(|row| row[i].chars().count());
            cells.chain([head[i].chars().count()]).max().unwrap_or(0)
        })
        .collect();
    let print = |cells: Vec<&str>| {
        let padded: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        line(padded.join("  ").trim_end())
    };
    print(head.to_vec())?;
    rows.iter()
        .try_for_each(|row| print(row.iter().map(String::as_str).collect()))
}

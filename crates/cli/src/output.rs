//! Prints the results of commands on standard output.

use std::io::Write;

use serde::Serialize;

use crate::error::Error;

/// Prints a line. A closed standard output is not an error.
pub fn line(text: impl AsRef<str>) -> Result<(), Error> {
    let _ = writeln!(std::io::stdout(), "{}", text.as_ref());
    Ok(())
}

/// Prints a value as JSON.
pub fn json(value: &impl Serialize) -> Result<(), Error> {
    line(serde_json::to_string_pretty(value).expect("output types serialize to JSON"))
}

/// Prints a header and rows, with each column as wide as its widest cell.
pub fn columns(header: &[&str], rows: &[Vec<String>]) -> Result<(), Error> {
    let widths: Vec<usize> = (0..header.len())
        .map(|i| {
            let cells = rows.iter().map(|row| row[i].chars().count());
            cells.chain([header[i].chars().count()]).max().unwrap_or(0)
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
    print(header.to_vec())?;
    rows.iter()
        .try_for_each(|row| print(row.iter().map(String::as_str).collect()))
}

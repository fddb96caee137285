//! `driftnotch check`: validates settings files and tables, and prints the fields of a role.

use std::path::Path;

use base::Domains;
use serde::Serialize;
use settings::{Role, Settings};
use table::{Fault, Table};

use crate::error::{Error, FaultList};
use crate::options::CheckOptions;
use crate::output;

#[derive(Serialize)]
struct FileReport<'a> {
    file: &'a Path,
    faults: Vec<FaultRow>,
}

#[derive(Serialize)]
struct FaultRow {
    line: usize,
    field: String,
    remedy: String,
}

/// Validates files and prints the faults of each, or prints the fields of a role.
pub fn run(options: &CheckOptions) -> Result<(), Error> {
    if let Some(role) = &options.fields {
        return print_fields(role);
    }
    let mut domains = None;
    let mut results: Vec<(&Path, Vec<Fault>)> = Vec::new();
    let (tables, settings): (Vec<&Path>, Vec<&Path>) = options
        .files
        .iter()
        .map(|f| f.as_path())
        .partition(|f| f.extension().is_some_and(|e| e == "csv"));
    for file in settings {
        let faults = match settings::load(file) {
            Ok(settings) => {
                domains = domains.or_else(|| domains_of(settings));
                Vec::new()
            }
            Err(faults) => faults,
        };
        results.push((file, faults));
    }
    for file in tables {
        results.push((file, check_table(file, domains.as_ref())?));
    }
    report(options, results)
}

/// Returns the failure domains that settings declare; `None` for roles that need no table.
fn domains_of(settings: Settings) -> Option<Domains> {
    match settings {
        Settings::Entry(cfg) => Some(cfg.process.domains),
        Settings::Agent(cfg) => Some(cfg.process.domains),
        Settings::Operator(cfg) => Some(cfg.domains),
        Settings::Gateway(_) | Settings::Loader(_) => None,
    }
}

/// Validates a table against the failure domains, and returns its faults.
fn check_table(file: &Path, domains: Option<&Domains>) -> Result<Vec<Fault>, Error> {
    let Some(domains) = domains else {
        let remedy = "pass a valid settings file too, which declares the failure domains";
        return Ok(vec![Fault::new(0, "file", remedy)]);
    };
    let csv = std::fs::read_to_string(file).map_err(|e| Error::File(file.to_owned(), e))?;
    Ok(Table::parse(&csv, domains).err().unwrap_or_default())
}

/// Prints the faults of all files. Returns the first file that has any as an error.
fn report(options: &CheckOptions, results: Vec<(&Path, Vec<Fault>)>) -> Result<(), Error> {
    if options.json {
        let reports: Vec<FileReport> = results
            .iter()
            .map(|(file, faults)| FileReport {
                file,
                faults: faults.iter().map(fault_row).collect(),
            })
            .collect();
        output::json(&reports)?;
    }
    let mut failed = None;
    for (file, faults) in results {
        match faults.is_empty() {
            true if options.json => {}
            true => output::line(format!("{}: no faults", file.display()))?,
            false if failed.is_none() => {
                failed = Some(Error::Faults(file.to_owned(), FaultList(faults)))
            }
            false => eprintln!(
                "driftnotch: {}",
                Error::Faults(file.to_owned(), FaultList(faults))
            ),
        }
    }
    failed.map_or(Ok(()), Err)
}

fn fault_row(fault: &Fault) -> FaultRow {
    FaultRow {
        line: fault.line,
        field: fault.field.clone(),
        remedy: fault.remedy.clone(),
    }
}

/// Prints the fields of a role as a Markdown table.
fn print_fields(role: &str) -> Result<(), Error> {
    let role = match role {
        "entry" => Role::Entry,
        "agent" => Role::Agent,
        "operator" => Role::Operator,
        "gateway" => Role::Gateway,
        "loader" => Role::Loader,
        other => {
            let remedy =
                format!("--fields {other}: write entry, agent, operator, gateway or loader");
            return Err(Error::Usage(remedy));
        }
    };
    output::line("| field | kind | default | range | what for |")?;
    output::line("|---|---|---|---|---|")?;
    for field in settings::check::fields(role) {
        output::line(format!(
            "| `{}` | {} | {} |",
            field.name, field.kind, field.doc
        ))?;
    }
    Ok(())
}

//! `driftnotch table`

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use entry::admin::Status;
use serde::Serialize;
use settings::OperatorCfg;
use store::PlatformError;
use store::tables::Current;
use table::{Change, Edition, Hold, Table, diff};

use super::operator;
use crate::error::{Error, FaultList};
use crate::options::{TableAction, TableOptions};
use crate::output;

/// Start of the line that names the edition a file was made from.
const REVISION_LINE: &str = "# revision:";

/// Time between two looks at where an edition is in force.
const LOOK: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct Applied {
    revision: u64,
    edit: String,
    changes: Vec<String>,
    in_force: Option<Vec<DomainForce>>,
}

#[derive(Serialize)]
struct Planned {
    revision: u64,
    changes: Vec<String>,
}

#[derive(Serialize)]
struct HistoryRow {
    revision: u64,
    author: String,
    at_ms: u64,
    rows: usize,
}

#[derive(Serialize)]
struct TableStatus {
    /// Revision in the platform's table; `None` where it can't be read.
    revision: Option<u64>,
    domains: Vec<DomainForce>,
}

/// Where an edition is in force, in one failure domain.
#[derive(Debug, Clone, Serialize)]
struct DomainForce {
    domain: String,
    entries: usize,
    upstreams: usize,
    lowest: Option<u64>,
    in_force: bool,
    since_ms: Option<u64>,
    note: String,
}

/// Does what was asked with the table.
pub fn run(options: &TableOptions) -> Result<(), Error> {
    let cfg = operator::load(&options.settings)?;
    let runtime = operator::runtime()?;
    match &options.action {
        TableAction::Get(revision) => runtime.block_on(get(&cfg, *revision, options.json)),
        TableAction::Plan(file) => runtime.block_on(plan(&cfg, file, options.json)),
        TableAction::Apply { file, base, wait } => {
            runtime.block_on(apply(&cfg, file, *base, *wait, options.json))
        }
        TableAction::History(last) => runtime.block_on(history(&cfg, *last, options.json)),
        TableAction::Status => runtime.block_on(status(&cfg, options.json)),
    }
}

async fn get(cfg: &OperatorCfg, revision: Option<u64>, json: bool) -> Result<(), Error> {
    let tables = operator::tables(cfg);
    let edition = match revision {
        None => current(cfg).await?.edition,
        Some(n) => tables
            .revision(n)
            .await?
            .ok_or_else(|| Error::Usage(format!("there is no revision {n}; see table history")))?,
    };
    match json {
        true => output::json(&edition),
        false => {
            output::line(format!("{REVISION_LINE} {}", edition.revision))?;
            output::line(edition.csv.trim_end())
        }
    }
}

async fn plan(cfg: &OperatorCfg, file: &Path, json: bool) -> Result<(), Error> {
    let (_, table) = read_table(cfg, file)?;
    let current = current(cfg).await?;
    let changes = changes(cfg, &current.edition, &table)?;
    let planned = Planned {
        revision: current.edition.revision,
        changes: in_words(&changes),
    };
    match json {
        true => output::json(&planned),
        false => print_changes(planned.revision, &planned.changes),
    }
}

async fn apply(
    cfg: &OperatorCfg,
    file: &Path,
    base: Option<u64>,
    wait: Option<Duration>,
    json: bool,
) -> Result<(), Error> {
    let (text, table) = read_table(cfg, file)?;
    let base = base.or_else(|| revision_line(&text));
    let current = current(cfg).await?;
    if let Some(base) = base.filter(|base| *base != current.edition.revision) {
        return Err(conflict(cfg, base).await);
    }
    let changes = changes(cfg, &current.edition, &table)?;
    if changes.is_empty() {
        return output::line(format!(
            "nothing to change at revision {}",
            current.edition.revision
        ));
    }
    let tables = operator::tables(cfg);
    let edition = match tables.apply(&current, table.to_csv(), &cfg.author).await {
        Ok(edition) => edition,
        Err(PlatformError::Conflict) => return Err(conflict(cfg, current.edition.revision).await),
        Err(e) => return Err(e.into()),
    };
    if revision_line(&text).is_some() {
        rewrite_revision(file, &text, edition.revision)?;
    }
    if !json {
        print_changes(current.edition.revision, &in_words(&changes))?;
        output::line(format!("accepted as revision {}", edition.revision))?;
    }
    let in_force = match wait {
        Some(wait) => Some(wait_in_force(cfg, edition.revision, wait, json).await?),
        None => None,
    };
    if json {
        output::json(&Applied {
            revision: edition.revision,
            edit: edition.edit,
            changes: in_words(&changes),
            in_force,
        })?;
    }
    Ok(())
}

async fn wait_in_force(
    cfg: &OperatorCfg,
    revision: u64,
    wait: Duration,
    json: bool,
) -> Result<Vec<DomainForce>, Error> {
    let begun = Instant::now();
    loop {
        let domains = force_by_domain(cfg, Some(revision), None).await;
        if domains.iter().all(|d| d.in_force) {
            if !json {
                output::line(format!(
                    "in force in all failure domains after {} ms",
                    begun.elapsed().as_millis()
                ))?;
            }
            return Ok(domains);
        }
        if begun.elapsed() > wait {
            let missing: Vec<String> = domains
                .iter()
                .filter(|d| !d.in_force)
                .map(|d| format!("{}: {}", d.domain, d.note))
                .collect();
            return Err(Error::NotInForce(format!(
                "revision {revision} is accepted, but not known to be in force everywhere:\n  {}\nsee table status",
                missing.join("\n  ")
            )));
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn history(cfg: &OperatorCfg, last: u64, json: bool) -> Result<(), Error> {
    let tables = operator::tables(cfg);
    let newest = current(cfg).await?.edition.revision;
    let mut rows = Vec::new();
    for revision in (newest.saturating_sub(last) + 1..=newest).rev() {
        if let Some(edition) = tables.revision(revision).await? {
            rows.push(HistoryRow {
                revision,
                author: edition.author,
                at_ms: edition.at_ms,
                rows: edition.csv.lines().count().saturating_sub(1),
            });
        }
    }
    if json {
        return output::json(&rows);
    }
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|r| {
            let ago = base::unix_ms().saturating_sub(r.at_ms) / 1000;
            vec![
                r.revision.to_string(),
                r.author.clone(),
                format!("{ago}s ago"),
                r.rows.to_string(),
            ]
        })
        .collect();
    output::columns(&["revision", "author", "accepted", "rows"], &cells)
}

async fn status(cfg: &OperatorCfg, json: bool) -> Result<(), Error> {
    let current = current(cfg).await.ok();
    let revision = current.as_ref().map(|c| c.edition.revision);
    let domains = force_by_domain(cfg, revision, current.as_ref()).await;
    if json {
        return output::json(&TableStatus { revision, domains });
    }
    match revision {
        Some(n) => output::line(format!("revision {n} is accepted"))?,
        None => {
            output::line("the platform's table can't be read; the newest revision is not known")?
        }
    }
    let cells: Vec<Vec<String>> = domains
        .iter()
        .map(|d| {
            let since = d
                .since_ms
                .map_or("?".into(), |ms| format!("{:.1}s", ms as f64 / 1000.0));
            let lowest = d.lowest.map_or("?".into(), |n| n.to_string());
            let in_force = if d.in_force { "yes" } else { "not known" };
            vec![
                d.domain.clone(),
                in_force.into(),
                lowest,
                since,
                d.note.clone(),
            ]
        })
        .collect();
    output::columns(&["domain", "in force", "lowest", "for", "note"], &cells)
}

/// Where a revision is in force. A failure domain counts only if entries of it answer and all of
/// them, and all their upstreams, serve by it.
async fn force_by_domain(
    cfg: &OperatorCfg,
    revision: Option<u64>,
    current: Option<&Current>,
) -> Vec<DomainForce> {
    let mut by_domain: BTreeMap<String, Vec<Status>> = cfg
        .domains
        .names()
        .map(|d| (d.clone(), Vec::new()))
        .collect();
    let mut silent = 0;
    for (_, status) in operator::statuses(cfg).await {
        match status {
            Some(s) => by_domain.entry(s.domain.clone()).or_default().push(s),
            None => silent += 1,
        }
    }
    let hold = current.and_then(|c| longest_hold(cfg, &c.edition));
    by_domain
        .into_iter()
        .map(|(domain, entries)| domain_force(domain, &entries, revision, silent, hold.as_deref()))
        .collect()
}

fn domain_force(
    domain: String,
    entries: &[Status],
    revision: Option<u64>,
    silent: usize,
    hold: Option<&str>,
) -> DomainForce {
    let upstreams = entries.iter().flat_map(|e| &e.upstreams);
    let revisions = entries
        .iter()
        .map(|e| e.revision)
        .chain(upstreams.clone().map(|u| u.revision));
    let lowest = revisions.min();
    let in_force = match (lowest, revision) {
        (Some(lowest), Some(revision)) => lowest >= revision,
        _ => false,
    };
    let note = match (entries.is_empty(), in_force) {
        (true, _) => {
            let hold = hold.unwrap_or("not known");
            format!("no entry answers; it may go on by an old revision (longest hold: {hold})")
        }
        (false, false) if revision.is_none() => "the newest revision is not known".into(),
        (false, false) => "some VMs still serve by an older revision".into(),
        (false, true) if silent > 0 => format!("{silent} configured entries give no answer"),
        (false, true) => String::new(),
    };
    DomainForce {
        domain,
        entries: entries.len(),
        upstreams: upstreams.count(),
        lowest,
        in_force,
        since_ms: entries.iter().map(|e| e.in_force_ms).min(),
        note,
    }
}

/// The longest hold of an edition's rows, for the operator of a domain that gives no answer.
fn longest_hold(cfg: &OperatorCfg, edition: &Edition) -> Option<String> {
    let table = Table::parse(&edition.csv, &cfg.domains).ok()?;
    let longest = table
        .rows
        .iter()
        .map(|row| row.hold)
        .max_by_key(|hold| match hold {
            Hold::Serve => Duration::MAX,
            Hold::For(d) => *d,
        });
    longest.map(|hold| hold.to_string())
}

async fn current(cfg: &OperatorCfg) -> Result<Current, Error> {
    let current = operator::tables(cfg).current(None).await?;
    Ok(current.expect("asked without a tag"))
}

async fn conflict(cfg: &OperatorCfg, base: u64) -> Error {
    let Ok(now) = current(cfg).await else {
        return Error::Platform(PlatformError::Conflict);
    };
    let before = operator::tables(cfg).revision(base).await.ok().flatten();
    let before = match base {
        0 => Some(Edition::initial()),
        _ => before,
    };
    let words = before.map_or(String::new(), |before| {
        let read = |e: &Edition| Table::parse(&e.csv, &cfg.domains).unwrap_or_default();
        let changes = diff(&read(&before), &read(&now.edition));
        in_words(&changes)
            .iter()
            .map(|c| format!("\n  {c}"))
            .collect()
    });
    Error::Conflict(now.edition.revision, now.edition.author, words)
}

fn changes(cfg: &OperatorCfg, edition: &Edition, table: &Table) -> Result<Vec<Change>, Error> {
    let before = Table::parse(&edition.csv, &cfg.domains)
        .map_err(|faults| Error::Faults("the edition in force".into(), FaultList(faults)))?;
    Ok(diff(&before, table))
}

fn in_words(changes: &[Change]) -> Vec<String> {
    let word = |c: &Change| match c.narrows() {
        true => {
            format!("{c} (narrows: in force where a place is cut off only when its hold runs out)")
        }
        false => c.to_string(),
    };
    changes.iter().map(word).collect()
}

fn print_changes(revision: u64, changes: &[String]) -> Result<(), Error> {
    match changes.len() {
        0 => output::line(format!("nothing to change at revision {revision}"))?,
        n => output::line(format!("{n} changes to revision {revision}:"))?,
    }
    changes
        .iter()
        .try_for_each(|c| output::line(format!("  {c}")))
}

fn read_table(cfg: &OperatorCfg, file: &Path) -> Result<(String, Table), Error> {
    let text = std::fs::read_to_string(file).map_err(|e| Error::File(file.to_owned(), e))?;
    let table = Table::parse(&text, &cfg.domains)
        .map_err(|faults| Error::Faults(file.to_owned(), FaultList(faults)))?;
    Ok((text, table))
}

fn revision_line(text: &str) -> Option<u64> {
    let rest = text.lines().next()?.strip_prefix(REVISION_LINE)?;
    rest.trim().parse().ok()
}

/// Writes the new revision into the file's first line, so that the next edit starts from it.
fn rewrite_revision(file: &Path, text: &str, revision: u64) -> Result<(), Error> {
    let rest = text.split_once('\n').map_or("", |(_, rest)| rest);
    let text = format!("{REVISION_LINE} {revision}\n{rest}");
    std::fs::write(file, text).map_err(|e| Error::File(file.to_owned(), e))
}

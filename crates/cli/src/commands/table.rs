//! `driftnotch table`: shows and edits the table of models and places.

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

/// Prefix of the first line of a file, which names the revision that the file is based on.
const REVISION_PREFIX: &str = "# revision:";

/// Interval at which `apply --wait` polls where an edition is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Output of `table apply --json`.
#[derive(Serialize)]
struct Applied {
    revision: u64,
    edit: String,
    changes: Vec<String>,
    /// State of each failure domain; `None` without `--wait`.
    in_force: Option<Vec<DomainStatus>>,
}

/// Output of `table plan --json`.
#[derive(Serialize)]
struct Planned {
    revision: u64,
    changes: Vec<String>,
}

/// Item of the output of `table history --json`.
#[derive(Serialize)]
struct HistoryRow {
    revision: u64,
    author: String,
    at_ms: u64,
    rows: usize,
}

/// Output of `table status --json`.
#[derive(Serialize)]
struct TableStatus {
    /// Newest revision in the platform; `None` where it can't be read.
    revision: Option<u64>,
    domains: Vec<DomainStatus>,
}

/// Whether an edition is in force in a failure domain.
#[derive(Debug, Clone, Serialize)]
struct DomainStatus {
    domain: String,
    entries: usize,
    upstreams: usize,
    /// Lowest revision that an entry or upstream serves by.
    lowest: Option<u64>,
    in_force: bool,
    /// Time since the revision of an entry came into force, the minimum over all entries.
    since_ms: Option<u64>,
    note: String,
}

/// Runs a command of `table`.
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
            output::line(format!("{REVISION_PREFIX} {}", edition.revision))?;
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
        changes: describe(&changes),
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
    let base = base.or_else(|| base_revision(&text));
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
    if base_revision(&text).is_some() {
        rewrite_revision(file, &text, edition.revision)?;
    }
    if !json {
        print_changes(current.edition.revision, &describe(&changes))?;
        output::line(format!("accepted as revision {}", edition.revision))?;
    }
    let in_force = match wait {
        Some(wait) => Some(wait_until_in_force(cfg, edition.revision, wait, json).await?),
        None => None,
    };
    if json {
        output::json(&Applied {
            revision: edition.revision,
            edit: edition.edit,
            changes: describe(&changes),
            in_force,
        })?;
    }
    Ok(())
}

/// Polls the entries until a revision is in force in all failure domains; an error once `wait` has passed.
async fn wait_until_in_force(
    cfg: &OperatorCfg,
    revision: u64,
    wait: Duration,
    json: bool,
) -> Result<Vec<DomainStatus>, Error> {
    let started = Instant::now();
    loop {
        let domains = domain_statuses(cfg, Some(revision), None).await;
        if domains.iter().all(|d| d.in_force) {
            if !json {
                output::line(format!(
                    "in force in all failure domains after {} ms",
                    started.elapsed().as_millis()
                ))?;
            }
            return Ok(domains);
        }
        if started.elapsed() > wait {
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
        tokio::time::sleep(POLL_INTERVAL).await;
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
    let domains = domain_statuses(cfg, revision, current.as_ref()).await;
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

/// Returns the status of a revision in each failure domain. It is in force in a domain only if at least one
/// entry of the domain responds, and all that respond, and all their upstreams, serve by it.
async fn domain_statuses(
    cfg: &OperatorCfg,
    revision: Option<u64>,
    current: Option<&Current>,
) -> Vec<DomainStatus> {
    let mut by_domain: BTreeMap<String, Vec<Status>> = cfg
        .domains
        .names()
        .map(|d| (d.clone(), Vec::new()))
        .collect();
    let mut absent = 0;
    for (_, status) in operator::statuses(cfg).await {
        match status {
            Some(s) => by_domain.entry(s.domain.clone()).or_default().push(s),
            None => absent += 1,
        }
    }
    let hold = current.and_then(|c| longest_hold(cfg, &c.edition));
    by_domain
        .into_iter()
        .map(|(domain, entries)| domain_status(domain, &entries, revision, absent, hold.as_deref()))
        .collect()
}

/// Returns the status of a revision in a failure domain. `absent` counts the entries of all domains that don't
/// respond.
fn domain_status(
    domain: String,
    entries: &[Status],
    revision: Option<u64>,
    absent: usize,
    hold: Option<&str>,
) -> DomainStatus {
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
            format!(
                "no entry responds; the domain may still serve by an old revision (longest hold: {hold})"
            )
        }
        (false, false) if revision.is_none() => "the newest revision is not known".into(),
        (false, false) => "some VMs still serve by an older revision".into(),
        (false, true) if absent > 0 => format!("{absent} configured entries don't respond"),
        (false, true) => String::new(),
    };
    DomainStatus {
        domain,
        entries: entries.len(),
        upstreams: upstreams.count(),
        lowest,
        in_force,
        since_ms: entries.iter().map(|e| e.in_force_ms).min(),
        note,
    }
}

/// Returns the longest hold of an edition's rows: how long a failure domain that doesn't respond may serve
/// by it.
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

/// Returns the newest edition in the platform.
async fn current(cfg: &OperatorCfg) -> Result<Current, Error> {
    let current = operator::tables(cfg).current(None).await?;
    Ok(current.expect("a read without a tag returns the edition"))
}

/// Returns the error for an edit that is based on an older revision, with the changes since then.
async fn conflict(cfg: &OperatorCfg, base: u64) -> Error {
    let Ok(latest) = current(cfg).await else {
        return Error::Platform(PlatformError::Conflict);
    };
    let before = operator::tables(cfg).revision(base).await.ok().flatten();
    let before = match base {
        0 => Some(Edition::initial()),
        _ => before,
    };
    let changes = before.map_or(String::new(), |before| {
        let parse = |e: &Edition| Table::parse(&e.csv, &cfg.domains).unwrap_or_default();
        let changes = diff(&parse(&before), &parse(&latest.edition));
        describe(&changes)
            .iter()
            .map(|c| format!("\n  {c}"))
            .collect()
    });
    Error::Conflict(latest.edition.revision, latest.edition.author, changes)
}

/// Returns the changes from an edition to a table.
fn changes(cfg: &OperatorCfg, edition: &Edition, table: &Table) -> Result<Vec<Change>, Error> {
    let before = Table::parse(&edition.csv, &cfg.domains)
        .map_err(|faults| Error::Faults("the edition in force".into(), FaultList(faults)))?;
    Ok(diff(&before, table))
}

/// Describes changes in words, one string per change.
fn describe(changes: &[Change]) -> Vec<String> {
    let describe_one = |c: &Change| match c.narrows() {
        true => {
            format!(
                "{c} (narrows: in a place that is cut off, in force only once its hold expires)"
            )
        }
        false => c.to_string(),
    };
    changes.iter().map(describe_one).collect()
}

/// Prints the changes to a revision.
fn print_changes(revision: u64, changes: &[String]) -> Result<(), Error> {
    match changes.len() {
        0 => output::line(format!("nothing to change at revision {revision}"))?,
        n => output::line(format!("{n} changes to revision {revision}:"))?,
    }
    changes
        .iter()
        .try_for_each(|c| output::line(format!("  {c}")))
}

/// Reads and validates a table's file; returns its text too.
fn read_table(cfg: &OperatorCfg, file: &Path) -> Result<(String, Table), Error> {
    let text = std::fs::read_to_string(file).map_err(|e| Error::File(file.to_owned(), e))?;
    let table = Table::parse(&text, &cfg.domains)
        .map_err(|faults| Error::Faults(file.to_owned(), FaultList(faults)))?;
    Ok((text, table))
}

/// Returns the revision that the first line of a file names.
fn base_revision(text: &str) -> Option<u64> {
    let rest = text.lines().next()?.strip_prefix(REVISION_PREFIX)?;
    rest.trim().parse().ok()
}

/// Writes the new revision into the first line of the file, as the base of the next edit.
fn rewrite_revision(file: &Path, text: &str, revision: u64) -> Result<(), Error> {
    let rest = text.split_once('\n').map_or("", |(_, rest)| rest);
    let text = format!("{REVISION_PREFIX} {revision}\n{rest}");
    std::fs::write(file, text).map_err(|e| Error::File(file.to_owned(), e))
}

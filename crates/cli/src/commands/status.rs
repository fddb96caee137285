//! `driftnotch status`: shows the state of entries, upstreams and rollouts.

use entry::admin::Status;

use super::operator;
use crate::error::Error;
use crate::options::StatusOptions;
use crate::output;

/// Prints the state of entries and upstreams, and the progress of each rollout.
pub fn run(options: &StatusOptions) -> Result<(), Error> {
    let cfg = operator::load(&options.settings)?;
    let statuses = operator::runtime()?.block_on(operator::statuses(&cfg));
    let up: Vec<&Status> = statuses.iter().filter_map(|(_, s)| s.as_ref()).collect();
    if options.json {
        output::json(&up)?;
    } else {
        print(&statuses)?;
    }
    match up.is_empty() {
        true => Err(Error::NoEntry),
        false => Ok(()),
    }
}

fn print(statuses: &[(std::net::SocketAddr, Option<Status>)]) -> Result<(), Error> {
    let entries: Vec<Vec<String>> = statuses
        .iter()
        .map(|(addr, status)| match status {
            Some(s) => vec![
                s.vm.clone(),
                s.domain.clone(),
                state_name(s.leaving),
                s.revision.to_string(),
                s.waiting.to_string(),
                s.upstreams.len().to_string(),
            ],
            None => vec![
                addr.to_string(),
                "?".into(),
                "no response".into(),
                "?".into(),
                "?".into(),
                "?".into(),
            ],
        })
        .collect();
    output::columns(
        &[
            "entry",
            "domain",
            "state",
            "revision",
            "waiting",
            "upstreams",
        ],
        &entries,
    )?;
    output::line("")?;
    output::columns(
        &[
            "upstream", "domain", "state", "revision", "model", "version", "ready",
        ],
        &upstream_rows(statuses),
    )
}

/// Returns a row for each version of each upstream, sorted, without duplicates.
fn upstream_rows(statuses: &[(std::net::SocketAddr, Option<Status>)]) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for status in statuses.iter().filter_map(|(_, s)| s.as_ref()) {
        for u in &status.upstreams {
            for h in &u.holdings {
                let version: String = h.version.chars().take(8).collect();
                let ready = match h.live {
                    true => "yes".to_owned(),
                    false => format!("{}%", h.permille / 10),
                };
                rows.push(vec![
                    u.vm.clone(),
                    status.domain.clone(),
                    state_name(u.leaving),
                    u.revision.to_string(),
                    h.model.clone(),
                    version,
                    ready,
                ]);
            }
        }
    }
    rows.sort();
    rows.dedup();
    rows
}

fn state_name(leaving: bool) -> String {
    match leaving {
        true => "leaving".into(),
        false => "up".into(),
    }
}

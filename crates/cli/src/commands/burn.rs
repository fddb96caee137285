//! `driftnotch burn`: reports the burn of the error budget.

use burn::{EntryHistory, Objective, Objectives, Report};
use settings::OperatorCfg;

use super::operator;
use crate::error::Error;
use crate::options::BurnOptions;
use crate::output;

/// Prints the burn of the error budget over all entries that respond.
pub fn run(options: &BurnOptions) -> Result<(), Error> {
    let cfg = operator::load(&options.settings)?;
    let responses =
        operator::runtime()?.block_on(operator::get_from_all::<EntryHistory>(&cfg, "/burn"));
    let unreachable: Vec<String> = responses
        .iter()
        .filter(|(_, history)| history.is_none())
        .map(|(addr, _)| addr.to_string())
        .collect();
    let histories: Vec<EntryHistory> = responses.into_iter().filter_map(|(_, h)| h).collect();
    if histories.is_empty() {
        return Err(Error::NoEntry);
    }
    if !unreachable.is_empty() {
        let unreachable = unreachable.join(", ");
        eprintln!("driftnotch: no response from {unreachable}; their requests are not counted");
    }
    let report = Report::new(&histories, &objectives(&cfg));
    match options.json {
        true => output::json(&report),
        false => print(&report),
    }
}

fn objectives(cfg: &OperatorCfg) -> Objectives {
    let objective = |per_mille| Objective { per_mille };
    Objectives {
        available: objective(cfg.objective_available),
        first_token: objective(cfg.objective_first_token),
        between_tokens: objective(cfg.objective_between_tokens),
    }
}

fn print(report: &Report) -> Result<(), Error> {
    let rows: Vec<Vec<String>> = report
        .lines
        .iter()
        .filter(|line| line.events > 0)
        .map(|line| {
            vec![
                line.by.to_owned(),
                line.name.clone(),
                line.objective.to_owned(),
                line.events.to_string(),
                line.bad.to_string(),
                format!("{:.1}%", line.budget_left * 100.0),
                format!("{:.2}", line.fast_burn),
                format!("{:.2}", line.slow_burn),
            ]
        })
        .collect();
    let header = [
        "by",
        "name",
        "objective",
        "events",
        "bad",
        "budget left",
        "burn 1h",
        "burn 6h",
    ];
    output::columns(&header, &rows)
}

//! `driftnotch load`: shows who is refused and why, by the metrics of gateways and loaders.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::operator::{self, GetError};
use crate::error::Error;
use crate::options::LoadOptions;
use crate::output;
use crate::prometheus::{self, Sample};

/// What a table shows where a process serves a metric without a label or without a second one of the row.
const ABSENT: &str = "-";

/// Samples of a process, or why there are none.
type Answer = (SocketAddr, Result<Vec<Sample>, String>);

/// Samples of each process that answered.
type Samples = Vec<(SocketAddr, Vec<Sample>)>;

/// Header and rows of a table.
type Table = (Vec<&'static str>, Vec<Vec<String>>);

/// Prints the load as the processes that answer state it, and names the others on standard error.
pub fn run(options: &LoadOptions) -> Result<(), Error> {
    let answers = operator::runtime()?.block_on(read_all(&options.from));
    let mut samples = Samples::new();
    for (addr, answer) in answers {
        match answer {
            Ok(of_process) => samples.push((addr, of_process)),
            Err(cause) => eprintln!("driftnotch: no metrics from {addr}: {cause}"),
        }
    }
    if samples.is_empty() {
        return Err(Error::NoMetrics);
    }
    print(&samples, options.from.len())
}

/// Reads the metrics of all processes concurrently.
async fn read_all(from: &[SocketAddr]) -> Vec<Answer> {
    let requests: Vec<_> = from
        .iter()
        .map(|addr| (*addr, tokio::spawn(operator::get(*addr, "/metrics"))))
        .collect();
    let mut answers = Vec::new();
    for (addr, request) in requests {
        let answer = request.await.map_err(|e| e.to_string());
        answers.push((addr, answer.and_then(decode)));
    }
    answers
}

/// Decodes a response. Samples that are infinite or not a number are dropped: a sum with one says nothing.
fn decode(response: Result<Vec<u8>, GetError>) -> Result<Vec<Sample>, String> {
    let buf = response.map_err(|e| e.to_string())?;
    let text = String::from_utf8(buf).map_err(|e| e.to_string())?;
    let mut samples = prometheus::parse(&text).map_err(|e| e.to_string())?;
    samples.retain(|sample| sample.value.is_finite());
    Ok(samples)
}

fn print(samples: &Samples, asked: usize) -> Result<(), Error> {
    output::line(format!("{} of {asked} processes answered", samples.len()))?;
    let tables = tables(samples);
    if tables.iter().all(|(_, rows)| rows.is_empty()) {
        return output::line("no refusals, and none of the metrics that this command shows");
    }
    for (header, rows) in tables.iter().filter(|(_, rows)| !rows.is_empty()) {
        output::line("")?;
        output::columns(header, rows)?;
    }
    Ok(())
}

fn tables(samples: &Samples) -> Vec<Table> {
    let mut by_route = rows(
        samples,
        ["route", "priority", "why"],
        &["driftnotch_route_refusals_total"],
        sum,
    );
    by_route.sort_by_key(|row| row[1].parse().unwrap_or(u64::MAX));
    vec![
        (
            vec!["why", "refusals"],
            rows(samples, ["why"], &["driftnotch_refusals_total"], sum),
        ),
        (vec!["route", "priority", "why", "refusals"], by_route),
        (
            vec![
                "service",
                "lowest free fraction",
                "highest",
                "refused from rank, lowest",
                "highest",
            ],
            rows(
                samples,
                ["service"],
                &[
                    "driftnotch_pool_free_fraction",
                    "driftnotch_refused_from_rank",
                ],
                range,
            ),
        ),
        (vec!["upstreams", "lowest", "highest"], upstreams(samples)),
        (
            vec!["loader of a slow engine", "pace"],
            slow_engines(samples),
        ),
        (
            vec![
                "service",
                "domain",
                "lowest demand",
                "highest",
                "lowest capacity",
                "highest",
            ],
            rows(
                samples,
                ["service", "domain"],
                &[
                    "driftnotch_domain_demand_slots",
                    "driftnotch_domain_capacity_slots",
                ],
                range,
            ),
        ),
        (
            vec!["service", "from", "to", "lowest share", "highest"],
            rows(
                samples,
                ["service", "from", "to"],
                &["driftnotch_domain_share"],
                range,
            ),
        ),
        (
            vec!["service", "promised retries", "kept", "broken"],
            rows(
                samples,
                ["service"],
                &[
                    "driftnotch_retries_promised_total",
                    "driftnotch_retries_kept_total",
                    "driftnotch_retries_broken_total",
                ],
                sum,
            ),
        ),
    ]
}

/// Returns a row for each set of label values: these, and for each metric the cells of its values at all processes.
fn rows<const N: usize>(
    samples: &Samples,
    labels: [&str; N],
    metrics: &[&str],
    cells: fn(&[f64]) -> Vec<String>,
) -> Vec<Vec<String>> {
    let mut values: BTreeMap<[String; N], Vec<Vec<f64>>> = BTreeMap::new();
    for sample in samples.iter().flat_map(|(_, of_process)| of_process) {
        if let Some(i) = metrics.iter().position(|metric| *metric == sample.name) {
            let key = labels.map(|label| sample.label(label).unwrap_or(ABSENT).to_owned());
            let row = values.entry(key);
            row.or_insert_with(|| vec![Vec::new(); metrics.len()])[i].push(sample.value);
        }
    }
    values
        .into_iter()
        .map(|(key, row)| {
            let cells = row.iter().flat_map(|values| cells(values));
            key.into_iter().chain(cells).collect()
        })
        .collect()
}

/// Returns a row for each kind of upstream that isn't normal.
fn upstreams(samples: &Samples) -> Vec<Vec<String>> {
    [
        ("slow engines, by gateway", "driftnotch_slow_engines"),
        (
            "rate limited, by gateway",
            "driftnotch_rate_limited_upstreams",
        ),
        ("draining, by gateway", "driftnotch_draining_upstreams"),
        ("pace of the engine, by loader", "driftnotch_engine_pace"),
    ]
    .into_iter()
    .flat_map(|(kind, metric)| {
        let rows = rows(samples, [], &[metric], range);
        rows.into_iter()
            .map(move |row| [vec![kind.to_owned()], row].concat())
    })
    .collect()
}

/// Returns a row for each loader whose engine isn't at its normal pace, slowest first.
fn slow_engines(samples: &Samples) -> Vec<Vec<String>> {
    let mut slow: Vec<(SocketAddr, f64)> = samples
        .iter()
        .flat_map(|(addr, of_process)| of_process.iter().map(|sample| (*addr, sample)))
        .filter(|(_, sample)| sample.name == "driftnotch_engine_pace" && sample.value != 1.0)
        .map(|(addr, sample)| (addr, sample.value))
        .collect();
    slow.sort_by(|a, b| b.1.total_cmp(&a.1));
    slow.iter()
        .map(|(addr, pace)| vec![addr.to_string(), gauge(*pace)])
        .collect()
}

/// Cell of a counter: its sum over processes.
fn sum(values: &[f64]) -> Vec<String> {
    match values {
        [] => vec![ABSENT.to_owned()],
        values => vec![format!("{:.0}", values.iter().sum::<f64>())],
    }
}

/// Cells of a gauge: its lowest and its highest value.
fn range(values: &[f64]) -> Vec<String> {
    match values {
        [] => vec![ABSENT.to_owned(); 2],
        values => [
            values.iter().copied().reduce(f64::min),
            values.iter().copied().reduce(f64::max),
        ]
        .into_iter()
        .flatten()
        .map(gauge)
        .collect(),
    }
}

/// Writes a gauge with at most two decimals.
fn gauge(value: f64) -> String {
    let text = format!("{value:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

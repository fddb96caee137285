//! Sends safe, unsafe and streamed requests in each failure domain, and checks the responses and
//! their reported outcomes against the ledgers of the engines and services.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::Outcome;
use hyper::Method;
use lab::caller::{Reply, RequestSpec, get_json, send};
use lab::layout::{EntryVm, Layout};
use lab::standin::engine::Run;
use lab::standin::service::CallRecord;
use pico_args::Arguments;
use serde::Serialize;
use web::{Client, DialOptions};

use super::{finish, layout_from_args};
use crate::LabError;

/// Kinds of requests, in the order in which they are sent.
const KINDS: [&str; 5] = [
    "completion",
    "stream",
    "unsafe",
    "keyed twice",
    "service call",
];

#[derive(Default, Serialize)]
struct OutcomeCounts {
    sent: u32,
    done: u32,
    not_run: u32,
    unknown: u32,
    p50_ms: f64,
    p99_ms: f64,
    #[serde(skip)]
    latencies: Vec<Duration>,
}

#[derive(Serialize)]
struct Report {
    tallies: BTreeMap<String, OutcomeCounts>,
    faults: Vec<String>,
}

/// A request with its response.
struct Sent {
    kind: &'static str,
    domain: String,
    spec: RequestSpec,
    reply: Reply,
}

pub async fn run(mut args: Arguments) -> Result<(), LabError> {
    let json = args.contains("--json");
    let seconds: f64 = args.opt_value_from_str("--seconds")?.unwrap_or(0.0);
    let model: String = args
        .opt_value_from_str("--model")?
        .unwrap_or("changelog".into());
    let layout = layout_from_args(&mut args)?;
    finish(args)?;
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    let with_service = layout.services > 0;
    let callers: Vec<_> = layout
        .entry_vms()
        .into_iter()
        .map(|e| tokio::spawn(run_caller(e, model.clone(), until, with_service)))
        .collect();
    let mut sent = Vec::new();
    for caller in callers {
        sent.extend(caller.await.map_err(|e| LabError::Failed(e.to_string()))?);
    }
    let faults = find_faults(&layout, &sent).await;
    let report = Report {
        tallies: count_outcomes(sent),
        faults,
    };
    match json {
        true => println!(
            "{}",
            serde_json::to_string(&report).expect("a report serializes")
        ),
        false => print(&report),
    }
    match report.faults.is_empty() {
        true => Ok(()),
        false => Err(LabError::Failed(report.faults.join("\n"))),
    }
}

/// Sends rounds of requests of every kind to one entry until the time is up.
async fn run_caller(e: EntryVm, model: String, until: Instant, with_service: bool) -> Vec<Sent> {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let mut sent = Vec::new();
    let mut round = 0;
    loop {
        for kind in KINDS {
            if kind == "service call" && !with_service {
                continue;
            }
            let marker = format!("m{:016x}", rand::random::<u64>());
            let spec = request_spec(kind, &model, &marker);
            let times = if kind == "keyed twice" { 2 } else { 1 };
            for _ in 0..times {
                let reply = send(&client, e.listen, &spec).await;
                let (domain, spec) = (e.domain.clone(), spec.clone());
                sent.push(Sent {
                    kind,
                    domain,
                    spec,
                    reply,
                });
            }
        }
        round += 1;
        if Instant::now() >= until || round > 100_000 {
            return sent;
        }
    }
}

fn request_spec(kind: &str, model: &str, marker: &str) -> RequestSpec {
    let plain = RequestSpec::completion(model, marker);
    match kind {
        "stream" => RequestSpec {
            stream: true,
            tokens: 16,
            ..plain
        },
        "unsafe" => RequestSpec {
            mark_unsafe: true,
            ..plain
        },
        "keyed twice" => RequestSpec {
            mark_unsafe: true,
            key: Some(marker.to_owned()),
            ..plain
        },
        "service call" => RequestSpec::service("registry", Method::POST, "/publish", marker),
        _ => plain,
    }
}

/// Returns what is wrong with the responses, on their own and compared with the ledgers.
async fn find_faults(layout: &Layout, sent: &[Sent]) -> Vec<String> {
    let mut faults: Vec<String> = sent
        .iter()
        .filter_map(|s| s.reply.mismatch(&s.spec))
        .collect();
    let runs = count_runs(layout).await;
    for s in sent {
        let n = runs.get(&s.spec.marker).copied().unwrap_or(0);
        let outcome = s.reply.outcome;
        let runs_at_most_once = s.spec.mark_unsafe || s.spec.service.is_some();
        let (kind, marker) = (s.kind, &s.spec.marker);
        match outcome {
            None => faults.push(format!("{kind} {marker} has no outcome: {}", s.reply.code)),
            Some(Outcome::Done) if n == 0 => {
                faults.push(format!("{kind} {marker} has outcome done but never ran"))
            }
            Some(Outcome::NotRun) if n > 0 && s.kind != "keyed twice" => {
                faults.push(format!("{kind} {marker} has outcome not-run but ran"));
            }
            _ if runs_at_most_once && n > 1 => {
                faults.push(format!("{kind} {marker} ran {n} times"))
            }
            _ => {}
        }
    }
    faults
}

/// Returns how many times each marker ran according to the ledgers of all upstreams.
async fn count_runs(layout: &Layout) -> BTreeMap<String, u32> {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let mut runs = BTreeMap::new();
    for u in layout.upstream_vms() {
        let markers: Vec<String> = match u.service {
            true => get_json::<Vec<CallRecord>>(&client, u.upstream, "/ledger")
                .await
                .unwrap_or_default()
                .into_iter()
                .map(|c| c.body)
                .collect(),
            false => get_json::<Vec<Run>>(&client, u.upstream, "/ledger")
                .await
                .unwrap_or_default()
                .into_iter()
                .map(|r| r.marker)
                .collect(),
        };
        for marker in markers {
            *runs.entry(marker).or_insert(0) += 1;
        }
    }
    runs
}

fn count_outcomes(sent: Vec<Sent>) -> BTreeMap<String, OutcomeCounts> {
    let mut all_counts: BTreeMap<String, OutcomeCounts> = BTreeMap::new();
    for s in sent {
        let counts = all_counts
            .entry(format!("{} {}", s.domain, s.kind))
            .or_default();
        counts.sent += 1;
        counts.latencies.push(s.reply.elapsed);
        match s.reply.outcome {
            Some(Outcome::Done) => counts.done += 1,
            Some(Outcome::NotRun) => counts.not_run += 1,
            Some(Outcome::Unknown) | None => counts.unknown += 1,
        }
    }
    for counts in all_counts.values_mut() {
        counts.latencies.sort();
        let quantile_ms = |q: f64| {
            counts.latencies[((counts.latencies.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e3
        };
        (counts.p50_ms, counts.p99_ms) = (quantile_ms(0.5), quantile_ms(0.99));
    }
    all_counts
}

fn print(report: &Report) {
    println!(
        "{:<24} {:>6} {:>6} {:>8} {:>8} {:>9} {:>9}",
        "domain, kind", "sent", "done", "not-run", "unknown", "p50 ms", "p99 ms"
    );
    for (name, t) in &report.tallies {
        println!(
            "{name:<24} {:>6} {:>6} {:>8} {:>8} {:>9.1} {:>9.1}",
            t.sent, t.done, t.not_run, t.unknown, t.p50_ms, t.p99_ms
        );
    }
}

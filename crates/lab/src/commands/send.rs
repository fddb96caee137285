//! Sends safe, unsafe and streamed requests in each failure domain and holds the answers, and
//! what they say of themselves, against the ledgers of the engines and services.

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

use super::{deployment, finish};
use crate::LabError;

/// Kinds of requests, in the order they are sent.
const KINDS: [&str; 5] = [
    "completion",
    "stream",
    "unsafe",
    "keyed twice",
    "service call",
];

#[derive(Default, Serialize)]
struct Tally {
    sent: u32,
    done: u32,
    not_run: u32,
    unknown: u32,
    p50_ms: f64,
    p99_ms: f64,
    #[serde(skip)]
    took: Vec<Duration>,
}

#[derive(Serialize)]
struct Report {
    tallies: BTreeMap<String, Tally>,
    faults: Vec<String>,
}

/// A request with what came back.
struct Sent {
    kind: &'static str,
    domain: String,
    ask: RequestSpec,
    reply: Reply,
}

pub async fn run(mut args: Arguments) -> Result<(), LabError> {
    let json = args.contains("--json");
    let seconds: f64 = args.opt_value_from_str("--seconds")?.unwrap_or(0.0);
    let model: String = args
        .opt_value_from_str("--model")?
        .unwrap_or("changelog".into());
    let layout = deployment(&mut args)?;
    finish(args)?;
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    let with_service = layout.services > 0;
    let callers: Vec<_> = layout
        .entry_vms()
        .into_iter()
        .map(|e| tokio::spawn(caller(e, model.clone(), until, with_service)))
        .collect();
    let mut sent = Vec::new();
    for caller in callers {
        sent.extend(caller.await.map_err(|e| LabError::Failed(e.to_string()))?);
    }
    let faults = faults(&layout, &sent).await;
    let report = Report {
        tallies: tallies(sent),
        faults,
    };
    match json {
        true => println!("{}", serde_json::to_string(&report).expect("plain data")),
        false => print(&report),
    }
    match report.faults.is_empty() {
        true => Ok(()),
        false => Err(LabError::Failed(report.faults.join("\n"))),
    }
}

/// One caller at one entry: a round of every kind, again until the time is up.
async fn caller(e: EntryVm, model: String, until: Instant, with_service: bool) -> Vec<Sent> {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let mut sent = Vec::new();
    let mut round = 0;
    loop {
        for kind in KINDS {
            if kind == "service call" && !with_service {
                continue;
            }
            let marker = format!("m{:016x}", rand::random::<u64>());
            let ask = ask(kind, &model, &marker);
            let times = if kind == "keyed twice" { 2 } else { 1 };
            for _ in 0..times {
                let reply = send(&client, e.listen, &ask).await;
                let (domain, ask) = (e.domain.clone(), ask.clone());
                sent.push(Sent {
                    kind,
                    domain,
                    ask,
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

fn ask(kind: &str, model: &str, marker: &str) -> RequestSpec {
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

/// What is wrong with the answers, by themselves and against the ledgers.
async fn faults(layout: &Layout, sent: &[Sent]) -> Vec<String> {
    let mut faults: Vec<String> = sent
        .iter()
        .filter_map(|s| s.reply.mismatch(&s.ask))
        .collect();
    let runs = runs(layout).await;
    for s in sent {
        let n = runs.get(&s.ask.marker).copied().unwrap_or(0);
        let outcome = s.reply.outcome;
        let once = s.ask.mark_unsafe || s.ask.service.is_some();
        let (kind, marker) = (s.kind, &s.ask.marker);
        match outcome {
            None => faults.push(format!(
                "{kind} {marker} was told no outcome: {}",
                s.reply.code
            )),
            Some(Outcome::Done) if n == 0 => {
                faults.push(format!("{kind} {marker} is done yet never ran"))
            }
            Some(Outcome::NotRun) if n > 0 && s.kind != "keyed twice" => {
                faults.push(format!("{kind} {marker} is not-run yet ran"));
            }
            _ if once && n > 1 => faults.push(format!("{kind} {marker} ran {n} times")),
            _ => {}
        }
    }
    faults
}

/// How often each marker ran, by the ledgers of all upstreams.
async fn runs(layout: &Layout) -> BTreeMap<String, u32> {
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

fn tallies(sent: Vec<Sent>) -> BTreeMap<String, Tally> {
    let mut tallies: BTreeMap<String, Tally> = BTreeMap::new();
    for s in sent {
        let tally = tallies
            .entry(format!("{} {}", s.domain, s.kind))
            .or_default();
        tally.sent += 1;
        tally.took.push(s.reply.elapsed);
        match s.reply.outcome {
            Some(Outcome::Done) => tally.done += 1,
            Some(Outcome::NotRun) => tally.not_run += 1,
            Some(Outcome::Unknown) | None => tally.unknown += 1,
        }
    }
    for tally in tallies.values_mut() {
        tally.took.sort();
        let at =
            |q: f64| tally.took[((tally.took.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e3;
        (tally.p50_ms, tally.p99_ms) = (at(0.5), at(0.99));
    }
    tallies
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

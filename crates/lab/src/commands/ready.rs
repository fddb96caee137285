//! Waits until a version is live on a number of replicas, and reports the time it took and the
//! bytes sent by the origin.

use std::time::{Duration, Instant};

use base::Digest;
use entry::admin::Status;
use lab::caller::get_json;
use lab::layout::Layout;
use lab::standin::origin::OriginStats;
use pico_args::Arguments;
use serde::Serialize;
use web::{Client, DialOptions};

use super::{duration, finish, layout_from_args};
use crate::LabError;

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Report {
    replicas: usize,
    ready_s: f64,
    origin_bytes: u64,
}

pub async fn run(mut args: Arguments) -> Result<(), LabError> {
    let json = args.contains("--json");
    let version: Digest = args.value_from_str("--version")?;
    let replicas: usize = args.value_from_str("--replicas")?;
    let timeout = duration(&mut args, "--within")?.unwrap_or(Duration::from_secs(30));
    let layout = layout_from_args(&mut args)?;
    finish(args)?;
    let start = Instant::now();
    let mut last_progress = Instant::now();
    loop {
        let (live, permille) = progress(&layout, version).await;
        if live >= replicas {
            return print_report(&layout, live, start.elapsed(), json).await;
        }
        if start.elapsed() > timeout {
            return Err(LabError::Failed(format!(
                "only {live} of {replicas} replicas are ready"
            )));
        }
        if last_progress.elapsed() > PROGRESS_INTERVAL {
            eprintln!(
                "  {live} of {replicas} replicas ready, {}% of all chunks",
                permille / 10
            );
            last_progress = Instant::now();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn print_report(
    layout: &Layout,
    replicas: usize,
    elapsed: Duration,
    json: bool,
) -> Result<(), LabError> {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let stats: Option<OriginStats> = get_json(&client, layout.platform().origin, "/stats").await;
    let report = Report {
        replicas,
        ready_s: elapsed.as_secs_f64(),
        origin_bytes: stats.map_or(0, |s| s.bytes),
    };
    match json {
        true => println!(
            "{}",
            serde_json::to_string(&report).expect("a report serializes")
        ),
        false => println!("{replicas} replicas ready after {:.2} s", report.ready_s),
    }
    Ok(())
}

/// Returns the number of live replicas and the mean share of verified chunks, in permille.
async fn progress(layout: &Layout, version: Digest) -> (usize, u64) {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let version = version.to_string();
    let mut replicas: std::collections::BTreeMap<String, (bool, u16)> = Default::default();
    for e in layout.entry_vms() {
        let Some(status) = get_json::<Status>(&client, e.admin, "/status").await else {
            continue;
        };
        for u in &status.upstreams {
            for h in u.holdings.iter().filter(|h| h.version == version) {
                replicas.insert(u.vm.clone(), (h.live, h.permille));
            }
        }
    }
    let live = replicas.values().filter(|(live, _)| *live).count();
    let sum: u64 = replicas.values().map(|(_, p)| u64::from(*p)).sum();
    (live, sum / replicas.len().max(1) as u64)
}

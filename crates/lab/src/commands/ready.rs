//! Waits until a version is live on a number of replicas, and tells what the origin gave for it.

use std::time::{Duration, Instant};

use base::Digest;
use entry::admin::Status;
use lab::caller::get_json;
use lab::layout::Layout;
use lab::standin::origin::OriginStats;
use pico_args::Arguments;
use serde::Serialize;
use web::{Client, DialOptions};

use super::{deployment, duration, finish};
use crate::LabError;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Time between two lines of progress.
const SAY: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Ready {
    replicas: usize,
    ready_s: f64,
    origin_bytes: u64,
}

pub async fn run(mut args: Arguments) -> Result<(), LabError> {
    let json = args.contains("--json");
    let version: Digest = args.value_from_str("--version")?;
    let replicas: usize = args.value_from_str("--replicas")?;
    let within = duration(&mut args, "--within")?.unwrap_or(Duration::from_secs(30));
    let layout = deployment(&mut args)?;
    finish(args)?;
    let begun = Instant::now();
    let mut said = Instant::now();
    loop {
        let (live, permille) = progress(&layout, version).await;
        if live >= replicas {
            return tell(&layout, live, begun.elapsed(), json).await;
        }
        if begun.elapsed() > within {
            return Err(LabError::Failed(format!(
                "only {live} of {replicas} replicas are ready"
            )));
        }
        if said.elapsed() > SAY {
            eprintln!(
                "  {live} of {replicas} replicas ready, {}% of all chunks",
                permille / 10
            );
            said = Instant::now();
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn tell(
    layout: &Layout,
    replicas: usize,
    took: Duration,
    json: bool,
) -> Result<(), LabError> {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let stats: Option<OriginStats> = get_json(&client, layout.platform().origin, "/stats").await;
    let ready = Ready {
        replicas,
        ready_s: took.as_secs_f64(),
        origin_bytes: stats.map_or(0, |s| s.bytes),
    };
    match json {
        true => println!("{}", serde_json::to_string(&ready).expect("plain data")),
        false => println!("{replicas} replicas ready after {:.2} s", ready.ready_s),
    }
    Ok(())
}

/// Replicas live, and the mean share of chunks verified.
async fn progress(layout: &Layout, version: Digest) -> (usize, u64) {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let version = version.to_string();
    let mut seen: std::collections::BTreeMap<String, (bool, u16)> = Default::default();
    for e in layout.entry_vms() {
        let Some(status) = get_json::<Status>(&client, e.admin, "/status").await else {
            continue;
        };
        for u in &status.upstreams {
            for h in u.holdings.iter().filter(|h| h.version == version) {
                seen.insert(u.vm.clone(), (h.live, h.permille));
            }
        }
    }
    let live = seen.values().filter(|(live, _)| *live).count();
    let sum: u64 = seen.values().map(|(_, p)| u64::from(*p)).sum();
    (live, sum / seen.len().max(1) as u64)
}

//! Compares ways to claim idempotency keys: one write per claim, batches per entry, and batches by
//! one claiming entry of the failure domain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use base::{Digest, new_request_id};
use entry::claim::{Batching, ClaimRecord, Claims, WriteOutcome, claim_key};
use lab::layout::Layout;
use lab::standin::fault::Faults;
use lab::standin::platform::Platform;
use pico_args::Arguments;
use serde::Serialize;
use store::Kv;
use tokio::sync::watch;
use web::DialOptions;

use super::finish;
use crate::LabError;

/// Number of entries in the failure domain.
const ENTRIES: usize = 6;

/// Claims per second.
const CLAIM_RATES: [u32; 4] = [100, 300, 1000, 3000];

/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);

/// Writes per second that the platform accepts.
const MAX_WRITES_PER_S: u32 = 400;

/// Delay of a write at the platform, in milliseconds.
const WRITE_MS: u64 = 5;

/// Interval over which claims are batched.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct Row {
    way: &'static str,
    claims_s: u32,
    writes_s: f64,
    refused_percent: f64,
    p50_ms: f64,
    p99_ms: f64,
}

pub async fn run(mut args: Arguments) -> Result<(), LabError> {
    let json = args.contains("--json");
    let net = args.opt_value_from_str("--net")?.unwrap_or(79);
    finish(args)?;
    let layout = Layout::cajueiro(net, 1, 1, 1, 0);
    let (_tx, stop) = watch::channel(false);
    let platform = Platform::start(layout.platform(), None, stop).await?;
    platform.table.faults.set(Faults {
        delay_ms: WRITE_MS,
        max_writes_s: MAX_WRITES_PER_S,
        ..Faults::default()
    });
    let kv = Kv::new(
        layout.platform().table,
        DialOptions::with_timeout(Duration::from_secs(2)),
    );
    let mut rows = Vec::new();
    for rate in CLAIM_RATES {
        for way in ["alone", "by entry", "by claimer"] {
            rows.push(measure(&platform, &kv, way, rate).await);
        }
    }
    match json {
        true => println!("{}", serde_json::to_string(&rows).expect("rows serialize")),
        false => print(&rows),
    }
    Ok(())
}

/// Starts entries that claim in the given way.
fn start_entries(kv: &Kv, way: &'static str) -> Vec<Claims> {
    let max_batch = if way == "alone" { 1 } else { 100 };
    let batching = Batching {
        interval: BATCH_INTERVAL,
        max_batch,
        retention: Duration::from_secs(3600),
    };
    let placeholder_addr = SocketAddr::from(([127, 0, 0, 1], 9));
    let first = Claims::start(kv.clone(), batching, || None, |_, _| async { Vec::new() });
    let mut all = vec![first.clone()];
    for _ in 1..ENTRIES {
        let claimer = first.clone();
        let forward = move |_, claims| {
            let claimer = claimer.clone();
            async move { claimer.write_batched(claims).await }
        };
        let to = (way == "by claimer").then_some(placeholder_addr);
        all.push(Claims::start(kv.clone(), batching, move || to, forward));
    }
    all
}

async fn measure(platform: &Platform, kv: &Kv, way: &'static str, rate: u32) -> Row {
    // The platform limits writes per second: the pause keeps the writes of one measurement from
    // counting towards the limit of the next.
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let entries = start_entries(kv, way);
    let writes_before = platform.table.store.counts().1;
    let refused = Arc::new(AtomicU32::new(0));
    let n = rate * MEASUREMENT_TIME.as_secs() as u32;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for i in 0..n {
        let at = start + MEASUREMENT_TIME.mul_f64(f64::from(i) / f64::from(n));
        let claims = entries[i as usize % ENTRIES].clone();
        let refused = refused.clone();
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep_until(at.into()).await;
            let claim_start = Instant::now();
            let record = claim_record();
            let outcome = claims
                .claim(claim_key("lab", &record.request), &record)
                .await;
            if outcome != WriteOutcome::Applied {
                refused.fetch_add(1, Ordering::Relaxed);
                return None;
            }
            Some(claim_start.elapsed())
        }));
    }
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.ok().flatten());
    }
    latencies.sort_unstable();
    let elapsed_s = start.elapsed().as_secs_f64();
    let quantile_ms = |q: f64| {
        let i = (latencies.len().max(1) - 1) as f64 * q;
        latencies
            .get(i as usize)
            .map_or(f64::NAN, |d| d.as_secs_f64() * 1e3)
    };
    Row {
        way,
        claims_s: rate,
        writes_s: (platform.table.store.counts().1 - writes_before) as f64 / elapsed_s,
        refused_percent: f64::from(refused.load(Ordering::Relaxed)) * 100.0 / f64::from(n),
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
    }
}

fn claim_record() -> ClaimRecord {
    ClaimRecord {
        request: new_request_id(),
        content: Digest::of(b"lab"),
        vm: "recife-model-1".into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 8180)),
        incarnation: 1,
        domain: "recife".into(),
        released: false,
    }
}

fn print(rows: &[Row]) {
    println!("| way | claims/s | writes/s | refused | p50 ms | p99 ms |");
    println!("|---|---|---|---|---|---|");
    for r in rows {
        println!(
            "| {} | {} | {:.0} | {:.1}% | {:.1} | {:.1} |",
            r.way, r.claims_s, r.writes_s, r.refused_percent, r.p50_ms, r.p99_ms
        );
    }
}

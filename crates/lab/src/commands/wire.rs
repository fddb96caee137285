//! Compares `capnp-rpc` and HTTP/1.1 for the traffic between processes: small messages, sequential
//! and concurrent, and bulk transfers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::wire::counted::Traffic;
use ::wire::{AgentInfo, Heartbeat, Link};
use lab::deployment::{Deployment, Plan};
use lab::standin::engine::Behaviour;
use pico_args::Arguments;
use table::Edition;
use tokio::sync::{oneshot, watch};
use web::{Client, DialOptions, read_body};

use super::finish;
use crate::LabError;

/// Number of small messages, and of those in flight in the concurrent run.
const SMALL_MESSAGES: usize = 4000;
const CONCURRENCY: usize = 64;

/// Number of bulk messages, and their size in bytes.
const BULK_MESSAGES: usize = 100;
const BULK_BYTES: usize = 1 << 20;

/// A heartbeat as JSON, with the same content as one over `capnp-rpc`.
const HEARTBEAT_JSON: &str =
    r#"{"revision":12,"running":3,"leaving":false,"holdings":[],"entries_seen":1}"#;

/// Durations measured for one protocol.
#[derive(Debug, Clone, Copy)]
struct Times {
    sequential: Duration,
    concurrent: Duration,
    bulk: Duration,
}

pub async fn run(mut args: Arguments) -> Result<(), LabError> {
    let net = args.opt_value_from_str("--net")?.unwrap_or(88);
    finish(args)?;
    let failed = |e: lab::deployment::DeployError| LabError::Failed(e.to_string());
    let plan = Plan {
        net,
        domains: 1,
        entries: 1,
        vms: 0,
        entry_lines: Vec::new(),
        agent_lines: Vec::new(),
        behaviour: Behaviour::default(),
        rates: None,
    };
    let deployment = Deployment::start(&plan).await.map_err(failed)?;
    let layout = &deployment.layout;
    let control = layout.listen_addr(layout.entry_vms()[0].control);
    let http = SocketAddr::new(control.ip(), 9090);
    let (_tx, stop) = watch::channel(false);
    lab::standin::serve(http, stop, |req| async {
        match read_body(req.into_body(), 2 * BULK_BYTES, Duration::from_secs(5)).await {
            Ok(_) => web::json(200, HEARTBEAT_JSON),
            Err(_) => web::text(400, ""),
        }
    })
    .await?;
    // Waits until the entry has bound its control address.
    while tokio::net::TcpStream::connect(control).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (capnp, bytes) = measure_capnp(control).await?;
    let http = measure_http(http).await?;
    println!("| way | heartbeat, one by one | {CONCURRENCY} at once, each | 1 MiB |");
    println!("|---|---|---|---|");
    for (name, t) in [("capnp-rpc", capnp), ("HTTP/1.1, JSON", http)] {
        println!(
            "| {name} | {:.0} µs | {:.0} µs | {:.2} ms |",
            t.sequential.as_secs_f64() * 1e6 / SMALL_MESSAGES as f64,
            t.concurrent.as_secs_f64() * 1e6 / SMALL_MESSAGES as f64,
            t.bulk.as_secs_f64() * 1e3 / BULK_MESSAGES as f64
        );
    }
    println!("A heartbeat with its answer is {bytes} bytes by capnp-rpc.");
    Ok(())
}

async fn measure_capnp(to: SocketAddr) -> Result<(Times, u64), LabError> {
    let (tx, rx) = oneshot::channel();
    ::wire::thread::spawn("wire".into(), move || async move {
        let _ = tx.send(measure_link(to).await);
    })?;
    let measured = rx.await.map_err(|e| LabError::Failed(e.to_string()))?;
    measured.map_err(|e| LabError::Failed(e.to_string()))
}

async fn measure_link(to: SocketAddr) -> Result<(Times, u64), ::wire::WireError> {
    let traffic = Traffic::default();
    let link = Link::connect(to, None, &traffic).await?;
    let session = link.join(&agent_info(to)).await?;
    session.heartbeat(&heartbeat()).await?;
    let bytes = |t: &Traffic| t.bytes().0 + t.bytes().1;
    let before = bytes(&traffic);
    let start = Instant::now();
    for _ in 0..SMALL_MESSAGES {
        session.heartbeat(&heartbeat()).await?;
    }
    let sequential = start.elapsed();
    let bytes_per_heartbeat = (bytes(&traffic) - before) / SMALL_MESSAGES as u64;
    let start = Instant::now();
    for _ in 0..SMALL_MESSAGES / CONCURRENCY {
        let heartbeats = (0..CONCURRENCY).map(|_| async { session.heartbeat(&heartbeat()).await });
        futures_util::future::try_join_all(heartbeats).await?;
    }
    let concurrent = start.elapsed();
    let edition = Edition {
        csv: "x".repeat(BULK_BYTES),
        ..Edition::initial()
    };
    let start = Instant::now();
    for _ in 0..BULK_MESSAGES {
        // The entry already has this revision: it reads the bytes and ignores them.
        session.offer(&edition).await?;
    }
    let times = Times {
        sequential,
        concurrent,
        bulk: start.elapsed(),
    };
    Ok((times, bytes_per_heartbeat))
}

async fn measure_http(to: SocketAddr) -> Result<Times, LabError> {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let post = async |buf: bytes::Bytes| {
        let mut req = hyper::Request::new(web::full(buf));
        *req.method_mut() = hyper::Method::POST;
        let timeout = Duration::from_secs(5);
        let res = client.send(to, req, timeout).await;
        let res = res.map_err(|e| LabError::Failed(e.to_string()))?;
        let read = read_body(res.into_body(), 1 << 20, timeout).await;
        read.map(drop).map_err(|e| LabError::Failed(e.to_string()))
    };
    let small = bytes::Bytes::from_static(HEARTBEAT_JSON.as_bytes());
    post(small.clone()).await?;
    let start = Instant::now();
    for _ in 0..SMALL_MESSAGES {
        post(small.clone()).await?;
    }
    let sequential = start.elapsed();
    let start = Instant::now();
    for _ in 0..SMALL_MESSAGES / CONCURRENCY {
        let posts = (0..CONCURRENCY).map(|_| post(small.clone()));
        futures_util::future::try_join_all(posts).await?;
    }
    let concurrent = start.elapsed();
    let bulk = bytes::Bytes::from(vec![b'x'; BULK_BYTES]);
    let start = Instant::now();
    for _ in 0..BULK_MESSAGES {
        post(bulk.clone()).await?;
    }
    Ok(Times {
        sequential,
        concurrent,
        bulk: start.elapsed(),
    })
}

fn agent_info(to: SocketAddr) -> AgentInfo {
    AgentInfo {
        vm: "recife-engine-1".into(),
        domain: "recife".into(),
        incarnation: 1,
        listen: to,
        peer: to,
        service: true,
        repeatable: false,
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        revision: 12,
        running: 3,
        leaving: false,
        holdings: Vec::new(),
        entries_seen: 1,
        same_holdings: true,
    }
}

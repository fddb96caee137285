//! Compares `capnp-rpc` and HTTP/1.1 for what travels between processes: small messages, one after
//! the other and many at once, and bulk bytes.

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

/// Small messages, and those on their way at once.
const SMALL: usize = 4000;
const AT_ONCE: usize = 64;

/// Bulk messages and their size in bytes.
const BULK: usize = 100;
const BULK_BYTES: usize = 1 << 20;

/// A heartbeat as JSON, with what our own carries.
const JSON: &str = r#"{"revision":12,"running":3,"leaving":false,"holdings":[],"entries_seen":1}"#;

/// Times of one way.
#[derive(Debug, Clone, Copy)]
struct Times {
    one_by_one: Duration,
    at_once: Duration,
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
            Ok(_) => web::json(200, JSON),
            Err(_) => web::text(400, ""),
        }
    })
    .await?;
    // The entry has bound its control address before it answers there.
    while tokio::net::TcpStream::connect(control).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (capnp, bytes) = by_capnp(control).await?;
    let http = by_http(http).await?;
    println!("| way | heartbeat, one by one | {AT_ONCE} at once, each | 1 MiB |");
    println!("|---|---|---|---|");
    for (name, t) in [("capnp-rpc", capnp), ("HTTP/1.1, JSON", http)] {
        println!(
            "| {name} | {:.0} µs | {:.0} µs | {:.2} ms |",
            t.one_by_one.as_secs_f64() * 1e6 / SMALL as f64,
            t.at_once.as_secs_f64() * 1e6 / SMALL as f64,
            t.bulk.as_secs_f64() * 1e3 / BULK as f64
        );
    }
    println!("A heartbeat with its answer is {bytes} bytes by capnp-rpc.");
    Ok(())
}

async fn by_capnp(to: SocketAddr) -> Result<(Times, u64), LabError> {
    let (tx, rx) = oneshot::channel();
    ::wire::thread::spawn("wire".into(), move || async move {
        let _ = tx.send(use_link(to).await);
    })?;
    let measured = rx.await.map_err(|e| LabError::Failed(e.to_string()))?;
    measured.map_err(|e| LabError::Failed(e.to_string()))
}

async fn use_link(to: SocketAddr) -> Result<(Times, u64), ::wire::WireError> {
    let traffic = Traffic::default();
    let link = Link::connect(to, None, &traffic).await?;
    let seat = link.join(&info(to)).await?;
    seat.heartbeat(&beat()).await?;
    let bytes = |t: &Traffic| t.bytes().0 + t.bytes().1;
    let before = bytes(&traffic);
    let begun = Instant::now();
    for _ in 0..SMALL {
        seat.heartbeat(&beat()).await?;
    }
    let one_by_one = begun.elapsed();
    let each = (bytes(&traffic) - before) / SMALL as u64;
    let begun = Instant::now();
    for _ in 0..SMALL / AT_ONCE {
        let beats = (0..AT_ONCE).map(|_| async { seat.heartbeat(&beat()).await });
        futures_util::future::try_join_all(beats).await?;
    }
    let at_once = begun.elapsed();
    let edition = Edition {
        csv: "x".repeat(BULK_BYTES),
        ..Edition::initial()
    };
    let begun = Instant::now();
    for _ in 0..BULK {
        // The entry has this revision, so it takes the bytes in and does nothing with them.
        seat.offer(&edition).await?;
    }
    let times = Times {
        one_by_one,
        at_once,
        bulk: begun.elapsed(),
    };
    Ok((times, each))
}

async fn by_http(to: SocketAddr) -> Result<Times, LabError> {
    let client = Client::new(DialOptions::with_timeout(Duration::from_secs(1)));
    let post = async |buf: bytes::Bytes| {
        let mut req = hyper::Request::new(web::full(buf));
        *req.method_mut() = hyper::Method::POST;
        let within = Duration::from_secs(5);
        let res = client.send(to, req, within).await;
        let res = res.map_err(|e| LabError::Failed(e.to_string()))?;
        let read = read_body(res.into_body(), 1 << 20, within).await;
        read.map(drop).map_err(|e| LabError::Failed(e.to_string()))
    };
    let small = bytes::Bytes::from_static(JSON.as_bytes());
    post(small.clone()).await?;
    let begun = Instant::now();
    for _ in 0..SMALL {
        post(small.clone()).await?;
    }
    let one_by_one = begun.elapsed();
    let begun = Instant::now();
    for _ in 0..SMALL / AT_ONCE {
        let posts = (0..AT_ONCE).map(|_| post(small.clone()));
        futures_util::future::try_join_all(posts).await?;
    }
    let at_once = begun.elapsed();
    let bulk = bytes::Bytes::from(vec![b'x'; BULK_BYTES]);
    let begun = Instant::now();
    for _ in 0..BULK {
        post(bulk.clone()).await?;
    }
    Ok(Times {
        one_by_one,
        at_once,
        bulk: begun.elapsed(),
    })
}

fn info(to: SocketAddr) -> AgentInfo {
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

fn beat() -> Heartbeat {
    Heartbeat {
        revision: 12,
        running: 3,
        leaving: false,
        holdings: Vec::new(),
        entries_seen: 1,
        same_holdings: true,
    }
}

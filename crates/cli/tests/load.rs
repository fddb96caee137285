//! `driftnotch load` against stand-ins that serve metrics.

mod common;

use std::net::SocketAddr;
use std::process::Output;

use common::driftnotch;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use web::ServerLimits;

/// Metrics of a gateway, with one that the command doesn't show.
const GATEWAY: &str = r#"
# TYPE driftnotch_refusals_total counter
driftnotch_refusals_total{why="busy"} 3
driftnotch_refusals_total{why="no_key"} 1
driftnotch_route_refusals_total{route="limits",priority="10",why="busy"} 1
driftnotch_route_refusals_total{route="checkout",priority="2",why="busy"} 2
driftnotch_pool_free_fraction{service="chat"} 0.12
driftnotch_refused_from_rank{service="chat"} 1
driftnotch_slow_engines 2
driftnotch_rate_limited_upstreams 0
driftnotch_domain_demand_slots{service="chat",domain="a"} 90.5
driftnotch_domain_capacity_slots{service="chat",domain="a"} 60
driftnotch_domain_share{service="chat",from="a",to="b"} 0.25
driftnotch_retries_promised_total{service="chat",rank="1"} 10
driftnotch_retries_promised_total{service="chat",rank="2"} 5
driftnotch_retries_kept_total{service="chat"} 12
driftnotch_store_reached 1
"#;

/// Metrics of another gateway; it has no domains, and no retries were kept.
const OTHER_GATEWAY: &str = r#"
driftnotch_refusals_total{why="busy"} 4
driftnotch_route_refusals_total{route="checkout",priority="2",why="busy"} 4
driftnotch_pool_free_fraction{service="chat"} NaN
driftnotch_pool_free_fraction{service="chat"} 0.5
driftnotch_refused_from_rank{service="chat"} 3
driftnotch_slow_engines 3
"#;

/// Serves a response at `/metrics` until the test ends.
async fn process(status: u16, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (_running, stop) = watch::channel(false);
        let handler = move |req: web::Request| async move {
            match req.uri().path() {
                "/metrics" => web::text(status, body),
                _ => web::text(404, ""),
            }
        };
        web::serve(listener, ServerLimits::internal(), stop, handler).await;
    });
    addr
}

/// Returns a socket that refuses connections, and whose port no other process can take meanwhile.
fn unreachable() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any_port).expect("a port");
    let addr = socket.local_addr().expect("an address");
    (socket, addr)
}

/// Runs `driftnotch load` while the stand-ins go on serving.
async fn load(from: &[SocketAddr]) -> Output {
    let from: Vec<String> = from.iter().map(SocketAddr::to_string).collect();
    let run = move || {
        let args = ["load", "--from", &from.join(",")];
        driftnotch().args(args).output().expect("the binary starts")
    };
    tokio::task::spawn_blocking(run).await.expect("a result")
}

/// Returns the lines of standard output, with each run of spaces as one.
fn lines(out: &Output) -> Vec<String> {
    let text = String::from_utf8_lossy(&out.stdout);
    text.lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "))
        .collect()
}

fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

/// Guards against a failure of one process that hides the others, and against wrong sums and ranges.
#[tokio::test]
async fn sums_counters_and_shows_ranges_of_gauges_although_one_process_is_unreachable() {
    let first = process(200, GATEWAY).await;
    let second = process(200, OTHER_GATEWAY).await;
    let (_socket, gone) = unreachable();

    let out = load(&[first, gone, second]).await;

    assert_eq!(out.status.code(), Some(0), "{}", stderr(&out));
    let expected = [
        "2 of 3 processes answered",
        "",
        "why refusals",
        "busy 7",
        "no_key 1",
        "",
        "route priority why refusals",
        "checkout 2 busy 6",
        "limits 10 busy 1",
        "",
        "service lowest free fraction highest refused from rank, lowest highest",
        "chat 0.12 0.5 1 3",
        "",
        "upstreams lowest highest",
        "slow engines, by gateway 2 3",
        "rate limited, by gateway 0 0",
        "",
        "service domain lowest demand highest lowest capacity highest",
        "chat a 90.5 90.5 60 60",
        "",
        "service from to lowest share highest",
        "chat a b 0.25 0.25",
        "",
        "service promised retries kept broken",
        "chat 15 12 -",
    ];
    assert_eq!(lines(&out), expected);
    let cause = format!("no metrics from {gone}: no connection (Connection refused");
    assert!(stderr(&out).contains(&cause), "{}", stderr(&out));
    assert_eq!(stderr(&out).lines().count(), 1, "{}", stderr(&out));
}

/// Guards against a slow engine that is hidden among the paces of all loaders.
#[tokio::test]
async fn names_the_loaders_of_slow_engines_slowest_first() {
    let normal = process(200, "driftnotch_engine_pace 1\n").await;
    let slow = process(200, "driftnotch_engine_pace 1.5\n").await;
    let slowest = process(200, "driftnotch_engine_pace 2.5\n").await;

    let out = load(&[normal, slow, slowest]).await;

    let expected = [
        "3 of 3 processes answered".to_owned(),
        String::new(),
        "upstreams lowest highest".to_owned(),
        "pace of the engine, by loader 1 2.5".to_owned(),
        String::new(),
        "loader of a slow engine pace".to_owned(),
        format!("{slowest} 2.5"),
        format!("{slow} 1.5"),
    ];
    assert_eq!(lines(&out), expected, "{}", stderr(&out));
    assert_eq!(out.status.code(), Some(0));
}

/// Guards against an empty output that looks as if the command had failed.
#[tokio::test]
async fn process_without_these_metrics_is_no_failure() {
    let process = process(200, "driftnotch_store_reached 1\n").await;

    let out = load(&[process]).await;

    assert_eq!(out.status.code(), Some(0), "{}", stderr(&out));
    let expected = [
        "1 of 1 processes answered",
        "no refusals, and none of the metrics that this command shows",
    ];
    assert_eq!(lines(&out), expected);
}

/// Guards against success, or a failure without causes, where no process served metrics.
#[tokio::test]
async fn fails_with_the_cause_of_each_process_if_none_serves_metrics() {
    let (_socket, gone) = unreachable();
    let other_path = process(404, "").await;
    let other_text = process(200, "# one\n<html>\n").await;
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let silent_addr = silent.local_addr().expect("an address");

    let out = load(&[gone, other_path, other_text, silent_addr]).await;

    assert_eq!(out.status.code(), Some(1));
    assert_eq!(lines(&out), Vec::<String>::new());
    let causes = [
        format!("{gone}: no connection (Connection refused"),
        format!("{other_path}: status 404, where 200 is expected"),
        format!("{other_text}: line 2 is not in the Prometheus text format"),
        format!("{silent_addr}: no response within 2s"),
        "no process answered; check that they run".to_owned(),
    ];
    for cause in causes {
        assert!(stderr(&out).contains(&cause), "{cause}: {}", stderr(&out));
    }
}

/// Guards against bad arguments that are taken for others, or rejected without a remedy.
#[test]
fn bad_arguments_exit_with_2_and_name_the_remedy() {
    let cases: [(&[&str], &str); 8] = [
        (&[], "--from IP:PORT[,IP:PORT...] is missing; name"),
        (&["--from"], "see --help"),
        (&["--from", ""], "write as 10.0.0.1:8304"),
        (&["--from", "gateway:1"], "\"gateway:1\" is not an IP"),
        (&["--from", "127.0.0.1"], "\"127.0.0.1\" is not an IP"),
        (&["--from", "127.0.0.1:1,"], "\"\" is not an IP"),
        (
            &["--from", "127.0.0.1:1", "--from", "[::1]:1,127.0.0.1:1"],
            "--from names 127.0.0.1:1 twice; name each process once",
        ),
        (&["--form", "127.0.0.1:1"], "--from IP:PORT"),
    ];
    for (args, message) in cases {
        let out = driftnotch()
            .arg("load")
            .args(args)
            .output()
            .expect("the binary starts");

        assert_eq!(out.status.code(), Some(2), "{args:?}: {}", stderr(&out));
        assert!(stderr(&out).contains(message), "{args:?}: {}", stderr(&out));
        assert!(out.stdout.is_empty(), "{args:?}");
    }
}

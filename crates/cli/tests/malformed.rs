//! Malformed, slow and oversize requests at the ports of entries and agents: each is refused or its connection
//! is closed, no process panics, and other requests are served.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use base::Outcome;
use common::Cluster;
use common::ClusterSpec;
use common::row;
use lab::caller::RequestSpec;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MODEL: &str = "changelog";

/// Number of inputs for each port.
const INPUTS_PER_PORT: usize = 2500;

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 50;

/// Generates inputs: random bytes, requests with malformed heads, and completions with malformed bodies.
fn generate_inputs(n: usize) -> Vec<Vec<u8>> {
    let mut runner = TestRunner::new(cases::cases(n as u32));
    let noise = proptest::collection::vec(proptest::num::u8::ANY, 1..200);
    let line = "(GET|POST|PUT|\\PC{1,6}) (/v1/completions|/services/registry/x|/chunk/zz/9|/have/\\PC{0,9}|\\PC{0,20}) HTTP/1\\.[0-9]\r\n(content-length: [0-9]{1,22}\r\n|transfer-encoding: chunked\r\n|driftnotch-[a-z]{1,8}: [ -~]{0,30}\r\n|[ -~]{0,40}\r\n){0,4}(\r\n)?[ -~]{0,60}";
    let body = "\\{(\"model\": ?(\"changelog\"|[0-9]{1,4}|null),?)?[ -~]{0,60}";
    let completion = body.prop_map(|body: String| {
        let n = body.len();
        format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {n}\r\n\r\n{body}")
            .into_bytes()
    });
    let any = proptest::prop_oneof![noise, line.prop_map(String::into_bytes), completion,];
    (0..n)
        .map(|_| any.new_tree(&mut runner).expect("an input").current())
        .collect()
}

/// Sends the bytes, shuts down its side of the connection and reads to the end. Returns the first line of the
/// response, if there is one.
async fn send_input(to: SocketAddr, input: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(to).await.expect("the port is open");
    let _ = stream.write_all(input).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let read = tokio::time::timeout(common::TIMEOUT, stream.read_to_end(&mut answer)).await;
    assert!(
        read.is_ok(),
        "no end of the response to {:?}",
        String::from_utf8_lossy(input)
    );
    let text = String::from_utf8_lossy(&answer).into_owned();
    text.lines().next().map(str::to_owned)
}

/// Sends all inputs to a port; returns how many got a response.
async fn send_inputs(to: SocketAddr, inputs: Vec<Vec<u8>>) -> usize {
    let mut answered = 0;
    let mut tasks = tokio::task::JoinSet::new();
    for input in inputs {
        if tasks.len() == MAX_CONNECTIONS {
            answered += usize::from(
                tasks
                    .join_next()
                    .await
                    .expect("a task")
                    .expect("an input was sent"),
            );
        }
        tasks.spawn(async move { send_input(to, &input).await.is_some() });
    }
    while let Some(result) = tasks.join_next().await {
        answered += usize::from(result.expect("an input was sent"));
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn survives_ten_thousand_malformed_inputs() {
    let lines = vec![
        "header_timeout: 500ms".to_owned(),
        "body_timeout: 500ms".to_owned(),
    ];
    let spec = ClusterSpec {
        entries: 1,
        engines: 1,
        entry_lines: lines.clone(),
        agent_lines: lines,
        ..ClusterSpec::default()
    };
    let mut cluster = Cluster::start(spec).await;
    let version = cluster.publish(1, 100_000);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster.wait_ready(MODEL, &version.to_string(), 1).await;
    let (entry, agent) = (cluster.entry(0), cluster.upstream(0));
    let ports = [
        entry.listen,
        cluster.layout.listen_addr(entry.control),
        cluster.layout.listen_addr(agent.listen),
        cluster.layout.listen_addr(agent.peer),
    ];
    let mut all = generate_inputs(INPUTS_PER_PORT * ports.len());
    for (i, port) in ports.into_iter().enumerate() {
        let answered = send_inputs(port, all.split_off(all.len() - INPUTS_PER_PORT)).await;
        println!(
            "{port}: {answered} of {INPUTS_PER_PORT} got a response, the others a closed connection"
        );
        let s = cluster
            .send(0, &RequestSpec::completion(MODEL, &format!("after{i}")))
            .await;
        assert_eq!(s.reply.outcome, Some(Outcome::Done), "{s:?}");
    }
    for vm in [entry.vm, agent.vm] {
        assert!(
            !cluster.log(&vm).contains("panicked"),
            "{}",
            cluster.log(&vm)
        );
        cluster.signal(&vm, "TERM");
        assert_eq!(cluster.wait_exit(&vm).await, Some(0));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_slow_and_oversize_requests_and_serves_others() {
    let lines = vec![
        "header_timeout: 300ms".to_owned(),
        "body_timeout: 300ms".to_owned(),
        "max_body: 4KiB".to_owned(),
    ];
    let cluster = Cluster::start(ClusterSpec {
        entry_lines: lines,
        ..ClusterSpec::default()
    })
    .await;
    let version = cluster.publish(1, 100_000);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster.wait_ready(MODEL, &version.to_string(), 2).await;
    let to = cluster.entry(0).listen;
    let mut slow_head = TcpStream::connect(to).await.expect("open");
    slow_head.write_all(b"POST /v1/compl").await.expect("sent");
    let mut slow_body = TcpStream::connect(to).await.expect("open");
    let head = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
    slow_body.write_all(head).await.expect("sent");
    let others = cluster
        .send(0, &RequestSpec::completion(MODEL, "others"))
        .await;
    assert_eq!(others.reply.outcome, Some(Outcome::Done), "{others:?}");
    let read = async |mut stream: TcpStream| {
        let mut answer = vec![0; 4096];
        let read = tokio::time::timeout(Duration::from_secs(20), stream.read(&mut answer));
        let n = read.await.expect("ended").unwrap_or(0);
        String::from_utf8_lossy(&answer[..n]).into_owned()
    };
    let timed_out = read(slow_body).await;
    assert!(
        timed_out.starts_with("HTTP/1.1 408") && timed_out.contains("driftnotch-outcome: not-run"),
        "{timed_out}"
    );
    let closed = read(slow_head).await;
    assert!(
        closed.is_empty() || closed.starts_with("HTTP/1.1 4"),
        "{closed}"
    );
    let large = RequestSpec::completion(MODEL, &"x".repeat(8000));
    let s = cluster.send(0, &large).await;
    assert_eq!(
        (s.reply.status, s.reply.code.as_str()),
        (413, "too_large"),
        "{s:?}"
    );
    cluster.check_outcomes(&[s, others]);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_malformed_requests_with_a_code_and_a_message() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let version = cluster.publish(1, 100_000);
    cluster.apply(&[row(MODEL, version, "recife")]).await;
    cluster.wait_ready(MODEL, &version.to_string(), 2).await;
    let cases = [
        ("/v1/other", "x-a: b", "{}", 404, "no_path"),
        ("/v1/completions", "x-a: b", "no json", 400, "malformed"),
        (
            "/v1/completions",
            "x-a: b",
            "{\"model\":\"nosuch\"}",
            404,
            "no_model",
        ),
        (
            "/v1/completions",
            "driftnotch-unsafe: maybe",
            "{}",
            400,
            "malformed",
        ),
        (
            "/v1/completions",
            "driftnotch-deadline-ms: 0",
            "{}",
            400,
            "malformed",
        ),
        (
            "/v1/completions",
            "driftnotch-priority: 11",
            "{}",
            400,
            "malformed",
        ),
        (
            "/v1/completions",
            "driftnotch-workspace: a b",
            "{}",
            400,
            "malformed",
        ),
    ];
    for (path, head, body, status, code) in cases {
        let (name, value) = head.split_once(": ").expect("a header");
        let req = hyper::Request::builder()
            .method("POST")
            .uri(path)
            .header(name, value)
            .body(web::full(body))
            .expect("a request");
        let res = cluster
            .client
            .send(cluster.entry(0).listen, req, common::TIMEOUT)
            .await
            .expect("answered");
        assert_eq!(res.status().as_u16(), status, "{path} {head} {body}");
        assert_eq!(
            web::header(res.headers(), base::header::OUTCOME),
            Some("not-run")
        );
        let buf = web::read_body(res.into_body(), 1 << 20, common::TIMEOUT)
            .await
            .expect("a body");
        let json: serde_json::Value = serde_json::from_slice(&buf).expect("JSON");
        assert_eq!(json["error"]["code"], code);
        assert!(
            !json["error"]["message"]
                .as_str()
                .expect("a message")
                .is_empty()
        );
    }
}

//! A caller: sends requests and holds each answer against what was asked.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{Outcome, header};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use serde::de::DeserializeOwned;
use web::{Client, SendError, read_body};

use crate::standin::engine::complete_text;

/// Longest wait for JSON, and its largest size in bytes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// What to ask for.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Model or service.
    pub model: String,
    /// Word that only this request's answer may contain.
    pub marker: String,
    /// Tokens.
    pub tokens: u32,
    /// Whether to stream.
    pub stream: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether to mark it unsafe.
    pub mark_unsafe: bool,
    /// Workspace.
    pub workspace: String,
    /// Time given.
    pub deadline: Duration,
    /// Method and path, for a plain service.
    pub service: Option<(Method, String)>,
}

impl RequestSpec {
    /// A completion.
    pub fn completion(model: &str, marker: &str) -> RequestSpec {
        RequestSpec {
            model: model.to_owned(),
            marker: marker.to_owned(),
            tokens: 4,
            stream: false,
            key: None,
            mark_unsafe: false,
            workspace: "bench".to_owned(),
            deadline: Duration::from_secs(10),
            service: None,
        }
    }

    /// A call of a plain service.
    pub fn service(name: &str, method: Method, path: &str, marker: &str) -> RequestSpec {
        RequestSpec {
            service: Some((method, path.to_owned())),
            ..RequestSpec::completion(name, marker)
        }
    }

    fn request(&self) -> Request<web::Body> {
        let (method, path, body) = match &self.service {
            Some((method, path)) => {
                let path = format!("/services/{}{path}", self.model);
                (method.clone(), path, self.marker.clone())
            }
            None => {
                let (model, marker, tokens, stream) =
                    (&self.model, &self.marker, self.tokens, self.stream);
                let body = format!(
                    "{{\"model\":\"{model}\",\"prompt\":\"{marker} please\",\"max_tokens\":{tokens},\"stream\":{stream}}}"
                );
                (Method::POST, "/v1/completions".to_owned(), body)
            }
        };
        let mut req = Request::new(web::full(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().expect("a path");
        let headers = req.headers_mut();
        web::set_header(headers, "content-type", "application/json");
        web::set_header(headers, header::WORKSPACE, &self.workspace);
        web::set_header(
            headers,
            header::DEADLINE,
            &self.deadline.as_millis().to_string(),
        );
        if let Some(key) = &self.key {
            web::set_header(headers, header::IDEMPOTENCY_KEY, key);
        }
        if self.mark_unsafe {
            web::set_header(headers, header::UNSAFE, "true");
        }
        req
    }
}

/// What came back.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status; 0 where none came.
    pub status: u16,
    /// Outcome told, at the end where that differs from the head; `None` where none was told.
    pub outcome: Option<Outcome>,
    /// Code of an error.
    pub code: String,
    /// Seconds to come back after.
    pub retry_after: Option<u64>,
    /// Whether the answer was a recorded one.
    pub replayed: bool,
    /// Failure domain that ran it.
    pub ran_in: String,
    /// Version that ran it.
    pub version: String,
    /// Body.
    pub body: String,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Time to the end.
    pub elapsed: Duration,
}

impl Reply {
    /// What is wrong with an answer that says `done`; `None` where it is right and whole.
    pub fn mismatch(&self, ask: &RequestSpec) -> Option<String> {
        if self.outcome != Some(Outcome::Done) {
            return None;
        }
        let right = match (&ask.service, ask.stream) {
            (Some(_), _) => self.body.contains(&ask.marker),
            (None, true) => {
                streamed_text(&self.body) == complete_text(&ask.marker, ask.tokens)
                    && self.body.ends_with("data: [DONE]\n\n")
            }
            (None, false) => self.body.contains(&complete_text(&ask.marker, ask.tokens)),
        };
        (!right).then(|| format!("{} got {:?}", ask.marker, self.body))
    }
}

/// Sends a request to an entry and reads all of its answer.
pub async fn send(client: &Client, to: SocketAddr, ask: &RequestSpec) -> Reply {
    let begun = Instant::now();
    let within = ask.deadline + Duration::from_secs(5);
    match client.send(to, ask.request(), within).await {
        Ok(res) => read(res, begun).await,
        Err(e) => Reply {
            status: 0,
            // No byte went out: the caller knows by itself that nothing ran.
            outcome: matches!(e, SendError::NotSent(..)).then_some(Outcome::NotRun),
            code: e.to_string(),
            retry_after: None,
            replayed: false,
            ran_in: String::new(),
            version: String::new(),
            body: String::new(),
            first_byte: begun.elapsed(),
            elapsed: begun.elapsed(),
        },
    }
}

async fn read(res: hyper::Response<hyper::body::Incoming>, begun: Instant) -> Reply {
    let (head, mut body) = res.into_parts();
    let text = |name: &str| {
        web::header(&head.headers, name)
            .unwrap_or_default()
            .to_owned()
    };
    let mut buf = Vec::new();
    let mut first_byte = None;
    let mut broken = false;
    while let Some(frame) = body.frame().await {
        match frame.map(|f| f.into_data()) {
            Ok(Ok(data)) => {
                first_byte.get_or_insert_with(|| begun.elapsed());
                buf.extend_from_slice(&data);
            }
            Ok(Err(_)) => {}
            Err(_) => {
                broken = true;
                break;
            }
        }
    }
    let body = String::from_utf8_lossy(&Bytes::from(buf)).into_owned();
    let outcome = match text("content-type").starts_with("text/event-stream") {
        _ if broken => None,
        true => last_outcome(&body).or(Outcome::parse(&text(header::OUTCOME))),
        false => Outcome::parse(&text(header::OUTCOME)),
    };
    Reply {
        status: head.status.as_u16(),
        outcome,
        code: code(&body),
        retry_after: text("retry-after").parse().ok(),
        replayed: text(header::REPLAYED) == "true",
        ran_in: text(header::RAN_IN),
        version: text(header::VERSION),
        first_byte: first_byte.unwrap_or_else(|| begun.elapsed()),
        elapsed: begun.elapsed(),
        body,
    }
}

/// The outcome of the last event of a stream.
fn last_outcome(body: &str) -> Option<Outcome> {
    let (_, rest) = body.rsplit_once("event: outcome\ndata: ")?;
    let json: serde_json::Value = serde_json::from_str(rest.lines().next()?).ok()?;
    Outcome::parse(json["outcome"].as_str()?)
}

fn code(body: &str) -> String {
    let json: Option<serde_json::Value> = serde_json::from_str(body).ok();
    let code = json.as_ref().and_then(|j| j["error"]["code"].as_str());
    code.unwrap_or_default().to_owned()
}

/// The text of a stream's tokens.
fn streamed_text(body: &str) -> String {
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    lines
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|json| json["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

/// Asks an address for JSON; `None` where none comes.
pub async fn get_json<T: DeserializeOwned>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
) -> Option<T> {
    let req = Request::builder().uri(path).body(web::empty()).ok()?;
    let res = client.send(addr, req, RESPONSE_TIMEOUT).await.ok()?;
    let buf = read_body(res.into_body(), MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT)
        .await
        .ok()?;
    serde_json::from_slice(&buf).ok()
}

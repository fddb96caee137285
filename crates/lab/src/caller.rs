//! Client that sends requests to an entry and checks each response against its request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::{Outcome, header};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use serde::de::DeserializeOwned;
use web::{Client, SendError, read_body};

use crate::standin::engine::complete_text;

/// Timeout and maximum size, in bytes, of a JSON response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Specification of a request.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Model or service.
    pub model: String,
    /// Word that only the response to this request may contain.
    pub marker: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the request is marked unsafe.
    pub mark_unsafe: bool,
    /// Workspace.
    pub workspace: String,
    /// Deadline, relative to sending.
    pub deadline: Duration,
    /// Method and path of a call to a plain service; `None` for a completion.
    pub service: Option<(Method, String)>,
}

impl RequestSpec {
    /// Creates a completion of 4 tokens with a deadline of 10 s.
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

    /// Creates a call to a plain service.
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
        *req.uri_mut() = path.parse().expect("the path is a valid URI");
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

/// Response to a request, read to its end.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status; 0 without a response.
    pub status: u16,
    /// Reported outcome, from the last event of a stream if it has one, else from the head; `not-run`
    /// if the request was never sent; `None` if none was reported or the response broke off.
    pub outcome: Option<Outcome>,
    /// Error code.
    pub code: String,
    /// Value of `retry-after`, in seconds.
    pub retry_after: Option<u64>,
    /// Whether the response was replayed from a record.
    pub replayed: bool,
    /// Failure domain that ran the request.
    pub ran_in: String,
    /// Version that ran the request.
    pub version: String,
    /// Body.
    pub body: String,
    /// Time to the first part of the body.
    pub first_byte: Duration,
    /// Time to the end of the response.
    pub elapsed: Duration,
}

impl Reply {
    /// Describes what is wrong with a response of outcome `done`; `None` if it is correct and
    /// complete, or has another outcome.
    pub fn mismatch(&self, spec: &RequestSpec) -> Option<String> {
        if self.outcome != Some(Outcome::Done) {
            return None;
        }
        let is_correct = match (&spec.service, spec.stream) {
            (Some(_), _) => self.body.contains(&spec.marker),
            (None, true) => {
                streamed_text(&self.body) == complete_text(&spec.marker, spec.tokens)
                    && self.body.ends_with("data: [DONE]\n\n")
            }
            (None, false) => self
                .body
                .contains(&complete_text(&spec.marker, spec.tokens)),
        };
        (!is_correct).then(|| format!("{} got {:?}", spec.marker, self.body))
    }
}

/// Sends a request to an entry and reads the complete response.
pub async fn send(client: &Client, to: SocketAddr, spec: &RequestSpec) -> Reply {
    let start = Instant::now();
    let timeout = spec.deadline + Duration::from_secs(5);
    match client.send(to, spec.request(), timeout).await {
        Ok(res) => read_reply(res, start).await,
        Err(e) => Reply {
            status: 0,
            // No byte was sent, which proves to the caller that nothing ran.
            outcome: matches!(e, SendError::NotSent(..)).then_some(Outcome::NotRun),
            code: e.to_string(),
            retry_after: None,
            replayed: false,
            ran_in: String::new(),
            version: String::new(),
            body: String::new(),
            first_byte: start.elapsed(),
            elapsed: start.elapsed(),
        },
    }
}

async fn read_reply(res: hyper::Response<hyper::body::Incoming>, start: Instant) -> Reply {
    let (head, mut body) = res.into_parts();
    let text = |name: &str| {
        web::header(&head.headers, name)
            .unwrap_or_default()
            .to_owned()
    };
    let mut buf = Vec::new();
    let mut first_byte = None;
    let mut is_interrupted = false;
    while let Some(frame) = body.frame().await {
        match frame.map(|f| f.into_data()) {
            Ok(Ok(data)) => {
                first_byte.get_or_insert_with(|| start.elapsed());
                buf.extend_from_slice(&data);
            }
            Ok(Err(_)) => {}
            Err(_) => {
                is_interrupted = true;
                break;
            }
        }
    }
    let body = String::from_utf8_lossy(&Bytes::from(buf)).into_owned();
    let outcome = match text("content-type").starts_with("text/event-stream") {
        _ if is_interrupted => None,
        true => last_outcome(&body).or(Outcome::parse(&text(header::OUTCOME))),
        false => Outcome::parse(&text(header::OUTCOME)),
    };
    Reply {
        status: head.status.as_u16(),
        outcome,
        code: error_code(&body),
        retry_after: text("retry-after").parse().ok(),
        replayed: text(header::REPLAYED) == "true",
        ran_in: text(header::RAN_IN),
        version: text(header::VERSION),
        first_byte: first_byte.unwrap_or_else(|| start.elapsed()),
        elapsed: start.elapsed(),
        body,
    }
}

/// Returns the outcome in the last event of a stream.
fn last_outcome(body: &str) -> Option<Outcome> {
    let (_, rest) = body.rsplit_once("event: outcome\ndata: ")?;
    let json: serde_json::Value = serde_json::from_str(rest.lines().next()?).ok()?;
    Outcome::parse(json["outcome"].as_str()?)
}

fn error_code(body: &str) -> String {
    let json: Option<serde_json::Value> = serde_json::from_str(body).ok();
    let code = json.as_ref().and_then(|j| j["error"]["code"].as_str());
    code.unwrap_or_default().to_owned()
}

/// Returns the concatenated text of the tokens of a stream.
fn streamed_text(body: &str) -> String {
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    lines
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|json| json["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

/// Fetches JSON from an address; `None` if the request fails or the body does not parse.
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

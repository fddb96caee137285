//! Parsing and validation of a caller's request.

use std::time::{Duration, Instant};

use base::{Digest, Model, RequestId, Workspace, header, new_request_id};
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use serde::Deserialize;
use settings::EntryCfg;
use web::{BodyError, Request, read_body};

use crate::refusal::Refusal;

/// Workspace of requests that name none.
const DEFAULT_WORKSPACE: &str = "none";

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// Path prefix of requests to plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Paths of completion requests.
const COMPLETION_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

/// Request headers that are forwarded to the upstream.
const FORWARDED_HEADERS: [&str; 6] = [
    "content-type",
    "accept",
    "if-none-match",
    "if-match",
    "range",
    "authorization",
];

/// Whether a request may be sent again after a first attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request may be retried.
    Retryable,
    /// The request is sent once; a retry by the caller is a new request.
    SendOnce,
    /// The request runs at most once for its idempotency key.
    Keyed(String),
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request id.
    pub id: RequestId,
    /// Name of the model or plain service.
    pub model: Model,
    /// Whether the request is for a plain service.
    pub is_service: bool,
    /// Workspace.
    pub workspace: Workspace,
    /// Method.
    pub method: Method,
    /// Path and query at the upstream.
    pub path: String,
    /// Forwarded headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the caller requested an event stream.
    pub wants_stream: bool,
    /// Whether it may be sent again after a first attempt.
    pub retry_safety: RetrySafety,
    /// Priority requested by the caller, which can only lower the row's.
    pub priority: Option<u8>,
    /// Arrival time.
    pub arrived_at: Instant,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Hash of the prompt's prefix; 0 without a prompt.
    pub prefix_hash: u64,
}

/// Fields of a completion request's body that the entry reads.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: Option<serde_json::Value>,
    #[serde(default)]
    messages: Option<serde_json::Value>,
}

impl CallerRequest {
    /// Reads a request and its body, within the limits of the settings.
    pub async fn read(req: Request, cfg: &EntryCfg) -> Result<CallerRequest, Refusal> {
        let arrived_at = clock::now();
        let (head, body) = req.into_parts();
        let path = head.uri.path().to_owned();
        let is_completion = COMPLETION_PATHS.contains(&path.as_str());
        let service = path.strip_prefix(SERVICES_PREFIX).map(str::to_owned);
        if !is_completion && service.is_none() {
            return Err(Refusal::NoPath);
        }
        let timeout = cfg.process.body_timeout;
        let body = read_body(body, cfg.process.max_body, timeout)
            .await
            .map_err(|e| match e {
                BodyError::TooLarge(limit) => Refusal::TooLarge(limit),
                BodyError::TimedOut(timeout) => Refusal::SlowBody(timeout),
                e => Refusal::Malformed(e.to_string()),
            })?;
        let mut request = CallerRequest {
            id: new_request_id(),
            model: String::new(),
            is_service: !is_completion,
            workspace: parse_workspace(&head.headers)?,
            retry_safety: parse_retry_safety(&head.headers, &head.method, !is_completion)?,
            priority: parse_priority(&head.headers)?,
            headers: forwarded_headers(&head.headers),
            method: head.method,
            path,
            body,
            wants_stream: false,
            arrived_at,
            deadline: arrived_at + parse_deadline(&head.headers, cfg)?,
            prefix_hash: 0,
        };
        match service {
            Some(rest) => request.apply_service(&rest, head.uri.query())?,
            None => request.apply_completion(cfg.prefix_bytes as usize)?,
        }
        Ok(request)
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// Returns whether the request must run at most once.
    pub fn is_unsafe(&self) -> bool {
        self.retry_safety != RetrySafety::Retryable
    }

    /// Returns the digest of the content that an idempotency key is bound to.
    pub fn content_digest(&self) -> Digest {
        let mut buf = Vec::with_capacity(self.body.len() + 256);
        for part in [self.method.as_str(), &self.path, &self.model] {
            buf.extend_from_slice(part.as_bytes());
            buf.push(0);
        }
        buf.extend_from_slice(&self.body);
        Digest::of(&buf)
    }

    fn apply_service(&mut self, rest: &str, query: Option<&str>) -> Result<(), Refusal> {
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        if name.is_empty() {
            return Err(Refusal::NoPath);
        }
        self.model = name.to_owned();
        self.path = match query {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        Ok(())
    }

    fn apply_completion(&mut self, prefix_bytes: usize) -> Result<(), Refusal> {
        if self.method != Method::POST {
            return Err(Refusal::Malformed(
                "a completion is asked for by POST".into(),
            ));
        }
        let completion: Completion = serde_json::from_slice(&self.body)
            .map_err(|e| Refusal::Malformed(format!("the body is no completion request ({e})")))?;
        let prompt = completion.prompt.or(completion.messages);
        self.prefix_hash = hash_prefix(prompt, prefix_bytes);
        self.model = completion.model;
        self.wants_stream = completion.stream;
        Ok(())
    }
}

fn hash_prefix(prompt: Option<serde_json::Value>, bytes: usize) -> u64 {
    let text = match prompt {
        Some(serde_json::Value::String(s)) => s,
        Some(value) => value.to_string(),
        None => return 0,
    };
    let start = &text.as_bytes()[..text.len().min(bytes)];
    if start.is_empty() {
        return 0;
    }
    let digest = Digest::of(start);
    let first: [u8; 8] = digest.as_bytes()[..8]
        .try_into()
        .expect("eight of 32 bytes");
    u64::from_le_bytes(first)
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    FORWARDED_HEADERS
        .iter()
        .filter_map(|name| {
            let name = hyper::header::HeaderName::from_static(name);
            headers.get(&name).map(|value| (name, value.clone()))
        })
        .collect()
}

fn parse_workspace(headers: &HeaderMap) -> Result<Workspace, Refusal> {
    let name = match headers.get(header::WORKSPACE) {
        None => return Ok(DEFAULT_WORKSPACE.to_owned()),
        Some(value) => value.to_str().unwrap_or_default(),
    };
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed) {
        true => Ok(name.to_owned()),
        false => Err(malformed(
            header::WORKSPACE,
            "1 to 64 letters, digits, '-', '_' and '.'",
        )),
    }
}

fn parse_retry_safety(
    headers: &HeaderMap,
    method: &Method,
    is_service: bool,
) -> Result<RetrySafety, Refusal> {
    let key = match headers.get(header::IDEMPOTENCY_KEY) {
        None => None,
        Some(value) => match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Some(key.to_owned()),
            _ => {
                return Err(malformed(
                    header::IDEMPOTENCY_KEY,
                    "1 to 255 visible ASCII characters",
                ));
            }
        },
    };
    let marked_unsafe = match headers.get(header::UNSAFE).map(|v| v.as_bytes()) {
        None | Some(b"false") => false,
        Some(b"true") => true,
        Some(_) => return Err(malformed(header::UNSAFE, "true or false")),
    };
    let unsafe_method = is_service && !method.is_idempotent();
    Ok(match key {
        Some(key) => RetrySafety::Keyed(key),
        None if marked_unsafe || unsafe_method => RetrySafety::SendOnce,
        None => RetrySafety::Retryable,
    })
}

fn parse_priority(headers: &HeaderMap) -> Result<Option<u8>, Refusal> {
    match web::header(headers, header::PRIORITY).map(str::parse::<u8>) {
        None => Ok(None),
        Some(Ok(n)) if n <= 9 => Ok(Some(n)),
        Some(_) => Err(malformed(header::PRIORITY, "a number from 0 to 9")),
    }
}

fn parse_deadline(headers: &HeaderMap, cfg: &EntryCfg) -> Result<Duration, Refusal> {
    match web::header(headers, header::DEADLINE).map(str::parse::<u64>) {
        None => Ok(cfg.default_deadline),
        Some(Ok(ms)) if ms > 0 => Ok(Duration::from_millis(ms).min(cfg.max_deadline)),
        Some(_) => Err(malformed(
            header::DEADLINE,
            "a whole number of milliseconds above 0",
        )),
    }
}

fn malformed(name: &str, wanted: &str) -> Refusal {
    Refusal::Malformed(format!("the header {name} needs {wanted}"))
}

//! Stand-in for a model engine: loads versions from staged chunks and serves completions.
//!
//! Every token of a response repeats the first word of the prompt, which lets a caller recognize its
//! own response and check that it is complete. The engine records its runs in a ledger. Its prompt
//! cache is limited, and it batches: the more requests run, the longer a token takes. Agents poll its
//! load, which makes load reports lag.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agent::engine::{EngineState, LoadOrder, Staged, UnloadOrder};
use base::{Digest, Map, Set, header, unix_ms};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{HeaderMap, Method};
use serde::{Deserialize, Serialize};
use web::{Request, Response, StopSignal, read_body};

use super::fault::SharedFaults;
use super::platform::fault_request;

/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Maximum time to read a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Tokens of a response if the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 8;

/// Prompt prefixes that fit into the cache.
const CACHE_CAPACITY: usize = 32;

/// Prefill time of a prompt without a cached prefix, in multiples of the time of a token.
const PREFILL_TOKENS: f64 = 10.0;

/// Share of the time of a token that each further running request adds.
const BATCH_COST: f64 = 0.05;

/// Behaviour of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Whether orders with an old fencing number are rejected.
    pub enforces_fencing: bool,
    /// Time per token while one request runs.
    pub token: Duration,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time that loading a version takes.
    pub load: Duration,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            enforces_fencing: true,
            token: Duration::from_millis(2),
            slots: 64,
            load: Duration::from_millis(50),
        }
    }
}

/// A run in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Request id.
    pub request: String,
    /// First word of the prompt.
    pub marker: String,
    /// Version of the model.
    pub version: Digest,
    /// Whether the run completed.
    pub ended: bool,
}

#[derive(Debug, Default)]
struct Inner {
    incarnation: u64,
    staged: Map<Digest, Map<u32, Digest>>,
    loaded: Set<Digest>,
    fence: u64,
    running: u32,
    ledger: Vec<Run>,
    cache: Vec<u64>,
    cache_hits: u64,
    slowdown: Option<f64>,
}

/// A running engine.
#[derive(Debug, Clone)]
pub struct Engine {
    behaviour: Behaviour,
    /// Faults.
    pub faults: SharedFaults,
    inner: Arc<Mutex<Inner>>,
}

/// The fields of a completion request that the engine reads.
#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
}

impl Engine {
    /// Starts an engine on an address.
    pub async fn start(
        addr: SocketAddr,
        behaviour: Behaviour,
        stop: StopSignal,
    ) -> std::io::Result<Engine> {
        let engine = Engine {
            behaviour,
            faults: SharedFaults::default(),
            inner: Arc::default(),
        };
        engine.inner().incarnation = unix_ms();
        let handler_engine = engine.clone();
        super::serve(addr, stop, move |req| handle(handler_engine.clone(), req)).await?;
        Ok(engine)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Simulates a restart: a new incarnation without staged or loaded versions. The ledger stays,
    /// because the bench checks responses against all runs.
    pub fn restart(&self) {
        let mut inner = self.inner();
        inner.incarnation += 1;
        inner.staged.clear();
        inner.loaded.clear();
        inner.cache.clear();
    }

    /// Multiplies the time of every token by a factor.
    pub fn slow_down(&self, factor: f64) {
        self.inner().slowdown = Some(factor);
    }

    /// Returns the number of requests whose prompt prefix was cached.
    pub fn cache_hits(&self) -> u64 {
        self.inner().cache_hits
    }

    /// Returns the recorded runs.
    pub fn ledger(&self) -> Vec<Run> {
        self.inner().ledger.clone()
    }

    /// Returns whether a version is loaded.
    pub fn has_loaded(&self, version: &Digest) -> bool {
        self.inner().loaded.contains(version)
    }

    /// Returns the number of staged chunks of a version.
    pub fn staged_chunks(&self, version: &Digest) -> usize {
        self.inner()
            .staged
            .get(version)
            .map_or(0, |chunks| chunks.len())
    }

    /// Returns the state as served at `/state`.
    pub fn state(&self) -> EngineState {
        let inner = self.inner();
        EngineState {
            incarnation: inner.incarnation,
            loaded: inner.loaded.iter().copied().collect(),
            staged: inner
                .staged
                .iter()
                .map(|(version, chunks)| Staged {
                    version: *version,
                    chunks: chunks.keys().copied().collect(),
                })
                .collect(),
            fence: inner.fence,
            running: inner.running,
        }
    }

    /// Accepts the fencing number of an order, or returns the response that rejects the order.
    fn check_fence(&self, headers: &HeaderMap) -> Option<Response> {
        let fence: u64 = web::header(headers, header::ENGINE_FENCE)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let mut inner = self.inner();
        if fence < inner.fence && self.behaviour.enforces_fencing {
            let mut res = web::text(412, "old fencing number\n");
            web::set_header(
                res.headers_mut(),
                header::ENGINE_FENCE,
                &inner.fence.to_string(),
            );
            return Some(res);
        }
        inner.fence = inner.fence.max(fence);
        None
    }

    fn stage(&self, version: Digest, chunk: u32, buf: &[u8]) -> Response {
        let digest = Digest::of(buf);
        let mut inner = self.inner();
        inner
            .staged
            .entry(version)
            .or_default()
            .insert(chunk, digest);
        web::text(204, "")
    }

    async fn load(&self, order: LoadOrder) -> Response {
        tokio::time::sleep(self.behaviour.load).await;
        let mut inner = self.inner();
        let is_complete = inner.staged.get(&order.version).is_some_and(|staged| {
            let chunks = order.manifest.chunks.iter().enumerate();
            order.manifest.digest() == order.version
                && chunks
                    .clone()
                    .all(|(i, c)| staged.get(&(i as u32)) == Some(c))
        });
        if !is_complete {
            return web::text(422, "not all chunks are staged, or some are wrong\n");
        }
        inner.loaded.insert(order.version);
        inner.staged.remove(&order.version);
        web::text(200, "loaded\n")
    }

    fn unload(&self, order: &UnloadOrder) -> Response {
        let mut inner = self.inner();
        inner.loaded.remove(&order.version);
        inner.staged.remove(&order.version);
        web::text(200, "dropped\n")
    }

    /// Starts a run, or rejects it; returns its index in the ledger and its version.
    fn start_run(
        &self,
        headers: &HeaderMap,
        completion: &Completion,
    ) -> Result<(usize, Digest), Box<Response>> {
        let version = web::header(headers, header::ENGINE_DIGEST).and_then(|s| s.parse().ok());
        let mut inner = self.inner();
        let Some(version) = version.filter(|v| inner.loaded.contains(v)) else {
            return Err(Box::new(web::text(409, "the version is not loaded\n")));
        };
        if inner.running >= self.behaviour.slots {
            return Err(Box::new(web::text(429, "all slots are taken\n")));
        }
        inner.running += 1;
        let run = Run {
            request: web::header(headers, header::ENGINE_REQUEST)
                .unwrap_or_default()
                .to_owned(),
            marker: marker(&completion.prompt).to_owned(),
            version,
            ended: false,
        };
        inner.ledger.push(run);
        Ok((inner.ledger.len() - 1, version))
    }

    /// Returns the time to the first token, which is shorter if the prompt prefix is cached; adds the
    /// prefix to the cache.
    fn time_to_first_token(&self, prompt: &str) -> Duration {
        let prefix = &prompt.as_bytes()[..prompt.len().min(64)];
        let digest = Digest::of(prefix);
        let prefix = u64::from_le_bytes(
            digest.as_bytes()[..8]
                .try_into()
                .expect("the slice has 8 bytes"),
        );
        let mut inner = self.inner();
        let hit = inner.cache.contains(&prefix);
        inner.cache.retain(|p| *p != prefix);
        inner.cache.push(prefix);
        if inner.cache.len() > CACHE_CAPACITY {
            inner.cache.remove(0);
        }
        inner.cache_hits += u64::from(hit);
        let tokens = if hit { 1.0 } else { PREFILL_TOKENS };
        self.behaviour
            .token
            .mul_f64(tokens * inner.slowdown.unwrap_or(1.0))
    }

    /// Returns the time per token at the current batch size.
    fn time_per_token(&self) -> Duration {
        let inner = self.inner();
        let batch = 1.0 + f64::from(inner.running.max(1) - 1) * BATCH_COST;
        self.behaviour
            .token
            .mul_f64(batch * inner.slowdown.unwrap_or(1.0))
    }
}

/// A run that occupies a slot until dropped.
struct RunGuard {
    engine: Engine,
    index: usize,
    is_completed: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut inner = self.engine.inner();
        inner.running = inner.running.saturating_sub(1);
        let is_completed = self.is_completed;
        if let Some(run) = inner.ledger.get_mut(self.index) {
            run.ended = is_completed;
        }
    }
}

async fn handle(engine: Engine, req: Request) -> Response {
    if let Some(set_faults) = fault_request(&engine.faults, &req) {
        return set_faults.apply(&engine.faults, req).await;
    }
    if let Some(res) = engine.faults.apply_to_request().await {
        return res;
    }
    let (head, body) = req.into_parts();
    let path = head.uri.path().to_owned();
    let Ok(buf) = read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await else {
        return web::text(400, "bad body\n");
    };
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (head.method, parts.as_slice()) {
        (Method::GET, ["state"]) => json(&engine.state()),
        (Method::GET, ["ledger"]) => json(&engine.ledger()),
        (Method::PUT, ["stage", version, chunk]) => {
            match (
                engine.check_fence(&head.headers),
                version.parse(),
                chunk.parse(),
            ) {
                (Some(rejection), ..) => rejection,
                (None, Ok(version), Ok(chunk)) => engine.stage(version, chunk, &buf),
                _ => web::text(400, "no version or chunk\n"),
            }
        }
        (Method::POST, ["load"]) => {
            match (
                engine.check_fence(&head.headers),
                serde_json::from_slice(&buf),
            ) {
                (Some(rejection), _) => rejection,
                (None, Ok(order)) => engine.load(order).await,
                (None, Err(e)) => web::text(400, format!("{e}\n")),
            }
        }
        (Method::POST, ["unload"]) => {
            match (
                engine.check_fence(&head.headers),
                serde_json::from_slice(&buf),
            ) {
                (Some(rejection), _) => rejection,
                (None, Ok(order)) => engine.unload(&order),
                (None, Err(e)) => web::text(400, format!("{e}\n")),
            }
        }
        (Method::POST, ["v1", ..]) => handle_completion(engine, &head.headers, &buf).await,
        _ => web::text(404, "no such path\n"),
    }
}

fn json(value: &impl Serialize) -> Response {
    web::json(
        200,
        serde_json::to_string(value).expect("the value serializes"),
    )
}

async fn handle_completion(engine: Engine, headers: &HeaderMap, buf: &[u8]) -> Response {
    let completion: Completion = match serde_json::from_slice(buf) {
        Ok(completion) => completion,
        Err(e) => return web::text(400, format!("{e}\n")),
    };
    let (index, version) = match engine.start_run(headers, &completion) {
        Ok(run) => run,
        Err(rejection) => return *rejection,
    };
    let mut running = RunGuard {
        engine: engine.clone(),
        index,
        is_completed: false,
    };
    let tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    tokio::time::sleep(engine.time_to_first_token(&completion.prompt)).await;
    let mut res = match completion.stream {
        true => event_stream(running, marker(&completion.prompt).to_owned(), tokens),
        false => {
            for _ in 1..tokens {
                tokio::time::sleep(engine.time_per_token()).await;
            }
            running.is_completed = true;
            web::json(200, completion_json(marker(&completion.prompt), tokens))
        }
    };
    let request = web::header(headers, header::ENGINE_REQUEST).unwrap_or_default();
    web::set_header(res.headers_mut(), header::ENGINE_REQUEST, request);
    web::set_header(
        res.headers_mut(),
        header::ENGINE_DIGEST,
        &version.to_string(),
    );
    res
}

fn event_stream(running: RunGuard, marker: String, tokens: u32) -> Response {
    let frames = stream::unfold((running, 0), move |(mut running, i)| {
        let marker = marker.clone();
        async move {
            let text = match i {
                i if i < tokens => {
                    if i > 0 {
                        let time = running.engine.time_per_token();
                        tokio::time::sleep(time).await;
                    }
                    token_event(&token_text(&marker, i))
                }
                i if i == tokens => {
                    running.is_completed = true;
                    "data: [DONE]\n\n".to_owned()
                }
                _ => return None,
            };
            let frame = Frame::data(Bytes::from(text));
            Some((Ok::<_, web::BodyError>(frame), (running, i + 1)))
        }
    });
    let mut res = hyper::Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    web::set_header(res.headers_mut(), "content-type", "text/event-stream");
    res
}

fn token_event(token: &str) -> String {
    format!("data: {{\"choices\":[{{\"text\":\"{token}\"}}]}}\n\n")
}

/// Returns token `i` of the response to a marker.
pub fn token_text(marker: &str, i: u32) -> String {
    format!("{marker}.{i} ")
}

/// Returns the complete text of the response to a marker.
pub fn complete_text(marker: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token_text(marker, i)).collect()
}

fn completion_json(marker: &str, tokens: u32) -> String {
    let text = complete_text(marker, tokens);
    format!("{{\"object\":\"text_completion\",\"choices\":[{{\"text\":\"{text}\"}}]}}")
}

fn marker(prompt: &str) -> &str {
    prompt.split_whitespace().next().unwrap_or("none")
}

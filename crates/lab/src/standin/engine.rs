//! A model engine: loads versions from staged chunks and answers completions.
//!
//! Its answers repeat the prompt's first word in every token, so that a caller can tell its own
//! answer, whole, from any other. It keeps a ledger of what it ran. Its load reports lag, its
//! prompt cache is limited, and it batches: the more requests run, the longer a token takes.

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

/// Largest body, in bytes.
const MAX_BODY: usize = 64 << 20;

/// Longest wait for a body.
const BODY: Duration = Duration::from_secs(30);

/// Tokens of an answer where the request names no number.
const TOKENS: u32 = 8;

/// Prompt prefixes the cache holds.
const CACHE: usize = 32;

/// Tokens' worth of time that a prompt takes whose prefix isn't cached.
const PREFILL: f64 = 10.0;

/// Part of a token's time that each further running request adds.
const BATCH_COST: f64 = 0.05;

/// How an engine behaves.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Whether it refuses orders with an old fencing number.
    pub enforces_fencing: bool,
    /// Time of one token with one request running.
    pub token: Duration,
    /// Requests it runs at once.
    pub slots: u32,
    /// Time to load a version.
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
    /// Version it ran with.
    pub version: Digest,
    /// Whether it ran to its end.
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

/// An engine.
#[derive(Debug, Clone)]
pub struct Engine {
    behaviour: Behaviour,
    /// Faults.
    pub faults: SharedFaults,
    inner: Arc<Mutex<Inner>>,
}

/// The fields of a completion that matter to the engine.
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
    /// Starts an engine.
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
        let serving = engine.clone();
        super::serve(addr, stop, move |req| handle(serving.clone(), req)).await?;
        Ok(engine)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts it anew, empty; the ledger stays, because it is the bench's.
    pub fn restart(&self) {
        let mut inner = self.inner();
        inner.incarnation += 1;
        inner.staged.clear();
        inner.loaded.clear();
        inner.cache.clear();
    }

    /// Makes every token take so many times as long.
    pub fn slow_down(&self, factor: f64) {
        self.inner().slowdown = Some(factor);
    }

    /// Requests whose prompt's prefix was cached.
    pub fn cache_hits(&self) -> u64 {
        self.inner().cache_hits
    }

    /// What it ran.
    pub fn ledger(&self) -> Vec<Run> {
        self.inner().ledger.clone()
    }

    /// Whether a version is loaded.
    pub fn has_loaded(&self, version: &Digest) -> bool {
        self.inner().loaded.contains(version)
    }

    /// Chunks staged of a version.
    pub fn staged_chunks(&self, version: &Digest) -> usize {
        self.inner()
            .staged
            .get(version)
            .map_or(0, |chunks| chunks.len())
    }

    /// Its state.
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

    /// Takes an order's fencing number, or refuses it.
    fn fence(&self, headers: &HeaderMap) -> Option<Response> {
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
        let whole = inner.staged.get(&order.version).is_some_and(|staged| {
            let chunks = order.manifest.chunks.iter().enumerate();
            order.manifest.digest() == order.version
                && chunks
                    .clone()
                    .all(|(i, c)| staged.get(&(i as u32)) == Some(c))
        });
        if !whole {
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

    /// Begins a run, or refuses it; the run's index in the ledger.
    fn begin(
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

    /// Time to the first token: a prompt whose prefix is cached needs less.
    fn first_token(&self, prompt: &str) -> Duration {
        let start = &prompt.as_bytes()[..prompt.len().min(64)];
        let digest = Digest::of(start);
        let prefix = u64::from_le_bytes(digest.as_bytes()[..8].try_into().expect("eight bytes"));
        let mut inner = self.inner();
        let hit = inner.cache.contains(&prefix);
        inner.cache.retain(|p| *p != prefix);
        inner.cache.push(prefix);
        if inner.cache.len() > CACHE {
            inner.cache.remove(0);
        }
        inner.cache_hits += u64::from(hit);
        let tokens = if hit { 1.0 } else { PREFILL };
        self.behaviour
            .token
            .mul_f64(tokens * inner.slowdown.unwrap_or(1.0))
    }

    /// Time of one token at the present batch.
    fn token(&self) -> Duration {
        let inner = self.inner();
        let batch = 1.0 + f64::from(inner.running.max(1) - 1) * BATCH_COST;
        self.behaviour
            .token
            .mul_f64(batch * inner.slowdown.unwrap_or(1.0))
    }
}

/// A run that counts as running until dropped.
struct Running {
    engine: Engine,
    index: usize,
    ended: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.engine.inner();
        inner.running = inner.running.saturating_sub(1);
        let ended = self.ended;
        if let Some(run) = inner.ledger.get_mut(self.index) {
            run.ended = ended;
        }
    }
}

async fn handle(engine: Engine, req: Request) -> Response {
    if let Some(set) = fault_request(&engine.faults, &req) {
        return set.apply(&engine.faults, req).await;
    }
    if let Some(res) = engine.faults.apply_to_request().await {
        return res;
    }
    let (head, body) = req.into_parts();
    let path = head.uri.path().to_owned();
    let Ok(buf) = read_body(body, MAX_BODY, BODY).await else {
        return web::text(400, "bad body\n");
    };
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (head.method, parts.as_slice()) {
        (Method::GET, ["state"]) => json(&engine.state()),
        (Method::GET, ["ledger"]) => json(&engine.ledger()),
        (Method::PUT, ["stage", version, chunk]) => {
            match (engine.fence(&head.headers), version.parse(), chunk.parse()) {
                (Some(refused), ..) => refused,
                (None, Ok(version), Ok(chunk)) => engine.stage(version, chunk, &buf),
                _ => web::text(400, "no version or chunk\n"),
            }
        }
        (Method::POST, ["load"]) => {
            match (engine.fence(&head.headers), serde_json::from_slice(&buf)) {
                (Some(refused), _) => refused,
                (None, Ok(order)) => engine.load(order).await,
                (None, Err(e)) => web::text(400, format!("{e}\n")),
            }
        }
        (Method::POST, ["unload"]) => {
            match (engine.fence(&head.headers), serde_json::from_slice(&buf)) {
                (Some(refused), _) => refused,
                (None, Ok(order)) => engine.unload(&order),
                (None, Err(e)) => web::text(400, format!("{e}\n")),
            }
        }
        (Method::POST, ["v1", ..]) => complete(engine, &head.headers, &buf).await,
        _ => web::text(404, "no such path\n"),
    }
}

fn json(value: &impl Serialize) -> Response {
    web::json(200, serde_json::to_string(value).expect("plain data"))
}

async fn complete(engine: Engine, headers: &HeaderMap, buf: &[u8]) -> Response {
    let completion: Completion = match serde_json::from_slice(buf) {
        Ok(completion) => completion,
        Err(e) => return web::text(400, format!("{e}\n")),
    };
    let (index, version) = match engine.begin(headers, &completion) {
        Ok(begun) => begun,
        Err(refused) => return *refused,
    };
    let mut running = Running {
        engine: engine.clone(),
        index,
        ended: false,
    };
    let tokens = completion.max_tokens.unwrap_or(TOKENS);
    tokio::time::sleep(engine.first_token(&completion.prompt)).await;
    let mut res = match completion.stream {
        true => events(running, marker(&completion.prompt).to_owned(), tokens),
        false => {
            for _ in 1..tokens {
                tokio::time::sleep(engine.token()).await;
            }
            running.ended = true;
            web::json(200, whole_answer(marker(&completion.prompt), tokens))
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

fn events(running: Running, marker: String, tokens: u32) -> Response {
    let frames = stream::unfold((running, 0), move |(mut running, i)| {
        let marker = marker.clone();
        async move {
            let text = match i {
                i if i < tokens => {
                    if i > 0 {
                        let token = running.engine.token();
                        tokio::time::sleep(token).await;
                    }
                    event(&token_text(&marker, i))
                }
                i if i == tokens => {
                    running.ended = true;
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

fn event(token: &str) -> String {
    format!("data: {{\"choices\":[{{\"text\":\"{token}\"}}]}}\n\n")
}

/// Token `i` of the answer to a marker.
pub fn token_text(marker: &str, i: u32) -> String {
    format!("{marker}.{i} ")
}

/// The text of the whole answer to a marker.
pub fn complete_text(marker: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token_text(marker, i)).collect()
}

fn whole_answer(marker: &str, tokens: u32) -> String {
    let text = complete_text(marker, tokens);
    format!("{{\"object\":\"text_completion\",\"choices\":[{{\"text\":\"{text}\"}}]}}")
}

fn marker(prompt: &str) -> &str {
    prompt.split_whitespace().next().unwrap_or("none")
}

//! Stand-in for the platform: table service, object store, member list and origin of weights.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Digest;
use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, Method};
use serde::{Deserialize, Serialize};
use store::Unless;
use store::kv::MAX_VALUE;
use web::{Request, Response, StopSignal, read_body};

use super::fault::{SharedFaults, interrupted_response};
use super::kv::Store;
use super::origin::{OriginStats, PacedLink, Weights};

/// Maximum time to read a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Key of the member list.
const MEMBERS_KEY: &str = "members";

/// Addresses of the platform's services and its origin.
#[derive(Debug, Clone, Copy)]
pub struct Addrs {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// Member list.
    pub members: SocketAddr,
    /// Origin of weights.
    pub origin: SocketAddr,
}

/// A key-value service of the platform.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// Values.
    pub store: Arc<Store>,
    /// Faults.
    pub faults: SharedFaults,
}

/// The origin of weights.
#[derive(Debug, Clone)]
pub struct Origin {
    /// Weights.
    pub weights: Arc<Weights>,
    /// Faults.
    pub faults: SharedFaults,
    link: Arc<PacedLink>,
}

/// The platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Table service.
    pub table: Service,
    /// Object store.
    pub objects: Service,
    /// Member list.
    pub members: Service,
    /// Origin of weights.
    pub origin: Origin,
}

/// Reads and writes of a service, returned at `/stats`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Counts {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

impl Platform {
    /// Starts the platform; the origin's link transmits at most `rate` bytes per second.
    pub async fn start(
        addrs: Addrs,
        rate: Option<u64>,
        stop: StopSignal,
    ) -> std::io::Result<Platform> {
        let platform = Platform {
            table: Service::default(),
            objects: Service::default(),
            members: Service::default(),
            origin: Origin {
                weights: Arc::default(),
                faults: SharedFaults::default(),
                link: Arc::new(PacedLink::new(rate)),
            },
        };
        let services = [
            (addrs.table, &platform.table),
            (addrs.objects, &platform.objects),
            (addrs.members, &platform.members),
        ];
        for (addr, service) in services {
            let service = service.clone();
            super::serve(addr, stop.clone(), move |req| {
                handle_kv(service.clone(), req)
            })
            .await?;
        }
        let origin = platform.origin.clone();
        super::serve(addrs.origin, stop, move |req| {
            handle_origin(origin.clone(), req)
        })
        .await?;
        Ok(platform)
    }

    /// Sets the member list.
    pub fn set_members(&self, members: &[store::Member]) {
        let buf = serde_json::to_vec(members).expect("a member list serializes");
        self.members.store.put(MEMBERS_KEY, buf.into(), None);
    }
}

/// Handles a request to the table service, the object store or the member list.
async fn handle_kv(service: Service, req: Request) -> Response {
    if let Some(set_faults) = fault_request(&service.faults, &req) {
        return set_faults.apply(&service.faults, req).await;
    }
    if req.uri().path() == "/stats" {
        let (reads, writes) = service.store.counts();
        let counts = Counts { reads, writes };
        return web::json(
            200,
            serde_json::to_string(&counts).expect("counts serialize"),
        );
    }
    if let Some(res) = service.faults.apply_to_request().await {
        return res;
    }
    let (head, body) = req.into_parts();
    let path = head.uri.path().to_owned();
    let key = path
        .strip_prefix("/kv/")
        .unwrap_or(path.trim_start_matches('/'));
    let Ok(buf) = read_body(body, MAX_VALUE, BODY_TIMEOUT).await else {
        return web::text(400, "bad body\n");
    };
    match head.method {
        Method::GET => get(&service, key, &head.headers),
        Method::PUT | Method::POST => write(&service, key, &head, buf),
        _ => web::text(405, "use GET, PUT or POST\n"),
    }
}

fn get(service: &Service, key: &str, headers: &HeaderMap) -> Response {
    let Some((buf, tag)) = service.store.get(key) else {
        return web::text(404, "no value\n");
    };
    let unchanged = web::header(headers, "if-none-match") == Some(tag.as_str());
    let mut res = match unchanged {
        true => web::text(304, ""),
        false => web::text(200, ""),
    };
    if !unchanged {
        *res.body_mut() = web::full(buf);
    }
    web::set_header(res.headers_mut(), "etag", &tag);
    res
}

fn write(service: &Service, key: &str, head: &hyper::http::request::Parts, buf: Bytes) -> Response {
    if !service.faults.allow_write() {
        return web::text(429, "too many writes\n");
    }
    if service.faults.consume(|f| &mut f.drop_writes) {
        return interrupted_response();
    }
    let res = match head.method == Method::POST {
        true => commit(service, &buf),
        false => put(service, key, &head.headers, buf),
    };
    match service.faults.consume(|f| &mut f.lose_writes) {
        true => interrupted_response(),
        false => res,
    }
}

fn put(service: &Service, key: &str, headers: &HeaderMap, buf: Bytes) -> Response {
    let unless = match (
        web::header(headers, "if-none-match"),
        web::header(headers, "if-match"),
    ) {
        (Some("*"), _) => Some(Unless::Present),
        (_, Some(tag)) => Some(Unless::Changed(tag.to_owned())),
        _ => None,
    };
    match service.store.put(key, buf, unless.as_ref()) {
        Some(tag) => {
            let mut res = web::text(201, "");
            web::set_header(res.headers_mut(), "etag", &tag);
            res
        }
        None => web::text(412, "the condition failed\n"),
    }
}

fn commit(service: &Service, buf: &[u8]) -> Response {
    let Ok(transaction) = serde_json::from_slice(buf) else {
        return web::text(400, "no transaction\n");
    };
    match service.store.commit(transaction) {
        Ok(committed) => web::json(
            200,
            serde_json::to_string(&committed).expect("tags serialize"),
        ),
        Err(refusal) => web::json(
            412,
            serde_json::to_string(&refusal).expect("a refusal serializes"),
        ),
    }
}

/// Handles a request to the origin.
async fn handle_origin(origin: Origin, req: Request) -> Response {
    if let Some(set_faults) = fault_request(&origin.faults, &req) {
        return set_faults.apply(&origin.faults, req).await;
    }
    if req.uri().path() == "/stats" {
        let stats: OriginStats = origin.weights.stats();
        return web::json(
            200,
            serde_json::to_string(&stats).expect("statistics serialize"),
        );
    }
    if let Some(res) = origin.faults.apply_to_request().await {
        return res;
    }
    let (head, body) = req.into_parts();
    let version = head.uri.path().strip_prefix("/weights/");
    let Some(version) = version.and_then(|v| v.parse::<Digest>().ok()) else {
        return web::text(404, "use /weights/VERSION\n");
    };
    match head.method {
        Method::GET => send_range(&origin, version, &head.headers).await,
        Method::PUT => {
            let Ok(buf) = read_body(body, 1 << 30, BODY_TIMEOUT).await else {
                return web::text(400, "bad body\n");
            };
            match parse_range(web::header(&head.headers, "content-range"), "bytes ") {
                Some((first, _)) => origin.weights.put(version, first, &buf),
                None => return web::text(400, "no content-range\n"),
            }
            web::text(204, "")
        }
        _ => web::text(405, "use GET or PUT\n"),
    }
}

async fn send_range(origin: &Origin, version: Digest, headers: &HeaderMap) -> Response {
    let range = parse_range(web::header(headers, "range"), "bytes=");
    let buf = range.and_then(|(first, last)| origin.weights.get(&version, first, last));
    let Some(buf) = buf else {
        return web::text(404, "no such range\n");
    };
    origin.link.transmit(buf.len()).await;
    let mut res = web::text(206, "");
    *res.body_mut() = web::full(apply_body_faults(&origin.faults, buf));
    res
}

/// Returns the body, corrupted or truncated if such a fault is set.
pub fn apply_body_faults(faults: &SharedFaults, buf: Bytes) -> Bytes {
    if faults.consume(|f| &mut f.corrupt) {
        let mut changed = BytesMut::from(&buf[..]);
        changed[0] ^= 1;
        return changed.freeze();
    }
    match faults.consume(|f| &mut f.truncate) {
        true => buf.slice(..buf.len() / 2),
        false => buf,
    }
}

fn parse_range(value: Option<&str>, prefix: &str) -> Option<(usize, usize)> {
    let range = value?.strip_prefix(prefix)?;
    let range = range.split('/').next()?;
    let (first, last) = range.split_once('-')?;
    Some((first.parse().ok()?, last.parse().ok()?))
}

/// A request that sets the faults of a stand-in.
pub struct SetFaults;

/// Returns `Some` if a request sets the faults of a stand-in.
pub fn fault_request(_faults: &SharedFaults, req: &Request) -> Option<SetFaults> {
    (req.uri().path() == "/fault" && req.method() == Method::PUT).then_some(SetFaults)
}

impl SetFaults {
    /// Reads the body and sets the faults in it.
    pub async fn apply(self, faults: &SharedFaults, req: Request) -> Response {
        let Ok(buf) = read_body(req.into_body(), MAX_VALUE, BODY_TIMEOUT).await else {
            return web::text(400, "bad body\n");
        };
        match serde_json::from_slice(&buf) {
            Ok(new_faults) => {
                faults.set(new_faults);
                web::text(204, "")
            }
            Err(e) => web::text(400, format!("{e}\n")),
        }
    }
}

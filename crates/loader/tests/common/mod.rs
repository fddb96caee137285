//! Loaders between engines and an origin in this process.

#![allow(dead_code)] // Each test file uses a part.

pub mod engine;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use beacon::{Member, Role};
use bytes::Bytes;
use catalog::{
    Access, Catalog, Engine, FIRST_VERSION, Iteration, Origin, Priorities, Release, ReleaseList,
    RequestLimits, Service, WeightsVersion,
};
use loader::api::{Api, ApiError, Call, Manifest, OriginVersion};
use loader::{Dependencies, KnownReleases};
use sha2::{Digest, Sha256};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

pub use engine::EngineStandIn;

pub const MODEL: &str = "m0";
pub const CHUNKS: usize = 32;
pub const LOADERS: usize = 3;

/// Origin that a test opens for a number of chunks.
#[derive(Default)]
pub struct OriginState {
    /// Chunks that it may still serve; none if it is unreachable.
    pub remaining: usize,
    /// Served chunks, in order.
    pub served: Vec<(WeightsVersion, usize)>,
    /// Requested chunks, served or not.
    pub requested: Vec<(WeightsVersion, usize)>,
    /// Requested manifests, served or not.
    pub manifests_requested: Vec<WeightsVersion>,
    /// Oldest version that it provides.
    pub oldest: WeightsVersion,
    /// Digests that are wrong in the next manifests of versions after the first, one manifest each.
    pub wrong_digests: Vec<Vec<usize>>,
    /// Whether only the first loader reaches it.
    pub is_cut_off: bool,
    /// Address at which it answers; any if `None`.
    pub addr: Option<SocketAddr>,
}

impl OriginState {
    /// Returns the error of a loader's request for a version, if it fails.
    fn error(&self, loader: usize, of: &OriginVersion) -> Option<ApiError> {
        match self.remaining {
            _ if self.addr.is_some_and(|addr| addr != of.origin) => {
                Some(ApiError::Failed("nobody is there".to_owned()))
            }
            0 => Some(ApiError::Failed("unreachable".to_owned())),
            _ if self.is_cut_off && loader > 0 => Some(ApiError::Failed("cut off".to_owned())),
            _ if of.version < self.oldest => Some(ApiError::Gone("withdrawn".to_owned())),
            _ => None,
        }
    }
}

/// Shares of the stand-ins that the loaders' calls and the test use.
pub type Shared<T> = Arc<Mutex<T>>;

pub fn lock<T>(shared: &Shared<T>) -> MutexGuard<'_, T> {
    shared.lock().expect("no panic")
}

fn call<A: Send + 'static, R: Send + 'static>(
    f: impl Fn(A) -> Result<R, ApiError> + Send + Sync + 'static,
) -> Call<A, R> {
    Arc::new(move |arg| {
        let result = f(arg);
        Box::pin(async move { result })
    })
}

fn content(version: WeightsVersion, i: usize) -> Bytes {
    Bytes::from(format!("chunk {i} of version {version}"))
}

fn api(loader: usize, origin: &Shared<OriginState>, engine: &Shared<EngineStandIn>) -> Api {
    let (manifests, chunks) = (origin.clone(), origin.clone());
    Api {
        state: engine::call(engine, EngineStandIn::state),
        put: engine::step(engine, EngineStandIn::put),
        get: engine::slow_step(engine, EngineStandIn::get),
        start: engine::step(engine, EngineStandIn::start),
        unload: engine::step(engine, EngineStandIn::unload),
        manifest: call(move |of: OriginVersion| {
            let mut origin = lock(&manifests);
            origin.manifests_requested.push(of.version);
            let digest = |i| Sha256::digest(content(of.version, i)).into();
            let mut digests: Vec<[u8; 32]> = (0..CHUNKS).map(digest).collect();
            if of.version > FIRST_VERSION && origin.error(loader, &of).is_none() {
                let wrong = origin.wrong_digests.pop().unwrap_or_default();
                wrong.iter().for_each(|i| digests[*i][0] ^= 1);
            }
            origin
                .error(loader, &of)
                .map_or(Ok(Manifest { digests }), Err)
        }),
        chunk: call(move |(of, i): (OriginVersion, usize)| {
            let mut origin = lock(&chunks);
            origin.requested.push((of.version, i));
            if let Some(e) = origin.error(loader, &of) {
                return Err(e);
            }
            origin.remaining -= 1;
            origin.served.push((of.version, i));
            Ok(content(of.version, i))
        }),
    }
}

/// Loaders with their engines, which hold version 1, and the origin.
pub struct Fleet {
    pub origin: Shared<OriginState>,
    pub engines: Vec<Shared<EngineStandIn>>,
    pub engine_addrs: Vec<SocketAddr>,
    pub loaders: Vec<Option<Runtime>>,
    pub members: Vec<Member>,
    pub known: Vec<Arc<watch::Sender<KnownReleases>>>,
    pub catalog: watch::Sender<Option<Arc<Catalog>>>,
    pub listed: watch::Sender<Vec<Member>>,
    pub stop: watch::Sender<bool>,
    pub predict_rollout: bool,
}

/// Returns an address below the range of ephemeral ports, so that no outgoing connection takes its port before a loader
/// starts or restarts there.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let addr = || {
        let n = NEXT
            .fetch_add(1, Relaxed)
            .wrapping_add(std::process::id().wrapping_mul(97));
        SocketAddr::from(([127, 0, 0, 1], 20_000 + (n % 12_000) as u16))
    };
    let is_free =
        |addr: &SocketAddr| TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok();
    let mut addrs = std::iter::repeat_with(addr);
    addrs.find(is_free).expect("a free port")
}

/// Returns a catalog in which the origin's link takes 100 ms for each chunk.
pub fn catalog(revision: u64, origin: SocketAddr) -> Catalog {
    let service = |name: &str, engine, origin| Service {
        name: name.to_owned(),
        engine,
        origin,
        cold_rate: None,
        priorities: Priorities::default(),
    };
    let engine = Engine {
        models: vec![MODEL.to_owned()],
        layers: 1,
        prompt_rate: 1000.0,
        chunk_bytes: 10_000,
        chunks: CHUNKS as u32,
        iteration: Iteration::default(),
    };
    let origin = Origin {
        addr: origin,
        max_connections: 40,
        link_mbps: 0.8,
    };
    let services = vec![
        service("llm", Some(engine), None),
        service("weights", None, Some(origin)),
    ];
    let limits = RequestLimits {
        head_bytes: 8192,
        body_bytes: 8192,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(10),
    };
    Catalog::new(revision, Vec::new(), services, Access::Open, limits)
}

impl Fleet {
    pub fn start() -> Fleet {
        Fleet::start_with(true)
    }

    pub fn start_with(predict_rollout: bool) -> Fleet {
        let member = |i| Member {
            vm: format!("l-{i}"),
            role: Role::Loader,
            domain: "recife".to_owned(),
            beacon: free_addr(),
            peer_addr: free_addr(),
        };
        let engine = || Arc::new(Mutex::new(EngineStandIn::with_version(1)));
        let members: Vec<Member> = (0..LOADERS).map(member).collect();
        let mut fleet = Fleet {
            origin: Shared::default(),
            engines: (0..LOADERS).map(|_| engine()).collect(),
            engine_addrs: (0..LOADERS).map(|_| free_addr()).collect(),
            loaders: (0..LOADERS).map(|_| None).collect(),
            listed: watch::Sender::new(members.clone()),
            members,
            catalog: watch::Sender::new(Some(Arc::new(catalog(1, free_addr())))),
            stop: watch::Sender::new(false),
            predict_rollout,
            known: (0..LOADERS)
                .map(|_| Arc::new(watch::Sender::default()))
                .collect(),
        };
        (0..LOADERS).for_each(|i| fleet.start_loader(i));
        fleet
    }

    /// Starts a loader that knows the newest release only, and none at first.
    fn start_loader(&mut self, i: usize) {
        let member = &self.members[i];
        let text = format!(
            "role: loader\nvm: {}\ndomain: recife\nservice: llm\nengine: {}\nchunks: {}\nbeacon: {}\nmetrics: {}\nstore: {}\nversion_time: 10s\nengine_poll: 20ms\norigin_patience: 400ms\npredict_rollout: {}\n",
            member.vm,
            self.engine_addrs[i],
            member.peer_addr,
            member.beacon,
            free_addr(),
            free_addr(),
            self.predict_rollout,
        );
        let settings::Settings::Loader(cfg) = settings::check(&text).expect("valid settings")
        else {
            panic!("expected settings of a loader");
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let deps = Dependencies {
            cfg: *cfg,
            service: "llm".to_owned(),
            api: api(i, &self.origin, &self.engines[i]),
            catalog: self.catalog.subscribe(),
            known: self.known[i].clone(),
            members: self.listed.subscribe(),
            stop: self.stop.subscribe(),
        };
        runtime.spawn(async move {
            let run = loader::run(deps).await;
            run.expect("a loader that binds its addresses");
        });
        self.loaders[i] = Some(runtime);
    }

    /// Restarts a loader, which loses its chunks and all releases but the newest.
    pub fn restart_loader(&mut self, i: usize) {
        if let Some(runtime) = self.loaders[i].take() {
            runtime.shutdown_timeout(Duration::from_secs(10));
        }
        let newest = self.known[i].borrow().list.clone();
        let known = watch::Sender::default();
        known.send_modify(|k: &mut KnownReleases| {
            k.merge(&newest, Instant::now());
        });
        self.known[i] = Arc::new(known);
        self.start_loader(i);
    }

    /// Releases a version at all loaders, which was released some time ago.
    pub fn release(&self, version: WeightsVersion, ago: Duration) {
        let release = Release {
            model: MODEL.to_owned(),
            version,
        };
        let list = ReleaseList {
            revision: version,
            releases: vec![release],
        };
        let at = Instant::now().checked_sub(ago).expect("a long uptime");
        for known in &self.known {
            known.send_modify(|k| {
                k.merge(&list, at);
            });
        }
    }

    /// Lets the origin serve some chunks, after which it is unreachable.
    pub fn open(&self, chunks: usize) {
        lock(&self.origin).remaining = chunks;
    }

    pub fn served(&self, version: WeightsVersion) -> usize {
        let origin = lock(&self.origin);
        origin.served.iter().filter(|(v, _)| *v == version).count()
    }

    pub fn requested(&self, version: WeightsVersion) -> usize {
        let origin = lock(&self.origin);
        let requested = origin.requested.iter();
        requested.filter(|(v, _)| *v == version).count()
    }

    pub fn manifests_requested(&self, version: WeightsVersion) -> usize {
        let origin = lock(&self.origin);
        let requested = origin.manifests_requested.iter();
        requested.filter(|v| **v == version).count()
    }

    pub fn all_hold(&self, version: WeightsVersion) -> bool {
        self.engines.iter().all(|e| lock(e).version == version)
    }
}

/// Waits until a condition holds; fails after a minute.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(60), "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

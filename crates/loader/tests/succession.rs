//! Loaders that fetch a version while its successor is released, between engines and an origin in this process.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base::Map;
use beacon::{Holding, Member, Role};
use bytes::Bytes;
use catalog::{
    Access, Catalog, Engine, Iteration, Origin, Priorities, Release, ReleaseList, RequestLimits,
    Service, WeightsVersion,
};
use loader::api::{
    Api, ApiError, Call, EngineState, Manifest, OrderResult, OriginVersion, SwitchOrder,
};
use loader::pace::Pace;
use loader::{Dependencies, KnownReleases};
use sha2::{Digest, Sha256};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

const MODEL: &str = "m0";
const CHUNKS: usize = 32;
const LOADERS: usize = 3;

/// Origin that a test opens for a number of chunks.
#[derive(Default)]
struct OriginState {
    /// Chunks that it may still serve; none if it is unreachable.
    remaining: usize,
    /// Served chunks, in order.
    served: Vec<(WeightsVersion, usize)>,
    /// Requested chunks, served or not.
    requested: Vec<(WeightsVersion, usize)>,
    /// Requested manifests, served or not.
    manifests_requested: Vec<WeightsVersion>,
    /// Oldest version that it provides.
    oldest: WeightsVersion,
    /// Digests that are wrong in the next manifests of version 2, one manifest each.
    wrong_digests: Vec<Vec<usize>>,
    /// Whether only the first loader reaches it.
    is_cut_off: bool,
    /// Address at which it answers; any if `None`.
    addr: Option<SocketAddr>,
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

/// Engine that switches at once.
#[derive(Default)]
struct EngineStandIn {
    staged: Map<usize, Bytes>,
    version: WeightsVersion,
    /// Versions that it was ordered to switch to.
    orders: Vec<WeightsVersion>,
}

/// Shares of the stand-ins that the loaders' calls and the test use.
type Shared<T> = Arc<Mutex<T>>;

fn lock<T>(shared: &Shared<T>) -> MutexGuard<'_, T> {
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
    let (state, put, get, start) = (
        engine.clone(),
        engine.clone(),
        engine.clone(),
        engine.clone(),
    );
    let (manifests, chunks) = (origin.clone(), origin.clone());
    Api {
        state: call(move |()| {
            let engine = lock(&state);
            Ok(EngineState {
                switching: false,
                orders: engine.orders.len() as u64,
                holdings: vec![Holding {
                    model: MODEL.to_owned(),
                    version: Some(engine.version),
                }],
                running: 0,
                queued: 0,
                start_time: Some(1),
                pace: Pace::NORMAL,
            })
        }),
        put: call(move |chunk: loader::api::StagedChunk| {
            lock(&put).staged.insert(chunk.chunk, chunk.buf);
            Ok(())
        }),
        get: call(move |(_, i): (String, usize)| Ok(lock(&get).staged.get(&i).cloned())),
        start: call(move |order: SwitchOrder| {
            let mut engine = lock(&start);
            engine.orders.push(order.version);
            engine.version = order.version;
            Ok(OrderResult::Taken)
        }),
        manifest: call(move |of: OriginVersion| {
            let mut origin = lock(&manifests);
            origin.manifests_requested.push(of.version);
            let digest = |i| Sha256::digest(content(of.version, i)).into();
            let mut digests: Vec<[u8; 32]> = (0..CHUNKS).map(digest).collect();
            if of.version == 2 && origin.error(loader, &of).is_none() {
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
struct Fleet {
    origin: Shared<OriginState>,
    engines: Vec<Shared<EngineStandIn>>,
    loaders: Vec<Option<Runtime>>,
    members: Vec<Member>,
    known: Vec<Arc<watch::Sender<KnownReleases>>>,
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    listed: watch::Sender<Vec<Member>>,
    stop: watch::Sender<bool>,
    predict_rollout: bool,
}

/// Returns an address below the range of ephemeral ports, so that no outgoing connection takes its port before a loader
/// starts or restarts there.
fn free_addr() -> SocketAddr {
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
fn catalog(revision: u64, origin: SocketAddr) -> Catalog {
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
    fn start() -> Fleet {
        Fleet::start_with(true)
    }

    fn start_with(predict_rollout: bool) -> Fleet {
        let member = |i| Member {
            vm: format!("l-{i}"),
            role: Role::Loader,
            domain: "recife".to_owned(),
            beacon: free_addr(),
            peer_addr: free_addr(),
        };
        let engine = || {
            Arc::new(Mutex::new(EngineStandIn {
                version: 1,
                ..EngineStandIn::default()
            }))
        };
        let members: Vec<Member> = (0..LOADERS).map(member).collect();
        let mut fleet = Fleet {
            origin: Shared::default(),
            engines: (0..LOADERS).map(|_| engine()).collect(),
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
            free_addr(),
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
    fn restart_loader(&mut self, i: usize) {
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
    fn release(&self, version: WeightsVersion, ago: Duration) {
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
    fn open(&self, chunks: usize) {
        lock(&self.origin).remaining = chunks;
    }

    fn served(&self, version: WeightsVersion) -> usize {
        let origin = lock(&self.origin);
        origin.served.iter().filter(|(v, _)| *v == version).count()
    }

    fn requested(&self, version: WeightsVersion) -> usize {
        let origin = lock(&self.origin);
        let requested = origin.requested.iter();
        requested.filter(|(v, _)| *v == version).count()
    }

    fn manifests_requested(&self, version: WeightsVersion) -> usize {
        let origin = lock(&self.origin);
        let requested = origin.manifests_requested.iter();
        requested.filter(|v| **v == version).count()
    }

    fn all_hold(&self, version: WeightsVersion) -> bool {
        self.engines.iter().all(|e| lock(e).version == version)
    }

    /// Fetches `held` chunks of version 2, and releases version 3 while the origin is unreachable. Version 1 may begin no
    /// requests from 0.5 s later on, version 2 until 5.5 s later.
    fn release_during_outage(held: usize) -> Fleet {
        let fleet = Fleet::start();
        fleet.open(held);
        fleet.release(2, Duration::from_secs(8));
        wait_until("the origin is unreachable", || fleet.served(2) == held);
        fleet.release(3, Duration::from_secs(3));
        fleet
    }
}

/// Waits until a condition holds; fails after a minute.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(60), "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Maximum number of chunks that loaders fetch twice while they don't know of each other's fetches yet.
const DUPLICATES: usize = 2 * LOADERS;

/// Guards against chunks of the successor that take the origin's link before the older version is complete.
#[test]
fn older_version_has_precedence_at_the_origin() {
    let fleet = Fleet::release_during_outage(CHUNKS - 4);

    fleet.open(usize::MAX);

    wait_until("all engines hold version 3", || fleet.all_hold(3));
    let served = lock(&fleet.origin).served.clone();
    let first_of_newer = served.iter().position(|(v, _)| *v == 3).expect("a chunk");
    let mut before: Vec<_> = served[..first_of_newer].iter().map(|(_, i)| *i).collect();
    before.sort_unstable();
    before.dedup();
    assert_eq!(before, (0..CHUNKS).collect::<Vec<_>>(), "{served:?}");
    assert!(fleet.served(2) <= CHUNKS + DUPLICATES, "{served:?}");
    assert!(fleet.served(3) <= CHUNKS + DUPLICATES, "{served:?}");
}

/// Guards against engines that wait for the successor, and serve no version, although the older one is complete.
#[test]
fn engines_serve_the_older_version_until_its_successor_arrives() {
    let fleet = Fleet::release_during_outage(CHUNKS - 4);

    fleet.open(usize::MAX);

    wait_until("all engines hold version 3", || fleet.all_hold(3));
    for engine in &fleet.engines {
        assert_eq!(lock(engine).orders, [2, 3]);
    }
}

/// Guards against origin bytes for a version that no engine will serve.
#[test]
fn dropped_version_is_not_fetched_again() {
    let fleet = Fleet::release_during_outage(4);
    fleet.open(usize::MAX);
    wait_until("all engines hold version 3", || fleet.all_hold(3));
    let (requested, served) = (fleet.requested(2), fleet.served(2));

    fleet.release(4, Duration::ZERO);

    wait_until("all engines hold version 4", || fleet.all_hold(4));
    assert_eq!(fleet.requested(2), requested);
    assert!(served < CHUNKS / 2, "{served}");
}

/// Guards against a successor that never starts, or is fetched twice, if the origin fails while the older version is
/// completed.
#[test]
fn origin_that_fails_again_halfway_delays_both_versions() {
    let fleet = Fleet::release_during_outage(CHUNKS - 8);

    fleet.open(4);
    wait_until("the origin has failed again", || {
        fleet.served(2) + fleet.served(3) >= CHUNKS - 4
    });
    fleet.open(usize::MAX);

    wait_until("all engines hold version 3", || fleet.all_hold(3));
    assert!(
        fleet.served(2) <= CHUNKS + DUPLICATES,
        "{}",
        fleet.served(2)
    );
    assert!(
        fleet.served(3) <= CHUNKS + DUPLICATES,
        "{}",
        fleet.served(3)
    );
}

/// Guards against loaders that wait for each other if one of them has lost its chunks and knows of no older version.
#[test]
fn loader_that_restarts_halfway_holds_up_no_version() {
    let mut fleet = Fleet::release_during_outage(CHUNKS - 8);
    fleet.open(4);
    wait_until("the older version is being completed", || {
        fleet.served(2) + fleet.served(3) >= CHUNKS - 4
    });

    fleet.restart_loader(0);
    fleet.open(usize::MAX);

    wait_until("all engines hold version 3", || fleet.all_hold(3));
    assert!(
        fleet.served(3) <= CHUNKS + DUPLICATES,
        "{}",
        fleet.served(3)
    );
}

/// Releases version 2 while the origin serves `held` of its chunks and then is unreachable, version 3 after the bound of
/// version 2, and version 4 at once. The origin returns without version 2.
fn withdraw_version_during_outage(fleet: &Fleet, held: usize) {
    fleet.open(held);
    fleet.release(2, Duration::from_secs(12));
    wait_until("the origin is unreachable", || match held {
        0 => fleet.manifests_requested(2) > 0,
        held => fleet.served(2) == held,
    });
    fleet.release(3, Duration::from_secs(1));
    fleet.release(4, Duration::ZERO);
    lock(&fleet.origin).oldest = 3;
    fleet.open(usize::MAX);
}

/// Guards against a fetch that waits for a manifest for good and holds up all later releases.
#[test]
fn version_withdrawn_before_its_manifest_arrived_holds_up_no_release() {
    let fleet = Fleet::start();

    withdraw_version_during_outage(&fleet, 0);

    wait_until("all engines hold version 4", || fleet.all_hold(4));
}

/// Guards against a fetch that waits for chunks for good and holds up all later releases.
#[test]
fn version_withdrawn_halfway_holds_up_no_release() {
    let fleet = Fleet::start();

    withdraw_version_during_outage(&fleet, CHUNKS / 3);

    wait_until("all engines hold version 4", || fleet.all_hold(4));
}

/// Guards against the same with the setting that completes the older version first.
#[test]
fn withdrawn_version_holds_up_no_release_without_prediction() {
    for held in [0, CHUNKS - 4] {
        let fleet = Fleet::start_with(false);

        withdraw_version_during_outage(&fleet, held);

        wait_until("all engines hold version 4", || fleet.all_hold(4));
    }
}

/// Guards against a version that is dropped, although loaders hold it together, since the origin has withdrawn it.
#[test]
fn withdrawn_version_that_loaders_hold_is_completed() {
    let mut fleet = Fleet::start();
    fleet.open(usize::MAX);
    fleet.release(2, Duration::ZERO);
    wait_until("a loader holds version 2", || fleet.served(2) >= CHUNKS);
    lock(&fleet.origin).oldest = 3;
    fleet.restart_loader(0);

    wait_until("all engines hold version 2", || fleet.all_hold(2));
}

/// Guards against a manifest that is believed for good: no chunk matches its wrong digests.
#[test]
fn wrong_digests_in_a_manifest_are_corrected() {
    let fleet = Fleet::start();
    lock(&fleet.origin).wrong_digests = vec![vec![7], vec![5, 6, 31]];
    fleet.open(usize::MAX);

    fleet.release(2, Duration::ZERO);

    wait_until("all engines hold version 2", || fleet.all_hold(2));
}

/// Guards against loaders that keep a wrong digest, or ban the loader that has the right one, when only one of them
/// reaches the origin.
#[test]
fn wrong_digest_is_corrected_by_the_manifest_of_another_loader() {
    let fleet = Fleet::start();
    lock(&fleet.origin).wrong_digests = vec![vec![5]];
    lock(&fleet.origin).is_cut_off = true;
    fleet.open(usize::MAX);

    fleet.release(2, Duration::ZERO);

    wait_until("all engines hold version 2", || fleet.all_hold(2));
}

/// Guards against a chunk that is never requested again after checks of its digest have failed.
#[test]
fn wrong_digest_is_corrected_after_an_outage() {
    let fleet = Fleet::start();
    lock(&fleet.origin).wrong_digests = vec![vec![5]];
    fleet.open(CHUNKS / 2);
    fleet.release(2, Duration::ZERO);
    wait_until("the origin is unreachable", || {
        fleet.served(2) == CHUNKS / 2
    });

    fleet.open(usize::MAX);

    wait_until("all engines hold version 2", || fleet.all_hold(2));
}

/// Guards against a fetch that goes on to ask an address that the origin has left.
#[test]
fn fetch_follows_an_origin_that_moves() {
    for held in [0, CHUNKS / 2] {
        let fleet = Fleet::start();
        fleet.open(held);
        fleet.release(2, Duration::ZERO);
        wait_until("the fetch has started", || match held {
            0 => fleet.manifests_requested(2) > 0,
            held => fleet.served(2) == held,
        });
        let addr = free_addr();
        lock(&fleet.origin).addr = Some(addr);
        fleet.open(usize::MAX);

        let moved = Arc::new(catalog(2, addr));
        fleet.catalog.send_replace(Some(moved));

        wait_until("all engines hold version 2", || fleet.all_hold(2));
    }
}

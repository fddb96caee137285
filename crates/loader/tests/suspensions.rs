//! Loaders and engines that are suspended at any step of a switch, while staged chunks become corrupt.

mod common;

use std::net::UdpSocket;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use beacon::{EngineStatus, Member, Msg, Role};
use common::engine::Interruption::{Corrupt, SuspendEngine, SuspendLoader};
use common::engine::Step::{After, Before};
use common::engine::{Interruption, Step};
use common::{CHUNKS, Fleet, free_addr, lock, wait_until};
use proptest::collection::vec;
use proptest::prelude::*;

/// Number of the call that reads the last chunk back: all chunks are staged first.
const LAST_READ: usize = 2 * CHUNKS - 1;

/// Number of the call that gives the order, if no call is repeated.
const ORDER: usize = 2 * CHUNKS;

/// Longer than a chunk may have been corrupt when it is loaded.
const LONG: Duration = Duration::from_millis(4500);

/// Chunk that becomes corrupt.
const CHUNK: usize = 7;

/// Lets one test at a time advance the clock, which all of this process share.
fn own_clock() -> MutexGuard<'static, ()> {
    static CLOCK: Mutex<()> = Mutex::new(());
    CLOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Adds a gateway that the loaders send status updates to.
fn listed_gateway(fleet: &Fleet) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_nonblocking(true).expect("a socket");
    let gateway = Member {
        vm: "g-0".to_owned(),
        role: Role::Gateway,
        domain: "recife".to_owned(),
        beacon: socket.local_addr().expect("an address"),
        peer_addr: free_addr(),
    };
    fleet.listed.send_modify(|members| members.push(gateway));
    socket
}

/// Returns the status updates that have arrived.
fn received(gateway: &UdpSocket) -> Vec<EngineStatus> {
    let mut buf = [0; 65_536];
    let datagrams = std::iter::from_fn(|| gateway.recv(&mut buf).ok().map(|n| buf[..n].to_vec()));
    let msgs = datagrams.filter_map(|buf| beacon::decode(&buf).ok());
    let statuses = msgs.filter_map(|msg| match msg {
        Msg::Engine(status) => Some(status),
        _ => None,
    });
    statuses.collect()
}

/// Returns whether an engine serves version 2 by a status update.
fn serves(status: &EngineStatus) -> bool {
    !status.switching && status.holdings.iter().any(|h| h.version == Some(2))
}

/// Releases version 2 to three engines, the first of which is interrupted and takes `read_time` for each read. Checks that
/// all of them get to serve it, none with a chunk that was corrupt for too long when it was loaded.
fn check_switch(interruptions: &[(Step, Interruption)], read_time: Duration) {
    let fleet = Fleet::start();
    let gateway = listed_gateway(&fleet);
    fleet.open(usize::MAX);
    let mut engine = lock(&fleet.engines[0]);
    engine.interruptions = interruptions.to_vec();
    engine.read_time = read_time;
    drop(engine);

    // All slots start at once.
    fleet.release(2, Duration::from_secs(9));

    let mut serving: Vec<EngineStatus> = Vec::new();
    let upstreams = |serving: &[EngineStatus]| {
        let mut upstreams: Vec<_> = serving.iter().map(|s| s.upstream).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams.len()
    };
    wait_until(
        &format!("all engines serve version 2: {interruptions:?}"),
        || {
            serving.extend(received(&gateway).into_iter().filter(serves));
            upstreams(&serving) == fleet.engines.len()
        },
    );
    for (engine, member) in fleet.engines.iter().zip(&fleet.engine_addrs) {
        let loads = lock(engine).loads.clone();
        let mut of_engine = serving.iter().filter(|s| s.upstream == *member);
        let is_intact = |status: &EngineStatus| loads[status.queued as usize - 1];
        assert!(of_engine.all(is_intact), "{interruptions:?}: {loads:?}");
    }
}

/// Guards against an order by a verification from before a suspension of the loader.
#[test]
fn chunk_that_becomes_corrupt_while_the_loader_is_suspended_is_not_served() {
    let _clock = own_clock();
    let suspended = |step| vec![(step, Corrupt(CHUNK)), (step, SuspendLoader(LONG))];
    let twice = [
        suspended(After(LAST_READ)),
        suspended(After(LAST_READ + CHUNKS)),
    ];

    for interruptions in [
        suspended(After(LAST_READ)),
        suspended(After(CHUNKS + CHUNK + 5)),
        twice.concat(),
        suspended(Before(ORDER)),
    ] {
        check_switch(&interruptions, Duration::ZERO);
    }
}

/// Guards against an order by a verification from before a pause of the engine, and against one that the engine takes
/// long after it was given.
#[test]
fn chunk_that_becomes_corrupt_while_the_engine_is_suspended_is_not_served() {
    let _clock = own_clock();
    let suspended = |step| [(step, Corrupt(CHUNK)), (step, SuspendEngine(LONG))];

    for step in [
        After(LAST_READ),
        After(CHUNKS + CHUNK + 5),
        Before(ORDER),
        After(ORDER),
    ] {
        check_switch(&suspended(step), Duration::ZERO);
    }
}

/// Guards against an order by a verification that took too long, and against one that is repeated without an end.
#[test]
fn chunk_that_becomes_corrupt_while_chunks_are_read_slowly_is_not_served() {
    let _clock = own_clock();
    let corrupt = [(After(CHUNKS + CHUNK), Corrupt(CHUNK))];

    for read_time in [150, 700] {
        check_switch(&corrupt, Duration::from_millis(read_time));
    }
}

fn step() -> impl Strategy<Value = Step> {
    let calls = prop_oneof![0..ORDER, LAST_READ - 2..ORDER + 4, ORDER..3 * CHUNKS + 4];
    (calls, any::<bool>()).prop_map(|(n, is_before)| match is_before {
        true => Before(n),
        false => After(n),
    })
}

fn suspension() -> impl Strategy<Value = Interruption> {
    let time = || (0..9000_u64).prop_map(Duration::from_millis);
    prop_oneof![
        time().prop_map(SuspendLoader),
        time().prop_map(SuspendEngine)
    ]
}

/// Returns interruptions at one step: a suspension, or two around the corruption of a chunk.
fn interruptions() -> impl Strategy<Value = Vec<(Step, Interruption)>> {
    let corruption = (0..CHUNKS).prop_map(Corrupt);
    prop_oneof![
        1 => (step(), suspension()).prop_map(|(step, suspension)| vec![(step, suspension)]),
        3 => (step(), suspension(), corruption, suspension()).prop_map(|(step, first, corrupt, second)| {
            vec![(step, first), (step, corrupt), (step, second)]
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 0, ..cases::cases(4) })]

    /// Guards against any order of suspensions after which an engine serves a corrupt chunk, or never the version.
    #[test]
    fn engines_serve_intact_chunks_after_suspensions_at_any_step(
        interruptions in vec(interruptions(), 1..5),
    ) {
        let _clock = own_clock();
        check_switch(&interruptions.concat(), Duration::ZERO);
    }
}

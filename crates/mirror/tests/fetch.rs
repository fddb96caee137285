//! How much of a document travels to a process that asks for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mirror::Mirror;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use web::{Bounds, Client, Dial};

const NAME: &str = "configuration";

const PATIENCE: Duration = Duration::from_secs(20);

/// A process that passes its copies on, how often it was asked, and how many bytes it has answered.
struct Peer {
    mirror: Mirror,
    addr: SocketAddr,
    asked: Arc<AtomicUsize>,
    sent: Arc<AtomicUsize>,
    _stop: watch::Sender<bool>,
}

async fn peer() -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (_stop, rx) = watch::channel(false);
    let (mirror, asked, sent) = <(Mirror, Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
    let (passing, arrived, counted) = (mirror.clone(), asked.clone(), sent.clone());
    tokio::spawn(web::serve(listener, Bounds::internal(), rx, move |req| {
        arrived.fetch_add(1, Relaxed);
        let (passing, counted) = (passing.clone(), counted.clone());
        async move {
            let res = mirror::serve(&passing, &[NAME], &req).await;
            let length = hyper::body::Body::size_hint(res.body()).exact();
            counted.fetch_add(length.expect("a length") as usize, Relaxed);
            res
        }
    }));
    Peer {
        mirror,
        addr,
        asked,
        sent,
        _stop,
    }
}

/// A document of lines that have little in common, one of which says what it is told.
fn document(word: &str) -> Bytes {
    let line = |i: u64| match i {
        700 => format!("{word}\n"),
        i => format!("{:x}\n", i.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
    };
    (0..20_000).map(line).collect::<String>().into()
}

/// Asks for the copy of a process at an address.
async fn ask_at(own: Mirror, addr: SocketAddr) -> bool {
    let client = Client::new(Dial::within(PATIENCE));
    let asked = mirror::fetch(&own, NAME, &client, addr, PATIENCE).await;
    asked.expect("a copy")
}

/// The same; returns how many bytes it answered.
async fn ask(own: &Mirror, peer: &Peer) -> usize {
    let before = peer.sent.load(Relaxed);
    ask_at(own.clone(), peer.addr).await;
    peer.sent.load(Relaxed) - before
}

fn numbered(revision: u64) -> Bytes {
    document(&format!("number {revision}"))
}

/// One thread for all tasks, as gateways have it, and one more for what would hold them up.
fn one_thread() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_all().max_blocking_threads(1);
    builder.build().expect("a runtime")
}

#[tokio::test]
async fn only_what_changed_travels_to_a_process_that_holds_an_earlier_revision() {
    let (peer, own) = (peer().await, Mirror::default());
    peer.mirror.update(NAME, 1, document("one"), Instant::now());
    let whole = ask(&own, &peer).await;

    peer.mirror.update(NAME, 2, document("two"), Instant::now());
    peer.mirror
        .update(NAME, 3, document("three"), Instant::now());
    let changed = ask(&own, &peer).await;
    let nothing = ask(&own, &peer).await;

    assert_eq!(own.get(NAME).expect("a copy").body, document("three"));
    assert!(whole < document("one").len(), "{whole}");
    assert!(changed < whole / 100, "{changed} of {whole}");
    assert!(nothing < 50, "{nothing}");
}

#[tokio::test]
async fn a_process_whose_revision_is_not_known_any_more_gets_the_whole() {
    let (peer, own) = (peer().await, Mirror::default());
    own.update(NAME, 1, document("one"), Instant::now());
    for revision in 2..10 {
        let body = numbered(revision);
        peer.mirror.update(NAME, revision, body, Instant::now());
    }

    ask(&own, &peer).await;

    assert_eq!(own.get(NAME).expect("a copy").body, numbered(9));
}

#[tokio::test]
async fn an_older_revision_is_not_taken() {
    let (peer, own) = (peer().await, Mirror::default());
    peer.mirror.update(NAME, 1, document("one"), Instant::now());
    own.update(NAME, 2, document("two"), Instant::now());

    ask(&own, &peer).await;

    assert_eq!(own.get(NAME).expect("a copy").body, document("two"));
}

/// Changes in quick succession, and one more.
const BURST: u64 = 27;

#[tokio::test]
async fn only_what_changed_travels_to_a_process_that_slept_through_a_burst_of_changes() {
    let (peer, own, follower) = (peer().await, Mirror::default(), Mirror::default());
    peer.mirror.update(NAME, 1, numbered(1), Instant::now());
    let whole = ask(&own, &peer).await;
    for revision in 2..=BURST {
        let body = numbered(revision);
        peer.mirror.update(NAME, revision, body, Instant::now());
        ask(&follower, &peer).await;
    }

    let changed = ask(&own, &peer).await;

    assert_eq!(own.get(NAME).expect("a copy").body, numbered(BURST));
    assert!(changed < whole / 100, "{changed} of {whole}");
}

#[tokio::test]
async fn a_process_further_behind_than_bodies_are_kept_gets_the_whole() {
    let (peer, own) = (peer().await, Mirror::default());
    peer.mirror.update(NAME, 1, numbered(1), Instant::now());
    let whole = ask(&own, &peer).await;
    for revision in 2..=4 * BURST {
        let body = numbered(revision);
        peer.mirror.update(NAME, revision, body, Instant::now());
    }

    let again = ask(&own, &peer).await;

    assert_eq!(own.get(NAME).expect("a copy").body, numbered(4 * BURST));
    assert!(again > whole / 2, "{again} of {whole}");
}

#[tokio::test]
async fn many_that_ask_at_once_from_several_revisions_get_the_same_body() {
    let peer = peer().await;
    let behind: Vec<Mirror> = (0..12).map(|_| Mirror::default()).collect();
    for revision in 1..=6 {
        let body = numbered(revision);
        peer.mirror.update(NAME, revision, body, Instant::now());
        for own in behind.iter().skip(2 * revision as usize - 2) {
            own.update(NAME, revision, numbered(revision), Instant::now());
        }
    }
    peer.mirror.update(NAME, 7, numbered(7), Instant::now());

    let asking = behind.iter().map(|own| ask_at(own.clone(), peer.addr));
    let asking: Vec<_> = asking.map(tokio::spawn).collect();
    for asked in asking {
        assert!(asked.await.expect("no panic"), "no newer copy came");
    }

    for own in &behind {
        assert_eq!(own.get(NAME).expect("a copy").body, numbered(7));
    }
}

#[test]
fn another_request_is_answered_while_a_copy_is_packed() {
    one_thread().block_on(async {
        let (peer, own, other) = (peer().await, Mirror::default(), Mirror::default());
        peer.mirror.update(NAME, 2, document("two"), Instant::now());
        own.update(NAME, 1, document("one"), Instant::now());
        other.update(NAME, 2, document("two"), Instant::now());
        // Whatever leaves the thread of all tasks waits until it is let go on.
        let (go_on, held) = std::sync::mpsc::channel::<()>();
        let blocker = tokio::task::spawn_blocking(move || held.recv());
        let asking = tokio::spawn(ask_at(own.clone(), peer.addr));
        while peer.asked.load(Relaxed) == 0 {
            tokio::task::yield_now().await;
        }

        ask_at(other, peer.addr).await;

        let answered = peer.sent.load(Relaxed);
        assert!(answered < 50, "{answered} bytes: the copy was packed first");
        go_on.send(()).expect("the blocker waits");
        blocker.await.expect("no panic").expect("let go on");
        assert!(asking.await.expect("no panic"), "no newer copy came");
        assert_eq!(own.get(NAME).expect("a copy").body, document("two"));
    });
}

#[tokio::test]
async fn a_process_that_holds_another_body_under_the_same_revision_gets_the_whole() {
    let (peer, own) = (peer().await, Mirror::default());
    peer.mirror.update(NAME, 1, numbered(1), Instant::now());
    peer.mirror.update(NAME, 2, numbered(2), Instant::now());
    let unlike = numbered(1).iter().rev().copied().collect();
    own.update(NAME, 1, unlike, Instant::now());

    ask(&own, &peer).await;

    assert_eq!(own.get(NAME).expect("a copy").body, numbered(2));
}

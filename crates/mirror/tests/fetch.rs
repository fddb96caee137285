//! Replication between processes, and how many bytes it takes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use base::{Era, StoreRevision};
use bytes::Bytes;
use hyper::HeaderMap;
use mirror::Mirror;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use web::{Client, DialOptions, ServerLimits};

const NAME: &str = "configuration";

const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a revision of a store that states no era.
fn rev(number: u64) -> StoreRevision {
    StoreRevision::new(None, number)
}

/// A process that serves its replicas, with counts of its requests and response bytes.
struct Peer {
    mirror: Mirror,
    addr: SocketAddr,
    requests: Arc<AtomicUsize>,
    sent: Arc<AtomicUsize>,
    _stop: watch::Sender<bool>,
}

async fn peer() -> Peer {
    peer_with(|_| {}, |_| {}).await
}

/// Starts a process of an earlier release, which doesn't know the eras of the store.
async fn peer_without_eras() -> Peer {
    let remove = |headers: &mut HeaderMap| drop(headers.remove("driftnotch-store-era"));
    peer_with(remove, remove).await
}

/// Starts a process whose requests and responses have their headers changed.
async fn peer_with(change_req: fn(&mut HeaderMap), change_res: fn(&mut HeaderMap)) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (_stop, rx) = watch::channel(false);
    let (mirror, requests, sent) = <(Mirror, Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
    let (served, requested, counted) = (mirror.clone(), requests.clone(), sent.clone());
    tokio::spawn(web::serve(
        listener,
        ServerLimits::internal(),
        rx,
        move |mut req| {
            change_req(req.headers_mut());
            requested.fetch_add(1, Relaxed);
            let (served, counted) = (served.clone(), counted.clone());
            async move {
                let mut res = mirror::serve(&served, &[NAME], &req).await;
                change_res(res.headers_mut());
                let length = hyper::body::Body::size_hint(res.body()).exact();
                counted.fetch_add(length.expect("a length") as usize, Relaxed);
                res
            }
        },
    ));
    Peer {
        mirror,
        addr,
        requests,
        sent,
        _stop,
    }
}

/// Returns a document of dissimilar lines, one of which is `word`.
fn document(word: &str) -> Bytes {
    let line = |i: u64| match i {
        700 => format!("{word}\n"),
        i => format!("{:x}\n", i.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
    };
    (0..20_000).map(line).collect::<String>().into()
}

/// Fetches the replica of the process at an address; returns whether it was newer.
async fn fetch_from(local: Mirror, addr: SocketAddr) -> bool {
    let client = Client::new(DialOptions::with_timeout(TIMEOUT));
    let fetched = mirror::fetch(&local, NAME, &client, addr, TIMEOUT).await;
    fetched.expect("a replica")
}

/// Fetches the replica of a peer; returns the bytes of its responses.
async fn fetch(local: &Mirror, peer: &Peer) -> usize {
    let before = peer.sent.load(Relaxed);
    fetch_from(local.clone(), peer.addr).await;
    peer.sent.load(Relaxed) - before
}

fn body_of(revision: u64) -> Bytes {
    document(&format!("number {revision}"))
}

/// Returns a runtime with one thread for all tasks, as in gateways, and one blocking thread.
fn one_thread() -> Runtime {
    let mut builder = Builder::new_current_thread();
    builder.enable_all().max_blocking_threads(1);
    builder.build().expect("a runtime")
}

#[tokio::test]
async fn sends_only_changes_since_an_earlier_revision() {
    let (peer, local) = (peer().await, Mirror::default());
    peer.mirror
        .update(NAME, rev(1), document("one"), Instant::now());
    let full = fetch(&local, &peer).await;

    peer.mirror
        .update(NAME, rev(2), document("two"), Instant::now());
    peer.mirror
        .update(NAME, rev(3), document("three"), Instant::now());
    let changed = fetch(&local, &peer).await;
    let unchanged = fetch(&local, &peer).await;

    assert_eq!(local.get(NAME).expect("a replica").body, document("three"));
    assert!(full < document("one").len(), "{full}");
    assert!(changed < full / 100, "{changed} of {full}");
    assert!(unchanged < 50, "{unchanged}");
}

#[tokio::test]
async fn sends_full_body_for_an_unknown_revision() {
    let (peer, local) = (peer().await, Mirror::default());
    local.update(NAME, rev(1), document("one"), Instant::now());
    for revision in 2..10 {
        let body = body_of(revision);
        peer.mirror
            .update(NAME, rev(revision), body, Instant::now());
    }

    fetch(&local, &peer).await;

    assert_eq!(local.get(NAME).expect("a replica").body, body_of(9));
}

#[tokio::test]
async fn fetched_older_revision_is_ignored() {
    let (peer, local) = (peer().await, Mirror::default());
    peer.mirror
        .update(NAME, rev(1), document("one"), Instant::now());
    local.update(NAME, rev(2), document("two"), Instant::now());

    fetch(&local, &peer).await;

    assert_eq!(local.get(NAME).expect("a replica").body, document("two"));
}

/// Revisions of a burst: 26 changes in quick succession, after the first revision.
const BURST: u64 = 27;

#[tokio::test]
async fn sends_only_changes_after_a_missed_burst() {
    let (peer, local, follower) = (peer().await, Mirror::default(), Mirror::default());
    peer.mirror.update(NAME, rev(1), body_of(1), Instant::now());
    let full = fetch(&local, &peer).await;
    for revision in 2..=BURST {
        let body = body_of(revision);
        peer.mirror
            .update(NAME, rev(revision), body, Instant::now());
        fetch(&follower, &peer).await;
    }

    let changed = fetch(&local, &peer).await;

    assert_eq!(local.get(NAME).expect("a replica").body, body_of(BURST));
    assert!(changed < full / 100, "{changed} of {full}");
}

#[tokio::test]
async fn sends_full_body_if_the_requester_is_too_far_behind() {
    let (peer, local) = (peer().await, Mirror::default());
    peer.mirror.update(NAME, rev(1), body_of(1), Instant::now());
    let full = fetch(&local, &peer).await;
    for revision in 2..=4 * BURST {
        let body = body_of(revision);
        peer.mirror
            .update(NAME, rev(revision), body, Instant::now());
    }

    let again = fetch(&local, &peer).await;

    assert_eq!(local.get(NAME).expect("a replica").body, body_of(4 * BURST));
    assert!(again > full / 2, "{again} of {full}");
}

#[tokio::test]
async fn concurrent_fetches_from_different_revisions_get_the_same_body() {
    let peer = peer().await;
    let mirrors: Vec<Mirror> = (0..12).map(|_| Mirror::default()).collect();
    for revision in 1..=6 {
        let body = body_of(revision);
        peer.mirror
            .update(NAME, rev(revision), body, Instant::now());
        for local in mirrors.iter().skip(2 * revision as usize - 2) {
            local.update(NAME, rev(revision), body_of(revision), Instant::now());
        }
    }
    peer.mirror.update(NAME, rev(7), body_of(7), Instant::now());

    let fetches = mirrors
        .iter()
        .map(|local| fetch_from(local.clone(), peer.addr));
    let fetches: Vec<_> = fetches.map(tokio::spawn).collect();
    for task in fetches {
        assert!(task.await.expect("no panic"), "no newer replica");
    }

    for local in &mirrors {
        assert_eq!(local.get(NAME).expect("a replica").body, body_of(7));
    }
}

#[test]
fn serves_other_requests_during_compression() {
    one_thread().block_on(async {
        let (peer, local, other) = (peer().await, Mirror::default(), Mirror::default());
        peer.mirror
            .update(NAME, rev(2), document("two"), Instant::now());
        local.update(NAME, rev(1), document("one"), Instant::now());
        other.update(NAME, rev(2), document("two"), Instant::now());
        // Occupies the only blocking thread, so that compression waits until `resume` is sent.
        let (resume, blocked) = std::sync::mpsc::channel::<()>();
        let blocker = tokio::task::spawn_blocking(move || blocked.recv());
        let pending = tokio::spawn(fetch_from(local.clone(), peer.addr));
        while peer.requests.load(Relaxed) == 0 {
            tokio::task::yield_now().await;
        }

        fetch_from(other, peer.addr).await;

        let answered = peer.sent.load(Relaxed);
        assert!(answered < 50, "{answered} bytes: compressed first");
        resume.send(()).expect("the blocker waits");
        blocker
            .await
            .expect("no panic")
            .expect("resumed by the test");
        assert!(pending.await.expect("no panic"), "no newer replica");
        assert_eq!(local.get(NAME).expect("a replica").body, document("two"));
    });
}

#[tokio::test]
async fn fetches_full_body_if_the_held_one_differs_under_the_same_revision() {
    let (peer, local) = (peer().await, Mirror::default());
    peer.mirror.update(NAME, rev(1), body_of(1), Instant::now());
    peer.mirror.update(NAME, rev(2), body_of(2), Instant::now());
    let different = body_of(1).iter().rev().copied().collect();
    local.update(NAME, rev(1), different, Instant::now());

    fetch(&local, &peer).await;

    assert_eq!(local.get(NAME).expect("a replica").body, body_of(2));
}

/// Returns a revision of an era of the store.
fn in_era(era: Era, number: u64) -> StoreRevision {
    StoreRevision::new(Some(era), number)
}

/// Stores a document of one line that differs by revision.
fn update(mirror: &Mirror, revision: StoreRevision, word: &str) {
    mirror.update(NAME, revision, document(word), Instant::now());
}

#[tokio::test]
async fn sends_only_changes_across_a_restore_of_the_store() {
    let (peer, local) = (peer().await, Mirror::default());
    update(&peer.mirror, in_era(1, 9), "nine");
    let full = fetch(&local, &peer).await;

    update(&peer.mirror, in_era(2, 3), "three");
    let changed = fetch(&local, &peer).await;

    assert_eq!(local.get(NAME).expect("a replica").body, document("three"));
    assert_eq!(local.revision(NAME), in_era(2, 3));
    assert!(changed < full / 100, "{changed} of {full}");
}

#[tokio::test]
async fn replica_of_an_earlier_era_with_a_higher_number_is_ignored() {
    let (peer, local) = (peer().await, Mirror::default());
    update(&peer.mirror, in_era(1, 9), "nine");
    update(&local, in_era(2, 3), "three");

    fetch(&local, &peer).await;

    assert_eq!(local.revision(NAME), in_era(2, 3));
}

#[tokio::test]
async fn process_of_an_earlier_release_is_followed_until_the_store_is_restored() {
    let (peer, local) = (peer_without_eras().await, Mirror::default());
    update(&local, in_era(1, 4), "four");
    update(&peer.mirror, rev(5), "five");
    fetch(&local, &peer).await;
    let followed = local.revision(NAME);
    update(&local, in_era(2, 3), "three");
    update(&peer.mirror, rev(6), "six");

    let client = Client::new(DialOptions::with_timeout(TIMEOUT));
    let fetched = mirror::fetch(&local, NAME, &client, peer.addr, TIMEOUT).await;

    assert_eq!(followed, in_era(1, 5));
    fetched.expect_err("its era can't be told");
    assert_eq!(local.revision(NAME), in_era(2, 3));
}

#[tokio::test]
async fn replica_without_an_era_gets_the_era_of_the_same_revision() {
    let (peer, local) = (peer().await, Mirror::default());
    update(&peer.mirror, in_era(1, 4), "four");
    update(&local, rev(4), "four");

    fetch(&local, &peer).await;

    assert_eq!(local.revision(NAME), in_era(1, 4));
    assert_eq!(local.get(NAME).expect("a replica").body, document("four"));
}

#[tokio::test]
async fn process_of_an_earlier_release_fetches_replicas() {
    let (peer, earlier) = (peer_without_eras().await, Mirror::default());
    update(&peer.mirror, in_era(1, 4), "four");
    fetch(&earlier, &peer).await;
    update(&peer.mirror, in_era(1, 5), "five");

    fetch(&earlier, &peer).await;

    assert_eq!(earlier.revision(NAME), rev(5));
    assert_eq!(earlier.get(NAME).expect("a replica").body, document("five"));
}

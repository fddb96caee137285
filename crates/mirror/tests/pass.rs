//! How much of a document travels to a process that asks for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use bytes::Bytes;
use mirror::Mirror;
use tokio::net::TcpListener;
use tokio::sync::watch;
use web::{Bounds, Client, Dial};

const NAME: &str = "configuration";

const PATIENCE: Duration = Duration::from_secs(20);

/// A process that passes its copies on, and how many bytes it has sent.
struct Peer {
    mirror: Mirror,
    addr: SocketAddr,
    sent: Arc<AtomicUsize>,
    _stop: watch::Sender<bool>,
}

async fn peer() -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (_stop, rx) = watch::channel(false);
    let (mirror, sent) = (Mirror::default(), Arc::new(AtomicUsize::new(0)));
    let (passing, counted) = (mirror.clone(), sent.clone());
    tokio::spawn(web::serve(listener, Bounds::internal(), rx, move |req| {
        let res = mirror::serve(&passing, &[NAME], &req);
        let length = hyper::body::Body::size_hint(res.body()).exact();
        counted.fetch_add(length.expect("a length") as usize, Relaxed);
        async move { res }
    }));
    Peer {
        mirror,
        addr,
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

async fn ask(own: &Mirror, peer: &Peer) -> usize {
    let client = Client::new(Dial::within(PATIENCE));
    let before = peer.sent.load(Relaxed);
    let asked = mirror::ask(own, NAME, &client, peer.addr, PATIENCE).await;
    asked.expect("a copy");
    peer.sent.load(Relaxed) - before
}

#[tokio::test]
async fn only_what_changed_travels_to_a_process_that_holds_an_earlier_revision() {
    let (peer, own) = (peer().await, Mirror::default());
    peer.mirror.take(NAME, 1, document("one"), Duration::ZERO);
    let whole = ask(&own, &peer).await;

    peer.mirror.take(NAME, 2, document("two"), Duration::ZERO);
    peer.mirror.take(NAME, 3, document("three"), Duration::ZERO);
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
    own.take(NAME, 1, document("one"), Duration::ZERO);
    for revision in 2..10 {
        let body = document(&format!("number {revision}"));
        peer.mirror.take(NAME, revision, body, Duration::ZERO);
    }

    ask(&own, &peer).await;

    assert_eq!(own.get(NAME).expect("a copy").body, document("number 9"));
}

#[tokio::test]
async fn an_older_revision_is_not_taken() {
    let (peer, own) = (peer().await, Mirror::default());
    peer.mirror.take(NAME, 1, document("one"), Duration::ZERO);
    own.take(NAME, 2, document("two"), Duration::ZERO);

    ask(&own, &peer).await;

    assert_eq!(own.get(NAME).expect("a copy").body, document("two"));
}

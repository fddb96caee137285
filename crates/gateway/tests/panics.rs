//! A handler that panics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::request::{Codec, InvalidHead, RequestMetadata, ResponseMetadata};
use gateway::{Cx, Dependencies, Peers};
use hyper::HeaderMap;
use hyper::http::request;
use mirror::Mirror;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use web::{Client, DialOptions};

const TIMEOUT: Duration = Duration::from_secs(20);

fn parse_request(_: &request::Parts) -> Result<RequestMetadata, InvalidHead> {
    panic!("a fault of the handler")
}

/// Returns a codec that panics on every request.
fn panicking_codec() -> Codec {
    Codec {
        parse_request,
        request_headers: |_, _| HeaderMap::new(),
        parse_response: |_| ResponseMetadata::default(),
        response_headers: |_| HeaderMap::new(),
    }
}

async fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

async fn cfg() -> settings::GatewayCfg {
    let (listen, ready, copies) = (free_addr().await, free_addr().await, free_addr().await);
    let (beacon, metrics, store) = (free_addr().await, free_addr().await, free_addr().await);
    let text = format!(
        "role: gateway\nvm: g-1\ndomain: recife\nlisten: {listen}\nready: {ready}\ncopies: {copies}\nbeacon: {beacon}\nmetrics: {metrics}\nstore: {store}\nseeds: []\n"
    );
    let settings::Settings::Gateway(cfg) = settings::check(&text).expect("valid settings") else {
        panic!("expected settings of a gateway");
    };
    *cfg
}

/// Guards against a panic that closes the caller's connection without a response.
#[tokio::test]
async fn request_whose_handler_panics_gets_status_500() {
    let cfg = cfg().await;
    let listen = cfg.listen;
    let (_catalog, catalog) = watch::channel(None);
    let (_reaches_store, reaches_store) = watch::channel(true);
    let (_peers, peers) = watch::channel(Peers::default());
    let (_members, registered_members) = watch::channel(Vec::new());
    let (_stop, stop) = watch::channel(false);
    let cx = Arc::new(Cx::new(Dependencies {
        cfg,
        codec: panicking_codec(),
        catalog,
        mirror: Mirror::default(),
        configuration: "operators",
        upstream_list: "runners",
        member_list: "members",
        served_documents: Vec::new(),
        reaches_store,
        read_store: Arc::new(Notify::new()),
        peers,
        registered_members,
        stop,
    }));
    tokio::spawn(gateway::run(cx));
    let client = Client::new(DialOptions::with_timeout(TIMEOUT));
    let mut statuses = Vec::new();

    while statuses.len() < 2 {
        let req = hyper::Request::get("/").body(web::empty());
        let sent = client.send(listen, req.expect("a request"), TIMEOUT).await;
        match sent {
            Ok(res) => statuses.push(res.status().as_u16()),
            // The gateway doesn't listen yet.
            Err(web::SendError::NotSent(..)) => tokio::time::sleep(Duration::from_millis(5)).await,
            Err(e) => panic!("{e}"),
        }
    }

    assert_eq!(statuses, [500, 500]);
}

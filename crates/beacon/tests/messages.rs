//! Encoding of messages, and their batches.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Era, Fingerprint, StoreRevision};
use beacon::{
    Beacon, Demand, DemandUpdate, EngineStatus, LoadUpdate, LostRunUpdate, MAX_DATAGRAM, Msg,
    PaceUpdate, PartUpdate, SuspectUpdate, TrialUpdate, batch_messages, decode, encode,
};
use catalog::Release;
use proptest::prelude::*;
use tokio::net::UdpSocket;

fn upstream(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn update(n: u64, exits: usize) -> SuspectUpdate {
    let ago = Duration::from_millis(n);
    SuspectUpdate {
        request: Fingerprint::of(&[&n.to_le_bytes()]),
        exits: (0..exits).map(|i| (u64::MAX - i as u64, ago)).collect(),
        finished: Some(ago),
        trial: Some(TrialUpdate {
            number: u32::MAX,
            upstream: Some(upstream(9)),
            ago,
        }),
    }
}

proptest! {
    #![proptest_config(cases::cases(512))]

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(
        buf in proptest::collection::vec(any::<u8>(), 0..MAX_DATAGRAM)
    ) {
        // Both an error and any message are fine, as long as a decoded message can be encoded again.
        if let Ok(msg) = decode(&buf) {
            prop_assert!(encode(&msg).is_ok());
        }
    }

    #[test]
    fn batches_fit_datagrams_and_hold_every_suspect(
        exits in proptest::collection::vec(0..9_usize, 0..120)
    ) {
        let updates: Vec<SuspectUpdate> = exits.iter().zip(0..).map(|(e, n)| update(n, *e)).collect();

        let msgs = batch_messages(updates.clone(), Msg::FarSuspects);

        let mut received = Vec::new();
        for msg in &msgs {
            let buf = encode(msg).expect("a message");
            prop_assert!(buf.len() <= MAX_DATAGRAM);
            let Ok(Msg::FarSuspects(updates)) = postcard::from_bytes(&buf) else {
                return Err(TestCaseError::fail("a batch decodes to another message"));
            };
            received.extend(updates);
        }
        prop_assert_eq!(received, updates);
    }
}

/// Returns an update whose revisions have eras, or none.
fn load_update(eras: [Option<Era>; 3]) -> LoadUpdate {
    let [configuration, members, upstreams] = eras.map(|era| StoreRevision::new(era, 300));
    LoadUpdate {
        from: "g-1".to_owned(),
        domain: "recife".to_owned(),
        incarnation: 7,
        sequence: 9,
        reaches_store: true,
        configuration,
        members,
        upstreams,
        upstreams_age: Duration::from_millis(20),
        replica_addr: upstream(8),
        loads: Vec::new(),
    }
}

#[test]
fn eras_of_revisions_are_transmitted() {
    let eras = [Some(2), None, Some(u64::MAX)];
    for msg in [Msg::Load, Msg::DomainLoad, Msg::RelayedLoad] {
        let msg = msg(load_update(eras));

        let received = decode(&encode(&msg).expect("a datagram"));

        assert_eq!(received, Ok(msg));
    }
}

#[test]
fn process_of_an_earlier_release_reads_an_update_without_its_eras() {
    let msg = Msg::Load(load_update([Some(2); 3]));
    let buf = encode(&msg).expect("a datagram");

    let received: Msg = postcard::from_bytes(&buf).expect("a message");

    assert_eq!(received, Msg::Load(load_update([None; 3])));
}

#[test]
fn update_of_a_process_of_an_earlier_release_has_no_eras() {
    let msg = Msg::Load(load_update([None; 3]));
    let buf = postcard::to_stdvec(&msg).expect("a datagram");

    assert_eq!(decode(&buf), Ok(msg));
}

fn pace_update(sequence: u64) -> PaceUpdate {
    PaceUpdate {
        upstream: upstream(9),
        incarnation: 7,
        sequence,
        pace: 2500,
    }
}

/// Guards against a kind that is inserted before others: processes of other releases would read its datagrams as
/// another kind.
#[test]
fn kinds_of_pace_updates_are_transmitted_and_come_after_all_earlier_ones() {
    let earlier = Msg::FarRateLimits(Vec::new());
    let last = encode(&earlier).expect("a datagram")[0];
    for (msg, kind) in [
        (Msg::Pace(pace_update(3)), last + 1),
        (Msg::FarPace(pace_update(4)), last + 2),
    ] {
        let buf = encode(&msg).expect("a datagram");

        assert_eq!(buf[0], kind);
        assert_eq!(decode(&buf), Ok(msg));
    }
}

/// Guards against a receiver that stops, or that reads another message, when a newer process sends a kind that it
/// doesn't know.
#[test]
fn kinds_of_part_updates_are_transmitted_and_come_after_all_earlier_ones() {
    let part = Fingerprint::of(&[b"part"]);
    let update = |n| {
        PartUpdate::Lost(LostRunUpdate {
            request: part,
            incarnation: n,
            started: Duration::from_millis(300),
            ended: Duration::ZERO,
            parts: vec![part; 3],
        })
    };
    let earlier = encode(&Msg::RelayedDemand(demand_update())).expect("an encoded message");
    for (msg, kind) in [
        (Msg::Parts(vec![update(3)]), earlier[0] + 1),
        (Msg::FarParts(vec![update(4)]), earlier[0] + 2),
    ] {
        let buf = encode(&msg).expect("an encoded message");

        assert_eq!(buf[0], kind);
        assert_eq!(decode(&buf), Ok(msg));
    }
}

#[tokio::test]
async fn datagram_of_an_unknown_kind_is_skipped() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let probe = UdpSocket::bind(any).await.expect("a socket");
    let addr = probe.local_addr().expect("an address");
    drop(probe);
    let receiver = Beacon::bind(addr).await.expect("a free port");
    let sender = UdpSocket::bind(any).await.expect("a socket");
    let msg = Msg::Pace(pace_update(3));
    let mut unknown = encode(&msg).expect("a datagram");
    unknown[0] = 120;
    assert!(decode(&unknown).is_err());

    for buf in [unknown, encode(&msg).expect("a datagram")] {
        sender.send_to(&buf, addr).await.expect("sent");
    }

    assert_eq!(receiver.recv().await.0, msg);
}

fn demand_update() -> DemandUpdate {
    DemandUpdate {
        from: "g-1".to_owned(),
        domain: "recife".to_owned(),
        incarnation: 7,
        sequence: 9,
        demands: vec![Demand {
            service: "llm".to_owned(),
            millislots: 260_000,
            bytes: 1_300_000,
            barred: vec![("natal".to_owned(), 20_000)],
        }],
    }
}

#[test]
fn demand_is_transmitted() {
    for msg in [Msg::Demand, Msg::DomainDemand, Msg::RelayedDemand] {
        let msg = msg(demand_update());

        let received = decode(&encode(&msg).expect("a datagram"));

        assert_eq!(received, Ok(msg));
    }
}

#[test]
fn sizes_of_demand_updates_are_as_documented() {
    // docs/design/domain-shares.md derives the load of links from it.
    let size = |update| {
        encode(&Msg::DomainDemand(update))
            .expect("a datagram")
            .len()
    };
    let update = DemandUpdate {
        from: "front-rec-a-12".to_owned(),
        incarnation: 1_764_780_000_000,
        sequence: 100_000,
        demands: vec![Demand {
            barred: Vec::new(),
            ..demand_update().demands[0].clone()
        }],
        ..demand_update()
    };

    let bytes = size(update);
    println!("{bytes} bytes");

    assert!(bytes <= 60, "{bytes}");
}

fn engine_status(verified: Vec<Release>) -> EngineStatus {
    EngineStatus {
        incarnation: 7,
        sequence: 9,
        upstream: upstream(9),
        switching: false,
        leaves_in: None,
        holdings: Vec::new(),
        running: 1,
        queued: 0,
        releases: Vec::new(),
        start_time: Some(5),
        verified,
    }
}

fn release() -> Release {
    Release {
        model: "m0".to_owned(),
        version: 3,
    }
}

#[test]
fn verified_releases_of_a_status_are_transmitted() {
    for verified in [Vec::new(), vec![release()]] {
        let msg = Msg::Engine(engine_status(verified));

        let received = decode(&encode(&msg).expect("a datagram"));

        assert_eq!(received, Ok(msg));
    }
}

#[test]
fn process_of_an_earlier_release_reads_a_status_without_verified_releases() {
    let msg = Msg::Engine(engine_status(vec![release()]));
    let buf = encode(&msg).expect("a datagram");

    let received: Msg = postcard::from_bytes(&buf).expect("a message");

    assert_eq!(received, Msg::Engine(engine_status(Vec::new())));
}

#[test]
fn status_of_a_process_of_an_earlier_release_has_no_verified_releases() {
    let msg = Msg::Engine(engine_status(Vec::new()));
    let buf = postcard::to_stdvec(&msg).expect("a datagram");

    assert_eq!(decode(&buf), Ok(msg));
}

//! Encoding of messages, and their batches.

use std::net::SocketAddr;
use std::time::Duration;

use base::Fingerprint;
use beacon::{MAX_DATAGRAM, Msg, SuspectUpdate, TrialUpdate, batch_messages, encode};
use proptest::prelude::*;

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
        if let Ok(msg) = postcard::from_bytes::<Msg>(&buf) {
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

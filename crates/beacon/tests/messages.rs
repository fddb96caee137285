//! Messages as they travel.

use std::net::SocketAddr;
use std::time::Duration;

use base::Fingerprint;
use beacon::{MAX_DATAGRAM, Msg, SuspectUpdate, TrialUpdate, batch_messages, encode};
use proptest::prelude::*;

fn upstream(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn note(n: u64, exits: usize) -> SuspectUpdate {
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
    fn what_is_no_message_ends_nobody_who_reads_it(
        buf in proptest::collection::vec(any::<u8>(), 0..MAX_DATAGRAM)
    ) {
        // Whatever it says: that it's read to an error or to a message is all that is asked.
        if let Ok(msg) = postcard::from_bytes::<Msg>(&buf) {
            prop_assert!(encode(&msg).is_ok());
        }
    }

    #[test]
    fn suspects_are_packed_into_datagrams_and_none_is_left_out(
        ends in proptest::collection::vec(0..9_usize, 0..120)
    ) {
        let notes: Vec<SuspectUpdate> = ends.iter().zip(0..).map(|(e, n)| note(n, *e)).collect();

        let msgs = batch_messages(notes.clone(), Msg::FarSuspects);

        let mut told = Vec::new();
        for msg in &msgs {
            let buf = encode(msg).expect("a message");
            prop_assert!(buf.len() <= MAX_DATAGRAM);
            let Ok(Msg::FarSuspects(notes)) = postcard::from_bytes(&buf) else {
                return Err(TestCaseError::fail("it's read as it was written"));
            };
            told.extend(notes);
        }
        prop_assert_eq!(told, notes);
    }
}

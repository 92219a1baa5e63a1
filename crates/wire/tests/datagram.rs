//! Property tests of valid and damaged datagrams between hosts.

use monsoonring_decision::fact::{Entry, Key, Stamp};
use monsoonring_decision::gateway::members::Datagram;
use monsoonring_decision::member::{BucketRange, Change, Incarnation, Page, State};
use monsoonring_wire::datagram::{MAX_BYTES, decode, encode};
use proptest::prelude::*;
use std::time::Duration;

fn change(address: [u8; 4], port: u16, start: u64, state: State) -> Change {
    Change {
        id: (address, port).into(),
        incarnation: Incarnation {
            start,
            refutation: 1,
        },
        state,
        data_centre: "lac-hall".into(),
    }
}

fn any_change() -> impl Strategy<Value = Change> {
    let state = prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Dead),
        Just(State::Left { successor: None }),
    ];
    (any::<[u8; 4]>(), any::<u16>(), any::<u64>(), state)
        .prop_map(|(address, port, start, state)| change(address, port, start, state))
}

fn any_datagram() -> impl Strategy<Value = Datagram> {
    let page = prop::collection::vec(any_change(), 0..40);
    prop_oneof![
        (any::<u64>(), any::<[u8; 4]>(), any::<u16>())
            .prop_map(|(probe, address, port)| Datagram::ProbeFor(probe, (address, port).into())),
        (any::<u8>(), any::<u8>())
            .prop_map(|(first, last)| Datagram::Pull(BucketRange { first, last })),
        page.prop_map(|changes| Datagram::Page(Page {
            changes,
            rest: None
        })),
        (any::<u64>(), any::<u32>(), any::<Option<[u8; 4]>>()).prop_map(
            |(fingerprint, life, server)| {
                let evidence = |address| Key::CrashEvidence(fingerprint, (address, 8_000).into());
                Datagram::Fact(Entry {
                    key: server.map_or(Key::Suspect(fingerprint), evidence),
                    stamp: Stamp::default(),
                    life: Duration::from_millis(life.into()),
                })
            }
        ),
    ]
}

proptest! {
    #[test]
    fn decode_any_datagram_is_what_was_encoded(datagram in any_datagram()) {
        let bytes = encode(&datagram).expect("the datagram is small enough");
        prop_assert!(bytes.len() <= MAX_BYTES);
        let decoded: Datagram = decode(&bytes).expect("the datagram is valid");
        prop_assert_eq!(decoded, datagram);
    }

    // Guards against a panic or a huge allocation from a forged or damaged datagram, such as one with a
    // wrong length.
    #[test]
    fn decode_any_bytes_neither_panics_nor_exhausts_memory(
        bytes in prop::collection::vec(any::<u8>(), 0..2_000),
    ) {
        let _: Result<Datagram, _> = decode(&bytes);
    }

    #[test]
    fn decode_truncated_datagram_is_an_error(datagram in any_datagram(), cut in 1_usize..12) {
        let bytes = encode(&datagram).expect("the datagram is small enough");
        let len = bytes.len().saturating_sub(cut);
        let decoded: Result<Datagram, _> = decode(&bytes[..len]);
        prop_assert!(decoded.is_err());
    }
}

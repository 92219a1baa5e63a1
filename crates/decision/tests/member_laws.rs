//! Property tests of the member table: order, repetition and loss of messages, and the size of messages.

mod network;

use monsoonring_decision::Time;
use monsoonring_decision::member::{BucketRange, Change, Event, Settings, State, Table};
use network::{Network, SECOND, change, feed, id, list_seeds, table};
use proptest::prelude::*;

#[test]
fn message_size_is_bounded_and_covers_the_encoding() {
    let mut table = table(0, 1, Time::ZERO);
    let left = State::Left {
        successor: Some(id(7)),
    };
    let many: Vec<Change> = (1..500).map(|n| change(n, 1, 0, left)).collect();
    table.handle(Event::Tick, Time::ZERO);
    feed(&mut table, &many, Time::ZERO);
    for _ in 0..20 {
        let message = table.message(id(3));
        let bytes: usize = message.changes.iter().map(Change::size).sum();
        assert!(bytes <= Settings::default().message_bytes);
        // The empty attachment takes a tag of 1 byte and a length of 8 bytes.
        let encoded = bincode::serialize(&message).expect("a message encodes");
        assert!(
            encoded.len() <= message.size() + 1 + 8,
            "{} bytes",
            encoded.len()
        );
    }
    let page = table.page(BucketRange { first: 0, last: 63 });
    let bytes: usize = page.changes.iter().map(Change::size).sum();
    assert!(bytes <= Settings::default().page_bytes && page.rest.is_some());
}

fn any_state() -> impl Strategy<Value = State> {
    prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Dead),
        Just(State::Left { successor: None }),
        Just(State::Left {
            successor: Some(id(7))
        }),
    ]
}

fn any_change() -> impl Strategy<Value = Change> {
    (1..4usize, 0..3u64, 0..3u32, any_state()).prop_map(|(of, s, r, state)| change(of, s, r, state))
}

proptest! {
    #[test]
    fn supersedes_is_a_total_order(a in any_change(), b in any_change()) {
        let b = Change { id: a.id, ..b };
        prop_assert_eq!(a.supersedes(&b) || b.supersedes(&a), a != b);
        prop_assert!(!(a.supersedes(&b) && b.supersedes(&a)));
    }

    #[test]
    fn declare_in_any_order_converges(
        changes in prop::collection::vec(any_change(), 1..20),
        again in prop::collection::vec(0..20usize, 0..20),
        keys in prop::collection::vec(any::<u32>(), 40),
    ) {
        let mut shuffled: Vec<Change> = changes.clone();
        shuffled.extend(again.iter().filter_map(|n| changes.get(*n)).cloned());
        let mut order: Vec<usize> = (0..shuffled.len()).collect();
        order.sort_by_key(|n| keys[*n]);
        let shuffled: Vec<Change> = order.iter().map(|n| shuffled[*n].clone()).collect();
        let (mut left, mut right) = (table(0, 1, Time::ZERO), table(0, 1, Time::ZERO));
        feed(&mut left, &changes, Time::ZERO);
        feed(&mut right, &shuffled, Time::ZERO);
        for of in 1..4 {
            prop_assert_eq!(left.get(id(of)), right.get(id(of)));
        }
        prop_assert_eq!(left.serving(), right.serving());
        for bucket in 0..64 {
            let range = BucketRange { first: bucket, last: bucket };
            prop_assert_eq!(left.page(range), right.page(range));
        }
    }
}

proptest! {
    // Each case runs up to 11 members for three simulated minutes.
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn tick_lossy_network_converges(loss in 0.0..0.5f64, count in 2..12usize) {
        let mut network = Network::joined(count);
        list_seeds(&mut network);
        network.set_loss(loss);
        network.run(SECOND * 60);
        network.is_dropped = Box::new(|_, _| false);
        network.run(SECOND * 120);
        let serving: Vec<usize> = network.tables.iter().map(Table::serving).collect();
        prop_assert_eq!(serving, vec![count; count]);
    }
}

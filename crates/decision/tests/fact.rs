//! Tests the fact table against late, lost and repeated facts, and its limits.

use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::Time;
use monsoonring_decision::fact::{Entry, Key, MAX_LIFE, Stamp, TOMBSTONE_LIFE, Table};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);
const LIFE: Duration = Duration::from_secs(60);

fn server(number: u16) -> BackendServerId {
    BackendServerId::from(([10, 1, 0, 1], number))
}

fn leaving(start: u64, life: Duration) -> Entry {
    let stamp = Stamp {
        version: start,
        renewal: 0,
    };
    Entry {
        key: Key::Leaving(server(1)),
        stamp,
        life,
    }
}

#[test]
fn receive_expired_fact_is_ignored() {
    // Guards against reviving an expired fact that a daemon sends late.
    let mut table = Table::default();
    let suspect = Entry {
        key: Key::Suspect(7),
        stamp: Stamp::default(),
        life: LIFE,
    };
    assert_eq!(table.receive(vec![suspect.clone()], Time::ZERO).len(), 1);
    let late = LIFE + SECOND;
    table.expire(late);
    assert_eq!(table.get(&Key::Suspect(7), late), None);
    assert_eq!(table.receive(vec![suspect.clone()], late), vec![]);
    assert_eq!(table.get(&Key::Suspect(7), late), None);
    let forgotten = LIFE + TOMBSTONE_LIFE;
    table.expire(forgotten);
    assert!(table.is_empty());
}

#[test]
fn receive_superseded_fact_is_ignored() {
    // Guards against an older fact replacing a newer one, which would mark a restarted server as leaving.
    let mut table = Table::default();
    table.receive(vec![leaving(6, LIFE)], Time::ZERO);
    assert_eq!(table.receive(vec![leaving(5, LIFE)], Time::ZERO), vec![]);
    let held = table.get(&Key::Leaving(server(1)), Time::ZERO);
    assert_eq!(held.map(|entry| entry.stamp.version), Some(6));
}

#[test]
fn receive_echo_does_not_extend_life() {
    // Guards against extending a fact's life by sending it back and forth.
    let (mut left, mut right) = (Table::default(), Table::default());
    left.learn(Key::Suspect(7), 0, LIFE, Time::ZERO);
    let delay = Duration::from_millis(100);
    let mut now = Time::ZERO;
    while now < LIFE {
        let entries: Vec<Entry> = left.iter(now).collect();
        right.receive(entries, now + delay);
        let entries: Vec<Entry> = right.iter(now + delay).collect();
        left.receive(entries, now + delay + delay);
        now += SECOND;
    }
    assert_eq!(left.get(&Key::Suspect(7), LIFE), None);
    assert_eq!(right.get(&Key::Suspect(7), LIFE + delay), None);
}

#[test]
fn learn_again_renews_with_a_higher_stamp() {
    let mut table = Table::default();
    let key = Key::Suspect(7);
    assert!(table.learn(key.clone(), 0, LIFE, Time::ZERO).is_some());
    assert_eq!(
        table.learn(key.clone(), 0, LIFE, SECOND),
        None,
        "renewals are rate-limited"
    );
    let renewed = table.learn(key.clone(), 0, LIFE, LIFE / 2);
    assert_eq!(renewed.map(|entry| entry.stamp.renewal), Some(1));
    assert!(table.get(&key, LIFE + SECOND).is_some());
}

#[test_case(Duration::ZERO => 0; "expired")]
#[test_case(MAX_LIFE * 100 => 1; "longer_than_the_maximum")]
fn receive_life(life: Duration) -> usize {
    let mut table = Table::default();
    let new = table.receive(vec![leaving(1, life)], Time::ZERO);
    assert!(new.iter().all(|entry| entry.life <= MAX_LIFE));
    assert_eq!(table.get(&Key::Leaving(server(1)), MAX_LIFE), None);
    new.len()
}

#[test]
fn learn_beyond_capacity_drops_the_shortest_lived() {
    // Guards against unbounded memory use.
    let mut table = Table::new(10);
    for number in 0..100 {
        table.learn(
            Key::Suspect(number),
            0,
            SECOND * (100 + number as u32),
            Time::ZERO,
        );
    }
    assert_eq!(table.len(), 10);
    assert!(table.get(&Key::Suspect(99), Time::ZERO).is_some());
}

#[test]
fn pick_is_bounded_and_covers_all_facts() {
    let mut table = Table::default();
    table.set_members(3_800);
    for number in 0..500 {
        table.learn(Key::Leaving(server(number)), 1, LIFE, Time::ZERO);
    }
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let picked = table.pick(1_000, Time::ZERO);
        let bytes: usize = picked.iter().map(Entry::size).sum();
        assert!(bytes <= 1_000);
        let encoded = bincode::serialize(&picked).expect("facts encode");
        assert!(
            encoded.len() <= bytes + 8,
            "the size must cover the encoding"
        );
        seen.extend(picked.into_iter().map(|entry| entry.key));
    }
    assert_eq!(seen.len(), 500);
}

#[test]
fn pick_repeats_facts_at_a_low_rate() {
    // Guards against never repeating a fact to a daemon that was unreachable while it was sent.
    let mut table = Table::default();
    table.set_members(8);
    table.learn(Key::Suspect(7), 0, LIFE, Time::ZERO);
    let later = SECOND * 10;
    for _ in 0..100 {
        table.pick(1_000, Time::ZERO);
    }
    let is_repeated = (0..2).any(|_| !table.pick(1_000, later).is_empty());
    assert!(is_repeated);
}

fn any_entry() -> impl Strategy<Value = Entry> {
    (0..3u64, 0..3u64, 0..3u32, 1..90u64).prop_map(|(key, version, renewal, life)| Entry {
        key: Key::Suspect(key),
        stamp: Stamp { version, renewal },
        life: SECOND * u32::try_from(life).expect("small"),
    })
}

proptest! {
    /// Stamps never decrease, and an expired stamp never becomes valid again. Each case takes less than
    /// `TOMBSTONE_LIFE`.
    #[test]
    fn receive_never_reverts(entries in prop::collection::vec((any_entry(), 0..15u32), 1..40)) {
        let mut table = Table::default();
        let mut now = Time::ZERO;
        let mut expired: Vec<Entry> = Vec::new();
        let mut highest = [None; 3];
        for (entry, wait) in entries {
            now += SECOND * wait;
            table.expire(now);
            table.receive(vec![entry], now);
            for key in 0..3 {
                let held = table.get(&Key::Suspect(key), now);
                let stamp = held.as_ref().map(|held| held.stamp);
                let index = usize::try_from(key).expect("small");
                if let Some(held) = held {
                    prop_assert!(stamp >= highest[index]);
                    let is_same = |old: &Entry| old.key == held.key && old.stamp == held.stamp;
                    prop_assert!(!expired.iter().any(is_same));
                    highest[index] = stamp;
                    expired.retain(|old| !is_same(old));
                } else if let Some(stamp) = highest[index] {
                    let key = Key::Suspect(key);
                    expired.push(Entry { key, stamp, life: Duration::ZERO });
                }
            }
        }
    }

    /// Tables that receive the same entries in any order, repeated or not, hold the same stamps.
    #[test]
    fn receive_in_any_order_converges(
        entries in prop::collection::vec(any_entry(), 1..20), rotation in 0..20usize,
    ) {
        let mut rotated = entries.clone();
        rotated.rotate_left(rotation % entries.len());
        rotated.extend(entries.iter().rev().cloned());
        let (mut left, mut right) = (Table::default(), Table::default());
        left.receive(entries, Time::ZERO);
        right.receive(rotated, Time::ZERO);
        let known = |table: &Table| table.iter(Time::ZERO).collect::<Vec<_>>();
        prop_assert_eq!(known(&left), known(&right));
    }

    /// Every table receives every fact when half of the messages are lost.
    #[test]
    fn pick_with_lost_messages_reaches_all(seed in any::<u64>(), count in 2..12usize) {
        use rand::{Rng, SeedableRng};
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut tables: Vec<Table> = (0..count).map(|_| Table::default()).collect();
        tables.iter_mut().for_each(|table| table.set_members(count));
        for (key, table) in (0..).zip(&mut tables) {
            table.learn(Key::Suspect(key), 0, MAX_LIFE, Time::ZERO);
        }
        // Exhausted facts are still in one message of four, so 200 rounds suffice.
        for round in 1..200 {
            for from in 0..count {
                let to = rng.random_range(0..count);
                let entries = tables[from].pick(1_000, SECOND * round);
                if rng.random_bool(0.5) {
                    tables[to].receive(entries, SECOND * round);
                }
            }
        }
        let lens: Vec<usize> = tables.iter().map(Table::len).collect();
        prop_assert_eq!(lens, vec![count; count]);
    }
}

// Guards against a host that starts and takes a refused request for seconds, while evidence against others is repeated.
#[test]
fn pick_many_evidence_facts_repeats_each_refusal() {
    let mut table = Table::default();
    table.set_members(9);
    for number in 0..200 {
        let key = Key::CrashEvidence(number, server(1));
        table.learn(key, 0, MAX_LIFE, Time::ZERO);
    }
    for number in 0..3 {
        table.learn(Key::Suspect(number), 0, MAX_LIFE, Time::ZERO);
    }
    let mut evidence = BTreeSet::new();
    for _ in 0..1_000 {
        table.pick(300, Time::ZERO);
    }
    for _ in 0..200 {
        let mut picked = table.pick(300, Time::ZERO);
        picked.extend(table.pick(300, Time::ZERO));
        let refusals = picked.iter();
        let refusals = refusals.filter(|entry| matches!(entry.key, Key::Suspect(_)));
        assert_eq!(refusals.count(), 3, "in each two messages");
        evidence.extend(picked.into_iter().map(|entry| entry.key));
    }
    assert_eq!(evidence.len(), 203, "evidence is repeated too");
}

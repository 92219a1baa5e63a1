//! Facts that are late, lost, repeated or too many.

use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::Time;
use monsoonring_decision::fact::{Entry, Key, MAX_LIFE, Stamp, TOMBSTONE_LIFE, Table};
use proptest::prelude::*;
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
fn receive_expired_fact_is_not_brought_back() {
    // Symptom: harmless requests are refused again long after the suspicion ended.
    // Events: a fact expires; a daemon that was cut off passes it on with life left.
    // Cause: a table that has forgotten the fact takes it for a new one.
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
fn receive_superseded_fact_is_refused() {
    // Symptom: a backend server that came back gets no work.
    // Events: start 5 leaves, start 6 leaves later; a late daemon says that start 5 leaves.
    // Cause: the older fact overwrites the newer.
    let mut table = Table::default();
    table.receive(vec![leaving(6, LIFE)], Time::ZERO);
    assert_eq!(table.receive(vec![leaving(5, LIFE)], Time::ZERO), vec![]);
    let held = table.get(&Key::Leaving(server(1)), Time::ZERO);
    assert_eq!(held.map(|entry| entry.stamp.version), Some(6));
}

#[test]
fn receive_echo_does_not_lengthen_life() {
    // Symptom: facts never die.
    // Events: two daemons tell each other the same fact; each message takes 100 ms on its way.
    // Cause: the time on the way isn't taken off the remaining life.
    let (mut one, mut other) = (Table::default(), Table::default());
    one.learn(Key::Suspect(7), 0, LIFE, Time::ZERO);
    let way = Duration::from_millis(100);
    let mut now = Time::ZERO;
    while now < LIFE {
        let entries: Vec<Entry> = one.iter(now).collect();
        other.receive(entries, now + way);
        let entries: Vec<Entry> = other.iter(now + way).collect();
        one.receive(entries, now + way + way);
        now += SECOND;
    }
    assert_eq!(one.get(&Key::Suspect(7), LIFE), None);
    assert_eq!(other.get(&Key::Suspect(7), LIFE + way), None);
}

#[test]
fn learn_direct_evidence_renews_under_a_higher_stamp() {
    let mut table = Table::default();
    let key = Key::Suspect(7);
    assert!(table.learn(key.clone(), 0, LIFE, Time::ZERO).is_some());
    assert_eq!(
        table.learn(key.clone(), 0, LIFE, SECOND),
        None,
        "no flood of renewals"
    );
    let renewed = table.learn(key.clone(), 0, LIFE, LIFE / 2);
    assert_eq!(renewed.map(|entry| entry.stamp.renewal), Some(1));
    assert!(table.get(&key, LIFE + SECOND).is_some());
}

#[test_case(Duration::ZERO => 0; "no_life_left")]
#[test_case(MAX_LIFE * 100 => 1; "too_long_is_cut")]
fn receive_life(life: Duration) -> usize {
    let mut table = Table::default();
    let new = table.receive(vec![leaving(1, life)], Time::ZERO);
    assert!(new.iter().all(|entry| entry.life <= MAX_LIFE));
    assert_eq!(table.get(&Key::Leaving(server(1)), MAX_LIFE), None);
    new.len()
}

#[test]
fn hold_more_than_capacity_drops_the_shortest_lived() {
    // Symptom: a daemon's memory grows without bound.
    // Events: a rack of backend servers leaves while a crashing request is sent in many forms.
    // Cause: every fact is kept.
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
fn pick_is_bounded_and_each_fact_has_its_turn() {
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
        assert!(encoded.len() <= bytes + 8, "the size covers the encoding");
        seen.extend(picked.into_iter().map(|entry| entry.key));
    }
    assert_eq!(seen.len(), 500);
}

#[test]
fn pick_passed_on_fact_is_still_repeated_slowly() {
    // Symptom: a daemon that was cut off for a while never learns that a server is leaving.
    // Events: the fact was passed on as often as it ever is while the daemon was unreachable.
    // Cause: nobody sends it any more.
    let mut table = Table::default();
    table.set_members(8);
    table.learn(Key::Suspect(7), 0, LIFE, Time::ZERO);
    let later = SECOND * 10;
    for _ in 0..100 {
        table.pick(1_000, Time::ZERO);
    }
    let seen = (0..2).any(|_| !table.pick(1_000, later).is_empty());
    assert!(seen);
}

fn any_entry() -> impl Strategy<Value = Entry> {
    (0..3u64, 0..3u64, 0..3u32, 1..90u64).prop_map(|(key, version, renewal, life)| Entry {
        key: Key::Suspect(key),
        stamp: Stamp { version, renewal },
        life: SECOND * u32::try_from(life).expect("small"),
    })
}

proptest! {
    /// A stamp never goes back, and a stamp once expired never holds again, while it is guarded
    /// against: the whole case lasts less than `TOMBSTONE_LIFE`.
    #[test]
    fn receive_never_reverts(entries in prop::collection::vec((any_entry(), 0..15u32), 1..40)) {
        let mut table = Table::default();
        let mut now = Time::ZERO;
        let mut ended: Vec<Entry> = Vec::new();
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
                    let same = |old: &Entry| old.key == held.key && old.stamp == held.stamp;
                    prop_assert!(!ended.iter().any(same));
                    highest[index] = stamp;
                    ended.retain(|old| !same(old));
                } else if let Some(stamp) = highest[index] {
                    let key = Key::Suspect(key);
                    ended.push(Entry { key, stamp, life: Duration::ZERO });
                }
            }
        }
    }

    /// Tables that got the same entries, in whatever order and however often, know the same stamps.
    #[test]
    fn receive_any_order_ends_the_same(
        entries in prop::collection::vec(any_entry(), 1..20), turn in 0..20usize,
    ) {
        let mut turned = entries.clone();
        turned.rotate_left(turn % entries.len());
        turned.extend(entries.iter().rev().cloned());
        let (mut one, mut other) = (Table::default(), Table::default());
        one.receive(entries, Time::ZERO);
        other.receive(turned, Time::ZERO);
        let known = |table: &Table| table.iter(Time::ZERO).collect::<Vec<_>>();
        prop_assert_eq!(known(&one), known(&other));
    }

    /// With half of the messages lost, every daemon learns every fact.
    #[test]
    fn pick_lossy_exchange_reaches_all(seed in any::<u64>(), count in 2..12usize) {
        use rand::{Rng, SeedableRng};
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut tables: Vec<Table> = (0..count).map(|_| Table::default()).collect();
        tables.iter_mut().for_each(|table| table.set_members(count));
        for (key, table) in (0..).zip(&mut tables) {
            table.learn(Key::Suspect(key), 0, MAX_LIFE, Time::ZERO);
        }
        // A fact passed on no more is in one message of four; 200 rounds leave no room for chance.
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

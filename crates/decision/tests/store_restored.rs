//! Tests the registry of backend servers after the store was restored from an older backup.

mod registered;

use monsoonring_decision::Time;
use monsoonring_decision::gateway::registry::{Entry, Event, Order, Registry, State};
use registered::{listed, usable};
use std::net::SocketAddr;
use std::time::Duration;

fn ms(time: u64) -> Time {
    Time::from_millis(time)
}

/// Returns an entry of a server that never restarted.
fn entry(instance: &str, number: u8, sequence: u64, revision: u64) -> Entry {
    Entry {
        instance: instance.into(),
        service: "map".into(),
        address: SocketAddr::from(([10, 0, 0, number], 8080)),
        data_centre: "lac".into(),
        slots: 3,
        state: State::Ready,
        cold_for: Duration::ZERO,
        order: Order {
            started_at: 7,
            sequence,
        },
        revision,
    }
}

fn restore(registry: &mut Registry, backup: &[Entry], now: Time) {
    registry.handle(Event::StoreRestored, now);
    registry.handle(Event::Listed(backup.to_vec()), now);
}

// Guards against a shard losing healthy servers because the backup is older than their registration.
#[test]
fn restored_without_a_server_keeps_it_until_it_could_register() {
    let mut registry = listed(&[entry("a", 1, 4, 90), entry("b", 2, 4, 91)]);
    restore(&mut registry, &[], ms(1_000));
    assert_eq!(usable(&registry), ["a", "b"]);
    registry.handle(Event::Written(entry("a", 1, 6, 70)), ms(2_000));
    let wake = registry
        .next_wake()
        .expect("the missing server has a deadline");
    assert!(wake >= ms(3_000) && wake <= ms(3_500), "{wake:?}");
    assert!(registry.handle(Event::Tick, wake));
    assert_eq!(usable(&registry), ["a"]);
}

// Guards against ignoring changes after a restore, when revisions start lower than before.
#[test]
fn restored_store_applies_changes_with_lower_revisions() {
    let mut registry = listed(&[entry("a", 1, 4, 1_000)]);
    restore(&mut registry, &[entry("a", 1, 4, 20)], ms(1_000));
    let leaving = Entry {
        state: State::Draining,
        ..entry("a", 1, 4, 30)
    };
    assert!(registry.handle(Event::Written(leaving), ms(1_500)));
    assert!(usable(&registry).is_empty());
    let unreadable = Event::Unreadable("a".into(), 31);
    assert!(registry.handle(unreadable, ms(1_600)));
}

// Guards against giving new requests to a leaving server because the backup holds its earlier entry.
#[test]
fn restored_older_entry_does_not_make_a_leaving_server_ready() {
    let leaving = Entry {
        state: State::Draining,
        ..entry("a", 1, 9, 90)
    };
    let mut registry = listed(&[leaving]);
    restore(&mut registry, &[entry("a", 1, 8, 50)], ms(1_000));
    assert!(usable(&registry).is_empty());
}

// Guards against sending requests to a stopped server, whose address may be reused, because the backup still has its
// entry.
#[test]
fn restored_entry_of_a_removed_server_is_not_usable() {
    let mut registry = listed(&[entry("a", 1, 4, 90), entry("b", 2, 4, 91)]);
    registry.handle(Event::Deleted("a".into()), ms(500));
    let backup = [entry("a", 1, 4, 40), entry("b", 2, 4, 41)];
    restore(&mut registry, &backup, ms(1_000));
    assert_eq!(usable(&registry), ["b"]);
    // The entry expires, as the server no longer renews it.
    registry.handle(Event::Deleted("a".into()), ms(4_600));
    registry.handle(Event::Tick, ms(60_000));
    assert_eq!(usable(&registry), ["b"]);
}

// Guards against ignoring a running server for good: its entry had expired, is back in the backup, and the server only
// renews it, which causes no event.
#[test]
fn restored_entry_of_a_removed_server_is_usable_if_it_does_not_expire() {
    let mut registry = listed(&[entry("a", 1, 4, 90)]);
    registry.handle(Event::Deleted("a".into()), ms(500));
    restore(&mut registry, &[entry("a", 1, 4, 40)], ms(1_000));
    assert!(usable(&registry).is_empty());
    let wake = registry
        .next_wake()
        .expect("the restored entry has a deadline");
    assert!(wake >= ms(1_000 + 3 * 1_200), "three heartbeats: {wake:?}");
    assert!(registry.handle(Event::Tick, wake));
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn restored_entry_written_again_is_usable_immediately() {
    let mut registry = listed(&[entry("a", 1, 4, 90)]);
    registry.handle(Event::Deleted("a".into()), ms(500));
    restore(&mut registry, &[entry("a", 1, 4, 40)], ms(1_000));
    registry.handle(Event::Written(entry("a", 1, 5, 44)), ms(2_000));
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn restored_twice_keeps_known_servers() {
    let mut registry = listed(&[entry("a", 1, 4, 90)]);
    restore(&mut registry, &[], ms(1_000));
    restore(&mut registry, &[], ms(2_500));
    registry.handle(Event::Tick, ms(3_300));
    assert_eq!(
        usable(&registry),
        ["a"],
        "the second restore extends the deadline"
    );
    registry.handle(Event::Written(entry("a", 1, 6, 20)), ms(4_000));
    registry.handle(Event::Tick, ms(60_000));
    assert_eq!(usable(&registry), ["a"]);
}

//! Registered backend servers after the store came back from an older copy.

mod registered;

use monsoonring_decision::Time;
use monsoonring_decision::gateway::registry::{Entry, Event, Order, Registry, State};
use registered::{listed, usable};
use std::net::SocketAddr;
use std::time::Duration;

fn ms(time: u64) -> Time {
    Time::from_millis(time)
}

/// An entry of the only start of a server.
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

fn go_back_to(registry: &mut Registry, copy: &[Entry], now: Time) {
    registry.handle(Event::StoreRestored, now);
    registry.handle(Event::Listed(copy.to_vec()), now);
}

// Symptom: a shard whose servers are well has none for seconds.
// Events:  servers register; the store comes back from a copy that is older than that.
// Cause:   what the copy lacks was taken as gone.
#[test]
fn server_that_the_copy_lacks_stays_until_it_had_time_to_register() {
    let mut registry = listed(&[entry("a", 1, 4, 90), entry("b", 2, 4, 91)]);
    go_back_to(&mut registry, &[], ms(1_000));
    assert_eq!(usable(&registry), ["a", "b"]);
    registry.handle(Event::Written(entry("a", 1, 6, 70)), ms(2_000));
    let wake = registry.next_wake().expect("the other is doubted");
    assert!(wake >= ms(3_000) && wake <= ms(3_500), "{wake:?}");
    assert!(registry.handle(Event::Tick, wake));
    assert_eq!(usable(&registry), ["a"]);
}

// Symptom: what a server says is not heard for as long as the store has had changes before.
// Events:  the store goes back by a thousand revisions; a server leaves.
// Cause:   revisions of before and after were compared.
#[test]
fn server_that_leaves_after_it_is_heard_under_a_lower_revision() {
    let mut registry = listed(&[entry("a", 1, 4, 1_000)]);
    go_back_to(&mut registry, &[entry("a", 1, 4, 20)], ms(1_000));
    let leaving = Entry {
        state: State::Draining,
        ..entry("a", 1, 4, 30)
    };
    assert!(registry.handle(Event::Written(leaving), ms(1_500)));
    assert!(usable(&registry).is_empty());
    let unreadable = Event::Unreadable("a".into(), 31);
    assert!(registry.handle(unreadable, ms(1_600)));
}

// Symptom: a server that said seconds ago that it is leaving gets new work.
// Events:  the copy holds what the server had said before that.
// Cause:   what was read last was taken for what the server said last.
#[test]
fn server_that_is_leaving_is_not_ready_again_by_the_copy() {
    let leaving = Entry {
        state: State::Draining,
        ..entry("a", 1, 9, 90)
    };
    let mut registry = listed(&[leaving]);
    go_back_to(&mut registry, &[entry("a", 1, 8, 50)], ms(1_000));
    assert!(usable(&registry).is_empty());
}

// Symptom: requests go to a server that has ended, and whose address may be another's.
// Events:  a server that never says that it is leaving is taken away; the store comes back from a copy that still
//          has its entry, word for word.
// Cause:   the copy was taken for the server, which would have come back.
#[test]
fn server_that_was_gone_is_not_brought_back_by_the_copy() {
    let mut registry = listed(&[entry("a", 1, 4, 90), entry("b", 2, 4, 91)]);
    registry.handle(Event::Deleted("a".into()), ms(500));
    let copy = [entry("a", 1, 4, 40), entry("b", 2, 4, 41)];
    go_back_to(&mut registry, &copy, ms(1_000));
    assert_eq!(usable(&registry), ["b"]);
    // It lapses, as nobody renews it.
    registry.handle(Event::Deleted("a".into()), ms(4_600));
    registry.handle(Event::Tick, ms(60_000));
    assert_eq!(usable(&registry), ["b"]);
}

// Symptom: a living server gets no work although its entry is there.
// Events:  its entry lapsed for a moment; the store comes back from a copy that has it; the server only renews it,
//          which tells nobody anything.
// Cause:   what the copy says of a server that was gone was passed over for good.
#[test]
fn server_that_was_gone_and_lives_is_believed_once_its_entry_would_have_lapsed() {
    let mut registry = listed(&[entry("a", 1, 4, 90)]);
    registry.handle(Event::Deleted("a".into()), ms(500));
    go_back_to(&mut registry, &[entry("a", 1, 4, 40)], ms(1_000));
    assert!(usable(&registry).is_empty());
    let wake = registry.next_wake().expect("it is looked at again");
    assert!(wake >= ms(1_000 + 3 * 1_200), "three heartbeats: {wake:?}");
    assert!(registry.handle(Event::Tick, wake));
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn server_that_was_gone_and_speaks_again_is_back_at_once() {
    let mut registry = listed(&[entry("a", 1, 4, 90)]);
    registry.handle(Event::Deleted("a".into()), ms(500));
    go_back_to(&mut registry, &[entry("a", 1, 4, 40)], ms(1_000));
    registry.handle(Event::Written(entry("a", 1, 5, 44)), ms(2_000));
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn going_back_twice_in_a_row_keeps_what_is_known() {
    let mut registry = listed(&[entry("a", 1, 4, 90)]);
    go_back_to(&mut registry, &[], ms(1_000));
    go_back_to(&mut registry, &[], ms(2_500));
    registry.handle(Event::Tick, ms(3_300));
    assert_eq!(usable(&registry), ["a"], "it has as long again");
    registry.handle(Event::Written(entry("a", 1, 6, 20)), ms(4_000));
    registry.handle(Event::Tick, ms(60_000));
    assert_eq!(usable(&registry), ["a"]);
}

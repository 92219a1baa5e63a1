//! Tests backend servers that restart under the same name, and registry entries that arrive late or are unreadable.

mod session;

use monsoonring_configuration::Range;
use monsoonring_decision::Time;
use monsoonring_decision::attempt::Failure;
use monsoonring_decision::gateway::registry::{
    Entry, Event as RegistryEvent, Order, Registry, State,
};
use monsoonring_decision::gateway::shards::{self, Expected};
use monsoonring_decision::home::Event;
use session::{Session, ms, report, route, server};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

const HOSTS: usize = 9;

/// Returns an entry of a server that started at `started_at`, with the sequence number of its heartbeat.
fn entry(started_at: u64, sequence: u64, revision: u64, state: State) -> Entry {
    Entry {
        instance: "a".into(),
        service: "map".into(),
        address: server(0, 0),
        data_centre: "lac".into(),
        slots: 3,
        state,
        cold_for: Duration::ZERO,
        order: Order {
            started_at,
            sequence,
        },
        revision,
    }
}

fn is_usable(registry: &Registry) -> bool {
    !registry.usable().is_empty()
}

fn write(registry: &mut Registry, entry: Entry) {
    registry.handle(RegistryEvent::Written(entry), Time::ZERO);
}

// Guards against treating the entry written last as the latest one: heartbeats of an earlier start, or earlier ones of
// the same start, may be written late.
#[test_case((7, 9, State::Draining), (8, 1, State::Ready), true; "later_start_is_not_draining")]
#[test_case((8, 1, State::Ready), (7, 9, State::Draining), true; "earlier_start_arrives_late")]
#[test_case((7, 9, State::Draining), (7, 8, State::Ready), false; "earlier_heartbeat_arrives_late")]
#[test_case((7, 9, State::Ready), (7, 10, State::Draining), false; "same_start_drains")]
fn written_out_of_order_keeps_the_latest_entry(
    first: (u64, u64, State),
    then: (u64, u64, State),
    usable: bool,
) {
    let mut registry = Registry::default();
    write(&mut registry, entry(first.0, first.1, 1, first.2));
    write(&mut registry, entry(then.0, then.1, 2, then.2));
    assert_eq!(is_usable(&registry), usable);
}

// Guards against a late heartbeat restoring an entry that was removed because the server leaves.
#[test]
fn written_heartbeat_from_before_the_removal_is_ignored() {
    let mut registry = Registry::default();
    write(&mut registry, entry(7, 5, 1, State::Ready));
    registry.handle(RegistryEvent::Deleted("a".into()), ms(100));
    registry.handle(
        RegistryEvent::Written(entry(7, 4, 3, State::Ready)),
        ms(200),
    );
    assert!(!is_usable(&registry));
    registry.handle(
        RegistryEvent::Written(entry(7, 6, 4, State::Ready)),
        ms(300),
    );
    assert!(is_usable(&registry), "a later heartbeat counts");
}

#[test]
fn written_long_after_the_removal_is_accepted() {
    let mut registry = Registry::default();
    write(&mut registry, entry(7, 5, 1, State::Ready));
    registry.handle(RegistryEvent::Deleted("a".into()), ms(100));
    let later = ms(100_000);
    registry.handle(RegistryEvent::Written(entry(7, 4, 3, State::Ready)), later);
    assert!(is_usable(&registry));
}

// Guards against keeping the earlier entry when it is overwritten by an unreadable one.
#[test]
fn unreadable_replaces_the_entry() {
    let mut registry = Registry::default();
    write(&mut registry, entry(7, 5, 4, State::Ready));
    let outdated = RegistryEvent::Unreadable("a".into(), 3);
    assert!(!registry.handle(outdated, ms(1)), "its revision is older");
    assert!(registry.handle(RegistryEvent::Unreadable("a".into(), 5), ms(1)));
    assert!(!is_usable(&registry));
    registry.handle(RegistryEvent::Written(entry(7, 6, 6, State::Ready)), ms(2));
    assert!(is_usable(&registry));
}

#[test]
fn written_with_only_a_new_sequence_changes_nothing() {
    let mut registry = Registry::default();
    write(&mut registry, entry(7, 5, 1, State::Ready));
    let renewed = RegistryEvent::Written(entry(7, 6, 2, State::Ready));
    assert!(!registry.handle(renewed, ms(1)));
}

fn expected(instance: &str, started_at: u64) -> Expected {
    Expected {
        instance: instance.into(),
        started_at,
        keys: Range::new(0, 1),
    }
}

#[test_case(("a", 7), ("a", 7), false; "same_start")]
#[test_case(("a", 7), ("a", 8), true; "restarted")]
#[test_case(("a", 7), ("b", 7), true; "other_instance")]
fn replaced_detects_other_starts(before: (&str, u64), now: (&str, u64), is_replaced: bool) {
    let at = |start: (&str, u64)| BTreeMap::from([(server(0, 0), expected(start.0, start.1))]);
    let replaced = shards::replaced(&at(before), &at(now));
    assert_eq!(!replaced.is_empty(), is_replaced);
    assert!(shards::replaced(&BTreeMap::new(), &at(now)).is_empty());
}

fn without_hedges() -> monsoonring_configuration::document::Route {
    let mut route = route(1, 2);
    route.hedge.budget_percent = 0.0;
    route
}

// Guards against applying failures, latencies and idle connections of a server's earlier start to its new start.
#[test]
fn replaced_server_starts_with_a_clean_record() {
    let mut session = Session::with_hosts(without_hedges(), HOSTS);
    let (bad, good) = (server(0, 0), server(0, 1));
    for id in 1..=40 {
        let from = session.sends.len();
        session.submit(id);
        while let Some(send) = session.sends.get(from..).and_then(<[_]>::last).cloned() {
            match send.backend_server == bad {
                true => {
                    let report = report(&[6]);
                    session.fail(send.attempt, Failure::ServerError { report });
                }
                false => session.answer(&send),
            }
            if session.is_finished(id) {
                break;
            }
        }
        session.advance(ms(10));
    }
    let from = session.sends.len();
    session.submit(100);
    assert_eq!(session.sends[from].backend_server, good);
    session.answer_from(from);
    let (opens, closes) = (session.opens.len(), session.closes.len());
    session.handle(Event::Replaced([bad].into()));
    assert!(
        session.closes.len() > closes,
        "connections to the server are closed"
    );
    assert!(session.opens[opens..].iter().any(|(_, at)| *at == bad));
    let mut sent = 0;
    for id in 101..=140 {
        let from = session.sends.len();
        session.submit(id);
        sent += usize::from(session.sends[from].backend_server == bad);
        session.answer_from(from);
    }
    assert!(sent > 5, "{sent} of 40 requests went to the server");
}

// Guards against counting a late result of an attempt for the server's new start, or reusing its connection.
#[test]
fn replaced_server_does_not_count_an_earlier_attempt() {
    let mut session = Session::with_hosts(without_hedges(), HOSTS);
    session.submit(1);
    let send = session.sends[0].clone();
    let before = session.closes.len();
    session.handle(Event::Replaced([send.backend_server].into()));
    session.answer(&send);
    assert!(session.is_finished(1), "the answer is still used");
    let closed = &session.closes[before..];
    assert!(closed.contains(&send.connection), "{}", session.transcript);
    assert_eq!(session.home.fleet().outstanding(), 0);
}

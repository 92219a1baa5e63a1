//! Backend servers that start again under the name that they had, and entries that other writers leave.

mod session;

use monsoonring_configuration::Range;
use monsoonring_decision::Time;
use monsoonring_decision::attempt::Failure;
use monsoonring_decision::gateway::registry::{Entry, Event as Seen, Order, Registry, State};
use monsoonring_decision::gateway::shards::{self, Expected};
use monsoonring_decision::home::Event;
use session::{Session, ms, report, route, server};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

const HOSTS: usize = 9;

/// Returns what a server says that was born then, for the so-many-th time.
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
    registry.handle(Seen::Written(entry), Time::ZERO);
}

// Symptom: a server that has come back gets no work, or one that leaves gets some.
// Events:  a server drains, crashes and starts again under its name, counting anew; a heartbeat of its
//          earlier start, or an earlier one of the same, is written after the later one.
// Cause:   what was written last was taken for what was said last.
#[test_case((7, 9, State::Draining), (8, 1, State::Ready), true; "a_later_start_is_not_draining")]
#[test_case((8, 1, State::Ready), (7, 9, State::Draining), true; "an_earlier_start_comes_late")]
#[test_case((7, 9, State::Draining), (7, 8, State::Ready), false; "an_earlier_heartbeat_comes_late")]
#[test_case((7, 9, State::Ready), (7, 10, State::Draining), false; "the_same_start_drains")]
fn written_what_the_server_said_last_holds(
    first: (u64, u64, State),
    then: (u64, u64, State),
    usable: bool,
) {
    let mut registry = Registry::default();
    write(&mut registry, entry(first.0, first.1, 1, first.2));
    write(&mut registry, entry(then.0, then.1, 2, then.2));
    assert_eq!(is_usable(&registry), usable);
}

// Symptom: requests reach a server whose entry was taken out because it leaves.
// Events:  the entry is removed; a heartbeat sent before that is written after it.
// Cause:   nothing remembered what the server had said last.
#[test]
fn written_heartbeat_from_before_the_removal_brings_nothing_back() {
    let mut registry = Registry::default();
    write(&mut registry, entry(7, 5, 1, State::Ready));
    registry.handle(Seen::Deleted("a".into()), ms(100));
    registry.handle(Seen::Written(entry(7, 4, 3, State::Ready)), ms(200));
    assert!(!is_usable(&registry));
    registry.handle(Seen::Written(entry(7, 6, 4, State::Ready)), ms(300));
    assert!(is_usable(&registry), "it lives");
}

#[test]
fn written_nothing_is_remembered_for_good() {
    let mut registry = Registry::default();
    write(&mut registry, entry(7, 5, 1, State::Ready));
    registry.handle(Seen::Deleted("a".into()), ms(100));
    let later = ms(100_000);
    registry.handle(Seen::Written(entry(7, 4, 3, State::Ready)), later);
    assert!(is_usable(&registry));
}

// Symptom: requests go to a server whose entry somebody else has written over.
// Events:  a good entry; then one under its key that can't be read; then the server's next heartbeat.
// Cause:   what can't be read was passed over, and the entry before it stayed.
#[test]
fn unreadable_in_the_place_of_a_good_one_names_no_server() {
    let mut registry = Registry::default();
    write(&mut registry, entry(7, 5, 4, State::Ready));
    let overtaken = Seen::Unreadable("a".into(), 3);
    assert!(!registry.handle(overtaken, ms(1)), "it was written before");
    assert!(registry.handle(Seen::Unreadable("a".into(), 5), ms(1)));
    assert!(!is_usable(&registry));
    registry.handle(Seen::Written(entry(7, 6, 6, State::Ready)), ms(2));
    assert!(is_usable(&registry));
}

#[test]
fn written_the_same_again_changes_nothing_for_requests() {
    let mut registry = Registry::default();
    write(&mut registry, entry(7, 5, 1, State::Ready));
    let again = Seen::Written(entry(7, 6, 2, State::Ready));
    assert!(!registry.handle(again, ms(1)));
}

fn expected(instance: &str, started_at: u64) -> Expected {
    Expected {
        instance: instance.into(),
        started_at,
        keys: Range::new(0, 1),
    }
}

#[test_case(("a", 7), ("a", 7), false; "the_same_start")]
#[test_case(("a", 7), ("a", 8), true; "the_same_name_again")]
#[test_case(("a", 7), ("b", 7), true; "another_name")]
fn replaced_tells_other_starts(before: (&str, u64), now: (&str, u64), is_other: bool) {
    let at = |start: (&str, u64)| BTreeMap::from([(server(0, 0), expected(start.0, start.1))]);
    let replaced = shards::replaced(&at(before), &at(now));
    assert_eq!(!replaced.is_empty(), is_other);
    assert!(shards::replaced(&BTreeMap::new(), &at(now)).is_empty());
}

fn without_hedges() -> monsoonring_configuration::document::Route {
    let mut route = route(1, 2);
    route.hedge.budget_percent = 0.0;
    route
}

// Symptom: a server that has started again is passed over for seconds, or asked over connections that
//          its earlier start had.
// Events:  attempts at it fail one after the other; it crashes and starts again under its name.
// Cause:   failures, latencies and idle connections of the earlier start were taken for the later one's.
#[test]
fn replaced_server_is_as_good_as_new() {
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
    assert!(session.closes.len() > closes, "its connections are closed");
    assert!(session.opens[opens..].iter().any(|(_, at)| *at == bad));
    let mut asked = 0;
    for id in 101..=140 {
        let from = session.sends.len();
        session.submit(id);
        asked += usize::from(session.sends[from].backend_server == bad);
        session.answer_from(from);
    }
    assert!(asked > 5, "{asked} of 40 requests went to it");
}

// Symptom: a server that has just started is passed over for what its earlier start did.
// Events:  an attempt is at a server; that is replaced; the attempt fails.
// Cause:   the failure was counted as the later start's, and its connection used again.
#[test]
fn replaced_server_is_not_blamed_for_an_earlier_attempt() {
    let mut session = Session::with_hosts(without_hedges(), HOSTS);
    session.submit(1);
    let send = session.sends[0].clone();
    let before = session.closes.len();
    session.handle(Event::Replaced([send.backend_server].into()));
    session.answer(&send);
    assert!(session.is_finished(1), "its answer still counts");
    let closed = &session.closes[before..];
    assert!(closed.contains(&send.connection), "{}", session.transcript);
    assert_eq!(session.home.fleet().outstanding(), 0);
}

//! Tests where a host loads the full state from: other hosts or the store.

use monsoonring_decision::Time;
use monsoonring_decision::gateway::bootstrap::{Bootstrap, Next, Reason};
use monsoonring_decision::gateway::mirror::Position;
use monsoonring_decision::gateway::source::Readers;
use monsoonring_decision::member::MemberId;
use std::collections::BTreeMap;
use test_case::test_case;

fn ms(time: u64) -> Time {
    Time::from_millis(time)
}

fn host(number: u8) -> MemberId {
    MemberId::from(([10, 0, 0, number], 7_000))
}

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

/// Returns the readers as seen by a host that knows no other host.
fn alone() -> Readers {
    Readers {
        is_reader: true,
        others: Vec::new(),
    }
}

fn beside(numbers: &[u8], is_reader: bool) -> Readers {
    Readers {
        is_reader,
        others: numbers.iter().map(|number| host(*number)).collect(),
    }
}

fn bootstrap(reason: Reason) -> Bootstrap {
    Bootstrap::new(reason, vec![host(1), host(2)], ms(0))
}

/// Returns the bootstrap of a starting host after the first pages of the store did not hold the full state.
fn start() -> Bootstrap {
    let mut bootstrap = bootstrap(Reason::Start);
    bootstrap.too_large();
    bootstrap
}

// Guards against a slow start after a power loss: other hosts start too and have nothing to offer, while the store
// answers a few pages quickly.
#[test]
fn next_at_start_is_a_few_pages_of_the_store() {
    let bootstrap = bootstrap(Reason::Start);
    for readers in [alone(), beside(&[7], true), beside(&[7], false)] {
        let Next::StorePages(pages) = bootstrap.next(&readers, ms(0)) else {
            unreachable!("the store comes first");
        };
        assert!((8..100).contains(&pages), "{pages}");
    }
}

#[test]
fn next_after_the_pages_is_each_seed_and_then_the_store() {
    let mut bootstrap = start();
    assert_eq!(bootstrap.next(&alone(), ms(0)), Next::Host(host(1)));
    bootstrap.unreachable(host(1));
    assert_eq!(bootstrap.next(&alone(), ms(100)), Next::Host(host(2)));
    bootstrap.declined(host(2), ms(101));
    assert_eq!(bootstrap.next(&alone(), ms(101)), Next::Store);
}

// Guards against a starting host trying only the store while the store is down and other hosts can serve the state.
#[test]
fn next_after_a_store_failure_is_the_hosts_again() {
    let mut bootstrap = bootstrap(Reason::Start);
    bootstrap.store_failed();
    bootstrap.declined(host(1), ms(0));
    bootstrap.declined(host(2), ms(1));
    assert_eq!(bootstrap.next(&alone(), ms(2)), Next::Store);
    bootstrap.store_failed();
    assert_eq!(bootstrap.next(&alone(), ms(50)), Next::Host(host(1)));
    let readers = beside(&[7], false);
    assert_eq!(bootstrap.next(&readers, ms(50)), Next::Host(host(7)));
}

#[test]
fn next_with_known_readers_is_each_reader_and_then_the_store() {
    let mut bootstrap = start();
    let readers = beside(&[7, 8], false);
    assert_eq!(bootstrap.next(&readers, ms(0)), Next::Host(host(7)));
    bootstrap.unreachable(host(7));
    assert_eq!(bootstrap.next(&readers, ms(1)), Next::Host(host(8)));
    bootstrap.unreachable(host(8));
    assert_eq!(bootstrap.next(&readers, ms(2)), Next::Store);
}

// Guards against all hosts loading the whole store when a fleet starts together.
#[test]
fn next_at_first_start_waits_until_readers_are_known() {
    let mut bootstrap = bootstrap(Reason::FirstStart);
    let Next::Wait(first) = bootstrap.next(&alone(), ms(0)) else {
        unreachable!("hosts need time to discover each other");
    };
    let readers = beside(&[7], false);
    assert_eq!(bootstrap.next(&readers, first), Next::Host(host(7)));
    // The reader is still loading the store.
    bootstrap.declined(host(7), first);
    let Next::Wait(again) = bootstrap.next(&readers, first + ms(1)) else {
        unreachable!("the reader is polled again");
    };
    assert_eq!(bootstrap.next(&readers, again), Next::Host(host(7)));
    bootstrap.unreachable(host(7));
    assert_eq!(bootstrap.next(&readers, again), Next::Store);
    assert!(again < ms(2_000), "{again:?}");
}

#[test_case(&[7], true; "of_a_reader")]
#[test_case(&[], true; "without_other_hosts")]
fn next_at_first_start_is_the_store(others: &[u8], is_reader: bool) {
    let bootstrap = bootstrap(Reason::FirstStart);
    assert_eq!(
        bootstrap.next(&beside(others, is_reader), ms(2_000)),
        Next::Store
    );
}

#[test]
fn next_with_history_gone_polls_readers_before_the_store() {
    let mut bootstrap = Bootstrap::new(Reason::HistoryGone(at(0, 50)), Vec::new(), ms(10_000));
    let readers = beside(&[7, 8], false);
    let mut polls: BTreeMap<MemberId, usize> = BTreeMap::new();
    let mut now = ms(10_000);
    loop {
        match bootstrap.next(&readers, now) {
            Next::Host(host) => {
                *polls.entry(host).or_default() += 1;
                bootstrap.declined(host, now);
            }
            Next::Wait(until) => now = until,
            Next::Store | Next::StorePages(_) => break,
        }
    }
    assert!(polls.len() == 2 && polls[&host(7)] > 1, "{polls:?}");
    assert!(now < ms(11_000), "changes must not wait longer: {now:?}");
}

#[test]
fn next_with_history_gone_at_a_reader_is_the_store() {
    let bootstrap = Bootstrap::new(Reason::HistoryGone(at(0, 50)), Vec::new(), ms(10_000));
    assert_eq!(bootstrap.next(&beside(&[7], true), ms(10_000)), Next::Store);
}

// Guards against loading a state from before the store was restored from a reader that has not noticed the restore.
#[test_case(at(0, 50), false; "same")]
#[test_case(at(0, 60), true; "later")]
#[test_case(at(1, 20), true; "in_a_later_era")]
#[test_case(at(0, 49), false; "earlier")]
fn is_useful_requires_a_later_position(offered: Position, expected: bool) {
    let bootstrap = Bootstrap::new(Reason::HistoryGone(at(0, 50)), Vec::new(), ms(0));
    assert_eq!(bootstrap.is_useful(offered), expected);
}

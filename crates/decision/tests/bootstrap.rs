//! Whom a host asks for everything, and when it reads the store instead.

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

/// What a host believes that knows no others.
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

fn join(occasion: Reason) -> Bootstrap {
    Bootstrap::new(occasion, vec![host(1), host(2)], ms(0))
}

/// A host that starts, and for which a few pages of the store do not suffice.
fn start() -> Bootstrap {
    let mut join = join(Reason::Start);
    join.too_large();
    join
}

// Symptom: after a loss of power of all hosts callers wait for tenths of a second longer.
// Events:  all hosts start at the same moment, and each asks others that know nothing yet, or do not answer.
// Cause:   hosts were asked before the store, which has a few pages in a moment.
#[test]
fn start_begins_with_a_few_pages_of_the_store() {
    let join = join(Reason::Start);
    for readers in [alone(), beside(&[7], true), beside(&[7], false)] {
        let Next::StorePages(pages) = join.next(&readers, ms(0)) else {
            unreachable!("the store is asked first");
        };
        assert!((8..100).contains(&pages), "{pages}");
    }
}

#[test]
fn start_asks_the_hosts_of_the_settings_and_then_the_store() {
    let mut join = start();
    assert_eq!(join.next(&alone(), ms(0)), Next::Host(host(1)));
    join.unreachable(host(1));
    assert_eq!(join.next(&alone(), ms(100)), Next::Host(host(2)));
    join.declined(host(2), ms(101));
    assert_eq!(join.next(&alone(), ms(101)), Next::Store);
}

// Symptom: a host that starts while the store is away serves nothing, though others beside it serve.
// Events:  the hosts that the settings name have just started too; the store does not answer.
// Cause:   after one look at the hosts only the store was tried.
#[test]
fn start_with_a_store_that_is_away_asks_the_hosts_again() {
    let mut join = join(Reason::Start);
    join.store_failed();
    join.declined(host(1), ms(0));
    join.declined(host(2), ms(1));
    assert_eq!(join.next(&alone(), ms(2)), Next::Store);
    join.store_failed();
    assert_eq!(join.next(&alone(), ms(50)), Next::Host(host(1)));
    let readers = beside(&[7], false);
    assert_eq!(join.next(&readers, ms(50)), Next::Host(host(7)));
}

#[test]
fn start_with_known_readers_asks_those_of_its_own_data_centre() {
    let mut join = start();
    let readers = beside(&[7, 8], false);
    assert_eq!(join.next(&readers, ms(0)), Next::Host(host(7)));
    join.unreachable(host(7));
    assert_eq!(join.next(&readers, ms(1)), Next::Host(host(8)));
    join.unreachable(host(8));
    assert_eq!(join.next(&readers, ms(2)), Next::Store);
}

// Symptom: each of 91 hosts that start together reads the whole store, two thirds of a calm day's calls.
// Events:  all start; nobody knows yet who reads it for the others.
// Cause:   each read at once, though callers come seconds later.
#[test]
fn first_start_waits_until_readers_are_known() {
    let mut join = join(Reason::FirstStart);
    let Next::Wait(found) = join.next(&alone(), ms(0)) else {
        unreachable!("hosts have to find each other");
    };
    let readers = beside(&[7], false);
    assert_eq!(join.next(&readers, found), Next::Host(host(7)));
    // It is reading the store at this moment.
    join.declined(host(7), found);
    let Next::Wait(again) = join.next(&readers, found + ms(1)) else {
        unreachable!("it is asked again");
    };
    assert_eq!(join.next(&readers, again), Next::Host(host(7)));
    join.unreachable(host(7));
    assert_eq!(join.next(&readers, again), Next::Store);
    assert!(again < ms(2_000), "{again:?}");
}

#[test_case(&[7], true; "who_reads_it_for_others")]
#[test_case(&[], true; "who_is_alone")]
fn first_start_reads_the_store(others: &[u8], is_reader: bool) {
    let join = join(Reason::FirstStart);
    assert_eq!(
        join.next(&beside(others, is_reader), ms(2_000)),
        Next::Store
    );
}

#[test]
fn lost_position_is_asked_of_readers_for_a_moment() {
    let mut join = Bootstrap::new(Reason::HistoryGone(at(0, 50)), Vec::new(), ms(10_000));
    let readers = beside(&[7, 8], false);
    let mut asked: BTreeMap<MemberId, usize> = BTreeMap::new();
    let mut now = ms(10_000);
    loop {
        match join.next(&readers, now) {
            Next::Host(host) => {
                *asked.entry(host).or_default() += 1;
                join.declined(host, now);
            }
            Next::Wait(until) => now = until,
            Next::Store | Next::StorePages(_) => break,
        }
    }
    assert!(asked.len() == 2 && asked[&host(7)] > 1, "{asked:?}");
    assert!(now < ms(11_000), "what changed has to be in force: {now:?}");
}

#[test]
fn lost_position_of_a_reader_is_read_from_the_store_at_once() {
    let join = Bootstrap::new(Reason::HistoryGone(at(0, 50)), Vec::new(), ms(10_000));
    assert_eq!(join.next(&beside(&[7], true), ms(10_000)), Next::Store);
}

// Symptom: hosts go back to what the store had before it came back from a copy.
// Events:  the store goes back; a host finds out before the reader that it asks for everything.
// Cause:   whatever a reader tells was taken over.
#[test_case(at(0, 50), false; "the_same_again")]
#[test_case(at(0, 60), true; "later")]
#[test_case(at(1, 20), true; "in_a_later_life_of_the_store")]
#[test_case(at(0, 49), false; "earlier")]
fn is_useful_only_what_leads_on(told: Position, expected: bool) {
    let join = Bootstrap::new(Reason::HistoryGone(at(0, 50)), Vec::new(), ms(0));
    assert_eq!(join.is_useful(told), expected);
}

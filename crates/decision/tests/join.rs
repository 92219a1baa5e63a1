//! Whom a host asks for everything, and when it reads the store instead.

use monsoonring_decision::Time;
use monsoonring_decision::gateway::join::{Join, Occasion, Step};
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

fn join(occasion: Occasion) -> Join {
    Join::new(occasion, vec![host(1), host(2)], ms(0))
}

/// A host that starts, and for which a few pages of the store do not suffice.
fn start() -> Join {
    let mut join = join(Occasion::Start);
    join.large();
    join
}

// Symptom: after a loss of power of all hosts callers wait for tenths of a second longer.
// Events:  all hosts start at the same moment, and each asks others that know nothing yet, or do not answer.
// Cause:   hosts were asked before the store, which has a few pages in a moment.
#[test]
fn start_begins_with_a_few_pages_of_the_store() {
    let join = join(Occasion::Start);
    for readers in [alone(), beside(&[7], true), beside(&[7], false)] {
        let Step::Begin(pages) = join.next(&readers, ms(0)) else {
            unreachable!("the store is asked first");
        };
        assert!((8..100).contains(&pages), "{pages}");
    }
}

#[test]
fn start_asks_the_hosts_of_the_settings_and_then_the_store() {
    let mut join = start();
    assert_eq!(join.next(&alone(), ms(0)), Step::Host(host(1)));
    join.unreachable(host(1));
    assert_eq!(join.next(&alone(), ms(100)), Step::Host(host(2)));
    join.declined(host(2), ms(101));
    assert_eq!(join.next(&alone(), ms(101)), Step::Store);
}

// Symptom: a host that starts while the store is away serves nothing, though others beside it serve.
// Events:  the hosts that the settings name have just started too; the store does not answer.
// Cause:   after one look at the hosts only the store was tried.
#[test]
fn start_with_a_store_that_is_away_asks_the_hosts_again() {
    let mut join = join(Occasion::Start);
    join.store_failed();
    join.declined(host(1), ms(0));
    join.declined(host(2), ms(1));
    assert_eq!(join.next(&alone(), ms(2)), Step::Store);
    join.store_failed();
    assert_eq!(join.next(&alone(), ms(50)), Step::Host(host(1)));
    let readers = beside(&[7], false);
    assert_eq!(join.next(&readers, ms(50)), Step::Host(host(7)));
}

#[test]
fn start_with_known_readers_asks_those_of_its_own_data_centre() {
    let mut join = start();
    let readers = beside(&[7, 8], false);
    assert_eq!(join.next(&readers, ms(0)), Step::Host(host(7)));
    join.unreachable(host(7));
    assert_eq!(join.next(&readers, ms(1)), Step::Host(host(8)));
    join.unreachable(host(8));
    assert_eq!(join.next(&readers, ms(2)), Step::Store);
}

// Symptom: each of 91 hosts that start together reads the whole store, two thirds of a calm day's calls.
// Events:  all start; nobody knows yet who reads it for the others.
// Cause:   each read at once, though callers come seconds later.
#[test]
fn first_start_waits_until_readers_are_known() {
    let mut join = join(Occasion::FirstStart);
    let Step::Wait(found) = join.next(&alone(), ms(0)) else {
        unreachable!("hosts have to find each other");
    };
    let readers = beside(&[7], false);
    assert_eq!(join.next(&readers, found), Step::Host(host(7)));
    // It is reading the store at this moment.
    join.declined(host(7), found);
    let Step::Wait(again) = join.next(&readers, found + ms(1)) else {
        unreachable!("it is asked again");
    };
    assert_eq!(join.next(&readers, again), Step::Host(host(7)));
    join.unreachable(host(7));
    assert_eq!(join.next(&readers, again), Step::Store);
    assert!(again < ms(2_000), "{again:?}");
}

#[test_case(&[7], true; "who_reads_it_for_others")]
#[test_case(&[], true; "who_is_alone")]
fn first_start_reads_the_store(others: &[u8], is_reader: bool) {
    let join = join(Occasion::FirstStart);
    assert_eq!(
        join.next(&beside(others, is_reader), ms(2_000)),
        Step::Store
    );
}

#[test]
fn lost_position_is_asked_of_readers_for_a_moment() {
    let mut join = Join::new(Occasion::Lost(at(0, 50)), Vec::new(), ms(10_000));
    let readers = beside(&[7, 8], false);
    let mut asked: BTreeMap<MemberId, usize> = BTreeMap::new();
    let mut now = ms(10_000);
    loop {
        match join.next(&readers, now) {
            Step::Host(host) => {
                *asked.entry(host).or_default() += 1;
                join.declined(host, now);
            }
            Step::Wait(until) => now = until,
            Step::Store | Step::Begin(_) => break,
        }
    }
    assert!(asked.len() == 2 && asked[&host(7)] > 1, "{asked:?}");
    assert!(now < ms(11_000), "what changed has to be in force: {now:?}");
}

#[test]
fn lost_position_of_a_reader_is_read_from_the_store_at_once() {
    let join = Join::new(Occasion::Lost(at(0, 50)), Vec::new(), ms(10_000));
    assert_eq!(join.next(&beside(&[7], true), ms(10_000)), Step::Store);
}

// Symptom: hosts go back to what the store had before it came back from a copy.
// Events:  the store goes back; a host finds out before the reader that it asks for everything.
// Cause:   whatever a reader tells was taken over.
#[test_case(at(0, 50), false; "the_same_again")]
#[test_case(at(0, 60), true; "later")]
#[test_case(at(1, 20), true; "in_a_later_life_of_the_store")]
#[test_case(at(0, 49), false; "earlier")]
fn is_of_use_only_what_leads_on(told: Position, expected: bool) {
    let join = Join::new(Occasion::Lost(at(0, 50)), Vec::new(), ms(0));
    assert_eq!(join.is_of_use(told), expected);
}

//! The life cycle of a daemon that stops.

use monsoonring_decision::stop::{Cut, Done, Draining, End, Limits, Next, Origin, Serving, Stop};
use std::time::Duration;
use test_case::test_case;

const LIMITS: Limits = Limits {
    notice: Duration::from_secs(3),
    bound: Duration::from_secs(30),
    handover: Duration::from_secs(2),
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A daemon signalled at 10 s with one request in flight that another daemon passed on.
fn draining() -> Stop<Draining> {
    let mut stop = Stop::<Serving>::new(LIMITS);
    stop.begun(1, Origin::Caller);
    stop.begun(2, member());
    stop.ended(1);
    stop.signal(at(10))
}

fn member() -> Origin {
    Origin::Member("127.0.0.1:7001".parse().expect("an address"))
}

fn waits(next: Next) -> (Stop<Draining>, u64) {
    match next {
        Next::Wait(stop, until) => (stop, until.as_secs()),
        other => unreachable!("doesn't wait: {other:?}"),
    }
}

fn done(next: Next) -> Stop<Done> {
    match next {
        Next::Done(stop) => stop,
        other => unreachable!("isn't done: {other:?}"),
    }
}

#[test_case(12 => true; "before the balancer has seen it")]
#[test_case(13 => false; "after")]
fn begun_while_draining_is_taken(seconds: u64) -> bool {
    draining().begun(3, Origin::Caller, at(seconds))
}

#[test]
fn tick_waits_for_notice_then_for_the_last_request_then_hands_over() {
    let (stop, until) = waits(draining().tick(at(11)));
    assert_eq!(until, 13);
    let (mut stop, until) = waits(stop.tick(at(13)));
    assert_eq!(until, 40);
    stop.ended(2);
    let Next::HandOver(stop) = stop.tick(at(20)) else {
        unreachable!("nothing is in flight");
    };
    assert_eq!(stop.until(), at(22));
    let stop = stop.acknowledged();
    assert_eq!((stop.why(), stop.cut().len()), (End::Complete, 0));
}

#[test]
fn tick_without_requests_still_waits_for_notice() {
    let mut stop = draining();
    stop.ended(2);
    let (_, until) = waits(stop.tick(at(12)));
    assert_eq!(until, 13);
}

#[test]
fn tick_at_the_bound_lists_what_was_cut() {
    let stop = done(draining().tick(at(40)));
    assert_eq!(stop.why(), End::Bound);
    let (request, origin) = (2, member());
    assert_eq!(stop.cut(), [Cut { request, origin }]);
}

#[test]
fn signal_again_ends_at_once() {
    let stop = draining().signal();
    assert_eq!((stop.why(), stop.cut().len()), (End::Signal, 1));
}

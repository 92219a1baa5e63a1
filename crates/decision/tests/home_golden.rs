//! Transcripts of whole sessions, compared with golden files.

mod session;

use monsoonring_configuration::document::Route;
use monsoonring_decision::attempt::{Failure, Refusal};
use monsoonring_decision::home::Event;
use monsoonring_decision::reply::Report;
use session::{Session, VERSION, gate_desk, ms, refused, reply, report, route, server, tickets};

/// Sets the capacity of a route, with a small hedge and retry budget.
fn sized(mut route: Route, slots: u32, connections: u32) -> Route {
    route.capacity.slots = slots;
    route.capacity.connections = connections;
    route.hedge.budget_percent = 5.0;
    route.retry.budget_percent = 10.0;
    route
}

#[test]
fn dispatch_map_waits_for_the_last_shard() {
    let mut session = Session::polled(sized(route(3, 3), 3, 30), &[VERSION]);
    session.submit(1);
    session.advance(ms(12));
    session.answer(&session.sends[0].clone());
    session.fail(session.sends[1].attempt, Failure::Lost);
    session.advance(ms(10));
    session.answer(&session.sends[3].clone());
    session.advance(ms(300));
    session.answer(&session.sends[4].clone());
    session.handle(Event::Reply(
        session.sends[2].attempt,
        reply(&session.sends[2].ranges, VERSION),
    ));
    for group in 0..3 {
        let both_versions = report(&[VERSION, VERSION + 1]);
        session.handle(Event::Polled(server(group, 0), Some(both_versions.clone())));
        session.handle(Event::Polled(server(group, 1), Some(both_versions)));
    }
    let next = session.sends.len();
    session.submit(2);
    session.advance(ms(9));
    session.answer_from(next);
    session.handle(Event::Stop);
    session.submit(3);
    insta::assert_snapshot!(session.transcript);
}

#[test]
fn gate_desk_gives_what_is_enough() {
    let mut session = Session::polled(sized(gate_desk(3, 3), 2, 25), &[VERSION]);
    session.submit(1);
    session.advance(ms(15));
    session.answer(&session.sends[0].clone());
    session.fail(session.sends[1].attempt, refused(Refusal::Shedding));
    session.advance(ms(10));
    session.answer(&session.sends[3].clone());
    session.advance(ms(200));
    let mut cancelled = session.sends[2].clone();
    cancelled.ranges.clear();
    session.fail(
        cancelled.attempt,
        Failure::Cancelled {
            report: Report::default(),
        },
    );
    insta::assert_snapshot!(session.transcript);
}

#[test]
fn repair_tickets_run_once() {
    let mut session = Session::polled(sized(tickets(3), 2, 110), &[VERSION]);
    session.submit(1);
    session.fail(session.sends[0].attempt, refused(Refusal::Draining));
    session.advance(ms(20));
    let attempt = session.sends[1].attempt;
    session.handle(Event::Executed(
        attempt,
        "{\"ticket\":7}".into(),
        report(&[VERSION]),
    ));
    session.submit(2);
    session.advance(ms(5));
    session.fail(session.sends[2].attempt, Failure::Lost);
    session.submit(3);
    session.advance(ms(1000));
    insta::assert_snapshot!(session.transcript);
}

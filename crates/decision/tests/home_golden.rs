//! Whole sessions, event by event, as golden files.

mod session;

use monsoonring_configuration::document::Route;
use monsoonring_decision::attempt::{Failure, Refusal};
use monsoonring_decision::home::Event;
use monsoonring_decision::reply::Report;
use session::{Session, VERSION, gate_desk, ms, refused, reply, report, route, server, tickets};

/// Takes over the sizes of a route of today, but for the number of groups.
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
    session.ask(1);
    session.pass(ms(12));
    session.answer(&session.sends[0].clone());
    session.fail(session.sends[1].attempt, Failure::Lost);
    session.pass(ms(10));
    session.answer(&session.sends[3].clone());
    session.pass(ms(300));
    session.answer(&session.sends[4].clone());
    session.on(Event::Reply(
        session.sends[2].attempt,
        reply(&session.sends[2].ranges, VERSION),
    ));
    for group in 0..3 {
        let both = report(&[VERSION, VERSION + 1]);
        session.on(Event::Polled(server(group, 0), Some(both.clone())));
        session.on(Event::Polled(server(group, 1), Some(both)));
    }
    let next = session.sends.len();
    session.ask(2);
    session.pass(ms(9));
    session.answer_from(next);
    session.on(Event::Stop);
    session.ask(3);
    insta::assert_snapshot!(session.transcript);
}

#[test]
fn gate_desk_gives_what_is_enough() {
    let mut session = Session::polled(sized(gate_desk(3, 3), 2, 25), &[VERSION]);
    session.ask(1);
    session.pass(ms(15));
    session.answer(&session.sends[0].clone());
    session.fail(session.sends[1].attempt, refused(Refusal::Shedding));
    session.pass(ms(10));
    session.answer(&session.sends[3].clone());
    session.pass(ms(200));
    let mut last = session.sends[2].clone();
    last.ranges.clear();
    session.fail(
        last.attempt,
        Failure::Cancelled {
            report: Report::default(),
        },
    );
    insta::assert_snapshot!(session.transcript);
}

#[test]
fn repair_tickets_run_once() {
    let mut session = Session::polled(sized(tickets(3), 2, 110), &[VERSION]);
    session.ask(1);
    session.fail(session.sends[0].attempt, refused(Refusal::Draining));
    session.pass(ms(20));
    let attempt = session.sends[1].attempt;
    session.on(Event::Executed(
        attempt,
        "{\"ticket\":7}".into(),
        report(&[VERSION]),
    ));
    session.ask(2);
    session.pass(ms(5));
    session.fail(session.sends[2].attempt, Failure::Lost);
    session.ask(3);
    session.pass(ms(1000));
    insta::assert_snapshot!(session.transcript);
}

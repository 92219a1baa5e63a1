//! Requests that wait for admission, for a slot at a server or for a connection.

mod session;

use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::home::Event;
use monsoonring_decision::outcome::{Outcome, Reason};
use session::{Session, VERSION, ms, report, request, route, server, tickets};

/// Returns the server that was chosen last.
fn last_chosen_server(session: &Session) -> BackendServerId {
    let servers = session
        .log
        .iter()
        .rev()
        .filter_map(|decision| decision.backend_server);
    servers
        .into_iter()
        .next()
        .expect("an attempt is in the log")
}

/// Opens all pending connections to a server.
fn open_pending(session: &mut Session, server: BackendServerId) {
    session.pending.remove(&server);
    for (connection, to) in session.opens.clone() {
        if to == server {
            session.handle(Event::Opened(connection));
        }
    }
}

#[test]
fn request_past_its_deadline_is_not_run() {
    let mut session = Session::polled(tickets(1), &[VERSION]);
    session.now = ms(10);
    let mut late = request(1, ms(0));
    late.deadline = ms(10);
    session.handle(Event::Request(late));
    let reason = Reason::Deadline;
    let retry_after = None;
    assert_eq!(
        session.outcome(1),
        &Outcome::NotRun {
            reason,
            retry_after
        }
    );
}

#[test]
fn request_over_the_limit_is_refused_immediately() {
    // Guards against unbounded queues: beyond saturation every answer would be late, and servers
    // would work for callers that have left.
    let mut session = Session::polled(route(1, 1), &[VERSION]);
    for id in 1..2000 {
        session.submit(id);
    }
    let refused = |(_, outcome): &&(u128, Outcome)| {
        let reason = Reason::Overload;
        matches!(outcome, Outcome::NotRun { reason: r, retry_after: Some(_) } if *r == reason)
    };
    let finishes = session.finishes.iter();
    assert!(finishes.filter(refused).count() > 1000);
}

#[test]
fn search_without_a_connection_waits_urgent_first() {
    // Guards against urgent requests that wait behind background requests for a connection.
    let mut small = route(1, 1);
    small.capacity.connections = 2;
    let mut session = Session::polled(small, &[VERSION]);
    session.submit(1);
    for (id, class) in [(2, Class::Background), (3, Class::Urgent)] {
        let mut waiting = request(id, session.now);
        waiting.class = class;
        session.handle(Event::Request(waiting));
    }
    assert_eq!(session.sends.len(), 1, "this home may use one connection");
    session.answer_from(0);
    let order: Vec<u128> = session.sends.iter().map(|send| send.request).collect();
    assert_eq!(order, [1, 3, 2]);
    assert_eq!(session.answer_to(2).coverage, 1.0);
}

#[test]
fn leaving_server_queue_moves_to_another() {
    // Guards against an attempt that is sent to a leaving server because it was already queued for
    // a connection when the server was marked.
    let servers = [server(0, 0), server(0, 1)];
    let mut session = Session::pending(route(1, 2), &servers);
    session.submit(1);
    let leaving = last_chosen_server(&session);
    session.handle(Event::Leaving {
        backend_server: leaving,
        start: None,
    });
    open_pending(&mut session, servers[0]);
    open_pending(&mut session, servers[1]);
    assert_eq!(session.sends.len(), 1);
    assert_ne!(session.sends[0].backend_server, leaving);
}

#[test]
fn unreachable_server_queue_moves_to_another() {
    let servers = [server(0, 0), server(0, 1)];
    let mut session = Session::pending(tickets(2), &servers);
    session.submit(1);
    let unreachable = last_chosen_server(&session);
    let (connection, _) = *session
        .opens
        .iter()
        .find(|(_, to)| *to == unreachable)
        .expect("a connection was requested");
    session.handle(Event::Closed(connection));
    for server in servers.into_iter().filter(|server| *server != unreachable) {
        open_pending(&mut session, server);
    }
    assert_eq!(session.sends.len(), 1);
    assert_ne!(session.sends[0].backend_server, unreachable);
}

#[test]
fn execute_deadline_before_the_connection_opens_is_not_run() {
    // Guards against a non-idempotent request that is sent when a connection opens after its
    // deadline.
    let pending_server = server(0, 0);
    let mut session = Session::pending(tickets(1), &[pending_server]);
    session.submit(1);
    session.advance(ms(1001));
    open_pending(&mut session, pending_server);
    assert!(matches!(
        session.outcome(1),
        Outcome::NotRun {
            reason: Reason::Deadline,
            ..
        }
    ));
    assert!(session.sends.is_empty());
}

#[test]
fn minimum_raised_during_a_search_restarts_it() {
    // Guards against an answer at an index version that fell below the minimum while the search
    // ran.
    let newer = VERSION + 1;
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.handle(Event::Polled(server(0, 0), Some(report(&[VERSION, newer]))));
    session.submit(1);
    session.answer(&session.sends[1].clone());
    let mut raised = route(2, 1);
    raised.minimum_index_version = newer;
    session.handle(Event::Route(std::sync::Arc::new(raised)));
    session.answer_from(2);
    let answer = session.answer_to(1);
    assert_eq!((answer.index_version, answer.coverage), (newer, 0.5));
}

#[test]
fn minimum_raised_above_all_versions_fails() {
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.submit(1);
    session.answer(&session.sends[0].clone());
    let mut raised = route(2, 1);
    raised.minimum_index_version = VERSION + 1;
    session.handle(Event::Route(std::sync::Arc::new(raised)));
    session.answer(&session.sends[1].clone());
    assert!(matches!(session.outcome(1), Outcome::Failed { .. }));
}

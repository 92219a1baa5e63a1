//! Connections that weak hosts open on demand, where many hosts share a server.

mod session;

use monsoonring_decision::placement::{Division, Homes, Role};
use session::{Session, ms, route, server};
use test_case::test_case;

// Symptom: single requests wait for their deadline and reach no server, at hosts that have none of its connections.
// Events:  hosts nearby are so many that a server has no connection to spare for those further away; one of these is
//          asked, and has none ready.
// Cause:   a connection that is needed was to be closed at once when the need is over, and the need was taken for over
//          before the connection was asked for.
#[test_case(75; "more_hosts_nearby_than_a_server_has_connections_to_spare")]
#[test_case(10; "few_hosts_nearby")]
fn weak_host_opens_a_connection_on_demand(near: usize) {
    let weak = Homes {
        all: near * 4,
        near,
        strong: 2,
        role: Role::Weak,
        rank: 0,
    };
    let mut route = route(1, 1);
    route.capacity.connections = 90;
    let mut session = Session::with_division(route, Division::among_all_hosts(weak, 58.0));
    session.advance(ms(10_000));
    for id in 1..=20 {
        session.submit(id);
        assert!(!session.sends.is_empty(), "request {id} reaches the server");
        session.advance(ms(5));
        session.answer_from(session.sends.len() - 1);
        assert!(session.is_finished(id), "request {id} is answered");
        session.advance(ms(3_000));
    }
}

// What waits for a connection is a need only while it waits: a server that is gone is not connected to for ever.
#[test]
fn weak_host_stops_connecting_to_a_refusing_server() {
    let weak = Homes {
        all: 300,
        near: 75,
        strong: 2,
        role: Role::Weak,
        rank: 0,
    };
    let mut session = Session::with_division(route(1, 1), Division::among_all_hosts(weak, 58.0));
    session.refusing.insert(server(0, 0));
    session.submit(1);
    session.advance(ms(5_000));
    let opened = session.opens.len();
    session.advance(ms(60_000));
    assert!(
        session.opens.len() <= opened + 1,
        "{} more",
        session.opens.len() - opened
    );
}

//! Connections that weak hosts open on demand to servers that many hosts share.

mod session;

use monsoonring_decision::placement::{Division, Homes, Role};
use session::{Session, ms, route, server};
use test_case::test_case;

// Guards against requests that wait until their deadline because the connection opened for them is
// closed before it is used.
#[test_case(75; "more_hosts_nearby_than_spare_connections")]
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

// Guards against endless connects to a dead server: a request counts only while it waits.
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

//! Log lines of a search that finds no server for one of its parts.

mod session;

use monsoonring_decision::home::Event;
use session::{Session, route, server};

// Guards against a log line for a refused search that does not say which shard had no server, and
// why each of its servers was skipped.
#[test]
fn search_without_a_server_logs_a_reason_per_server() {
    let mut session = Session::refusing(route(2, 2), &[server(1, 0)]);
    session.handle(Event::Leaving {
        backend_server: server(1, 1),
        start: None,
    });
    session.submit(1);
    let reasons = session.log.iter().filter(|line| line.label == "give_up");
    let reasons: Vec<String> = reasons.map(|line| line.rationale.to_string()).collect();
    assert_eq!(
        reasons,
        [
            "no server for part 1, g1: 127.0.2.1:9000 unreachable, connect: refused, 127.0.2.2:9000 leaving"
        ]
    );
}

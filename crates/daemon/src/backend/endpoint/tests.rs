//! How many connections cancellations and reports take.

use super::Endpoint;
use futures::future::join_all;
use monsoonring_fakes::backend_server::{Server, Settings};

const CANCELLATIONS: u64 = 40;

// Symptom: backend servers refuse connections for attempts, although each home keeps to its share.
// Events: a straggler makes a home cancel many attempts at the same moment; each cancellation opens a
// connection of its own.
// Cause: connections beside those for attempts were not bounded.
#[tokio::test]
async fn cancel_many_at_once_takes_one_connection() {
    let server = Server::start(Settings::default());
    let endpoint = Endpoint::default();
    let cancelling = (0..CANCELLATIONS).map(|attempt| endpoint.cancel(server.address(), attempt));
    let (_, report) = tokio::join!(join_all(cancelling), endpoint.poll(server.address()));
    assert!(report.is_some(), "the report was read");
    assert_eq!(server.counters().connections_peak, 1);
}

/// Polls of a server that is not scheduled for a while.
const POLLS: usize = 3;

// Symptom: a backend server on a busy machine counts one connection more than its limit and refuses
// it, although each home keeps to its share.
// Events: the server is not scheduled for a second; a home gives its call for health up, closes the
// connection and opens another for the next call. When the server runs again, it finds both.
// Cause: a connection that the home has closed lasts, for the server, until it reads the end of it.
#[tokio::test]
async fn poll_stalled_server_takes_one_connection() {
    let server = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = server.local_addr().expect("the listener has an address");
    let endpoint = Endpoint::default();
    for _ in 0..POLLS {
        assert_eq!(endpoint.poll(address).await, None);
    }
    server.set_nonblocking(true).expect("the listener is open");
    let waiting = std::iter::from_fn(|| server.accept().ok()).count();
    assert_eq!(waiting, 1);
}

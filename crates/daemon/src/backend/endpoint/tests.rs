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

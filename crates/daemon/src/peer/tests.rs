use super::Pool;
use monsoonring_decision::member::BucketRange;
use monsoonring_wire::channel::Endpoint;
use monsoonring_wire::key::Ring;
use monsoonring_wire::meter::Meter;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Ends a test that hangs; no test waits for this to pass.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

// Symptom: after a restart of a peer, each daemon loses one call to it.
// Events: a stream is open; the peer closes it; then there is something to ask.
// Cause: a client that is kept although its stream has ended.
#[tokio::test]
async fn client_of_ended_stream_is_opened_anew() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let peer = listener.local_addr().expect("a bound address");
    let endpoint = Endpoint::new(
        Ipv4Addr::LOCALHOST.into(),
        Ring::default(),
        Meter::default(),
    );
    let pool = Pool::new(endpoint);
    let client = pool.client(peer).await.expect("it listens");
    drop(listener.accept().await);
    let range = BucketRange { first: 0, last: 0 };
    let failed = client.page(tarpc::context::current(), range).await;
    assert!(failed.is_err(), "the stream has ended");
    let opening = async { tokio::join!(pool.client(peer), listener.accept()) };
    let opened = timeout(TEST_TIMEOUT, opening).await;
    let (client, accepted) = opened.expect("a stream is opened");
    assert!(client.is_ok() && accepted.is_ok());
}

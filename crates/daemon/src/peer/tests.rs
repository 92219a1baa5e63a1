use super::Pool;
use monsoonring_decision::member::BucketRange;
use monsoonring_wire::channel::Endpoint;
use monsoonring_wire::key::Ring;
use monsoonring_wire::meter::Meter;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Fails a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

// A client whose stream the peer has closed must be replaced before the next call, or each daemon
// loses one call after a restart of a peer.
#[tokio::test]
async fn client_replaces_closed_stream() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port is free");
    let peer = listener.local_addr().expect("the listener has an address");
    let endpoint = Endpoint::new(
        Ipv4Addr::LOCALHOST.into(),
        Ring::default(),
        Meter::default(),
    );
    let pool = Pool::new(endpoint);
    let client = pool.client(peer).await.expect("the peer listens");
    drop(listener.accept().await);
    let range = BucketRange { first: 0, last: 0 };
    let failed = client.page(tarpc::context::current(), range).await;
    assert!(failed.is_err(), "the stream is closed");
    let opening = async { tokio::join!(pool.client(peer), listener.accept()) };
    let opened = timeout(TEST_TIMEOUT, opening).await;
    let (client, accepted) = opened.expect("a new stream is opened");
    assert!(client.is_ok() && accepted.is_ok());
}

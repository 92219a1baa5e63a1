//! Tests of connections that the peer closes.

use monsoonring_wire::channel::Endpoint;
use monsoonring_wire::key::Ring;
use monsoonring_wire::meter::Meter;
use monsoonring_wire::peer::connect;
use std::net::{IpAddr, Ipv4Addr};
use tokio::net::TcpListener;

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

// Guards against non-idempotent requests that end as unknown after a planned stop of a peer, because
// they were sent on a connection that had already closed.
#[tokio::test]
async fn is_closed_after_the_peer_ended() {
    let listener = TcpListener::bind((LOCAL, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let endpoint = Endpoint::new(LOCAL, Ring::default(), Meter::default());
    let (connection, accepted) = tokio::join!(connect(address, &endpoint), listener.accept());
    let connection = connection.expect("a connection");
    assert!(!connection.is_closed());
    drop(accepted);
    while !connection.is_closed() {
        tokio::task::yield_now().await;
    }
}

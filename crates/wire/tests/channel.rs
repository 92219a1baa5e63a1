//! Tests of the encrypted channel between daemons.

use monsoonring_wire::channel::{Endpoint, Error, Stream};
use monsoonring_wire::key::{Key, Ring};
use monsoonring_wire::meter::Meter;
use std::net::{IpAddr, Ipv4Addr};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Longer than an encrypted message and than the buffer between encryption task and protocol.
const PAYLOAD_BYTES: usize = 700_000;

fn ring(current: Option<u8>, previous: Option<u8>) -> Ring {
    let key = |byte| Key::new([byte; 32]);
    Ring {
        current: current.map(key),
        previous: previous.map(key),
    }
}

fn endpoint(ring: Ring) -> Endpoint {
    Endpoint::new(LOCAL, ring, Meter::default())
}

type StreamResult = Result<Box<dyn Stream>, Error>;

/// Opens a channel between two daemons and returns the results of both ends.
async fn open(initiator: Ring, responder: Ring) -> (StreamResult, StreamResult) {
    let listener = TcpListener::bind((LOCAL, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let accepting = async {
        let (stream, peer) = listener.accept().await.expect("a connection");
        endpoint(responder).accept(stream, peer).await
    };
    let initiator = endpoint(initiator);
    tokio::join!(initiator.connect(address), accepting)
}

#[test_case(None, None, None, None; "without_keys")]
#[test_case(Some(1), None, Some(1), None; "with_one_key")]
#[test_case(Some(1), None, Some(2), Some(1); "initiator_with_previous_key")]
#[test_case(Some(2), Some(1), Some(1), Some(2); "responder_prepared_for_next_key")]
#[tokio::test]
async fn connect_same_key_carries_bytes(
    current: Option<u8>,
    previous: Option<u8>,
    responder_current: Option<u8>,
    responder_previous: Option<u8>,
) {
    let (local, remote) = open(
        ring(current, previous),
        ring(responder_current, responder_previous),
    )
    .await;
    let (mut local, mut remote) = (
        local.expect("connect succeeds"),
        remote.expect("accept succeeds"),
    );
    let sent: Vec<u8> = (0..PAYLOAD_BYTES)
        .map(|index| (index % 251) as u8)
        .collect();
    let writing = async {
        local.write_all(&sent).await.expect("a reader");
        local.flush().await.expect("a reader");
    };
    let mut received = vec![0; PAYLOAD_BYTES];
    let reading = async { remote.read_exact(&mut received).await.expect("a writer") };
    tokio::join!(writing, reading);
    assert_eq!(received, sent);
}

// Guards against accepting calls from a process that has a retired key or none, such as on a host that
// was decommissioned.
#[test_case(Some(1), Some(2); "with_another_key")]
#[test_case(None, Some(2); "without_a_key")]
#[tokio::test]
async fn accept_unknown_key_is_refused(initiator: Option<u8>, responder: Option<u8>) {
    let listener = TcpListener::bind((LOCAL, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let opening = async {
        let mut opened = endpoint(ring(initiator, None)).connect(address).await.ok();
        if let Some(stream) = &mut opened {
            // The first bytes of an unencrypted protocol are not a valid handshake.
            let _ = stream.write_all(&[0; 64]).await;
        }
        opened
    };
    let accepting = async {
        let (stream, peer) = listener.accept().await.expect("a connection");
        endpoint(ring(responder, None)).accept(stream, peer).await
    };
    let (_, accepted) = tokio::join!(opening, accepting);
    assert!(accepted.is_err(), "a channel was opened without the key");
}

// Guards against queries that hang until their deadline because the peer's host accepts connections
// while its process is stopped.
#[tokio::test(start_paused = true)]
async fn connect_silent_peer_times_out() {
    let listener = TcpListener::bind((LOCAL, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let result = endpoint(ring(Some(1), None)).connect(address).await;
    assert!(matches!(result, Err(Error::Timeout { peer }) if peer == address));
}

// Guards against accepting a message that was modified in transit after a valid handshake.
#[tokio::test]
async fn read_changed_message_ends_stream() {
    let target = TcpListener::bind((LOCAL, 0)).await.expect("a free port");
    let relay = TcpListener::bind((LOCAL, 0)).await.expect("a free port");
    let address = relay.local_addr().expect("a bound address");
    let target_address = target.local_addr().expect("a bound address");
    tokio::spawn(corrupt(relay, target_address));
    let accepting = async {
        let (stream, peer) = target.accept().await.expect("a connection");
        endpoint(ring(Some(1), None)).accept(stream, peer).await
    };
    let initiator = endpoint(ring(Some(1), None));
    let (local, remote) = tokio::join!(initiator.connect(address), accepting);
    let (mut local, mut remote) = (
        local.expect("connect succeeds"),
        remote.expect("accept succeeds"),
    );
    local.write_all(b"pay the grower").await.expect("a reader");
    local.flush().await.expect("a reader");
    let mut received = Vec::new();
    remote
        .read_to_end(&mut received)
        .await
        .expect("an ended stream");
    assert!(received.is_empty(), "a changed message was delivered");
}

/// Relays the handshake and then flips one bit of the initiator's first message.
async fn corrupt(relay: TcpListener, target: std::net::SocketAddr) {
    let (mut client, _) = relay.accept().await.expect("a connection");
    let mut server = TcpStream::connect(target).await.expect("a listener");
    let mut buffer = [0; 4096];
    let hello = client.read(&mut buffer).await.expect("a hello");
    server.write_all(&buffer[..hello]).await.expect("a reader");
    let answer = server.read(&mut buffer).await.expect("an answer");
    client.write_all(&buffer[..answer]).await.expect("a reader");
    let length = client.read(&mut buffer).await.expect("a message");
    buffer[length - 1] ^= 1;
    server.write_all(&buffer[..length]).await.expect("a reader");
}

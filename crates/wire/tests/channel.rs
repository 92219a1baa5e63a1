//! Who is heard on a channel between daemons.

use monsoonring_wire::channel::{Endpoint, Error, Stream};
use monsoonring_wire::key::{Key, Ring};
use monsoonring_wire::meter::Meter;
use std::net::{IpAddr, Ipv4Addr};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// More than one sealed message and more than the buffer between pump and protocol.
const LONG: usize = 700_000;

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

type Opened = Result<Box<dyn Stream>, Error>;

/// Opens a channel between two daemons and returns what each end got.
async fn open(opener: Ring, acceptor: Ring) -> (Opened, Opened) {
    let listener = TcpListener::bind((LOCAL, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let accepting = async {
        let (stream, peer) = listener.accept().await.expect("a connection");
        endpoint(acceptor).accept(stream, peer).await
    };
    let opener = endpoint(opener);
    tokio::join!(opener.connect(address), accepting)
}

#[test_case(None, None, None, None; "without_keys")]
#[test_case(Some(1), None, Some(1), None; "with_one_key")]
#[test_case(Some(1), None, Some(2), Some(1); "opener_with_previous_key")]
#[test_case(Some(2), Some(1), Some(1), Some(2); "acceptor_prepared_for_next_key")]
#[tokio::test]
async fn connect_same_key_carries_bytes(
    current: Option<u8>,
    previous: Option<u8>,
    acceptor: Option<u8>,
    further: Option<u8>,
) {
    let (one, other) = open(ring(current, previous), ring(acceptor, further)).await;
    let (mut one, mut other) = (one.expect("an opened end"), other.expect("a taken end"));
    let sent: Vec<u8> = (0..LONG).map(|index| (index % 251) as u8).collect();
    let writing = async {
        one.write_all(&sent).await.expect("a reader");
        one.flush().await.expect("a reader");
    };
    let mut received = vec![0; LONG];
    let reading = async { other.read_exact(&mut received).await.expect("a writer") };
    tokio::join!(writing, reading);
    assert_eq!(received, sent);
}

// Symptom: a process on a host that an operator has given away still answers for the fleet.
// Events: it opens a channel with a key that is not in use any more, or with none.
// Cause: a listener that took every connection would believe what it says of members and requests.
#[test_case(Some(1), Some(2); "with_another_key")]
#[test_case(None, Some(2); "without_a_key")]
#[tokio::test]
async fn accept_unknown_key_is_refused(opener: Option<u8>, acceptor: Option<u8>) {
    let listener = TcpListener::bind((LOCAL, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let opening = async {
        let mut opened = endpoint(ring(opener, None)).connect(address).await.ok();
        if let Some(stream) = &mut opened {
            // What an unsealed protocol starts with is no handshake.
            let _ = stream.write_all(&[0; 64]).await;
        }
        opened
    };
    let accepting = async {
        let (stream, peer) = listener.accept().await.expect("a connection");
        endpoint(ring(acceptor, None)).accept(stream, peer).await
    };
    let (_, accepted) = tokio::join!(opening, accepting);
    assert!(accepted.is_err(), "a channel was opened without the key");
}

// Symptom: queries to one home hang until their deadline.
// Events: the peer's host accepts connections while its process is stopped.
// Cause: a handshake without a bound waits for an answer that does not come.
#[tokio::test(start_paused = true)]
async fn connect_silent_peer_times_out() {
    let listener = TcpListener::bind((LOCAL, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let opened = endpoint(ring(Some(1), None)).connect(address).await;
    assert!(matches!(opened, Err(Error::Timeout { peer }) if peer == address));
}

// Symptom: bytes of an attacker on the way are taken for a peer's.
// Events: the handshake is right; later one sealed message is changed on the way.
// Cause: a seal that is not checked.
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
    let opener = endpoint(ring(Some(1), None));
    let (one, other) = tokio::join!(opener.connect(address), accepting);
    let (mut one, mut other) = (one.expect("an opened end"), other.expect("a taken end"));
    one.write_all(b"pay the grower").await.expect("a reader");
    one.flush().await.expect("a reader");
    let mut received = Vec::new();
    other
        .read_to_end(&mut received)
        .await
        .expect("an ended stream");
    assert!(received.is_empty(), "a changed message was delivered");
}

/// Passes the handshake on, and flips one bit of what the opener sends after it.
async fn corrupt(relay: TcpListener, target: std::net::SocketAddr) {
    let (mut near, _) = relay.accept().await.expect("a connection");
    let mut far = TcpStream::connect(target).await.expect("a listener");
    let mut buffer = [0; 4096];
    let hello = near.read(&mut buffer).await.expect("a hello");
    far.write_all(&buffer[..hello]).await.expect("a reader");
    let answer = far.read(&mut buffer).await.expect("an answer");
    near.write_all(&buffer[..answer]).await.expect("a reader");
    let length = near.read(&mut buffer).await.expect("a message");
    buffer[length - 1] ^= 1;
    far.write_all(&buffer[..length]).await.expect("a reader");
}

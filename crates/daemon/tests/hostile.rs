//! Whatever arrives at the peers' port, the daemon goes on.

mod support;

use bytes::Bytes;
use futures::SinkExt;
use monsoonring_decision::member::BucketRange;
use monsoonring_wire::peer::{Connection, connect, framed};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use support::fuzzing::{count_panics, panics, runner};
use support::peer::endpoint;
use support::{launch_daemon, within};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CASES: u32 = 512;
const MAX_BYTES: usize = 256;

/// Methods between daemons, and some that there are not.
const METHODS: u8 = 14;

/// Time that a call is given.
const DEADLINE_SECONDS: u8 = 60;

/// Bytes of the ids that a call has for tracing.
const TRACE_BYTES: usize = 17;

/// Mark of a number of eight bytes.
const U64_TAG: u8 = 253;

/// Between two tries of something that must succeed.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A call as far as its head goes; its body has small numbers, so that many bodies can be read, and
/// some that are as large as can be.
fn call() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![8 => 0_u8..8, 1 => any::<u8>(), 1 => Just(U64_TAG)];
    (0..METHODS, prop::collection::vec(byte, 0..MAX_BYTES)).prop_map(|(method, body)| {
        let mut bytes = vec![0, DEADLINE_SECONDS, 0];
        bytes.extend([0; TRACE_BYTES]);
        bytes.extend([1, 1, method]);
        bytes.extend(body);
        bytes
    })
}

async fn try_connect(peer: SocketAddr) -> Option<Connection> {
    connect(peer, &endpoint()).await.ok()
}

async fn is_served(connection: &Connection) -> bool {
    let range = BucketRange { first: 0, last: 0 };
    let page = connection.client().page(tarpc::context::current(), range);
    within(page).await.is_ok_and(|page| page.is_some())
}

/// Sends bytes as someone without the key does, or sealed as messages of someone with it.
async fn send_and_close(peer: SocketAddr, authenticated: bool, bytes: &[u8]) {
    if authenticated {
        let stream = endpoint().connect(peer).await.expect("the key is right");
        let mut frames = framed(stream);
        let _closed = frames.send(Bytes::copy_from_slice(bytes)).await;
        let _closed = SinkExt::<Bytes>::close(&mut frames).await;
        return;
    }
    let mut stream = TcpStream::connect(peer).await.expect("it listens");
    let _closed = stream.write_all(bytes).await;
    let _closed = stream.shutdown().await;
    let _closed = within(stream.read_to_end(&mut Vec::new())).await;
}

#[test]
fn bytes_of_any_kind_leave_the_daemon_serving() {
    // Symptom: a daemon answers no peer after one odd message, and is taken for dead.
    // Events: bytes that are no handshake, a frame that claims to be huge, or sealed bytes that are no
    // call.
    // Cause: a panic, or a connection that holds something up for the others.
    count_panics();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let daemon = runtime.block_on(launch_daemon(&[]));
    let peer = daemon.peer_address;
    let connection = runtime.block_on(try_connect(peer)).expect("it listens");
    let mut runner = runner(CASES, 5);
    let any_bytes = prop::collection::vec(any::<u8>(), 0..MAX_BYTES);
    let bytes = prop_oneof![
        1 => (any::<bool>(), any_bytes),
        4 => call().prop_map(|bytes| (true, bytes)),
    ];
    let result = runner.run(&bytes, |(authenticated, bytes)| {
        runtime.block_on(send_and_close(peer, authenticated, &bytes));
        prop_assert!(runtime.block_on(is_served(&connection)));
        prop_assert_eq!(panics(), 0);
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

/// Tries until a connection is served.
async fn wait_until_served(peer: SocketAddr) {
    within(async {
        loop {
            match try_connect(peer).await {
                Some(connection) if is_served(&connection).await => return,
                _ => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    })
    .await;
}

#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    // Symptom: a daemon accepts nobody any more, callers neither.
    // Events: more and more connections are opened at the peers' port and kept.
    // Cause: connections without a limit use up the process's descriptors.
    let daemon = launch_daemon(&["--max-peer-connections=2"]).await;
    let peer = daemon.peer_address;
    let first = try_connect(peer).await.expect("within the limit");
    let second = try_connect(peer).await.expect("within the limit");
    assert!(try_connect(peer).await.is_none(), "above the limit");
    assert!(is_served(&first).await && is_served(&second).await);
    drop(first);
    wait_until_served(peer).await;
    assert!(is_served(&second).await, "it is served on");
}

#[tokio::test]
async fn handshake_that_does_not_end_frees_its_slot() {
    // Symptom: daemons can't reach one of them, though it runs.
    // Events: someone without the key opens connections up to the limit and says nothing.
    // Cause: a wait for the handshake without an end.
    let daemon = launch_daemon(&["--max-peer-connections=2"]).await;
    let peer = daemon.peer_address;
    let silent = [
        TcpStream::connect(peer).await,
        TcpStream::connect(peer).await,
    ];
    wait_until_served(peer).await;
    assert!(silent.iter().all(Result::is_ok), "they are kept open here");
}

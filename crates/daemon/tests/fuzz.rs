//! Arbitrary bytes at the callers' port must not stop a daemon.

mod support;

use proptest::prelude::*;
use std::net::SocketAddr;
use support::fuzzing::{count_panics, panics, runner};
use support::http::{Client, exchange, post, search};
use support::service::Fake;
use support::{Daemon, within};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const CASES: u32 = 256;
const MAX_BYTES: usize = 512;
const MAX_MUTATIONS: usize = 8;

/// A mutation of a valid request.
#[derive(Clone, Debug)]
enum Mutation {
    Replace(prop::sample::Index, u8),
    Insert(prop::sample::Index, Vec<u8>),
    Remove(prop::sample::Index),
    Repeat(prop::sample::Index),
    Truncate(prop::sample::Index),
}

impl Mutation {
    fn apply(&self, bytes: &mut Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        let length = bytes.len();
        match self {
            Self::Replace(index, byte) => bytes[index.index(length)] = *byte,
            Self::Insert(index, more) => {
                let at = index.index(length);
                bytes.splice(at..at, more.iter().copied());
            }
            Self::Remove(index) => {
                bytes.remove(index.index(length));
            }
            Self::Repeat(index) => bytes.extend_from_within(index.index(length)..),
            Self::Truncate(index) => bytes.truncate(index.index(length)),
        }
    }
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        (index(), any::<u8>()).prop_map(|(index, byte)| Mutation::Replace(index, byte)),
        (index(), prop::collection::vec(any::<u8>(), 1..9))
            .prop_map(|(index, bytes)| Mutation::Insert(index, bytes)),
        index().prop_map(Mutation::Remove),
        index().prop_map(Mutation::Repeat),
        index().prop_map(Mutation::Truncate),
    ]
}

fn valid_request() -> impl Strategy<Value = Vec<u8>> {
    let caller = "monsoonring-caller: dispatch";
    let key = "idempotency-key: \"k\"";
    prop::sample::select(vec![
        search("{\"a\":[1,2.5e3,\"\\u00e9\"]}").into_bytes(),
        post(
            "/routes/tickets/execute",
            &[caller, key, "monsoonring-send: 1"],
            "{}",
        )
        .into_bytes(),
        post(
            "/routes/tickets/keys",
            &[caller, "monsoonring-deadline-ms: 9"],
            "",
        )
        .into_bytes(),
        search("")
            .replace("content-length: 0", "transfer-encoding: chunked")
            .into_bytes(),
    ])
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let mutated = (
        valid_request(),
        prop::collection::vec(mutation(), 0..MAX_MUTATIONS),
    )
        .prop_map(|(mut bytes, mutations)| {
            mutations
                .iter()
                .for_each(|mutation| mutation.apply(&mut bytes));
            bytes
        });
    prop_oneof![
        1 => prop::collection::vec(any::<u8>(), 0..MAX_BYTES),
        3 => mutated,
    ]
}

/// Sends the bytes, shuts the write side down, and reads until the daemon closes.
async fn send_and_close(address: SocketAddr, bytes: &[u8]) {
    let mut client = Client::connect(address).await;
    // The daemon may close the connection before it has read everything.
    let _closed = client.0.write_all(bytes).await;
    let _closed = client.0.shutdown().await;
    let _closed = within(client.0.read_to_end(&mut Vec::new())).await;
}

#[test]
fn bytes_of_any_kind_leave_the_daemon_serving() {
    // Guards against panics and blocked connections after random bytes or a mutated request.
    count_panics();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let daemon = runtime.block_on(Daemon::start(Fake::default(), &[]));
    let mut runner = runner(CASES, 7);
    let result = runner.run(&bytes(), |bytes| {
        let next = runtime.block_on(async {
            send_and_close(daemon.caller_address, &bytes).await;
            exchange(daemon.caller_address, &search("1")).await
        });
        prop_assert_eq!(next.status, 200);
        prop_assert_eq!(panics(), 0);
        Ok(())
    });
    assert_eq!(result, Ok(()));
    assert_eq!(
        daemon.metrics.front.in_flight.get(),
        0,
        "no request stays in flight"
    );
}

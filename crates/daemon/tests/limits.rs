//! Callers that are slow, silent, greedy or gone.

mod support;

use monsoonring_daemon::metrics::label::{Connection, Side};
use monsoonring_decision::outcome::{Answer, Outcome};
use monsoonring_decision::reply::Item;
use std::time::Duration;
use support::http::{Client, Response, exchange, get, search};
use support::service::{Fake, answer};
use support::{Daemon, within};
use test_case::test_case;
use tokio::io::AsyncReadExt;

/// Between two looks at something that must change.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Bytes that no socket buffer holds.
const LARGE: usize = 64 << 20;

async fn wait_until_no_connection(daemon: &Daemon) {
    let label = Connection { side: Side::Caller };
    within(async {
        while daemon.metrics.connections.get_or_create(&label).get() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    })
    .await;
}

#[test_case("--body-timeout-ms=50", "", 408, "slow_caller"; "slow_is_refused")]
#[test_case("--body-timeout-ms=50000", "\r\nmonsoonring-deadline-ms: 50", 504, "deadline"; "slower_than_its_deadline_is_not_run")]
#[tokio::test]
async fn body(setting: &str, header: &str, status: u16, kind: &str) {
    // Symptom: the connections of a daemon are used up while nothing is in flight.
    // Events: a caller sends the head of a request and a part of its body, then nothing.
    // Cause: a wait for the rest without an end.
    let daemon = Daemon::start(Fake::default(), &[setting]).await;
    let mut client = Client::connect(daemon.caller_address).await;
    let request = search("[1,2]").replace("\r\n\r\n[1,2]", &format!("{header}\r\n\r\n[1"));
    let response = client.exchange(&request).await;
    assert_eq!(
        (response.status, response.problem()),
        (status, (kind.into(), "not_run".into()))
    );
    assert!(
        daemon.service.received_calls().is_empty(),
        "nothing reached the service"
    );
}

#[test_case("--header-timeout-ms=50", "POST /rou"; "head_that_does_not_end_is_closed")]
#[test_case("--idle-timeout-ms=50", ""; "silence_is_closed")]
#[tokio::test]
async fn connection(setting: &str, bytes: &str) {
    // Symptom: the connections of a daemon are used up while nothing is in flight.
    // Events: a caller opens a connection and sends nothing, or the beginning of a head.
    // Cause: a wait for the rest without an end.
    let daemon = Daemon::start(Fake::default(), &[setting]).await;
    let mut client = Client::connect(daemon.caller_address).await;
    client.send(bytes.as_bytes()).await;
    assert_eq!(client.receive().await, Response::default(), "it was closed");
    wait_until_no_connection(&daemon).await;
}

#[tokio::test]
async fn head_second_on_a_connection_has_its_own_timeout() {
    let daemon = Daemon::start(Fake::default(), &["--header-timeout-ms=50"]).await;
    let mut client = Client::connect(daemon.caller_address).await;
    assert_eq!(client.exchange(&search("1")).await.status, 200);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        client.exchange(&search("1")).await.status,
        200,
        "idle time is not head time"
    );
}

#[tokio::test]
async fn head_too_large_is_refused() {
    let daemon = Daemon::start(Fake::default(), &["--max-header-bytes=8192"]).await;
    let large = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(9_000));
    assert_eq!(exchange(daemon.caller_address, &large).await.status, 431);
}

#[tokio::test]
async fn answer_unread_is_closed() {
    // Symptom: a planned stop does not end, and connections stay open with nothing in flight.
    // Events: a caller sends a request and never reads the answer.
    // Cause: a wait for the room to write without an end.
    let large = Answer {
        items: vec![Item {
            key: 1,
            value: "1".repeat(LARGE).into(),
        }],
        ..answer()
    };
    let service = Fake::with_outcome(Outcome::Answered(large));
    let daemon = Daemon::start(service, &["--write-timeout-ms=100"]).await;
    let mut client = Client::connect(daemon.caller_address).await;
    client.send(search("1").as_bytes()).await;
    daemon.service.wait_for_requests(1).await;
    wait_until_no_connection(&daemon).await;
    let mut rest = Vec::new();
    let _reset = client.0.read_to_end(&mut rest).await;
    assert!(rest.len() < LARGE, "the answer was cut off");
}

#[tokio::test]
async fn connections_above_the_limit_are_refused_with_a_problem() {
    // Symptom: callers wait for good on connections that nobody serves.
    // Events: callers open more connections than the limit allows.
    // Cause: connections left in the kernel's queue instead of being told.
    let daemon = Daemon::start(Fake::default(), &["--max-connections=1"]).await;
    let mut first = Client::connect(daemon.caller_address).await;
    assert_eq!(first.exchange(&search("1")).await.status, 200);
    let refused = exchange(daemon.caller_address, &search("1")).await;
    assert_eq!(refused.problem(), ("connections".into(), "not_run".into()));
    assert_eq!(refused.header("connection"), Some("close"));
    assert_eq!(
        exchange(daemon.caller_address, &get("/health"))
            .await
            .status,
        200,
        "the process lives"
    );
    assert_eq!(
        first.exchange(&search("1")).await.status,
        200,
        "the first is served on"
    );
    assert_eq!(daemon.service.received_calls().len(), 2);
}

#[tokio::test]
async fn caller_disconnect_drops_its_request() {
    // Symptom: backend servers work for callers that have long hung up.
    // Events: a caller closes its connection while its request is at the service.
    // Cause: a request that goes on without anyone to answer.
    let daemon = Daemon::start(Fake::blocked(), &[]).await;
    let mut client = Client::connect(daemon.caller_address).await;
    client.send(search("1").as_bytes()).await;
    daemon.service.wait_for_requests(1).await;
    drop(client);
    let dropped = within(daemon.service.cancellations.acquire()).await;
    dropped.expect("never closed").forget();
    wait_until_no_connection(&daemon).await;
    assert_eq!(daemon.metrics.front.in_flight.get(), 0);
}

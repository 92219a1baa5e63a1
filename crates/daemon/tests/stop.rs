//! Planned stops, and those that are cut short.

mod support;

use monsoonring_daemon::run::StopOutcome;
use monsoonring_decision::outcome::{Answer, Outcome};
use monsoonring_decision::reply::Item;
use std::sync::atomic::Ordering;
use support::http::{Client, exchange, get, search};
use support::service::{Fake, answer};
use support::{Daemon, within};
use test_case::test_case;

const CALLERS: u32 = 8;

/// Bytes that no socket buffer holds.
const LARGE: usize = 64 << 20;

#[tokio::test]
async fn stop_graceful_completes_requests() {
    // Symptom: callers see connections reset whenever a daemon is replaced.
    // Events: requests are in flight when the signal comes; they end long after accepting has.
    // Cause: a process that ends, or closes connections, before it has answered.
    let mut daemon = Daemon::start(Fake::blocked(), &["--drain-wait-ms=1"]).await;
    let callers = daemon.caller_address;
    let spawn_request = || tokio::spawn(async move { exchange(callers, &search("1")).await });
    let requests: Vec<_> = (0..CALLERS).map(|_| spawn_request()).collect();
    daemon.service.wait_for_requests(CALLERS).await;
    daemon.signal();
    wait_until_closed(callers).await;
    daemon.service.blocked.send_replace(false);
    for request in requests {
        let response = within(request).await.expect("no panic");
        assert_eq!(response.status, 200, "it was answered: {response:?}");
        assert_eq!(response.header("connection"), Some("close"));
    }
    assert_eq!(daemon.wait().await, StopOutcome::Complete);
}

async fn wait_until_closed(address: std::net::SocketAddr) {
    let closed = async {
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    within(closed).await;
}

#[tokio::test]
async fn stop_is_announced_while_requests_are_still_served() {
    // Symptom: callers are refused for as long as the balancer takes to notice a stop.
    // Events: the signal comes; the balancer sends on until it has seen "not ready".
    // Cause: accepting that ends together with readiness.
    let daemon = Daemon::start(Fake::default(), &["--drain-wait-ms=50000"]).await;
    let mut persistent = Client::connect(daemon.caller_address).await;
    assert_eq!(
        persistent.exchange(&search("1")).await.header("connection"),
        None
    );
    assert_eq!(
        exchange(daemon.caller_address, &get("/ready")).await.status,
        200
    );
    daemon.signal();
    let announced =
        async { while exchange(daemon.caller_address, &get("/ready")).await.status == 200 {} };
    within(announced).await;
    assert_eq!(
        exchange(daemon.caller_address, &search("1")).await.status,
        200,
        "new ones are served"
    );
    let last = persistent.exchange(&search("1")).await;
    assert_eq!(
        (last.status, last.header("connection")),
        (200, Some("close"))
    );
    daemon.signal();
    assert_eq!(daemon.stopped().await, StopOutcome::Cut { requests: 0 });
}

#[test_case("--stop-bound-ms=50000", 2; "by_a_second_signal_cuts_open_requests")]
#[test_case("--stop-bound-ms=300", 1; "by_its_timeout_cuts_open_requests")]
#[tokio::test]
async fn stop_short(setting: &str, signals: usize) {
    // Symptom: a process that was asked to stop stays for good.
    // Events: a request does not end; a second signal comes, or the bound is reached.
    // Cause: a wait for what is in flight without an end.
    let daemon = Daemon::start(Fake::blocked(), &[setting]).await;
    let mut client = Client::connect(daemon.caller_address).await;
    client.send(search("1").as_bytes()).await;
    daemon.service.wait_for_requests(1).await;
    (0..signals).for_each(|_| daemon.signal());
    assert_eq!(client.receive().await.status, 0, "it was cut off");
    assert_eq!(daemon.stopped().await, StopOutcome::Cut { requests: 1 });
}

#[tokio::test]
async fn stop_waits_for_forwarded_requests() {
    // Symptom: callers of other daemons see failures whenever a daemon is replaced.
    // Events: no caller of its own waits, but requests that peers passed on are in flight.
    // Cause: a process that looks at its own callers only before it ends.
    let mut daemon = Daemon::start(Fake::blocked(), &[]).await;
    daemon.signal();
    wait_until_closed(daemon.caller_address).await;
    assert!(
        daemon.service.leave_called.load(Ordering::SeqCst),
        "it was told"
    );
    daemon.service.blocked.send_replace(false);
    assert_eq!(daemon.wait().await, StopOutcome::Complete);
    assert!(
        daemon.service.drained.load(Ordering::SeqCst),
        "it has drained"
    );
}

#[tokio::test]
async fn stop_with_forwarded_requests_left_is_cut() {
    // Symptom: a stop that its exit code calls planned has cut off requests of other daemons.
    // Events: a request that a peer passed on does not end; the bound is reached.
    // Cause: a count of what was cut that has the daemon's own callers only.
    let daemon = Daemon::start(Fake::blocked(), &["--stop-bound-ms=300"]).await;
    daemon.signal();
    assert_eq!(daemon.stopped().await, StopOutcome::Cut { requests: 0 });
}

#[tokio::test]
async fn stop_that_cuts_an_answer_is_reported() {
    // Symptom: a stop that its log and exit code call planned has left callers with half an answer.
    // Events: a caller reads slowly; the bound of the stop is reached while its answer is written.
    // Cause: a request that counts as ended as soon as its answer is made.
    let large = Answer {
        items: vec![Item {
            key: 1,
            value: "1".repeat(LARGE).into(),
        }],
        ..answer()
    };
    let service = Fake::with_outcome(Outcome::Answered(large));
    let daemon = Daemon::start(service, &["--stop-bound-ms=300"]).await;
    let mut client = Client::connect(daemon.caller_address).await;
    client.send(search("1").as_bytes()).await;
    daemon.service.wait_for_requests(1).await;
    daemon.signal();
    assert_eq!(daemon.stopped().await, StopOutcome::Cut { requests: 1 });
}

//! Graceful stops, and stops that cut open requests off.

mod support;

use monsoonring_daemon::run::StopOutcome;
use monsoonring_decision::outcome::{Answer, Outcome};
use monsoonring_decision::reply::Item;
use std::sync::atomic::Ordering;
use support::http::{Client, exchange, execute, get, search};
use support::service::{Fake, answer};
use support::{Daemon, within};
use test_case::test_case;

const CALLERS: u32 = 8;

/// Size of an answer in bytes, more than the socket buffers hold.
const LARGE: usize = 64 << 20;

#[tokio::test]
async fn stop_graceful_completes_requests() {
    // Guards against connection resets when a daemon is replaced: requests in flight are answered
    // after the listener has closed.
    let mut daemon = Daemon::start(Fake::blocked(), &["--drain-wait-ms=1"]).await;
    let callers = daemon.caller_address;
    let spawn_request = || tokio::spawn(async move { exchange(callers, &search("1")).await });
    let requests: Vec<_> = (0..CALLERS).map(|_| spawn_request()).collect();
    daemon.service.wait_for_requests(CALLERS).await;
    daemon.signal();
    wait_until_closed(callers).await;
    daemon.service.blocked.send_replace(false);
    for request in requests {
        let response = within(request)
            .await
            .expect("the client task does not panic");
        assert_eq!(
            response.status, 200,
            "open requests are answered during a stop: {response:?}"
        );
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
    // Guards against refused requests between a stop signal and the load balancer's next readiness
    // check: the daemon reports "not ready" first and accepts connections meanwhile.
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
        "new requests are still served"
    );
    let last = persistent.exchange(&search("1")).await;
    assert_eq!(
        (last.status, last.header("connection")),
        (200, Some("close"))
    );
    daemon.signal();
    assert_eq!(daemon.stopped().await, StopOutcome::Cut { requests: 0 });
}

// Guards against a stop that never ends because a request in flight does not end, and against
// connections that such a stop closes without an answer.
#[test_case("--stop-bound-ms=50000", 2; "by_a_second_signal_answers_open_requests")]
#[test_case("--stop-bound-ms=300", 1; "by_its_timeout_answers_open_requests")]
#[tokio::test]
async fn stop_short(setting: &str, signals: usize) {
    let daemon = Daemon::start(Fake::blocked(), &[setting]).await;
    let mut searching = Client::connect(daemon.caller_address).await;
    searching.send(search("1").as_bytes()).await;
    let mut executing = Client::connect(daemon.caller_address).await;
    executing.send(execute("own-1").as_bytes()).await;
    daemon.service.wait_for_requests(2).await;
    (0..signals).for_each(|_| daemon.signal());
    let response = searching.receive().await;
    assert_eq!(response.status, 503, "a search may be sent again");
    assert_eq!(response.header("connection"), Some("close"));
    let response = executing.receive().await;
    assert_eq!(response.status, 502, "the request may have run");
    assert!(
        daemon.service.end_requests_called.load(Ordering::SeqCst),
        "the service can end its requests first"
    );
    assert_eq!(daemon.stopped().await, StopOutcome::Cut { requests: 2 });
}

#[tokio::test]
async fn stop_waits_for_forwarded_requests() {
    // Guards against a stop that drops requests which peers forwarded, when no request of the
    // daemon's own callers is in flight.
    let mut daemon = Daemon::start(Fake::blocked(), &[]).await;
    daemon.signal();
    wait_until_closed(daemon.caller_address).await;
    assert!(
        daemon.service.leave_called.load(Ordering::SeqCst),
        "the service learns of the stop"
    );
    daemon.service.blocked.send_replace(false);
    assert_eq!(daemon.wait().await, StopOutcome::Complete);
    assert!(
        daemon.service.drained.load(Ordering::SeqCst),
        "the daemon waits for the service to drain"
    );
}

#[tokio::test]
async fn stop_with_forwarded_requests_left_is_cut() {
    // Guards against a stop that cuts forwarded requests off but is reported as complete.
    let daemon = Daemon::start(Fake::blocked(), &["--stop-bound-ms=300"]).await;
    daemon.signal();
    assert_eq!(daemon.stopped().await, StopOutcome::Cut { requests: 0 });
}

#[tokio::test]
async fn stop_that_cuts_an_answer_is_reported() {
    // Guards against a stop that truncates an answer but is reported as complete: a request counts
    // as in flight until its answer is written.
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

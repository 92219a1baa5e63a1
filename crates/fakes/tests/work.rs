//! Slots, queue, deadlines, cancellation and service latencies.
//!
//! Tests that measure time pause the clock, which then advances only when all tasks are idle.

mod support;

use hyper::StatusCode;
use monsoonring_fakes::backend_server::{Cold, Distribution, Server, Settings};
use monsoonring_fakes::header;
use std::time::Duration;
use support::{Call, Client, Reply, eventually, send};
use test_case::test_case;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

const HOUR: Duration = Duration::from_secs(3_600);

fn one_slot(service: Duration) -> Server {
    Server::start(Settings {
        slots: 1,
        shed_at: Some(1),
        service_time: Distribution::Constant(service),
        ..Settings::default()
    })
}

/// Sends a call in a new task and waits until the server has received it.
async fn send_and_wait(server: &Server, call: Call) -> JoinHandle<Result<Reply, hyper::Error>> {
    let received = server.counters().received;
    let task = tokio::spawn(send(server.address(), call));
    let is_received = || server.attempts().len() as u64 > received;
    eventually("the server has received the request", is_received).await;
    task
}

#[tokio::test]
async fn queue_beyond_threshold_is_shed() {
    // Without shedding, the queue of an overloaded server grows until every reply is late.
    let server = one_slot(HOUR);
    let _running = send_and_wait(&server, Call::query(1)).await;
    let _waiting = send_and_wait(&server, Call::query(2)).await;
    let reply = send(server.address(), Call::query(3))
        .await
        .expect("a reply");
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.not_run(), Some("shedding"));
    assert_eq!(reply.header(header::RETRY_AFTER_MS), Some("100"));
    assert_eq!(reply.header("retry-after"), Some("1"));
    assert_eq!(reply.header(header::LOAD), Some("1/1/1"));
    assert_eq!(server.counters().started, 1);
}

#[tokio::test(start_paused = true)]
async fn slots_limit_concurrency() {
    let server = Server::start(Settings {
        slots: 2,
        service_time: Distribution::Constant(Duration::from_millis(10)),
        ..Settings::default()
    });
    let start = Instant::now();
    let calls = (0..6).map(|attempt| send(server.address(), Call::query(attempt)));
    let replies = futures::future::join_all(calls).await;
    assert!(replies.iter().flatten().all(|reply| reply.status == 200));
    assert_eq!(server.counters().busy_peak, 2);
    assert_eq!(start.elapsed().as_millis(), 30, "three batches of two");
}

#[test_case(true, Some("deadline"), 0; "queued")]
#[test_case(false, None, 1; "running")]
#[tokio::test(start_paused = true)]
async fn deadline_stops_a_request(queued: bool, not_run: Option<&str>, overran: u64) {
    // A request stops at its deadline. Only one that was still queued is reported as "not run".
    let server = one_slot(HOUR);
    if queued {
        let _running = send_and_wait(&server, Call::query(1)).await;
    }
    let call = Call::query(2).header(header::DEADLINE_MS, "20");
    let reply = send(server.address(), call).await.expect("a reply");
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(reply.not_run(), not_run);
    assert_eq!(server.counters().overran, overran);
    assert_eq!(server.counters().completed, 0);
}

#[test_case(true, 1; "queued")]
#[test_case(false, 1; "running")]
#[tokio::test]
async fn cancel_stops_an_attempt(queued: bool, started: u64) {
    // Cancelling the losing attempt of a hedge frees its slot or queue position.
    let server = one_slot(HOUR);
    if queued {
        let _running = send_and_wait(&server, Call::query(1)).await;
    }
    let attempt = send_and_wait(&server, Call::query(2)).await;
    let reply = send(server.address(), Call::cancel(2))
        .await
        .expect("a reply");
    assert_eq!(reply.status, StatusCode::ACCEPTED);
    let reply = attempt.await.expect("no panic").expect("a reply");
    assert_eq!(reply.status, 499);
    assert_eq!(reply.header(header::ATTEMPT), Some("0000000000000002"));
    let again = send(server.address(), Call::cancel(2))
        .await
        .expect("a reply");
    assert_eq!(again.status, StatusCode::NOT_FOUND);
    let counters = server.counters();
    assert_eq!((counters.cancelled, counters.started), (1, started));
    let load = send(server.address(), Call::get("/load"))
        .await
        .expect("a reply");
    let busy = u64::from(queued);
    assert_eq!(
        (load.json()["busy"].as_u64(), load.json()["queued"].as_u64()),
        (Some(busy), Some(0))
    );
}

#[test_case(Call::query(1), 1, 0; "search_is_abandoned")]
#[test_case(Call::execute(1, "k"), 0, 1; "execute_completes")]
#[tokio::test]
async fn client_disconnects(call: Call, abandoned: u64, completed: u64) {
    // A disconnect stops a search but must not interrupt a non-idempotent request.
    let server = one_slot(Duration::from_millis(50));
    let attempt = send_and_wait(&server, call).await;
    eventually("the request runs", || server.counters().started == 1).await;
    attempt.abort();
    eventually("the request has ended", || {
        let counters = server.counters();
        counters.abandoned + counters.completed == 1
    })
    .await;
    let counters = server.counters();
    assert_eq!(
        (counters.abandoned, counters.completed),
        (abandoned, completed)
    );
}

#[tokio::test(start_paused = true)]
async fn cold_process_warms_with_requests() {
    // A new process refuses requests at first, then is slow until requests have filled its caches.
    let server = Server::start(Settings {
        service_time: Distribution::Constant(Duration::from_millis(10)),
        cold: Some(Cold {
            refuse_for: Duration::from_millis(500),
            slowdown: 5.0,
            warm_after: 2,
        }),
        ..Settings::default()
    });
    let mut client = Client::connect(server.address()).await;
    let refused = client.send(Call::query(0)).await.expect("a reply");
    assert_eq!(refused.not_run(), Some("starting"));
    time::advance(Duration::from_millis(500)).await;
    assert_eq!(latencies(&mut client, 4).await, [50, 30, 10, 10]);
    server.set_slowdown(3.0);
    assert_eq!(latencies(&mut client, 1).await, [30]);
}

#[test_case(Distribution::Exponential { mean: Duration::from_millis(20) }; "exponential")]
#[test_case(
    Distribution::Lognormal { median: Duration::from_millis(20), sigma: 1.0 }; "lognormal"
)]
#[test_case(
    Distribution::Bimodal {
        fast: Duration::from_millis(2),
        slow: Duration::from_millis(200),
        slow_share: 0.3,
    };
    "bimodal"
)]
#[tokio::test(start_paused = true)]
async fn service_times_repeat_with_the_seed(service_time: Distribution) {
    let mut runs = Vec::new();
    for seed in [7, 7, 8] {
        let server = Server::start(Settings {
            service_time,
            seed,
            ..Settings::default()
        });
        let mut client = Client::connect(server.address()).await;
        runs.push(latencies(&mut client, 20).await);
    }
    assert_eq!(runs[0], runs[1], "same seed");
    assert_ne!(runs[0], runs[2], "different seed");
}

/// Sends queries sequentially and returns the duration of each in milliseconds.
async fn latencies(client: &mut Client, count: u64) -> Vec<u128> {
    let mut latencies = Vec::new();
    for attempt in 0..count {
        let start = Instant::now();
        let reply = client.send(Call::query(attempt)).await.expect("a reply");
        assert_eq!(reply.status, StatusCode::OK);
        latencies.push(start.elapsed().as_millis());
    }
    latencies
}

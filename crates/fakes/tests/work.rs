//! Slots, queue, deadlines, cancellation and service times. The clock is paused and moves on only
//! when everything waits, so that times are exact.

mod support;

use hyper::StatusCode;
use monsoonring_fakes::backend_server::{Cold, Distribution, Server, Settings};
use monsoonring_fakes::header;
use std::time::Duration;
use support::{Call, Client, Reply, eventually, send};
use test_case::test_case;
use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

const LONG: Duration = Duration::from_secs(3_600);

fn one_slot(service: Duration) -> Server {
    Server::start(Settings {
        slots: 1,
        shed_at: Some(1),
        service_time: Distribution::Constant(service),
        ..Settings::default()
    })
}

/// Sends a call in a task of its own and waits until the server has taken it in.
async fn begin(server: &Server, call: Call) -> JoinHandle<Result<Reply, hyper::Error>> {
    let received = server.counters().received;
    let task = tokio::spawn(send(server.address(), call));
    let has_come = || server.attempts().len() as u64 > received;
    eventually("the request has come", has_come).await;
    task
}

#[tokio::test]
async fn queue_beyond_threshold_is_shed() {
    // Symptom: a loaded server answers everybody too late.
    // Events: one request is worked on, one waits, a third one comes.
    // Cause: the queue grows without limit.
    let server = one_slot(LONG);
    let _running = begin(&server, Call::query(1)).await;
    let _waiting = begin(&server, Call::query(2)).await;
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
async fn slots_bound_the_work() {
    let server = Server::start(Settings {
        slots: 2,
        service_time: Distribution::Constant(Duration::from_millis(10)),
        ..Settings::default()
    });
    let begun = Instant::now();
    let calls = (0..6).map(|attempt| send(server.address(), Call::query(attempt)));
    let replies = futures::future::join_all(calls).await;
    assert!(replies.iter().flatten().all(|reply| reply.status == 200));
    assert_eq!(server.counters().busy_peak, 2);
    assert_eq!(begun.elapsed().as_millis(), 30, "three rounds of two");
}

#[test_case(true, Some("deadline"), 0; "in_the_queue")]
#[test_case(false, None, 1; "at_work")]
#[tokio::test(start_paused = true)]
async fn deadline_stops_a_request(queued: bool, not_run: Option<&str>, overran: u64) {
    // Symptom: the server works for callers that have long gone.
    // Events: the deadline passes while the request waits, or while it runs.
    // Cause: the remaining time is not watched. Only the one that waited may say "not run".
    let server = one_slot(LONG);
    if queued {
        let _running = begin(&server, Call::query(1)).await;
    }
    let call = Call::query(2).header(header::DEADLINE_MS, "20");
    let reply = send(server.address(), call).await.expect("a reply");
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(reply.not_run(), not_run);
    assert_eq!(server.counters().overran, overran);
    assert_eq!(server.counters().completed, 0);
}

#[test_case(true, 1; "in_the_queue")]
#[test_case(false, 1; "at_work")]
#[tokio::test]
async fn cancel_stops_an_attempt(queued: bool, started: u64) {
    // Symptom: losers of a hedge keep slots busy to their end.
    // Events: an attempt is cancelled while it waits, or while it runs.
    // Cause: the server can't find the attempt by its id, or doesn't free its place.
    let server = one_slot(LONG);
    if queued {
        let _running = begin(&server, Call::query(1)).await;
    }
    let attempt = begin(&server, Call::query(2)).await;
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

#[test_case(Call::query(1), 1, 0; "search_is_given_up")]
#[test_case(Call::execute(1, "k"), 0, 1; "execute_runs_on")]
#[tokio::test]
async fn disconnect_of_the_client(call: Call, abandoned: u64, completed: u64) {
    // Symptom: a search keeps its slot for nobody; or a ticket is lost half-written.
    // Events: the connection goes away while the request runs.
    // Cause: what a lost connection means depends on the request.
    let server = one_slot(Duration::from_millis(50));
    let attempt = begin(&server, call).await;
    eventually("the work has begun", || server.counters().started == 1).await;
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
    // Symptom: a restarted server is given its full share at once and makes stragglers.
    // Events: a process starts, refuses for a while, is slow at first.
    // Cause: caches are empty until requests have filled them.
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
    assert_eq!(times(&mut client, 4).await, [50, 30, 10, 10]);
    server.set_slowdown(3.0);
    assert_eq!(times(&mut client, 1).await, [30]);
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
        runs.push(times(&mut client, 20).await);
    }
    assert_eq!(runs[0], runs[1], "same seed");
    assert_ne!(runs[0], runs[2], "other seed");
}

/// Sends queries one after the other and returns how many milliseconds each took.
async fn times(client: &mut Client, count: u64) -> Vec<u128> {
    let mut times = Vec::new();
    for attempt in 0..count {
        let begun = Instant::now();
        let reply = client.send(Call::query(attempt)).await.expect("a reply");
        assert_eq!(reply.status, StatusCode::OK);
        times.push(begun.elapsed().as_millis());
    }
    times
}

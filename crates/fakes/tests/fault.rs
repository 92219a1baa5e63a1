//! Faults of a backend server: replies, connections, crashes, reports.

mod support;

use monsoonring_fakes::Reporting;
use monsoonring_fakes::backend_server::{
    Crash, Distribution, Fault, Load, NotRun, OverLimit, Server, Settings, Status,
};
use monsoonring_fakes::header;
use std::time::Duration;
use support::{Call, Client, eventually, send};
use test_case::test_case;
use tokio::time::{self, Instant};

const GRACE: Duration = Duration::from_millis(50);
const HOUR: Duration = Duration::from_secs(3_600);
const OWN: &str = "0000000000000002";
const EARLIER: &str = "0000000000000001";
const FOREIGN: &str = "feedfacefeedface";

// Symptom: a caller gets another's answer, half of one, or one from two snapshots.
// Events: the request runs, its reply is late, broken off, mislabelled or lost.
// Cause: the daemon trusts a reply because it came on the right connection.
#[test_case(Fault::Truncated, None; "truncated")]
#[test_case(Fault::Lost, None; "lost")]
#[test_case(Fault::ForeignAttempt, Some((200, FOREIGN, Some("1"))); "foreign_attempt")]
#[test_case(Fault::DuplicateAttempt, Some((200, EARLIER, Some("1"))); "duplicate_attempt")]
#[test_case(Fault::WrongIndexVersion, Some((200, OWN, Some("2"))); "wrong_index_version")]
#[test_case(Fault::Failed, Some((500, OWN, None)); "ran_and_failed")]
#[tokio::test]
async fn reply_with_fault(fault: Fault, expected: Option<(u16, &str, Option<&str>)>) {
    let server = Server::start(Settings::default());
    let address = server.address();
    let before = send(address, Call::query(1)).await;
    assert_eq!(before.expect("a reply").status, 200);
    server.plan(fault, 1);
    let pinned = Call::query(2).header(header::INDEX_VERSION, "1");
    let reply = send(address, pinned).await.ok();
    let seen = reply.as_ref().map(|reply| {
        let attempt = reply.header(header::ATTEMPT).unwrap_or_default();
        let version = reply.header(header::INDEX_VERSION);
        (reply.status.as_u16(), attempt, version)
    });
    assert_eq!(seen, expected);
    assert_eq!(reply.as_ref().and_then(|reply| reply.not_run()), None);
    assert_eq!(
        server.counters().completed,
        2,
        "the request ran all the same"
    );
    let after = send(address, Call::query(3)).await.expect("a reply");
    assert_eq!(after.header(header::ATTEMPT), Some("0000000000000003"));
}

#[tokio::test(start_paused = true)]
async fn reply_late_misses_the_deadline() {
    // Symptom: an answer arrives when its request has long been answered otherwise.
    // Events: the work ends in time, the reply is on its way past the deadline.
    // Cause: nothing between the two ends knows of deadlines.
    let server = Server::start(Settings::default());
    server.plan(Fault::Late(Duration::from_millis(100)), 1);
    let begun = Instant::now();
    let call = Call::query(1).header(header::DEADLINE_MS, "20");
    let reply = send(server.address(), call).await.expect("a reply");
    assert_eq!(reply.status, 200);
    assert!(begun.elapsed() >= Duration::from_millis(100));
}

#[test_case(OverLimit::Answer, Some("connections"); "answered")]
#[test_case(OverLimit::Close, None; "closed")]
#[tokio::test]
async fn connection_beyond_the_limit(over_limit: OverLimit, not_run: Option<&str>) {
    // Symptom: a server refuses requests although it has free slots.
    // Events: all daemons together open more connections than it takes.
    // Cause: each daemon sees only its own connections.
    let server = Server::start(Settings {
        connections: 1,
        over_limit,
        ..Settings::default()
    });
    let mut first = Client::connect(server.address()).await;
    first.send(Call::query(1)).await.expect("a reply");
    let mut second = Client::connect(server.address()).await;
    let reply = second.send(Call::query(2)).await.ok();
    assert_eq!(reply.as_ref().and_then(|reply| reply.not_run()), not_run);
    assert!(second.send(Call::query(3)).await.is_err(), "it is closed");
    let counters = server.counters();
    assert_eq!(
        counters.refused_for(NotRun::Connections),
        u64::from(not_run.is_some())
    );
    assert_eq!(
        (counters.connections_peak, counters.connections_refused),
        (1, 1)
    );
    drop(first);
    eventually("the place is free", || {
        server.counters().connections_open == 0
    })
    .await;
    let reply = send(server.address(), Call::query(4)).await;
    assert_eq!(reply.expect("a reply").status, 200);
}

#[test_case(false, 6; "beside_the_work")]
#[test_case(true, 12; "in_a_slot")]
#[tokio::test(start_paused = true)]
async fn connection_costs_time(connect_takes_slot: bool, expected_ms: u128) {
    // Symptom: a herd of new connections starves the work.
    // Events: two connections are opened at once to a server with one slot.
    // Cause: a new connection costs the server what a request costs.
    let server = Server::start(Settings {
        slots: 1,
        connect_cost: Duration::from_millis(6),
        connect_takes_slot,
        ..Settings::default()
    });
    let begun = Instant::now();
    let health = || send(server.address(), Call::get("/health"));
    let (first, second) = tokio::join!(health(), health());
    assert!(first.is_ok() && second.is_ok());
    assert_eq!(begun.elapsed().as_millis(), expected_ms);
}

#[tokio::test]
async fn connection_goes_silent() {
    // Symptom: requests on one connection never end while others to the same server do.
    // Events: something between the ends loses track of an open connection.
    // Cause: neither end hears of it; no reset, no close.
    let server = Server::start(Settings::default());
    let mut old = Client::connect(server.address()).await;
    old.send(Call::query(1)).await.expect("a reply");
    server.silence_open();
    let silent = time::timeout(GRACE, old.send(Call::query(2))).await;
    assert!(silent.is_err(), "neither a reply nor an error");
    let new = send(server.address(), Call::query(3)).await;
    assert_eq!(new.expect("a reply").status, 200);
    assert_eq!(server.counters().received, 2, "the silent one was not read");
    assert_eq!(server.connections().first(), Some(&1), "it stays open");
}

#[test_case(Some(Duration::from_millis(20)); "and_restarts")]
#[test_case(None; "for_good")]
#[tokio::test]
async fn crash_drops_everything(restart_after: Option<Duration>) {
    // Symptom: servers die one after the other, and their callers' requests with them.
    // Events: one request crashes the server that runs it; others were in flight there.
    // Cause: the request itself; its connection ends without a reply, and so do the innocent ones.
    let server = Server::start(Settings {
        service_time: Distribution::Constant(HOUR),
        crash: Some(Crash {
            marker: "poison".to_owned(),
            restart_after,
        }),
        ..Settings::default()
    });
    let address = server.address();
    let innocent = tokio::spawn(send(address, Call::query(1)));
    eventually("the innocent one runs", || server.counters().started == 1).await;
    let body = r#"{"ranges":[],"query":"poison"}"#;
    let guilty = send(address, Call::query(2).body(body)).await;
    assert!(guilty.is_err(), "no reply to the one that crashed it");
    assert!(
        innocent.await.expect("no panic").is_err(),
        "nor to the innocent"
    );
    assert_eq!(server.counters().crashes, 1);
    if restart_after.is_some() {
        eventually("it is back", || server.is_running()).await;
    } else {
        eventually("it is gone", || !server.is_running()).await;
        assert!(
            Client::try_connect(address).await.is_err(),
            "nobody listens"
        );
        server
            .restart()
            .await
            .expect("the address is still its own");
    }
    let load = send(address, Call::get("/load")).await.expect("a reply");
    assert_eq!(load.json()["start"], 2, "a later start of the same address");
    assert_eq!(load.json()["busy"], 0);
}

#[tokio::test(start_paused = true)]
async fn reports_lag_and_mislead() {
    // Symptom: daemons send work to a server that drains, or avoid a free one.
    // Events: the server's state changes, its endpoints show another.
    // Cause: reports are of some time ago, or plainly wrong.
    let server = Server::start(Settings::default());
    let mut client = Client::connect(server.address()).await;
    server.set_health_report(Reporting::Lag(Duration::from_secs(5)));
    server.set_draining(true);
    let mut health = async || {
        client
            .send(Call::get("/health"))
            .await
            .expect("a reply")
            .json()
    };
    assert_eq!(health().await["status"], "serving");
    time::advance(Duration::from_secs(5)).await;
    assert_eq!(health().await["status"], "draining");
    server.set_health_report(Reporting::Fixed(Status::Serving));
    assert_eq!(health().await["status"], "serving");

    let lie = Load {
        busy: 9,
        slots: 9,
        queued: 9,
        index_versions: vec![4],
        start: 3,
    };
    server.set_draining(false);
    server.set_load_report(Reporting::Fixed(lie.clone()));
    server.set_reply_load(Some(lie));
    let load = client.send(Call::get("/load")).await.expect("a reply");
    assert_eq!(load.json()["busy"], 9);
    let reply = client.send(Call::query(1)).await.expect("a reply");
    assert_eq!(reply.header(header::LOAD), Some("9/9/9"));
}

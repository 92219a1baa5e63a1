//! Injected faults of a backend server: replies, connections, crashes and reports.

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

// A daemon must detect truncated, lost and mislabelled replies, even on the right connection.
#[test_case(Fault::Truncated, None; "truncated")]
#[test_case(Fault::Lost, None; "lost")]
#[test_case(Fault::ForeignAttempt, Some((200, FOREIGN, Some("1"))); "foreign_attempt")]
#[test_case(Fault::DuplicateAttempt, Some((200, EARLIER, Some("1"))); "duplicate_attempt")]
#[test_case(Fault::WrongIndexVersion, Some((200, OWN, Some("2"))); "wrong_index_version")]
#[test_case(Fault::Failed, Some((500, OWN, None)); "server_error")]
#[tokio::test]
async fn reply_with_fault(fault: Fault, expected: Option<(u16, &str, Option<&str>)>) {
    let server = Server::start(Settings::default());
    let address = server.address();
    let before = send(address, Call::query(1)).await;
    assert_eq!(before.expect("a reply").status, 200);
    server.plan(fault, 1);
    let pinned = Call::query(2).header(header::INDEX_VERSION, "1");
    let reply = send(address, pinned).await.ok();
    let observed = reply.as_ref().map(|reply| {
        let attempt = reply.header(header::ATTEMPT).unwrap_or_default();
        let version = reply.header(header::INDEX_VERSION);
        (reply.status.as_u16(), attempt, version)
    });
    assert_eq!(observed, expected);
    assert_eq!(reply.as_ref().and_then(|reply| reply.not_run()), None);
    assert_eq!(server.counters().completed, 2, "the request still runs");
    let after = send(address, Call::query(3)).await.expect("a reply");
    assert_eq!(after.header(header::ATTEMPT), Some("0000000000000003"));
}

#[tokio::test(start_paused = true)]
async fn late_reply_misses_the_deadline() {
    // The network can deliver a reply after the deadline although the request finished in time.
    let server = Server::start(Settings::default());
    server.plan(Fault::Late(Duration::from_millis(100)), 1);
    let start = Instant::now();
    let call = Call::query(1).header(header::DEADLINE_MS, "20");
    let reply = send(server.address(), call).await.expect("a reply");
    assert_eq!(reply.status, 200);
    assert!(start.elapsed() >= Duration::from_millis(100));
}

#[test_case(OverLimit::Answer, Some("connections"); "answered")]
#[test_case(OverLimit::Close, None; "closed")]
#[tokio::test]
async fn connection_beyond_the_limit(over_limit: OverLimit, not_run: Option<&str>) {
    // Daemons see only their own connections and together can exceed a server's limit.
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
    assert!(
        second.send(Call::query(3)).await.is_err(),
        "the refused connection is closed"
    );
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
    eventually("the connection is closed", || {
        server.counters().connections_open == 0
    })
    .await;
    let reply = send(server.address(), Call::query(4)).await;
    assert_eq!(reply.expect("a reply").status, 200);
}

#[test_case(false, 6; "without_slot")]
#[test_case(true, 12; "with_slot")]
#[tokio::test(start_paused = true)]
async fn connection_costs_time(connect_takes_slot: bool, expected_ms: u128) {
    // A burst of new connections can starve requests if each connection occupies a slot.
    let server = Server::start(Settings {
        slots: 1,
        connect_cost: Duration::from_millis(6),
        connect_takes_slot,
        ..Settings::default()
    });
    let start = Instant::now();
    let health = || send(server.address(), Call::get("/health"));
    let (first, second) = tokio::join!(health(), health());
    assert!(first.is_ok() && second.is_ok());
    assert_eq!(start.elapsed().as_millis(), expected_ms);
}

#[tokio::test]
async fn connection_goes_silent() {
    // A middlebox can drop a connection's state without a reset; only that connection hangs.
    let server = Server::start(Settings::default());
    let mut old = Client::connect(server.address()).await;
    old.send(Call::query(1)).await.expect("a reply");
    server.silence_open();
    let silent = time::timeout(GRACE, old.send(Call::query(2))).await;
    assert!(silent.is_err(), "neither a reply nor an error");
    let new = send(server.address(), Call::query(3)).await;
    assert_eq!(new.expect("a reply").status, 200);
    assert_eq!(
        server.counters().received,
        2,
        "the request on the silent connection is not read"
    );
    assert_eq!(
        server.connections().first(),
        Some(&1),
        "the silent connection stays open"
    );
}

#[test_case(Some(Duration::from_millis(20)); "with_restart")]
#[test_case(None; "without_restart")]
#[tokio::test]
async fn crash_drops_everything(restart_after: Option<Duration>) {
    // A poison request crashes its server; other requests in flight also lose their connection.
    let server = Server::start(Settings {
        service_time: Distribution::Constant(HOUR),
        crash: Some(Crash {
            marker: "poison".to_owned(),
            restart_after,
        }),
        ..Settings::default()
    });
    let address = server.address();
    let unrelated = tokio::spawn(send(address, Call::query(1)));
    eventually("the unrelated request runs", || {
        server.counters().started == 1
    })
    .await;
    let body = r#"{"ranges":[],"query":"poison"}"#;
    let poison = send(address, Call::query(2).body(body)).await;
    assert!(poison.is_err(), "the poison request gets no reply");
    assert!(
        unrelated.await.expect("no panic").is_err(),
        "the unrelated request gets no reply"
    );
    assert_eq!(server.counters().crashes, 1);
    if restart_after.is_some() {
        eventually("the server has restarted", || server.is_running()).await;
    } else {
        eventually("the server has stopped", || !server.is_running()).await;
        assert!(
            Client::try_connect(address).await.is_err(),
            "connections are refused"
        );
        server
            .restart()
            .await
            .expect("the address is still reserved");
    }
    let load = send(address, Call::get("/load")).await.expect("a reply");
    assert_eq!(load.json()["start"], 2, "the incarnation increases");
    assert_eq!(load.json()["busy"], 0);
}

#[tokio::test(start_paused = true)]
async fn reports_can_be_stale_or_wrong() {
    // Stale or wrong reports make daemons use a draining server or avoid an idle one.
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

    let false_load = Load {
        busy: 9,
        slots: 9,
        queued: 9,
        index_versions: vec![4],
        start: 3,
    };
    server.set_draining(false);
    server.set_load_report(Reporting::Fixed(false_load.clone()));
    server.set_reply_load(Some(false_load));
    let load = client.send(Call::get("/load")).await.expect("a reply");
    assert_eq!(load.json()["busy"], 9);
    let reply = client.send(Call::query(1)).await.expect("a reply");
    assert_eq!(reply.header(header::LOAD), Some("9/9/9"));
}

//! The fake configuration service and host list.

mod support;

use monsoonring_fakes::configuration_service::{DOCUMENT, Mode, Service};
use monsoonring_fakes::header;
use monsoonring_fakes::host_list::{List, State};
use serde_json::json;
use std::time::Duration;
use support::{Call, Client, Reply, eventually, send};
use test_case::test_case;
use tokio::time::{self, Instant};

const GRACE: Duration = Duration::from_millis(50);

fn read() -> Call {
    Call::get(format!("/values/{DOCUMENT}"))
}

fn watch(after: u64, wait_ms: u64) -> Call {
    Call::get(format!(
        "/values/{DOCUMENT}?after={after}&wait_ms={wait_ms}"
    ))
}

fn summary(reply: &Reply) -> (u16, Option<&str>, &[u8]) {
    (
        reply.status.as_u16(),
        reply.header(header::REVISION),
        &reply.body,
    )
}

#[tokio::test]
async fn read_returns_value_and_revision() {
    let service = Service::start();
    let missing = send(service.address(), read()).await.expect("a reply");
    assert_eq!(missing.status, 404);
    assert_eq!(service.publish(DOCUMENT, "1"), 1);
    assert_eq!(service.publish(DOCUMENT, "2"), 2);
    let reply = send(service.address(), read()).await.expect("a reply");
    assert_eq!(summary(&reply), (200, Some("2"), b"2".as_slice()));
}

#[tokio::test]
async fn watch_waits_for_a_higher_revision() {
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    let waiting = tokio::spawn(send(service.address(), watch(1, 3_600_000)));
    eventually("the long poll is pending", || service.counters().calls == 1).await;
    service.publish("other", "x");
    service.publish(DOCUMENT, "2");
    let reply = waiting.await.expect("no panic").expect("a reply");
    assert_eq!(summary(&reply), (200, Some("2"), b"2".as_slice()));
    assert_eq!(service.counters().calls, 1, "a long poll counts once");
}

#[tokio::test(start_paused = true)]
async fn watch_without_change_times_out() {
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    let start = Instant::now();
    let reply = send(service.address(), watch(1, 700))
        .await
        .expect("a reply");
    assert_eq!(reply.status, 304);
    assert_eq!(start.elapsed().as_millis(), 700);
    assert_eq!(service.counters().unchanged, 1);
}

// A restore from backup lowers the revision; a race of two operators publishes two documents
// under one revision.
#[test_case(1, "old", (200, Some("1"), b"old".as_slice()); "restored_from_backup")]
#[test_case(3, "other", (200, Some("3"), b"other".as_slice()); "same_revision_different_content")]
#[tokio::test]
async fn publish_at_revision(
    revision: u64,
    content: &'static str,
    expected: (u16, Option<&str>, &[u8]),
) {
    let service = Service::start();
    for content in ["1", "2", "3"] {
        service.publish(DOCUMENT, content);
    }
    service.publish_at(DOCUMENT, revision, content);
    let reply = send(service.address(), read()).await.expect("a reply");
    assert_eq!(summary(&reply), expected);
    assert_eq!(service.publish(DOCUMENT, "next"), revision + 1);
}

#[tokio::test]
async fn mode_down_closes_connections() {
    // An outage must fail pending long polls as well as new connections.
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    let waiting = tokio::spawn(send(service.address(), watch(1, 3_600_000)));
    eventually("the long poll is pending", || service.counters().calls == 1).await;
    service.set_mode(Mode::Down).await;
    assert!(waiting.await.expect("no panic").is_err());
    assert!(Client::try_connect(service.address()).await.is_err());
    service.publish(DOCUMENT, "2");
    service.set_mode(Mode::Up).await;
    let reply = send(service.address(), read()).await.expect("a reply");
    assert_eq!(summary(&reply), (200, Some("2"), b"2".as_slice()));
}

#[tokio::test]
async fn mode_hang_never_answers() {
    // A client without a timeout would block forever on a service that does not answer.
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    let waiting = tokio::spawn(send(service.address(), watch(1, 20)));
    eventually("the long poll is pending", || service.counters().calls == 1).await;
    service.set_mode(Mode::Hang).await;
    assert!(time::timeout(GRACE, waiting).await.is_err());
    let mut client = Client::connect(service.address()).await;
    assert!(time::timeout(GRACE, client.send(read())).await.is_err());
    assert_eq!(service.counters().calls, 2);
    service.set_mode(Mode::Up).await;
    let reply = send(service.address(), read()).await;
    assert_eq!(reply.expect("a reply").status, 200);
}

#[tokio::test(start_paused = true)]
async fn mode_stale_serves_old_values() {
    // Readers of a partitioned replica don't see newly published values.
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    service.set_mode(Mode::Stale).await;
    assert_eq!(service.publish(DOCUMENT, "2"), 2);
    let reply = send(service.address(), read()).await.expect("a reply");
    assert_eq!(summary(&reply), (200, Some("1"), b"1".as_slice()));
    let watched = send(service.address(), watch(1, 100))
        .await
        .expect("a reply");
    assert_eq!(watched.status, 304);
    service.set_mode(Mode::Up).await;
    let reply = send(service.address(), watch(1, 100))
        .await
        .expect("a reply");
    assert_eq!(summary(&reply), (200, Some("2"), b"2".as_slice()));
}

#[tokio::test(start_paused = true)]
async fn limit_refuses_excess_calls() {
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    service.set_limit(Some(2));
    let mut client = Client::connect(service.address()).await;
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(client.send(read()).await.expect("a reply").status.as_u16());
    }
    assert_eq!(statuses, [200, 200, 429]);
    assert_eq!(service.counters().refused, 1);
    time::advance(Duration::from_secs(1)).await;
    assert_eq!(client.send(read()).await.expect("a reply").status, 200);
}

#[tokio::test(start_paused = true)]
async fn host_list_lags() {
    // A lagging list shows a leaving host as live, so that daemons still send it requests.
    let list = List::start();
    let host = "127.0.0.1:7000".parse().expect("an address");
    list.set(host, State::Live);
    list.set_lag(Duration::from_secs(3));
    time::advance(Duration::from_secs(3)).await;
    list.set(host, State::Leaving);
    let mut client = Client::connect(list.address()).await;
    let mut hosts = async || {
        client
            .send(Call::get("/hosts"))
            .await
            .expect("a reply")
            .json()
    };
    let entry = |state: &str| json!({"hosts": [{"address": "127.0.0.1:7000", "state": state}]});
    assert_eq!(hosts().await, entry("live"));
    time::advance(Duration::from_secs(3)).await;
    assert_eq!(hosts().await, entry("leaving"));
    list.set_lag(Duration::ZERO);
    list.remove(host);
    assert_eq!(hosts().await, json!({"hosts": []}));
    assert_eq!(list.calls(), 3);
}

#[tokio::test]
async fn host_list_stops_and_restarts() {
    // An unavailable list must not look like an empty one.
    let list = List::start();
    list.take_down().await;
    assert!(Client::try_connect(list.address()).await.is_err());
    list.bring_up().await;
    let reply = send(list.address(), Call::get("/hosts")).await;
    assert_eq!(reply.expect("a reply").status, 200);
}

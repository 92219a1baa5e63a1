//! The configuration service and the host list.

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

fn seen(reply: &Reply) -> (u16, Option<&str>, &[u8]) {
    (
        reply.status.as_u16(),
        reply.header(header::REVISION),
        &reply.body,
    )
}

#[tokio::test]
async fn read_gives_value_and_revision() {
    let service = Service::start();
    let missing = send(service.address(), read()).await.expect("a reply");
    assert_eq!(missing.status, 404);
    assert_eq!(service.publish(DOCUMENT, "1"), 1);
    assert_eq!(service.publish(DOCUMENT, "2"), 2);
    let reply = send(service.address(), read()).await.expect("a reply");
    assert_eq!(seen(&reply), (200, Some("2"), b"2".as_slice()));
}

#[tokio::test]
async fn watch_waits_for_a_higher_revision() {
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    let waiting = tokio::spawn(send(service.address(), watch(1, 3_600_000)));
    eventually("the call waits", || service.counters().calls == 1).await;
    service.publish("other", "x");
    service.publish(DOCUMENT, "2");
    let reply = waiting.await.expect("no panic").expect("a reply");
    assert_eq!(seen(&reply), (200, Some("2"), b"2".as_slice()));
    assert_eq!(service.counters().calls, 1, "a waiting call counts once");
}

#[tokio::test(start_paused = true)]
async fn watch_without_change_ends() {
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    let begun = Instant::now();
    let reply = send(service.address(), watch(1, 700))
        .await
        .expect("a reply");
    assert_eq!(reply.status, 304);
    assert_eq!(begun.elapsed().as_millis(), 700);
    assert_eq!(service.counters().unchanged, 1);
}

// Symptom: a configuration reverts, or two daemons hold different ones of one revision.
// Events: the service is restored from an older copy; two operators race.
// Cause: the service's word is taken for the newest that there was.
#[test_case(1, "old", (200, Some("1"), b"old".as_slice()); "restored_from_older_copy")]
#[test_case(3, "other", (200, Some("3"), b"other".as_slice()); "same_revision_other_content")]
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
    assert_eq!(seen(&reply), expected);
    assert_eq!(service.publish(DOCUMENT, "next"), revision + 1);
}

#[tokio::test]
async fn mode_down_refuses_and_drops() {
    // Symptom: daemons can't start, or lose the configuration in force.
    // Events: the service goes away for long; calls were waiting.
    // Cause: nobody listens.
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    let waiting = tokio::spawn(send(service.address(), watch(1, 3_600_000)));
    eventually("the call waits", || service.counters().calls == 1).await;
    service.set_mode(Mode::Down).await;
    assert!(waiting.await.expect("no panic").is_err());
    assert!(Client::try_connect(service.address()).await.is_err());
    service.publish(DOCUMENT, "2");
    service.set_mode(Mode::Up).await;
    let reply = send(service.address(), read()).await.expect("a reply");
    assert_eq!(seen(&reply), (200, Some("2"), b"2".as_slice()));
}

#[tokio::test]
async fn mode_hang_never_answers() {
    // Symptom: a controller stands still.
    // Events: the service takes calls and does not answer.
    // Cause: a call without a timeout of its own.
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    let waiting = tokio::spawn(send(service.address(), watch(1, 20)));
    eventually("the call waits", || service.counters().calls == 1).await;
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
async fn mode_stale_shows_old_copy() {
    // Symptom: some daemons never see a change.
    // Events: operators publish, the service goes on answering from an older copy.
    // Cause: readers reach a replica of the service that is cut off.
    let service = Service::start();
    service.publish(DOCUMENT, "1");
    service.set_mode(Mode::Stale).await;
    assert_eq!(service.publish(DOCUMENT, "2"), 2);
    let reply = send(service.address(), read()).await.expect("a reply");
    assert_eq!(seen(&reply), (200, Some("1"), b"1".as_slice()));
    let watched = send(service.address(), watch(1, 100))
        .await
        .expect("a reply");
    assert_eq!(watched.status, 304);
    service.set_mode(Mode::Up).await;
    let reply = send(service.address(), watch(1, 100))
        .await
        .expect("a reply");
    assert_eq!(seen(&reply), (200, Some("2"), b"2".as_slice()));
}

#[tokio::test(start_paused = true)]
async fn limit_refuses_calls_of_one_second() {
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
    // Symptom: a leaving backend server is sent new work.
    // Events: a host leaves; the list shows it as live for some seconds more.
    // Cause: the list is a copy of some time ago.
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
async fn host_list_goes_down_and_comes_back() {
    // Symptom: daemons forget all backend servers.
    // Events: the list can't be read for a while.
    // Cause: no list is taken for an empty one.
    let list = List::start();
    list.take_down().await;
    assert!(Client::try_connect(list.address()).await.is_err());
    list.bring_up().await;
    let reply = send(list.address(), Call::get("/hosts")).await;
    assert_eq!(reply.expect("a reply").status, 200);
}

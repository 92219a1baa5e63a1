//! Successful replies of a backend server, and refusals without execution.

mod support;

use hyper::StatusCode;
use monsoonring_configuration::Range;
use monsoonring_fakes::backend_server::{Cold, Server, Settings};
use monsoonring_fakes::header;
use serde_json::json;
use std::time::Duration;
use support::{Call, Client, send};
use test_case::test_case;

#[tokio::test]
async fn query_returns_items() {
    let server = Server::start(Settings::default());
    let reply = send(server.address(), Call::query(1))
        .await
        .expect("a reply");
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.header(header::ATTEMPT), Some("0000000000000001"));
    assert_eq!(reply.header(header::INDEX_VERSION), Some("1"));
    assert_eq!(reply.header(header::INDEX_VERSIONS), Some("1"));
    assert_eq!(reply.header(header::LOAD), Some("0/3/0"));
    assert_eq!(reply.header(header::START), Some("1"));
    assert_eq!(reply.header(header::DRAINING), None);
    let body = reply.json();
    assert_eq!(body["ranges"], json!([{"start": 0, "end": 100}]));
    assert_eq!(body["items"].as_array().map(Vec::len), Some(10));
    let item = json!({"key": 30, "value": {"key": 30, "version": 1}});
    assert_eq!(body["items"][3], item);
}

#[test_case(vec![(0, 40)], json!([{"start": 0, "end": 40}]), &[0, 10, 20, 30]; "after_split")]
#[test_case(
    vec![(60, 200)], json!([{"start": 60, "end": 100}]), &[60, 70, 80, 90]; "after_move"
)]
#[test_case(vec![(200, 300)], json!([]), &[]; "no_common_keys")]
#[test_case(
    vec![(0, 5), (95, 200)], json!([{"start": 0, "end": 5}, {"start": 95, "end": 100}]), &[0];
    "two_ranges"
)]
#[tokio::test]
async fn query_covers_available_ranges(
    available: Vec<(u64, u64)>,
    ranges: serde_json::Value,
    keys: &[u64],
) {
    let server = Server::start(Settings::default());
    let available = available.into_iter();
    server.set_ranges(
        available
            .map(|(start, end)| Range::new(start, end))
            .collect(),
    );
    let reply = send(server.address(), Call::query(1))
        .await
        .expect("a reply");
    let body = reply.json();
    assert_eq!(body["ranges"], ranges);
    let items = body["items"].as_array().expect("an array of items");
    let found: Vec<_> = items
        .iter()
        .filter_map(|item| item["key"].as_u64())
        .collect();
    assert_eq!(found, keys);
}

#[tokio::test]
async fn query_follows_index_versions() {
    let server = Server::start(Settings::default());
    let mut client = Client::connect(server.address()).await;
    server.add_index_version(2);
    let newest = client.send(Call::query(1)).await.expect("a reply");
    assert_eq!(newest.header(header::INDEX_VERSION), Some("2"));
    assert_eq!(newest.header(header::INDEX_VERSIONS), Some("1,2"));
    let pinned = Call::query(2).header(header::INDEX_VERSION, "1");
    let reply = client.send(pinned.clone()).await.expect("a reply");
    assert_eq!(reply.header(header::INDEX_VERSION), Some("1"));
    server.retire_index_version(1);
    let reply = client.send(pinned).await.expect("a reply");
    assert_eq!(reply.status, StatusCode::CONFLICT);
    assert_eq!(reply.not_run(), Some("index-version"));
    assert_eq!(reply.header(header::INDEX_VERSIONS), Some("2"));
}

#[test_case(Call::query(1), "draining", 503; "draining")]
#[test_case(Call::query(1), "starting", 503; "starting")]
#[test_case(Call::query(1).header(header::DEADLINE_MS, "0"), "deadline", 504; "past_deadline")]
#[test_case(
    Call::query(1).header(header::INDEX_VERSION, "9"), "index-version", 409; "missing_version"
)]
#[test_case(Call::query(1).header(header::DEADLINE_MS, "soon"), "malformed", 400; "bad_deadline")]
#[test_case(Call::query(1).body("[]"), "malformed", 400; "bad_body")]
#[test_case(Call::execute(1, "k").body("{}"), "malformed", 400; "without_query")]
#[test_case(Call::post("/query"), "malformed", 400; "without_attempt")]
#[tokio::test]
async fn refused_query_does_not_run(call: Call, reason: &str, status: u16) {
    // A request refused as "not run" may be retried, so it must not have started.
    let server = Server::start(Settings {
        cold: (reason == "starting").then_some(Cold {
            refuse_for: Duration::from_secs(3_600),
            slowdown: 1.0,
            warm_after: 0,
        }),
        ..Settings::default()
    });
    server.set_draining(reason == "draining");
    let reply = send(server.address(), call).await.expect("a reply");
    assert_eq!(reply.status, status);
    assert_eq!(reply.not_run(), Some(reason));
    let draining = (reason == "draining").then_some("true");
    assert_eq!(reply.header(header::DRAINING), draining);
    let counters = server.counters();
    assert_eq!(counters.started, 0, "a refused request must not run");
    assert_eq!(counters.refused.values().sum::<u64>(), 1);
}

#[tokio::test]
async fn execute_records_each_run() {
    // The server does not deduplicate idempotency keys; the journal must show duplicate runs.
    let server = Server::start(Settings::default());
    for (attempt, key) in [(1, "a"), (2, "b"), (3, "a")] {
        let call = Call::execute(attempt, key);
        let reply = send(server.address(), call).await.expect("a reply");
        assert_eq!(reply.json(), json!({"value": {"key": key}}));
    }
    let runs = server.runs();
    assert_eq!((runs["a"].started, runs["a"].completed), (2, 2));
    assert_eq!((runs["b"].started, runs["b"].completed), (1, 1));
    let attempts = server.attempts();
    let keys = attempts.iter().map(|attempt| attempt.key.as_deref());
    assert!(keys.eq([Some("a"), Some("b"), Some("a")]));
    assert!(attempts.iter().all(|attempt| attempt.executes));
}

//! What a backend server answers when nothing goes wrong, and what it refuses.

mod support;

use hyper::StatusCode;
use monsoonring_fakes::backend_server::{Server, Settings};
use monsoonring_fakes::header;
use serde_json::json;
use support::{Call, send};

#[tokio::test]
async fn query_of_held_keys_is_answered() {
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
    assert_eq!(
        body["items"][3],
        json!({"key": 30, "value": {"key": 30, "version": 1}})
    );
    assert_eq!(server.counters().completed, 1);
}

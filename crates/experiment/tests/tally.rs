//! Attempts as the stand-ins count them.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use monsoonring_experiment::tally::Tally;
use monsoonring_fakes::backend_server::Server;
use monsoonring_fakes::fleet::{self, Fleet};

const FIRST: &str = "00000000000000000000000000000001";
const SECOND: &str = "00000000000000000000000000000002";

async fn execute(server: &Server, request: &str, key: &str) {
    let address = format!("http://{}/execute", server.address());
    let request = Request::post(address)
        .header("monsoonring-attempt", "00000000000000aa")
        .header("monsoonring-request", request)
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from("{\"query\":1}")));
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request.expect("a request")).await;
    assert!(response.expect("an answer").status().is_success());
}

// Symptom: a report says that no ticket was doubled although one was.
// Events: one key runs at two backend servers, another one at one.
// Cause: a count that looks at each backend server by itself.
#[tokio::test]
async fn end_counts_a_key_that_ran_twice() {
    let shape = fleet::repair_tickets();
    let fleet = Fleet::start([shape.clone()]);
    let servers = fleet.group(&shape.route, 0);
    execute(&servers[2], FIRST, "before").await;
    let tally = Tally::begin(&fleet, &shape);
    execute(&servers[0], FIRST, "key-1").await;
    execute(&servers[1], FIRST, "key-1").await;
    execute(&servers[0], SECOND, "key-2").await;
    let attempts = tally.end();
    assert_eq!((attempts.first, attempts.all, attempts.doubled), (2, 3, 1));
}

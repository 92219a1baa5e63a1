//! Requests that wait in real daemon processes for a busy service while something goes away.

#[path = "soak/host.rs"]
#[allow(dead_code, reason = "the soak uses the rest")]
mod host;
#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use host::Host;
use nix::sys::signal::Signal;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;
use support::client::{self, Reply};
use support::daemon::{configuration, single_route};
use support::server::{Behaviour, Server};
use support::store::Store;
use support::wait_for;
use test_case::test_case;
use tokio::task::JoinSet;

/// Result of starting and signalling hosts.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Concurrent requests at each host, more than the servers can run.
const REQUESTS: usize = 60;

/// Timeout of the route, far longer than a host takes to stop.
const TIMEOUT_MS: u64 = 20_000;

/// Time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(400);

/// Publishes a configuration in which one route leads to a service.
fn route_to(store: &Store, version: u64, kind: &str, service: &str) {
    let mut route = single_route("orders", "/orders/", kind, service);
    route["timeoutMs"] = TIMEOUT_MS.into();
    route["targetLatencyMs"] = (TIMEOUT_MS / 2).into();
    let document = configuration(version, &[route], &["old", "new"]);
    store.put("op/config", &document);
}

async fn slow_server(store: &Store, instance: &str, service: &str) -> Server {
    let instance = format!("{instance}-{}", std::process::id());
    let server = Server::start(store, &instance, service, &["0123456789abcdef"]).await;
    server.set_behaviour(Behaviour::Slow(SERVICE_TIME));
    server
}

/// Starts a deployment of the hosts with these numbers, and waits until they serve requests.
async fn start_hosts(deployment: Range<u8>, store: &Store, folder: &Path) -> Vec<Host> {
    let binary = Path::new(env!("CARGO_BIN_EXE_monsoonringd"));
    let start = |number| Host::start(number, deployment.clone(), store.address, binary, folder);
    let hosts = deployment.clone().map(start);
    let hosts: Result<Vec<Host>> = hosts.collect();
    let hosts = hosts.expect("start the hosts");
    for host in &hosts {
        wait_for("the host serves requests", || async {
            let reply = send(host.front, "/orders/first").await?;
            (reply.status.as_u16() == 200).then_some(())
        })
        .await;
    }
    hosts
}

async fn send(front: std::net::SocketAddr, path: &str) -> Option<Reply> {
    let timeout = TIMEOUT_MS.to_string();
    client::send(front, "POST", path, path, &timeout).await
}

/// Sends [`REQUESTS`] to a host at once. Returns the tasks, which give the paths and replies.
fn send_many(host: &Host, label: &'static str) -> JoinSet<(String, Option<Reply>)> {
    let front = host.front;
    let requests = (0..REQUESTS).map(|number| async move {
        let path = format!("/orders/{label}-{number}");
        let reply = send(front, &path).await;
        (path, reply)
    });
    requests.collect()
}

/// Waits until a server runs one of the labelled requests.
async fn wait_until_running(server: &Server, label: &str) {
    wait_for("the requests have arrived", || async {
        let mut executed = server.executed().into_iter();
        executed.any(|line| line.contains(label)).then_some(())
    })
    .await;
}

fn runs(servers: &[&Server], path: &str) -> usize {
    let line = format!("POST {path} HTTP/1.1");
    let executed = servers.iter().flat_map(|server| server.executed());
    executed.filter(|executed| *executed == line).count()
}

// Guards against requests that wait in a host and lose their connection without an answer at the
// end of a planned stop, although they never ran.
#[test_case(0..1, "non_idempotent", 1; "non_idempotent_at_one_host")]
#[test_case(1..3, "non_idempotent", 1; "non_idempotent_at_one_of_two_hosts")]
#[test_case(3..4, "idempotent", 1; "idempotent_at_one_host")]
#[test_case(4..5, "non_idempotent", 3; "after_repeated_signals")]
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_waiting_requests(deployment: Range<u8>, kind: &str, signals: u8) {
    let store = Store::start().await;
    let server = slow_server(&store, &format!("i-{}", deployment.start), "old").await;
    route_to(&store, 1, kind, "old");
    let folder = tempfile::tempdir().expect("create a directory");
    let mut hosts = start_hosts(deployment, &store, folder.path()).await;
    let requests = send_many(&hosts[0], "stop");
    wait_until_running(&server, "stop").await;
    for _ in 1..signals {
        hosts[0].signal(Signal::SIGTERM).expect("send the signal");
    }
    let code = hosts[0].stop().await.expect("send the signal");
    assert!(code.is_some(), "the host exits in time");
    let replies = requests.join_all().await;
    let mut refused = 0;
    for (path, reply) in replies {
        let Some(reply) = reply else {
            unreachable!("{path} has no answer");
        };
        let runs = runs(&[&server], &path);
        match reply.status.as_u16() {
            200 => assert_eq!(runs, 1, "{path}"),
            503 => {
                refused += 1;
                assert_eq!(runs, 0, "{path} was refused and ran");
                assert!(reply.header("retry-after").is_some());
            }
            502 => assert_eq!(runs, 1, "{path} did not run, and the caller can't know"),
            status => unreachable!("{path}: status {status}"),
        }
    }
    assert!(refused > 0, "some requests were still waiting");
}

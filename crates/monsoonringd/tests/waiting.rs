//! Requests that wait in real daemon processes for a busy service while something goes away.

#[path = "soak/host.rs"]
#[allow(dead_code, reason = "the soak uses the rest")]
mod host;
#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use host::Host;
use nix::sys::signal::Signal;
use serde_json::Value;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use support::client::{self, Reply};
use support::daemon::{configuration, set_timeout, single_route};
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

/// Publishes a configuration in which one route leads to a service.
fn route_to(store: &Store, version: u64, kind: &str, service: &str) {
    let mut route = single_route("orders", "/orders/", kind, service);
    set_timeout(&mut route, TIMEOUT_MS);
    let document = configuration(version, &[route], &["old", "new"]);
    store.put("op/config", &document);
}

async fn start_server(store: &Store, instance: &str, service: &str) -> Server {
    let instance = format!("{instance}-{}", std::process::id());
    Server::start(store, &instance, service, &["0123456789abcdef"]).await
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

/// Requests that were sent to a host.
struct Load {
    tasks: JoinSet<(String, Option<Reply>)>,
    finished: Arc<AtomicUsize>,
}

impl Load {
    /// Sends [`REQUESTS`] to a host at once.
    fn start(host: &Host) -> Self {
        let finished = Arc::new(AtomicUsize::new(0));
        let front = host.front;
        let tasks = (0..REQUESTS).map(|number| {
            let finished = finished.clone();
            async move {
                let path = format!("/orders/{number}");
                let reply = send(front, &path).await;
                finished.fetch_add(1, Ordering::SeqCst);
                (path, reply)
            }
        });
        Self {
            tasks: tasks.collect(),
            finished,
        }
    }

    /// Waits until the host has read all requests. Returns how many are in progress.
    async fn wait_until_read(&self, host: &Host) -> usize {
        wait_for("the host has read all requests", || async {
            let state = client::send(host.metrics, "GET", "/state", "s", "1000").await?;
            let state: Value = serde_json::from_str(&state.body).ok()?;
            let in_progress = state["routes"][0]["home"]["in_progress"].as_u64()?;
            let in_progress = usize::try_from(in_progress).ok()?;
            let finished = self.finished.load(Ordering::SeqCst);
            (in_progress + finished == REQUESTS).then_some(in_progress)
        })
        .await
    }
}

fn runs(server: &Server, path: &str) -> usize {
    let line = format!("POST {path} HTTP/1.1");
    let executed = server.executed().into_iter();
    executed.filter(|executed| *executed == line).count()
}

// Guards against requests that wait in a host and lose their connection without an answer at the
// end of a planned stop, although they never ran.
#[test_case(0..1, "non_idempotent", 1, 1; "non_idempotent_at_one_host")]
#[test_case(1..3, "non_idempotent", 1, 1; "non_idempotent_at_one_of_two_hosts")]
#[test_case(3..4, "idempotent", 2, 1; "idempotent_at_one_host")]
#[test_case(4..5, "non_idempotent", 1, 3; "after_repeated_signals")]
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_waiting_requests(
    deployment: Range<u8>,
    kind: &str,
    max_runs: usize,
    signals: u8,
) {
    let store = Store::start().await;
    let server = start_server(&store, &format!("i-{}", deployment.start), "old").await;
    route_to(&store, 1, kind, "old");
    let folder = tempfile::tempdir().expect("create a directory");
    let mut hosts = start_hosts(deployment, &store, folder.path()).await;
    server.set_behaviour(Behaviour::Hold);
    let load = Load::start(&hosts[0]);
    let in_progress = load.wait_until_read(&hosts[0]).await;
    assert!(
        in_progress > server.executed().len(),
        "some requests wait in the host"
    );
    for _ in 1..signals {
        hosts[0].signal(Signal::SIGTERM).expect("send the signal");
    }
    let code = hosts[0].stop().await.expect("send the signal");
    assert!(code.is_some(), "the host exits in time");
    for (path, reply) in load.tasks.join_all().await {
        let Some(reply) = reply else {
            unreachable!("{path} has no answer");
        };
        let runs = runs(&server, &path);
        match reply.status.as_u16() {
            503 => {
                assert_eq!(runs, 0, "{path} was refused and ran");
                assert!(reply.header("retry-after").is_some());
            }
            // The server still holds it, or a search was lost before.
            502 => assert!(
                (1..=max_runs).contains(&runs),
                "{path} ran {runs} times, and the caller can't know"
            ),
            status => unreachable!("{path}: status {status}"),
        }
    }
}

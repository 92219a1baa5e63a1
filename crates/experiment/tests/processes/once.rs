//! A non-idempotent request runs at most once, whatever becomes of the daemons.

use crate::cluster::{Cluster, execute};
use crate::wait::until;
use monsoonring_experiment::caller::Answer;
use monsoonring_experiment::sample::Outcome;
use monsoonring_fakes::backend_server::{Distribution, Fault};
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;
use tokio::task::JoinHandle;

const FOUR: [&str; 4] = ["north", "north", "south", "south"];
const DEADLINE: Duration = Duration::from_secs(3);
const BODY: &str = "{\"valve\":7}";
/// Time of the work, long enough to be interrupted in.
const WORK: Duration = Duration::from_millis(1_500);

async fn cluster(work: Duration) -> Cluster {
    let mut shape = execute(2);
    shape.settings.service_time = Distribution::Constant(work);
    Cluster::start(vec![shape], &FOUR).await
}

async fn key(cluster: &Cluster, place: usize) -> String {
    let daemon = cluster.daemons[place].caller();
    let key = cluster
        .caller
        .key(daemon, &cluster.shapes[0].route, DEADLINE);
    key.await.expect("a key")
}

fn send(cluster: &Cluster, place: usize, key: &str) -> JoinHandle<Answer> {
    let (caller, daemon) = (cluster.caller.clone(), cluster.daemons[place].caller());
    let (route, key) = (cluster.shapes[0].route.clone(), key.to_owned());
    tokio::spawn(async move {
        let answer = caller.execute(daemon, &route, &key, BODY.to_owned(), DEADLINE);
        answer.await
    })
}

fn begun(cluster: &Cluster) -> u64 {
    let servers = cluster.fleet.servers();
    let runs = servers.flat_map(|server| server.runs().into_values());
    runs.map(|run| run.started).sum()
}

async fn until_begun(cluster: &Cluster) {
    until("the request runs", async || begun(cluster) > 0).await;
}

// Symptom: two tickets for one valve.
// Events: the server runs the request and its reply is lost; the caller sends again, to each daemon.
// Cause: a lost reply is taken for a request that did not run.
#[tokio::test(flavor = "multi_thread")]
async fn execute_lost_reply_is_not_run_again() {
    let cluster = cluster(Duration::from_millis(5)).await;
    for server in cluster.fleet.servers() {
        server.plan(Fault::Lost, 1);
    }
    let key = key(&cluster, 0).await;
    for place in [0, 1, 2, 3, 0] {
        let answer = send(&cluster, place, &key).await.expect("a send ends");
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    }
    assert_eq!(begun(&cluster), 1);
}

// Symptom: two tickets for one valve, after a host was lost.
// Events: the daemon that the key names is killed while the request runs; the caller sends again, to
// the others and to its successor on the same address.
// Cause: who takes the second send knows nothing of the first, and takes that for "not run".
#[tokio::test(flavor = "multi_thread")]
async fn execute_home_killed_is_unknown_and_not_run_again() {
    let mut cluster = cluster(WORK).await;
    let home = cluster.homes(0).await[0];
    let key = key(&cluster, home).await;
    let first = send(&cluster, home, &key);
    until_begun(&cluster).await;
    cluster.daemons[home].kill().await;
    assert_ne!(first.await.expect("a send ends").outcome, Outcome::NotRun);
    let others: Vec<_> = (0..4).filter(|place| *place != home).collect();
    for &place in &others {
        let answer = send(&cluster, place, &key).await.expect("a send ends");
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    }
    cluster.launch(home).await;
    cluster.until_whole().await;
    for place in 0..4 {
        let answer = send(&cluster, place, &key).await.expect("a send ends");
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    }
    assert_eq!(begun(&cluster), 1);
}

// Symptom: two tickets for one valve, after a host hung.
// Events: the daemon that the key names is stopped while the request runs; the caller sends again, to
// the others; the daemon goes on, and the caller sends to it, too.
// Cause: the others take over, or the sleeper starts over when it wakes.
#[tokio::test(flavor = "multi_thread")]
async fn execute_home_paused_is_not_run_again() {
    let cluster = cluster(WORK).await;
    let home = cluster.homes(0).await[0];
    let key = key(&cluster, home).await;
    let first = send(&cluster, home, &key);
    until_begun(&cluster).await;
    cluster.daemons[home].freeze().await;
    let others: Vec<_> = (0..4).filter(|place| *place != home).collect();
    for &place in &others {
        let answer = send(&cluster, place, &key).await.expect("a send ends");
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
    }
    cluster.daemons[home].wake();
    first.await.expect("a send ends");
    cluster.until_whole().await;
    for place in 0..4 {
        let answer = send(&cluster, place, &key).await.expect("a send ends");
        assert!(answer.outcome != Outcome::NotRun, "{answer:?}");
    }
    assert_eq!(begun(&cluster), 1);
}

// Symptom: a daemon opens connections to whatever address a caller names.
// Events: a caller sends a made-up key that names a host and port inside the operators' network.
// Cause: a key's incarnation is called without looking whether it is a member.
#[tokio::test(flavor = "multi_thread")]
async fn execute_forged_key_reaches_no_stranger() {
    let cluster = cluster(Duration::ZERO).await;
    let stranger = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    stranger.set_nonblocking(true).expect("a listening socket");
    let port = stranger.local_addr().expect("a bound address").port();
    let forged = format!("m1.127.0.0.1~{port}.1.0.999999999.{}", "0".repeat(32));
    let answer = send(&cluster, 0, &forged).await.expect("an answer");
    assert_eq!(answer.outcome, Outcome::Unknown, "{}", answer.reason);
    assert!(stranger.accept().is_err(), "the stranger was called");
    assert_eq!(begun(&cluster), 0);
}

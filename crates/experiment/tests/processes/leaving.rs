//! A backend server that is leaving receives no new work after a few seconds.

use crate::cluster::{Cluster, search};
use crate::wait::until;
use monsoonring_experiment::sample::{Outcome, Sample};
use monsoonring_fakes::Reporting;
use monsoonring_fakes::backend_server::{Server, Status};
use monsoonring_fakes::host_list::State;
use monsoonring_fakes::relay::Link;
use serde_json::Value;
use std::time::Duration;
use test_case::test_case;

const FOUR: [&str; 4] = ["north", "north", "south", "south"];
const ALL: [usize; 4] = [0, 1, 2, 3];
const RATE: f64 = 40.0;
const DURATION: Duration = Duration::from_secs(6);

/// What tells that a server leaves, or hides it.
type Sign = fn(&Cluster, &Server);

fn leaving_server(cluster: &Cluster) -> &Server {
    &cluster.fleet.group(&cluster.shapes[0].route, 0)[0]
}

/// Tells whether each home shows the server as leaving.
async fn all_show_leaving(cluster: &Cluster) -> bool {
    let server = Value::from(leaving_server(cluster).address().to_string());
    for place in ALL {
        let state = cluster.state(place).await;
        let home = &state["routes"][0]["home"];
        if home.is_null() {
            continue;
        }
        let servers = home["backend_servers"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let leaves = |one: &Value| one["server"] == server && one["leaving"] == true;
        if !servers.iter().any(leaves) {
            return false;
        }
    }
    true
}

// Symptom: requests fail for minutes while a server is replaced, as they are sent to one that stops.
// Events: a server begins to leave; the list is late, the health endpoint says that all is well, or a
// single daemon can see the sign.
// Cause: each home believes its own, possibly lagging, source alone.
#[test_case(|cluster, server| {
    cluster.hosts.set(server.address(), State::Leaving);
} ; "in the list")]
#[test_case(|cluster, server| {
    cluster.hosts.set_lag(Duration::from_secs(600));
    server.set_draining(true);
} ; "by a mark while the list lags")]
#[test_case(|_, server| {
    server.set_health_report(Reporting::Fixed(Status::Serving));
    server.set_draining(true);
} ; "by a mark while its health lies")]
#[test_case(|cluster, server| {
    for daemon in &cluster.daemons[1..] {
        daemon.hosts.set_link(Link::Cut);
    }
    cluster.hosts.set(server.address(), State::Leaving);
} ; "to one daemon alone")]
#[tokio::test(flavor = "multi_thread")]
async fn leave_gets_no_new_work(sign: Sign) {
    let cluster = Cluster::start(vec![search(4)], &FOUR).await;
    let server = leaving_server(&cluster);
    let load = cluster.load(&ALL, RATE, DURATION);
    until("the server has work", async || {
        server.counters().started > 5
    })
    .await;
    sign(&cluster, server);
    until("every home shows it leaving", async || {
        all_show_leaving(&cluster).await
    })
    .await;
    // What arrives is counted and not what begins: a server that drains begins nothing.
    let received = server.counters().received;
    let samples = load.await.expect("the load ends");
    let after = cluster.load(&ALL, RATE, Duration::from_secs(2));
    let after = after.await.expect("the load ends");
    // One that was sent before the last home learnt of it may have arrived after the count.
    let late = server.counters().received - received;
    assert!(late <= ALL.len() as u64, "{late} received");
    let samples = samples.iter().chain(&after);
    let lost: Vec<&Sample> = samples.filter(|s| s.outcome != Outcome::Complete).collect();
    assert_eq!(lost, Vec::<&Sample>::new());
}

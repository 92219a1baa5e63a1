//! A request that crashes each backend server that runs it.

use crate::cluster::{Cluster, search};
use monsoonring_experiment::sample::Outcome;
use monsoonring_fakes::backend_server::Crash;
use std::time::Duration;

const FOUR: [&str; 4] = ["north", "north", "south", "south"];
const SENDS: usize = 12;
const MARKER: &str = "crash";
/// Servers that one request may take down, whoever re-sends it: each of the four groups gets its part
/// of the first send, the only one that goes out before there is any evidence; one more is met in
/// quarantine at each home that has not heard of it yet.
const BOUND: u64 = 4 + 4;

// Symptom: one request takes down all replicas of all groups, again and again.
// Events: a request crashes each server that runs it; its caller sends it again, to another daemon each
// time.
// Cause: each home judges by its own losses, and a retry or hedge brings the request to the next replica.
#[tokio::test(flavor = "multi_thread")]
async fn query_crashing_servers_takes_down_few() {
    let mut shape = search(4);
    shape.settings.crash = Some(Crash {
        marker: MARKER.to_owned(),
        restart_after: Some(Duration::from_millis(200)),
    });
    let cluster = Cluster::start(vec![shape], &FOUR).await;
    let mut refused = 0;
    for send in 0..SENDS {
        let answer = cluster.query(send % 4, &format!("\"{MARKER}\"")).await;
        refused += usize::from(answer.reason.contains("crash backend servers"));
        let other = cluster.query(send % 4, &format!("{send}")).await;
        assert!(other.outcome.is_answer(), "{other:?}");
    }
    let crashes = cluster.fleet.total(|counters| counters.crashes);
    assert!(crashes <= BOUND, "{crashes} crashes");
    assert!(refused >= SENDS - 4, "{refused} refused as suspect");
    let all = [0, 1, 2, 3];
    let load = cluster.load(&all, 20.0, Duration::from_secs(2));
    let samples = load.await.expect("the load ends");
    let complete = samples.iter().filter(|s| s.outcome == Outcome::Complete);
    assert_eq!(complete.count(), samples.len());
}

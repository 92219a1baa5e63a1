//! A search that is passed on to a home which does not answer.

use crate::cluster::{Cluster, search};
use crate::wait::until;
use monsoonring_experiment::sample::Outcome;
use nix::sys::signal::Signal;

const NORTH: [&str; 4] = ["north"; 4];
const QUERIES: usize = 6;
/// Long enough that the homes die while they wait.
const SLOWDOWN: f64 = 400.0;

/// A daemon that is no home of the route.
fn entry(cluster: &Cluster, homes: &[usize]) -> usize {
    let mut places = 0..cluster.daemons.len();
    places
        .find(|place| !homes.contains(place))
        .expect("a daemon that is no home")
}

// Symptom: for seconds, every other search ends at its deadline without an answer.
// Events: the process of a home is stopped; members have not noticed yet; searches go on arriving at
// other daemons.
// Cause: the daemon that passed a search on waits for the one home it chose.
#[tokio::test(flavor = "multi_thread")]
async fn search_silent_home_is_answered_by_another() {
    let cluster = Cluster::start(vec![search(2)], &NORTH).await;
    let homes = cluster.homes(0).await;
    let entry = entry(&cluster, &homes);
    assert!(cluster.query(entry, "{}").await.outcome.is_answer());
    cluster.daemons[homes[0]].signal(Signal::SIGSTOP);
    for _ in 0..QUERIES {
        let answer = cluster.query(entry, "{}").await;
        assert_eq!(answer.outcome, Outcome::Complete, "{}", answer.reason);
    }
    cluster.daemons[homes[0]].signal(Signal::SIGCONT);
}

// Symptom: a search is told "not run", while the backend servers work on it.
// Events: it is passed on; the home asks its backend servers and is killed; the other home is, too.
// Cause: the daemon that passed it on takes a lost call for one that was not made.
#[tokio::test(flavor = "multi_thread")]
async fn search_lost_with_its_homes_is_not_called_unrun() {
    let mut cluster = Cluster::start(vec![search(2)], &NORTH).await;
    let homes = cluster.homes(0).await;
    let entry = entry(&cluster, &homes);
    assert!(cluster.query(entry, "{}").await.outcome.is_answer());
    for server in cluster.fleet.servers() {
        server.set_slowdown(SLOWDOWN);
    }
    let before = cluster.fleet.total(|counters| counters.started);
    let killing = async {
        let fleet = &cluster.fleet;
        until("a backend server works on the search", async || {
            fleet.total(|counters| counters.started) > before
        })
        .await;
        for home in &homes {
            cluster.daemons[*home].signal(Signal::SIGKILL);
        }
    };
    let (answer, ()) = tokio::join!(cluster.query(entry, "{}"), killing);
    assert_eq!(answer.outcome, Outcome::Failed, "{}", answer.reason);
    for home in homes {
        cluster.daemons[home].kill().await;
    }
}

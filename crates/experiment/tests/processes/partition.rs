//! Data centres that lose each other.

use crate::cluster::{Cluster, search};
use crate::wait::until;
use monsoonring_experiment::sample::{Outcome, Sample};
use monsoonring_fakes::backend_server::{ConnectionChange, ConnectionEvent};
use monsoonring_fakes::relay::Link;
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;

const FOUR: [&str; 4] = ["north", "north", "south", "south"];
const NORTH: [usize; 2] = [0, 1];
const SOUTH: [usize; 2] = [2, 3];
const ALL: [usize; 4] = [0, 1, 2, 3];
/// High enough that homes want more connections than they may have.
const RATE: f64 = 120.0;
const FLAP: Duration = Duration::from_millis(700);
const FLAPS: usize = 4;

/// What the network does.
type Fault = fn(&Cluster);

fn hold(cluster: &Cluster) {
    cluster.between(&NORTH, &SOUTH, Link::Hold);
}

/// What the north sends does not arrive in the south.
fn one_way(cluster: &Cluster) {
    for north in NORTH {
        for south in SOUTH {
            cluster.link(north, south, Link::OnlyBack);
            cluster.link(south, north, Link::OnlyForward);
        }
    }
}

fn assert_within_limits(cluster: &Cluster) {
    let limit = cluster.shapes[0].settings.connections as u64;
    for server in cluster.fleet.servers() {
        let counters = server.counters();
        let peak = counters.connections_peak + counters.connections_refused;
        assert!(
            peak <= limit,
            "{peak} connections at once or refused, limit {limit}: {}",
            describe_refusals(&server.connection_events())
        );
    }
}

/// Time around a refused connection whose events are told.
const AROUND: Duration = Duration::from_millis(500);

/// Describes the connection events around each refusal. If a connection closes just after it, the limit was exceeded
/// only while the server had not seen that yet.
fn describe_refusals(events: &[ConnectionEvent]) -> String {
    let refused = events
        .iter()
        .filter(|event| event.change == ConnectionChange::Refused);
    let around = |refusal: &ConnectionEvent| {
        let offset = |event: &ConnectionEvent| match event.at.checked_duration_since(refusal.at) {
            Some(after) => after.as_secs_f64(),
            None => -(refusal.at - event.at).as_secs_f64(),
        };
        let near = events
            .iter()
            .filter(|event| offset(event).abs() <= AROUND.as_secs_f64());
        let near = near.map(|event| {
            format!(
                "{:+.1} ms {} {:?}",
                offset(event) * 1_000.0,
                event.connection,
                event.change
            )
        });
        near.collect::<Vec<_>>().join(", ")
    };
    refused.map(around).collect::<Vec<_>>().join("; ")
}

fn assert_true(samples: &[Sample]) {
    let untrue: Vec<_> = samples.iter().filter(|sample| sample.untrue).collect();
    assert_eq!(untrue, Vec::<&Sample>::new());
}

// Symptom: a side of a partition serves nothing, says that partial answers are whole, or takes more
// connections than the servers have.
// Events: two data centres lose each other, in both directions or one, and find each other again; both
// reach the backend servers all the while.
// Cause: members that can't be reached are waited for, or each side divides the limit anew.
#[test_case(hold ; "both ways")]
#[test_case(one_way ; "one way")]
#[tokio::test(flavor = "multi_thread")]
async fn part_data_centres_both_serve(fault: Fault) {
    let cluster = Cluster::start(vec![search(2)], &FOUR).await;
    let load = cluster.load(&ALL, RATE, Duration::from_secs(4));
    sleep(Duration::from_millis(500)).await;
    fault(&cluster);
    assert_true(&load.await.expect("the load ends"));
    cluster.until_ready(&ALL, 2).await;
    let parted = cluster.load(&ALL, RATE, Duration::from_secs(2));
    let parted = parted.await.expect("the load ends");
    assert_true(&parted);
    let lost: Vec<_> = parted
        .iter()
        .filter(|s| s.outcome != Outcome::Complete)
        .collect();
    assert_eq!(lost, Vec::<&Sample>::new());
    cluster.between(&NORTH, &SOUTH, Link::Open);
    cluster.until_whole().await;
    assert!(cluster.query(0, "{}").await.outcome.is_answer());
    assert_within_limits(&cluster);
}

// Symptom: while the network flaps, answers are wrong about themselves, and servers refuse
// connections.
// Events: two data centres lose and find each other every few moments, under load; then a home dies.
// Cause: views of the members differ, and homes begin and end by turns.
#[tokio::test(flavor = "multi_thread")]
async fn flap_keeps_connections_within_limits() {
    let mut cluster = Cluster::start(vec![search(2)], &FOUR).await;
    let load = cluster.load(&ALL, RATE, FLAP * 2 * (FLAPS as u32 + 1));
    for _ in 0..FLAPS {
        cluster.between(&NORTH, &SOUTH, Link::Hold);
        sleep(FLAP).await;
        cluster.between(&NORTH, &SOUTH, Link::Open);
        sleep(FLAP).await;
    }
    assert_true(&load.await.expect("the load ends"));
    cluster.until_whole().await;
    let home = cluster.homes(0).await[0];
    cluster.daemons[home].kill().await;
    let others: Vec<_> = ALL.into_iter().filter(|place| *place != home).collect();
    until("another home has taken over", async || {
        !cluster.homes(others[0]).await.contains(&home)
    })
    .await;
    let after = cluster.load(&others, RATE, Duration::from_secs(2));
    assert_true(&after.await.expect("the load ends"));
    assert_within_limits(&cluster);
}

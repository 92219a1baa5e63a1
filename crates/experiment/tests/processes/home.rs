//! Homes that die or sleep: each search has one final answer, and a sleeper wakes with care.

use crate::cluster::{Cluster, execute, search};
use monsoonring_experiment::sample::{Outcome, Sample};
use monsoonring_fakes::backend_server::Distribution;
use monsoonring_fakes::fleet::Shape;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::sleep;

const FIVE: [&str; 5] = ["north", "south", "north", "south", "north"];
const RATE: f64 = 25.0;
/// Longer than the gap from which on a process counts as having been paused.
const PAUSE: Duration = Duration::from_millis(4_500);
/// Time of a search's work: long enough that some are in flight whenever something happens.
const WORK: Duration = Duration::from_millis(60);

fn slow_search() -> Shape {
    let mut shape = search(2);
    shape.settings.service_time = Distribution::Constant(WORK);
    shape
}

/// Splits the daemons into the homes of the first route and the others.
async fn split(cluster: &Cluster) -> (Vec<usize>, Vec<usize>) {
    let homes = cluster.homes(0).await;
    let all = 0..cluster.daemons.len();
    let others: Vec<_> = all.filter(|place| !homes.contains(place)).collect();
    assert!(
        !homes.is_empty() && !others.is_empty(),
        "{homes:?} {others:?}"
    );
    (homes, others)
}

/// Finds samples that did not end with a final answer, or with one that is not true.
fn without_end(samples: &[Sample]) -> Vec<&Sample> {
    let silent = |sample: &&Sample| {
        let ended = !matches!(sample.outcome, Outcome::Silent | Outcome::Unreachable);
        sample.untrue || !ended || sample.reason.contains("request:")
    };
    samples.iter().filter(silent).collect()
}

fn incomplete(samples: &[Sample]) -> Vec<&Sample> {
    let incomplete = |sample: &&Sample| sample.outcome != Outcome::Complete;
    samples.iter().filter(incomplete).collect()
}

// Symptom: callers wait in vain, or get an error, when a host is lost on which they had no connection.
// Events: a home is killed while it works on queries that others have passed to it.
// Cause: the daemon that passed a query on waits for the dead one, or gives up with it.
#[tokio::test(flavor = "multi_thread")]
async fn kill_home_under_load_leaves_every_search_complete() {
    let mut cluster = Cluster::start(vec![slow_search()], &FIVE).await;
    let (homes, entries) = split(&cluster).await;
    let load = cluster.load(&entries, RATE, Duration::from_secs(3));
    sleep(Duration::from_secs(1)).await;
    cluster.daemons[homes[0]].kill().await;
    let samples = load.await.expect("the load ends");
    assert_eq!(without_end(&samples), Vec::<&Sample>::new());
    assert_eq!(incomplete(&samples), Vec::<&Sample>::new());
    let survivors: Vec<_> = (0..5).filter(|place| *place != homes[0]).collect();
    cluster.until_ready(&survivors, 4).await;
    let later = cluster.load(&survivors, RATE, Duration::from_secs(2));
    let later = later.await.expect("the load ends");
    assert_eq!(incomplete(&later), Vec::<&Sample>::new());
}

// Symptom: callers wait in vain while a host hangs, or long after; when it goes on, they get answers
// twice or from old facts.
// Events: a home is stopped while it works on queries that others have passed to it, and continued
// after it has been declared dead.
// Cause: a stopped process keeps its connections, so that nothing but time tells of it.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_home_under_load_ends_every_search() {
    let cluster = Cluster::start(vec![slow_search()], &FIVE).await;
    let (homes, entries) = split(&cluster).await;
    let survivors: Vec<_> = (0..5).filter(|place| *place != homes[0]).collect();
    let load = cluster.load(&entries, RATE, Duration::from_secs(10));
    sleep(Duration::from_secs(1)).await;
    cluster.daemons[homes[0]].freeze().await;
    cluster.until_ready(&survivors, 4).await;
    let later = cluster.load(&survivors, RATE, Duration::from_secs(2));
    let later = later.await.expect("the load ends");
    assert_eq!(incomplete(&later), Vec::<&Sample>::new());
    cluster.daemons[homes[0]].wake();
    let samples = load.await.expect("the load ends");
    assert_eq!(without_end(&samples), Vec::<&Sample>::new());
    cluster.until_whole().await;
    let after = cluster.load(&[0, 1, 2, 3, 4], RATE, Duration::from_secs(1));
    let after = after.await.expect("the load ends");
    assert_eq!(incomplete(&after), Vec::<&Sample>::new());
}

// Symptom: right after a pause, a daemon sends work to servers that left meanwhile, or under a
// configuration that is no longer in force.
// Events: a daemon is stopped; callers and peers send it queries, which wait in its sockets; it is
// continued.
// Cause: the task that takes a query runs before the one that notices the pause.
#[tokio::test(flavor = "multi_thread")]
async fn wake_takes_no_work_before_it_has_refreshed() {
    const QUERIES: usize = 60;
    let cluster = Cluster::start(vec![search(3)], &["north"; 3]).await;
    let (caller, daemon) = (cluster.caller.clone(), cluster.daemons[0].caller());
    let route = cluster.shapes[0].route.clone();
    let ask = || {
        let queries = (0..QUERIES).map(|number| {
            let (caller, route, body) = (caller.clone(), route.clone(), format!("{number}"));
            let deadline = Duration::from_secs(20);
            tokio::spawn(async move { caller.query(daemon, &route, body, deadline).await })
        });
        queries.collect::<Vec<_>>()
    };
    // Leaves open connections, on which the next queries can be read at once.
    for query in ask() {
        query.await.expect("a query ends");
    }
    cluster.daemons[0].freeze().await;
    let before = cluster.daemons[0].log().lines().len();
    let queries = ask();
    sleep(PAUSE).await;
    cluster.daemons[0].wake();
    for query in queries {
        let answer = query.await.expect("a query ends");
        assert_eq!(answer.outcome, Outcome::NotRun, "{answer:?}");
    }
    cluster.until_whole().await;
    let lines = cluster.daemons[0].log().lines();
    assert!(lines[before..].iter().any(|line| line["what"] == "paused"));
    assert!(cluster.query(0, "{}").await.outcome.is_answer());
}

// Symptom: a repair ticket is opened long after its caller was told "unknown" and had it opened by
// telephone.
// Events: non-idempotent requests wait for a slot at a home, or in its socket, when it is stopped;
// it is continued after their deadline.
// Cause: a process that wakes goes on where it was, with remaining times of before.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_home_runs_no_request_after_its_deadline() {
    const REQUESTS: usize = 24;
    const DEADLINE: Duration = Duration::from_secs(2);
    let mut shape = execute(2);
    shape.settings.service_time = Distribution::Constant(Duration::from_millis(700));
    let cluster = Cluster::start(vec![shape], &FIVE).await;
    let (homes, entries) = split(&cluster).await;
    let home = homes[0];
    let mut sends = Vec::new();
    for number in 0..REQUESTS {
        sends.push(send(&cluster, [home, entries[0]][number % 2], number, DEADLINE).await);
    }
    sleep(Duration::from_millis(300)).await;
    cluster.daemons[home].freeze().await;
    for number in 0..REQUESTS {
        sends.push(send_frozen(&cluster, home, entries[0], number, DEADLINE).await);
    }
    sleep(PAUSE).await;
    let before = begun(&cluster);
    assert!(!before.is_empty(), "some have run");
    cluster.daemons[home].wake();
    cluster.until_whole().await;
    for send in sends {
        send.await.expect("a send ends");
    }
    assert_eq!(begun(&cluster), before, "nothing ran after the deadline");
}

type Sending = tokio::task::JoinHandle<()>;

/// Gets a key from a daemon and sends a request under it.
async fn send(cluster: &Cluster, place: usize, number: usize, deadline: Duration) -> Sending {
    let (caller, daemon) = (cluster.caller.clone(), cluster.daemons[place].caller());
    let route = cluster.shapes[0].route.clone();
    let key = caller.key(daemon, &route, deadline).await.expect("a key");
    tokio::spawn(async move {
        let body = number.to_string();
        caller.execute(daemon, &route, &key, body, deadline).await;
    })
}

/// Sends to a stopped daemon, under a key that another one issued.
async fn send_frozen(
    cluster: &Cluster,
    frozen: usize,
    other: usize,
    number: usize,
    deadline: Duration,
) -> Sending {
    let (caller, daemon) = (cluster.caller.clone(), cluster.daemons[frozen].caller());
    let route = cluster.shapes[0].route.clone();
    let other = cluster.daemons[other].caller();
    let short = Duration::from_millis(200);
    let key = caller.key(other, &route, short).await;
    tokio::spawn(async move {
        let Ok(key) = key else { return };
        let body = number.to_string();
        caller.execute(daemon, &route, &key, body, deadline).await;
    })
}

/// Returns the keys under which a request has begun to run.
fn begun(cluster: &Cluster) -> BTreeSet<String> {
    let servers = cluster.fleet.servers();
    servers
        .flat_map(|server| server.runs().into_keys())
        .collect()
}

//! Planned stops, one after the other.

use crate::cluster::{Cluster, execute, search};
use crate::wait::until;
use monsoonring_experiment::caller::{Answer, Caller};
use monsoonring_experiment::sample::Outcome;
use monsoonring_fakes::backend_server::Distribution;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

const FOUR: [&str; 4] = ["north", "north", "south", "south"];
const GAP: Duration = Duration::from_millis(40);
/// Enough for slow work at the rate that the gap gives.
const SLOTS: usize = 30;
const DEADLINE: Duration = Duration::from_secs(5);
/// Exit code of a process whose stop was cut short.
const CUT: i32 = 3;

/// Sends one request after the other, each to the next daemon that says it is ready, as a balancer does.
struct Balancer {
    caller: Caller,
    daemons: Vec<SocketAddr>,
    route: String,
    executes: bool,
    ended: Arc<AtomicBool>,
    /// Keys under which requests have run, with their bodies.
    executed: Mutex<Vec<(String, String)>>,
}

impl Balancer {
    fn start(cluster: &Cluster, executes: bool) -> Arc<Self> {
        let ended = Arc::new(AtomicBool::new(false));
        let places: Vec<_> = (0..cluster.daemons.len()).collect();
        Arc::new(Self {
            caller: cluster.caller.clone(),
            daemons: cluster.callers(&places),
            route: cluster.shapes[0].route.to_string(),
            executes,
            ended,
            executed: Mutex::default(),
        })
    }

    async fn run(self: Arc<Self>) -> Vec<Answer> {
        let this = self;
        let mut sends = Vec::new();
        let mut number = 0;
        while !this.ended.load(Ordering::SeqCst) {
            number += 1;
            sends.push(tokio::spawn(this.clone().send(number)));
            sleep(GAP).await;
        }
        let mut answers = Vec::new();
        for send in sends {
            answers.push(send.await.expect("a send ends"));
        }
        answers
    }

    async fn ready(&self, number: usize) -> SocketAddr {
        for place in 0.. {
            let daemon = self.daemons[(number + place) % self.daemons.len()];
            if self.caller.is_ready(daemon).await {
                return daemon;
            }
            sleep(Duration::from_millis(1)).await;
        }
        unreachable!("the loop has no end")
    }

    async fn send(self: Arc<Self>, number: usize) -> Answer {
        let daemon = self.ready(number).await;
        let body = number.to_string();
        if !self.executes {
            return self.caller.query(daemon, &self.route, body, DEADLINE).await;
        }
        loop {
            let answer = self.execute(number, &body).await;
            // It did not run, and its key is used up.
            if answer.outcome != Outcome::NotRun {
                return answer;
            }
        }
    }

    /// Sends a request under a new key, and once more elsewhere although the first send was answered:
    /// a caller that lost the answer does so.
    async fn execute(&self, number: usize, body: &str) -> Answer {
        let (daemon, body) = (self.ready(number).await, body.to_owned());
        let key = match self.caller.key(daemon, &self.route, DEADLINE).await {
            Ok(key) => key,
            Err(error) => return Answer::not_run(&error),
        };
        let sent = (key.clone(), body.clone());
        let first = self
            .caller
            .execute(daemon, &self.route, &key, body.clone(), DEADLINE);
        let first = first.await;
        let other = self.ready(number + 1).await;
        let again = self
            .caller
            .execute(other, &self.route, &key, body, DEADLINE);
        let again = again.await;
        if first.outcome == Outcome::Executed || again.outcome == Outcome::Executed {
            let mut executed = self.executed.lock().expect("no panic before");
            executed.push(sent);
        }
        if first.outcome.is_answer() {
            first
        } else {
            again
        }
    }
}

/// Replaces each daemon in turn, and expects that each stops by itself and whole.
async fn replace_all(cluster: &mut Cluster) {
    for place in 0..cluster.daemons.len() {
        cluster.daemons[place].signal(Signal::SIGTERM);
        let status = cluster.daemons[place].ended().await;
        assert_eq!(status.code(), Some(0), "daemon {place}");
        cluster.launch(place).await;
        cluster.until_whole().await;
    }
}

// Symptom: each replacement of the fleet costs some callers their answers.
// Events: all daemons are replaced, one after the other, under load.
// Cause: a stop that ends before what is in flight, its peers' requests included.
#[tokio::test(flavor = "multi_thread")]
async fn replace_all_under_load_cuts_no_search_off() {
    let mut shape = search(2);
    // Longer than the wait for the balancer, so that each stop finds work in flight.
    shape.settings.service_time = Distribution::Constant(Duration::from_millis(600));
    shape.settings.slots = SLOTS;
    shape.settings.connections = 4 * (SLOTS + 1);
    let mut cluster = Cluster::start(vec![shape], &FOUR).await;
    let balancer = Balancer::start(&cluster, false);
    replace_all_under_load(&mut cluster, &balancer, Outcome::Complete).await;
}

/// Replaces all daemons while the balancer sends, checks that every answer is as expected, and returns
/// their number.
async fn replace_all_under_load(
    cluster: &mut Cluster,
    balancer: &Arc<Balancer>,
    expected: Outcome,
) -> usize {
    let load = tokio::spawn(balancer.clone().run());
    replace_all(cluster).await;
    balancer.ended.store(true, Ordering::SeqCst);
    let answers = load.await.expect("the load ends");
    let lost: Vec<_> = answers.iter().filter(|a| a.outcome != expected).collect();
    let (count, all) = (lost.len(), answers.len());
    assert!(lost.is_empty(), "{count} of {all}: {lost:?}");
    all
}

// Symptom: tickets are lost or doubled when the fleet is replaced.
// Events: all daemons are replaced under load; each request is sent a second time under its key, to
// another daemon, and a third time when no daemon that was there at first is left.
// Cause: what a daemon knows of its keys goes with it.
#[tokio::test(flavor = "multi_thread")]
async fn replace_all_under_load_runs_each_request_once() {
    let mut cluster = Cluster::start(vec![execute(2)], &FOUR).await;
    let balancer = Balancer::start(&cluster, true);
    let answers = replace_all_under_load(&mut cluster, &balancer, Outcome::Executed).await;
    let executed = balancer.executed.lock().expect("no panic before").clone();
    for (number, (key, body)) in executed.into_iter().enumerate() {
        let daemon = balancer.daemons[number % balancer.daemons.len()];
        let again = &balancer.caller;
        let again = again.execute(daemon, &balancer.route, &key, body, DEADLINE);
        let again = again.await;
        assert_eq!(again.outcome, Outcome::Executed, "{}", again.reason);
    }
    let servers = cluster.fleet.servers();
    let runs: Vec<_> = servers
        .flat_map(|server| server.runs().into_values())
        .collect();
    assert!(runs.iter().all(|run| run.started == 1), "doubled");
    assert_eq!(runs.len(), answers, "each has run");
}

// Symptom: an operator can't end a process whose stop takes too long, or can't tell that it was cut.
// Events: a second SIGTERM arrives while a request is in flight.
// Cause: the second signal is ignored, or taken for the end of a planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn stop_second_signal_ends_with_its_own_code() {
    let mut shape = search(1);
    shape.settings.service_time = Distribution::Constant(Duration::from_secs(4));
    let mut cluster = Cluster::start(vec![shape], &["north"]).await;
    let caller = cluster.caller.clone();
    let (daemon, route) = (cluster.daemons[0].caller(), cluster.shapes[0].route.clone());
    let query = tokio::spawn(async move {
        caller
            .query(daemon, &route, "{}".to_owned(), DEADLINE)
            .await
    });
    let fleet = &cluster.fleet;
    until("the query runs", async || {
        fleet.total(|counters| counters.started) > 0
    })
    .await;
    cluster.daemons[0].signal(Signal::SIGTERM);
    let log = cluster.daemons[0].log();
    until("the stop has begun", async || {
        log.lines()
            .iter()
            .any(|line| line["msg"] == "accepting ended")
    })
    .await;
    assert_eq!(cluster.daemons[0].exit(), None, "it waits for the query");
    cluster.daemons[0].signal(Signal::SIGTERM);
    let status = cluster.daemons[0].ended().await;
    assert_eq!(status.code(), Some(CUT));
    let answer = query.await.expect("the query ends");
    assert!(!answer.outcome.is_answer(), "{answer:?}");
}

// Guards against requests that wait at a home and lose their connections without an answer when a
// stop is cut short, although they never ran.
#[tokio::test(flavor = "multi_thread")]
async fn stop_cut_short_answers_what_waits() {
    const REQUESTS: usize = 40;
    let mut shape = execute(1);
    shape.settings.service_time = Distribution::Constant(Duration::from_secs(4));
    let mut cluster = Cluster::start(vec![shape], &["north"]).await;
    let (daemon, route) = (cluster.daemons[0].caller(), cluster.shapes[0].route.clone());
    let send = |number: usize| {
        let (caller, route) = (cluster.caller.clone(), route.clone());
        tokio::spawn(async move {
            let key = caller.key(daemon, &route, DEADLINE).await;
            let key = key.expect("the daemon issues a key");
            let execution = caller.execute(daemon, &route, &key, number.to_string(), DEADLINE);
            execution.await
        })
    };
    let requests: Vec<_> = (0..REQUESTS).map(send).collect();
    let fleet = &cluster.fleet;
    until("a request runs", async || {
        fleet.total(|counters| counters.started) > 0
    })
    .await;
    for _ in 0..2 {
        cluster.daemons[0].signal(Signal::SIGTERM);
        sleep(Duration::from_millis(100)).await;
    }
    let status = cluster.daemons[0].ended().await;
    assert_eq!(status.code(), Some(CUT));
    let started = cluster.fleet.total(|counters| counters.started) as usize;
    let mut answers = Vec::new();
    for request in requests {
        answers.push(request.await.expect("the request ends").outcome);
    }
    let count = |outcome| answers.iter().filter(|answer| **answer == outcome).count();
    assert_eq!(count(Outcome::Unknown), started, "{answers:?}");
    assert_eq!(count(Outcome::NotRun), REQUESTS - started, "{answers:?}");
}

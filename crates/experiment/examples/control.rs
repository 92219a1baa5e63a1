//! What control costs each daemon, and how long news takes to be everywhere, against the daemons.
//!
//! `cargo run --release --example control -- --processes target/release/monsoonringd` starts 2 to 64
//! daemons over four backend servers, without load. It reads the counters of the operator ports
//! before and after a quiet time; then it times three kinds of news until the last daemon's state
//! shows them: a published configuration, a backend server that begins to drain, and a request that
//! crashes backend servers.

use clap::Parser;
use monsoonring_experiment::caller::Caller;
use monsoonring_experiment::deployment::{Daemon, Deployment, Launch, Setup};
use monsoonring_experiment::memory;
use monsoonring_experiment::operator::{Counters, Fact, LEAVING, Operator, SUSPECT, State};
use monsoonring_experiment::scenario::Policy;
use monsoonring_fakes::backend_server::Crash;
use monsoonring_fakes::fleet::{self, Shape};
use std::collections::BTreeSet;
use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const SETTLE: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);
/// Time after which news that did not arrive counts as lost.
const PATIENCE: Duration = Duration::from_secs(40);
/// Time between two trials: crashed servers come back, and bursts of probes end.
const PAUSE: Duration = Duration::from_millis(2_500);
const CRASH_RESTART: Duration = Duration::from_millis(500);
const CRASH_SENDS: usize = 5;
const CRASH_SEND_GAP: Duration = Duration::from_millis(200);
const MARKER: &str = "crash-me";
const KIB: f64 = 1_024.0;
const MIB: f64 = KIB * KIB;
const PERCENT: f64 = 100.0;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Measures control.
#[derive(Debug, Parser)]
struct Options {
    /// Numbers of daemons.
    #[arg(long, value_delimiter = ',', default_values_t = [2, 4, 8, 16, 32, 64])]
    daemons: Vec<usize>,
    /// Quiet seconds over which counters are averaged.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Trials of each kind of news.
    #[arg(long, default_value_t = 5)]
    trials: usize,
    /// Binary of the daemon.
    #[arg(long, value_name = "PATH")]
    processes: PathBuf,
}

type Outcome<T> = Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome<()> {
    let options = Options::parse();
    println!(
        "| daemons | bytes /s mean | bytes /s most | processor % mean | processor % most \
         | resident MiB mean | service calls /min | list reads /min \
         | configuration s median/worst | leaving s median/worst | suspect s median/worst |"
    );
    println!("|{}", " --- |".repeat(11));
    for &daemons in &options.daemons {
        let deployment = Deployment::start(setup(&options, daemons)).await?;
        sleep(SETTLE).await;
        let quiet = quiet(&deployment, Duration::from_secs(options.seconds)).await?;
        let news = News::new(&deployment);
        let spread = news.spread(options.trials).await?;
        println!("| {daemons} | {quiet} | {spread} |");
        deployment.stop().await;
    }
    Ok(())
}

fn shape() -> Shape {
    let mut shape = fleet::dispatch_map();
    (shape.groups, shape.replicas) = (2, 2);
    shape.settings.crash = Some(Crash {
        marker: MARKER.to_owned(),
        restart_after: Some(CRASH_RESTART),
    });
    shape
}

fn setup(options: &Options, daemons: usize) -> Setup {
    Setup {
        shapes: vec![shape()],
        policy: Policy::document(),
        daemons,
        launch: Launch::Processes(options.processes.clone()),
    }
}

/// Reads counters before and after a time without load.
async fn quiet(deployment: &Deployment, time: Duration) -> Outcome<String> {
    let calls = || {
        (
            deployment.service.counters().calls,
            deployment.hosts.calls(),
        )
    };
    let (before, called) = (counters(deployment).await?, calls());
    let began = Instant::now();
    sleep(time).await;
    let (after, calls) = (counters(deployment).await?, calls());
    let seconds = began.elapsed().as_secs_f64();
    let pairs = || before.iter().zip(&after);
    let bytes = pairs().map(|(b, a)| (a.sent - b.sent + a.received - b.received) / seconds);
    let processor = pairs().map(|(b, a)| (a.processor - b.processor) / seconds * PERCENT);
    let (bytes, processor) = (Many(bytes.collect()), Many(processor.collect()));
    let resident: Result<Vec<f64>, _> = deployment.daemons.iter().map(resident).collect();
    let a_minute = |count: u64| count as f64 / seconds * SECONDS_PER_MINUTE;
    Ok(format!(
        "{:.0} | {:.0} | {:.2} | {:.2} | {:.1} | {:.0} | {:.0}",
        bytes.mean(),
        bytes.most(),
        processor.mean(),
        processor.most(),
        Many(resident?).mean() / MIB,
        a_minute(calls.0 - called.0),
        a_minute(calls.1 - called.1),
    ))
}

fn resident(daemon: &Daemon) -> memory::Result<f64> {
    Ok(memory::resident(daemon.process_id)? as f64)
}

async fn counters(deployment: &Deployment) -> Outcome<Vec<Counters>> {
    let operator = Operator::default();
    let mut all = Vec::new();
    for daemon in &deployment.daemons {
        all.push(operator.counters(daemon.operator).await?);
    }
    Ok(all)
}

struct Many(Vec<f64>);

impl Many {
    fn mean(&self) -> f64 {
        self.0.iter().sum::<f64>() / self.0.len().max(1) as f64
    }

    fn most(&self) -> f64 {
        self.0.iter().copied().fold(0.0, f64::max)
    }

    fn median(&self) -> f64 {
        let mut sorted = self.0.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or_default()
    }
}

/// Brings news about and times it.
struct News<'a> {
    deployment: &'a Deployment,
    operator: Operator,
}

impl<'a> News<'a> {
    fn new(deployment: &'a Deployment) -> Self {
        let operator = Operator::default();
        Self {
            deployment,
            operator,
        }
    }

    async fn spread(&self, trials: usize) -> Outcome<String> {
        let (mut changed, mut left, mut suspected) = (Vec::new(), Vec::new(), Vec::new());
        for trial in 0..trials {
            changed.push(self.configuration(trial).await);
            sleep(PAUSE).await;
            left.push(self.leaving(trial).await?);
            sleep(PAUSE).await;
            suspected.push(self.suspect(trial).await?);
            sleep(PAUSE).await;
        }
        let cell = |times: Vec<f64>| {
            let times = Many(times);
            format!("{:.2}/{:.2}", times.median(), times.most())
        };
        let cells = [changed, left, suspected].map(cell);
        Ok(cells.join(" | "))
    }

    async fn configuration(&self, trial: usize) -> f64 {
        let mut document = self.deployment.fleet.document();
        for route in &mut document.routes {
            route.deadline_ms += trial as u64 + 1;
        }
        let began = Instant::now();
        let revision = self.deployment.service.publish_document(&document);
        let knows = |state: &State| state.configuration.revision == Some(revision);
        self.everywhere(began, knows).await
    }

    async fn leaving(&self, trial: usize) -> Outcome<f64> {
        let servers: Vec<_> = self.deployment.fleet.servers().collect();
        let server = servers[trial % servers.len()];
        let leaving = Fact {
            what: LEAVING.to_owned(),
            of: server.address().to_string(),
            version: server.start_number(),
        };
        let began = Instant::now();
        server.set_draining(true);
        let knows = |state: &State| state.facts.contains(&leaving);
        let time = self.everywhere(began, knows).await;
        server.restart().await?;
        Ok(time)
    }

    async fn suspect(&self, trial: usize) -> Outcome<f64> {
        let suspects = |state: &State| -> BTreeSet<String> {
            let suspects = state.facts.iter().filter(|fact| fact.what == SUSPECT);
            suspects.map(|fact| fact.of.clone()).collect()
        };
        let first = &self.deployment.daemons[0];
        let before = suspects(&self.operator.state(first.operator).await?);
        let began = Instant::now();
        let knows = |state: &State| !suspects(state).is_subset(&before);
        let (time, ()) = tokio::join!(self.everywhere(began, knows), self.crash(trial));
        Ok(time)
    }

    /// Sends a request that crashes backend servers, to the last daemons, in turn.
    async fn crash(&self, trial: usize) {
        let shape = shape();
        let caller = Caller::new(shape.caller.name.clone());
        let body = format!("{{\"text\":\"{MARKER}\",\"trial\":{trial}}}");
        let daemons = self.deployment.daemons.iter().rev().cycle();
        for daemon in daemons.take(CRASH_SENDS) {
            let answer = caller.query(daemon.caller, &shape.route, body.clone(), shape.deadline);
            answer.await;
            sleep(CRASH_SEND_GAP).await;
        }
    }

    /// Returns the seconds until the last daemon's state shows the news.
    async fn everywhere(&self, began: Instant, knows: impl Fn(&State) -> bool) -> f64 {
        let daemons = self.deployment.daemons.iter();
        let until = daemons.map(|daemon| self.until(daemon, &knows));
        futures::future::join_all(until).await;
        began.elapsed().as_secs_f64()
    }

    async fn until(&self, daemon: &Daemon, knows: impl Fn(&State) -> bool) {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            let state = self.operator.state(daemon.operator).await;
            if state.is_ok_and(|state| knows(&state)) {
                return;
            }
            sleep(POLL).await;
        }
    }
}

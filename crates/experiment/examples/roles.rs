//! What a query costs by role: an entry that only passes on, a home that a peer asked, and a home
//! that a caller asked; and what a home costs at rest against its backend servers.
//!
//! `cargo run --release --example roles -- --processes target/release/monsoonringd` starts eight
//! daemons, of which five are homes, over a growing number of groups. Load goes once to the daemons
//! that are no homes and once to the homes. Processor time is that of each process, read from
//! `/proc/…/schedstat`; the stand-ins and the load generator run in this process and do not count.
//! Log lines are composed at level `info` as in production, and written to nowhere.

use clap::Parser;
use monsoonring_experiment::deployment::{Daemon, Deployment, Launch, Setup};
use monsoonring_experiment::load::{self, Plan};
use monsoonring_experiment::operator::Operator;
use monsoonring_experiment::report::Summary;
use monsoonring_experiment::scenario::Policy;
use monsoonring_experiment::tally::Tally;
use monsoonring_experiment::{memory, processor, trial};
use monsoonring_fakes::backend_server::Distribution;
use monsoonring_fakes::fleet::{self, Shape};
use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const MICROS: f64 = 1e6;
const MILLIS: f64 = 1e3;
const MIB: f64 = 1_048_576.0;
const P99: f64 = 0.99;
const SETTLE: Duration = Duration::from_secs(5);
const WARM_UP: Duration = Duration::from_secs(2);
const SERVICE_TIME: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_secs(2);

/// Measures the roles.
#[derive(Debug, Parser)]
struct Options {
    /// Numbers of groups; each has three replicas.
    #[arg(long, value_delimiter = ',', default_values_t = [2, 10, 40])]
    groups: Vec<usize>,
    /// Sub-queries a second of each run.
    #[arg(long, default_value_t = 1_500.0)]
    rate: f64,
    /// Seconds of each run.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of daemons.
    #[arg(long, default_value_t = 8)]
    daemons: usize,
    /// Binary of the daemon.
    #[arg(long, value_name = "PATH")]
    processes: PathBuf,
}

type Outcome<T> = Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome<()> {
    let options = Options::parse();
    println!(
        "| groups | asked | queries | attempts per query | entry: us per query \
         | home: us per query | home: us per attempt | p99 ms |"
    );
    println!("|{}", " --- |".repeat(8));
    let mut rest = Vec::new();
    for &groups in &options.groups {
        let bench = Bench::start(&options, groups).await?;
        let at_rest = bench.spent(sleep(bench.time)).await?;
        rest.push(bench.rest(&at_rest)?);
        for asked in [Asked::Entries, Asked::Homes] {
            println!("{}", bench.row(asked, &at_rest, options.rate).await?);
        }
        bench.deployment.stop().await;
    }
    println!("\n| groups | servers | entry at rest % | home at rest % | home resident MiB |");
    println!("|{}", " --- |".repeat(5));
    rest.iter().for_each(|row| println!("{row}"));
    Ok(())
}

fn shape(groups: usize) -> Shape {
    let mut shape = fleet::dispatch_map();
    shape.groups = groups;
    shape.deadline = DEADLINE;
    shape.settings.service_time = Distribution::Constant(SERVICE_TIME);
    shape.settings.connect_cost = Duration::ZERO;
    shape
}

/// Who is asked by callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Entries,
    Homes,
}

/// Processor time of the daemons by role, in seconds a second over all of them.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    entries: f64,
    homes: f64,
}

struct Bench {
    deployment: Deployment,
    shape: Shape,
    homes: Vec<usize>,
    time: Duration,
}

impl Bench {
    async fn start(options: &Options, groups: usize) -> Outcome<Self> {
        let shape = shape(groups);
        let policy = Policy {
            arguments: vec!["--log-level".to_owned(), "info".to_owned()],
            ..Policy::without_extra_attempts()
        };
        let setup = Setup {
            shapes: vec![shape.clone()],
            policy,
            daemons: options.daemons,
            launch: Launch::Processes(options.processes.clone()),
        };
        let deployment = Deployment::start(setup).await?;
        sleep(SETTLE).await;
        let first = deployment.daemons.first().ok_or("no daemon")?;
        let state = Operator::default().state(first.operator).await?;
        let homes = state.routes.first().ok_or("no route")?.homes.clone();
        let is_home = |daemon: &Daemon| homes.contains(&daemon.peer);
        let daemons = deployment.daemons.iter().enumerate();
        let homes = daemons.filter(|(_, daemon)| is_home(daemon));
        let homes = homes.map(|(place, _)| place).collect();
        Ok(Self {
            deployment,
            shape,
            homes,
            time: Duration::from_secs(options.seconds),
        })
    }

    async fn row(&self, asked: Asked, rest: &Spent, rate: f64) -> Outcome<String> {
        let rate = rate / self.shape.groups as f64;
        let plan = Plan {
            rate,
            daemons: self.asked(asked),
            ..trial::plan(&self.shape, &self.deployment, self.time, 1)
        };
        let warm_up = Plan {
            duration: WARM_UP,
            ..plan.clone()
        };
        load::run(&warm_up).await;
        let tally = Tally::begin(&self.deployment.fleet, &self.shape);
        let mut samples = Vec::new();
        let work = async { samples = load::run(&plan).await };
        let spent = self.spent(work).await?;
        let summary = Summary::new(&samples, self.time, self.shape.deadline, tally.end());
        let queries = summary.requests as f64;
        let seconds = self.time.as_secs_f64();
        let micros = |share: f64, of: f64| share * seconds * MICROS / of.max(1.0);
        let attempts = summary.attempts.all as f64;
        let (entry, home) = (spent.entries - rest.entries, spent.homes - rest.homes);
        Ok(format!(
            "| {} | {asked:?} | {queries:.0} | {:.2} | {:.0} | {:.0} | {:.1} | {:.1} |",
            self.shape.groups,
            attempts / queries.max(1.0),
            micros(entry, queries),
            micros(home, queries),
            micros(home, attempts),
            summary.latency(P99).as_secs_f64() * MILLIS,
        ))
    }

    fn asked(&self, asked: Asked) -> Vec<std::net::SocketAddr> {
        let daemons = self.deployment.daemons.iter().enumerate();
        let wanted = asked == Asked::Homes;
        let chosen = daemons.filter(|(place, _)| self.homes.contains(place) == wanted);
        chosen.map(|(_, daemon)| daemon.caller).collect()
    }

    fn rest(&self, rest: &Spent) -> Outcome<String> {
        let homes = self.homes.len().max(1) as f64;
        let entries = (self.deployment.daemons.len() - self.homes.len()).max(1) as f64;
        let resident: Result<Vec<u64>, _> = self
            .homes
            .iter()
            .map(|place| memory::resident(self.deployment.daemons[*place].process_id))
            .collect();
        let resident = resident?.into_iter().sum::<u64>() as f64 / homes / MIB;
        Ok(format!(
            "| {} | {} | {:.2} | {:.2} | {resident:.1} |",
            self.shape.groups,
            self.shape.groups * self.shape.replicas,
            rest.entries / entries * 100.0,
            rest.homes / homes * 100.0,
        ))
    }

    /// Returns what the daemons spend while something is done.
    async fn spent(&self, work: impl Future<Output = ()>) -> Outcome<Spent> {
        let before = self.times()?;
        let began = Instant::now();
        work.await;
        let seconds = began.elapsed().as_secs_f64();
        let mut spent = Spent::default();
        for (place, (before, after)) in before.iter().zip(self.times()?).enumerate() {
            let share = after.saturating_sub(*before).as_secs_f64() / seconds;
            match self.homes.contains(&place) {
                true => spent.homes += share,
                false => spent.entries += share,
            }
        }
        Ok(spent)
    }

    fn times(&self) -> processor::Result<Vec<Duration>> {
        let daemons = self.deployment.daemons.iter();
        daemons
            .map(|daemon| processor::time(daemon.process_id, None))
            .collect()
    }
}

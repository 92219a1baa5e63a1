//! The whole system on the loopback interface, with failures, in some ten seconds.
//!
//! `cargo run --release --example demo` starts stand-ins for the backend servers of three routes,
//! the configuration service and the host list, and real daemons between them and a caller. It then
//! breaks things and tells what callers saw. It ends with 0 if every promise was kept, else with 1.
//! With a longer `--seconds` there is time to look at the daemons meanwhile, such as by
//! `monsoonring status --daemon` with the operator addresses that it prints.

use clap::Parser;
use monsoonring_experiment::caller::{Answer, Caller};
use monsoonring_experiment::deployment::{Deployment, Error, Launch, Setup};
use monsoonring_experiment::load::{self, Plan};
use monsoonring_experiment::report::{Coverage, Summary};
use monsoonring_experiment::sample::Outcome;
use monsoonring_experiment::scenario::{Policy, saturation};
use monsoonring_experiment::tally::Tally;
use monsoonring_experiment::trial;
use monsoonring_experiment::verify;
use monsoonring_fakes::backend_server::{Fault, Server};
use monsoonring_fakes::fleet::{self, Fleet, Shape};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const SEED: u64 = 1;
/// Load of a route as a share of what its backend servers can do.
const LOAD: f64 = 0.2;
const SLOWDOWN: f64 = 20.0;
/// Least mean coverage; a search without an answer counts as 0.
const LEAST_COVERAGE: f64 = 0.99;
const PERCENT: f64 = 100.0;
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;

/// Shows the system at work and under failures.
#[derive(Debug, Parser)]
struct Options {
    /// Number of daemons.
    #[arg(long, default_value_t = 3)]
    daemons: usize,
    /// Seconds of load in each scene.
    #[arg(long, default_value_t = 2)]
    seconds: u64,
    /// Start the daemons as processes of this binary and not inside this process.
    #[arg(long, value_name = "PATH")]
    processes: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = Options::parse();
    match run(&options).await {
        Ok(promises) => promises.report(),
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &Options) -> Result<Promises, Error> {
    let searches = [fleet::dispatch_map(), fleet::gate_desk()];
    let tickets = fleet::repair_tickets();
    let setup = Setup {
        shapes: searches.iter().chain([&tickets]).cloned().collect(),
        policy: Policy::document(),
        daemons: options.daemons,
        launch: Launch::new(options.processes.clone()),
    };
    let began = Instant::now();
    let deployment = Deployment::start(setup).await?;
    println!(
        "{} daemons in front of {} backend servers, ready after {}.",
        deployment.daemons.len(),
        deployment.fleet.servers().count(),
        millis(began.elapsed())
    );
    for daemon in &deployment.daemons {
        println!(
            "   callers at {}, operators at {}",
            daemon.caller, daemon.operator
        );
    }
    let mut demo = Demo {
        deployment,
        searches,
        tickets,
        seconds: options.seconds,
        promises: Promises::default(),
    };
    demo.single_searches().await;
    demo.steady().await;
    demo.straggler().await;
    demo.lost_replica().await;
    demo.ticket().await;
    demo.ticket_without_answer().await;
    demo.deployment.stop().await;
    Ok(demo.promises)
}

struct Demo {
    deployment: Deployment,
    searches: [Shape; 2],
    tickets: Shape,
    seconds: u64,
    promises: Promises,
}

impl Demo {
    async fn single_searches(&mut self) {
        println!("\n1. One search, asked of each daemon in turn");
        let shape = &self.searches[0];
        let caller = Caller::new(shape.caller.name.clone());
        let data = trial::data(&self.deployment, shape);
        for daemon in &self.deployment.daemons {
            let began = Instant::now();
            let body = "{\"near\":\"Rue 3\"}".to_owned();
            let answer = caller.query(daemon.caller, &shape.route, body, shape.deadline);
            let answer = answer.await;
            println!(
                "   {}: {}, {}",
                daemon.caller,
                describe(&answer),
                millis(began.elapsed())
            );
            self.promises.keep(
                "a search is answered by every daemon, from one snapshot and completely",
                answer.outcome == Outcome::Complete && verify::is_correct(&answer, &data),
            );
        }
    }

    async fn steady(&mut self) {
        println!("\n2. Load on both searches, all well");
        self.load(
            "all well: searches cover at least 99 % of the data",
            Breakage::None,
        )
        .await;
    }

    async fn straggler(&mut self) {
        println!(
            "\n3. A straggler: one backend server of each search gets {SLOWDOWN} times slower"
        );
        let promise = "with a straggler: searches cover at least 99 % of the data";
        self.load(promise, Breakage::Slow).await;
        for shape in &self.searches {
            victim(&self.deployment.fleet, shape).set_slowdown(1.0);
        }
    }

    async fn lost_replica(&mut self) {
        println!("\n4. A lost replica: one backend server of each search is killed");
        let promise = "with a lost replica: searches cover at least 99 % of the data";
        self.load(promise, Breakage::Kill).await;
    }

    /// Sends load to both searches at once, breaks something after a while, and holds the mean
    /// coverage against the promise.
    async fn load(&mut self, promise: &'static str, breakage: Breakage) {
        let [first, second] = &self.searches;
        let break_it = async {
            sleep(Duration::from_secs(self.seconds) / 3).await;
            breakage.apply(victim(&self.deployment.fleet, first)).await;
            breakage.apply(victim(&self.deployment.fleet, second)).await;
        };
        let done = tokio::join!(self.measure(first), self.measure(second), break_it);
        for (shape, summary) in [(first, done.0), (second, done.1)] {
            println!("   {}: {}", shape.route, sum(&summary));
            for (reason, count) in &summary.reasons {
                println!("      {count} without an answer: {reason}");
            }
            self.promises.keep(
                promise,
                summary
                    .coverage
                    .is_some_and(|coverage| coverage.mean >= LEAST_COVERAGE),
            );
            self.promises.keep(
                "every answer tells the truth about itself",
                summary.untrue == 0,
            );
        }
    }

    async fn measure(&self, shape: &Shape) -> Summary {
        let duration = Duration::from_secs(self.seconds);
        let plan = Plan {
            rate: LOAD * saturation(shape),
            ..trial::plan(shape, &self.deployment, duration, SEED)
        };
        let tally = Tally::begin(&self.deployment.fleet, shape);
        let samples = load::run(&plan).await;
        Summary::new(&samples, duration, shape.deadline, tally.end())
    }

    async fn ticket(&mut self) {
        println!("\n5. A repair ticket, sent twice under one key, to two daemons");
        let runs = self.send_twice(Outcome::Executed).await;
        println!("   the backend servers ran it {runs} time(s)");
        self.promises
            .keep("a ticket sent twice runs once", runs == 1);
    }

    async fn ticket_without_answer(&mut self) {
        println!("\n6. The same, but the backend server's answer to the ticket gets lost");
        let servers = self.deployment.fleet.group(&self.tickets.route, 0);
        servers
            .iter()
            .for_each(|server| server.plan(Fault::Lost, 1));
        let runs = self.send_twice(Outcome::Unknown).await;
        println!("   the backend servers ran it {runs} time(s)");
        self.promises
            .keep("a ticket whose answer was lost is not run again", runs <= 1);
    }

    /// Sends one ticket to the first and then to the last daemon; returns how often it ran.
    async fn send_twice(&mut self, expected: Outcome) -> u64 {
        let route = &self.tickets.route;
        let deadline = self.tickets.deadline;
        let caller = Caller::new(self.tickets.caller.name.clone());
        let callers = self.deployment.callers();
        let daemons = [callers[0], callers[callers.len() - 1]];
        let key = match caller.key(daemons[0], route, deadline).await {
            Ok(key) => key,
            Err(error) => {
                println!("   {error}");
                self.promises.keep("a ticket gets a key", false);
                return 0;
            }
        };
        println!("   {}: gives the key {key}", daemons[0]);
        for daemon in daemons {
            let body = "{\"hydrant\":17,\"state\":\"dry\"}".to_owned();
            let answer = caller.execute(daemon, route, &key, body, deadline).await;
            println!("   {daemon}: {}", describe(&answer));
            self.promises.keep(
                "both sends of a ticket end the same way",
                answer.outcome == expected,
            );
        }
        self.runs(&key)
    }

    fn runs(&self, key: &str) -> u64 {
        let servers = self.deployment.fleet.group(&self.tickets.route, 0);
        let begun = |server: &Server| server.runs().get(key).map_or(0, |runs| runs.started);
        servers.iter().map(begun).sum()
    }
}

/// What happens to one backend server of each search.
#[derive(Clone, Copy, Debug)]
enum Breakage {
    None,
    Slow,
    Kill,
}

impl Breakage {
    async fn apply(self, server: &Server) {
        match self {
            Self::None => {}
            Self::Slow => server.set_slowdown(SLOWDOWN),
            Self::Kill => server.kill().await,
        }
    }
}

fn victim<'a>(fleet: &'a Fleet, shape: &Shape) -> &'a Server {
    &fleet.group(&shape.route, 0)[0]
}

/// What was promised, and whether it was kept each time.
#[derive(Debug, Default)]
struct Promises {
    kept: Vec<(&'static str, bool)>,
}

impl Promises {
    fn keep(&mut self, promise: &'static str, kept: bool) {
        match self.kept.iter_mut().find(|(known, _)| *known == promise) {
            Some((_, all)) => *all &= kept,
            None => self.kept.push((promise, kept)),
        }
    }

    fn report(&self) -> ExitCode {
        println!("\nSummary");
        for (promise, kept) in &self.kept {
            let word = if *kept { "kept  " } else { "BROKEN" };
            println!("   {word}  {promise}");
        }
        if self.kept.iter().all(|(_, kept)| *kept) {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

fn describe(answer: &Answer) -> String {
    match (answer.outcome, answer.index_version) {
        (Outcome::Complete | Outcome::Partial, Some(version)) => format!(
            "{}, coverage {:.1} %, snapshot {version}, {} items",
            answer.outcome,
            answer.coverage * PERCENT,
            answer.items.len()
        ),
        (Outcome::Executed, _) => format!("executed, result {}", answer.value),
        (outcome, _) => format!("{outcome} ({})", answer.reason.trim()),
    }
}

fn sum(summary: &Summary) -> String {
    let coverage =
        |share: fn(&Coverage) -> f64| summary.coverage.as_ref().map_or(0.0, share) * PERCENT;
    format!(
        "{} searches, p50 {}, p99 {}, coverage {:.3} % (least {:.1} %), extra load {:.1} %",
        summary.requests,
        millis(summary.latency(MEDIAN)),
        millis(summary.latency(P99)),
        coverage(|coverage| coverage.mean),
        coverage(|coverage| coverage.min),
        summary.attempts.extra_percent()
    )
}

fn millis(time: Duration) -> String {
    format!("{} ms", time.as_millis())
}

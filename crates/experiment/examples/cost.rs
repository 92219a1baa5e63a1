//! Processor time of the daemons per query and per sub-query.
//!
//! `cargo run --release --example cost` sends the load of one route at several rates and reads the
//! processor time of the daemons' threads from `/proc/…/schedstat` before and after. The first row, at
//! rest, is what control costs by itself: members, configuration, polling of loads.

use clap::Parser;
use monsoonring_experiment::deployment::{Deployment, Launch, Setup, THREAD_NAME};
use monsoonring_experiment::load::{self, Plan};
use monsoonring_experiment::processor;
use monsoonring_experiment::report::{Attempts, Summary};
use monsoonring_experiment::scenario::{Policy, Shape, saturation};
use monsoonring_experiment::tally::Tally;
use monsoonring_experiment::trial;
use monsoonring_fakes::fleet;
use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const MICROS: f64 = 1e6;
const PERCENT: f64 = 100.0;
const P99: f64 = 0.99;
const WARM_UP: Duration = Duration::from_secs(2);

/// Measures what daemons cost.
#[derive(Debug, Parser)]
struct Options {
    /// Shape of the backend servers.
    #[arg(long, value_enum, default_value = "dispatch-map")]
    shape: Shape,
    /// Rates, as shares of saturation.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.1, 0.2, 0.4])]
    loads: Vec<f64>,
    /// Factor on all times of the shape.
    #[arg(long, default_value_t = 2.0)]
    scale: f64,
    /// Seconds of each rate.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of daemons.
    #[arg(long, default_value_t = 3)]
    daemons: usize,
    /// Start the daemons as processes of this binary and not inside this process.
    #[arg(long, value_name = "PATH")]
    processes: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::parse();
    let shape = options.shape.fleet().scaled(options.scale);
    let setup = Setup {
        shapes: vec![shape.clone()],
        policy: Policy::document(),
        daemons: options.daemons,
        launch: Launch::new(options.processes.clone()),
    };
    let deployment = Deployment::start(setup).await?;
    println!(
        "| queries /s | sub-queries /s | processor of all daemons % | us per query | us per sub-query \
         | of these above rest | p99 ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let duration = Duration::from_secs(options.seconds);
    let mut rest = None;
    for load in &options.loads {
        let plan = Plan {
            rate: load * saturation(&shape),
            ..trial::plan(&shape, &deployment, duration, 1)
        };
        warm_up(&plan).await;
        let cost = measure(&deployment, &shape, &plan).await?;
        println!("{}", cost.row(*rest.get_or_insert(cost.share())));
    }
    deployment.stop().await;
    Ok(())
}

/// What was spent and what was done for it.
struct Cost {
    elapsed: Duration,
    processor: Duration,
    summary: Summary,
}

impl Cost {
    /// Processor seconds a second.
    fn share(&self) -> f64 {
        self.processor.as_secs_f64() / self.elapsed.as_secs_f64()
    }

    fn row(&self, rest: f64) -> String {
        let seconds = self.elapsed.as_secs_f64();
        let queries = self.summary.requests as f64 / seconds;
        let attempts = self.summary.attempts.all as f64 / seconds;
        let micros = |share: f64, of: f64| if of > 0.0 { share * MICROS / of } else { 0.0 };
        format!(
            "| {queries:.1} | {attempts:.1} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1} |",
            self.share() * PERCENT,
            micros(self.share(), queries),
            micros(self.share(), attempts),
            micros(self.share() - rest, attempts),
            self.summary.latency(P99).as_secs_f64() * 1_000.0
        )
    }
}

async fn warm_up(plan: &Plan) {
    let plan = Plan {
        duration: WARM_UP,
        ..plan.clone()
    };
    load::run(&plan).await;
}

async fn measure(
    deployment: &Deployment,
    shape: &fleet::Shape,
    plan: &Plan,
) -> processor::Result<Cost> {
    let tally = Tally::begin(&deployment.fleet, shape);
    let before = processor(deployment)?;
    let began = Instant::now();
    let samples = load::run(plan).await;
    // Without load there is nothing to wait for, but rest is measured for as long.
    sleep(plan.duration.saturating_sub(began.elapsed())).await;
    let elapsed = began.elapsed();
    let processor = processor(deployment)?.saturating_sub(before);
    let attempts: Attempts = tally.end();
    Ok(Cost {
        elapsed,
        processor,
        summary: Summary::new(&samples, elapsed, plan.deadline, attempts),
    })
}

/// Processor time of all daemons.
fn processor(deployment: &Deployment) -> processor::Result<Duration> {
    let processes = deployment
        .daemons
        .iter()
        .filter_map(|daemon| daemon.process_id);
    let processes: processor::Result<Duration> =
        processes.map(|id| processor::time(Some(id), None)).sum();
    Ok(processes? + processor::time(None, Some(THREAD_NAME))?)
}

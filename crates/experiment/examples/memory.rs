//! Resident memory and processor time of daemons against the backend servers, routes and
//! connections.
//!
//! `cargo run --release --example memory -- --processes target/release/monsoonringd`. Each row starts
//! its daemons anew. The documents name backend servers that nobody listens for: with two daemons each
//! is the home of half of them, with eight of an eighth, which tells the memory of a
//! configured server from that of a served one. The last rows hold open connections to stand-ins.

use clap::Parser;
use monsoonring_configuration::document::{Capacity, Document};
use monsoonring_experiment::deployment::{Deployment, Launch, Setup};
use monsoonring_experiment::load::{self, Plan};
use monsoonring_experiment::operator::Operator;
use monsoonring_experiment::scenario::Policy;
use monsoonring_experiment::{document, memory, trial};
use monsoonring_fakes::fleet::{self, Shape};
use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

const MIB: f64 = 1_048_576.0;
const PERCENT: f64 = 100.0;
const SETTLE: Duration = Duration::from_secs(8);
const ADOPTED: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(100);
/// So small that a route has one home.
const SMALL: Capacity = Capacity {
    slots: 1,
    connections: 2,
    connect_ms: 0,
};
const FEW: usize = 2;
const MANY: usize = 8;
/// Load that makes a home open its connections.
const BURST_RATE: f64 = 150.0;
const BURST: Duration = Duration::from_secs(4);

/// Measures memory.
#[derive(Debug, Parser)]
struct Options {
    /// Numbers of backend servers.
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 5_000, 15_000])]
    servers: Vec<usize>,
    /// Groups of each route, with the least number of backend servers.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 160])]
    groups: Vec<usize>,
    /// Connection limits of 60 stand-ins.
    #[arg(long, value_delimiter = ',', default_values_t = [4, 20, 60])]
    connections: Vec<usize>,
    /// Binary of the daemon.
    #[arg(long, value_name = "PATH")]
    processes: PathBuf,
}

type Outcome<T> = Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome<()> {
    let options = Options::parse();
    println!("| servers | routes | daemons | resident MiB mean | processor % mean |");
    println!("|{}", " --- |".repeat(5));
    for daemons in [FEW, MANY] {
        for &servers in &options.servers {
            let document = document::sized(servers, document::GROUPS, SMALL);
            println!(
                "{}",
                configured(&options, daemons, &document, servers).await?
            );
        }
        let least = options.servers.iter().copied().min().unwrap_or_default();
        for &groups in &options.groups {
            let document = document::sized(least, groups, SMALL);
            println!("{}", configured(&options, daemons, &document, least).await?);
        }
    }
    println!("\n| connection limit | open connections, each of two daemons | resident MiB mean |");
    println!("|{}", " --- |".repeat(3));
    for &limit in &options.connections {
        println!("{}", connected(&options, limit).await?);
    }
    Ok(())
}

fn setup(options: &Options, daemons: usize, shape: Shape) -> Setup {
    Setup {
        shapes: vec![shape],
        policy: Policy::without_extra_attempts(),
        daemons,
        launch: Launch::Processes(options.processes.clone()),
    }
}

fn shape(groups: usize) -> Shape {
    let mut shape = fleet::dispatch_map();
    (shape.groups, shape.replicas) = (groups, 1);
    shape.settings.journal = false;
    shape
}

async fn configured(
    options: &Options,
    daemons: usize,
    document: &Document,
    servers: usize,
) -> Outcome<String> {
    let deployment = Deployment::start(setup(options, daemons, shape(1))).await?;
    let revision = deployment.service.publish_document(document);
    let operator = Operator::default();
    for daemon in &deployment.daemons {
        let adopted = async {
            loop {
                let state = operator.state(daemon.operator).await;
                if state.is_ok_and(|state| state.configuration.revision == Some(revision)) {
                    return;
                }
                sleep(POLL).await;
            }
        };
        timeout(ADOPTED, adopted).await?;
    }
    sleep(SETTLE).await;
    let (before, began) = (processor(&deployment).await?, Instant::now());
    sleep(SETTLE).await;
    let spent = processor(&deployment).await? - before;
    let share = spent / began.elapsed().as_secs_f64() / daemons as f64;
    let row = format!(
        "| {servers} | {} | {daemons} | {:.1} | {:.2} |",
        document.routes.len(),
        resident(&deployment)?,
        share * PERCENT,
    );
    deployment.stop().await;
    Ok(row)
}

async fn connected(options: &Options, limit: usize) -> Outcome<String> {
    let mut shape = shape(60);
    shape.settings.connections = limit;
    shape.settings.slots = limit;
    shape.deadline = Duration::from_secs(2);
    let deployment = Deployment::start(setup(options, FEW, shape.clone())).await?;
    let plan = Plan {
        rate: BURST_RATE,
        ..trial::plan(&shape, &deployment, BURST, 1)
    };
    load::run(&plan).await;
    let open: usize = deployment
        .fleet
        .servers()
        .map(|s| s.connections().len())
        .sum();
    let row = format!(
        "| {limit} | {} | {:.1} |",
        open / FEW,
        resident(&deployment)?
    );
    deployment.stop().await;
    Ok(row)
}

/// Processor seconds of all daemons.
async fn processor(deployment: &Deployment) -> Outcome<f64> {
    let operator = Operator::default();
    let mut total = 0.0;
    for daemon in &deployment.daemons {
        total += operator.counters(daemon.operator).await?.processor;
    }
    Ok(total)
}

/// Mean resident memory of the daemons in MiB.
fn resident(deployment: &Deployment) -> memory::Result<f64> {
    let daemons = &deployment.daemons;
    let all: memory::Result<Vec<u64>> = daemons
        .iter()
        .map(|daemon| memory::resident(daemon.process_id))
        .collect();
    let total: u64 = all?.into_iter().sum();
    Ok(total as f64 / daemons.len().max(1) as f64 / MIB)
}

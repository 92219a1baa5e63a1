//! The benchmark of policies: each scenario under the document's policy and under baselines.
//!
//! `cargo run --release --example policies` prints a Markdown table and writes it, the same figures
//! as CSV, and a plot of the latency distributions of each scenario into `--out`.

use clap::Parser;
use monsoonring_experiment::deployment::Launch;
use monsoonring_experiment::report::{Row, csv, markdown, plot};
use monsoonring_experiment::scenario::{Fault, Policy, Scenario, Shape};
use monsoonring_experiment::trial::Bench;
use monsoonring_experiment::variant::Variant;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Compares policies under load and faults.
#[derive(Debug, Parser)]
struct Options {
    /// Shapes of backend servers.
    #[arg(long, value_enum, value_delimiter = ',', default_values = ["dispatch-map", "gate-desk"])]
    shapes: Vec<Shape>,
    /// Faults.
    #[arg(long, value_enum, value_delimiter = ',', default_values = [
        "nothing", "straggler", "replica-gone", "index-roll-out", "silent-connections",
        "crashing-request", "misleading-load"])]
    faults: Vec<Fault>,
    /// Policies.
    #[arg(long, value_enum, value_delimiter = ',', default_values = [
        "document", "no-hedge", "random-replica", "fixed-hedge"])]
    policies: Vec<Variant>,
    /// Rates, as shares of saturation.
    #[arg(long, value_delimiter = ',', default_values_t = [0.5])]
    loads: Vec<f64>,
    /// Factor on all times: a larger one means fewer requests a second on this machine.
    #[arg(long, default_value_t = 4.0)]
    scale: f64,
    /// Seconds of measured load in each run.
    #[arg(long, default_value_t = 9)]
    seconds: u64,
    /// Runs of each scenario under each policy, which take turns.
    #[arg(long, default_value_t = 1)]
    rounds: u64,
    /// Number of daemons.
    #[arg(long, default_value_t = 3)]
    daemons: usize,
    /// Seed of the send times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for the tables and plots.
    #[arg(long, default_value = "target/experiment")]
    out: PathBuf,
    /// Start the daemons as processes of this binary and not inside this process.
    #[arg(long, value_name = "PATH")]
    processes: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::parse();
    std::fs::create_dir_all(&options.out)?;
    let bench = Bench {
        daemons: options.daemons,
        launch: Launch::new(options.processes.clone()),
        seed: options.seed,
        rounds: options.rounds,
    };
    let mut rows = Vec::new();
    for scenario in scenarios(&options) {
        eprintln!(
            "{} at {:.0} requests a second",
            scenario.name(),
            scenario.rate()
        );
        let policies = options.policies.iter();
        let policies: Vec<Policy> = policies.map(|variant| variant.policy(&scenario)).collect();
        let compared = bench.compare(&scenario, &policies).await?;
        draw(&compared, &options.out)?;
        rows.extend(compared);
    }
    print!("{}", markdown(&rows));
    std::fs::write(options.out.join("policies.md"), markdown(&rows))?;
    std::fs::write(options.out.join("policies.csv"), csv(&rows))?;
    Ok(())
}

fn scenarios(options: &Options) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for shape in &options.shapes {
        for load in &options.loads {
            scenarios.extend(options.faults.iter().map(|fault| Scenario {
                shape: *shape,
                load: *load,
                fault: *fault,
                scale: options.scale,
                duration: Duration::from_secs(options.seconds),
            }));
        }
    }
    scenarios
}

fn draw(rows: &[Row], out: &Path) -> Result<(), Box<dyn Error>> {
    let Some(first) = rows.first() else {
        return Ok(());
    };
    let words = first
        .scenario
        .split(|letter: char| !letter.is_ascii_alphanumeric());
    let words: Vec<&str> = words.filter(|word| !word.is_empty()).collect();
    let name = words.join("-");
    let rows: Vec<&Row> = rows.iter().collect();
    plot::latencies(&rows, &first.scenario, &out.join(format!("{name}.svg")))?;
    Ok(())
}

//! Runs seeds of the soak test and prints the faults injected, the answers and the violations.
//!
//! `cargo run --release --example soak -- --seed 7`, `--seeds 1..51`, or `--fresh --minutes 5`. If an
//! invariant was violated, the exit code is 1 and the logs of that run are kept.

#[path = "../tests/soak/mod.rs"]
mod soak;

use clap::Parser;
use rand::Rng;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Injects faults into real daemon processes under load and checks invariants of the answers.
#[derive(Debug, Parser)]
struct Options {
    /// Run this seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Run a range of seeds such as `1..51`; the end is exclusive.
    #[arg(long)]
    seeds: Option<String>,
    /// Run random seeds for this many minutes.
    #[arg(long, requires = "fresh")]
    minutes: Option<u64>,
    /// Run random seeds: one, or as many as `--minutes` allows.
    #[arg(long)]
    fresh: bool,
    /// Duration of the load for each seed, in seconds.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Path of the daemon's binary.
    #[arg(long, default_value = "target/release/monsoonringd")]
    process: PathBuf,
}

impl Options {
    /// Returns the seeds to run.
    fn seeds(&self) -> soak::Result<Vec<u64>> {
        if let Some(range) = &self.seeds {
            let (first, last) = range
                .split_once("..")
                .ok_or("seeds must be a range such as 1..51")?;
            return Ok((first.parse()?..last.parse()?).collect());
        }
        let fresh = |_| u64::from(rand::rng().random::<u32>());
        Ok(match (self.seed, self.minutes) {
            (Some(seed), _) => vec![seed],
            (None, Some(minutes)) => (0..minutes * 60 / self.seconds.max(1)).map(fresh).collect(),
            (None, None) => vec![fresh(0)],
        })
    }
}

#[tokio::main]
async fn main() -> soak::Result<ExitCode> {
    let options = Options::parse();
    let mut faults: BTreeMap<&str, u32> = BTreeMap::new();
    let mut answers: BTreeMap<u16, u32> = BTreeMap::new();
    let (mut completed, mut violated, mut delegated) = (0, 0, 0);
    let start = Instant::now();
    for seed in options.seeds()? {
        let folder = tempfile::tempdir()?;
        let time = Duration::from_secs(options.seconds);
        let report = soak::run_seed(seed, time, &options.process, folder.path()).await?;
        completed += 1;
        delegated += report.delegated_parts;
        for (name, count) in report.faults {
            *faults.entry(name).or_default() += count;
        }
        for (status, count) in report.answers {
            *answers.entry(status).or_default() += count;
        }
        println!(
            "seed {seed}: {} hosts, {} violations, {:?} elapsed",
            report.hosts,
            report.violations.len(),
            start.elapsed()
        );
        if !report.violations.is_empty() {
            violated += 1;
            for violation in &report.violations {
                println!("  {violation:?}");
            }
            println!("  logs in {}", folder.keep().display());
        }
    }
    println!("{completed} seeds, {violated} with violations");
    println!("at least {delegated} parts of searches delegated to another host");
    println!("| fault | count |\n|---|---|");
    for (name, count) in faults {
        println!("| {name} | {count} |");
    }
    println!("| status (0: no answer) | requests |\n|---|---|");
    for (status, count) in answers {
        println!("| {status} | {count} |");
    }
    Ok(ExitCode::from(u8::from(violated > 0)))
}

//! Plays seeds of the soak and tells what was injected, answered and broken.
//!
//! `cargo run --release --example soak -- --seed 7`, `--seeds 1..51`, or `--fresh --minutes 5`. The exit code
//! is 1 where a promise broke; the logs of that run are kept.

#[path = "../tests/soak/mod.rs"]
mod soak;

use clap::Parser;
use rand::Rng;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Real processes, faults from outside them, and the promises checked meanwhile.
#[derive(Debug, Parser)]
struct Options {
    /// One seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Seeds from the first to the one before the last, as `1..51`.
    #[arg(long)]
    seeds: Option<String>,
    /// Fresh seeds for as many minutes.
    #[arg(long, requires = "fresh")]
    minutes: Option<u64>,
    /// Takes seeds that nobody has played.
    #[arg(long)]
    fresh: bool,
    /// Seconds that each seed is played.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// The daemon's binary.
    #[arg(long, default_value = "target/release/monsoonringd")]
    process: PathBuf,
}

impl Options {
    /// Returns the seeds to play.
    fn seeds(&self) -> soak::Result<Vec<u64>> {
        if let Some(range) = &self.seeds {
            let (first, last) = range.split_once("..").ok_or("seeds are given as 1..51")?;
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
    let (mut played, mut broken, mut parts) = (0, 0, 0);
    let began = Instant::now();
    for seed in options.seeds()? {
        let folder = tempfile::tempdir()?;
        let time = Duration::from_secs(options.seconds);
        let report = soak::play(seed, time, &options.process, folder.path()).await?;
        played += 1;
        parts += report.parts;
        for (name, times) in report.faults {
            *faults.entry(name).or_default() += times;
        }
        for (status, times) in report.answers {
            *answers.entry(status).or_default() += times;
        }
        println!(
            "seed {seed}: {} hosts, {} broken, {:?} in all",
            report.hosts,
            report.violations.len(),
            began.elapsed()
        );
        if !report.violations.is_empty() {
            broken += 1;
            for violation in &report.violations {
                println!("  {violation:?}");
            }
            println!("  logs in {}", folder.keep().display());
        }
    }
    println!("{played} seeds, {broken} with a broken promise");
    println!("{parts} parts of searches looked through for another host, at least");
    println!("| fault | times |\n|---|---|");
    for (name, times) in faults {
        println!("| {name} | {times} |");
    }
    println!("| status (0: no answer) | requests |\n|---|---|");
    for (status, times) in answers {
        println!("| {status} | {times} |");
    }
    Ok(ExitCode::from(u8::from(broken > 0)))
}

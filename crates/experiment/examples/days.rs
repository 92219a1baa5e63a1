//! Compares the decisions with their simpler ways on simulated days.
//!
//! `cargo run --release --example days -- --seeds 20 --folder target/days` plays the days at the two
//! sites and writes a report with pictures. With `--grown HOSTS` it plays the calm day at a
//! deployment grown to so many hosts and prints its figures.

use clap::Parser;
use monsoonring_experiment::simulation::compare::{Variant, compare};
use monsoonring_experiment::simulation::{Day, Site, page};
use std::error::Error;
use std::path::PathBuf;

/// What is played.
#[derive(Parser)]
struct Arguments {
    /// Days for each policy.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Where the report goes.
    #[arg(long, default_value = "target/days")]
    folder: PathBuf,
    /// Hosts of a grown deployment, in place of the two sites.
    #[arg(long)]
    grown: Option<usize>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse();
    match arguments.grown {
        Some(hosts) => grown(hosts, arguments.seeds),
        None => {
            let sites = [Site::hydrant(), Site::beet()];
            print!(
                "{}",
                page::write(&sites, arguments.seeds, &arguments.folder)?
            );
        }
    }
    Ok(())
}

fn grown(hosts: usize, seeds: u64) {
    let (site, day) = (Site::grown(hosts), Day::calm());
    let played = compare(&site, &day, &Variant::all()[..1], seeds);
    print!("{}", page::table(&played));
    let (unopened, _) = played[0].mean(|tally| tally.rejected_connections as f64);
    println!("{unopened:.0} connections ended as too many");
}

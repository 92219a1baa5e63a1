//! Writes the derived part of `docs/CAPACITY.md` from its measured one.
//!
//! `cargo run --release --example capacity` after a change of the measured or assumed figures.

use monsoonring_experiment::capacity;
use std::error::Error;
use std::fs;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");

fn main() -> Result<(), Box<dyn Error>> {
    let page = fs::read_to_string(PAGE)?;
    fs::write(PAGE, capacity::rewrite(&page)?)?;
    Ok(())
}

//! Writes `docs/configuration.md`.

use monsoonring_configuration::reference;
use std::{fs, io};

fn main() -> io::Result<()> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/configuration.md");
    fs::write(path, reference::markdown())
}

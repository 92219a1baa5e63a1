//! Resident memory of a process, from the operating system's accounts.

use snafu::{OptionExt, ResultExt, Snafu};
use std::fs;
use std::path::PathBuf;

/// Line of the status file that holds it, in KiB.
const RESIDENT: &str = "VmRSS:";
const BYTES_PER_KIB: u64 = 1_024;

/// Result of reading resident memory.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Resident memory that could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file of the operating system could not be read.
    #[snafu(display("read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The file of the operating system has an unknown form.
    #[snafu(display("read {}: no resident memory", path.display()))]
    Form {
        /// The file.
        path: PathBuf,
    },
}

/// Returns the resident memory of a process in bytes. `None` stands for this process.
///
/// # Errors
///
/// [`Error`] where the operating system doesn't give it.
pub fn resident(process_id: Option<u32>) -> Result<u64> {
    let process = process_id.map_or_else(|| "self".to_owned(), |id| id.to_string());
    let path = PathBuf::from(format!("/proc/{process}/status"));
    let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    let line = text.lines().find_map(|line| line.strip_prefix(RESIDENT));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kib = number.and_then(|number| number.parse::<u64>().ok());
    Ok(kib.context(FormSnafu { path })? * BYTES_PER_KIB)
}

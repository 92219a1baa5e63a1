//! Reads the resident memory of a process from `/proc`.

use snafu::{OptionExt, ResultExt, Snafu};
use std::fs;
use std::path::PathBuf;

/// Field of the status file with the resident memory in KiB.
const RESIDENT_FIELD: &str = "VmRSS:";
const BYTES_PER_KIB: u64 = 1_024;

/// Result of reading resident memory.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of reading resident memory.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The status file could not be read.
    #[snafu(display("read {}: {source}", path.display()))]
    Read {
        /// Path of the status file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The status file has no valid field for resident memory.
    #[snafu(display("read {}: no resident memory", path.display()))]
    Format {
        /// Path of the status file.
        path: PathBuf,
    },
}

/// Returns the resident memory of a process in bytes. `None` means this process.
///
/// # Errors
///
/// Returns [`Error`] if the status file can't be read or has another format.
pub fn resident(process_id: Option<u32>) -> Result<u64> {
    let process = process_id.map_or_else(|| "self".to_owned(), |id| id.to_string());
    let path = PathBuf::from(format!("/proc/{process}/status"));
    let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_FIELD));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kib = number.and_then(|number| number.parse::<u64>().ok());
    Ok(kib.context(FormatSnafu { path })? * BYTES_PER_KIB)
}

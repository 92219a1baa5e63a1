//! Reads processor time of the daemons' threads from `/proc`.
//!
//! `/proc/PID/task/TID/schedstat` has a resolution of nanoseconds per thread; `getrusage` covers whole
//! processes, and `stat` counts hundredths of a second. Daemons inside this process are identified by
//! their thread name.

use snafu::{OptionExt, ResultExt, Snafu};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Result of reading processor times.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of reading processor times.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file or folder in `/proc` could not be read.
    #[snafu(display("read {}: {source}", path.display()))]
    Read {
        /// Path in `/proc`.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A `schedstat` file has an unexpected format.
    #[snafu(display("read {}: no processor time in {text:?}", path.display()))]
    Format {
        /// Path in `/proc`.
        path: PathBuf,
        /// Content of the file.
        text: String,
    },
}

/// Returns the total processor time of a process's live threads, or only of those with the given name.
/// A `process_id` of `None` means this process.
///
/// # Errors
///
/// Returns [`Error`] if a file can't be read or has another format.
pub fn time(process_id: Option<u32>, thread_name: Option<&str>) -> Result<Duration> {
    let process = process_id.map_or_else(|| "self".to_owned(), |id| id.to_string());
    let path = PathBuf::from(format!("/proc/{process}/task"));
    let threads = fs::read_dir(&path).context(ReadSnafu { path: &path })?;
    let mut total = Duration::ZERO;
    for thread in threads.flatten() {
        let path = thread.path();
        let is_included = thread_name.is_none_or(|name| is_named(&path, name));
        // A thread may exit after the folder was listed.
        if is_included && path.exists() {
            total += thread_time(&path.join("schedstat"))?;
        }
    }
    Ok(total)
}

fn is_named(thread: &Path, name: &str) -> bool {
    let actual = fs::read_to_string(thread.join("comm"));
    actual.is_ok_and(|actual| actual.trim_end() == name)
}

fn thread_time(path: &Path) -> Result<Duration> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let nanos = text.split_whitespace().next();
    let nanos = nanos.and_then(|nanos| nanos.parse().ok());
    let nanos = nanos.context(FormatSnafu { path, text })?;
    Ok(Duration::from_nanos(nanos))
}
